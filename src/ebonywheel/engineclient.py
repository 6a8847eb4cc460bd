"""HTTP client of the engines: generate, resume and cancel."""

import re

import curio
import h11
import msgspec

from ebonywheel import exceptions, http, httpclient, messages, sse, turns

CONNECT_TIMEOUT_S = 1.0
WRITE_TIMEOUT_S = 5.0
CANCEL_TIMEOUT_S = 2.0
INCARNATION_HEADER = "x-incarnation"
GENERATION_HEADER = "x-generation"
IDENTITY_TIMEOUT_S = 1.0
MAX_IDENTITY_BYTES = 4096
STATUS_OK = 200
STATUS_OTHER_INCARNATION = 409
# Length of the line end that follows a chunk.
CHUNK_END_BYTES = 2
# Chunks that are parsed before other tasks may run.
MAX_CHUNKS_AT_ONCE = 64
MAX_EVENT_BYTES = 1024 * 1024

# A token event in the usual form; its JSON is forwarded without decoding it.
TOKEN_EVENT = re.compile(
    rb"(?:id: \d{1,15}\n)?"
    rb'data: (\{"index":(\d{1,15}),"text":"(?:[ !#-\[\]-~\x80-\xff]|\\[nrtbf"\\/])*"\})\n\n'
)


class Identity(msgspec.Struct):
    """Response of a backend server to ``GET /incarnation``."""

    incarnation: int = 0


class GenerateRequest(msgspec.Struct):
    """Body of a generate request.

    Attributes:
        generation: Name by which the generation is resumed or cancelled.
        length: Number of tokens to generate if the caller knows it, for measurements; else 0.
    """

    generation: str
    prompt: str
    max_tokens: int
    priority: int = 0
    length: int = 0


class Token(msgspec.Struct):
    """One generated token."""

    index: int
    text: str


class Tokens(msgspec.Struct):
    """Consecutive tokens that arrived together.

    Attributes:
        first: Index of the first token.
        data: JSON of each token, as the engine sent it.
    """

    first: int
    data: list[bytes]


class End(msgspec.Struct):
    """The generation has ended normally."""

    tokens: int
    reason: str = "stop"


class KeepAlive(msgspec.Struct):
    """The generation is running but has no new token."""


class Replaced(msgspec.Struct):
    """Another reader has taken over the generation."""


Event = Tokens | End | KeepAlive | Replaced


class EngineStream:
    """A connection that streams one generation's tokens.

    Attributes:
        unparsed: Received bytes of an event that is not complete yet.
        body_ended: Whether the end of the response body was received.
    """

    def __init__(self, state: messages.ServerState):
        self.state = state
        self.connection = httpclient.ClientConnection(state.address)
        self.decoder = sse.Decoder()
        self.line_ends = sse.LineEnds()
        self.unparsed = b""
        self.body_ended = False

    async def connect(self) -> None:
        """Connect and check the server's incarnation, before any work is sent.

        Raises:
            UpstreamError: The server cannot be reached or is another incarnation. No work was sent.
        """
        try:
            await self.connection.connect(CONNECT_TIMEOUT_S)
            await _check_incarnation(self.connection, self.state)
        except exceptions.UpstreamError as error:
            error.sent = False
            raise

    async def generate(self, request: GenerateRequest, timeout_s: float) -> None:
        """Start a generation.

        Raises:
            UpstreamError: The engine did not accept it.
        """
        body = msgspec.json.encode(request)
        await self._send_request("POST", "/generate", request.generation, body, timeout_s)

    async def resume(self, generation: str, index: int, timeout_s: float) -> None:
        """Resume reading a generation from an index.

        Raises:
            UpstreamError: The engine no longer has it, or cannot be reached.
        """
        target = f"/generate/{generation}?from={index}"
        await self._send_request("GET", target, generation, b"", timeout_s)

    async def read(self, timeout_s: float) -> list[Event]:
        """Wait for events and return all that have arrived.

        Raises:
            UpstreamError: The connection failed, was silent for too long or sent malformed data.
        """
        if turns.current.is_over(self.connection.sock):
            await turns.give_way()
        while not (data := self._received_data()):
            if self.body_ended:
                raise self._error("stream ended without an end event", "read")
            await self._receive_bytes(timeout_s)
        return self._parse(data)

    async def _receive_bytes(self, timeout_s: float) -> None:
        try:
            async with curio.timeout_after(timeout_s):
                data = await self.connection.sock.recv(http.READ_BYTES)
        except curio.TaskTimeout as error:
            raise self._error("nothing received in time", "read") from error
        except OSError as error:
            raise self._error(str(error), "read") from error
        if not data:
            raise self._error("connection closed in the response body", "read")
        self.connection.conn.receive_data(data)

    def _received_data(self) -> bytes:
        # Avoids calls of next_event() that would return no data, since they cost as much as the
        # others. After a whole chunk, only its line end is left in the buffer.
        conn = self.connection.conn
        chunks: list[bytes] = []
        while not self.body_ended and len(conn.trailing_data[0]) > CHUNK_END_BYTES:
            if len(chunks) == MAX_CHUNKS_AT_ONCE:
                break
            try:
                event = conn.next_event()
            except h11.RemoteProtocolError as error:
                raise self._error(f"malformed response: {error}", "read") from error
            if isinstance(event, h11.Data):
                chunks.append(event.data)
            elif isinstance(event, h11.EndOfMessage):
                self.body_ended = True
            else:
                break
        return b"".join(chunks)

    def _parse(self, data: bytes) -> list[Event]:
        data = self.unparsed + self.line_ends.replace(data)
        events: list[Event] = []
        position = 0
        while (event_end := data.find(b"\n\n", position)) >= 0:
            match = TOKEN_EVENT.match(data, position)
            if match is not None and _is_utf8(match[1]):
                self._add_token(events, int(match[2]), match[1])
                position = match.end()
                continue
            for event in self.decoder.feed(data[position : event_end + 2]):
                self._decode_event(events, event)
            position = event_end + 2
        self.unparsed = data[position:]
        if len(self.unparsed) > MAX_EVENT_BYTES:
            raise self._error("event too long", "decode event")
        return events

    def _add_token(self, events: list[Event], index: int, data: bytes) -> None:
        last = events[-1] if events else None
        if isinstance(last, Tokens) and last.first + len(last.data) == index:
            last.data.append(data)
        else:
            events.append(Tokens(index, [data]))

    def _decode_event(self, events: list[Event], event: sse.Event) -> None:
        try:
            if event.name == "end":
                events.append(msgspec.json.decode(event.data, type=End))
            elif event.name == "replaced":
                events.append(Replaced())
            elif event.data:
                token = msgspec.json.decode(event.data, type=Token)
                self._add_token(events, token.index, msgspec.json.encode(token))
            elif event.comment:
                events.append(KeepAlive())
        except msgspec.MsgspecError as error:
            raise self._error(f"undecodable event: {error}", "decode event") from error

    async def close(self) -> None:
        """Close the connection. The engine keeps generating for a while."""
        await self.connection.close()

    async def _send_request(
        self, method: str, target: str, generation: str, body: bytes, timeout_s: float
    ) -> None:
        headers = [(INCARNATION_HEADER, str(self.state.incarnation))]
        await self.connection.request(method, target, headers, body, WRITE_TIMEOUT_S)
        head = await self.connection.response(timeout_s)
        if head.status != STATUS_OK:
            raise RefusedByEngineError(
                f"engine responded with status {head.status}",
                method,
                self.state.server,
                True,
                head.status,
            )
        answered_generation = head.headers.get(GENERATION_HEADER, generation)
        if answered_generation != generation:
            raise self._error(f"engine responded for generation {answered_generation!r}", method)

    def _error(self, text: str, step: str) -> exceptions.UpstreamError:
        return exceptions.UpstreamError(text, step, self.state.server, True)


