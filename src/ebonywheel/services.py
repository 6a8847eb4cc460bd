"""Service plug-ins: one request handler for each kind of service."""

import hashlib
import typing

import curio
import msgspec

from ebonywheel import (
    calls,
    clock,
    configuration,
    documents,
    engineclient,
    exceptions,
    fingerprints,
    generations,
    http,
    placement,
    policies,
    registry,
    sse,
    streamid,
)

# A stream is cancelled when its reader blocks one write for longer than the timeout.
READER_STALL_TIMEOUT_S = 30.0
READER_CHECK_INTERVAL_S = 5.0


class ServiceRequest(msgspec.Struct):
    """An authenticated request to a service.

    Attributes:
        config: Configuration under which the request was admitted.
        service_name: Name of the service.
        service: The service's definition.
        customer: Name of the customer.
    """

    config: configuration.Configuration
    service_name: str
    service: documents.Service
    customer: str


class ServiceContext(msgspec.Struct):
    """Components of the entry host that service plug-ins use.

    Attributes:
        secret: Key that signs generation ids.
        data_centre: Data centre of the entry host.
    """

    secret: bytes
    data_centre: str
    generations: generations.Generations
    calls: calls.Calls


class ServiceHandler(typing.Protocol):
    """Handles the requests of one kind of service."""

    async def handle(self, service_request: ServiceRequest, exchange: http.Exchange) -> None:
        """Handle one request and respond to it."""


class StreamSink:
    """Writes tokens to a caller as server-sent events.

    Attributes:
        generation: Id of the caller's generation; empty until it has started.
        id_prefix: Start of each event, up to the token's index in the event id.
        next_index: Index of the next token to write.
        write_started_at: Monotonic time in seconds at which the last write started.
        writing: Whether a write is in progress, or was cut off.
        moving: Whether the caller is to continue through another entry host.
    """

    def __init__(
        self,
        exchange: http.Exchange,
        secret: bytes,
        time_source: clock.Clock,
        next_index: int = 0,
    ):
        self.exchange = exchange
        self.clock = time_source
        self.write_started_at = 0.0
        self.secret = secret
        self.generation = ""
        self.id_prefix = b""
        self.next_index = next_index
        self.writing = False
        self.moving = False

    @property
    def resumable(self) -> bool:
        """Whether the caller knows the generation's id or is about to receive it."""
        return self.exchange.started or self.moving

    def on_started(self, stream_id: streamid.StreamId) -> None:
        """Set the id of the generation that runs for the caller."""
        self.generation = streamid.encode(stream_id, self.secret)

    async def write_tokens(
        self, stream_id: streamid.StreamId, first_index: int, tokens: list[bytes]
    ) -> None:
        """Write consecutive tokens, each as one event."""
        self.write_started_at = self.clock.monotonic()
        self.writing = True
        if not self.exchange.started:
            await self._start()
        prefix = self.id_prefix
        events = [
            b"%b%d\ndata: %b\n\n" % (prefix, index, token)
            for index, token in enumerate(tokens, first_index)
        ]
        await self.exchange.write(b"".join(events))
        self.next_index = first_index + len(tokens)
        self.writing = False

    def try_reset(self) -> bool:
        """Return whether nothing has been sent to the caller yet."""
        return not self.exchange.started

    def stalled(self) -> bool:
        """Return whether the write in progress has exceeded the reader timeout."""
        return (
            self.writing and self.clock.monotonic() > self.write_started_at + READER_STALL_TIMEOUT_S
        )

    async def finish(self, name: str, value: typing.Any) -> None:
        """Write the final event and end the response."""
        if not self.exchange.started:
            await self._start()
        await self.exchange.write(sse.encode("", msgspec.json.encode(value), name))
        await self.exchange.end()

    async def _start(self) -> None:
        self.id_prefix = f"id: {self.generation}:".encode()
        headers = [("x-generation", self.generation)] if self.generation else []
        await self.exchange.start_stream(http.EVENT_STREAM, headers)


