"""Links between the system's processes: framed messages over TCP, with one task per connection.

Both ends prove in the handshake that they hold the shared secret. A `Link` keeps one connection
to one peer and reopens it after a failure; each request carries an exchange number, so answers
may arrive in any order.
"""

import hashlib
import hmac
import secrets
import typing

import curio
import msgspec

from ebonywheel import codec, exceptions, frames, kernel, messages, settings, sockets

# The kernel resends a SYN that a host lost in a power failure only after 1 s; a new attempt is
# faster. Round trips take up to 24 ms.
CONNECT_TIMEOUT_S = 0.3
HANDSHAKE_TIMEOUT_S = 2.0
DEFAULT_CALL_TIMEOUT_S = 2.0
IDLE_TIMEOUT_S = 300.0
NONCE_BYTES = 16
ACCEPT_BACKLOG = 1024
ACCEPT_PAUSE_S = 0.05
MAX_CONNECTIONS = 2048


class PeerInfo(msgspec.Struct):
    """The authenticated identity of the other end of a connection.

    Attributes:
        link: Address at which it accepts links, empty when unknown or none.
    """

    role: str
    host: str
    data_centre: str
    link: str = ""

    def __str__(self) -> str:
        return f"{self.role}:{self.host}"


Handler = typing.Callable[
    [messages.Hello | msgspec.Struct, PeerInfo], typing.Awaitable[msgspec.Struct]
]


class Link:
    """The connection to one peer, opened on first use and reopened after a failure.

    Attributes:
        delay_s: Delay before each write, to simulate a slow link.
        pending: Calls that wait for an answer, by exchange number.
    """

    def __init__(self, core: kernel.Kernel, name: str, address: str, delay_s: float = 0.0):
        self.core = core
        self.name = name
        self.address = address
        self.delay_s = delay_s
        self.stream: frames.FrameStream | None = None
        self.peer: PeerInfo | None = None
        self.pending: dict[int, _PendingCall] = {}
        self.next_exchange = 1
        self.connect_lock = curio.Lock()

    async def call(
        self, message: msgspec.Struct, timeout_s: float = DEFAULT_CALL_TIMEOUT_S
    ) -> msgspec.Struct:
        """Send a request and wait for its answer.

        Raises:
            LinkTimeout: No answer arrived in time; the peer may have acted on the request.
            RemoteError: The peer answered with an error.
            LinkError: The connection failed.
        """
        exchange = self.next_exchange
        self.next_exchange += 1
        pending_call = _PendingCall()
        self.pending[exchange] = pending_call
        stream = None
        try:
            async with curio.timeout_after(timeout_s):
                stream = await self._connected_stream()
                pending_call.stream = stream
                frames_before = stream.frames_read
                await stream.write(codec.encode(message, exchange, codec.FLAG_REQUEST))
                answer = await pending_call.answer.unwrap()
        except curio.TaskTimeout as error:
            # When nothing at all arrived, a device between the two ends may have dropped the
            # connection without notice; the next call opens a new one.
            if stream is not None and stream.frames_read == frames_before:
                await self._drop(stream)
            step = f"call {type(message).__name__}"
            raise exceptions.LinkTimeout("no answer in time", step, self.name) from error
        finally:
            self.pending.pop(exchange, None)
        if isinstance(answer, messages.Failure):
            raise exceptions.RemoteError(
                answer.text, answer.step, answer.peer or self.name, answer.code
            )
        return answer

    async def send(self, message: msgspec.Struct) -> None:
        """Send a message that has no answer.

        Raises:
            LinkError: The connection failed.
        """
        stream = await self._connected_stream()
        await stream.write(codec.encode(message, 0, codec.FLAG_ONE_WAY))

    async def close(self) -> None:
        """Close the connection; a later call opens a new one."""
        if self.stream is not None:
            await self._drop(self.stream)

    async def _drop(self, stream: frames.FrameStream) -> None:
        if self.stream is not stream:
            return
        self.stream = None
        self.core.metrics.count("link_drops", peer=self.name)
        await stream.shutdown()

    async def _connected_stream(self) -> frames.FrameStream:
        async with self.connect_lock:
            if self.stream is None or self.stream.broken:
                self.stream = await self._connect()
                await self.core.spawn(self._read_answers(self.stream))
            return self.stream

    async def _connect(self) -> frames.FrameStream:
        host, port = settings.split_address(self.address)
        try:
            async with curio.timeout_after(CONNECT_TIMEOUT_S):
                sock = await sockets.open_connection(host, port)
        except curio.TaskTimeout as error:
            raise exceptions.LinkTimeout("no connection in time", "connect", self.name) from error
        except OSError as error:
            raise exceptions.LinkError(str(error), "connect", self.name) from error
        sockets.set_tcp_options(sock)
        stream = frames.FrameStream(self.core, sock, self.name, self.delay_s)
        try:
            async with curio.timeout_after(HANDSHAKE_TIMEOUT_S):
                self.peer = await _handshake_as_client(self.core, stream)
        except curio.TaskTimeout as error:
            await sock.close()
            raise exceptions.LinkTimeout("no handshake in time", "handshake", self.name) from error
        except BaseException:
            await sock.close()
            raise
        self.core.metrics.count("link_connects", peer=self.name)
        return stream

    async def _read_answers(self, stream: frames.FrameStream) -> None:
        error: exceptions.LinkError = exceptions.LinkError("link closed", "read", self.name)
        try:
            while True:
                header, message = await stream.read()
                pending_call = self.pending.get(header.exchange)
                if pending_call is None or header.flag != codec.FLAG_REPLY:
                    self.core.metrics.count("link_late_answers", peer=self.name)
                    continue
                await pending_call.answer.set_value(message)
        except exceptions.FrameError as caught:
            self.core.metrics.count("link_bad_frames")
            error = caught
        except exceptions.LinkError as caught:
            error = caught
        finally:
            if self.stream is stream:
                self.stream = None
            await self._fail_pending(stream, error)
            await stream.sock.close()

    async def _fail_pending(self, stream: frames.FrameStream, error: exceptions.LinkError) -> None:
        for pending_call in list(self.pending.values()):
            if pending_call.stream is stream and not pending_call.answer.is_set():
                await pending_call.answer.set_exception(error)


