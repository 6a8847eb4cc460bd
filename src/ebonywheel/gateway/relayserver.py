"""Serving of requests whose callers are connected to another entry host.

A host that cannot reach the backend servers asks another one to serve its callers' requests. It
reads the answer part by part, and names with each read how much of it it has, so that an answer
survives a lost connection between the two hosts. No request is ever sent twice.
"""

import typing

import curio
import msgspec

from ebonywheel import exceptions, http, kernel, link, messages

# How long a read waits for news, and how long a host that asks may be silent before its callers
# count as gone: twice the wait and the time for an answer.
READ_WAIT_S = 0.5
ASKER_TIMEOUT_S = 2.0
# Answers are held back once this much of them is unread, as by any slow caller.
MAX_UNREAD_BYTES = 256 * 1024
# A host with more than this to relay has none of its own left to give.
MAX_RELAYS = 64
ELSEWHERE, NOT_RUN, UNKNOWN, BROKEN = "elsewhere", "not run", "unknown", "broken"
MS_PER_S = 1000


class RelayedExchange:
    """A request of another host, and the part of its answer that this host has not read.

    Attributes:
        request: The request as its caller sent it.
        elapsed_s: Seconds between its arrival at the other host and here.
        sent_to: Servers that it may have been sent to before.
        routing_index: Log index of the routing content by which it was admitted.
        started: True once the answer has begun.
        ended: True once no more of it follows.
        status: Status of the answer, 0 before it has begun.
        read_at: When the other host asked last, monotonic seconds.
        held: Counts the memory that is held for the request and its answer.
        task: Serves the request.
    """

    def __init__(self, core: kernel.Kernel, request: http.Request, message: messages.RelayRequest):
        self.core = core
        self.request = request
        self.elapsed_s = message.elapsed_ms / MS_PER_S
        self.sent_to = message.sent_to
        self.routing_index = message.routing_index
        self.started = False
        self.ended = False
        self.status = 0
        self.headers: http.Headers = []
        self.unread = bytearray()
        self.position = 0
        self.failure = messages.RelayReply()
        self.read_at = core.clock.monotonic()
        self.task: curio.Task | None = None
        self.changed = curio.Condition()
        self.held = core.callers.hold()

    async def start(self, status: int, headers: http.Headers) -> None:
        """Begin the answer."""
        self.started = True
        self.status = status
        self.headers = headers
        await self._notify()

    async def write(self, data: bytes) -> None:
        """Add a part of the body; wait while too much is unread."""
        async with self.changed:
            self.unread += data
            self.held.force(len(data))
            await self.changed.notify_all()
            while len(self.unread) > MAX_UNREAD_BYTES:
                await self.changed.wait()

    async def end(self) -> None:
        """End the answer as whole."""
        self.ended = True
        await self._notify()

    async def respond_raw(self, status: int, fields: http.Headers, body: bytes) -> None:
        """Give a complete answer."""
        self.unread += body
        self.held.force(len(body))
        self.ended = True
        await self.start(status, fields)

    async def fail(self, failure: str, text: str, retry_after_s: float | None = None) -> None:
        """End the answer, or the wait for it, without one that is whole."""
        retry_after_ms = int((retry_after_s or 0.0) * MS_PER_S)
        self.failure = messages.RelayReply(
            failure=failure, text=text, retry_after_ms=retry_after_ms
        )
        await self.end()

    async def read(self, position: int) -> messages.RelayReply:
        """Return what follows a position, after a wait for news."""
        self.read_at = self.core.clock.monotonic()
        known_head = self.position > 0 or position > 0
        async with self.changed:
            acknowledged = min(max(0, position - self.position), len(self.unread))
            del self.unread[:acknowledged]
            self.held.force(-acknowledged)
            self.position += acknowledged
            await self.changed.notify_all()
            async with curio.ignore_after(READ_WAIT_S):
                while not (self.unread or self.ended):
                    await self.changed.wait()
        self.read_at = self.core.clock.monotonic()
        return messages.RelayReply(
            self.status,
            [] if known_head else [messages.HeaderField(*field) for field in self.headers],
            bytes(self.unread),
            self.ended,
            self.failure.failure,
            self.failure.text,
            self.failure.retry_after_ms,
        )

    async def _notify(self) -> None:
        async with self.changed:
            await self.changed.notify_all()


