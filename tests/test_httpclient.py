"""HTTP client connection: responses to other requests."""

import socket
import threading

import curio
import pytest

from ebonywheel import httpclient

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
