"""Which runs to copy off a server that ends, where, and when. Needs no network.

Copies from one server go out one after the other. Those to a neighbour, another server in its data
centre, take a quarter of a second; between regions one takes about as long as the whole notice, and
holds up all that wait behind it. So neighbours come first as far as they have room, short runs
before long ones, and only what can arrive in time is begun at all: a part of a copy is worth
nothing and keeps its memory for seconds.

A run is stopped only for its second copy, which takes milliseconds unless it waits behind a whole
one. So all neighbours' copies are made first, and the runs are handed over together after them.
"""

import msgspec

from ebonywheel.gateway import dialect, routes

# Hosts in other regions, 12 ms away one way, ask for the report and call over a new connection:
# their copies begin this much later than planned.
LATE_S = 0.1
# What all second copies and the calls for them take.
HAND_OVERS_S = 0.1
# Notice that is reckoned with where an engine does not tell it yet.
NOTICE_S = 1.5
# When runs that began after the notice are handed over, from the notice: servers that end at short
# notice have ended by then, which needs no second copy, and no more first copies are to come.
LATE_HAND_OVER_S = 2.2
# Links between data centres carry a tenth of what one within a data centre does.
FAR_SLOWNESS = 10.0


class Step(msgspec.Struct, frozen=True):
    """One run's move.

    Attributes:
        start_s: When to begin, in seconds from the notice.
        hand_over_s: When to stop the run and go on at its copy, unless that is not complete yet.
        near: True when it goes to a neighbour in the data centre.
        tokens: Memory that it needs there now.
    """

    attempt: str
    start_s: float
    hand_over_s: float
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
    near, far = _split(runs, near_room)
    copied_s = sum(engine.copy_s(run.tokens) for run in near)
    hand_over_s = copied_s + LATE_S
    steps = []
    at_s = 0.0
    for run in near:
        steps.append(Step(run.attempt, at_s, hand_over_s, True, run.tokens))
        at_s += engine.copy_s(run.tokens)
    at_s = hand_over_s + HAND_OVERS_S if near else 0.0
    for run in far:
        end_s = at_s + FAR_SLOWNESS * engine.copy_s(run.tokens) + LATE_S
        if end_s > left_s:
            break
        steps.append(Step(run.attempt, at_s, end_s, False, run.tokens))
        at_s = end_s
    return steps


def plan_late(
    run: dialect.EngineRun,
    engine: routes.Engine,
    near_room: int,
    elapsed_s: float,
    hand_over_s: float,
) -> Step | None:
    """Return the move of a run that began after the notice, None when it cannot arrive.

    Its times count from the notice, too.

    Args:
        run: The run.
        engine: What the service's engines can do.
        near_room: Tokens that fit the neighbours.
        elapsed_s: Seconds since the notice.
        hand_over_s: When the planned runs are handed over, in seconds from the notice.
    """
    near = run.tokens <= near_room
    copy_s = engine.copy_s(run.tokens) * (1.0 if near else FAR_SLOWNESS)
    start_s = _clear_start_s(elapsed_s, copy_s, hand_over_s)
    if not near and start_s + copy_s + LATE_S > NOTICE_S:
        return None
    return Step(run.attempt, start_s, LATE_HAND_OVER_S, near, run.tokens)


def _clear_start_s(elapsed_s: float, copy_s: float, hand_over_s: float) -> float:
    """Return when to begin a first copy that no plan knew, in seconds from the notice.

    It must not hold up the second copies of the planned runs, unless it came too late by that.
    """
    clear_s = hand_over_s + HAND_OVERS_S
    meets = elapsed_s < clear_s and elapsed_s + copy_s > hand_over_s
    if meets and clear_s + copy_s <= NOTICE_S:
        return clear_s
    return elapsed_s


def _split(
    runs: list[dialect.EngineRun], near_room: int
) -> tuple[list[dialect.EngineRun], list[dialect.EngineRun]]:
    """Return the runs that fit the neighbours and the others, short ones first."""
    near = []
    far = []
    for run in sorted(runs, key=lambda each: (each.tokens, each.attempt)):
        if run.tokens > near_room:
            far.append(run)
            continue
        near.append(run)
        near_room -= run.tokens
    return near, far
