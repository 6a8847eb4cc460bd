"""Choice of a backend server, from what this host knows of all of them. Needs no network.

Plain services go by requests in flight against slots. Model engines go by memory, where what is in
flight counts with its prompt and the length it is expected to reach, and by the prompts that wait
to be read: an engine that has just started is empty, and must not get every request of the next
moment.
"""

import random
import typing

import msgspec

from ebonywheel import messages
from ebonywheel.gateway import routes

# Weight of distance against load: what a crossing costs as a share of a server's capacity. Bytes
# between regions are paid for and add two one-way delays.
OTHER_DATA_CENTRE = 0.1
OTHER_REGION = 0.25
# Prompts are read one after the other, each delaying the first token of those behind it and the
# steps of all that run: a prompt that waits counts for more than one in memory.
UNREAD_WEIGHT = 2.5
# Running generations can be copied to a neighbour within the notice of a leaving server, but not
# between data centres: one without a neighbour loses them all.
ALONE = 0.35
# A server's failures fade with this share for each answer.
FAILURE_FADE = 0.1
# A failure rate above that of its best peer counts as this much load for each whole part.
FAILURE_WEIGHT = 2.0
# Reports come every 1.2 s; one may be late, two in a row are not.
SILENT_S = 3.6
# First and longest pause after a server could not be reached.
DOWN_S = 0.5
LONGEST_DOWN_S = 4.0


class Place(msgspec.Struct, frozen=True):
    """Where this host stands."""

    data_centre: str
    region: str


class ServerState(msgspec.Struct):
    """What this host knows of one server beyond its record.

    Attributes:
        requests: Own requests in flight.
        tokens: Own tokens in flight, as expected.
        unread: Own tokens of prompts whose answers have not begun.
        other_requests: Requests of all other hosts, as last told.
        other_tokens: Tokens of all other hosts, as last told.
        other_unread: Unread tokens of all other hosts, as last told.
        failure_rate: Share of late answers that were failures, fading.
        down_until: Not chosen before this, monotonic seconds.
        down_s: Next pause after a failure to reach it.
        cold_until: When it stops being cold, monotonic seconds.
        cold_sends: Times of this host's requests while it is cold.
    """

    requests: int = 0
    tokens: int = 0
    unread: int = 0
    other_requests: int = 0
    other_tokens: int = 0
    other_unread: int = 0
    failure_rate: float = 0.0
    down_until: float = 0.0
    down_s: float = DOWN_S
    cold_until: float = 0.0
    cold_sends: list[float] = []

    def note_answer(self, failed: bool) -> None:
        """Take in whether an answer was a failure."""
        self.failure_rate += FAILURE_FADE * (float(failed) - self.failure_rate)
        self.down_s = DOWN_S

    def note_unreachable(self, now: float) -> None:
        """Take in that the server could not be reached, or ended without an answer."""
        self.down_until = now + self.down_s
        self.down_s = min(LONGEST_DOWN_S, 2 * self.down_s)


class Candidate(msgspec.Struct):
    """A server that may take a request.

    Attributes:
        age_s: Seconds since its last report.
        alone: True when no other server of the service is in service in its data centre.
    """

    record: messages.DirectoryRecord
    state: ServerState
    age_s: float
    region: str
    alone: bool = False


class Wish(msgspec.Struct):
    """What is looked for.

    Attributes:
        tokens: Memory that the request is expected to need, 0 for plain services.
        regions: Regions that may serve it; empty for all.
        avoid: Ids of servers not to choose.
        unread: Tokens of the request's own prompt.
        limit: Highest load, as a share of capacity, that the server may reach.
        unread_limit: Most tokens that may wait to be read at the server, the request's among them.
        data_centre: The only data centre to choose from; empty for all.
        lasting: True when the request lasts longer than the notice that servers leave with.
    """

    service: routes.Service
    tokens: int = 0
    regions: frozenset[str] = frozenset()
    avoid: frozenset[str] = frozenset()
    limit: float = float("inf")
    unread: int = 0
    unread_limit: float = float("inf")
    data_centre: str = ""
    lasting: bool = False


def load_after(candidate: Candidate, wish: Wish) -> float:
    """Return a server's load with the request, as a share of its capacity."""
    state = candidate.state
    requests = (state.requests + state.other_requests + 1) / max(1, candidate.record.slots)
    engine = wish.service.engine
    if engine is None or not engine.memory_tokens:
        return requests
    tokens = state.tokens + state.other_tokens + wish.tokens
    return max(requests, tokens / engine.memory_tokens)


def reading_ahead(candidate: Candidate, wish: Wish) -> float:
    """Return what waits to be read at an engine before the request, as a share of its capacity."""
    engine = wish.service.engine
    if engine is None or not engine.memory_tokens:
        return 0.0
    unread = candidate.state.unread + candidate.state.other_unread
    return UNREAD_WEIGHT * unread / engine.memory_tokens


def distance(candidate: Candidate, place: Place) -> float:
    """Return what the way to a server costs, as a share of its capacity."""
    if candidate.record.data_centre == place.data_centre:
        return 0.0
    return OTHER_DATA_CENTRE if candidate.region == place.region else OTHER_REGION


def choose(
    candidates: typing.Iterable[Candidate], wish: Wish, place: Place, now: float, hosts: int
) -> Candidate | None:
    """Return the best server for a request, or None when none can take it.

    Args:
        candidates: Servers that are in service and do not leave.
        wish: What is looked for.
        place: Where this host stands.
        now: Monotonic seconds.
        hosts: Entry hosts that share the servers.
    """
    allowed = [one for one in candidates if _may_take(one, wish, now, hosts)]
    fitting = [one for one in allowed if load_after(one, wish) <= wish.limit]
    reporting = [one for one in fitting if one.age_s < SILENT_S and one.state.down_until <= now]
    # Where all look dead, the view may be what is wrong.
    chosen_from = reporting or fitting
    if not chosen_from:
        return None
    best_rate = min(one.state.failure_rate for one in chosen_from)

    def cost(one: Candidate) -> float:
        failing = FAILURE_WEIGHT * (one.state.failure_rate - best_rate)
        near = distance(one, place)
        alone = ALONE if wish.lasting and one.alone else 0.0
        return load_after(one, wish) + reading_ahead(one, wish) + near + failing + alone

    random.shuffle(chosen_from)
    return min(chosen_from, key=cost)


def _may_take(one: Candidate, wish: Wish, now: float, hosts: int) -> bool:
    if one.record.server in wish.avoid:
        return False
    if wish.data_centre and one.record.data_centre != wish.data_centre:
        return False
    if wish.regions and one.region not in wish.regions:
        return False
    if one.state.unread + one.state.other_unread + wish.unread > wish.unread_limit:
        return False
    return one.state.cold_until <= now or _cold_room(one.state, wish.service, now, hosts)


def _cold_room(state: ServerState, service: routes.Service, now: float, hosts: int) -> bool:
    if not service.cold_per_s:
        return True
    state.cold_sends = [at for at in state.cold_sends if at > now - 1.0]
    return len(state.cold_sends) < max(1, int(service.cold_per_s / max(1, hosts)))
