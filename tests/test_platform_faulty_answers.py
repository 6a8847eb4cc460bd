"""Answers that faulty servers repeat or cut in the head, and requests late in a planned stop."""

import http.client
import signal
import threading
import time

import pytest

import platformsystem

ENTRY_HOSTS = 2
REFUSAL = b"HTTP/1.1 503 Service Unavailable\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n%s\r\n"
WORK_S = 0.4
# The platform's grace for a process that was told to end, and the rate of requests meanwhile.
GRACE_S = 8.0
REQUEST_INTERVAL_S = 0.1
ROUTES = [
    platformsystem.route("book", "/book/"),
    platformsystem.route("look", "/look/", "safe"),
    platformsystem.route("plan", "/plan/", "streaming", "plan"),
]
PLAN_HEADERS = {"X-Token-Counts": "300,4", "X-Model-Name": "m"}


@pytest.fixture(scope="module")
def system(tmp_path_factory):
    started = platformsystem.System(tmp_path_factory.mktemp("platform"), ENTRY_HOSTS)
    try:
        started.publish(platformsystem.manifest(7, ROUTES))
        yield started
    finally:
        started.close()


@pytest.fixture
def servers(system):
    started = platformsystem.AnnouncedServers(system)
    yield started
    started.leave()


# Guards against an earlier refusal that a faulty server writes once more on a kept connection and
# that is taken for the answer to the next request, which then runs though its caller is told that
# it has not.
@pytest.mark.parametrize("named", [True, False])
@pytest.mark.parametrize("path", ["/book/", "/plan/"])
def test_a_repeated_refusal_is_no_answer_to_the_next_request(system, servers, path, named):
    server = servers.start("plan" if path == "/plan/" else "book")
    # By connection, of which each has a handler of its own.
    refusals = {}
    ran = []

    def answer(handler, received):
        attempt = received.headers["x-attempt-id"]
        if handler not in refusals:
            name = f"X-Attempt-Id: {attempt}\r\n".encode() if named else b""
            refusals[handler] = REFUSAL % name
            handler.wfile.write(refusals[handler])
            return
        handler.wfile.write(refusals[handler])
        handler.wfile.flush()
        ran.append(attempt)
        time.sleep(0.05)
        handler.answer(200, attempt.encode(), {"X-Response-Stamp": "stamp"})

    server.script = answer
    headers = PLAN_HEADERS if path == "/plan/" else {}
    for number in range(4):
        attempt = f"{path}{named}{number}"
        answer = system.request(
            "POST", f"{path}{number}", b"x", {**headers, "X-Attempt-Id": attempt}
        )
        assert not (answer.status == 503 and attempt in ran)
        if answer.status == 200:
            assert answer.content == attempt.encode()
    assert ran and len(ran) == len(set(ran))


# Guards against an answer whose head is cut off and that reaches its caller as whole.
@pytest.mark.parametrize("cut_at", [1, 9, 15, 17, 30, 60, -4, -2, -1])
@pytest.mark.parametrize("path", ["/book/", "/look/", "/plan/"])
def test_an_answer_that_is_cut_in_its_head_is_none(system, servers, path, cut_at):
    server = servers.start("plan" if path == "/plan/" else "book")

    def answer(handler, received):
        head = (
            b"HTTP/1.1 200 OK\r\nX-Response-Stamp: stamp\r\nX-Attempt-Id: %s\r\n"
            b"Content-Type: text/event-stream\r\n\r\n"
        ) % received.headers["x-attempt-id"].encode()
        handler.wfile.write(head[:cut_at])
        handler.close_early()

    server.script = answer
    headers = PLAN_HEADERS if path == "/plan/" else {}
    try:
        assert system.request("POST", path, b"x", headers).status in (502, 504)
    except (http.client.HTTPException, ConnectionError):
        return


# Guards against requests that come late in a planned stop, are passed on to a server, and are cut
# without an answer when the process ends.
def test_requests_late_in_a_planned_stop_are_answered_or_refused(system, servers):
    server = servers.start()
    ran = []

    def answer(handler, received):
        ran.append(received.headers["x-attempt-id"])
        time.sleep(WORK_S)
        handler.answer(200, b"done", {"X-Response-Stamp": "stamp"})

    server.script = answer
    node = system.entries[1]
    outcomes = {}

    def send(number):
        attempt = f"late-{number}"
        try:
            reply = system.request("POST", f"/book/{number}", b"x", {"X-Attempt-Id": attempt}, node)
            outcomes[attempt] = reply.status if reply.status != 200 else reply.content
        except (OSError, http.client.HTTPException) as error:
            outcomes[attempt] = error

    node.process.send_signal(signal.SIGTERM)
    started_at = time.monotonic()
    threads = []
    while time.monotonic() - started_at < GRACE_S and node.process.poll() is None:
        threads.append(threading.Thread(target=send, args=(len(threads),)))
        threads[-1].start()
        time.sleep(REQUEST_INTERVAL_S)
    for thread in threads:
        thread.join()
    assert node.process.wait(timeout=platformsystem.WAIT_S) == 0
    assert time.monotonic() - started_at < GRACE_S
    assert ran
    for attempt, outcome in outcomes.items():
        if attempt in ran:
            assert outcome == b"done"
        else:
            # Refused as not run, or the connection was closed with the request unread.
            assert outcome == 503 or isinstance(outcome, OSError | http.client.HTTPException)
    node.start()
    platformsystem.wait_for(lambda: system.ready_status(node) == 200, node.name)
