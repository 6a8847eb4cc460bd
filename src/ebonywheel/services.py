"""Service plug-ins: how each kind of service answers its callers."""

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
    generations,
    http,
    placement,
    poison,
    policies,
    registry,
    sse,
    streamid,
)

# How long a caller may take to read one part of its stream, and how often that is looked at.
READER_STALL_S = 30.0
READER_CHECK_S = 5.0


class Caller(msgspec.Struct):
    """An authenticated request to a service.

    Attributes:
        current: Configuration under which it was taken.
        name: Name of the service.
        service: The service's definition.
        customer: Name of the customer.
    """

    current: configuration.Configuration
    name: str
    service: documents.Service
    customer: str


class Parts(msgspec.Struct):
    """What service plug-ins work with."""

    secret: bytes
    data_centre: str
    generations: generations.Generations
    calls: calls.Calls


class ServiceHandler(typing.Protocol):
    """Answers the requests of one kind of service."""

    async def handle(self, caller: Caller, exchange: http.Exchange) -> None:
        """Answer one request."""


class StreamSink:
    """Writes tokens to a caller as server-sent events.

    Attributes:
        generation: Id of the generation that runs for the caller, once one does.
        next_index: Index of the token that the caller needs next.
        writing_since: When the part that is being written was begun.
        writing: True while a part of the answer is being written.
        moving: True once the caller is to go on through another entry host.
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
        self.writing_since = 0.0
        self.secret = secret
        self.generation = ""
        self.id_prefix = b""
        self.next_index = next_index
        self.writing = False
        self.moving = False

    @property
    def resumable(self) -> bool:
        """Whether the caller knows, or will be told, the generation's id."""
        return self.exchange.started or self.moving

    def started(self, stream: streamid.StreamId) -> None:
        """Note the generation that was started for the caller."""
        self.generation = streamid.encode(stream, self.secret)

    async def tokens(self, stream: streamid.StreamId, first: int, data: list[bytes]) -> None:
        """Write tokens."""
        self.writing_since = self.clock.monotonic()
        self.writing = True
        if not self.exchange.started:
            await self._start()
        prefix = self.id_prefix
        events = [
            b"%b%d\ndata: %b\n\n" % (prefix, index, token)
            for index, token in enumerate(data, first)
        ]
        await self.exchange.write(b"".join(events))
        self.next_index = first + len(data)
        self.writing = False

    def restart(self) -> bool:
        """Return whether the caller has seen nothing yet."""
        return not self.exchange.started

    def stalled(self) -> bool:
        """Return whether the caller has taken too long to read one part."""
        return self.writing and self.clock.monotonic() > self.writing_since + READER_STALL_S

    async def finish(self, name: str, value: typing.Any) -> None:
        """Write the final event and end the answer."""
        if not self.exchange.started:
            await self._start()
        await self.exchange.write(sse.encode("", msgspec.json.encode(value), name))
        await self.exchange.end()

    async def _start(self) -> None:
        self.id_prefix = f"id: {self.generation}:".encode()
        headers = [("x-generation", self.generation)] if self.generation else []
        await self.exchange.start_stream(http.EVENT_STREAM, headers)


class WholeSink:
    """Collects tokens."""

    resumable = False

    def started(self, stream: streamid.StreamId) -> None:
        """Nothing to note: the caller never learns the generation's id."""

    def __init__(self):
        self.texts: list[str] = []

    async def tokens(self, stream: streamid.StreamId, first: int, data: list[bytes]) -> None:
        """Keep tokens."""
        for token in data:
            self.texts.append(msgspec.json.decode(token, type=engineclient.Token).text)

    def restart(self) -> bool:
        """Drop what was collected: nothing of it has reached the caller."""
        self.texts.clear()
        return True


class Moved(msgspec.Struct):
    """Final event of a stream that goes on through another entry host.

    Attributes:
        generation: Id to go on with.
        next: Index of the next token.
    """

    generation: str
    next: int


class WholeAnswer(msgspec.Struct):
    """Answer of a service of kind ``whole``."""

    text: str
    tokens: int


