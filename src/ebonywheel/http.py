"""HTTP/1.1 requests, responses and their headers, as the server and the client have them in common.

The server side is `httpserver`, the client side `httpclient`.
"""

import re
import typing

import h11
import msgspec

from ebonywheel import exceptions, heldmemory

READ_BYTES = 65536
STATUS_NO_CONTENT = 204
STATUS_NOT_MODIFIED = 304
STATUSES_WITHOUT_BODY = (STATUS_NO_CONTENT, STATUS_NOT_MODIFIED)
CONTROL_BYTE = re.compile(r"[\x00-\x08\x0a-\x1f\x7f]")
# The answer when the protocol state is lost before the first byte of one.
LAST_RESORT = b"HTTP/1.1 502 Bad Gateway\r\ncontent-length: 0\r\nconnection: close\r\n\r\n"
JSON = "application/json"
EVENT_STREAM = "text/event-stream"

Headers = list[tuple[str, str]]


def encode_fields(headers: Headers) -> list[tuple[bytes, bytes]]:
    """Return headers as they are sent; their values hold one character for each byte.

    Raises:
        UnicodeEncodeError: A name is not ASCII, or a value has characters beyond Latin-1.
    """
    return [(name.encode("ascii"), value.encode("latin-1")) for name, value in headers]


def decode_fields(raw: typing.Iterable[tuple[bytes, bytes]]) -> Headers:
    """Return received headers, with one character for each byte of their values.

    Raises:
        ValueError: A value has a byte that HTTP does not allow; the text names the header.
    """
    fields = [(name.decode("ascii"), value.decode("latin-1")) for name, value in raw]
    for name, value in fields:
        # h11 lets most control bytes through.
        if CONTROL_BYTE.search(value):
            raise ValueError(f"control byte in header {name!r}")
    return fields


def length_fields(method: str, status: int, body: bytes, stated: str | None) -> Headers:
    """Return the header for the length of a complete answer that is passed on.

    Args:
        method: Method of the request.
        status: Status of the answer.
        body: Its body.
        stated: The length that its server stated, None without one. For an answer without a body
            it is the length that another would have.
    """
    if status == STATUS_NO_CONTENT:
        return []
    if method != "HEAD" and status != STATUS_NOT_MODIFIED:
        return [("content-length", str(len(body)))]
    return [] if stated is None else [("content-length", stated)]


class Request(msgspec.Struct):
    """A complete request as received.

    Attributes:
        peer: Address and port of the caller.
        raw_query: The query string as sent, without the question mark.
        headers: Header values by lower-case name, with one character for each byte received.
        fields: All headers in order, with lower-case names.
        target: The path and the query as sent, empty if not known.
    """

    method: str
    path: str
    query: dict[str, str]
    headers: dict[str, str]
    body: bytes
    peer: str
    raw_query: str = ""
    fields: list[tuple[str, str]] = []
    target: str = ""

    def json(self) -> dict:
        """Return the body as a JSON object.

        Raises:
            HttpError: The body is not a JSON object.
        """
        try:
            return msgspec.json.decode(self.body, type=dict)
        except (msgspec.DecodeError, msgspec.ValidationError) as error:
            raise exceptions.HttpError(
                f"body is not a JSON object: {error}", "decode body", self.peer
            ) from error

    def decode(self, kind: type[typing.Any]) -> typing.Any:
        """Return the body as a typed JSON value.

        Raises:
            HttpError: The body does not match the type; the text names the field.
        """
        try:
            return msgspec.json.decode(self.body, type=kind)
        except (msgspec.DecodeError, msgspec.ValidationError) as error:
            raise exceptions.HttpError(str(error), "decode body", self.peer) from error


class ResponseWriter(typing.Protocol):
    """Takes the response to one request.

    Attributes:
        started: True once the response has begun.
        ended: True once all of it has been given.
        held: Counts the memory that is held for the request, until the response has ended.
    """

    started: bool
    ended: bool
    held: heldmemory.Holding

    async def start(self, status: int, headers: Headers) -> None:
        """Begin a response, which is chunked unless the headers give its length."""

    async def write(self, data: bytes) -> None:
        """Add a part of the body."""

    async def end(self) -> None:
        """End the response."""

    async def respond_raw(self, status: int, fields: Headers, body: bytes) -> None:
        """Give a complete response with exactly these headers, with the length of its body."""


