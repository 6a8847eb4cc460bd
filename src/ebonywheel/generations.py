"""Generations: start one on a backend server, relay its tokens once and in order.

Until the first token has reached the reader, another backend server may start the work anew.
After that only the same generation may go on: its connection is opened again from the next index,
and when the generation is lost the reader gets a final error.
"""

import typing

import curio
import msgspec

from ebonywheel import (
    documents,
    engineclient,
    exceptions,
    feed,
    fleet,
    kernel,
    messages,
    placement,
    poison,
    policies,
    retries,
    streamid,
)

HEAD_TIMEOUT_S = 10.0
FIRST_SILENCE_S = 3.0
MIN_SILENCE_S = 1.0
SILENCE_GAPS = 20
PACE_DECAY = 0.1
RESUME_PAUSE_S = 0.2
RESUME_WINDOW_S = 5.0
BYTES_PER_TOKEN = 4
PREFIX_BYTES = 256


class GenerationBody(msgspec.Struct, forbid_unknown_fields=True):
    """What a caller posts for a generation.

    Attributes:
        prompt: The prompt.
        max_tokens: Longest answer, at most the service's limit.
        length: Length of the answer when the caller knows it, for measurements.
    """

    prompt: str
    max_tokens: typing.Annotated[int, msgspec.Meta(ge=1)] | None = None
    length: typing.Annotated[int, msgspec.Meta(ge=0)] = 0


class TokenSink(typing.Protocol):
    """Where a generation's tokens go."""

    async def token(self, stream: streamid.StreamId, token: engineclient.Token) -> None:
        """Take the next token."""


class Pace:
    """How long a stream's silence may be, judged by its own gaps."""

    def __init__(self):
        self.gap_s: float | None = None

    def observe(self, gap_s: float) -> None:
        """Take in the gap before a sign of life."""
        if self.gap_s is None:
            self.gap_s = gap_s
        else:
            self.gap_s += PACE_DECAY * (gap_s - self.gap_s)

    def silence_s(self) -> float:
        """Return the silence after which the connection is doubted."""
        if self.gap_s is None:
            return FIRST_SILENCE_S
        return max(MIN_SILENCE_S, SILENCE_GAPS * self.gap_s)


class Generations:
    """Runs generations for callers."""

    def __init__(
        self,
        core: kernel.Kernel,
        source: feed.Feed,
        servers: fleet.Fleet,
        placer: placement.Placer,
        suspects: poison.Poison,
        budgets: retries.RetryBudgets,
    ):
        self.core = core
        self.feed = source
        self.fleet = servers
        self.placer = placer
        self.poison = suspects
        self.budgets = budgets

    async def run(
        self, job: policies.Job, service: documents.Service, body: GenerationBody, sink: TokenSink
    ) -> engineclient.End:
        """Run a generation from its start and hand its tokens to the sink.

        Raises:
            NotRunError: No backend server took it.
            UpstreamError: It was lost after tokens had reached the sink.
        """
        avoid: frozenset[str] = frozenset()
        limits = self.feed.require_lease().document.retries
        budget = self.budgets.of(job.service)
        budget.add_first_try(limits.budget)
        attempts = limits.attempts
        while True:
            job.alone = self.poison.admit(job.fingerprint)
            place = await self.placer.place(job, service.timeout_s, avoid)
            relay = Relay(self, place, sink)
            try:
                end = await relay.run(self._request(job, service, body, place))
                await self.poison.finished(job.fingerprint, job.alone)
                return end
            except exceptions.UpstreamError as error:
                attempts -= 1
                self.core.metrics.count("generation_failures", step=error.step)
                if relay.next_index > 0:
                    raise
                if attempts <= 0 or not budget.take():
                    raise exceptions.NotRunError(
                        "no backend server could run it", error.step, error.peer, retry_after=1
                    ) from error
                avoid = avoid | {place.view.state.server}

    async def resume(
        self, stream: streamid.StreamId, index: int, sink: TokenSink
    ) -> engineclient.End:
        """Go on with a generation from an index, on the backend server that runs it.

        Raises:
            UpstreamError: The generation is lost.
        """
        view = self.fleet.find(stream.server)
        if view is None or view.state.incarnation != stream.incarnation:
            raise exceptions.UpstreamError("the generation is lost", "resume", stream.server)
        holding = messages.Holding(
            stream.loan,
            stream.server,
            stream.incarnation,
            stream.service,
            stream.customer,
            0,
            index,
        )
        self.fleet.hold(holding)
        relay = Relay(self, placement.Placement(view, holding), sink)
        relay.next_index = index
        return await relay.run(None)

    def _request(
        self,
        job: policies.Job,
        service: documents.Service,
        body: GenerationBody,
        place: placement.Placement,
    ) -> engineclient.GenerateRequest:
        document = self.feed.current.document
        customer = document.customers[job.customer]
        most = min(body.max_tokens or service.max_tokens, service.max_tokens)
        return engineclient.GenerateRequest(
            place.holding.loan,
            body.prompt,
            most,
            document.priorities[customer.priority],
            body.length,
        )