@registry.plugins.register("service", "stream")
class StreamService:
    """Streams a generation's tokens as they come."""

    def __init__(self, parts: Parts):
        self.parts = parts

    async def handle(self, caller: Caller, exchange: http.Exchange) -> None:
        """Run a generation for a caller, until it ends or the caller hangs up."""
        last = exchange.request.headers.get("last-event-id")
        if last:
            generation, index = streamid.split_event_id(last)
            await self.resume(caller.customer, generation, index + 1, exchange)
            return
        body = exchange.request.decode(generations.GenerationBody)
        job = make_job(caller, body, exchange.request, self.parts.data_centre)
        sink = StreamSink(exchange, self.parts.secret, self.parts.generations.core.clock)
        await self._relay(
            exchange, sink, self.parts.generations.run(job, caller.service, body, sink)
        )

    async def resume(
        self, customer: str, generation: str, index: int, exchange: http.Exchange
    ) -> None:
        """Go on with a generation from an index."""
        stream = streamid.decode(generation, self.parts.secret)
        if stream.customer != customer:
            raise exceptions.HttpError("unknown generation", "resume", customer, 404)
        sink = StreamSink(exchange, self.parts.secret, self.parts.generations.core.clock, index)
        sink.generation = generation
        await self._relay(
            exchange, sink, self.parts.generations.resume(stream, index, sink), resumed=True
        )

    async def _relay(
        self,
        exchange: http.Exchange,
        sink: StreamSink,
        work: typing.Coroutine,
        resumed: bool = False,
    ) -> None:
        task = await curio.spawn(work)
        stream = generations.Stream(task, sink)
        self.parts.generations.streams.add(stream)
        watcher = await curio.spawn(_cancel_at_stall(exchange, sink, task), daemon=True)
        try:
            end = await task.join()
        except curio.TaskError as error:
            if sink.moving and isinstance(error.__cause__, curio.CancelledError):
                await self._move(sink)
            else:
                await self._report(exchange, sink, error.__cause__, resumed)
        except curio.CancelledError:
            await task.cancel()
            raise
        else:
            await sink.finish("end", end)
        finally:
            self.parts.generations.streams.discard(stream)
            await watcher.cancel()

    async def _move(self, sink: StreamSink) -> None:
        if not sink.generation and not sink.writing:
            raise exceptions.NotRunError("host is shutting down", "hand over", retry_after=1)
        if sink.writing:
            # Cut off inside a part of the answer: nothing well-formed can follow. The caller
            # goes on from the last event that it has.
            raise exceptions.HttpError("cut off in a write", "hand over")
        await sink.finish("moved", Moved(sink.generation, sink.next_index))

    async def _report(
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


async def _cancel_at_stall(exchange: http.Exchange, sink: StreamSink, task: curio.Task) -> None:
    hung_up = False
    while not hung_up and not sink.stalled():
        async with curio.ignore_after(READER_CHECK_S):
            await exchange.wait_hangup()
            hung_up = True
    await task.cancel()


async def _join_or_hangup(exchange: http.Exchange, work: typing.Coroutine) -> typing.Any:
    task = await curio.spawn(work)
    watcher = await curio.spawn(_cancel_at_hangup(exchange, task), daemon=True)
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


async def _cancel_at_hangup(exchange: http.Exchange, task: curio.Task) -> None:
    await exchange.wait_hangup()
    await task.cancel()


@registry.plugins.register("service", "whole")
class WholeService:
    """Answers a generation at once."""

    def __init__(self, parts: Parts):
        self.parts = parts

    async def handle(self, caller: Caller, exchange: http.Exchange) -> None:
        """Run a generation, again from the start where it is lost, and answer it whole."""
        body = exchange.request.decode(generations.GenerationBody)
        job = make_job(caller, body, exchange.request, self.parts.data_centre)
        sink = WholeSink()
        work = self.parts.generations.run(job, caller.service, body, sink)
        end = await _join_or_hangup(exchange, work)
        await exchange.respond_json(200, WholeAnswer("".join(sink.texts), end.tokens))


@registry.plugins.register("service", "plain")
class PlainService:
    """Passes calls on to a plain service."""

    def __init__(self, parts: Parts):
        self.parts = parts

    async def handle(self, caller: Caller, exchange: http.Exchange) -> None:
        """Run one call."""
        region = placement.region_of(caller.current, self.parts.data_centre)
        job = policies.Job(caller.name, caller.customer, 0, "", region, priority=_priority(caller))
        answer = await self.parts.calls.run(job, caller.service, exchange.request)
        await exchange.respond(answer.status, answer.body, answer.content_type)


def make_job(
    caller: Caller,
    body: generations.GenerationBody,
    request: http.Request,
    data_centre: str,
) -> policies.Job:
    """Return what the routing policy may know of a generation."""
    head = body.prompt.encode()[: generations.PREFIX_BYTES]
    return policies.Job(
        caller.name,
        caller.customer,
        generations.estimate_tokens(body.prompt),
        hashlib.blake2b(head, digest_size=8).hexdigest(),
        placement.region_of(caller.current, data_centre),
        body.length,
        poison.fingerprint(caller.customer, caller.name, request.body),
        max_tokens=min(body.max_tokens or caller.service.max_tokens, caller.service.max_tokens),
        priority=_priority(caller),
    )


def _priority(caller: Caller) -> int:
    document = caller.current.document
    return document.priorities[document.customers[caller.customer].priority]
