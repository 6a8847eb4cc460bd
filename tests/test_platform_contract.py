"""The platform's contract with callers, operators and servers, tested with stand-in servers."""

import http.client
import json
import signal
import threading

import pytest

import platformserver
import platformsystem

ROUTES = [
    platformsystem.route("book", "/book/"),
    platformsystem.route("look", "/look/", "safe"),
    platformsystem.route("open", "/open/", **{"allow-anonymous": True}),
    platformsystem.route("plan", "/plan/", "streaming", "plan", **{"timeout-ms": 20000}),
    platformsystem.route("nobody", "/nobody/", service="plan"),
]
# Log lines of at least 200 bytes; together they exceed a 64 KiB pipe and a buffer of that size.
PIPE_LINES = 900
PLAN_HEADERS = {"X-Token-Counts": "3000,800", "X-Model-Name": "m", "X-Length-Hint": "700"}


@pytest.fixture(scope="module")
def system(tmp_path_factory):
    """Run a system that has no manifest yet."""
    started = platformsystem.System(tmp_path_factory.mktemp("platform"))
    try:
        yield started
    finally:
        started.close()


@pytest.fixture(scope="module")
def serving(system):
    """Run a system with the first manifest in force."""
    system.publish(platformsystem.manifest(7, ROUTES))
    return system


@pytest.fixture
def start_server(serving):
    """Return a function that starts and announces a stand-in server; all leave after the test."""
    servers = platformsystem.AnnouncedServers(serving)
    yield servers.start
    servers.leave()


class TestOperators:
    def test_nothing_is_ready_or_served_before_the_first_manifest(self, system):
        if system.entries[0].events("routing_in_force"):
            pytest.fail("another test came first")
        platformsystem.wait_for(lambda: system.ready_status() == 503, "the entry host")
        answer = system.request("GET", "/look/1")
        assert answer.status == 503 and float(answer.headers["Retry-After"]) > 0

    def test_a_manifest_is_acknowledged_read_back_and_in_force(self, serving):
        assert serving.ready_status() == 200
        for node in serving.controls:
            status, body = serving.call_control("GET", "/api/config", node=node)
            assert (status, json.loads(body)) == (200, platformsystem.manifest(7, ROUTES))

    def test_an_older_version_is_acknowledged_and_changes_nothing(self, serving):
        assert serving.call_control("PUT", "/api/config", platformsystem.manifest(6, []))[0] == 200
        assert json.loads(serving.call_control("GET", "/api/config")[1])["version"] == 7

    def test_an_invalid_manifest_is_refused(self, serving):
        broken = platformsystem.manifest(99, [platformsystem.route("x", "/x/", service="none")])
        assert serving.call_control("PUT", "/api/config", broken)[0] == 400
        assert serving.call_control("PUT", "/api/config", b'{"version": 99')[0] == 400
        assert json.loads(serving.call_control("GET", "/api/config")[1])["version"] == 7

    def test_an_unknown_path_is_not_found(self, serving):
        assert serving.call_control("GET", "/api/other")[0] == 404


def request_until_taken(serving, method, path):
    """Send a request again while the servers' limits leave no room; return its answer."""
    answers = []

    def is_taken():
        answers.append(serving.request(method, path))
        return answers[-1].status != 503

    platformsystem.wait_for(is_taken, "a server to take another request")
    return answers[-1]


