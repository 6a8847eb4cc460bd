"""HTTP/1.1 server for callers, backend servers and operators: h11 over curio sockets.

The exchanges of a connection are served one after the other. The client side is `httpclient`.
"""

import math
import re
import select
import socket
import struct
import typing
import urllib.parse

import curio
import h11
import msgspec

from ebonywheel import (
    exceptions,
    heldmemory,
    kernel,
    lingering,
    outbox,
    requestbody,
    settings,
    sockets,
    turns,
)

MAX_HEADER_BYTES = 16 * 1024
# Allowance for the request line, separators and white space, which do not count as headers.
HEAD_OVERHEAD_BYTES = 8 * 1024
MAX_CONNECTIONS = 8192
# Share of the descriptors that one server's connections may take.
DESCRIPTORS_SHARE = 1 / 2
READ_BYTES = 65536
# Read at once of the head of a request, and of requests that are sent ahead.
HEAD_READ_BYTES = 16 * 1024
# Memory counted for a connection: its tasks, and a head and requests sent ahead, which are bounded.
CONNECTION_BYTES = 40 * 1024
# Memory counted for each field of a head, besides its bytes.
FIELD_BYTES = 320
# Smaller bodies are read before it is decided whether their requests can be served.
CHECK_BYTES = 16 * 1024
# A body that makes no progress for this long is given up.
BODY_PROGRESS_S = 10.0
HEADER_TIMEOUT_S = 10.0
IDLE_TIMEOUT_S = 75.0
BODY_TIMEOUT_S = 60.0
WRITE_TIMEOUT_S = outbox.WRITE_TIMEOUT_S
LINGER_S = lingering.LAST_LINGER_S
ACCEPT_BACKLOG = 1024
ACCEPT_PAUSE_S = 0.05
# Requests on one connection that are answered after the server has stopped accepting: those that
# were sent before. A caller that goes on sending holds the server up no longer.
MAX_LAST_REQUESTS = 256
STATUS_NO_CONTENT = 204
STATUS_NOT_MODIFIED = 304
STATUSES_WITHOUT_BODY = (STATUS_NO_CONTENT, STATUS_NOT_MODIFIED)
EMPTY_LINE = b"\r\n"
CONTROL_BYTE = re.compile(r"[\x00-\x08\x0a-\x1f\x7f]")
# Option value: linger for no time.
RESET_ON_CLOSE = struct.pack("ii", 1, 0)
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


class Exchange:
    """One request and its response, on the server side.

    Attributes:
        started: True once a response has begun.
        ended: True once all of it has been written to the socket.
        held: Counts the memory that is held for the request, until the response has ended.
    """

    def __init__(self, connection: "ServerConnection", request: Request):
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
        await self.connection.outbox.write(self.connection.encode_data(data))

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


class ServerLimits(msgspec.Struct):
    """Size and time limits for requests.

    Attributes:
        body_bytes: Largest request body.
        header_bytes: Largest total of header names and values.
        header_s: Time limit for receiving the head of a request.
        body_s: Time limit for receiving its body.
        progress_s: Time limit for progress of its body.
        idle_s: Time limit for the wait for the next request.
    """

    body_bytes: int
    header_bytes: int = MAX_HEADER_BYTES
    header_s: float = HEADER_TIMEOUT_S
    body_s: float = BODY_TIMEOUT_S
    progress_s: float = BODY_PROGRESS_S
    idle_s: float = IDLE_TIMEOUT_S


