"""Selection of a backend server for a request, from this host's view of all servers.

Plain services are compared by requests in flight per slot. Model engines are compared by memory:
each request in flight counts with its prompt and its expected answer. Prompt tokens that an engine
has not read yet count as well; otherwise an engine that has just started, and is still empty, would
get every new request.

Hosts learn late of each other's requests: after 0.1 s in the same data centre, 0.5 s elsewhere. If
all of them took the server with the lowest cost, the requests of that time would pile up at one
server. Each host therefore compares only a few servers drawn at random, and so avoids the loaded
ones without agreeing on the best one.
"""

import random
import typing

import msgspec

from ebonywheel import messages, serverpaces
from ebonywheel.gateway import preference, routes, speeds

# Cost of a server elsewhere, as a share of its capacity. Traffic between regions is paid for and
# adds two one-way delays.
OTHER_DATA_CENTRE_COST = 0.1
OTHER_REGION_COST = 0.25
# An engine reads prompts one after the other; each delays the first token of those queued behind it
# and the steps of all running requests. So an unread prompt token adds this many tokens of load, on
# top of the memory that it takes.
UNREAD_WEIGHT = 2.5
# Cost of a server without a neighbour, that is, without another server of its service in its data
# centre. A shutdown notice leaves time to copy the running generations to a neighbour, but not to
# another data centre, so a server without a neighbour loses them all.
NO_NEIGHBOUR_COST = 0.35
# Cost of a server that has stated a limit. Others as near are used first; others in another region
# are not, as the limited one still takes some work, and tells by that when its limit has ended.
LIMITED_COST = 0.15
# Weight of each answer in the moving average of a server's failure rate.
FAILURE_RATE_SMOOTHING = 0.1
CONNECT_TIME_SMOOTHING = 0.3
# Load added per unit of failure rate above the lowest rate among the servers considered.
FAILURE_WEIGHT = 2.0
# Servers drawn from each distance: in this data centre, elsewhere in the region, in other regions.
# Two are enough to avoid a loaded server; with more, hosts agree on the least loaded one again.
SAMPLE_SIZE = 2
# Reports come every 1.2 s. One late report is tolerated, two in a row are not.
MAX_REPORT_AGE_S = 3.6
# Time over which the rate of a server in its cold start counts.
COLD_RATE_PERIOD_S = 1.0
# Backoff after failures to reach a server: it doubles from the first value up to the second.
INITIAL_BACKOFF_S = 0.5
MAX_BACKOFF_S = 4.0


class Location(msgspec.Struct, frozen=True):
    """Data centre and region of a host or server."""

    data_centre: str
    region: str


