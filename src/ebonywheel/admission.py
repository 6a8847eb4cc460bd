"""The waiting queue of an entry host for one kind of engine.

Higher priority levels go first. Within a level, customers share by weight: start-time fair
queueing over expected tokens, corrected by the tokens that were really generated. The queue has a
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


class Level:
    """The requests of one priority level.

    Attributes:
        flows: Waiting requests by customer and service, first come first.
        backlog: Cost that waits, by customer.
        finish: Where the next request of a flow may start. A customer's share is divided evenly
            among its services, so that quick ones need not wait behind long ones.
        virtual: Start of the request last taken.
    """

    def __init__(self):
        self.flows: dict[tuple[str, str], collections.deque[Request]] = {}
        self.backlog: dict[str, float] = {}
        self.finish: dict[tuple[str, str], float] = {}
        self.virtual = 0.0

    def add(self, request: Request) -> None:
        """Append a request to its flow and give it its place."""
        customer = request.job.customer
        key = flow_of(request)
        request.queued = True
        request.start = max(self.virtual, self.finish.get(key, 0.0))
        self.flows.setdefault(key, collections.deque()).append(request)
        self.finish[key] = request.start + request.cost * self._services(customer) / request.share
        self.backlog[customer] = self.backlog.get(customer, 0.0) + request.cost

    def remove(self, request: Request) -> None:
        """Drop a request."""
        customer = request.job.customer
        key = flow_of(request)
        request.queued = False
        self.flows[key].remove(request)
        if not self.flows[key]:
            del self.flows[key]
        self.backlog[customer] -= request.cost
        if not self._services(customer):
            del self.backlog[customer]

    def settle(self, request: Request, tokens: float) -> None:
        """Correct the flow's place by what a request really cost."""
        key = flow_of(request)
        more = (tokens - request.cost) * max(self._services(key[0]), 1) / request.share
        place = self.finish.get(key, 0.0) + more
        if place > self.virtual:
            self.finish[key] = place
        else:
            self.finish.pop(key, None)

    def forget(self) -> None:
        """Drop flows that would start at the current place anyway."""
        for key, place in list(self.finish.items()):
            if place <= self.virtual and key not in self.flows:
                del self.finish[key]

    def waits_before(self, request: Request) -> float:
        """Return the cost that is served before a new request's turn."""
        key = flow_of(request)
        shares = {flow: held[0].share for flow, held in self.flows.items()}
        shares[key] = request.share
        own = sum(held.cost for held in self.flows.get(key, ()))
        services = collections.Counter(customer for customer, _ in shares)
        weights = {flow: share / services[flow[0]] for flow, share in shares.items()}
        fair = own * sum(weights.values()) / weights[key]
        return min(sum(self.backlog.values()), fair)

    def _services(self, customer: str) -> int:
        return sum(1 for flow in self.flows if flow[0] == customer)


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
    """

    def __init__(self, most: int, fair: bool = True):
        self.most = most
        self.fair = fair
        self.levels: dict[int, Level] = {}
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
        self._level(request).add(request)
        self.count += 1
        self.rate.waiting = True
        return loser

    def heads(self, running: collections.abc.Mapping[str, int]) -> list[Request]:
        """Return the first request of each flow that may go, best first.

        Args:
            running: Requests in flight at this host, by customer.
        """
        found = []
        for number in sorted(self.levels, reverse=True):
            heads = []
            for (customer, _), flow in self.levels[number].flows.items():
                head = next((request for request in flow if not request.asking), None)
                if head is not None and self._may_run(head, running.get(customer, 0)):
                    heads.append(head)
            found += sorted(heads, key=self._order)
        return found

    def take(self, request: Request, now: float) -> None:
        """Remove a request that got a slot."""
        level = self._level(request)
        level.virtual = max(level.virtual, request.start)
        self.remove(request, now)
        self.rate.add(request.cost)
        level.forget()

    def remove(self, request: Request, now: float) -> None:
        """Remove a request."""
        self._level(request).remove(request)
        self.count -= 1
        self.rate.advance(now, self.count > 0)

    def expire(self, now: float) -> list[Request]:
        """Remove and return the requests whose deadline has passed."""
        late = [
            request
            for level in self.levels.values()
            for flow in level.flows.values()
            for request in flow
            if request.deadline <= now
        ]
        for request in late:
            self.remove(request, now)
        return late

    def settle(self, request: Request, tokens: float) -> None:
        """Correct a customer's share by the tokens that a request really took."""
        if self.fair:
            self._level(request).settle(request, tokens)

    def wait_s(self, request: Request) -> float | None:
        """Return how long a new request would probably wait, or None when that is not known."""
        rate = self.rate.per_second()
        if rate is None or not self.count:
            return None
        own = request.job.priority
        higher = sum(
            sum(level.backlog.values()) for number, level in self.levels.items() if number > own
        )
        level = self.levels.get(own)
        if level is None:
            return higher / rate
        return (higher + level.waits_before(request)) / rate

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
        """Remove the newest request of whoever waits for most, in the lowest level.

        Raises:
            NotRunError: That is the new request itself.
        """
        lowest = min(number for number, level in self.levels.items() if level.flows)
        level = self.levels[lowest]
        own = self._number(request)
        if not self.fair or own < lowest:
            raise self._full(request)
        shares = self._shares(level)
        waits = {name: cost / shares[name] for name, cost in level.backlog.items()}
        if own == lowest:
            customer = request.job.customer
            waits[customer] = waits.get(customer, 0.0) + request.cost / request.share
        worst = max(waits, key=lambda name: waits[name])
        if own == lowest and worst == request.job.customer:
            raise self._full(request)
        flows = [flow for (customer, _), flow in level.flows.items() if customer == worst]
        loser = max((flow[-1] for flow in flows), key=lambda held: held.start)
        level.remove(loser)
        self.count -= 1
        return loser

    def _full(self, request: Request) -> exceptions.NotRunError:
        return exceptions.NotRunError(
            "too many waiting",
            "admit",
            request.job.service,
            retry_after=self.retry_after_s(request),
        )

    def _order(self, request: Request) -> tuple[float, float]:
        if self.fair:
            return (request.start, request.arrived_at)
        return (request.arrived_at, 0.0)

    def _number(self, request: Request) -> int:
        return request.job.priority if self.fair else 0

    def _level(self, request: Request) -> Level:
        return self.levels.setdefault(self._number(request), Level())

    def _shares(self, level: Level) -> dict[str, float]:
        return {customer: flow[0].share for (customer, _), flow in level.flows.items()}
