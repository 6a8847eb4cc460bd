"""Answers of faulty backend servers, as callers get them from a real entry host."""

import contextlib
import http.client
import socket
import threading

import pytest

import platformsystem

ROUTES = [
    platformsystem.route("book", "/book/"),
    platformsystem.route("look", "/look/", "safe"),
    platformsystem.route("plan", "/plan/", "streaming", "plan", **{"timeout-ms": 20000}),
]
PLAN_HEADERS = {"X-Token-Counts": "3000,800", "X-Model-Name": "m", "X-Length-Hint": "700"}
EVENTS = b"id: 1\ndata: a\n\nid: 2\ndata: b\n\n"


@pytest.fixture(scope="module")
def system(tmp_path_factory):
    """Run a system with a route of each kind."""
    started = platformsystem.System(tmp_path_factory.mktemp("platform"))
    try:
        started.publish(platformsystem.manifest(7, ROUTES))
        yield started
    finally:
        started.close()


@pytest.fixture
def start_server(system):
    """Return a function that starts and announces a stand-in server; all leave after the test."""
    servers = platformsystem.AnnouncedServers(system)
    yield servers.start
    servers.leave()


@contextlib.contextmanager
def full_listener():
    """Yield the address of a listener that drops the first packet of each new connection."""
    with contextlib.ExitStack() as exit_stack:
        listener = exit_stack.enter_context(socket.create_server(("127.0.0.1", 0), backlog=0))
        address = listener.getsockname()
        for _ in range(3):
            client = exit_stack.enter_context(socket.socket())
            client.setblocking(False)
            client.connect_ex(address)
        yield f"{address[0]}:{address[1]}"


class TestConnect:
    # Guards against callers that are told of a request that it may have run although its time was
    # over before any server could be connected to.
    @pytest.mark.parametrize("path", ["/book/1", "/look/1"])
    def test_a_request_without_a_connection_in_time_has_not_run(self, system, start_server, path):
        with full_listener() as address:
            start_server(address=address)
            answer = system.request("POST", path, headers={"X-Deadline-Ms": "700"})
        assert answer.status == 503 and float(answer.headers["Retry-After"]) > 0


class TestEndOfConnection:
    # Guards against a stream without a length that looks complete although its server crashed
    # between two events.
    def test_a_stream_whose_server_crashes_after_an_event_is_broken_off(self, system, start_server):
        server = start_server("plan")

        def script(handler, received):
            handler.start_stream(chunked=False)
            handler.wfile.write(EVENTS)
            server.crash()

        server.script = script
        answer = system.send("POST", "/plan/1", headers=PLAN_HEADERS).getresponse()
        with pytest.raises(http.client.IncompleteRead):
            answer.read()

    # Guards against a part of an answer without a length that looks like all of it although its
    # server crashed.
    @pytest.mark.parametrize("length", [400, 400_000])
    def test_an_answer_whose_server_crashes_is_not_complete(self, system, start_server, length):
        server = start_server()

        def script(handler, received):
            handler.start_answer_without_length()
            handler.wfile.write(b"x" * length)
            server.crash()

        server.script = script
        answer = system.send("POST", "/book/1").getresponse()
        if answer.status == 200:
            with pytest.raises(http.client.IncompleteRead):
                answer.read()
        else:
            assert answer.status == 502

    # Guards against a whole answer that looks cut off, as its server is at its limit of connections
    # for a moment and refuses the one that shows that it lives.
    @pytest.mark.parametrize("path", ["/plan/1", "/book/1"])
    def test_an_answer_whose_server_is_at_its_limit_is_complete(self, system, start_server, path):
        server = start_server("plan" if path == "/plan/1" else "book")

        def script(handler, received):
            server.refuse_connections()
            threading.Timer(0.4, server.accept_connections).start()
            if path == "/plan/1":
                handler.start_stream(chunked=False)
            else:
                handler.start_answer_without_length()
            handler.wfile.write(EVENTS)

        server.script = script
        answer = system.request("POST", path, headers=PLAN_HEADERS)
        assert (answer.status, answer.content) == (200, EVENTS)

    def test_an_answer_whose_server_lives_is_complete(self, system, start_server):
        server = start_server()

        def script(handler, received):
            handler.start_answer_without_length()
            handler.wfile.write(b"the answer")

        server.script = script
        answer = system.request("POST", "/book/1")
        assert (answer.status, answer.content) == (200, b"the answer")
