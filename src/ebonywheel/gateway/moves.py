"""Moves of running generations off a server that ends, one after the other.

A run is copied while it goes on, then stopped and copied again, which takes only what was made
meanwhile; then it goes on at the other server as the same run.
"""

import curio

from ebonywheel import exceptions, kernel, messages
from ebonywheel.gateway import balance, dialect, sender, streaming

# Longest time for one copy: those of other hosts from the same server go first.
COPY_TIMEOUT_S = 3.0
MAX_DESTINATIONS = 2


class Mover:
    """Moves this host's runs off servers that end.

    Attributes:
        busy: Ids of the servers that are being emptied.
    """

    def __init__(self, core: kernel.Kernel, send: sender.Sender, streams: streaming.StreamForwarder):
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
        failed: set[str] = set()
        try:
            while run := self._next_run(server, failed):
                if not await self._move(run):
                    failed.add(run.attempt())
        finally:
            self.busy.discard(server)

    def _next_run(self, server: str, failed: set[str]) -> streaming.Run | None:
        held = self.streams.runs.get(server, {})
        waiting = [run for run in held.values() if run.attempt() not in failed]
        movable = [run for run in waiting if self._engine(run) is not None]
        if not movable:
            return None
        # The longest prompt has cost most so far.
        return max(movable, key=lambda run: run.flight.request.prompt.tokens)

    def _engine(self, run: streaming.Run):
        engine = run.flight.service.engine
        return engine if engine is not None and engine.moves else None

    async def _move(self, run: streaming.Run) -> bool:
        avoid = {run.record.server}
        for _ in range(MAX_DESTINATIONS):
            candidate = self._destination(run, avoid)
            if candidate is None or run.done:
                break
            avoid.add(candidate.record.server)
            first = await self._copy(run, candidate.record, stop=False)
            if first.finished:
                return True
            if first.done:
                return await self._hand_over(run, candidate.record)
        self.core.log.warning("move_failed", request=run.attempt(), server=run.record.server)
        return False

    async def _hand_over(self, run: streaming.Run, record: messages.DirectoryRecord) -> bool:
        source = run.record
        run.handover = curio.Result()
        run.stopping = True
        second = await self._copy(run, record, stop=True)
        if second.done:
            handover = streaming.Handover(record, source.address, second.handle)
        elif second.handle:
            # The run has stopped but its copy did not arrive: it goes on where it was.
            handover = streaming.Handover(source, source.address, second.handle)
        else:
            handover = None
            if not second.finished:
                self.core.log.warning("hand_over_failed", request=run.attempt())
        await run.handover.set_value(handover)
        return handover is not None

    def _destination(self, run: streaming.Run, avoid: set[str]) -> balance.Candidate | None:
        flight = run.flight
        tokens = streaming.expected_tokens(flight.request.prompt)
        wish = balance.Wish(
            flight.service, tokens, flight.regions(), frozenset(avoid), streaming.ADMISSION_LIMIT
        )
        return self.view.choose(wish)

    async def _copy(
        self, run: streaming.Run, record: messages.DirectoryRecord, stop: bool
    ) -> dialect.CopyResult:
        call = self.dialect.copy_call(run.attempt(), record.address, stop)
        started_at = self.core.clock.monotonic()
        try:
            status, body = await self.sender.call_engine(run.record, call, COPY_TIMEOUT_S)
            copied = self.dialect.decode_copy(status, body)
        except exceptions.UpstreamError as error:
            status = 0
            copied = dialect.CopyResult(False, "", False)
            self.core.log.warning("copy_failed", request=run.attempt(), error=error)
        self.core.log.info(
            "run_copied",
            request=run.attempt(),
            source=run.record.server,
            destination=record.server,
            stop=stop,
            status=status,
            took_ms=int((self.core.clock.monotonic() - started_at) * 1000),
        )
        return copied
