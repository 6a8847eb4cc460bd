"""The waiting queue of an entry host for one kind of engine.

Customers share capacity by weight: start-time fair queueing over expected tokens, corrected by the
tokens that were really generated. A customer's requests within its share are served by priority.
Those beyond it are served after all others, so that a burst at a high priority cannot starve the
rest. The queue is bounded and each request has a deadline; a request that cannot be served in time
is refused at once.
"""

import collections
import math
import typing

import msgspec

from ebonywheel import exceptions, policies

# Time constant of the exponential decay of the observed service rate.
RATE_TIME_CONSTANT_S = 10.0
# Shortest busy time from which a service rate is estimated.
MIN_BUSY_S = 2.0
# Fraction of the time to its deadline after which a request may no longer be overtaken.
OVERTAKING_LIMIT_FRACTION = 0.5
# Expected tokens per unit of weight that a customer may be ahead of its share without losing its
# priority.
PRIORITY_ALLOWANCE_TOKENS = 1000.0
# Separates the flows of requests that only some servers can take from the others.
RESTRICTED_SUFFIX = "/narrow"
MIN_RETRY_AFTER_S = 1.0
MAX_RETRY_AFTER_S = 60.0


class Request(msgspec.Struct, eq=False):
    """A request that waits for a slot.

    Attributes:
        job: The request as the routing policy sees it.
        cost: Expected tokens.
        arrived_at: Time of arrival, on the monotonic clock.
        deadline: Time at which it is refused unless it got a slot, on the monotonic clock.
        share: Weight of its customer.
        max_running: Most requests of the customer in flight at this host.
        start_tag: Virtual time at which its turn comes, in tokens per unit of weight.
        queued: Whether it is in the queue.
        borrowing: Whether a home is being asked for a slot for it.
        restricted: Whether only some servers can take it, so that others need not wait behind it.
        owner: What the user of the queue keeps with the request; the queue does not use it.
    """

    job: policies.Job
    cost: float
    arrived_at: float
    deadline: float
    share: float = 1.0
    max_running: int = 1000
    start_tag: float = 0.0
    queued: bool = False
    borrowing: bool = False
    restricted: bool = False
    owner: typing.Any = None


class ServiceRate:
    """Recent rate at which requests left the queue with a slot, in tokens per busy second.

    Attributes:
        work_tokens: Expected tokens of these requests, decaying with time.
        busy_s: Time in which any request waited, decaying likewise.
        updated_at: Time of the last update, on the monotonic clock.
        waiting: Whether any request has waited since then.
    """

    def __init__(self):
        self.work_tokens = 0.0
        self.busy_s = 0.0
        self.updated_at = 0.0
        self.waiting = False

    def advance(self, now: float, waiting: bool) -> None:
        """Bring the rate up to `now`; `waiting` tells whether any request waits from then on."""
        elapsed = max(now - self.updated_at, 0.0)
        decay = math.exp(-elapsed / RATE_TIME_CONSTANT_S)
        if self.waiting:
            self.work_tokens *= decay
            self.busy_s = self.busy_s * decay + elapsed
        self.updated_at = now
        self.waiting = waiting

    def add(self, cost: float) -> None:
        """Count the expected tokens of a request that got a slot."""
        self.work_tokens += cost

    def per_second(self) -> float | None:
        """Return the rate, or None as long as it is not known."""
        if self.busy_s < MIN_BUSY_S or self.work_tokens <= 0.0:
            return None
        return self.work_tokens / self.busy_s


def flow_key(request: Request) -> tuple[str, str]:
    """Return the customer and the kind of request, which identify a flow."""
    kind = request.job.service + RESTRICTED_SUFFIX * request.restricted
    return (request.job.customer, kind)