class CollectingSink:
    """Collects the text of all tokens for a single response."""

    resumable = False

    def on_started(self, stream_id: streamid.StreamId) -> None:
        """Ignore the id: it is not sent to the caller."""

    def __init__(self):
        self.texts: list[str] = []

    async def write_tokens(
        self, stream_id: streamid.StreamId, first_index: int, tokens: list[bytes]
    ) -> None:
        """Append the tokens' texts."""
        for token in tokens:
            self.texts.append(msgspec.json.decode(token, type=engineclient.Token).text)

    def try_reset(self) -> bool:
        """Discard the collected texts; none of them has been sent to the caller."""
        self.texts.clear()
        return True


class Moved(msgspec.Struct):
    """Final event of a stream that continues through another entry host.

    Attributes:
        generation: Id with which to resume.
        next: Index of the next token.
    """

    generation: str
    next: int


class WholeAnswer(msgspec.Struct):
    """Response of a service of kind ``whole``."""

    text: str
    tokens: int


@registry.plugins.register("service", "stream")
class StreamService:
    """Streams a generation's tokens as they are generated."""

    def __init__(self, context: ServiceContext):
        self.context = context

    async def handle(self, service_request: ServiceRequest, exchange: http.Exchange) -> None:
        """Start a generation, or resume one after ``Last-Event-ID``, and stream its tokens."""
        last_event_id = exchange.request.headers.get("last-event-id")
        if last_event_id:
            generation, index = streamid.split_event_id(last_event_id)
            await self.resume(service_request.customer, generation, index + 1, exchange)
            return
        body = exchange.request.decode(generations.GenerationBody)
        job = describe_job(service_request, body, exchange.request, self.context.data_centre)
        sink = StreamSink(exchange, self.context.secret, self.context.generations.core.clock)
        await self._relay(
            exchange, sink, self.context.generations.run(job, service_request.service, body, sink)
        )

    async def resume(
        self, customer: str, generation: str, index: int, exchange: http.Exchange
    ) -> None:
        """Stream a running generation's tokens from an index."""
        stream_id = streamid.decode(generation, self.context.secret)
        if stream_id.customer != customer:
            raise exceptions.HttpError("unknown generation", "resume", customer, 404)
        sink = StreamSink(exchange, self.context.secret, self.context.generations.core.clock, index)
        sink.generation = generation
        await self._relay(
            exchange, sink, self.context.generations.resume(stream_id, index, sink), resumed=True
        )

    async def _relay(
        self,
        exchange: http.Exchange,
        sink: StreamSink,
        work: typing.Coroutine,
        resumed: bool = False,
    ) -> None:
        task = await curio.spawn(work)
        stream = generations.ActiveStream(task, sink)
        self.context.generations.active_streams.add(stream)
        watcher = await curio.spawn(_cancel_on_hangup_or_stall(exchange, sink, task), daemon=True)
        try:
            end = await task.join()
        except curio.TaskError as error:
            if sink.moving and isinstance(error.__cause__, curio.CancelledError):
                await self._move(sink)
            else:
                await self._send_error(exchange, sink, error.__cause__, resumed)
        except curio.CancelledError:
            await task.cancel()
            raise
        else:
            await sink.finish("end", end)
        finally:
            self.context.generations.active_streams.discard(stream)
            await watcher.cancel()

    async def _move(self, sink: StreamSink) -> None:
        if not sink.generation and not sink.writing:
            raise exceptions.NotRunError("host is shutting down", "hand over", retry_after=1)
        if sink.writing:
            # The write was cut off, so the response cannot be completed in valid form. The caller
            # resumes after the last complete event that it received.
            raise exceptions.HttpError("stream was cut off during a write", "hand over")
        await sink.finish("moved", Moved(sink.generation, sink.next_index))

    async def _send_error(
        self,
        exchange: http.Exchange,
        sink: StreamSink,
        error: BaseException | None,
        resumed: bool,
    ) -> None:
        if not isinstance(error, exceptions.EbonywheelError):
            raise exceptions.HttpError("caller hung up", "relay", exchange.request.peer)
        if isinstance(error, exceptions.HttpError):
            raise error
        if not exchange.started and not resumed:
            raise error
        await sink.finish(
            "error", http.ErrorBody(error.code, error.text, error.step, error.peer, "lost")
        )


