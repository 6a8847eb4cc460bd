"""Moving of running generations off a server that shuts down.

A run is copied to another server while it continues. Then it is stopped and copied a second time,
which transfers only what is new, and continues at the other server as the same run. If the second
copy fails, or the server shuts down before it, the run continues from the first copy. Copies from
one server share its link, so all hosts follow the same plan and copy the server's runs one after
the other: a partial copy is useless.
"""

import curio
import msgspec

from ebonywheel import exceptions, kernel, messages
from ebonywheel.gateway import (
    balance,
    dialect,
    events,
    moveplan,
    relayedrun,
    sender,
    speeds,
    streaming,
)

REPORT_TIMEOUT_S = 0.5
MAX_DESTINATIONS = 3
# Load up to which a server may take over runs. It may exceed the server's memory, as most of the
# expected tokens are not generated yet, and preempting a run later is better than losing it now.
MAX_DESTINATION_LOAD = 1.3
# A run is stopped once a copy of what is new took at most this long: the copy after the stop takes
# as long again, and the caller gets no events meanwhile.
MAX_HAND_OVER_COPY_S = 0.06
# Copies of what is new before a run is stopped in any case.
MAX_CATCH_UP_COPIES = 3
# Pause before the next attempt to copy a run that its engine has not started.
NOT_STARTED_RETRY_S = 0.1
RETRY_PAUSE_S = 0.05
# Runs that stay at a server whose version gets no more requests are planned for again after this
# time. Each plan asks the server for a report.
VERSION_CHANGE_RETRY_S = 0.5


class ShutdownNotice(msgspec.Struct):
    """Shutdown notice of a server.

    Attributes:
        received_at: When this host received it, monotonic seconds.
        hand_over_at: When the last of the planned runs is handed over, monotonic seconds; 0 when no
            moves are planned.
    """

    received_at: float
    hand_over_at: float = 0.0