def eligible(
    queue: "WaitingQueue", running: collections.abc.Mapping[str, int], now: float
) -> list[Request]:
    """Return the requests that may ask for a slot now, best first.

    A request that finds no server may be overtaken by one of another service, which needs another
    amount of memory and may still find one. Nothing may overtake a request that has waited for
    `OVERTAKING_LIMIT_FRACTION` of its time, unless that request is restricted.

    Args:
        queue: The waiting requests.
        running: Requests in flight at this host, by customer.
        now: Time on the monotonic clock.
    """
    found: list[Request] = []
    kinds: set[str] = set()
    for request in queue.heads(running):
        kind = flow_key(request)[1]
        if kind in kinds:
            continue
        kinds.add(kind)
        found.append(request)
        overtakable_until = request.arrived_at + OVERTAKING_LIMIT_FRACTION * (
            request.deadline - request.arrived_at
        )
        if not request.restricted and (now >= overtakable_until or not queue.fair):
            break
    return found


class WaitingQueue:
    """Requests that wait, in the order in which they should be served.

    Attributes:
        max_waiting: Bound on the number of waiting requests.
        fair: False for first come first served, whatever the priority and customer.
        foretells: Whether requests that cannot be served in time by `rate` are refused; False where
            the user of the queue has a forecast of its own.
        flows: Waiting requests by customer and kind, in order of arrival.
        finish_tags: Least start tag of the next request of each flow. A customer's share is divided
            evenly among its kinds, so that short requests of one kind do not wait behind long ones
            of another.
        virtual_time: Tokens per unit of weight that each waiting customer has been due so far.
        count: Number of waiting requests.
        rate: Rate at which they get slots.
    """

    def __init__(self, max_waiting: int, fair: bool = True, foretells: bool = True):
        self.max_waiting = max_waiting
        self.fair = fair
        self.foretells = foretells
        self.flows: dict[tuple[str, str], collections.deque[Request]] = {}
        self.finish_tags: dict[tuple[str, str], float] = {}
        self.virtual_time = 0.0
        self.count = 0
        self.rate = ServiceRate()

    def push(self, request: Request, now: float) -> Request | None:
        """Add a request.

        Returns:
            Another request that was removed to make room and is to be refused, or None.

        Raises:
            NotRunError: The request cannot be served in time, or the queue is full.
        """
        self.rate.advance(now, self.count > 0)
        self._check_deadline(request, now)
        evicted = self._evict_for(request) if self.count >= self.max_waiting else None
        key = flow_key(request)
        request.queued = True
        request.start_tag = max(self.virtual_time, self.finish_tags.get(key, 0.0))
        self._insert(self.flows.setdefault(key, collections.deque()), request)
        self.finish_tags[key] = (
            request.start_tag + request.cost * self._count_kinds(key[0]) / request.share
        )
        self.count += 1
        self.rate.waiting = True
        return evicted

    def _insert(self, flow: collections.deque[Request], request: Request) -> None:
        """Add a request to its flow, before those whose callers came later."""
        index = len(flow)
        while index and flow[index - 1].arrived_at > request.arrived_at:
            index -= 1
        if index < len(flow):
            # It takes over the tag of the one that it goes before.
            request.start_tag = flow[index].start_tag
        flow.insert(index, request)

    def heads(self, running: collections.abc.Mapping[str, int]) -> list[Request]:
        """Return the first request of each flow that may run, best first.

        Args:
            running: Requests in flight at this host, by customer.
        """
        found = []
        for (customer, _), flow in self.flows.items():
            head = next((request for request in flow if not request.borrowing), None)
            if head is not None and self._may_run(head, running.get(customer, 0)):
                found.append(head)
        return sorted(found, key=self._sort_key)

    def take(self, request: Request, now: float) -> None:
        """Remove a request that got a slot."""
        self.virtual_time += request.cost / sum(self._shares().values())
        self.remove(request, now)
        self.rate.add(request.cost)
        for key, finish_tag in list(self.finish_tags.items()):
            if finish_tag <= self.virtual_time and key not in self.flows:
                del self.finish_tags[key]

    def remove(self, request: Request, now: float) -> None:
        """Remove a request."""
        key = flow_key(request)
        request.queued = False
        self.flows[key].remove(request)
        if not self.flows[key]:
            del self.flows[key]
        self.count -= 1
        self.rate.advance(now, self.count > 0)

    def expire(self, now: float) -> list[Request]:
        """Remove and return the requests whose deadline has passed."""
        expired = [
            request for flow in self.flows.values() for request in flow if request.deadline <= now
        ]
        for request in expired:
            self.remove(request, now)
        return expired

    def settle(self, request: Request, tokens: float) -> None:
        """Correct the finish tag of a request's flow by the tokens that it really took."""
        key = flow_key(request)
        correction = (tokens - request.cost) * max(self._count_kinds(key[0]), 1) / request.share
        finish_tag = self.finish_tags.get(key, self.virtual_time) + correction
        if finish_tag > self.virtual_time:
            self.finish_tags[key] = finish_tag
        else:
            self.finish_tags.pop(key, None)

    def expected_wait_s(self, request: Request) -> float | None:
        """Return how long a new request would probably wait, or None when that is not known."""
        rate = self.rate.per_second()
        if rate is None or not self.count:
            return None
        key = flow_key(request)
        shares = self._shares()
        shares[key[0]] = request.share
        kinds = self._count_kinds(key[0]) + (key not in self.flows)
        flow_cost = sum(waiting.cost for waiting in self.flows.get(key, ()))
        fair_cost = flow_cost * kinds * sum(shares.values()) / request.share
        return min(sum(self._backlogs().values()), fair_cost) / rate

    def expected_tokens(self, priority: int) -> float:
        """Return the tokens that waiting requests of at least a priority are expected to need."""
        return sum(
            request.cost
            for flow in self.flows.values()
            for request in flow
            if request.job.priority >= priority
        )

    def retry_after_s(self, request: Request) -> float:
        """Return after how many seconds a refused request may be tried again."""
        wait_s = self.expected_wait_s(request) or 0.0
        return min(max(wait_s, MIN_RETRY_AFTER_S), MAX_RETRY_AFTER_S)

    def _may_run(self, request: Request, running: int) -> bool:
        return not self.fair or running < request.max_running

    def _check_deadline(self, request: Request, now: float) -> None:
        wait_s = self.expected_wait_s(request) if self.fair and self.foretells else None
        if wait_s is not None and now + wait_s > request.deadline:
            raise exceptions.NotRunError(
                "cannot be served in time",
                "admit",
                request.job.service,
                retry_after=self.retry_after_s(request),
            )

    def _evict_for(self, request: Request) -> Request:
        """Remove the newest request of the customer with the largest backlog for its share.

        Raises:
            NotRunError: That is the customer of the new request, or the queue is not fair.
        """
        shares = self._shares()
        backlogs = {
            customer: cost / shares[customer] for customer, cost in self._backlogs().items()
        }
        customer = request.job.customer
        backlogs[customer] = backlogs.get(customer, 0.0) + request.cost / request.share
        largest = max(backlogs, key=lambda name: backlogs[name])
        if not self.fair or largest == customer:
            raise exceptions.NotRunError(
                "too many waiting",
                "admit",
                request.job.service,
                retry_after=self.retry_after_s(request),
            )
        flows = [flow for (customer, _), flow in self.flows.items() if customer == largest]
        evicted = max((flow[-1] for flow in flows), key=lambda waiting: waiting.start_tag)
        self.remove(evicted, self.rate.updated_at)
        return evicted

    def _sort_key(self, request: Request) -> tuple[float, ...]:
        if not self.fair:
            return (request.arrived_at,)
        beyond_share = request.start_tag > self.virtual_time + PRIORITY_ALLOWANCE_TOKENS
        return (beyond_share, -request.job.priority, request.start_tag, request.arrived_at)

    def _count_kinds(self, customer: str) -> int:
        """Return the number of kinds of request that a customer has waiting."""
        return sum(1 for flow in self.flows if flow[0] == customer)

    def _shares(self) -> dict[str, float]:
        """Return the weight of each customer that has requests waiting."""
        return {customer: flow[0].share for (customer, _), flow in self.flows.items()}

    def _backlogs(self) -> dict[str, float]:
        """Return the expected tokens that each customer has waiting."""
        backlogs: dict[str, float] = {}
        for (customer, _), flow in self.flows.items():
            backlogs[customer] = backlogs.get(customer, 0.0) + sum(request.cost for request in flow)
        return backlogs