class ServerState(msgspec.Struct):
    """Load and health of one server incarnation, as seen by this host.

    Attributes:
        requests: Requests in flight from this host.
        tokens: Memory that requests in flight from this host are expected to need, in tokens.
        unread: Prompt tokens of this host's requests whose answers have not begun.
        other_requests: Requests in flight from all other hosts, as last reported.
        other_tokens: Expected tokens of all other hosts' requests, as last reported.
        other_unread: Unread prompt tokens of all other hosts, as last reported.
        failure_rate: Moving average of the share of answers that were failures.
        unreachable: True from a failed connection until one can be opened.
        heard_at: When it sent anything or accepted a connection last, monotonic seconds.
        waiting_since: When the requests were sent whose answers have not begun, monotonic seconds.
        backoff_until: End of the backoff after a failure to reach it, monotonic seconds.
        backoff_s: Length of the next backoff.
        cold_until: When its cold start ends, monotonic seconds.
        cold_request_times: Times of this host's requests during its cold start, monotonic seconds.
        limit_per_s: Requests per second that it last stated to take from all hosts together, None
            for no limit.
        denied_until: Until when it is not chosen, as the limit left no room; monotonic seconds.
        own_part_at: When this host may send a request next without the leader, monotonic seconds;
            0 while the leader grants permits.
        leaving: True once it has said in an answer that it leaves.
        paused_until: Until when it wants no requests from this host, monotonic seconds.
        seen: How it answers, as all entry hosts saw it.
        avoided_until: Until when it is left alone as it reset requests of several hosts, monotonic
            seconds.
        connect_s: Smoothed time to open a connection, in seconds; 0 before the first.
    """

    requests: int = 0
    tokens: int = 0
    unread: int = 0
    other_requests: int = 0
    other_tokens: int = 0
    other_unread: int = 0
    failure_rate: float = 0.0
    unreachable: bool = False
    heard_at: float = 0.0
    waiting_since: list[float] = []
    backoff_until: float = 0.0
    backoff_s: float = INITIAL_BACKOFF_S
    cold_until: float = 0.0
    cold_request_times: list[float] = []
    limit_per_s: float | None = None
    denied_until: float = 0.0
    own_part_at: float = 0.0
    leaving: bool = False
    paused_until: float = 0.0
    seen: serverpaces.Sums = msgspec.field(default_factory=serverpaces.Sums)
    avoided_until: float = 0.0
    connect_s: float = 0.0

    def record_connected(self, seconds: float) -> None:
        """Record how long a new connection took to open."""
        if not self.connect_s:
            self.connect_s = seconds
        self.connect_s += CONNECT_TIME_SMOOTHING * (seconds - self.connect_s)

    def is_denied(self, now: float) -> bool:
        """Return whether its limit, or its pace, leaves no room for a request now."""
        return now < self.denied_until

    def silent_s(self, now: float) -> float:
        """Return how long it has sent nothing while a request waits, 0 when none does."""
        if not self.waiting_since:
            return 0.0
        return now - max(self.heard_at, min(self.waiting_since))

    def worst_failure_rate(self, now: float) -> float:
        """Return the failure rate that this host or all hosts together saw."""
        return max(self.failure_rate, speeds.failure_rate(self.seen, now))

    def record_answer(self, failed: bool) -> None:
        """Update the failure rate with an answer, and reset the backoff."""
        self.failure_rate += FAILURE_RATE_SMOOTHING * (float(failed) - self.failure_rate)
        self.backoff_s = INITIAL_BACKOFF_S

    def record_unreachable(self, now: float) -> None:
        """Start a backoff: the server could not be reached or closed without an answer."""
        self.backoff_until = now + self.backoff_s
        self.backoff_s = min(MAX_BACKOFF_S, 2 * self.backoff_s)


class Candidate(msgspec.Struct):
    """A server that may be selected for a request.

    Attributes:
        age_s: Seconds since its last report.
        without_neighbour: True when its data centre has no other server of its service in service.
    """

    record: messages.DirectoryRecord
    state: ServerState
    age_s: float
    region: str
    without_neighbour: bool = False

    def location(self) -> Location:
        """Return the location of the server."""
        return Location(self.record.data_centre, self.region)


class Requirements(msgspec.Struct):
    """What a request needs of a server.

    Attributes:
        tokens: Memory that the request is expected to need, in tokens; 0 for plain services.
        regions: Regions that may serve it; empty for all.
        excluded: Ids of servers that must not be selected.
        max_load: Highest load, as a share of capacity, that the server may reach.
        unread: Tokens of the request's own prompt.
        max_unread: Most unread prompt tokens at the server, including the request's own.
        data_centre: The only data centre to select from; empty for all.
        long_running: True when the request is expected to outlast a server's shutdown notice.
        without_wait: True when the server must be able to run the request at once.
        without_cold: True when the server must not be in its cold start.
        target_latency_s: Target time to the first event, 0 for none.
        stream_s: Expected length of a stream with a target for its pauses, 0 for other requests.
        size_bytes: Size of the request and its expected answer.
        lot: The request's lot in [0, 1), by which it is among those that leave the data centre.
    """

    service: routes.Service
    tokens: int = 0
    regions: frozenset[str] = frozenset()
    excluded: frozenset[str] = frozenset()
    max_load: float = float("inf")
    unread: int = 0
    max_unread: float = float("inf")
    data_centre: str = ""
    long_running: bool = False
    without_wait: bool = False
    without_cold: bool = False
    target_latency_s: float = 0.0
    stream_s: float = 0.0
    size_bytes: int = 0
    lot: float = 1.0


