"""Moves of running generations off a server that ends.

A run is copied while it goes on, then stopped and copied again, which takes only what was made
meanwhile; then it goes on at the other server as the same run. Where the second copy fails, or the
server ends before it, it goes on from the first one. Copies from one server share its link, so all
hosts take its runs in the same order, one after the other: a few whole copies in time are worth
more than many parts.
"""

import curio
import msgspec

from ebonywheel import exceptions, kernel, messages
from ebonywheel.gateway import balance, dialect, moveplan, routes, sender, streaming, view

# Longest time for one copy: engines that leave give notice of about as much.
COPY_TIMEOUT_S = 3.0
REPORT_TIMEOUT_S = 0.5
MAX_DESTINATIONS = 3
# Load up to which a server takes runs of another one: expected lengths are mostly still to come,
# and a run that is preempted later is better than one that is lost now.
MOVE_LIMIT = 1.3
# How often a run that has not begun is looked at again.
NOT_BEGUN_PAUSE_S = 0.1
RETRY_PAUSE_S = 0.05


class Leaving(msgspec.Struct):
    """A server that said that it will end.

    Attributes:
        since: When this host heard of it, monotonic seconds.
        hand_over_at: When the runs of the last plan are handed over, monotonic seconds.
    """

    since: float
    hand_over_at: float = 0.0


