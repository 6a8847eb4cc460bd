"""The waiting queue of an entry host for one kind of engine.

Customers share by weight: start-time fair queueing over expected tokens, corrected by the tokens
that were really generated. Requests within a customer's share go by priority, and those beyond it
come after all others, so that a burst at a high priority cannot starve the rest. The queue has a
bound and each request a deadline; one that cannot be served in time is refused at once.
"""

import collections
import math
import typing

import msgspec

from ebonywheel import exceptions, policies

# How long ago work still counts for the observed service rate.
RATE_MEMORY_S = 10.0
MIN_BUSY_S = 2.0
# Part of its longest wait after which a request may not be overtaken any more.
OVERTAKEN_SHARE = 0.5
# Expected tokens, by weight, that a customer may be ahead of its share and keep its priority.
PRIORITY_ALLOWANCE_TOKENS = 1000.0
# Tells the flows of requests that only some servers can take from the others.
NARROW_SUFFIX = "/narrow"
MIN_RETRY_AFTER_S = 1.0
MAX_RETRY_AFTER_S = 60.0


class Request(msgspec.Struct, eq=False):
    """A request that waits for a slot.

    Attributes:
        job: What the routing policy knows of it.
        cost: Expected tokens.
        arrived_at: When it came, on the monotonic clock.
        deadline: When it is refused at the latest.
        share: Weight of its customer within the level.
        max_running: Most requests of the customer in flight at this host.
        start: Its place in the fair order of its level, in tokens by weight.
        queued: Whether it is in the queue.
        asking: Whether a slot is being asked for on its behalf.
        narrow: Whether only some servers can take it, so that others do not wait behind it.
        owner: Whatever the user of the queue needs to find the request's task.
    """

    job: policies.Job
    cost: float
    arrived_at: float
    deadline: float
    share: float = 1.0
    max_running: int = 1000
    start: float = 0.0
    queued: bool = False
    asking: bool = False
    narrow: bool = False
    owner: typing.Any = None


class ServiceRate:
    """Work taken from the queue in each second that something waited, lately."""

    def __init__(self):
        self.work = 0.0
        self.busy_s = 0.0
        self.at = 0.0
        self.waiting = False

    def advance(self, now: float, waiting: bool) -> None:
        """Let time pass; `waiting` tells whether something waits from now on."""
        passed = max(now - self.at, 0.0)
        fading = math.exp(-passed / RATE_MEMORY_S)
        if self.waiting:
            self.work *= fading
            self.busy_s = self.busy_s * fading + passed
        self.at = now
        self.waiting = waiting

    def add(self, cost: float) -> None:
        """Note that work was taken."""
        self.work += cost

    def per_second(self) -> float | None:
        """Return the rate, or None as long as it is not known."""
        if self.busy_s < MIN_BUSY_S or self.work <= 0.0:
            return None
        return self.work / self.busy_s


def flow_of(request: Request) -> tuple[str, str]:
    """Return the customer and the kind of request that a flow is named by."""
    kind = request.job.service + NARROW_SUFFIX * request.narrow
    return (request.job.customer, kind)


def eligible(
    queue: "WaitingQueue", running: collections.abc.Mapping[str, int], now: float
) -> list[Request]:
    """Return the requests that may ask for a slot now, best first.

    Behind one that finds no server, others may still find one: those of another service need
    another amount of memory. None may pass one that has waited for most of its time.
    """
    found: list[Request] = []
    kinds: set[str] = set()
    for request in queue.heads(running):
        kind = flow_of(request)[1]
        if kind in kinds:
            continue
        kinds.add(kind)
        found.append(request)
        late = request.arrived_at + OVERTAKEN_SHARE * (request.deadline - request.arrived_at)
        if not request.narrow and (now >= late or not queue.fair):
            break
    return found


