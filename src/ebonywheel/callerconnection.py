"""One caller's connection: reads requests and writes responses, within the server's limits."""

import math
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
    http,
    kernel,
    outbox,
    requestbody,
    sockets,
    turns,
)

MAX_HEADER_BYTES = 16 * 1024
# Allowance for the request line, separators and white space, which do not count as headers.
HEAD_OVERHEAD_BYTES = 8 * 1024
# Read at once of the head of a request, and of requests that are sent ahead.
HEAD_READ_BYTES = 16 * 1024
# Memory counted for each field of a head, besides its bytes.
FIELD_BYTES = 320
# Smaller bodies are read before it is decided whether their requests can be served.
CHECK_BYTES = 16 * 1024
# A body that makes no progress for this long is given up.
BODY_PROGRESS_S = 10.0
# The target is kept whole, as path and query, and as decoded parameters.
TARGET_COPIES = 3
HEADER_TIMEOUT_S = 10.0
IDLE_TIMEOUT_S = 75.0
BODY_TIMEOUT_S = 60.0
# Requests on one connection that are answered after the server has stopped accepting: those that
# were sent before. A caller that goes on sending holds the server up no longer.
MAX_LAST_REQUESTS = 256
EMPTY_LINE = b"\r\n"
# Option value: linger for no time.
RESET_ON_CLOSE = struct.pack("ii", 1, 0)


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


class Owner(typing.Protocol):
    """The server of a connection.

    Attributes:
        limits: Its limits.
        account: Counts the memory that is held for callers.
        check_head: Decides by a head whether a large body is read, None to read all.
    """

    core: kernel.Kernel
    limits: ServerLimits
    account: heldmemory.Account
    check_head: http.HeadCheck | None


class CallerConnection:
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

    def __init__(self, server: Owner, sock: sockets.Socket, peer: str, task: curio.Task):
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

    def encode_response(self, status: int, headers: http.Headers) -> bytes:
        """Encode the head of a response.

        While draining, it announces that the connection closes, unless another request follows.
        """
        if self.server.core.draining.is_set() and not self.may_go_on():
            headers = [*headers, ("connection", "close")]
        return self.conn.send(h11.Response(status_code=status, headers=http.encode_fields(headers)))

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

    async def send_part(self, data: bytes) -> None:
        """Write to the caller, or keep it until the caller reads; raises like `send`."""
        await self.outbox.write(data)

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
        while data := await self._receive_idle():
            if start := data.lstrip(EMPTY_LINE):
                self.held.wait(self.sock.stop_receiving_now)
                return start
        return b""

    async def _receive_idle(self) -> bytes:
        """Receive between requests; none at the end, also of a connection that was shed.

        Raises:
            NotRunError: It was shed while a request was on its way.
        """
        try:
            data = await self.sock.recv(HEAD_READ_BYTES)
        except OSError as error:
            raise exceptions.HttpError(str(error), "read", self.peer) from error
        if data and self.held.shed_reason:
            raise requestbody.no_room_error(self.peer)
        return data

    def _new_parser(self) -> h11.Connection:
        max_bytes = self.server.limits.header_bytes + HEAD_OVERHEAD_BYTES
        return h11.Connection(h11.SERVER, max_incomplete_event_size=max_bytes)

    async def read_request(self) -> http.Request | None:
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
        if body.length or body.length is None and "transfer-encoding" in request.headers:
            self.request_held.wait(
                self.sock.stop_receiving_now, self.server.limits.progress_s, body.progress_bytes()
            )
        reading = self._read_body(request, body)
        await self._with_timeout(reading, self.server.limits.body_s)
        self.request_held.stop_waiting()
        if self.request_held.shed_reason:
            raise self._shed_error()
        request.body = body.take()
        return request

    def _decode_head(self, head: h11.Request) -> http.Request:
        self.method = head.method.decode()
        try:
            fields = http.decode_fields(head.headers)
        except ValueError as error:
            raise exceptions.HttpError(str(error), "read head", self.peer) from error
        size = sum(len(name) + len(value) for name, value in fields)
        if size > self.server.limits.header_bytes:
            raise exceptions.HttpError("headers too large", "read head", self.peer, 431)
        address = self.peer.rpartition(":")[0]
        self.request_held = self.server.account.hold(f"address {address}")
        target = _origin_form(head.target.decode("ascii"), self.peer)
        path, _, raw_query = target.partition("?")
        parts = len(fields) + raw_query.count("&")
        if not self.request_held.grow(size + TARGET_COPIES * len(target) + FIELD_BYTES * parts):
            raise requestbody.no_room_error(self.peer)
        query = dict(urllib.parse.parse_qsl(raw_query))
        return http.Request(
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

    async def _read_body(self, request: http.Request, body: requestbody.RequestBody) -> None:
        """Read a body; one that is large, or that its caller holds back, if it can be served."""
        waits = self.conn.they_are_waiting_for_100_continue
        check = self.server.check_head
        large = waits or (body.length or 0) > CHECK_BYTES
        if not large:
            body.reserve()
        while not large:
            if not await self._read_part(body):
                return
            large = len(body.content) > CHECK_BYTES
        terms = http.HeadTerms() if check is None else check(request)
        for group in terms.groups:
            body.held.join(group)
        if terms.body_bytes is not None:
            body.restrict(terms.body_bytes)
        body.reserve()
        if waits:
            await self.send(self.conn.send(h11.InformationalResponse(status_code=100, headers=[])))
        body_s = self.server.limits.body_s if terms.body_s is None else terms.body_s
        await self._with_timeout(self._read_rest(body), max(0.0, body_s))

    async def _read_rest(self, body: requestbody.RequestBody) -> None:
        while await self._read_part(body):
            pass

    async def _read_part(self, body: requestbody.RequestBody) -> bool:
        """Read a part of a body; return False at its end."""
        event = await self._next_event(http.READ_BYTES)
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


async def send_error(
    connection: CallerConnection, error: exceptions.HttpError | exceptions.NotRunError
) -> None:
    """Refuse a request that was not handed to a handler, unless a response has begun."""
    if connection.conn.our_state not in (h11.IDLE, h11.SEND_RESPONSE):
        return
    not_run = isinstance(error, exceptions.NotRunError)
    run = "not run" if not_run else ""
    body = msgspec.json.encode(http.ErrorBody(error.code, error.text, error.step, error.peer, run))
    fields = [
        ("content-type", http.JSON),
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