def load_with_request(candidate: Candidate, requirements: Requirements) -> float:
    """Return a server's load including the request, as a share of its capacity."""
    state = candidate.state
    requests = (state.requests + state.other_requests + 1) / max(1, candidate.record.slots)
    engine = requirements.service.engine
    if engine is None or not engine.memory_tokens:
        return requests
    tokens = state.tokens + state.other_tokens + requirements.tokens
    return max(requests, tokens / engine.memory_tokens)


def tokens_to_read(candidate: Candidate, requirements: Requirements) -> int:
    """Return the prompt tokens that a server reads up to the end of the request's prompt."""
    return candidate.state.unread + candidate.state.other_unread + requirements.unread


def unread_load(candidate: Candidate, requirements: Requirements) -> float:
    """Return the weighted load of an engine's unread prompts, as a share of its capacity."""
    engine = requirements.service.engine
    if engine is None or not engine.memory_tokens:
        return 0.0
    unread = candidate.state.unread + candidate.state.other_unread
    return UNREAD_WEIGHT * unread / engine.memory_tokens


def distance_cost(other: Location, location: Location) -> float:
    """Return the cost of the distance between two locations, as a share of a server's capacity."""
    if other.data_centre == location.data_centre:
        return 0.0
    return OTHER_DATA_CENTRE_COST if other.region == location.region else OTHER_REGION_COST


def choose(
    candidates: typing.Iterable[Candidate],
    requirements: Requirements,
    location: Location,
    now: float,
    entry_hosts: int,
) -> Candidate | None:
    """Return the cheapest of some random servers for a request, or None when none can take it.

    A server that seems unreachable is chosen only if all do: not while others that can be reached
    take no request just now.

    Args:
        candidates: Servers that are in service and not shutting down.
        requirements: What the request needs.
        location: Location that servers should be near.
        now: Monotonic seconds.
        entry_hosts: Number of entry hosts that share the servers.
    """
    candidates = list(candidates)
    eligible = [
        candidate
        for candidate in candidates
        if _is_eligible(candidate, requirements, now, entry_hosts)
    ]
    with_room = [
        candidate
        for candidate in eligible
        if load_with_request(candidate, requirements) <= requirements.max_load
    ]
    available = [candidate for candidate in with_room if is_available(candidate, now)]
    considered = available or [
        candidate for candidate in with_room if not candidate.state.unreachable
    ]
    if not considered and not any(
        _is_withheld(candidate, requirements, now, entry_hosts) for candidate in candidates
    ):
        # When every server looks unreachable, this host's view is more likely to be wrong.
        considered = with_room
    if not considered:
        return None
    lowest_rate = min(candidate.state.worst_failure_rate(now) for candidate in considered)
    compared = speeds.Speeds(
        [candidate.state.seen for candidate in considered], requirements.stream_s
    )
    considered = _preferred(considered, requirements, compared)

    def cost(candidate: Candidate) -> float:
        state = candidate.state
        failure_cost = FAILURE_WEIGHT * (state.worst_failure_rate(now) - lowest_rate)
        location_cost = distance_cost(candidate.location(), location)
        neighbour_cost = (
            NO_NEIGHBOUR_COST if requirements.long_running and candidate.without_neighbour else 0.0
        )
        limit_cost = 0.0 if state.limit_per_s is None else LIMITED_COST
        tokens = tokens_to_read(candidate, requirements)
        return (
            load_with_request(candidate, requirements) * compared.working_ratio(state.seen)
            + limit_cost
            + unread_load(candidate, requirements) * compared.reading_ratio(state.seen)
            + compared.late_cost(state.seen, tokens, requirements.target_latency_s)
            + location_cost
            + failure_cost
            + neighbour_cost
        )

    return min(_sample(considered, location), key=cost)


