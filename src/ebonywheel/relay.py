"""Carries one generation from one backend server to one reader, each token once and in order."""

import typing

import curio

from ebonywheel import (
    engineclient,
    exceptions,
    feed,
    fleet,
    kernel,
    pace,
    placement,
    slots,
    streamid,
)

HEAD_TIMEOUT_S = 10.0
RESUME_HEAD_TIMEOUT_S = 1.5
RESUME_PAUSE_S = 0.1
RESUME_WINDOW_S = 10.0
REFUSALS_MEAN_DEATH = 2
GAP_SAMPLE = 8


class TokenSink(typing.Protocol):
    """Where a generation's tokens go.

    Attributes:
        resumable: Whether the reader can come back for the rest through another entry host.
    """

    resumable: bool

    def started(self, stream: streamid.StreamId) -> None:
        """Learn, before any work is sent, which generation the tokens will come from."""

    async def tokens(self, stream: streamid.StreamId, first: int, data: list[bytes]) -> None:
        """Take the next tokens, each as JSON."""

    def restart(self) -> bool:
        """Drop what was taken; return False when the reader has already seen some of it."""


class Superseded(exceptions.UpstreamError):
    """Another reader has taken the generation over, or it was cancelled."""


class Relay:
    """Carries one generation.

    Attributes:
        next_index: Index of the token that the sink needs next.
        engine_died: True when the backend server refused connections, or is another incarnation.
    """

    def __init__(
        self,
        core: kernel.Kernel,
        servers: fleet.Fleet,
        source: feed.Feed,
        place: placement.Placement,
        sink: TokenSink,
        next_index: int = 0,
    ):
        self.core = core
        self.fleet = servers
        self.feed = source
        self.place = place
        self.sink = sink
        self.next_index = next_index
        self.pace = pace.Pace()
        self.sent = False
        self.refusals = 0
        self.batches = 0
        self.engine_died = False
        self.started_at = core.clock.monotonic()
        self.last_at = self.started_at
        holding = place.holding
        self.stream = streamid.StreamId(
            holding.server,
            holding.incarnation,
            holding.loan,
            holding.service,
            holding.customer,
        )

    async def run(self, request: engineclient.GenerateRequest | None) -> engineclient.End:
        """Relay until the end; without a request, resume.

        Raises:
            UpstreamError: The generation is lost, or `next_index` is 0 and it may start anew.
            HttpError: The reader has gone.
            NotRunError: The loan ran out before its use.
        """
        outcome = slots.OUTCOME_FAILED
        try:
            end = await self._relay(request)
            outcome = slots.OUTCOME_FINISHED
            return end
        except (curio.CancelledError, exceptions.HttpError):
            outcome = self._outcome_of_hangup()
            raise
        except Superseded:
            outcome = slots.OUTCOME_DETACHED
            raise
        finally:
            async with curio.disable_cancellation():
                await self._let_go(outcome)

    def _outcome_of_hangup(self) -> str:
        resumable = self.sink.resumable and self.sent
        return slots.OUTCOME_DETACHED if resumable else slots.OUTCOME_FAILED

    async def _let_go(self, outcome: str) -> None:
        if outcome == slots.OUTCOME_FAILED and not self.sent:
            outcome = "unused"
        elif outcome == slots.OUTCOME_FAILED and not self.engine_died:
            # Only the server's own word ends the work; without it the home goes on asking.
            if await engineclient.cancel(self.place.view.state, self.stream.loan):
                outcome = "cancelled"
        await self.fleet.release(self.place.holding, outcome)

    async def _relay(self, request: engineclient.GenerateRequest | None) -> engineclient.End:
        try:
            return await self._read_once(request)
        except exceptions.UpstreamError as error:
            if self.next_index == 0 and request is not None:
                self._note_refusal(error, REFUSALS_MEAN_DEATH)
                raise
            return await self._reopen(error)

    async def _reopen(self, error: exceptions.UpstreamError) -> engineclient.End:
        deadline = self.core.clock.monotonic() + RESUME_WINDOW_S
        while True:
            if isinstance(error, (engineclient.RefusedByEngine, Superseded)):
                raise error
            self._note_refusal(error)
            if self.engine_died or self.core.clock.monotonic() >= deadline:
                raise error
            self.core.metrics.count("stream_resumes", step=error.step)
            before = self.next_index
            try:
                return await self._read_once(None)
            except exceptions.UpstreamError as again:
                error = again
            if self.next_index > before:
                deadline = self.core.clock.monotonic() + RESUME_WINDOW_S
            await curio.sleep(RESUME_PAUSE_S)

    def _note_refusal(self, error: exceptions.UpstreamError, weight: int = 1) -> None:
        if isinstance(error, engineclient.OtherIncarnation):
            self.engine_died = True
        if isinstance(error.__cause__, ConnectionRefusedError):
            self.refusals += weight
        self.engine_died = self.engine_died or self.refusals >= REFUSALS_MEAN_DEATH

    async def _read_once(self, request: engineclient.GenerateRequest | None) -> engineclient.End:
        engine = engineclient.EngineStream(self.place.view.state)
        try:
            await engine.connect()
            if request is None:
                self.sent = True
                await engine.resume(self.stream.loan, self.next_index, RESUME_HEAD_TIMEOUT_S)
            else:
                self._check_may_start()
                self.sink.started(self.stream)
                self.sent = True
                await engine.generate(request, HEAD_TIMEOUT_S)
            self.last_at = self.core.clock.monotonic()
            return await self._pump(engine)
        finally:
            await engine.close()

    def _check_may_start(self) -> None:
        # Nothing may come between these checks and the first byte: this process may have been
        # paused, the server's data centre taken out.
        self.fleet.check_loan(self.place.holding)
        self.feed.require_in_service(self.place.view.state.data_centre, "start")

    async def _pump(self, engine: engineclient.EngineStream) -> engineclient.End:
        while True:
            events = await engine.read(self.pace.silence_s())
            now = self.core.clock.monotonic()
            for event in events:
                if isinstance(event, engineclient.Tokens):
                    await self._take(event, now)
                elif isinstance(event, engineclient.End):
                    self._check_end(event)
                    return event
                elif isinstance(event, engineclient.Replaced):
                    raise Superseded("another reader took over", "read", self.stream.server, True)
                else:
                    self.pace.observe_keep_alive(now - self.last_at)
            self.last_at = self.core.clock.monotonic()

    async def _take(self, batch: engineclient.Tokens, now: float) -> None:
        data = batch.data
        duplicates = self.next_index - batch.first
        if duplicates < 0:
            raise exceptions.UpstreamError(
                f"token {batch.first} where {self.next_index} was expected",
                "order tokens",
                self.stream.server,
                True,
            )
        if duplicates:
            self.core.metrics.count("duplicate_tokens", min(duplicates, len(data)))
            data = data[duplicates:]
            if not data:
                return
        self._observe(now, len(data))
        first = self.next_index
        self.next_index += len(data)
        self.place.holding.tokens = self.next_index
        await self.sink.tokens(self.stream, first, data)

    def _observe(self, now: float, count: int) -> None:
        gap_s = now - self.last_at
        if self.next_index > 0:
            self.pace.observe_tokens(gap_s, count)
        else:
            self.core.metrics.observe(
                "time_to_first_token", now - self.started_at, service=self.stream.service
            )
        self.batches += 1
        if self.batches % GAP_SAMPLE == 0:
            self.core.metrics.observe("token_gap", gap_s, service=self.stream.service)

    def _check_end(self, end: engineclient.End) -> None:
        if end.tokens != self.next_index:
            raise exceptions.UpstreamError(
                f"ended at {end.tokens} tokens where {self.next_index} were relayed",
                "check end",
                self.stream.server,
                True,
            )