class ErrorBody(msgspec.Struct):
    """JSON body of every error response.

    Attributes:
        error: Code of the error.
        text: What went wrong.
        step: The step that failed.
        peer: The other end, file or component concerned.
        run: Whether the request ran: ``not run``, ``unknown`` or an empty string where this does
            not apply.
    """

    error: str
    text: str
    step: str = ""
    peer: str = ""
    run: str = ""


class Connection(typing.Protocol):
    """The caller's connection of an exchange; implemented by `callerconnection`."""

    conn: h11.Connection
    request_held: heldmemory.Holding

    def encode_response(self, status: int, headers: Headers) -> bytes:
        """Encode the head of a response."""

    def encode_data(self, data: bytes) -> bytes:
        """Encode a part of a response body."""

    def encode_end(self) -> bytes:
        """Encode the end of a response."""

    async def send(self, data: bytes) -> None:
        """Write to the caller, all of it."""

    async def send_part(self, data: bytes) -> None:
        """Write to the caller, as it reads."""

    def peer_closed(self) -> bool:
        """Return whether the caller has closed the connection, or its sending side."""

    async def read_until_closed(self) -> None:
        """Read ahead until the caller closes the connection."""


class Exchange:
    """One request and its response, on the server side.

    Attributes:
        started: True once a response has begun.
        ended: True once all of it has been written to the socket.
        held: Counts the memory that is held for the request, until the response has ended.
    """

    def __init__(self, connection: "Connection", request: Request):
        self.connection = connection
        self.request = request
        self.held = connection.request_held
        self.started = False
        self.ended = False

    async def respond(
        self,
        status: int,
        body: bytes = b"",
        content_type: str = JSON,
        headers: Headers | None = None,
    ) -> None:
        """Send a complete response."""
        fields = [("content-type", content_type), *(headers or [])]
        if status not in STATUSES_WITHOUT_BODY:
            fields.append(("content-length", str(len(body))))
        await self.respond_raw(status, fields, body)

    async def respond_raw(self, status: int, fields: Headers, body: bytes) -> None:
        """Send a complete response with exactly these headers, with the length of its body."""
        connection = self.connection
        data = connection.encode_response(status, fields)
        if body and self._has_body(status):
            data += connection.encode_data(body)
        data += connection.encode_end()
        self.started = True
        await connection.send(data)
        self.ended = True

    def _has_body(self, status: int) -> bool:
        return self.request.method != "HEAD" and status not in STATUSES_WITHOUT_BODY

    async def respond_json(
        self, status: int, value: typing.Any, headers: Headers | None = None
    ) -> None:
        """Send a complete response encoded as JSON."""
        await self.respond(status, msgspec.json.encode(value), JSON, headers)

    async def start(self, status: int, headers: Headers) -> None:
        """Send the head of a response; it is chunked unless the headers give its length."""
        head = self.connection.encode_response(status, headers)
        self.started = True
        await self.connection.send(head)

    async def start_stream(self, content_type: str, headers: Headers | None = None) -> None:
        """Send the head of a chunked response."""
        fields = [("content-type", content_type), ("cache-control", "no-store"), *(headers or [])]
        await self.start(200, fields)

    async def write(self, data: bytes) -> None:
        """Send a part of the response body."""
        await self.connection.send_part(self.connection.encode_data(data))

    async def end(self) -> None:
        """End the response."""
        await self.connection.send(self.connection.encode_end())
        self.ended = True

    async def fail(self, status: int, body: ErrorBody) -> None:
        """Send an error, unless the response has begun."""
        if self.started:
            return
        if self.connection.conn.our_state is h11.SEND_RESPONSE:
            await self.respond_json(status, body)
            return
        self.started = True
        await self.connection.send(LAST_RESORT)
        self.ended = True

    def caller_left(self) -> bool:
        """Return whether the caller has closed the connection, as far as can be told now."""
        return self.connection.peer_closed()

    async def wait_hangup(self) -> None:
        """Wait until the caller closes the connection; keep the requests that it pipelined."""
        await self.connection.read_until_closed()


ExchangeHandler = typing.Callable[[Exchange], typing.Awaitable[None]]


class HeadTerms(msgspec.Struct, frozen=True):
    """On which terms the body of a request is read.

    Attributes:
        groups: Shares of the memory that the request counts in.
        body_s: Time limit for receiving the body, None for the server's.
        body_bytes: Largest body, None for the server's.
    """

    groups: tuple[str, ...] = ()
    body_s: float | None = None
    body_bytes: int | None = None


# Decides by the head of a request whether it can be served; raises `HttpError` or `NotRunError`.
HeadCheck = typing.Callable[[Request], HeadTerms]