class Mover:
    """Moves this host's runs off servers that shut down.

    Attributes:
        notices: Shutdown notices by server id.
        evacuating: Ids of the servers whose runs are being moved by a plan.
        version_changes: When such a plan was made last for a server whose version gets no more
            requests, monotonic seconds.
        moving: Runs that are being moved, by request id and by the server that they leave.
    """

    def __init__(
        self, core: kernel.Kernel, request_sender: sender.Sender, streams: streaming.StreamForwarder
    ):
        self.core = core
        self.sender = request_sender
        self.view = request_sender.view
        self.dialect = request_sender.dialect
        self.streams = streams
        self.copies = streams.copies
        self.notices: dict[str, ShutdownNotice] = {}
        self.evacuating: set[str] = set()
        self.version_changes: dict[str, float] = {}
        self.moving: set[tuple[str, str]] = set()

    async def start_evacuation(self, server: str) -> None:
        """Start to move all runs off a server, unless that is in progress."""
        self._forget_gone_servers()
        self.notices.setdefault(server, ShutdownNotice(self.core.clock.monotonic()))
        if server not in self.evacuating and self.streams.runs.get(server):
            self.evacuating.add(server)
            await self.core.spawn(self._evacuate(server))

    async def start_version_change(self, server: str) -> None:
        """Start to move all runs off a server whose version gets no more requests.

        It has not said that it shuts down; a notice of that still counts from its own time.
        """
        if server not in self.evacuating and self.streams.runs.get(server):
            self.evacuating.add(server)
            self.version_changes[server] = self.core.clock.monotonic()
            await self.core.spawn(self._evacuate(server))

    async def repeat_version_changes(self) -> None:
        """Start again to move runs that stayed, or began later, at servers that they leave."""
        now = self.core.clock.monotonic()
        self.version_changes = {
            server: at
            for server, at in self.version_changes.items()
            if now - at < VERSION_CHANGE_RETRY_S
        }
        for server, runs in list(self.streams.runs.items()):
            record = next(iter(runs.values())).record
            if server not in self.version_changes and self.view.rollouts.is_leaving(record):
                await self.start_version_change(server)

    async def start_late_move(self, run: relayedrun.Run) -> None:
        """Start to move a run whose answer began after its server's shutdown notice."""
        notice = self.notices.get(run.record.server)
        if notice is not None and _supports_moves(run):
            await self.core.spawn(self._move_late(run, notice))

    def _forget_gone_servers(self) -> None:
        known = self.view.directory.entries
        self.notices = {
            server: notice for server, notice in self.notices.items() if server in known
        }

    async def _evacuate(self, server: str) -> None:
        notice = self.notices.get(server)
        started_at = self.core.clock.monotonic()
        try:
            runs = {run.attempt(): run for run in self._movable_runs(server)}
            if not runs:
                return
            moves = await self._plan_moves(list(runs.values()))
            if moves and notice is not None:
                notice.hand_over_at = started_at + max(move.hand_over_s for move in moves)
            async with curio.TaskGroup() as group:
                for move in moves:
                    if move.attempt in runs:
                        await group.spawn(self._move(runs[move.attempt], move, started_at))
        finally:
            self.evacuating.discard(server)

    async def _move_late(self, run: relayedrun.Run, notice: ShutdownNotice) -> None:
        move = moveplan.plan_late_move(
            _to_engine_run(run),
            run.context.service.engine,
            self._near_room(run),
            self.core.clock.monotonic() - notice.received_at,
            notice.hand_over_at - notice.received_at,
        )
        if move is not None:
            await self._move(run, move, notice.received_at)

    async def _plan_moves(self, runs: list[relayedrun.Run]) -> list[moveplan.PlannedMove]:
        first = runs[0]
        engine = first.context.service.engine
        report = await self._fetch_report(first)
        reported = {} if report is None else {run.attempt: run for run in report.runs}
        for run in runs:
            # A report lags, so the newest runs may be missing from it.
            reported.setdefault(run.attempt(), _to_engine_run(run))
        remaining_s = moveplan.DEFAULT_NOTICE_S
        if report is not None and report.shutdown_in_s is not None:
            remaining_s = report.shutdown_in_s
        room = self._near_room(first)
        moves = moveplan.plan_moves(list(reported.values()), engine, room, remaining_s)
        self.core.log.info(
            "moves_planned",
            server=first.record.server,
            runs=len(reported),
            own=len(runs),
            near=sum(move.near for move in moves),
            far=sum(not move.near for move in moves),
            near_room=room,
            left_ms=int(remaining_s * 1000),
        )
        return moves

    def _near_room(self, run: relayedrun.Run) -> int:
        """Return the free memory of the neighbours of a run's server, in tokens."""
        memory = run.context.service.engine.memory_tokens
        room = 0
        destinations = self.view.destinations(run.record)
        for candidate in next(filter(None, destinations), []):
            if candidate.record.data_centre == run.record.data_centre:
                used = candidate.state.tokens + candidate.state.other_tokens
                room += max(0, int(memory * MAX_DESTINATION_LOAD) - used)
        return room

    def _movable_runs(self, server: str) -> list[relayedrun.Run]:
        runs = self.streams.runs.get(server, {})
        return [run for run in runs.values() if _supports_moves(run)]

    async def _fetch_report(self, run: relayedrun.Run) -> dialect.EngineReport | None:
        """Fetch the report of a run's engine; it also lists the runs of other hosts."""
        try:
            call = self.dialect.report_call()
            status, body = await self.sender.call_engine(run.record, call, REPORT_TIMEOUT_S)
        except exceptions.UpstreamError as error:
            self.core.log.warning("report_failed", server=run.record.server, error=error)
            return None
        return self.dialect.decode_report(status, body)

    async def _move(
        self, run: relayedrun.Run, move: moveplan.PlannedMove, started_at: float
    ) -> None:
        """Move one run; its planned times count from `started_at`, monotonic seconds."""
        source = run.record
        key = (run.attempt(), source.server)
        if key in self.moving:
            return
        self.moving.add(key)
        try:
            await self._wait_until(started_at + move.start_s)
            await self._copy_and_hand_over(run, source, move, started_at)
        finally:
            self.moving.discard(key)

    async def _copy_and_hand_over(
        self,
        run: relayedrun.Run,
        source: messages.DirectoryRecord,
        move: moveplan.PlannedMove,
        started_at: float,
    ) -> None:
        """Move one run, unless it ends or breaks off at its source before."""
        excluded = {source.server}
        while len(excluded) <= MAX_DESTINATIONS and run.goes_on_at(source):
            candidate = self._choose_destination(run, excluded, move)
            if candidate is None:
                break
            record = candidate.record
            if not await self.streams.permits.acquire(record):
                excluded.add(record.server)
                continue
            copy_result = await self.copies.make(run, record, stop=False)
            if copy_result.complete:
                await self._wait_until(started_at + move.hand_over_s)
                await self._wait_admitted(run, source)
                await self._catch_up(run, source, record)
                if not run.goes_on_at(source):
                    return
                if self.view.remains_in_service(record):
                    await self._hand_over(run, record)
                    return
                excluded.add(record.server)
                continue
            if copy_result.run_not_found:
                if run.splitter.count:
                    # It had started, so it has ended since.
                    return
                await curio.sleep(NOT_STARTED_RETRY_S)
                continue
            excluded.add(record.server)
            await curio.sleep(RETRY_PAUSE_S)
        if run.goes_on_at(source):
            self.core.log.warning("move_failed", request=run.attempt(), server=source.server)

    async def _wait_until(self, at: float) -> None:
        remaining_s = at - self.core.clock.monotonic()
        if remaining_s > 0:
            await curio.sleep(remaining_s)

    async def _wait_admitted(self, run: relayedrun.Run, source: messages.DirectoryRecord) -> None:
        """Wait until a run may go on elsewhere, or has left its source.

        A suspect run that is refused once it has been stopped would be lost.
        """
        while run.goes_on_at(source):
            if await self.streams.crashes.admit_running(run.context):
                return
            await curio.sleep(RETRY_PAUSE_S)

    async def _catch_up(
        self,
        run: relayedrun.Run,
        source: messages.DirectoryRecord,
        record: messages.DirectoryRecord,
    ) -> None:
        """Copy what is new while the run continues, until the links are free for a short copy.

        A copy queues behind those of other runs and servers on both links.
        """
        for _ in range(MAX_CATCH_UP_COPIES):
            if not run.goes_on_at(source):
                return
            began_at = self.core.clock.monotonic()
            copy_result = await self.copies.make(run, record, stop=False)
            took_s = self.core.clock.monotonic() - began_at
            if not copy_result.complete or took_s <= MAX_HAND_OVER_COPY_S:
                return

    async def _hand_over(self, run: relayedrun.Run, record: messages.DirectoryRecord) -> None:
        """Stop a copied run and copy it again, so that it continues at the copy."""
        run.move_finished = curio.Event()
        try:
            await self.copies.make(run, record, stop=True)
        finally:
            await run.move_finished.set()

    def _choose_destination(
        self, run: relayedrun.Run, excluded: set[str], move: moveplan.PlannedMove
    ) -> balance.Candidate | None:
        context = run.context
        requirements = balance.Requirements(
            context.service,
            move.tokens,
            context.regions(),
            frozenset(excluded),
            MAX_DESTINATION_LOAD,
            long_running=True,
            data_centre=run.record.data_centre if move.near else "",
            target_latency_s=context.route.target_latency_s,
            stream_s=speeds.stream_s(context.request.prompt, context.route, run.splitter.count),
        )
        return self.view.choose(requirements, run.record)


def _to_engine_run(run: relayedrun.Run) -> dialect.EngineRun:
    """Return a run as its engine would report it, from what this host knows."""
    return dialect.EngineRun(run.attempt(), run.context.request.prompt.tokens, run.splitter.count)


def _supports_moves(run: relayedrun.Run) -> bool:
    """Return whether a run may go on at another server, after its last event."""
    engine = run.context.service.engine
    is_event_stream = isinstance(run.splitter, events.EventSplitter)
    return engine is not None and engine.supports_moves and is_event_stream