class WaitingQueue:
    """Requests that wait, in the order in which they should be served.

    Attributes:
        most: Bound on the number of waiting requests.
        fair: False for first come first served, whatever the priority and customer.
        flows: Waiting requests by customer and kind, first come first.
        finish: Where the next request of a flow may start, in tokens by weight. A customer's share
            is divided evenly among its kinds, so that quick ones need not wait behind long ones.
        virtual: Tokens by weight that each waiting customer was due so far.
    """

    def __init__(self, most: int, fair: bool = True):
        self.most = most
        self.fair = fair
        self.flows: dict[tuple[str, str], collections.deque[Request]] = {}
        self.finish: dict[tuple[str, str], float] = {}
        self.virtual = 0.0
        self.count = 0
        self.rate = ServiceRate()

    def push(self, request: Request, now: float) -> Request | None:
        """Add a request.

        Returns:
            Another request that had to leave for it, which is to be refused, or None.

        Raises:
            NotRunError: The request cannot be served in time, or the queue is full.
        """
        self.rate.advance(now, self.count > 0)
        self._check_in_time(request, now)
        loser = self._make_room(request) if self.count >= self.most else None
        key = flow_of(request)
        request.queued = True
        request.start = max(self.virtual, self.finish.get(key, 0.0))
        self.flows.setdefault(key, collections.deque()).append(request)
        self.finish[key] = request.start + request.cost * self._kinds(key[0]) / request.share
        self.count += 1
        self.rate.waiting = True
        return loser

    def heads(self, running: collections.abc.Mapping[str, int]) -> list[Request]:
        """Return the first request of each flow that may go, best first.

        Args:
            running: Requests in flight at this host, by customer.
        """
        found = []
        for (customer, _), flow in self.flows.items():
            head = next((request for request in flow if not request.asking), None)
            if head is not None and self._may_run(head, running.get(customer, 0)):
                found.append(head)
        return sorted(found, key=self._order)

    def take(self, request: Request, now: float) -> None:
        """Remove a request that got a slot."""
        self.virtual += request.cost / sum(self._shares().values())
        self.remove(request, now)
        self.rate.add(request.cost)
        for key, place in list(self.finish.items()):
            if place <= self.virtual and key not in self.flows:
                del self.finish[key]

    def remove(self, request: Request, now: float) -> None:
        """Remove a request."""
        key = flow_of(request)
        request.queued = False
        self.flows[key].remove(request)
        if not self.flows[key]:
            del self.flows[key]
        self.count -= 1
        self.rate.advance(now, self.count > 0)

    def expire(self, now: float) -> list[Request]:
        """Remove and return the requests whose deadline has passed."""
        late = [
            request for flow in self.flows.values() for request in flow if request.deadline <= now
        ]
        for request in late:
            self.remove(request, now)
        return late

    def settle(self, request: Request, tokens: float) -> None:
        """Correct a customer's place by the tokens that a request really took."""
        key = flow_of(request)
        more = (tokens - request.cost) * max(self._kinds(key[0]), 1) / request.share
        place = self.finish.get(key, self.virtual) + more
        if place > self.virtual:
            self.finish[key] = place
        else:
            self.finish.pop(key, None)

    def wait_s(self, request: Request) -> float | None:
        """Return how long a new request would probably wait, or None when that is not known."""
        rate = self.rate.per_second()
        if rate is None or not self.count:
            return None
        key = flow_of(request)
        shares = self._shares()
        shares[key[0]] = request.share
        kinds = self._kinds(key[0]) + (key not in self.flows)
        own = sum(held.cost for held in self.flows.get(key, ()))
        fair = own * kinds * sum(shares.values()) / request.share
        return min(sum(self._backlogs().values()), fair) / rate

    def retry_after_s(self, request: Request) -> float:
        """Return after how many seconds a refused request may be tried again."""
        wait = self.wait_s(request) or 0.0
        return min(max(wait, MIN_RETRY_AFTER_S), MAX_RETRY_AFTER_S)

    def _may_run(self, request: Request, running: int) -> bool:
        return not self.fair or running < request.max_running

    def _check_in_time(self, request: Request, now: float) -> None:
        wait = self.wait_s(request) if self.fair else None
        if wait is not None and now + wait > request.deadline:
            raise exceptions.NotRunError(
                "cannot be served in time",
                "admit",
                request.job.service,
                retry_after=self.retry_after_s(request),
            )

    def _make_room(self, request: Request) -> Request:
        """Remove the newest request of whoever waits for most, measured by share.

        Raises:
            NotRunError: That is the new request itself.
        """
        shares = self._shares()
        waits = {customer: cost / shares[customer] for customer, cost in self._backlogs().items()}
        customer = request.job.customer
        waits[customer] = waits.get(customer, 0.0) + request.cost / request.share
        worst = max(waits, key=lambda name: waits[name])
        if not self.fair or worst == customer:
            raise exceptions.NotRunError(
                "too many waiting",
                "admit",
                request.job.service,
                retry_after=self.retry_after_s(request),
            )
        flows = [flow for (customer, _), flow in self.flows.items() if customer == worst]
        loser = max((flow[-1] for flow in flows), key=lambda held: held.start)
        self.remove(loser, self.rate.at)
        return loser

    def _order(self, request: Request) -> tuple[float, ...]:
        if not self.fair:
            return (request.arrived_at,)
        beyond_share = request.start > self.virtual + PRIORITY_ALLOWANCE_TOKENS
        return (beyond_share, -request.job.priority, request.start, request.arrived_at)

    def _kinds(self, customer: str) -> int:
        return sum(1 for flow in self.flows if flow[0] == customer)

    def _shares(self) -> dict[str, float]:
        return {customer: flow[0].share for (customer, _), flow in self.flows.items()}

    def _backlogs(self) -> dict[str, float]:
        found: dict[str, float] = {}
        for (customer, _), flow in self.flows.items():
            found[customer] = found.get(customer, 0.0) + sum(held.cost for held in flow)
        return found
