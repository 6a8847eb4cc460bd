"""Helpers for tests that connect to link and HTTP servers in the same process."""

import curio
import h11

from cluster import free_address
from ebonywheel import kernel, settings

SECRET = b"secret-of-the-readers-tests"
MAX_BODY = 64 * 1024


def make_core(name="left", secret=SECRET, role="entry"):
    host = settings.HostSettings(name, "puget", free_address(), free_address(), "")
    return kernel.Kernel(role, host, secret)


def run(scenario):
    """Run a coroutine function with a new core (`kernel.Kernel`) as its argument."""

    async def main():
        async with make_core() as core:
            return await scenario(core)

    return curio.run(main)


async def connect(address):
    host, port = settings.split_address(address)
    return await curio.open_connection(host, port)


async def read_all(sock, timeout_s=5.0):
    """Return all data until the peer closes the connection; raise an error after the timeout."""
    data = b""
    async with curio.timeout_after(timeout_s):
        try:
            while chunk := await sock.recv(65536):
                data += chunk
        except ConnectionResetError:
            pass
    return data


def parse_answers(data, methods):
    """Return statuses and bodies of the complete answers in a connection's data.

    Args:
        data: All bytes that the server sent.
        methods: Methods of the requests, in order.
    """
    answers = []
    try:
        _parse(data, methods, answers)
    except h11.RemoteProtocolError:
        pass
    return answers


def _parse(data, methods, answers):
    conn = h11.Connection(h11.CLIENT)
    conn.receive_data(data)
    conn.receive_data(b"")
    for method in methods:
        fields = [("host", "test"), ("content-length", "0")]
        conn.send(h11.Request(method=method, target="/", headers=fields))
        conn.send(h11.EndOfMessage())
        head, body = conn.next_event(), b""
        while isinstance(head, h11.InformationalResponse):
            head = conn.next_event()
        if not isinstance(head, h11.Response):
            return
        while isinstance(event := conn.next_event(), h11.Data):
            body += event.data
        if not isinstance(event, h11.EndOfMessage):
            return
        answers.append((head.status_code, bytes(body)))
        if conn.our_state is not h11.DONE or conn.their_state is not h11.DONE:
            return
        conn.start_next_cycle()
