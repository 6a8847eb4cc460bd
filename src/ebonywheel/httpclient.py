"""HTTP/1.1 towards backend servers and control hosts, by h11 over curio sockets.

A connection keeps track of how far an exchange came, so that a caller can tell "not sent" from
"may have run".
"""

import collections.abc
import select
import typing

import curio
import h11
import msgspec

from ebonywheel import exceptions, http, settings, sockets


class ResponseHead(msgspec.Struct):
    """Status and headers of a backend server's answer."""

    status: int
    headers: dict[str, str]


class ClientConnection:
    """One connection to an HTTP server, used for one exchange at a time.

    Attributes:
        sent: True once any byte of the current request may have left.
        ends_by_close: True to take the end of the connection as the end of an answer that has
            neither a length nor chunks.
    """

    def __init__(self, address: str, ends_by_close: bool = False):
        self.address = address
        self.ends_by_close = ends_by_close
        self.sock: curio.io.Socket | None = None
        self.conn = h11.Connection(h11.CLIENT)
        self.sent = False
        self.method = ""
        self.head: h11.Request | None = None

    async def connect(self, timeout_s: float) -> None:
        """Open the connection.

        Raises:
            UpstreamError: The server cannot be reached.
        """
        host, port = settings.split_address(self.address)
        try:
            async with curio.timeout_after(timeout_s):
                self.sock = await curio.open_connection(host, port)
        except curio.TaskTimeout as error:
            raise self._too_slow("no connection in time", "connect") from error
        except OSError as error:
            raise self._error(str(error), "connect") from error
        sockets.tune(self.sock)

    async def request(
        self, method: str, target: str, headers: http.Headers, body: bytes, timeout_s: float
    ) -> None:
        """Write a whole request.

        Raises:
            UpstreamError: The write failed; `sent` tells whether bytes may have left.
        """
        fields = [("content-length", str(len(body))), *headers]
        if all(name != "host" for name, _ in headers):
            fields.insert(0, ("host", self.address))
        self.head = h11.Request(method=method, target=target, headers=fields)
        data = self.conn.send(self.head)
        if body:
            data += self.conn.send(h11.Data(data=body))
        data += self.conn.send(h11.EndOfMessage())
        self.method = method
        self.sent = True
        try:
            async with curio.timeout_after(timeout_s):
                await self.sock.sendall(data)
        except curio.TaskTimeout as error:
            raise self._error("server does not read", "write") from error
        except OSError as error:
            raise self._error(str(error), "write") from error

    async def response(self, timeout_s: float) -> ResponseHead:
        """Read the head of the answer.

        Raises:
            UpstreamError: No valid head in time, or the end of its body could not be told from
                the end of the connection.
        """
        try:
            async with curio.timeout_after(timeout_s):
                event = await self._next_event(timeout_s, "wait")
                while isinstance(event, h11.InformationalResponse):
                    event = await self._next_event(timeout_s, "wait")
        except curio.TaskTimeout as error:
            raise self._too_slow("no answer in time", "wait") from error
        if not isinstance(event, h11.Response):
            raise self._error("connection ended before the answer", "wait")
        headers = {name.decode(): value.decode("latin-1") for name, value in event.headers}
        if not self.ends_by_close and not self._has_end(event.status_code, headers):
            raise self._error("answer has neither a length nor chunks", "wait")
        return ResponseHead(event.status_code, headers)

    def _has_end(self, status: int, headers: dict[str, str]) -> bool:
        if self.method == "HEAD" or status in http.STATUSES_WITHOUT_BODY:
            return True
        return "content-length" in headers or "transfer-encoding" in headers

    async def read_chunk(self, timeout_s: float) -> bytes | None:
        """Read some of the answer's body; None at its proper end.

        Raises:
            UpstreamError: The body broke off or nothing came in time.
        """
        event = await self._next_event(timeout_s, "read")
        if isinstance(event, h11.Data):
            return bytes(event.data)
        if isinstance(event, h11.EndOfMessage):
            return None
        raise self._error("connection ended in the answer", "read")

    async def chunks(self, timeout_s: float) -> collections.abc.AsyncIterator[bytes]:
        """Yield the parts of the answer's body."""
        while (chunk := await self.read_chunk(timeout_s)) is not None:
            yield chunk

    async def body(self, timeout_s: float, limit: int) -> bytes:
        """Read the whole answer's body.

        Raises:
            UpstreamError: The body broke off, was too slow or is over the limit.
        """
        try:
            async with curio.timeout_after(timeout_s):
                return await self._read_whole(timeout_s, limit)
        except curio.TaskTimeout as error:
            raise self._too_slow("no whole answer in time", "read") from error

    async def _read_whole(self, timeout_s: float, limit: int) -> bytes:
        whole = bytearray()
        while (chunk := await self.read_chunk(timeout_s)) is not None:
            whole += chunk
            if len(whole) > limit:
                raise self._error(f"answer over {limit} bytes", "read")
        return bytes(whole)

    async def skip_answer(self, timeout_s: float) -> None:
        """Read an answer that belongs to no request to its end; the awaited one comes next.

        Raises:
            UpstreamError: It broke off, or the connection ends with it.
        """
        while await self.read_chunk(timeout_s) is not None:
            pass
        if not self.reusable():
            raise self._error("connection ended with another request's answer", "wait")
        following, _ = self.conn.trailing_data
        self.conn = h11.Connection(h11.CLIENT)
        # The request has left already; this only brings the parser to where it was.
        self.conn.send(self.head)
        self.conn.send(h11.EndOfMessage())
        if following:
            # Empty data would tell the parser that the connection has ended.
            self.conn.receive_data(following)

    def reusable(self) -> bool:
        """Return whether the last exchange ended whole, so that another may follow."""
        return self.conn.our_state is h11.DONE and self.conn.their_state is h11.DONE

    def quiet(self) -> bool:
        """Return whether nothing has come since the last exchange, not even an end."""
        if self.conn.trailing_data[0]:
            return False
        poll = select.poll()
        poll.register(self.sock.fileno(), select.POLLIN | select.POLLHUP | select.POLLERR)
        return not poll.poll(0)

    def start_next(self) -> None:
        """Make ready for the next exchange."""
        self.conn.start_next_cycle()
        self.sent = False

    async def close(self) -> None:
        """Close the connection."""
        if self.sock is not None:
            await self.sock.close()
            self.sock = None

    async def _next_event(self, timeout_s: float, step: str) -> typing.Any:
        while True:
            try:
                event = self.conn.next_event()
            except h11.RemoteProtocolError as error:
                raise self._error(f"malformed answer: {error}", step) from error
            if event is not h11.NEED_DATA:
                return event
            try:
                async with curio.timeout_after(timeout_s):
                    data = await self.sock.recv(http.READ_BYTES)
            except curio.TaskTimeout as error:
                raise self._too_slow("nothing received in time", step) from error
            except OSError as error:
                raise self._error(str(error), step) from error
            self.conn.receive_data(data)

    def _error(self, text: str, step: str) -> exceptions.UpstreamError:
        return exceptions.UpstreamError(text, step, self.address, self.sent)

    def _too_slow(self, text: str, step: str) -> exceptions.UpstreamError:
        return exceptions.UpstreamError(text, step, self.address, self.sent, timed_out=True)