def _preferred(
    candidates: list[Candidate], requirements: Requirements, compared: speeds.Speeds
) -> list[Candidate]:
    """Return the servers with room that keep a stream's targets; all where that makes none."""
    engine = requirements.service.engine
    if engine is None or not requirements.target_latency_s:
        return candidates
    rooms = [
        preference.Room(
            candidate.state.seen,
            candidate.state.unread + candidate.state.other_unread,
            load_with_request(candidate, requirements),
        )
        for candidate in candidates
    ]
    load = requirements.tokens / max(1, engine.memory_tokens)
    stream = preference.Stream(max(1, requirements.unread), load, requirements.target_latency_s)
    return [candidates[number] for number in preference.preferred(rooms, stream, compared)]


def _sample(candidates: list[Candidate], location: Location) -> list[Candidate]:
    """Return some candidates of each distance, drawn at random and in random order."""
    by_distance: dict[float, list[Candidate]] = {}
    for candidate in candidates:
        by_distance.setdefault(distance_cost(candidate.location(), location), []).append(candidate)
    sample = []
    for group in by_distance.values():
        sample += random.sample(group, min(SAMPLE_SIZE, len(group)))
    random.shuffle(sample)
    return sample


def _is_eligible(
    candidate: Candidate, requirements: Requirements, now: float, entry_hosts: int
) -> bool:
    state = candidate.state
    if candidate.record.server in requirements.excluded or not is_allowed(candidate, requirements):
        return False
    if state.leaving or _takes_nothing_now(candidate, requirements, now, entry_hosts):
        return False
    if tokens_to_read(candidate, requirements) > requirements.max_unread:
        return False
    if candidate.state.cold_until <= now:
        return True
    return not requirements.without_cold and _has_cold_capacity(
        candidate.state, requirements.service, now, entry_hosts
    )


def is_allowed(candidate: Candidate, requirements: Requirements) -> bool:
    """Return whether a request may go to a server's data centre and region."""
    if requirements.data_centre and candidate.record.data_centre != requirements.data_centre:
        return False
    return not requirements.regions or candidate.region in requirements.regions


def is_available(candidate: Candidate, now: float) -> bool:
    """Return whether a server reports and can be reached, as far as known."""
    state = candidate.state
    return (
        candidate.age_s < MAX_REPORT_AGE_S
        and not state.unreachable
        and state.backoff_until <= now
        and state.avoided_until <= now
    )


def _takes_nothing_now(
    candidate: Candidate, requirements: Requirements, now: float, entry_hosts: int
) -> bool:
    """Return whether a server's limit, its pause or its slots leave no room for a request now."""
    state = candidate.state
    full = requirements.without_wait and not _has_free_slot(candidate, entry_hosts)
    return state.is_denied(now) or state.paused_until > now or full


def _is_withheld(
    candidate: Candidate, requirements: Requirements, now: float, entry_hosts: int
) -> bool:
    """Return whether a server could take a request, but not just now."""
    return (
        is_available(candidate, now)
        and not candidate.state.leaving
        and is_allowed(candidate, requirements)
        and _takes_nothing_now(candidate, requirements, now, entry_hosts)
    )


def _has_free_slot(candidate: Candidate, entry_hosts: int) -> bool:
    """Return whether a server has a free slot, even if other hosts send to it now.

    With at least one slot for each host, each host uses its part only.
    """
    state, slots = candidate.state, max(1, candidate.record.slots)
    if entry_hosts <= slots:
        return state.requests < slots // max(1, entry_hosts)
    return state.requests + state.other_requests < slots


def _has_cold_capacity(
    state: ServerState, service: routes.Service, now: float, entry_hosts: int
) -> bool:
    if not service.cold_per_s:
        return True
    period_start = now - COLD_RATE_PERIOD_S
    state.cold_request_times = [at for at in state.cold_request_times if at > period_start]
    return len(state.cold_request_times) < max(1, int(service.cold_per_s / max(1, entry_hosts)))
