"""How much of a model engine a request may take now, given what else needs it.

Kinds of requests are routes. The most urgent kind of a service may fill an engine. Others leave
memory for it, and long generations leave what neighbours need to take over the runs of an engine
that leaves. The bounds widen while a request waits, so that it goes before later ones, also those
at other hosts. Once it cannot be in time any more, it leaves more than those that can.
"""

import msgspec

from ebonywheel import memorygate
from ebonywheel.gateway import dialect, routes

# Prompt tokens that an engine reads per second while it also serves its running generations.
PREFILL_TOKENS_PER_S = 7000.0
# Share of its target for which a request lets other prompts stand before it from the start.
FIRST_UNREAD_SHARE = 0.25
# Largest share of an engine's memory that is left to the runs of neighbours that leave. Generations
# are counted at their expected end, so engines have some more room than the counts say.
MAX_MOVE_SHARE = 0.2
# Share that a request leaves besides once it cannot be in time: to those that still can.
LATE_SHARE = 0.1


class Kind(msgspec.Struct, frozen=True):
    """How a route stands to the other streaming routes of its services.

    Attributes:
        most_urgent: True when none of them is more urgent.
        others_read_s: Time to read what the less urgent ones may have queued at an engine.
    """

    most_urgent: bool = True
    others_read_s: float = 0.0


class Places(msgspec.Struct, frozen=True):
    """Bounds on what an engine holds once a request has been sent to it.

    Attributes:
        max_load: Most memory that requests are expected to need, as a share of the engine's.
        max_unread: Most unread prompt tokens.
    """

    max_load: float
    max_unread: float


class Waiting(msgspec.Struct, frozen=True):
    """A request that needs a place.

    Attributes:
        servers_each: Servers of its service for each data centre that has any.
        waited_s: Time since its caller asked, as far as known.
    """

    route: routes.Route
    engine: routes.Engine
    prompt: dialect.Prompt
    servers_each: float
    waited_s: float = 0.0


class Kinds:
    """Kinds of the routes of one table."""

    def __init__(self):
        self.table: routes.Table | None = None
        self.kinds: dict[str, Kind] = {}

    def find(self, table: routes.Table, route: routes.Route) -> Kind:
        """Return the kind of a route."""
        if table is not self.table:
            self.table, self.kinds = table, {}
        kind = self.kinds.get(route.name)
        if kind is None:
            kind = self.kinds[route.name] = _compare(table, route)
        return kind


def _compare(table: routes.Table, route: routes.Route) -> Kind:
    services = {service for service, _ in route.splits}
    rivals = [
        other
        for by_prefix in table.routes_by_host.values()
        for other in by_prefix.values()
        if other.kind is routes.RouteKind.STREAM
        and other.target_latency_s
        and any(service in services for service, _ in other.splits)
    ]
    less_urgent = [other for other in rivals if other.priority > route.priority]
    return Kind(
        all(other.priority >= route.priority for other in rivals),
        max((_longest_unread_s(other.target_latency_s) for other in less_urgent), default=0.0),
    )


def _longest_unread_s(target_s: float) -> float:
    """Return the longest unread time that a kind lets stand before it, at any time waited."""
    return target_s * (1.0 + FIRST_UNREAD_SHARE) / 2


def read_s(tokens: int) -> float:
    """Return how long an engine takes to read a prompt."""
    return tokens / PREFILL_TOKENS_PER_S


def waits_here(route: routes.Route, engine: routes.Engine | None) -> bool:
    """Return whether requests of a route wait in the line of this host."""
    has_memory = engine is not None and engine.memory_tokens > 0
    return has_memory and route.kind is routes.RouteKind.STREAM and route.target_latency_s > 0


def in_time_s(route: routes.Route, prompt: dialect.Prompt) -> float:
    """Return how long a request may wait and still be in time behind one prompt like its own."""
    return max(0.0, route.target_latency_s - 2.0 * read_s(prompt.tokens))


def places_for(waiting: Waiting, kind: Kind) -> Places:
    """Return the bounds for a request."""
    first_load = 1.0 - _reserved_share(waiting, kind)
    target_s = waiting.route.target_latency_s
    in_time = in_time_s(waiting.route, waiting.prompt)
    unread_s = FIRST_UNREAD_SHARE * target_s
    load = min(first_load, max(_needed_share(waiting), first_load - LATE_SHARE))
    if waiting.waited_s < in_time:
        load = first_load + (1.0 - first_load) * waiting.waited_s / in_time
        unread_s = min(unread_s + waiting.waited_s, target_s - waiting.waited_s)
    # An engine without unread prompts takes one of any length.
    unread_s = max(unread_s, read_s(waiting.prompt.tokens)) + kind.others_read_s
    return Places(load, unread_s * PREFILL_TOKENS_PER_S)


def _reserved_share(waiting: Waiting, kind: Kind) -> float:
    """Return the share of an engine's memory that a request has to leave when it arrives."""
    share = 0.0 if kind.most_urgent else memorygate.RESERVED_FRACTION
    moves = waiting.engine.supports_moves and waiting.prompt.is_long_running()
    if moves and waiting.servers_each > 1.0:
        share += min(MAX_MOVE_SHARE, 1.0 / waiting.servers_each)
    # An empty engine takes a request of any size that it can hold.
    return min(share, max(0.0, 1.0 - _needed_share(waiting)))


def _needed_share(waiting: Waiting) -> float:
    return waiting.prompt.expected_memory_tokens() / waiting.engine.memory_tokens