class _PendingCall:
    """A call that waits for its answer on a connection."""

    __slots__ = ("answer", "stream")

    def __init__(self):
        self.answer = curio.Result()
        self.stream: frames.FrameStream | None = None


class LinkServer:
    """Accepts links from other processes and passes their messages to one handler."""

    def __init__(self, core: kernel.Kernel, handler: Handler, delay_s: float = 0.0):
        self.core = core
        self.handler = handler
        self.delay_s = delay_s
        self.open_connections = 0

    async def start(self) -> None:
        """Bind the host's link address and start accepting.

        Raises:
            SettingsError: The address cannot be bound.
        """
        host, port = settings.split_address(self.core.host.link)
        try:
            sock = sockets.listen(host, port, ACCEPT_BACKLOG)
        except OSError as error:
            raise exceptions.SettingsError(str(error), "bind link", self.core.host.link) from error
        self.core.exit_stack.push_async_callback(sock.close)
        await self.core.spawn(self._accept(sock), essential=True)

    async def _accept(self, sock: curio.io.Socket) -> None:
        while True:
            try:
                client, address = await sock.accept()
            except OSError:
                # The peer has disconnected already, or no file descriptor is free: go on accepting.
                self.core.metrics.count("link_accept_errors")
                await curio.sleep(ACCEPT_PAUSE_S)
                continue
            if self.open_connections >= MAX_CONNECTIONS:
                self.core.metrics.count("link_connections_refused")
                await client.close()
                continue
            self.open_connections += 1
            sockets.set_tcp_options(client)
            await self.core.spawn(self._serve(client, f"{address[0]}:{address[1]}"))

    async def _serve(self, sock: curio.io.Socket, name: str) -> None:
        try:
            await self._serve_peer(sock, name)
        finally:
            self.open_connections -= 1

    async def _serve_peer(self, sock: curio.io.Socket, name: str) -> None:
        stream = frames.FrameStream(self.core, sock, name, self.delay_s)
        async with sock:
            try:
                async with curio.timeout_after(HANDSHAKE_TIMEOUT_S):
                    peer = await _handshake_as_server(self.core, stream)
            except (curio.TaskTimeout, exceptions.LinkError) as error:
                self.core.metrics.count("link_refused", code=getattr(error, "code", "timeout"))
                return
            stream.name = str(peer)
            try:
                while True:
                    async with curio.timeout_after(IDLE_TIMEOUT_S):
                        await self._serve_message(stream, peer)
            except exceptions.FrameError as error:
                self.core.metrics.count("link_bad_frames")
                self.core.log.warning("bad_frame", error=error.text, peer=peer)
            except (curio.TaskTimeout, exceptions.LinkError):
                self.core.metrics.count("link_closed")

    async def _serve_message(self, stream: frames.FrameStream, peer: PeerInfo) -> None:
        """Read a message and start to answer it; refuse one that this build does not know."""
        try:
            header, message = await stream.read()
        except exceptions.UnknownMessageError as error:
            self.core.metrics.count("link_failures", code=error.code)
            self.core.log.warning("unknown_message", error=error.text, peer=peer)
            if error.wants_answer:
                failure = messages.Failure(error.code, error.text, error.step, self.core.host.name)
                await stream.write(codec.encode(failure, error.exchange, codec.FLAG_REPLY))
            return
        await self._dispatch(stream, peer, header, message)

    async def _dispatch(
        self,
        stream: frames.FrameStream,
        peer: PeerInfo,
        header: codec.Header,
        message: msgspec.Struct,
    ) -> None:
        if header.flag == codec.FLAG_ONE_WAY:
            await self._handle(peer, message)
        elif header.flag == codec.FLAG_REQUEST:
            await self.core.spawn(self._answer(stream, peer, header.exchange, message))
        else:
            raise exceptions.FrameError("answer without a request", "dispatch", str(peer))

    async def _answer(
        self, stream: frames.FrameStream, peer: PeerInfo, exchange: int, message: msgspec.Struct
    ) -> None:
        answer = await self._handle(peer, message)
        try:
            frame = codec.encode(answer, exchange, codec.FLAG_REPLY)
        except exceptions.FrameError as error:
            self.core.log.error("answer_not_encoded", peer=peer, error=error)
            failure = messages.Failure(error.code, error.text, error.step, self.core.host.name)
            frame = codec.encode(failure, exchange, codec.FLAG_REPLY)
        await stream.write(frame)

    async def _handle(self, peer: PeerInfo, message: msgspec.Struct) -> msgspec.Struct:
        try:
            return await self.handler(message, peer)
        except exceptions.EbonywheelError as error:
            self.core.metrics.count("link_failures", code=error.code)
            return messages.Failure(error.code, error.text, error.step, error.peer)
        except Exception as error:
            self.core.metrics.count("link_failures", code="internal")
            self.core.log.error(
                "handler_failed", message=type(message).__name__, peer=peer, error=repr(error)
            )
            return messages.Failure("internal", "internal error", type(message).__name__)


