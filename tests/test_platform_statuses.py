"""Answers whose status is none: their callers get a failure of the host, on every path."""

import itertools
import threading
import time

import pytest

import platformserver
import platformsystem

ODD_STATUSES = [b"000", b"099", b"99", b"1000", b"600", b"999"]
PLAN_HEADERS = {"X-Token-Counts": "30,800", "X-Model-Name": "m", "X-Length-Hint": "700"}
EVENT = b"id: %d\ndata: token\n\n"
ROUTES = [
    platformsystem.route("book", "/book/"),
    platformsystem.route("look", "/look/", "safe"),
    platformsystem.route("plan", "/plan/", "streaming", "plan", **{"timeout-ms": 8000}),
]


@pytest.fixture(scope="module")
def system(tmp_path_factory):
    started = platformsystem.System(tmp_path_factory.mktemp("platform"), 3, partitionable=True)
    try:
        started.publish(platformsystem.manifest(7, ROUTES))
        yield started
    finally:
        started.close()


@pytest.fixture
def servers(system):
    announced = platformsystem.AnnouncedServers(system)
    yield announced
    announced.leave()


@pytest.fixture
def reported(servers):
    """Report the servers all the time, as other hosts are asked only for servers that report."""
    stopped = threading.Event()

    def report():
        while not stopped.wait(0.5):
            servers.report()

    reporting = threading.Thread(target=report)
    reporting.start()
    yield
    stopped.set()
    reporting.join()


def answer_oddly(handler, status):
    """Give an answer that is sound but for its status."""
    attempt = handler.headers.get("X-Attempt-Id", "").encode()
    handler.wfile.write(
        b"HTTP/1.1 %s Odd\r\nX-Response-Stamp: stamp\r\nX-Attempt-Id: %s\r\n"
        b"Content-Type: text/event-stream\r\nContent-Length: 18\r\n\r\nid: 1\ndata: token\n\n"
        % (status, attempt)
    )


# Guards against a server in trouble whose answer has a status that does not exist.
@pytest.mark.parametrize("status", ODD_STATUSES)
@pytest.mark.parametrize("path", ["/book/1", "/look/1", "/plan/1"])
def test_an_odd_status_is_no_answer(system, servers, path, status):
    server = servers.start("plan" if path == "/plan/1" else "book")
    server.script = lambda handler, received: answer_oddly(handler, status)
    answer = system.request("POST", path, b"x", PLAN_HEADERS if path == "/plan/1" else {})
    assert answer.status == 502
    assert answer.getheader("X-Response-Stamp") is None


@pytest.mark.parametrize("status", ODD_STATUSES)
def test_an_odd_status_is_repeated_where_that_is_allowed(system, servers, status):
    calls = itertools.count()

    def script(handler, received):
        if next(calls):
            platformserver.answer_plainly(handler, received)
        else:
            answer_oddly(handler, status)

    for server in (servers.start(), servers.start()):
        server.script = script
    answer = system.request("POST", "/look/1", b"x")
    assert (answer.status, answer.content) == (200, b"the answer")


# Guards against an odd status that another host takes from a server and hands back.
@pytest.mark.parametrize("status", [b"000", b"600", b"999"])
def test_an_odd_status_is_no_answer_through_another_host(system, servers, reported, status):
    server = servers.start()
    server.script = lambda handler, received: answer_oddly(handler, status)
    node = system.entries[0]
    node.partition("refuse")
    try:
        end_at = time.monotonic() + platformsystem.WAIT_S
        before = len(server.received)
        while len(server.received) == before and time.monotonic() < end_at:
            assert system.request("POST", "/book/1", b"x", node=node).status in (502, 503, 504)
        assert len(server.received) > before
        platformsystem.wait_for(
            lambda: any(entry.get("relayed_by") for entry in node.events("request")), "a relay"
        )
    finally:
        node.partition("")


# Guards against a run that goes on with an answer whose status is odd.
@pytest.mark.parametrize("status", [b"000", b"600", b"999"])
def test_a_moved_run_does_not_go_on_with_an_odd_status(system, servers, status):
    started = [servers.start("plan"), servers.start("plan")]
    stopped = threading.Event()

    def script(handler, received):
        if "kv-from" in received.headers:
            answer_oddly(handler, status)
            return
        handler.start_stream()
        for number in range(1, 4):
            handler.send_chunk(EVENT % number)
        stopped.wait(10)
        handler.send_chunk(b"id: 4\nda")
        handler.send_chunk(b"")

    def move(body):
        if body.get("last"):
            stopped.set()
        return 200, {"handle": "h1", "made": 3}

    for server in started:
        server.script, server.move = script, move
    connection = system.send("POST", "/plan/1", headers=PLAN_HEADERS)
    answer = connection.getresponse()
    received = answer.read(len(EVENT % 1))
    source = next(server for server in started if server.received)
    system.announce(source, "draining")
    # The answer breaks off without its last chunk, and nothing of the odd one is passed on.
    with pytest.raises(platformsystem.http.client.IncompleteRead) as caught:
        answer.read()
    connection.close()
    assert received + caught.value.partial == b"".join(EVENT % number for number in range(1, 4))


# Guards against a copy that is taken from an engine's answer with an odd status.
@pytest.mark.parametrize("status", [600, 999])
def test_an_engine_call_with_an_odd_status_makes_no_copy(system, servers, status):
    started = [servers.start("plan"), servers.start("plan")]
    asked, resumed = threading.Event(), []

    def script(handler, received):
        if "kv-from" in received.headers:
            resumed.append(received)
        handler.start_stream()
        for number in range(1, 4):
            handler.send_chunk(EVENT % number)
        asked.wait(10)
        time.sleep(0.5)
        handler.send_chunk(b"")

    def move(body):
        asked.set()
        return status, {"handle": "h1", "made": 3}

    for server in started:
        server.script, server.move = script, move
    answer = system.send("POST", "/plan/1", headers=PLAN_HEADERS).getresponse()
    start = answer.read(len(EVENT % 1))
    source = next(server for server in started if server.received)
    system.announce(source, "draining")
    assert start + answer.read() == b"".join(EVENT % number for number in range(1, 4))
    assert asked.is_set()
    assert not resumed