class ServerConnection:
    """One caller's connection.

    Attributes:
        conn: HTTP/1.1 protocol state.
        method: Method of the request that is being read or answered, empty until its head is read.
        task: The task that serves it.
        last_requests: Number of requests begun after the server has stopped accepting.
        held: Counts the memory of the connection itself.
        request_held: Counts what is held for the request that is being read or answered.
        outbox: Writes to the caller.
    """

    def __init__(self, server: "Server", sock: sockets.Socket, peer: str, task: curio.Task):
        self.server = server
        self.sock = sock
        self.peer = peer
        self.conn = self._new_parser()
        self.method = ""
        self.task = task
        self.last_requests = 0
        self.held = server.account.hold()
        self.request_held = server.account.hold()
        self.outbox = outbox.Outbox(sock, peer, server.account)

    def encode_response(self, status: int, headers: Headers) -> bytes:
        """Encode the head of a response.

        While draining, it announces that the connection closes, unless another request follows.
        """
        if self.server.core.draining.is_set() and not self.may_go_on():
            headers = [*headers, ("connection", "close")]
        return self.conn.send(h11.Response(status_code=status, headers=encode_fields(headers)))

    def encode_data(self, data: bytes) -> bytes:
        """Encode a part of a response body."""
        return self.conn.send(h11.Data(data=data))

    def encode_end(self) -> bytes:
        """Encode the end of a response."""
        return self.conn.send(h11.EndOfMessage())

    async def send(self, data: bytes) -> None:
        """Write to the caller, all of it.

        Raises:
            HttpError: The connection broke, or the caller reads nothing for `WRITE_TIMEOUT_S`.
        """
        await self.outbox.write_all(data)

    async def wait_request(self) -> bool:
        """Wait for the next request; return False when the connection ends instead.

        Raises:
            HttpError: The connection broke or was idle for too long.
        """
        data, _ = self.conn.trailing_data
        if data and data[0] not in EMPTY_LINE:
            return True
        if data:
            # h11 ignores no empty lines before a request.
            self.conn = self._new_parser()
        start = data.lstrip(EMPTY_LINE)
        if not start:
            start = await self._with_timeout(self._first_bytes(), self.server.limits.idle_s)
        if start:
            self.conn.receive_data(start)
        return bool(start)

    async def _first_bytes(self) -> bytes:
        """Return the first bytes of a request; none when the connection ends instead."""
        while data := await self._receive(HEAD_READ_BYTES):
            if start := data.lstrip(EMPTY_LINE):
                return start
        return b""

    def _new_parser(self) -> h11.Connection:
        max_bytes = self.server.limits.header_bytes + HEAD_OVERHEAD_BYTES
        return h11.Connection(h11.SERVER, max_incomplete_event_size=max_bytes)

    async def read_request(self) -> Request | None:
        """Read a complete request; return None when the connection ends instead.

        Raises:
            HttpError: The request is malformed, too large or too slow, or cannot be served.
            NotRunError: There is no room for it.
        """
        self.method = ""
        head = await self._with_timeout(
            self._next_event(HEAD_READ_BYTES), self.server.limits.header_s
        )
        self.held.stop_waiting()
        if isinstance(head, h11.ConnectionClosed):
            return None
        request = self._decode_head(head)
        length = request.headers.get("content-length", "")
        body = requestbody.RequestBody(
            self.request_held,
            self.server.limits.body_bytes,
            int(length) if length.isdecimal() else None,
            self.peer,
        )
        body.reserve()
        if body.length or body.length is None and "transfer-encoding" in request.headers:
            self.request_held.wait(self.sock.stop_receiving_now, self.server.limits.progress_s)
        reading = self._read_body(request, body)
        await self._with_timeout(reading, self.server.limits.body_s)
        self.request_held.stop_waiting()
        if self.request_held.shed_reason:
            raise self._shed_error()
        request.body = body.take()
        return request

    def _decode_head(self, head: h11.Request) -> Request:
        self.method = head.method.decode()
        try:
            fields = decode_fields(head.headers)
        except ValueError as error:
            raise exceptions.HttpError(str(error), "read head", self.peer) from error
        size = sum(len(name) + len(value) for name, value in fields)
        if size > self.server.limits.header_bytes:
            raise exceptions.HttpError("headers too large", "read head", self.peer, 431)
        address = self.peer.rpartition(":")[0]
        self.request_held = self.server.account.hold(f"address {address}")
        if not self.request_held.grow(size + FIELD_BYTES * len(fields)):
            raise requestbody.no_room_error(self.peer)
        target = _origin_form(head.target.decode("ascii"), self.peer)
        path, _, raw_query = target.partition("?")
        query = dict(urllib.parse.parse_qsl(raw_query))
        return Request(
            self.method, path, query, dict(fields), b"", self.peer, raw_query, fields, target
        )

    def mark_break(self) -> bool:
        """Have the connection reset if only its end would delimit an answer that is not whole.

        Returns:
            Whether it will be reset.
        """
        if self.conn.our_state is not h11.SEND_BODY or self.conn.their_http_version >= b"1.1":
            return False
        self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
        return True

    def may_go_on(self) -> bool:
        """Return whether a draining server has another request of this connection to answer."""
        return self.last_requests < MAX_LAST_REQUESTS and self.has_unread()

    def has_unread(self) -> bool:
        """Return whether the caller has sent more than the requests that have been read."""
        if self.conn.trailing_data[0].strip(EMPTY_LINE):
            return True
        poll = select.poll()
        poll.register(self.sock.fileno(), select.POLLIN)
        return bool(poll.poll(0)) and not self.peer_closed()

    def peer_closed(self) -> bool:
        """Return whether the caller has closed the connection, or its sending side."""
        poll = select.poll()
        poll.register(self.sock.fileno(), select.POLLRDHUP | select.POLLHUP | select.POLLERR)
        return bool(poll.poll(0))

    async def read_until_closed(self) -> None:
        """Read ahead until the caller closes the connection.

        Once `MAX_HEADER_BYTES` are buffered, read no more and never return.
        """
        while len(self.conn.trailing_data[0]) < MAX_HEADER_BYTES:
            try:
                data = await self.sock.recv(HEAD_READ_BYTES)
            except OSError:
                return
            self.conn.receive_data(data)
            if not data:
                return
        await curio.sleep(float("inf"))

    async def _with_timeout(self, reading: typing.Coroutine, timeout_s: float) -> typing.Any:
        try:
            async with curio.timeout_after(timeout_s):
                return await reading
        except curio.TaskTimeout as error:
            raise exceptions.HttpError("request too slow", "read", self.peer, 408) from error

    async def _next_event(self, read_bytes: int) -> typing.Any:
        while True:
            if turns.current.is_over(self.sock):
                await turns.give_way()
            try:
                event = self.conn.next_event()
            except h11.RemoteProtocolError as error:
                raise exceptions.HttpError(
                    str(error), "parse request", self.peer, error.error_status_hint
                ) from error
            if event is not h11.NEED_DATA:
                return event
            self.conn.receive_data(await self._receive(read_bytes))

    async def _read_body(self, request: Request, body: requestbody.RequestBody) -> None:
        """Read a body; one that is large, or that its caller holds back, if it can be served."""
        waits = self.conn.they_are_waiting_for_100_continue
        check = self.server.check_head
        large = waits or (body.length or 0) > CHECK_BYTES
        while not large:
            if not await self._read_part(body):
                return
            large = len(body.content) > CHECK_BYTES
        terms = HeadTerms() if check is None else check(request)
        for group in terms.groups:
            body.held.join(group)
        if terms.body_bytes is not None:
            body.restrict(terms.body_bytes)
        if waits:
            await self.send(self.conn.send(h11.InformationalResponse(status_code=100, headers=[])))
        body_s = self.server.limits.body_s if terms.body_s is None else terms.body_s
        await self._with_timeout(self._read_rest(body), max(0.0, body_s))

    async def _read_rest(self, body: requestbody.RequestBody) -> None:
        while await self._read_part(body):
            pass

    async def _read_part(self, body: requestbody.RequestBody) -> bool:
        """Read a part of a body; return False at its end."""
        event = await self._next_event(READ_BYTES)
        if isinstance(event, h11.EndOfMessage):
            return False
        if not isinstance(event, h11.Data):
            raise exceptions.HttpError(
                "connection closed in the request body", "read body", self.peer
            )
        body.add(event.data)
        return True

    async def _receive(self, size: int) -> bytes:
        try:
            data = await self.sock.recv(size)
        except OSError as error:
            raise exceptions.HttpError(str(error), "read", self.peer) from error
        self.request_held.progress(len(data))
        if self.held.shed_reason or self.request_held.shed_reason:
            raise self._shed_error()
        return data

    def _shed_error(self) -> exceptions.EbonywheelError:
        if self.request_held.shed_reason == heldmemory.TOO_SLOW:
            return exceptions.HttpError("request too slow", "read", self.peer, 408)
        return requestbody.no_room_error(self.peer)