class Servant(typing.Protocol):
    """Serves requests of other hosts; implemented by the gateway."""

    async def serve_relayed(self, exchange: RelayedExchange) -> None:
        """Serve a request.

        Raises:
            ElsewhereError: It has not run, and another host may serve it.
            NotRunError: It did not and will not run.
            EbonywheelError: It may have run.
        """


class RelayServer:
    """Serves requests for other entry hosts.

    Attributes:
        relays: Requests in progress or not yet read to their end, by asking host and id.
    """

    def __init__(self, core: kernel.Kernel, servant: Servant):
        self.core = core
        self.servant = servant
        self.relays: dict[tuple[str, int], RelayedExchange] = {}

    async def start(self) -> None:
        """Start accepting links of other hosts."""
        await link.LinkServer(self.core, self.handle).start()

    async def handle(self, message: msgspec.Struct, peer: link.PeerInfo) -> msgspec.Struct:
        """Answer one message of another host."""
        match message:
            case messages.RelayRequest():
                return await self._begin(message, peer)
            case messages.RelayRead():
                relayed = self.relays.get((peer.host, message.relay))
                if relayed is None:
                    raise exceptions.LinkError("no such relay", "read relay", peer.host)
                return await relayed.read(message.position)
            case messages.RelayEnd():
                await self._end((peer.host, message.relay))
                return messages.Ack()
        raise exceptions.FrameError(f"unexpected {type(message).__name__}", "dispatch", str(peer))

    async def _begin(
        self, message: messages.RelayRequest, peer: link.PeerInfo
    ) -> messages.RelayReply:
        if len(self.relays) >= MAX_RELAYS:
            return messages.RelayReply(ended=True, failure=ELSEWHERE, text="too many relays")
        fields = [(field.name, field.value) for field in message.headers]
        request = http.Request(
            message.method,
            message.path,
            {},
            dict(fields),
            message.body,
            peer.host,
            message.raw_query,
            fields,
            message.target,
        )
        relayed = RelayedExchange(self.core, request, message)
        if not relayed.held.grow(len(message.body)):
            return messages.RelayReply(ended=True, failure=ELSEWHERE, text="no memory left")
        key = (peer.host, message.relay)
        self.relays[key] = relayed
        relayed.task = await self.core.spawn(self._serve(key, relayed))
        return await relayed.read(0)

    async def _serve(self, key: tuple[str, int], relayed: RelayedExchange) -> None:
        """Serve a request until its answer was read, its caller is gone or it has failed."""
        try:
            async with curio.TaskGroup(wait=any) as group:
                await group.spawn(self._answer, relayed)
                await group.spawn(self._wait_for_silence, relayed)
            if relayed.ended:
                await self._wait_for_silence(relayed)
        finally:
            self.relays.pop(key, None)
            relayed.held.release()

    async def _answer(self, relayed: RelayedExchange) -> None:
        try:
            await self.servant.serve_relayed(relayed)
        except exceptions.ElsewhereError as error:
            await relayed.fail(ELSEWHERE, str(error), error.retry_after)
        except exceptions.NotRunError as error:
            await relayed.fail(NOT_RUN, str(error), error.retry_after)
        except (exceptions.EbonywheelError, curio.TaskTimeout) as error:
            await relayed.fail(BROKEN if relayed.started else UNKNOWN, str(error))
        except curio.CancelledError:
            raise
        except Exception as error:
            self.core.log.error("relay_failed", path=relayed.request.path, error=repr(error))
            await relayed.fail(BROKEN if relayed.started else UNKNOWN, "internal error")

    async def _wait_for_silence(self, relayed: RelayedExchange) -> None:
        """Wait until the other host has not read for too long."""
        while True:
            silent_s = self.core.clock.monotonic() - relayed.read_at
            if silent_s >= ASKER_TIMEOUT_S:
                return
            await curio.sleep(ASKER_TIMEOUT_S - silent_s)

    async def _end(self, key: tuple[str, int]) -> None:
        relayed = self.relays.get(key)
        if relayed is not None and relayed.task is not None:
            await relayed.task.cancel(blocking=False)