class TestRequests:
    def test_a_request_arrives_unchanged_with_added_headers(self, serving, start_server):
        server = start_server()
        answer = serving.request(
            "POST",
            "/book/slot?day=3",
            b"two slots",
            {"X-Note": "kept", "X-Tenant-Name": "forged", "X-Kv-Hold": "forged"},
        )
        (received,) = server.received
        assert (received.method, received.path, received.body) == (
            "POST",
            "/book/slot?day=3",
            b"two slots",
        )
        assert received.headers["x-note"] == "kept"
        assert received.headers["x-tenant-name"] == "grower"
        assert received.headers["x-expect-instance"] == server.name
        assert 0 < int(received.headers["x-deadline-ms"]) <= 4000
        assert "authorization" not in received.headers and "x-kv-hold" not in received.headers
        assert (answer.status, answer.content) == (200, b"the answer")
        assert answer.headers["X-Response-Stamp"] == f"stamp-{server.name}"

    def test_the_log_names_the_limit_that_a_server_states(self, serving, start_server):
        server = start_server()
        for limit in ("2.5", "2.5", None):
            headers = {"Server-Limit": limit} if limit else {}
            server.script = lambda handler, _, headers=headers: handler.answer(200, b"", headers)
            answer = request_until_taken(serving, "POST", "/book/1")
            assert (answer.status, answer.headers["Server-Limit"]) == (200, limit)
        changes = [
            (entry["before"], entry["now"])
            for entry in serving.entries[0].events("server_limit_changed")
            if entry["server"] == server.name
        ]
        assert changes == [(None, 2.5), (2.5, None)]

    def test_a_chunked_body_arrives_whole(self, serving, start_server):
        server = start_server()
        assert serving.request("POST", "/book/1", iter([b"two ", b"slots"])).status == 200
        assert server.received[0].body == b"two slots"

    @pytest.mark.parametrize(
        ("path", "headers", "status"),
        [
            ("/none/1", {}, 404),
            ("/book/1", {"Host": "b.example"}, 404),
            ("/book/1", {"Authorization": "Token other"}, 401),
            ("/book/1", {"Authorization": None}, 401),
            ("/book/1", {"X-Attempt-Id": None}, 400),
            ("/book/1", {"X-Deadline-Ms": "soon"}, 400),
        ],
    )
    def test_an_invalid_request_is_refused(self, serving, start_server, path, headers, status):
        server = start_server()
        assert serving.request("POST", path, headers=headers).status == status
        assert server.received == []

    def test_an_open_route_needs_no_key(self, serving, start_server):
        server = start_server()
        assert serving.request("POST", "/open/1", headers={"Authorization": None}).status == 200
        assert "x-tenant-name" not in server.received[0].headers

    def test_a_body_over_the_limit_is_refused(self, serving, start_server):
        start_server()
        platformsystem.wait_for(
            lambda: serving.request("POST", "/book/1", b"x" * 100_001).status == 413, "the limit"
        )

    def test_an_error_of_a_server_is_forwarded_with_its_stamp(self, serving, start_server):
        server = start_server()
        server.script = lambda handler, _: handler.answer(500, b"no", {"X-Response-Stamp": "s"})
        answer = serving.request("POST", "/book/1")
        assert (answer.status, answer.headers["X-Response-Stamp"]) == (500, "s")
        assert len(server.received) == 1

    def test_a_failed_lookup_is_retried_at_another_server(self, serving, start_server):
        failing, healthy = start_server(), start_server(zone="yakima-a")
        failing.script = lambda handler, _: handler.answer(500, b"no")
        assert serving.request("GET", "/look/1").status == 200
        assert len(failing.received) + len(healthy.received) <= 2

    def test_a_booking_whose_answer_is_lost_is_not_retried(self, serving, start_server):
        first, second = start_server(), start_server(zone="yakima-a")
        for server in (first, second):
            server.script = lambda handler, _: handler.close_early()
        assert serving.request("POST", "/book/1").status == 502
        assert len(first.received) + len(second.received) == 1

    def test_a_lookup_that_may_have_run_is_not_reported_as_not_run(self, serving, start_server):
        server = start_server()
        server.script = lambda handler, _: handler.close_early()
        assert serving.request("GET", "/look/1").status == 502
        assert len(server.received) == 1

    def test_a_refusal_of_every_server_is_reported_as_not_run(self, serving, start_server):
        server = start_server()
        server.script = lambda handler, _: handler.answer(503, b"", {"X-Not-Executed": "1"})
        answer = serving.request("POST", "/book/1")
        assert answer.status == 503 and float(answer.headers["Retry-After"]) > 0
        assert "X-Response-Stamp" not in answer.headers

    def test_a_request_without_any_server_is_refused_at_once(self, serving):
        answer = serving.request("POST", "/nobody/1")
        assert answer.status == 503 and float(answer.headers["Retry-After"]) > 0

    def test_an_answer_to_another_request_is_not_forwarded(self, serving, start_server):
        server = start_server()

        def answer_twice(handler, received):
            platformserver.answer_plainly(handler, received)
            stray = b"HTTP/1.1 200 OK\r\nX-Attempt-Id: other\r\nContent-Length: 5\r\n\r\nstray"
            handler.wfile.write(stray)

        server.script = answer_twice
        for _ in range(4):
            answer = serving.request("POST", "/book/1")
            assert (answer.status, answer.content) == (200, b"the answer")

    def test_a_late_copy_of_an_answer_is_not_forwarded(self, serving, start_server):
        """The copy arrives after the connection is in use again, and does not say whose it is."""
        server = start_server()
        reused = []

        def answer_late(handler, received):
            if getattr(handler, "used", False):
                reused.append(received)
                handler.wfile.write(b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nlate")
            handler.used = True
            platformserver.answer_plainly(handler, received)

        server.script = answer_late
        for _ in range(4):
            answer = serving.request("POST", "/book/1")
            assert (answer.status, answer.content) == (200, b"the answer")
        assert reused

    def test_an_answer_that_ends_early_does_not_look_complete(self, serving, start_server):
        server = start_server()

        def send_part(handler, received):
            handler.send_response(200)
            handler.send_header("X-Response-Stamp", "s")
            handler.send_header("Content-Length", "100")
            handler.end_headers()
            handler.wfile.write(b"half")
            handler.close_early()

        server.script = send_part
        assert serving.request("POST", "/book/1").status == 502

    def test_a_servers_work_ends_when_the_caller_disconnects(self, serving, start_server):
        server = start_server("plan")
        ended = threading.Event()

        def stream_until_closed(handler, received):
            handler.start_stream()
            try:
                for number in range(1, 10_000):
                    handler.send_chunk(b"id: %d\ndata: x\n\n" % number)
                    ended.wait(0.01)
            except OSError:
                ended.set()

        server.script = stream_until_closed
        connection = serving.send("POST", "/plan/1", headers=PLAN_HEADERS)
        connection.getresponse().read(20)
        connection.sock.close()
        connection.close()
        assert ended.wait(5)


def send_events(handler, first, last, gate=None):
    """Send events first to last, calling the gate with each number beforehand."""
    for number in range(first, last + 1):
        if gate is not None:
            gate(number)
        handler.send_chunk(b"id: %d\ndata: token-%d\n\n" % (number, number))


def send_stream(handler, first, last, gate=None):
    """Send a complete stream of the events first to last."""
    handler.start_stream()
    send_events(handler, first, last, gate)
    handler.send_chunk(b"")


def send_rest(handler, received, last):
    """Send a complete stream of the events after the caller's last one."""
    send_stream(handler, int(received.headers["last-event-id"]) + 1, last)


class TestStreams:
    def test_events_arrive_as_they_are_produced(self, serving, start_server):
        server = start_server("plan")
        third = threading.Event()
        server.script = lambda handler, _: send_stream(
            handler, 1, 3, lambda number: number < 3 or third.wait(5)
        )
        answer = serving.send("POST", "/plan/1", headers=PLAN_HEADERS).getresponse()
        assert answer.headers["X-Response-Stamp"] == f"stamp-{server.name}"
        assert b"".join(answer.readline() for _ in range(6)).count(b"id:") == 2
        third.set()
        assert answer.read().count(b"id:") == 1

    def test_a_stream_that_ends_early_does_not_look_complete(self, serving, start_server):
        server = start_server("plan")

        def script(handler, received):
            handler.start_stream()
            send_events(handler, 1, 2)
            handler.close_early()

        server.script = script
        answer = serving.send("POST", "/plan/1", headers=PLAN_HEADERS).getresponse()
        with pytest.raises(http.client.IncompleteRead):
            answer.read()

    # Guards against a stream without a length that looks complete although its server crashed.
    @pytest.mark.parametrize(
        ("content", "complete"),
        [
            (b"id: 1\ndata: a\n\nid: 2\ndata: b\n\n", True),
            (b"id: 1\ndata: a\n\nid: 2\nda", False),
            (b"id: 1\nda", False),
            (b"", False),
        ],
    )
    def test_a_stream_that_ends_with_its_connection(self, serving, start_server, content, complete):
        server = start_server("plan")

        def script(handler, received):
            handler.start_stream(chunked=False)
            handler.wfile.write(content)

        server.script = script
        answer = serving.send("POST", "/plan/1", headers=PLAN_HEADERS).getresponse()
        if complete:
            assert answer.read() == content
        else:
            with pytest.raises(http.client.IncompleteRead):
                answer.read()

    def test_the_log_names_the_shared_parts_of_a_broken_answer(self, serving, start_server):
        server = start_server("plan")

        def script(handler, received):
            handler.start_stream()
            handler.close_early()

        server.script = script
        headers = {**PLAN_HEADERS, "X-Attempt-Id": "broken-1", "X-Prompt-Prefix": "a1:80,b2:9,c3:5"}
        answer = serving.send("POST", "/plan/1", headers=headers).getresponse()
        with pytest.raises(http.client.IncompleteRead):
            answer.read()
        (entry,) = [
            entry
            for entry in serving.entries[0].events("answer_broken_off")
            if entry["request"] == "broken-1"
        ]
        assert (entry["parts"], entry["head"], entry["events"]) == ("a1 b2", True, 0)
        assert entry["server"] == server.name

    def test_a_run_moves_off_a_draining_server(self, serving, start_server):
        server_a, server_b = start_server("plan"), start_server("plan")
        stopped = threading.Event()

        def script(handler, received):
            if "kv-from" in received.headers:
                send_rest(handler, received, 6)
                return
            handler.start_stream()
            send_events(handler, 1, 3)
            stopped.wait(10)
            handler.close_early()

        def move(body):
            if body.get("last"):
                stopped.set()
            return 200, {"handle": "h1", "made": 3}

        for server in (server_a, server_b):
            server.script, server.move = script, move
        connection = serving.send("POST", "/plan/1", headers=PLAN_HEADERS)
        answer = connection.getresponse()
        start = b"".join(answer.readline() for _ in range(9))
        source, destination = (server_a, server_b) if server_a.received else (server_b, server_a)
        serving.announce(source, "draining")
        text = (start + answer.read()).decode()
        assert [int(line[4:]) for line in text.splitlines() if line.startswith("id:")] == [
            1,
            2,
            3,
            4,
            5,
            6,
        ]
        stops = [body.get("last", False) for body in source.moves]
        assert len(stops) > 1 and stops == [False] * (len(stops) - 1) + [True]
        assert source.moves[0]["to"] == destination.address
        (resumed,) = destination.received
        assert resumed.headers["kv-from"] == f"{source.address}/h1"
        assert resumed.headers["x-attempt-id"] == source.received[0].headers["x-attempt-id"]

    def test_a_run_whose_stream_starts_after_the_drain_notice_is_moved(self, serving, start_server):
        """A run must not be left behind when the server drains while it still reads the prompt."""
        server_a, server_b = start_server("plan"), start_server("plan")
        begin = threading.Event()
        stopped = threading.Event()

        def script(handler, received):
            if "kv-from" in received.headers:
                send_rest(handler, received, 4)
                return
            begin.wait(10)
            handler.start_stream()
            send_events(handler, 1, 2)
            stopped.wait(10)
            handler.close_early()

        def move(body):
            if body.get("last"):
                stopped.set()
            return 200, {"handle": "h2", "made": 2}

        for server in (server_a, server_b):
            server.script, server.move = script, move
        connection = serving.send("POST", "/plan/1", headers=PLAN_HEADERS)
        platformsystem.wait_for(lambda: server_a.received or server_b.received, "the request")
        source, destination = (server_a, server_b) if server_a.received else (server_b, server_a)
        serving.announce(source, "draining")
        begin.set()
        text = connection.getresponse().read().decode()
        assert [line for line in text.splitlines() if line.startswith("id:")] == [
            f"id: {number}" for number in range(1, 5)
        ]
        assert destination.received[0].headers["kv-from"] == f"{source.address}/h2"

    def test_the_copy_of_a_run_that_ends_first_is_dropped(self, serving, start_server):
        server_a, server_b = start_server("plan"), start_server("plan")
        copied = threading.Event()

        def script(handler, received):
            handler.start_stream()
            send_events(handler, 1, 1)
            copied.wait(10)
            send_events(handler, 2, 2)
            handler.send_chunk(b"")

        def move(body):
            copied.set()
            return 200, {"handle": "h3", "made": 1}

        for server in (server_a, server_b):
            server.script, server.move = script, move
        answer = serving.send("POST", "/plan/1", headers=PLAN_HEADERS).getresponse()
        answer.read(1)
        source = server_a if server_a.received else server_b
        serving.announce(source, "draining")
        assert answer.read().count(b"id:") == 1
        platformsystem.wait_for(lambda: source.dropped == ["h3"], "the copy to be given up")
        assert source.engine_calls == ["GET report", "POST kv-move", "DELETE kv-handle"]

    def test_unneeded_engine_calls_are_not_made(self, serving, start_server):
        """Lists, events, pins, holds and health checks cost the engine time or memory."""
        server, other = start_server("plan"), start_server()

        server.script = lambda handler, _: send_stream(handler, 1, 2)
        answer = serving.request("POST", "/plan/1", headers=PLAN_HEADERS)
        assert (answer.status, answer.content.count(b"id:")) == (200, 2)
        assert serving.request("POST", "/book/1").status == 200
        assert server.engine_calls == other.engine_calls == []

    @pytest.mark.parametrize(
        ("method", "path"),
        [
            ("GET", "/api/report"),
            ("GET", "/api/kv-events?since=0"),
            ("GET", "/api/kv-list"),
            ("DELETE", "/api/kv-handle/h"),
            ("DELETE", "/api/kv-pin/p"),
            ("POST", "/api/hold-take"),
            ("DELETE", "/api/hold-drop/h"),
            ("POST", "/api/kv-move"),
            ("GET", "/healthz"),
        ],
    )
    def test_callers_cannot_make_engine_calls(self, serving, start_server, method, path):
        server = start_server("plan")
        assert serving.request(method, path).status == 404
        assert server.engine_calls == []


class TestServers:
    def test_an_unreadable_report_is_refused(self, serving, start_server):
        server = start_server()
        for report in (
            b"{",
            {"service": "book"},
            {**server.next_report(), "state": "resting"},
            b"\xff",
        ):
            assert serving.call_control("PUT", "/api/instances/i-bad", report)[0] == 400
        assert serving.request("POST", "/book/1").status == 200

    def test_a_draining_server_gets_no_new_request(self, serving, start_server):
        leaving, staying = start_server(), start_server(zone="yakima-a")
        serving.announce(leaving, "draining")
        for _ in range(5):
            assert serving.request("POST", "/book/1").status == 200
        assert (len(leaving.received), len(staying.received)) == (0, 5)

    def test_a_reused_address_runs_nothing_for_the_old_server(self, serving, start_server):
        old = start_server()
        old.name = "i-another"
        answer = serving.request("POST", "/book/1")
        assert answer.status == 503
        old.name = old.received[0].headers["x-expect-instance"]

    def test_a_data_centre_out_of_service_gets_no_requests(self, serving, start_server):
        near, far = start_server(), start_server(zone="yakima-a")
        entry = serving.entries[0]
        before = len(entry.events("data_centres_out"))
        assert serving.call_control("POST", "/api/evacuations/puget-a")[0] == 200
        platformsystem.wait_for(lambda: len(entry.events("data_centres_out")) > before, "the order")
        assert serving.request("POST", "/book/1").status == 200
        assert (len(near.received), len(far.received)) == (0, 1)
        assert serving.call_control("DELETE", "/api/evacuations/puget-a")[0] == 200
        platformsystem.wait_for(
            lambda: len(entry.events("data_centres_out")) > before + 1, "its end"
        )
        assert serving.request("POST", "/book/1").status == 200
        assert len(near.received) == 1


class TestProcesses:
    def test_a_reload_interrupts_nothing(self, serving, start_server):
        start_server()
        for node in serving.controls + serving.entries:
            node.process.send_signal(signal.SIGHUP)
            platformsystem.wait_for(lambda node=node: node.events("reload"), "the reload")
        assert serving.request("POST", "/book/1").status == 200
        assert all(node.process.poll() is None for node in serving.controls + serving.entries)

    def test_a_graceful_shutdown_interrupts_nothing(self, serving, start_server):
        server = start_server()
        release = threading.Event()

        def script(handler, received):
            release.wait(10)
            platformserver.answer_plainly(handler, received)

        server.script = script
        connection = serving.send("POST", "/book/1")
        platformsystem.wait_for(lambda: server.received, "the request")
        entry = serving.entries[0]
        entry.process.send_signal(signal.SIGTERM)
        platformsystem.wait_for(lambda: serving.ready_status() == 503, "the drain")
        server.script = platformserver.answer_plainly
        assert serving.request("POST", "/book/2").status == 200
        answer = serving.request("POST", "/plan/1", headers=PLAN_HEADERS)
        assert answer.status == 503 and float(answer.headers["Retry-After"]) < 1
        release.set()
        assert connection.getresponse().read() == b"the answer"
        assert entry.process.wait(timeout=platformsystem.WAIT_S) == 0
        entry.start()
        platformsystem.wait_for(lambda: serving.ready_status() == 200, "the new process")


class TestUnreadOutput:
    def test_a_process_with_unread_output_keeps_serving(self, serving, start_server):
        start_server()
        entry = serving.entries[0]
        assert entry.stop() == 0
        entry.start_unread()
        try:
            platformsystem.wait_for(lambda: serving.ready_status() == 200, "the new process")
            # More than the pipe and the buffer of the process hold.
            for _ in range(PIPE_LINES):
                assert serving.request("GET", "/none/1").status == 404
            platformsystem.wait_for(
                lambda: serving.request("POST", "/book/1").status == 200, "the server to be known"
            )
            assert entry.stop() == 0
        finally:
            entry.process.kill()
            entry.process.stdout.close()
            entry.start()
            platformsystem.wait_for(lambda: serving.ready_status() == 200, "the process after it")


class TestLongAnswers:
    def test_a_long_answer_that_ends_early_is_not_retried(self, serving, start_server):
        first, second = start_server(), start_server(zone="yakima-a")

        def send_part(handler, received):
            handler.send_response(200)
            handler.send_header("X-Response-Stamp", "s")
            handler.send_header("Content-Length", str(1_000_000))
            handler.end_headers()
            handler.wfile.write(b"x" * 600_000)
            handler.close_early()

        first.script = second.script = send_part
        connection = serving.send("GET", "/look/1")
        answer = connection.getresponse()
        with pytest.raises((http.client.IncompleteRead, ConnectionError)):
            answer.read()
        assert len(first.received) + len(second.received) == 1

    def test_a_long_answer_may_take_all_the_time_that_is_left(self, serving, start_server):
        """Only a first try that another may follow has to end before the deadline."""
        server = start_server()

        def send_slowly(handler, received):
            handler.send_response(200)
            handler.send_header("X-Response-Stamp", "s")
            handler.send_header("Content-Length", str(600_000))
            handler.end_headers()
            for _ in range(12):
                handler.wfile.write(b"x" * 50_000)
                threading.Event().wait(0.15)

        server.script = send_slowly
        answer = serving.request("GET", "/look/1", headers={"X-Deadline-Ms": "2800"})
        assert len(answer.content) == 600_000

    def test_a_long_answer_arrives_whole(self, serving, start_server):
        server = start_server()
        body = bytes(range(256)) * 4_000
        server.script = lambda handler, _: handler.answer(200, body, {"X-Response-Stamp": "s"})
        assert serving.request("GET", "/look/1").content == body
