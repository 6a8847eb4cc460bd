"""The engines' HTTP interface, as this system uses it: generate, resume, cancel."""

import re

import curio
import h11
import msgspec

from ebonywheel import exceptions, http, httpclient, messages, sse

CONNECT_TIMEOUT_S = 1.0
WRITE_TIMEOUT_S = 5.0
CANCEL_TIMEOUT_S = 2.0
INCARNATION_HEADER = "x-incarnation"
GENERATION_HEADER = "x-generation"
PROVE_TIMEOUT_S = 1.0
MAX_IDENTITY_BYTES = 4096
STATUS_OK = 200
STATUS_OTHER_INCARNATION = 409


CHUNK_END_BYTES = 2
MAX_EVENT_BYTES = 1024 * 1024

# A token as most engines send it: its JSON is passed on unchanged.
TOKEN_EVENT = re.compile(
    rb"(?:id: \d{1,15}\n)?"
    rb'data: (\{"index":(\d{1,15}),"text":"(?:[ !#-\[\]-~\x80-\xff]|\\[nrtbf"\\/])*"\})\n\n'
)


class Identity(msgspec.Struct):
    """What a backend server answers when asked who it is."""

    incarnation: int = 0


class GenerateRequest(msgspec.Struct):
    """Body of a generate call.

    Attributes:
        generation: Name of the generation, to resume or cancel it.
        length: Length of the answer when the caller knows it, for measurements; 0 otherwise.
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
    """Consecutive tokens that came together.

    Attributes:
        first: Index of the first one.
        data: JSON of each token, as the engine sent it.
    """

    first: int
    data: list[bytes]


class End(msgspec.Struct):
    """Proper end of a generation."""

    tokens: int
    reason: str = "stop"


class KeepAlive(msgspec.Struct):
    """The generation is alive but has no token yet."""


class Replaced(msgspec.Struct):
    """Another reader has taken the generation over."""


Event = Tokens | End | KeepAlive | Replaced


class EngineStream:
    """A connection that carries one generation's tokens."""

    def __init__(self, state: messages.ServerState):
        self.state = state
        self.connection = httpclient.ClientConnection(state.address)
        self.decoder = sse.Decoder()
        self.rest = b""
        self.ended = False

    async def connect(self) -> None:
        """Connect, and check that the incarnation wanted answers, before any work is sent.

        Raises:
            UpstreamError: It cannot be reached, or is another incarnation; nothing was sent.
        """
        try:
            await self.connection.connect(CONNECT_TIMEOUT_S)
            await _prove(self.connection, self.state)
        except exceptions.UpstreamError as error:
            error.sent = False
            raise

    async def generate(self, request: GenerateRequest, timeout_s: float) -> None:
        """Start a generation.

        Raises:
            UpstreamError: The engine did not take it.
        """
        body = msgspec.json.encode(request)
        await self._open("POST", "/generate", request.generation, body, timeout_s)

    async def resume(self, generation: str, index: int, timeout_s: float) -> None:
        """Go on reading a generation from an index.

        Raises:
            UpstreamError: The engine no longer has it, or cannot be reached.
        """
        target = f"/generate/{generation}?from={index}"
        await self._open("GET", target, generation, b"", timeout_s)

    async def read(self, timeout_s: float) -> list[Event]:
        """Return the next events, all that have arrived.

        Raises:
            UpstreamError: The connection broke, was silent or sent nonsense.
        """
        while not (data := self._arrived()):
            if self.ended:
                raise self._error("stream ended without an end event", "read")
            await self._receive(timeout_s)
        return self._parse(data)

    async def _receive(self, timeout_s: float) -> None:
        try:
            async with curio.timeout_after(timeout_s):
                data = await self.connection.sock.recv(http.READ_BYTES)
        except curio.TaskTimeout as error:
            raise self._error("nothing received in time", "read") from error
        except OSError as error:
            raise self._error(str(error), "read") from error
        if not data:
            raise self._error("connection ended in the answer", "read")
        self.connection.conn.receive_data(data)

    def _arrived(self) -> bytes:
        # Asking h11 for an event that is not there yet costs as much as one that is: what is left
        # of a chunk that was read whole is only the end of its line.
        conn = self.connection.conn
        chunks = []
        while not self.ended and len(conn.trailing_data[0]) > CHUNK_END_BYTES:
            try:
                event = conn.next_event()
            except h11.RemoteProtocolError as error:
                raise self._error(f"malformed answer: {error}", "read") from error
            if isinstance(event, h11.Data):
                chunks.append(event.data)
            elif isinstance(event, h11.EndOfMessage):
                self.ended = True
            else:
                break
        return b"".join(chunks)

    def _parse(self, data: bytes) -> list[Event]:
        data = self.rest + data
        events: list[Event] = []
        at = 0
        while (end := data.find(b"\n\n", at)) >= 0:
            match = TOKEN_EVENT.match(data, at)
            if match is not None and _is_utf8(match[1]):
                self._add_token(events, int(match[2]), match[1])
                at = match.end()
                continue
            for event in self.decoder.feed(data[at : end + 2]):
                self._add_event(events, event)
            at = end + 2
        self.rest = data[at:]
        if len(self.rest) > MAX_EVENT_BYTES:
            raise self._error("event too long", "decode event")
        return events

    def _add_token(self, events: list[Event], index: int, data: bytes) -> None:
        last = events[-1] if events else None
        if isinstance(last, Tokens) and last.first + len(last.data) == index:
            last.data.append(data)
        else:
            events.append(Tokens(index, [data]))

    def _add_event(self, events: list[Event], event: sse.Event) -> None:
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
        """Close the connection; the generation goes on at the engine for a while."""
        await self.connection.close()

    async def _open(
        self, method: str, target: str, generation: str, body: bytes, timeout_s: float
    ) -> None:
        headers = [(INCARNATION_HEADER, str(self.state.incarnation))]
        await self.connection.request(method, target, headers, body, WRITE_TIMEOUT_S)
        head = await self.connection.response(timeout_s)
        if head.status != STATUS_OK:
            raise RefusedByEngine(
                f"engine answered {head.status}", method, self.state.server, True, head.status
            )
        named = head.headers.get(GENERATION_HEADER, generation)
        if named != generation:
            raise self._error(f"answered for generation {named!r}", method)

    def _error(self, text: str, step: str) -> exceptions.UpstreamError:
        return exceptions.UpstreamError(text, step, self.state.server, True)


