"""Moves of running generations off a server that ends.

A run is copied while it goes on, then stopped and copied again, which takes only what was made
meanwhile; then it goes on at the other server as the same run. Where the second copy fails it goes
on from the first one. Copies from one server share its link, so all hosts take its runs in the same
order, one after the other: a few whole copies in time are worth more than many parts.
"""

import curio

from ebonywheel import exceptions, kernel, messages
from ebonywheel.gateway import balance, dialect, routes, sender, streaming, view

# Longest time for one copy: engines that leave give notice of about as much.
COPY_TIMEOUT_S = 3.0
REPORT_TIMEOUT_S = 0.5
MAX_DESTINATIONS = 3
# A copy within a data centre is faster by a factor than one across, so nearness counts for more
# here than where a request is placed.
NEAR_WEIGHT = 3.0
# Beside its bytes a move takes two calls from a host up to 12 ms away, and what the second copies.
COPY_OVERHEAD_S = 0.08
# How often a run that has not begun is looked at again.
NOT_BEGUN_PAUSE_S = 0.1
RETRY_PAUSE_S = 0.05


class Mover:
    """Moves this host's runs off servers that end.

    Attributes:
        busy: Ids of the servers that are being emptied.
    """

    def __init__(
        self, core: kernel.Kernel, send: sender.Sender, streams: streaming.StreamForwarder
    ):
        self.core = core
        self.sender = send
        self.view = send.view
        self.dialect = send.dialect
        self.streams = streams
        self.busy: set[str] = set()

    async def start(self, server: str) -> None:
        """Begin to empty a server, unless that is under way."""
        if server not in self.busy and self.streams.runs.get(server):
            self.busy.add(server)
            await self.core.spawn(self._empty(server))

    async def _empty(self, server: str) -> None:
        started_at = self.core.clock.monotonic()
        try:
            runs = self._movable(server)
            if not runs:
                return
            report = [] if self.view.alone(runs[0].record) else await self._report(runs[0])
            for delay_s, run in schedule(runs, report):
                left_s = started_at + delay_s - self.core.clock.monotonic()
                if left_s > 0:
                    await curio.sleep(left_s)
                if not run.done:
                    await self._move(run)
        finally:
            self.busy.discard(server)

    def _movable(self, server: str) -> list[streaming.Run]:
        held = self.streams.runs.get(server, {})
        return [run for run in held.values() if _moves(run.flight.service)]

    async def _report(self, run: streaming.Run) -> list[dialect.EngineRun]:
        """Ask the engine for all of its runs, those of other hosts among them."""
        try:
            call = self.dialect.report_call()
            status, body = await self.sender.call_engine(run.record, call, REPORT_TIMEOUT_S)
        except exceptions.UpstreamError as error:
            self.core.log.warning("report_failed", server=run.record.server, error=error)
            return []
        report = self.dialect.decode_report(status, body)
        return [] if report is None else report.runs

    async def _move(self, run: streaming.Run) -> None:
        avoid = {run.record.server}
        while len(avoid) <= MAX_DESTINATIONS and not run.done:
            record = self._next_destination(run, avoid)
            if record is None:
                break
            copied = await self._copy(run, record, stop=False)
            if copied.done:
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

    def _next_destination(
        self, run: streaming.Run, avoid: set[str]
    ) -> messages.DirectoryRecord | None:
        if self.streams.has_copy(run) and run.copy.record.server not in avoid:
            return run.copy.record
        candidate = self._destination(run, avoid, streaming.ADMISSION_LIMIT)
        return None if candidate is None else candidate.record

    async def _hand_over(self, run: streaming.Run, record: messages.DirectoryRecord) -> None:
        """Stop a run that has been copied, so that it goes on at its copy."""
        run.moved = curio.Event()
        try:
            await self._copy(run, record, stop=True)
        finally:
            await run.moved.set()

    def _destination(
        self, run: streaming.Run, avoid: set[str], limit: float
    ) -> balance.Candidate | None:
        flight = run.flight
        wish = balance.Wish(
            flight.service,
            streaming.expected_tokens(flight.request.prompt),
            flight.regions(),
            frozenset(avoid),
            limit,
            NEAR_WEIGHT,
            lasting=True,
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
            if copied.done and not run.done:
                run.keep_copy(streaming.Copy(record, source.address, copied.handle, room, now))
            else:
                room.close()
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


def schedule(
    runs: list[streaming.Run], report: list[dialect.EngineRun]
) -> list[tuple[float, streaming.Run]]:
    """Return when to begin moving each run, in seconds from the notice.

    Args:
        runs: Own runs at the server.
        report: All runs at the server, as it reports them to every host alike; short copies go
            first, so that as many runs as possible are moved in time.
    """
    own = {run.attempt(): run for run in runs}
    planned = []
    delay_s = 0.0
    for reported in sorted(report, key=lambda each: (each.tokens, each.attempt)):
        run = own.pop(reported.attempt, None)
        if run is not None:
            planned.append((delay_s, run))
        engine = runs[0].flight.service.engine
        delay_s += engine.copy_s(reported.tokens) + COPY_OVERHEAD_S
    # What the report does not show has begun lately, or not at all; without a report, runs that
    # need little more go first.
    rest = sorted(own.values(), key=lambda run: (run.copy is None, -_tokens_to_come(run)))
    return planned + [(delay_s, run) for run in rest]


def _tokens_to_come(run: streaming.Run) -> int:
    """Return how many tokens a run is still expected to make, by events passed on so far."""
    return streaming.expected_answer(run.flight.request.prompt) - run.cutter.count


def _moves(service: routes.Service) -> bool:
    return service.engine is not None and service.engine.moves
