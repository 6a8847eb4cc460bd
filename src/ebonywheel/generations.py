"""Starts and resumes generations on backend servers and passes their tokens to a sink.

Until the first token has reached the reader, a failed generation is restarted on another backend
server. After that only the same generation may continue: its connection is reopened from the next
index, and if the generation is lost the reader gets a final error.
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
PROMPT_PREFIX_BYTES = 256
LOCATE_TIMEOUT_S = 5.0
LOCATE_POLL_INTERVAL_S = 0.1
HANDOVER_POLL_INTERVAL_S = 0.02


class GenerationBody(msgspec.Struct, forbid_unknown_fields=True):
    """Body of a caller's request for a generation.

    Attributes:
        prompt: The prompt.
        max_tokens: Limit on generated tokens; the service's limit applies as well.
        length: Number of tokens to generate if the caller knows it, for measurements; else 0.
    """

    prompt: str
    max_tokens: typing.Annotated[int, msgspec.Meta(ge=1)] | None = None
    length: typing.Annotated[int, msgspec.Meta(ge=0)] = 0


class MovableSink(relay.TokenSink, typing.Protocol):
    """A sink whose reader can be redirected to another entry host.

    Attributes:
        moving: Whether the reader is to continue through another entry host.
    """

    moving: bool


class ActiveStream(msgspec.Struct, eq=False):
    """A stream that is being relayed to a reader.

    Attributes:
        task: The task that relays it.
        sink: Receives its tokens.
    """

    task: curio.Task
    sink: MovableSink


class Generations:
    """Runs and resumes generations."""

    def __init__(
        self,
        core: kernel.Kernel,
        config_feed: feed.Feed,
        server_fleet: fleet.Fleet,
        placer: placement.Placer,
        poison_tracker: poison.PoisonTracker,
        budgets: retries.RetryBudgets,
    ):
        self.core = core
        self.feed = config_feed
        self.fleet = server_fleet
        self.placer = placer
        self.poison = poison_tracker
        self.budgets = budgets
        self.active_streams: set[ActiveStream] = set()

    async def run(
        self,
        job: policies.Job,
        service: documents.Service,
        body: GenerationBody,
        sink: relay.TokenSink,
    ) -> engineclient.End:
        """Run a generation from its start and pass its tokens to the sink.

        Raises:
            NotRunError: No backend server can have started it.
            UpstreamError: It may have run and was lost.
        """
        excluded_servers: frozenset[str] = frozenset()
        retry_limits = self.feed.require_lease().document.retries
        budget = self.budgets.of(job.service)
        budget.add_first_try(retry_limits.budget)
        attempts = retry_limits.attempts
        may_have_run = False
        while True:
            try:
                job.alone = self.poison.admit(job.fingerprint)
                placed = await self.placer.place(job, service.timeout_s, excluded_servers)
            except exceptions.NotRunError as error:
                raise _final_error(error, may_have_run) from error
            token_relay = relay.TokenRelay(self.core, self.fleet, self.feed, placed, sink)
            try:
                end = await token_relay.run(self._build_request(job, service, body, placed))
                await self.poison.clear_if_alone(job.fingerprint, job.alone)
                return end
            except exceptions.NotRunError as error:
                attempts -= 1
                if attempts <= 0:
                    raise _final_error(error, may_have_run) from error
            except exceptions.UpstreamError as error:
                attempts -= 1
                may_have_run = may_have_run or token_relay.sent
                await self._record_failure(token_relay, error)
                await self.poison.report_if_dead(placed.view.state, placed.holding, error)
                if not sink.try_reset():
                    raise
                if attempts <= 0 or not budget.take(token_relay.sent):
                    raise _final_error(error, may_have_run) from error
                excluded_servers = excluded_servers | {placed.view.state.server}

    async def resume(
        self, stream_id: streamid.StreamId, index: int, sink: relay.TokenSink
    ) -> engineclient.End:
        """Resume a generation from an index on the backend server that runs it.

        Raises:
            UpstreamError: The generation is lost.
        """
        state = await self._locate(stream_id)
        holding = messages.Holding(
            stream_id.loan,
            stream_id.server,
            stream_id.incarnation,
            stream_id.service,
            stream_id.customer,
            0,
            index,
        )
        await self.fleet.adopt(holding)
        placed = placement.Placement(messages.ServerView(state), holding)
        token_relay = relay.TokenRelay(self.core, self.fleet, self.feed, placed, sink, index)
        try:
            return await token_relay.run(None)
        except exceptions.UpstreamError as error:
            await self._record_failure(token_relay, error)
            raise

    async def hand_over(self) -> None:
        """End all streams so that their readers continue through another entry host.

        The backend servers keep generating; each reader gets a final event ``moved`` with the
        generation's id and the next index. Returns when no stream is left.
        """
        for stream in list(self.active_streams):
            stream.sink.moving = True
            await stream.task.cancel(blocking=False)
        while self.active_streams:
            await curio.sleep(HANDOVER_POLL_INTERVAL_S)

    async def _locate(self, stream_id: streamid.StreamId) -> messages.ServerState:
        deadline = self.core.clock.monotonic() + LOCATE_TIMEOUT_S
        while (state := self.fleet.last_state(stream_id.server)) is None:
            if self.core.clock.monotonic() >= deadline:
                raise _lost_error(stream_id)
            await curio.sleep(LOCATE_POLL_INTERVAL_S)
        if state.incarnation != stream_id.incarnation:
            raise _lost_error(stream_id)
        return state

    async def _record_failure(
        self, token_relay: relay.TokenRelay, error: exceptions.UpstreamError
    ) -> None:
        self.core.metrics.count("generation_failures", step=error.step)
        if token_relay.engine_died:
            stream_id = token_relay.stream_id
            await self.core.spawn(self.fleet.report_death(stream_id.server, stream_id.incarnation))

    def _build_request(
        self,
        job: policies.Job,
        service: documents.Service,
        body: GenerationBody,
        placed: placement.Placement,
    ) -> engineclient.GenerateRequest:
        document = self.feed.current.document
        customer = document.customers[job.customer]
        max_tokens = min(body.max_tokens or service.max_tokens, service.max_tokens)
        return engineclient.GenerateRequest(
            placed.holding.loan,
            body.prompt,
            max_tokens,
            document.priorities[customer.priority],
            body.length,
        )


def _final_error(
    error: exceptions.NotRunError | exceptions.UpstreamError, may_have_run: bool
) -> exceptions.EbonywheelError:
    # Report "not run" only if no engine can have started the work.
    if may_have_run:
        return exceptions.UpstreamError(error.text, error.step, error.peer, True)
    if isinstance(error, exceptions.NotRunError):
        return error
    return exceptions.NotRunError(error.text, error.step, error.peer, retry_after=1)


def _lost_error(stream_id: streamid.StreamId) -> exceptions.UpstreamError:
    return exceptions.UpstreamError("the generation is lost", "resume", stream_id.server)


def estimate_tokens(text: str) -> int:
    """Estimate the number of tokens in a text."""
    return max(1, len(text.encode()) // BYTES_PER_TOKEN)
