"""The engines' HTTP interface, as this system uses it: generate, resume, cancel."""

import msgspec

from ebonywheel import exceptions, http, messages, sse

CONNECT_TIMEOUT_S = 1.0
WRITE_TIMEOUT_S = 5.0
CANCEL_TIMEOUT_S = 2.0
INCARNATION_HEADER = "x-incarnation"
STATUS_OTHER_INCARNATION = 409
STATUS_GONE = 404


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


class End(msgspec.Struct):
    """Proper end of a generation."""

    tokens: int
    reason: str = "stop"


class KeepAlive(msgspec.Struct):
    """The generation is alive but has no token yet."""


class EngineStream:
    """A connection that carries one generation's tokens."""

    def __init__(self, state: messages.ServerState):
        self.state = state
        self.connection = http.ClientConnection(state.address)
        self.decoder = sse.Decoder()

    async def generate(self, request: GenerateRequest, timeout_s: float) -> None:
        """Start a generation.

        Raises:
            UpstreamError: The engine did not take it.
        """
        body = msgspec.json.encode(request)
        await self._open("POST", "/generate", body, timeout_s)

    async def resume(self, generation: str, index: int, timeout_s: float) -> None:
        """Go on reading a generation from an index.

        Raises:
            UpstreamError: The engine no longer has it, or cannot be reached.
        """
        await self._open("GET", f"/generate/{generation}?from={index}", b"", timeout_s)

    async def read(self, timeout_s: float) -> list[Token | End | KeepAlive]:
        """Return the next events.

        Raises:
            UpstreamError: The connection broke, was silent or sent nonsense.
        """
        chunk = await self.connection.read_chunk(timeout_s)
        if chunk is None:
            raise self._error("stream ended without an end event", "read")
        return [self._decode(event) for event in self.decoder.feed(chunk)]

    async def close(self) -> None:
        """Close the connection; the generation goes on at the engine for a while."""
        await self.connection.close()

    async def _open(self, method: str, target: str, body: bytes, timeout_s: float) -> None:
        headers = [(INCARNATION_HEADER, str(self.state.incarnation))]
        await self.connection.connect(CONNECT_TIMEOUT_S)
        await self.connection.request(method, target, headers, body, WRITE_TIMEOUT_S)
        head = await self.connection.response(timeout_s)
        if head.status != 200:
            raise RefusedByEngine(
                f"engine answered {head.status}", method, self.state.server, True, head.status
            )

    def _decode(self, event: sse.Event) -> Token | End | KeepAlive:
        if event.comment:
            return KeepAlive()
        try:
            if event.name == "end":
                return msgspec.json.decode(event.data, type=End)
            return msgspec.json.decode(event.data, type=Token)
        except msgspec.MsgspecError as error:
            raise self._error(f"undecodable event: {error}", "decode event") from error

    def _error(self, text: str, step: str) -> exceptions.UpstreamError:
        return exceptions.UpstreamError(text, step, self.state.server, True)


class RefusedByEngine(exceptions.UpstreamError):
    """The engine answered with an error status.

    Attributes:
        status: The HTTP status.
    """

    def __init__(self, text: str, step: str, peer: str, sent: bool, status: int):
        super().__init__(text, step, peer, sent)
        self.status = status


async def cancel(state: messages.ServerState, generation: str) -> bool:
    """Cancel a generation; return whether the engine confirmed it."""
    connection = http.ClientConnection(state.address)
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