class Mover:
    """Moves this host's runs off servers that end.

    Attributes:
        leaving: Servers that said that they will end, by id.
        busy: Ids of the servers that are being emptied.
        moving: Ids of the requests whose runs are being moved.
    """

    def __init__(
        self, core: kernel.Kernel, send: sender.Sender, streams: streaming.StreamForwarder
    ):
        self.core = core
        self.sender = send
        self.view = send.view
        self.dialect = send.dialect
        self.streams = streams
        self.leaving: dict[str, Leaving] = {}
        self.busy: set[str] = set()
        self.moving: set[str] = set()

    async def start(self, server: str) -> None:
        """Begin to empty a server, unless that is under way."""
        self._forget_gone()
        self.leaving.setdefault(server, Leaving(self.core.clock.monotonic()))
        if server not in self.busy and self.streams.runs.get(server):
            self.busy.add(server)
            await self.core.spawn(self._empty(server))

    async def start_late(self, run: streaming.Run) -> None:
        """Begin to move a run whose answer began after its server had said that it will end."""
        leaving = self.leaving.get(run.record.server)
        if leaving is not None and _moves(run.flight.service):
            await self.core.spawn(self._move_late(run, leaving))

    def _forget_gone(self) -> None:
        known = self.view.directory.held
        self.leaving = {name: one for name, one in self.leaving.items() if name in known}

    async def _empty(self, server: str) -> None:
        leaving = self.leaving[server]
        started_at = self.core.clock.monotonic()
        try:
            runs = {run.attempt(): run for run in self._movable(server)}
            if not runs:
                return
            steps = await self._plan(list(runs.values()))
            if steps:
                leaving.hand_over_at = started_at + max(step.hand_over_s for step in steps)
            async with curio.TaskGroup() as group:
                for step in steps:
                    if step.attempt in runs:
                        await group.spawn(self._move(runs[step.attempt], step, started_at))
        finally:
            self.busy.discard(server)

    async def _move_late(self, run: streaming.Run, leaving: Leaving) -> None:
        step = moveplan.plan_late(
            _as_reported(run),
            run.flight.service.engine,
            self._near_room(run),
            self.core.clock.monotonic() - leaving.since,
            leaving.hand_over_at - leaving.since,
        )
        if step is not None:
            await self._move(run, step, leaving.since)

    async def _plan(self, runs: list[streaming.Run]) -> list[moveplan.Step]:
        first = runs[0]
        engine = first.flight.service.engine
        report = await self._report(first)
        reported = {} if report is None else {run.attempt: run for run in report.runs}
        for run in runs:
            # A report lags, so the newest runs may be missing.
            reported.setdefault(run.attempt(), _as_reported(run))
        left_s = moveplan.NOTICE_S
        if report is not None and report.leaves_s is not None:
            left_s = report.leaves_s
        room = self._near_room(first)
        steps = moveplan.plan(list(reported.values()), engine, room, left_s)
        self.core.log.info(
            "moves_planned",
            server=first.record.server,
            runs=len(reported),
            own=len(runs),
            near=sum(step.near for step in steps),
            far=sum(not step.near for step in steps),
            near_room=room,
            left_ms=int(left_s * 1000),
        )
        return steps

    def _near_room(self, run: streaming.Run) -> int:
        """Return how many tokens fit the server's neighbours."""
        memory = run.flight.service.engine.memory_tokens
        room = 0
        for one in self.view.candidates(run.record.service):
            if one.record.data_centre == run.record.data_centre:
                used = one.state.tokens + one.state.other_tokens
                room += max(0, int(memory * MOVE_LIMIT) - used)
        return room

    def _movable(self, server: str) -> list[streaming.Run]:
        held = self.streams.runs.get(server, {})
        return [run for run in held.values() if _moves(run.flight.service)]

    async def _report(self, run: streaming.Run) -> dialect.EngineReport | None:
        """Ask the engine for all of its runs, those of other hosts among them."""
        try:
            call = self.dialect.report_call()
            status, body = await self.sender.call_engine(run.record, call, REPORT_TIMEOUT_S)
        except exceptions.UpstreamError as error:
            self.core.log.warning("report_failed", server=run.record.server, error=error)
            return None
        return self.dialect.decode_report(status, body)

    async def _move(self, run: streaming.Run, step: moveplan.Step, started_at: float) -> None:
        """Take one run through its step of a plan that began at a monotonic time."""
        if run.attempt() in self.moving:
            return
        self.moving.add(run.attempt())
        try:
            await self._wait_until(started_at + step.start_s)
            await self._copy_and_hand_over(run, step, started_at)
        finally:
            self.moving.discard(run.attempt())

    async def _copy_and_hand_over(
        self, run: streaming.Run, step: moveplan.Step, started_at: float
    ) -> None:
        source = run.record.server
        avoid = {source}
        while len(avoid) <= MAX_DESTINATIONS and not run.done:
            candidate = self._destination(run, avoid, step)
            if candidate is None:
                break
            record = candidate.record
            copied = await self._copy(run, record, stop=False)
            if copied.done:
                await self._wait_until(self._hand_over_at(step, started_at))
                # Where the server ended meanwhile, the run has gone on at its copy.
                if not run.done and run.record.server == source:
                    await self._hand_over(run, record)
                return
            if copied.finished:
                if run.cutter.count:
                    return
                await curio.sleep(NOT_BEGUN_PAUSE_S)
                continue
            avoid.add(record.server)
            await curio.sleep(RETRY_PAUSE_S)
        self.core.log.warning("move_failed", request=run.attempt(), server=run.record.server)

    def _hand_over_at(self, step: moveplan.Step, started_at: float) -> float:
        """Return when to stop a run whose first copy is complete now."""
        planned_at = started_at + step.hand_over_s
        if self.core.clock.monotonic() <= planned_at:
            return planned_at
        return started_at + moveplan.LATE_HAND_OVER_S

    async def _wait_until(self, at: float) -> None:
        left_s = at - self.core.clock.monotonic()
        if left_s > 0:
            await curio.sleep(left_s)

    async def _hand_over(self, run: streaming.Run, record: messages.DirectoryRecord) -> None:
        """Stop a run that has been copied, so that it goes on at its copy."""
        run.moved = curio.Event()
        try:
            await self._copy(run, record, stop=True)
        finally:
            await run.moved.set()

    def _destination(
        self, run: streaming.Run, avoid: set[str], step: moveplan.Step
    ) -> balance.Candidate | None:
        flight = run.flight
        wish = balance.Wish(
            flight.service,
            step.tokens,
            flight.regions(),
            frozenset(avoid),
            MOVE_LIMIT,
            lasting=True,
            data_centre=run.record.data_centre if step.near else "",
        )
        return self.view.choose(wish, self.view.place_of(run.record))

    async def _copy(
        self, run: streaming.Run, record: messages.DirectoryRecord, stop: bool
    ) -> dialect.CopyResult:
        """Copy a run to a server, where it takes its room at once."""
        tokens = streaming.expected_tokens(run.flight.request.prompt)
        room = view.Use(self.view.state_of(record), tokens, requests=0)
        source = run.record
        call = self.dialect.copy_call(run.attempt(), record.address, stop)
        started_at = self.core.clock.monotonic()
        status = 0
        copied = dialect.CopyResult(False, "", False)
        try:
            status, body = await self.sender.call_engine(source, call, COPY_TIMEOUT_S)
            copied = self.dialect.decode_copy(status, body)
        except exceptions.UpstreamError as error:
            self.core.log.warning("copy_failed", request=run.attempt(), error=error)
        finally:
            now = self.core.clock.monotonic()
            copy = streaming.Copy(record, source.address, copied.handle, room)
            if copied.done and not run.done:
                run.keep_copy(copy)
            else:
                room.close()
        if copied.done and run.done:
            await self.streams.drop_copy(run.attempt(), source, copy)
        self.core.log.info(
            "run_copied",
            request=run.attempt(),
            source=source.server,
            destination=record.server,
            stop=stop,
            status=status,
            events=run.cutter.count,
            took_ms=int((now - started_at) * 1000),
        )
        return copied


def _as_reported(run: streaming.Run) -> dialect.EngineRun:
    """Return what the engine will report of a run, as far as this host can tell."""
    return dialect.EngineRun(run.attempt(), run.flight.request.prompt.tokens, run.cutter.count)


def _moves(service: routes.Service) -> bool:
    return service.engine is not None and service.engine.moves
