"""Relays one generation from a backend server to a reader, each token once and in order."""

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

GENERATE_HEAD_TIMEOUT_S = 10.0
RESUME_HEAD_TIMEOUT_S = 1.5
RESUME_RETRY_DELAY_S = 0.1
# Resuming gives up when no token has arrived for this long.
RESUME_WINDOW_S = 10.0
REFUSALS_UNTIL_DEAD = 2
GAP_SAMPLE_INTERVAL = 8


class TokenSink(typing.Protocol):
    """Receives a generation's tokens.

    Attributes:
        resumable: Whether the reader can resume the stream, through any entry host.
    """

    resumable: bool

    def on_started(self, stream_id: streamid.StreamId) -> None:
        """Receive the generation's id, before any work is sent to the backend server."""

    async def write_tokens(
        self, stream_id: streamid.StreamId, first_index: int, tokens: list[bytes]
    ) -> None:
        """Receive consecutive tokens, each as JSON."""

    def try_reset(self) -> bool:
        """Discard the tokens received; return False if the reader has already received some."""


class SupersededError(exceptions.UpstreamError):
    """Another reader has taken over the generation, or it was cancelled."""


class TokenRelay:
    """Relays the tokens of one generation and reconnects when a connection fails.

    Attributes:
        next_index: Index of the next token to pass to the sink.
        sent: Whether a request for work may have been sent to the backend server.
        refusals: Refused connections so far. A refusal before the first token counts as
            REFUSALS_UNTIL_DEAD.
        engine_died: Whether the backend server refuses connections or is another incarnation.
    """

    def __init__(
        self,
        core: kernel.Kernel,
        server_fleet: fleet.Fleet,
        config_feed: feed.Feed,
        placed: placement.Placement,
        sink: TokenSink,
        next_index: int = 0,
    ):
        self.core = core
        self.fleet = server_fleet
        self.feed = config_feed
        self.placement = placed
        self.sink = sink
        self.next_index = next_index
        self.gaps = pace.GapEstimator()
        self.sent = False
        self.refusals = 0
        self.batch_count = 0
        self.engine_died = False
        self.started_at = core.clock.monotonic()
        self.last_event_at = self.started_at
        holding = placed.holding
        self.stream_id = streamid.StreamId(
            holding.server,
            holding.incarnation,
            holding.loan,
            holding.service,
            holding.customer,
        )

    async def run(self, request: engineclient.GenerateRequest | None) -> engineclient.End:
        """Relay until the generation ends. Without a request, resume it.

        Raises:
            UpstreamError: The generation is lost. While `next_index` is 0 it may be restarted.
            HttpError: The reader has disconnected.
            NotRunError: The loan expired before it was used.
        """
        outcome = slots.OUTCOME_FAILED
        try:
            end = await self._relay_with_resume(request)
            outcome = slots.OUTCOME_FINISHED
            return end
        except (curio.CancelledError, exceptions.HttpError):
            outcome = self._hangup_outcome()
            raise
        except SupersededError:
            outcome = slots.OUTCOME_DETACHED
            raise
        finally:
            async with curio.disable_cancellation():
                await self._release(outcome)

    def _hangup_outcome(self) -> str:
        resumable = self.sink.resumable and self.sent
        return slots.OUTCOME_DETACHED if resumable else slots.OUTCOME_FAILED

    async def _release(self, outcome: str) -> None:
        if outcome == slots.OUTCOME_FAILED and not self.sent:
            outcome = "unused"
        elif outcome == slots.OUTCOME_FAILED and not self.engine_died:
            # Only the server's confirmation ends the work; without it the home host cancels again.
            if await engineclient.cancel(self.placement.view.state, self.stream_id.loan):
                outcome = "cancelled"
        await self.fleet.release(self.placement.holding, outcome)

    async def _relay_with_resume(
        self, request: engineclient.GenerateRequest | None
    ) -> engineclient.End:
        try:
            return await self._run_connection(request)
        except exceptions.UpstreamError as error:
            if self.next_index == 0 and request is not None:
                self._record_connect_failure(error, REFUSALS_UNTIL_DEAD)
                raise
            return await self._resume_until_end(error)

    async def _resume_until_end(self, error: exceptions.UpstreamError) -> engineclient.End:
        deadline = self.core.clock.monotonic() + RESUME_WINDOW_S
        while True:
            if isinstance(error, (engineclient.RefusedByEngineError, SupersededError)):
                raise error
            self._record_connect_failure(error)
            if self.engine_died or self.core.clock.monotonic() >= deadline:
                raise error
            self.core.metrics.count("stream_resumes", step=error.step)
            previous_index = self.next_index
            try:
                return await self._run_connection(None)
            except exceptions.UpstreamError as next_error:
                error = next_error
            if self.next_index > previous_index:
                deadline = self.core.clock.monotonic() + RESUME_WINDOW_S
            await curio.sleep(RESUME_RETRY_DELAY_S)

    def _record_connect_failure(self, error: exceptions.UpstreamError, weight: int = 1) -> None:
        if isinstance(error, engineclient.OtherIncarnationError):
            self.engine_died = True
        if isinstance(error.__cause__, ConnectionRefusedError):
            self.refusals += weight
        self.engine_died = self.engine_died or self.refusals >= REFUSALS_UNTIL_DEAD

    async def _run_connection(
        self, request: engineclient.GenerateRequest | None
    ) -> engineclient.End:
        engine = engineclient.EngineStream(self.placement.view.state)
        try:
            await engine.connect()
            if request is None:
                self.sent = True
                await engine.resume(self.stream_id.loan, self.next_index, RESUME_HEAD_TIMEOUT_S)
            else:
                self._check_may_start()
                self.sink.on_started(self.stream_id)
                self.sent = True
                await engine.generate(request, GENERATE_HEAD_TIMEOUT_S)
            self.last_event_at = self.core.clock.monotonic()
            return await self._relay_events(engine)
        finally:
            await engine.close()

    def _check_may_start(self) -> None:
        # Must run right before the first byte is sent: while this process was paused, the loan may
        # have expired or the server's data centre been taken out of service.
        self.fleet.check_loan(self.placement.holding)
        self.feed.require_in_service(self.placement.view.state.data_centre, "start")

    async def _relay_events(self, engine: engineclient.EngineStream) -> engineclient.End:
        while True:
            events = await engine.read(self.gaps.silence_timeout_s())
            now = self.core.clock.monotonic()
            for event in events:
                if isinstance(event, engineclient.Tokens):
                    await self._relay_tokens(event, now)
                elif isinstance(event, engineclient.End):
                    self._check_end(event)
                    return event
                elif isinstance(event, engineclient.Replaced):
                    raise SupersededError(
                        "another reader took over", "read", self.stream_id.server, True
                    )
                else:
                    self.gaps.add_keep_alive_gap(now - self.last_event_at)
            self.last_event_at = self.core.clock.monotonic()

    async def _relay_tokens(self, batch: engineclient.Tokens, now: float) -> None:
        tokens = batch.data
        duplicate_count = self.next_index - batch.first
        if duplicate_count < 0:
            raise exceptions.UpstreamError(
                f"received token {batch.first}, expected {self.next_index}",
                "order tokens",
                self.stream_id.server,
                True,
            )
        if duplicate_count:
            self.core.metrics.count("duplicate_tokens", min(duplicate_count, len(tokens)))
            tokens = tokens[duplicate_count:]
            if not tokens:
                return
        self._observe_gap(now, len(tokens))
        first_index = self.next_index
        self.next_index += len(tokens)
        self.placement.holding.tokens = self.next_index
        await self.sink.write_tokens(self.stream_id, first_index, tokens)

    def _observe_gap(self, now: float, count: int) -> None:
        gap_s = now - self.last_event_at
        if self.next_index > 0:
            self.gaps.add_token_gap(gap_s, count)
        else:
            self.core.metrics.observe(
                "time_to_first_token", now - self.started_at, service=self.stream_id.service
            )
        self.batch_count += 1
        if self.batch_count % GAP_SAMPLE_INTERVAL == 0:
            self.core.metrics.observe("token_gap", gap_s, service=self.stream_id.service)

    def _check_end(self, end: engineclient.End) -> None:
        if end.tokens != self.next_index:
            raise exceptions.UpstreamError(
                f"ended after {end.tokens} tokens, but {self.next_index} were relayed",
                "check end",
                self.stream_id.server,
                True,
            )
