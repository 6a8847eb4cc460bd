"""HTTP/1.1 client for backend servers and control hosts: h11 over curio sockets.

A connection records whether any byte of a request was sent, which tells "not sent" from "may have
run".
"""

import collections.abc
import errno
import select
import socket
import typing

import curio
import h11
import msgspec

from ebonywheel import exceptions, http, settings, sockets, turns

# Interim responses (1xx) before a response, and bytes of a response to another request, that are
# skipped. A server in trouble may send either without end.
MAX_INTERIM_RESPONSES = 8
MAX_SKIPPED_BYTES = 1024 * 1024
# Smaller bodies are copied behind their heads, to be sent together.
JOINED_BYTES = 64 * 1024
# Statuses that a final response may have; a response with another is malformed.
MIN_STATUS, MAX_STATUS = 200, 599


class ResponseHead(msgspec.Struct):
    """Status and headers of a response.

    Attributes:
        fields: All headers in order, with lower-case names and values with one character for each
            byte received.
        headers: Their last values by name.
    """

    status: int
    fields: http.Headers
    headers: dict[str, str] = {}

    def __post_init__(self) -> None:
        self.headers = dict(self.fields)


class ClientConnection:
    """One connection to an HTTP server, used for one exchange at a time.

    Attributes:
        sent: True once any byte of the current request may have been sent.
        allow_close_delimited: True to accept a response body that is delimited only by the end of
            the connection.
        keep_alive: When the server is taken for dead.
        close_delimited: Whether the body of the last response is.
        conn: HTTP/1.1 protocol state.
        request_head: Head of the last request.
        request_body: Its body.
        reused: Whether the current exchange is not its first.
        names_requests: True once a response has named the request that it answers. From then on
            one that names none may be a late copy of an earlier response.
    """

    def __init__(
        self,
        address: str,
        allow_close_delimited: bool = False,
        keep_alive: sockets.KeepAlive = sockets.KEEP_ALIVE,
    ):
        self.address = address
        self.allow_close_delimited = allow_close_delimited
        self.keep_alive = keep_alive
        self.close_delimited = False
        self.sock: curio.io.Socket | None = None
        self.conn = h11.Connection(h11.CLIENT)
        self.sent = False
        self.method = ""
        self.request_head: h11.Request | None = None
        self.request_body = b""
        self.reused = False
        self.names_requests = False

    async def connect(self, timeout_s: float) -> None:
        """Open the connection.

        Raises:
            UpstreamError: The server cannot be reached.
        """
        try:
            host, port = settings.split_address(self.address)
            async with curio.timeout_after(timeout_s):
                self.sock = await sockets.open_connection(host, port)
        except curio.TaskTimeout as error:
            raise self._timeout_error("no connection in time", "connect") from error
        except (OSError, ValueError, OverflowError) as error:
            # A port that is out of range raises an OverflowError, an odd host name a ValueError.
            raise self._error(str(error), "connect") from error
        sockets.set_tcp_options(self.sock, self.keep_alive)

    async def request(
        self, method: str, target: str, headers: http.Headers, body: bytes, timeout_s: float
    ) -> None:
        """Write a complete request.

        Raises:
            UpstreamError: The write failed; part of the request may have been sent.
        """
        fields = [("content-length", str(len(body))), *headers]
        if all(name != "host" for name, _ in headers):
            fields.insert(0, ("host", self.address))
        self.request_head = h11.Request(
            method=method, target=target, headers=http.encode_fields(fields)
        )
        self.request_body = body
        data = self.conn.send(self.request_head)
        framed = self.conn.send(h11.Data(data=body)) if body else b""
        end = self.conn.send(h11.EndOfMessage())
        parts = [data + framed + end] if len(framed) <= JOINED_BYTES else [data, framed, end]
        self.method = method
        self.sent = True
        try:
            async with curio.timeout_after(timeout_s):
                for part in parts:
                    await self.sock.sendall(part)
        except curio.TaskTimeout as error:
            raise self._error("server does not read the request", "write") from error
        except OSError as error:
            raise self._error(str(error), "write") from error

    async def response(self, timeout_s: float) -> ResponseHead:
        """Read the head of the response.

        Raises:
            UpstreamError: There is no valid head in time, or a truncated body could not be
                detected.
        """
        try:
            async with curio.timeout_after(timeout_s):
                event = await self._final_response(timeout_s)
        except curio.TaskTimeout as error:
            raise self._timeout_error("no answer in time", "wait") from error
        if not isinstance(event, h11.Response):
            raise self._error("connection closed before the response", "wait")
        if not MIN_STATUS <= event.status_code <= MAX_STATUS:
            raise self._error(f"malformed response: status {event.status_code}", "wait")
        try:
            fields = http.decode_fields(event.headers)
        except ValueError as error:
            raise self._error(f"malformed response: {error}", "wait") from error
        head = ResponseHead(event.status_code, fields)
        self.close_delimited = not self._is_delimited(head.status, head.headers)
        if self.close_delimited and not self.allow_close_delimited:
            raise self._error("response has neither a length nor chunked encoding", "wait")
        return head

    async def _final_response(self, timeout_s: float) -> typing.Any:
        """Return the next event that is not an interim response."""
        for _ in range(MAX_INTERIM_RESPONSES + 1):
            event = await self._next_event(timeout_s, "wait")
            if not isinstance(event, h11.InformationalResponse):
                return event
        raise self._error(f"more than {MAX_INTERIM_RESPONSES} interim responses", "wait")

    def _is_delimited(self, status: int, headers: dict[str, str]) -> bool:
        if self.method == "HEAD" or status in http.STATUSES_WITHOUT_BODY:
            return True
        return "content-length" in headers or "transfer-encoding" in headers

    async def read_chunk(self, timeout_s: float) -> bytes | None:
        """Read the next part of the response body; return None at its end.

        Raises:
            UpstreamError: The body is truncated, or nothing was received in time.
        """
        event = await self._next_event(timeout_s, "read")
        if isinstance(event, h11.Data):
            return bytes(event.data)
        if isinstance(event, h11.EndOfMessage):
            return None
        raise self._error("connection closed in the response body", "read")

    async def chunks(self, timeout_s: float) -> collections.abc.AsyncIterator[bytes]:
        """Yield the parts of the response body; the timeout holds for each part.

        Raises:
            UpstreamError: The body is truncated, or nothing was received in time.
        """
        while (chunk := await self.read_chunk(timeout_s)) is not None:
            yield chunk

    async def body(self, timeout_s: float, limit: int) -> bytes:
        """Read the complete response body.

        Raises:
            UpstreamError: The body is truncated, too slow or over the limit in bytes.
        """
        try:
            async with curio.timeout_after(timeout_s):
                return await self._read_body(timeout_s, limit)
        except curio.TaskTimeout as error:
            raise self._timeout_error("no complete response in time", "read") from error

    async def _read_body(self, timeout_s: float, limit: int) -> bytes:
        content = bytearray()
        while (chunk := await self.read_chunk(timeout_s)) is not None:
            content += chunk
            if len(content) > limit:
                raise self._error(f"response body over {limit} bytes", "read")
        return bytes(content)

    async def skip_response(self, timeout_s: float) -> None:
        """Discard the body of a response to another request, to read the expected one next.

        Raises:
            UpstreamError: The body is truncated, too slow or over `MAX_SKIPPED_BYTES`, or the
                connection ends after it.
        """
        await self.body(timeout_s, MAX_SKIPPED_BYTES)
        if not self.reusable():
            raise self._error("connection closed after a response to another request", "wait")
        remaining, _ = self.conn.trailing_data
        self.conn = h11.Connection(h11.CLIENT)
        # The request was already sent; this only restores the state of the parser.
        self.conn.send(self.request_head)
        if self.request_body:
            self.conn.send(h11.Data(data=self.request_body))
        self.conn.send(h11.EndOfMessage())
        if remaining:
            # Empty data would tell the parser that the connection has ended.
            self.conn.receive_data(remaining)

    def reusable(self) -> bool:
        """Return whether the last exchange is complete, so that another may follow."""
        return self.conn.our_state is h11.DONE and self.conn.their_state is h11.DONE

    def is_idle(self) -> bool:
        """Return whether no data and no close have arrived since the last exchange."""
        if self.conn.trailing_data[0]:
            return False
        poll = select.poll()
        poll.register(self.sock.fileno(), select.POLLIN | select.POLLHUP | select.POLLERR)
        return not poll.poll(0)

    def is_dead(self) -> bool:
        """Return whether the kernel has given the connection up, as the server is silent."""
        return self.sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR) == errno.ETIMEDOUT

    def start_next(self) -> None:
        """Reset the connection for the next exchange, which may be its first."""
        if self.conn.our_state is not h11.IDLE:
            self.conn.start_next_cycle()
            self.reused = True
        self.sent = False

    async def close(self) -> None:
        """Close the connection."""
        if self.sock is not None:
            await self.sock.close()
            self.sock = None

    async def _next_event(self, timeout_s: float, step: str) -> typing.Any:
        while True:
            if turns.current.is_over(self.sock):
                await turns.give_way()
            try:
                event = self.conn.next_event()
            except h11.RemoteProtocolError as error:
                raise self._error(f"malformed response: {error}", step) from error
            if event is not h11.NEED_DATA:
                return event
            try:
                async with curio.timeout_after(timeout_s):
                    data = await self.sock.recv(http.READ_BYTES)
            except curio.TaskTimeout as error:
                raise self._timeout_error("nothing received in time", step) from error
            except OSError as error:
                raise self._error(str(error), step) from error
            self.conn.receive_data(data)

    def _error(self, text: str, step: str) -> exceptions.UpstreamError:
        return exceptions.UpstreamError(text, step, self.address, self.sent)

    def _timeout_error(self, text: str, step: str) -> exceptions.UpstreamError:
        return exceptions.UpstreamError(text, step, self.address, self.sent, timed_out=True)
