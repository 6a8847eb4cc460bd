"""HTTP client connection: responses to other requests."""

import socket
import threading

import curio
import pytest

from ebonywheel import exceptions, httpclient

TIMEOUT_S = 5.0
STRAY = b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nstray"
EXPECTED = b"HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nown"


class ScriptedServer:
    """A server that answers one request with fixed bytes in two parts.

    Attributes:
        first: Bytes sent after the request.
        last: Bytes sent once `send_last` is set.
        send_last: Event that releases the last part.
    """

    def __init__(self, first, last):
        self.first = first
        self.last = last
        self.send_last = threading.Event()
        self.listener = socket.create_server(("127.0.0.1", 0))
        self.address = f"127.0.0.1:{self.listener.getsockname()[1]}"
        self.thread = threading.Thread(target=self.serve, daemon=True)
        self.thread.start()

    def serve(self):
        connection, _ = self.listener.accept()
        with connection:
            connection.recv(65536)
            connection.sendall(self.first)
            if self.send_last.wait(TIMEOUT_S):
                connection.sendall(self.last)


@pytest.mark.parametrize(
    ("first", "last"),
    [(STRAY, EXPECTED), (STRAY + EXPECTED[:10], EXPECTED[10:]), (STRAY + EXPECTED, b"")],
    ids=["apart", "in parts", "together"],
)
def test_response_after_one_to_another_request_is_read(first, last):
    server = ScriptedServer(first, last)

    async def exchange():
        connection = httpclient.ClientConnection(server.address)
        await connection.connect(TIMEOUT_S)
        await connection.request("GET", "/", [], b"", TIMEOUT_S)
        await connection.response(TIMEOUT_S)
        await connection.skip_response(TIMEOUT_S)
        server.send_last.set()
        await connection.response(TIMEOUT_S)
        body = await connection.body(TIMEOUT_S, 100)
        await connection.close()
        return body

    assert curio.run(exchange) == b"own"


class EndlessServer:
    """Answers each connection with a start, then repeats some bytes until the caller closes."""

    def __init__(self, start, repeated):
        self.start = start
        self.repeated = repeated
        self.closed = threading.Event()
        self.listener = socket.create_server(("127.0.0.1", 0))
        self.address = f"127.0.0.1:{self.listener.getsockname()[1]}"
        threading.Thread(target=self.serve, daemon=True).start()

    def serve(self):
        connection, _ = self.listener.accept()
        with connection:
            connection.recv(65536)
            try:
                connection.sendall(self.start)
                while True:
                    connection.sendall(self.repeated)
            except OSError:
                self.closed.set()


HEAD = b"HTTP/1.1 200 OK\r\n"
CHUNKED_HEAD = HEAD + b"Transfer-Encoding: chunked\r\n\r\n"


@pytest.mark.parametrize(
    ("start", "repeated"),
    [
        (b"", b"x" * 8192),
        (HEAD, b"A: b\r\n" * 1000),
        (HEAD + b"A: ", b"b" * 8192),
        (b"", b"HTTP/1.1 100 Continue\r\n\r\n" * 100),
        (CHUNKED_HEAD, b"2000\r\n" + b"x" * 8192 + b"\r\n"),
        (CHUNKED_HEAD + b"1;", b"e" * 8192),
        (CHUNKED_HEAD + b"0\r\n", b"A: b\r\n" * 1000),
        (HEAD + b"Content-Length: 1000000000\r\n\r\n", b"x" * 8192),
        (HEAD + b"\r\n", b"x" * 8192),
    ],
    ids=[
        "no head",
        "header fields",
        "header value",
        "interim responses",
        "chunks",
        "chunk extension",
        "trailers",
        "length",
        "until the close",
    ],
)
def test_bytes_without_end_are_refused(start, repeated):
    server = EndlessServer(start, repeated)

    async def exchange():
        connection = httpclient.ClientConnection(server.address, allow_close_delimited=True)
        await connection.connect(TIMEOUT_S)
        await connection.request("GET", "/", [], b"", TIMEOUT_S)
        try:
            await connection.response(TIMEOUT_S)
            await connection.skip_response(TIMEOUT_S)
        finally:
            await connection.close()

    with pytest.raises(exceptions.UpstreamError) as caught:
        curio.run(exchange)
    assert not caught.value.timed_out
    assert server.closed.wait(TIMEOUT_S)
