"""Planning of moves: which runs to copy off a server that shuts down, where to, and when.

A server's copies share its link, so they are made one after the other. A copy to a neighbour,
another server in the same data centre, takes about a quarter of a second. A copy to another region
takes about as long as the whole shutdown notice and delays every copy queued behind it. So the plan
fills the neighbours first, shorter runs before longer ones, and includes only copies that can
complete in time: a partial copy is useless and occupies memory at its destination for seconds.

A run is moved with two copies: a first one while it continues, and a second one, with only what is
new, after it has been stopped. The second takes milliseconds unless it queues behind a first copy.
So all first copies to neighbours are made before any run is stopped, and then these runs are handed
over together.
"""

import msgspec

from ebonywheel.gateway import dialect, routes

# How much later than planned a copy may start: hosts in other regions, 12 ms away one way, fetch
# the report and open a new connection first.
START_DELAY_S = 0.1
# Time for all second copies and the calls that request them.
HAND_OVER_DURATION_S = 0.1
# Shutdown notice to assume when an engine does not report one.
DEFAULT_NOTICE_S = 1.5
# When runs that began after the notice are handed over, in seconds from the notice. By then servers
# with a short notice have shut down and their runs continue from the first copies; at the others,
# no first copies remain that would delay the second ones.
LATE_HAND_OVER_S = 2.2
# A link between data centres has a tenth of the throughput of one within a data centre.
FAR_COPY_FACTOR = 10.0


class PlannedMove(msgspec.Struct, frozen=True):
    """Planned move of one run.

    Attributes:
        start_s: When to start the first copy, in seconds from the notice.
        hand_over_s: When to stop the run and continue it at its copy, in seconds from the notice;
            later if the first copy is not complete by then.
        near: True when the destination is a neighbour in the same data centre.
        tokens: Memory that it needs at the destination now, in tokens.
    """

    attempt: str
    start_s: float
    hand_over_s: float
    near: bool
    tokens: int


def plan_moves(
    runs: list[dialect.EngineRun], engine: routes.Engine, near_room: int, remaining_s: float
) -> list[PlannedMove]:
    """Return the moves that can complete in time, in order.

    All hosts compute the same plan, as they see the same report and free memory.

    Args:
        runs: All runs at the server.
        engine: Capabilities of the service's engines.
        near_room: Free memory of the neighbours, in tokens.
        remaining_s: Seconds until the server shuts down.
    """
    near, far = _split_by_room(runs, near_room)
    first_copies_s = sum(engine.copy_s(run.tokens) for run in near)
    hand_over_s = first_copies_s + START_DELAY_S
    moves = []
    next_start_s = 0.0
    for run in near:
        moves.append(PlannedMove(run.attempt, next_start_s, hand_over_s, True, run.tokens))
        next_start_s += engine.copy_s(run.tokens)
    next_start_s = hand_over_s + HAND_OVER_DURATION_S if near else 0.0
    for run in far:
        end_s = next_start_s + FAR_COPY_FACTOR * engine.copy_s(run.tokens) + START_DELAY_S
        if end_s > remaining_s:
            break
        moves.append(PlannedMove(run.attempt, next_start_s, end_s, False, run.tokens))
        next_start_s = end_s
    return moves


def plan_late_move(
    run: dialect.EngineRun,
    engine: routes.Engine,
    near_room: int,
    elapsed_s: float,
    hand_over_s: float,
) -> PlannedMove | None:
    """Return the move of a run that began after the notice, None when it cannot complete in time.

    Args:
        run: The run.
        engine: Capabilities of the service's engines.
        near_room: Free memory of the neighbours, in tokens.
        elapsed_s: Seconds since the notice.
        hand_over_s: When the planned runs are handed over, in seconds from the notice.
    """
    near = run.tokens <= near_room
    copy_s = engine.copy_s(run.tokens) * (1.0 if near else FAR_COPY_FACTOR)
    start_s = _late_start_s(elapsed_s, copy_s, hand_over_s)
    if not near and start_s + copy_s + START_DELAY_S > DEFAULT_NOTICE_S:
        return None
    return PlannedMove(run.attempt, start_s, LATE_HAND_OVER_S, near, run.tokens)


def _late_start_s(elapsed_s: float, copy_s: float, hand_over_s: float) -> float:
    """Return when to start the first copy of a late run, in seconds from the notice.

    The copy waits until the second copies of the planned runs are done if it would delay them and
    can still complete in time after them. Otherwise it starts at once.
    """
    second_copies_done_s = hand_over_s + HAND_OVER_DURATION_S
    overlaps = elapsed_s < second_copies_done_s and elapsed_s + copy_s > hand_over_s
    if overlaps and second_copies_done_s + copy_s <= DEFAULT_NOTICE_S:
        return second_copies_done_s
    return elapsed_s


def _split_by_room(
    runs: list[dialect.EngineRun], near_room: int
) -> tuple[list[dialect.EngineRun], list[dialect.EngineRun]]:
    """Return the runs that fit the neighbours, and the others, both with shorter runs first."""
    near = []
    far = []
    for run in sorted(runs, key=lambda run: (run.tokens, run.attempt)):
        if run.tokens > near_room:
            far.append(run)
            continue
        near.append(run)
        near_room -= run.tokens
    return near, far
