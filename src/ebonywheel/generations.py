"""Generations: start one on a backend server, or go on with one, and hand its tokens on.

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
    relay,
    retries,
    streamid,
)

BYTES_PER_TOKEN = 4
PREFIX_BYTES = 256
LOCATE_S = 5.0
LOCATE_POLL_S = 0.1
HAND_OVER_POLL_S = 0.02


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


class MovableSink(relay.TokenSink, typing.Protocol):
    """A sink whose reader can be sent to another entry host.

    Attributes:
        moving: True once the reader is to go on through another entry host.
    """

    moving: bool


class Stream(msgspec.Struct, eq=False):
    """One reader's stream in progress.

    Attributes:
        task: The task that relays it.
        sink: Where its tokens go.
    """

    task: curio.Task
    sink: MovableSink


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
        self.streams: set[Stream] = set()

    async def run(
        self,
        job: policies.Job,
        service: documents.Service,
        body: GenerationBody,
        sink: relay.TokenSink,
    ) -> engineclient.End:
        """Run a generation from its start and hand its tokens to the sink.

        Raises:
            NotRunError: No backend server took it.
            UpstreamError: It was lost after tokens had reached the reader.
        """
        avoid: frozenset[str] = frozenset()
        limits = self.feed.require_lease().document.retries
        budget = self.budgets.of(job.service)
        budget.add_first_try(limits.budget)
        attempts = limits.attempts
        started = False
        while True:
            try:
                job.alone = self.poison.admit(job.fingerprint)
                place = await self.placer.place(job, service.timeout_s, avoid)
            except exceptions.NotRunError as error:
                raise _outcome(error, started) from error
            carrier = relay.Relay(self.core, self.fleet, self.feed, place, sink)
            try:
                end = await carrier.run(self._request(job, service, body, place))
                await self.poison.finished(job.fingerprint, job.alone)
                return end
            except exceptions.NotRunError as error:
                attempts -= 1
                if attempts <= 0:
                    raise _outcome(error, started) from error
            except exceptions.UpstreamError as error:
                attempts -= 1
                started = started or carrier.sent
                await self._note_failure(carrier, error)
                await self.poison.broke(place.view.state, place.holding, error)
                if not sink.restart():
                    raise
                if attempts <= 0 or not budget.take():
                    raise _outcome(error, started) from error
                avoid = avoid | {place.view.state.server}

    async def resume(
        self, stream: streamid.StreamId, index: int, sink: relay.TokenSink
    ) -> engineclient.End:
        """Go on with a generation from an index, on the backend server that runs it.

        Raises:
            UpstreamError: The generation is lost.
        """
        state = await self._locate(stream)
        holding = messages.Holding(
            stream.loan,
            stream.server,
            stream.incarnation,
            stream.service,
            stream.customer,
            0,
            index,
        )
        await self.fleet.adopt(holding)
        place = placement.Placement(messages.ServerView(state), holding)
        carrier = relay.Relay(self.core, self.fleet, self.feed, place, sink, index)
        try:
            return await carrier.run(None)
        except exceptions.UpstreamError as error:
            await self._note_failure(carrier, error)
            raise

    async def hand_over(self) -> None:
        """End all streams so that their readers go on through another entry host.

        The backend servers' work goes on; each reader gets a final event ``moved`` with the
        generation and the next index. Returns when no stream is left.
        """
        for stream in list(self.streams):
            stream.sink.moving = True
            await stream.task.cancel(blocking=False)
        while self.streams:
            await curio.sleep(HAND_OVER_POLL_S)

    async def _locate(self, stream: streamid.StreamId) -> messages.ServerState:
        deadline = self.core.clock.monotonic() + LOCATE_S
        while (state := self.fleet.locate(stream.server)) is None:
            if self.core.clock.monotonic() >= deadline:
                raise _lost(stream)
            await curio.sleep(LOCATE_POLL_S)
        if state.incarnation != stream.incarnation:
            raise _lost(stream)
        return state

    async def _note_failure(self, carrier: relay.Relay, error: exceptions.UpstreamError) -> None:
        self.core.metrics.count("generation_failures", step=error.step)
        if carrier.engine_died:
            stream = carrier.stream
            await self.core.spawn(self.fleet.report_death(stream.server, stream.incarnation))

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


def _outcome(
    error: exceptions.NotRunError | exceptions.UpstreamError, started: bool
) -> exceptions.EbonywheelError:
    # "Not run" is said only where no engine can have begun the work.
    if started:
        return exceptions.UpstreamError(error.text, error.step, error.peer, True)
    if isinstance(error, exceptions.NotRunError):
        return error
    return exceptions.NotRunError(error.text, error.step, error.peer, retry_after=1)


def _lost(stream: streamid.StreamId) -> exceptions.UpstreamError:
    return exceptions.UpstreamError("the generation is lost", "resume", stream.server)


def estimate_tokens(text: str) -> int:
    """Return about how many tokens a text has."""
    return max(1, len(text.encode()) // BYTES_PER_TOKEN)