class Relay:
    """Carries one generation from one backend server to one sink.

    Attributes:
        next_index: Index of the token that the sink needs next.
    """

    def __init__(self, owner: Generations, place: placement.Placement, sink: TokenSink):
        self.core = owner.core
        self.fleet = owner.fleet
        self.place = place
        self.sink = sink
        self.next_index = 0
        self.pace = Pace()
        self.stream = streamid.StreamId(
            place.holding.server,
            place.holding.incarnation,
            place.holding.loan,
            place.holding.service,
            place.holding.customer,
        )

    async def run(self, request: engineclient.GenerateRequest | None) -> engineclient.End:
        """Relay until the end; without a request, resume.

        Raises:
            UpstreamError: The generation is lost.
        """
        outcome = "failed"
        try:
            end = await self._relay(request)
            outcome = "finished"
            return end
        except curio.CancelledError:
            outcome = "cancelled"
            raise
        finally:
            async with curio.disable_cancellation():
                if outcome != "finished":
                    await engineclient.cancel(self.place.view.state, self.stream.loan)
                await self.fleet.release(self.place.holding, outcome)

    async def _relay(self, request: engineclient.GenerateRequest | None) -> engineclient.End:
        try:
            return await self._read_once(request)
        except exceptions.UpstreamError as error:
            if self.next_index == 0 and request is not None:
                raise
            return await self._reopen(error)

    async def _reopen(self, error: exceptions.UpstreamError) -> engineclient.End:
        deadline = self.core.clock.monotonic() + RESUME_WINDOW_S
        while True:
            if isinstance(error, engineclient.RefusedByEngine):
                raise error
            if self.core.clock.monotonic() >= deadline:
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

    async def _read_once(self, request: engineclient.GenerateRequest | None) -> engineclient.End:
        engine = engineclient.EngineStream(self.place.view.state)
        try:
            if request is not None:
                await engine.generate(request, HEAD_TIMEOUT_S)
            else:
                await engine.resume(self.stream.loan, self.next_index, HEAD_TIMEOUT_S)
            return await self._pump(engine)
        finally:
            await engine.close()

    async def _pump(self, engine: engineclient.EngineStream) -> engineclient.End:
        last = self.core.clock.monotonic()
        while True:
            events = await engine.read(self.pace.silence_s())
            now = self.core.clock.monotonic()
            self.pace.observe(now - last)
            last = now
            for event in events:
                if isinstance(event, engineclient.End):
                    self._check_end(event)
                    return event
                if isinstance(event, engineclient.Token):
                    await self._take(event)

    async def _take(self, token: engineclient.Token) -> None:
        if token.index < self.next_index:
            self.core.metrics.count("duplicate_tokens")
            return
        if token.index > self.next_index:
            raise exceptions.UpstreamError(
                f"token {token.index} where {self.next_index} was expected",
                "order tokens",
                self.stream.server,
                True,
            )
        self.next_index += 1
        self.place.holding.tokens = self.next_index
        await self.sink.token(self.stream, token)

    def _check_end(self, end: engineclient.End) -> None:
        if end.tokens != self.next_index:
            raise exceptions.UpstreamError(
                f"ended at {end.tokens} tokens where {self.next_index} were relayed",
                "check end",
                self.stream.server,
                True,
            )


def estimate_tokens(text: str) -> int:
    """Return about how many tokens a text has."""
    return max(1, len(text.encode()) // BYTES_PER_TOKEN)
