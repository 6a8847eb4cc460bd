"""The client's connection: answers that belong to no request."""

import socket
import threading

import curio
import pytest

from ebonywheel import httpclient

TIMEOUT_S = 5.0
STRAY = b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nstray"
OWN = b"HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nown"


class Peer:
    """A server that sends fixed bytes after a request, the last part when it is told to.

    Attributes:
        go_on: Set to let the last part out.
    """

    def __init__(self, first, last):
        self.first = first
        self.last = last
        self.go_on = threading.Event()
        self.listener = socket.create_server(("127.0.0.1", 0))
        self.address = f"127.0.0.1:{self.listener.getsockname()[1]}"
        self.thread = threading.Thread(target=self.serve, daemon=True)
        self.thread.start()

    def serve(self):
        connection, _ = self.listener.accept()
        with connection:
            connection.recv(65536)
            connection.sendall(self.first)
            if self.go_on.wait(TIMEOUT_S):
                connection.sendall(self.last)


@pytest.mark.parametrize(
    ("first", "last"),
    [(STRAY, OWN), (STRAY + OWN[:10], OWN[10:]), (STRAY + OWN, b"")],
    ids=["apart", "in parts", "together"],
)
def test_the_awaited_answer_follows_one_that_belongs_to_no_request(first, last):
    peer = Peer(first, last)

    async def exchange():
        connection = httpclient.ClientConnection(peer.address)
        await connection.connect(TIMEOUT_S)
        await connection.request("GET", "/", [], b"", TIMEOUT_S)
        await connection.response(TIMEOUT_S)
        await connection.skip_answer(TIMEOUT_S)
        peer.go_on.set()
        await connection.response(TIMEOUT_S)
        body = await connection.body(TIMEOUT_S, 100)
        await connection.close()
        return body

    assert curio.run(exchange) == b"own"