def _origin_form(target: str, peer: str) -> str:
    """Return the path and query of a request's target, which may be a whole URL."""
    if target.startswith("/"):
        return target
    try:
        url = urllib.parse.urlsplit(target)
    except ValueError as error:
        raise exceptions.HttpError(str(error), "parse target", peer) from error
    if not url.netloc:
        return url.path
    return target.partition("://")[2].removeprefix(url.netloc)


class Server:
    """Accepts HTTP connections and hands each exchange to a handler.

    Attributes:
        active_exchanges: Number of exchanges that are being read, handled or answered.
        open_connections: Number of connections, lingering ones included.
        lingerer: Lets connections deliver their last response.
        unread: Connections that are idle, or whose next request has not been read yet.
        listener: The socket that accepts connections, None before `start`.
        stopped: Whether no more connections are accepted.
        account: Counts the memory that is held for callers.
        check_head: Decides by a head whether a large body is read, None to read all.
    """

    def __init__(
        self,
        core: kernel.Kernel,
        address: str,
        handler: ExchangeHandler,
        max_body_bytes: int,
        account: heldmemory.Account | None = None,
    ):
        self.core = core
        self.address = address
        self.handler = handler
        self.limits = ServerLimits(max_body_bytes, header_s=HEADER_TIMEOUT_S, body_s=BODY_TIMEOUT_S)
        self.limits.idle_s = IDLE_TIMEOUT_S
        self.active_exchanges = 0
        self.account = account or core.callers
        self.check_head: HeadCheck | None = None
        self.open_connections = 0
        self.lingerer = lingering.Lingering()
        self.unread: set[ServerConnection] = set()
        self.listener: curio.io.Socket | None = None
        self.accept_task: curio.Task | None = None
        self.stopped = False

    async def start(self) -> None:
        """Bind the address and start accepting.

        Raises:
            SettingsError: The address cannot be bound.
        """
        host, port = settings.split_address(self.address)
        try:
            self.listener = sockets.listen(host, port, ACCEPT_BACKLOG)
        except OSError as error:
            raise exceptions.SettingsError(str(error), "bind http", self.address) from error
        self.core.exit_stack.push_async_callback(self.listener.close)
        self.accept_task = await self.core.spawn(self._accept(self.listener), essential=True)

    async def stop_accepting(self) -> None:
        """Accept no more connections, and close those that have no request to be answered.

        The others are closed once the requests that they have sent are answered.
        """
        self.stopped = True
        await self.accept_task.cancel()
        await self.listener.close()
        for connection in list(self.unread):
            await connection.task.cancel(blocking=False)

    async def _accept(self, sock: curio.io.Socket) -> None:
        while True:
            try:
                client, address = await sock.accept()
            except OSError:
                # The caller closed the connection, or no file descriptor is free. Other callers
                # may still be served.
                self.core.metrics.count("http_accept_errors")
                await curio.sleep(ACCEPT_PAUSE_S)
                continue
            if self.open_connections >= self._max_connections() and not self.account.shed_one():
                self.core.metrics.count("http_connections_refused")
                await client.close()
                continue
            connection = ServerConnection(self, client, f"{address[0]}:{address[1]}", None)
            if not connection.held.grow(CONNECTION_BYTES):
                self.core.metrics.count("http_connections_refused")
                await client.close()
                continue
            self.open_connections += 1
            sockets.set_tcp_options(client)
            await self.core.spawn(self._serve_connection(connection))

    def _max_connections(self) -> int:
        descriptors = self.core.max_descriptors
        return min(MAX_CONNECTIONS, int(descriptors * DESCRIPTORS_SHARE))

    @property
    def lingering(self) -> int:
        """Number of connections that may still deliver their last response."""
        return self.lingerer.count

    async def _serve_connection(self, connection: ServerConnection) -> None:
        connection.task = await curio.current_task()
        sock = connection.sock
        try:
            async with sock:
                try:
                    while await self._serve_next(connection):
                        pass
                finally:
                    broken_off = connection.mark_break()
                    await connection.outbox.close()
                    connection.request_held.release()
                if broken_off:
                    return
                last = self.stopped
                timeout_s = lingering.LAST_LINGER_S if last else lingering.LINGER_S
                deaf = bool(connection.request_held.shed_reason)
                await self.lingerer.linger(sock, timeout_s, deaf)
        finally:
            connection.held.release()
            self.open_connections -= 1

    async def _serve_next(self, connection: ServerConnection) -> bool:
        if self.stopped:
            connection.last_requests += 1
            if not connection.may_go_on():
                return False
        self.unread.add(connection)
        connection.held.wait(connection.sock.stop_receiving_now)
        try:
            if not await connection.wait_request():
                return False
        except (exceptions.HttpError, exceptions.NotRunError):
            self.core.metrics.count("http_idle_closed")
            return False
        finally:
            self.unread.discard(connection)
        self.active_exchanges += 1
        try:
            return await self._serve_request(connection)
        finally:
            self.active_exchanges -= 1

    async def _serve_request(self, connection: ServerConnection) -> bool:
        self.unread.add(connection)
        try:
            request = await connection.read_request()
        except (exceptions.HttpError, exceptions.NotRunError) as error:
            self.core.metrics.count("http_bad_requests", status=str(error.status))
            connection.request_held.release()
            await _send_error(connection, error)
            return False
        finally:
            connection.held.stop_waiting()
            self.unread.discard(connection)
        if request is None:
            return False
        try:
            return await self._handle(connection, Exchange(connection, request))
        finally:
            connection.request_held.release()

    async def _handle(self, connection: ServerConnection, exchange: Exchange) -> bool:
        try:
            await self.handler(exchange)
        except exceptions.EbonywheelError as error:
            self.core.metrics.count("http_errors", code=error.code)
            status = getattr(error, "status", 500)
            body = ErrorBody(error.code, error.text, error.step, error.peer)
            await exchange.fail(status, body)
        except (Exception, curio.TaskTimeout) as error:
            self.core.metrics.count("http_errors", code="internal")
            self.core.log.error("handler_failed", path=exchange.request.path, error=repr(error))
            await exchange.fail(500, ErrorBody("internal", "internal error"))
        if not exchange.ended:
            return False
        if connection.conn.our_state is not h11.DONE:
            return False
        if connection.conn.their_state is not h11.DONE:
            return False
        connection.conn.start_next_cycle()
        return True


async def _send_error(
    connection: ServerConnection, error: exceptions.HttpError | exceptions.NotRunError
) -> None:
    if connection.conn.our_state not in (h11.IDLE, h11.SEND_RESPONSE):
        return
    not_run = isinstance(error, exceptions.NotRunError)
    run = "not run" if not_run else ""
    body = msgspec.json.encode(ErrorBody(error.code, error.text, error.step, error.peer, run))
    fields = [
        ("content-type", JSON),
        ("content-length", str(len(body))),
        ("connection", "close"),
    ]
    if not_run and error.retry_after is not None:
        fields.append(("retry-after", str(math.ceil(error.retry_after))))
    try:
        data = connection.encode_response(error.status, fields)
        if connection.method != "HEAD":
            data += connection.encode_data(body)
        await connection.send(data + connection.encode_end())
    except (exceptions.HttpError, h11.LocalProtocolError):
        return