class OtherIncarnationError(exceptions.UpstreamError):
    """Another incarnation of the backend server responds at its address."""


class RefusedByEngineError(exceptions.UpstreamError):
    """The engine responded with an error status.

    Attributes:
        status: The HTTP status.
    """

    def __init__(self, text: str, step: str, peer: str, sent: bool, status: int):
        super().__init__(text, step, peer, sent)
        self.status = status


def _is_utf8(data: bytes) -> bool:
    if data.isascii():
        return True
    try:
        data.decode()
    except UnicodeDecodeError:
        return False
    return True


async def cancel(state: messages.ServerState, generation: str) -> bool:
    """Cancel a generation.

    Returns:
        Whether the engine confirmed it, or refused it with a status below 500, as another
        incarnation does.
    """
    connection = httpclient.ClientConnection(state.address)
    headers = [(INCARNATION_HEADER, str(state.incarnation))]
    try:
        await connection.connect(CONNECT_TIMEOUT_S)
        await connection.request(
            "DELETE", f"/generate/{generation}", headers, b"", CANCEL_TIMEOUT_S
        )
        return (await connection.response(CANCEL_TIMEOUT_S)).status < 500
    except exceptions.UpstreamError:
        return False
    finally:
        await connection.close()


async def incarnation_has_ended(state: messages.ServerState) -> bool:
    """Return whether this incarnation has certainly ended.

    It has when its address refuses connections or another incarnation responds there.
    """
    connection = httpclient.ClientConnection(state.address)
    try:
        await connection.connect(CONNECT_TIMEOUT_S)
        await _check_incarnation(connection, state)
    except OtherIncarnationError:
        return True
    except exceptions.UpstreamError as error:
        return isinstance(error.__cause__, ConnectionRefusedError)
    finally:
        await connection.close()
    return False


async def _check_incarnation(
    connection: httpclient.ClientConnection, state: messages.ServerState
) -> None:
    headers = [(INCARNATION_HEADER, str(state.incarnation))]
    await connection.request("GET", "/incarnation", headers, b"", IDENTITY_TIMEOUT_S)
    head = await connection.response(IDENTITY_TIMEOUT_S)
    body = await connection.body(IDENTITY_TIMEOUT_S, MAX_IDENTITY_BYTES)
    if head.status == STATUS_OTHER_INCARNATION or _is_other_incarnation(head.status, body, state):
        raise OtherIncarnationError("another incarnation responded", "prove", state.server)
    if not connection.reusable():
        raise exceptions.UpstreamError(
            "server closes the connection after each response", "prove", state.server
        )
    connection.start_next()


def _is_other_incarnation(status: int, body: bytes, state: messages.ServerState) -> bool:
    # A server without this resource checks the incarnation header of each request instead.
    if status != STATUS_OK:
        return False
    try:
        answer = msgspec.json.decode(body, type=Identity)
    except msgspec.MsgspecError:
        return False
    return answer.incarnation not in (0, state.incarnation)