async def _handshake_as_client(core: kernel.Kernel, stream: frames.FrameStream) -> PeerInfo:
    """Verify the accepting side's proof, then prove the secret to it; return its identity."""
    nonce = secrets.token_bytes(NONCE_BYTES)
    host = core.host
    hello = messages.Hello(core.role, host.name, host.data_centre, nonce, host.link)
    await stream.write(codec.encode(hello, 0, codec.FLAG_REQUEST))
    challenge = await stream.read_handshake(messages.Challenge)
    expected = _sign(core.secret, b"accept", challenge.host, nonce, challenge.nonce)
    if not hmac.compare_digest(expected, challenge.proof):
        raise exceptions.HandshakeError(
            "peer does not hold the shared secret", "handshake", stream.name
        )
    proof = _sign(core.secret, b"connect", core.host.name, challenge.nonce, nonce)
    await stream.write(codec.encode(messages.Proof(proof), 0, codec.FLAG_REQUEST))
    await stream.read_handshake(messages.Ack)
    return PeerInfo("", challenge.host, challenge.data_centre)


async def _handshake_as_server(core: kernel.Kernel, stream: frames.FrameStream) -> PeerInfo:
    """Prove the secret to the connecting side, then verify its proof; return its identity."""
    hello = await stream.read_handshake(messages.Hello)
    nonce = secrets.token_bytes(NONCE_BYTES)
    proof = _sign(core.secret, b"accept", core.host.name, hello.nonce, nonce)
    challenge = messages.Challenge(core.host.name, core.host.data_centre, nonce, proof)
    await stream.write(codec.encode(challenge, 0, codec.FLAG_REPLY))
    answer = await stream.read_handshake(messages.Proof)
    expected = _sign(core.secret, b"connect", hello.host, nonce, hello.nonce)
    if not hmac.compare_digest(answer.proof, expected):
        raise exceptions.HandshakeError(
            "peer does not hold the shared secret", "handshake", stream.name
        )
    await stream.write(codec.encode(messages.Ack(), 0, codec.FLAG_REPLY))
    return PeerInfo(hello.role, hello.host, hello.data_centre, hello.link)


def _sign(secret: bytes, side: bytes, host: str, peer_nonce: bytes, own_nonce: bytes) -> bytes:
    """Return a proof of the secret, valid only for one side of one connection."""
    content = b"|".join((side, host.encode(), peer_nonce.hex().encode(), own_nonce.hex().encode()))
    return hmac.new(secret, content, hashlib.sha256).digest()
