"""Which runs to copy off a server that ends, where, and when. Needs no network.

Copies from one server go out one after the other. Those to a neighbour, another server in its data
centre, take a quarter of a second; between regions one takes about as long as the whole notice, and
holds up all that wait behind it. So neighbours come first as far as they have room, short runs
before long ones, and only what can arrive in time is begun at all: a part of a copy is worth
nothing and keeps its memory for seconds.
"""

import msgspec

from ebonywheel.gateway import dialect, routes

# Beside its bytes a move takes two calls from a host up to 12 ms away, and what the second copies
# must not wait behind the next run.
OVERHEAD_S = 0.11
# Links between data centres carry a tenth of what one within a data centre does.
FAR_SLOWNESS = 10.0


class Step(msgspec.Struct, frozen=True):
    """One run's move.

    Attributes:
        start_s: When to begin, in seconds from the notice.
        near: True when it goes to a neighbour in the data centre.
        tokens: Memory that it needs there now.
    """

    attempt: str
    start_s: float
    near: bool
    tokens: int


def plan(
    runs: list[dialect.EngineRun], engine: routes.Engine, near_room: int, left_s: float
) -> list[Step]:
    """Return the moves that are worth beginning, in order.

    All hosts come to the same plan, as they see the same report and room.

    Args:
        runs: All runs at the server.
        engine: What the service's engines can do.
        near_room: Tokens that fit the neighbours.
        left_s: Seconds until the server ends.
    """
    steps = []
    far = []
    at_s = 0.0
    for run in sorted(runs, key=lambda each: (each.tokens, each.attempt)):
        if run.tokens > near_room:
            far.append(run)
            continue
        steps.append(Step(run.attempt, at_s, True, run.tokens))
        near_room -= run.tokens
        at_s += engine.copy_s(run.tokens) + OVERHEAD_S
    for run in far:
        end_s = at_s + FAR_SLOWNESS * engine.copy_s(run.tokens) + OVERHEAD_S
        if end_s > left_s:
            break
        steps.append(Step(run.attempt, at_s, False, run.tokens))
        at_s = end_s
    return steps