async def _cancel_on_hangup_or_stall(
    exchange: http.Exchange, sink: StreamSink, task: curio.Task
) -> None:
    caller_hung_up = False
    while not caller_hung_up and not sink.stalled():
        async with curio.ignore_after(READER_CHECK_INTERVAL_S):
            await exchange.wait_hangup()
            caller_hung_up = True
    await task.cancel()


async def _run_until_hangup(exchange: http.Exchange, work: typing.Coroutine) -> typing.Any:
    task = await curio.spawn(work)
    watcher = await curio.spawn(_cancel_on_hangup(exchange, task), daemon=True)
    try:
        return await task.join()
    except curio.TaskError as error:
        if isinstance(error.__cause__, exceptions.EbonywheelError):
            raise error.__cause__ from None
        raise exceptions.HttpError("caller hung up", "wait", exchange.request.peer) from error
    except curio.CancelledError:
        await task.cancel()
        raise
    finally:
        await watcher.cancel()


async def _cancel_on_hangup(exchange: http.Exchange, task: curio.Task) -> None:
    await exchange.wait_hangup()
    await task.cancel()


@registry.plugins.register("service", "whole")
class WholeService:
    """Returns a generation's whole text in one response."""

    def __init__(self, context: ServiceContext):
        self.context = context

    async def handle(self, service_request: ServiceRequest, exchange: http.Exchange) -> None:
        """Run a generation, restart it if it is lost, and respond with its whole text."""
        body = exchange.request.decode(generations.GenerationBody)
        job = describe_job(service_request, body, exchange.request, self.context.data_centre)
        sink = CollectingSink()
        work = self.context.generations.run(job, service_request.service, body, sink)
        end = await _run_until_hangup(exchange, work)
        await exchange.respond_json(200, WholeAnswer("".join(sink.texts), end.tokens))


@registry.plugins.register("service", "plain")
class PlainService:
    """Forwards calls to a plain service."""

    def __init__(self, context: ServiceContext):
        self.context = context

    async def handle(self, service_request: ServiceRequest, exchange: http.Exchange) -> None:
        """Forward one call and its response."""
        region = placement.region_of(service_request.config, self.context.data_centre)
        job = policies.Job(
            service_request.service_name,
            service_request.customer,
            0,
            "",
            region,
            priority=_priority(service_request),
        )
        answer = await self.context.calls.run(job, service_request.service, exchange.request)
        await exchange.respond(answer.status, answer.body, answer.content_type)


def describe_job(
    service_request: ServiceRequest,
    body: generations.GenerationBody,
    request: http.Request,
    data_centre: str,
) -> policies.Job:
    """Describe a generation to the routing policy."""
    prompt_prefix = body.prompt.encode()[: generations.PROMPT_PREFIX_BYTES]
    return policies.Job(
        service_request.service_name,
        service_request.customer,
        generations.estimate_tokens(body.prompt),
        hashlib.blake2b(prompt_prefix, digest_size=8).hexdigest(),
        placement.region_of(service_request.config, data_centre),
        body.length,
        fingerprints.fingerprint(
            service_request.customer.encode(), service_request.service_name.encode(), request.body
        ),
        max_tokens=min(
            body.max_tokens or service_request.service.max_tokens,
            service_request.service.max_tokens,
        ),
        priority=_priority(service_request),
    )


def _priority(service_request: ServiceRequest) -> int:
    document = service_request.config.document
    return document.priorities[document.customers[service_request.customer].priority]