class OtherIncarnation(exceptions.UpstreamError):
    """Another incarnation answers at the backend server's address."""


class RefusedByEngine(exceptions.UpstreamError):
    """The engine answered with an error status.

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
    """Cancel a generation; return whether the engine confirmed it, or is another incarnation."""
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


async def gone(state: messages.ServerState) -> bool:
    """Return whether this incarnation has ended for certain: refused, or another one answers."""
    connection = httpclient.ClientConnection(state.address)
    try:
        await connection.connect(CONNECT_TIMEOUT_S)
        await _prove(connection, state)
    except OtherIncarnation:
        return True
    except exceptions.UpstreamError as error:
        return isinstance(error.__cause__, ConnectionRefusedError)
    finally:
        await connection.close()
    return False


async def _prove(connection: httpclient.ClientConnection, state: messages.ServerState) -> None:
    headers = [(INCARNATION_HEADER, str(state.incarnation))]
    await connection.request("GET", "/incarnation", headers, b"", PROVE_TIMEOUT_S)
    head = await connection.response(PROVE_TIMEOUT_S)
    body = await connection.body(PROVE_TIMEOUT_S, MAX_IDENTITY_BYTES)
    if head.status == STATUS_OTHER_INCARNATION or _names_another(head.status, body, state):
        raise OtherIncarnation("another incarnation answers", "prove", state.server)
    if not connection.reusable():
        raise exceptions.UpstreamError("server closes after each answer", "prove", state.server)
    connection.start_next()


def _names_another(status: int, body: bytes, state: messages.ServerState) -> bool:
    # A server without this resource checks the header of the work itself.
    if status != STATUS_OK:
        return False
    try:
        answer = msgspec.json.decode(body, type=Identity)
    except msgspec.MsgspecError:
        return False
    return answer.incarnation not in (0, state.incarnation)
