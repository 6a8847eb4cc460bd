"""The calls of the platform against stand-ins: what callers, operators and servers rely on."""

import http.client
import itertools
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
# Lines of 200 bytes and more that fill a pipe of 64 KiB and as much in the process.
PIPE_LINES = 900
PLAN_HEADERS = {"X-Token-Counts": "3000,800", "X-Model-Name": "m", "X-Length-Hint": "700"}
# One for each stand-in server of the run, so that no two have the same name in the logs.
server_numbers = itertools.count(1)


@pytest.fixture(scope="module")
def system(tmp_path_factory):
    made = platformsystem.System(tmp_path_factory.mktemp("platform"))
    try:
        yield made
    finally:
        made.close()


@pytest.fixture(scope="module")
def serving(system):
    system.publish(platformsystem.manifest(7, ROUTES))
    return system


@pytest.fixture
def servers(serving):
    """Two booking servers in two zones, made anew for each test."""
    made = []

    def make(service="book", zone="puget-a"):
        server = platformserver.PlatformServer(f"i-{next(server_numbers)}", service, zone)
        made.append(server)
        serving.announce(server)
        return server

    yield make
    for server in made:
        serving.order("DELETE", f"/api/instances/{server.name}")
        server.close()
    platformsystem.wait_for(
        lambda: {
            entry["server"]
            for entry in serving.entries[0].events("server_changed")
            if entry["gone"]
        }
        >= {server.name for server in made},
        "servers to leave",
    )


class TestOperators:
    def test_nothing_is_ready_or_served_before_the_first_manifest(self, system):
        if system.entries[0].events("routing_in_force"):
            pytest.fail("another test came first")
        platformsystem.wait_for(lambda: system.ready() == 503, "the entry host")
        answer = system.request("GET", "/look/1")
        assert answer.status == 503 and float(answer.headers["Retry-After"]) > 0

    def test_a_manifest_is_acknowledged_read_back_and_in_force(self, serving):
        assert serving.ready() == 200
        for node in serving.controls:
            status, body = serving.order("GET", "/api/config", node=node)
            assert (status, json.loads(body)) == (200, platformsystem.manifest(7, ROUTES))

    def test_an_older_version_is_acknowledged_and_changes_nothing(self, serving):
        assert serving.order("PUT", "/api/config", platformsystem.manifest(6, []))[0] == 200
        assert json.loads(serving.order("GET", "/api/config")[1])["version"] == 7

    def test_an_invalid_manifest_is_refused(self, serving):
        broken = platformsystem.manifest(99, [platformsystem.route("x", "/x/", service="none")])
        assert serving.order("PUT", "/api/config", broken)[0] == 400
        assert serving.order("PUT", "/api/config", b'{"version": 99')[0] == 400
        assert json.loads(serving.order("GET", "/api/config")[1])["version"] == 7

    def test_an_unknown_path_is_not_found(self, serving):
        assert serving.order("GET", "/api/other")[0] == 404


class TestRequests:
    def test_a_request_arrives_unchanged_with_what_the_system_adds(self, serving, servers):
        server = servers()
        answer = serving.request(
            "POST",
            "/book/slot?day=3",
            b"two slots",
            {"X-Note": "kept", "X-Tenant-Name": "forged", "X-Kv-Hold": "forged"},
        )
        (seen,) = server.received
        assert (seen.method, seen.path, seen.body) == ("POST", "/book/slot?day=3", b"two slots")
        assert seen.headers["x-note"] == "kept"
        assert seen.headers["x-tenant-name"] == "grower"
        assert seen.headers["x-expect-instance"] == server.name
        assert 0 < int(seen.headers["x-deadline-ms"]) <= 4000
        assert "authorization" not in seen.headers and "x-kv-hold" not in seen.headers
        assert (answer.status, answer.content) == (200, b"the answer")
        assert answer.headers["X-Response-Stamp"] == f"stamp-{server.name}"

    def test_a_chunked_body_arrives_whole(self, serving, servers):
        server = servers()
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
    def test_what_is_not_allowed_is_refused(self, serving, servers, path, headers, status):
        server = servers()
        assert serving.request("POST", path, headers=headers).status == status
        assert server.received == []

    def test_an_open_route_needs_no_key(self, serving, servers):
        server = servers()
        assert serving.request("POST", "/open/1", headers={"Authorization": None}).status == 200
        assert "x-tenant-name" not in server.received[0].headers

    def test_a_body_over_the_limit_is_refused(self, serving, servers):
        servers()
        platformsystem.wait_for(
            lambda: serving.request("POST", "/book/1", b"x" * 100_001).status == 413, "the limit"
        )

    def test_a_failure_of_a_server_is_passed_on_with_its_stamp(self, serving, servers):
        server = servers()
        server.script = lambda handler, _: handler.answer(500, b"no", {"X-Response-Stamp": "s"})
        answer = serving.request("POST", "/book/1")
        assert (answer.status, answer.headers["X-Response-Stamp"]) == (500, "s")
        assert len(server.received) == 1

    def test_a_lookup_that_failed_is_tried_at_another_server(self, serving, servers):
        failing, sound = servers(), servers(zone="yakima-a")
        failing.script = lambda handler, _: handler.answer(500, b"no")
        assert serving.request("GET", "/look/1").status == 200
        assert len(failing.received) + len(sound.received) <= 2

    def test_a_booking_whose_answer_is_lost_is_not_tried_again(self, serving, servers):
        first, second = servers(), servers(zone="yakima-a")
        for server in (first, second):
            server.script = lambda handler, _: handler.break_off()
        assert serving.request("POST", "/book/1").status == 502
        assert len(first.received) + len(second.received) == 1

    def test_a_lookup_that_may_have_run_is_never_told_not_run(self, serving, servers):
        server = servers()
        server.script = lambda handler, _: handler.break_off()
        assert serving.request("GET", "/look/1").status == 502
        assert len(server.received) == 1

    def test_a_refusal_of_every_server_is_passed_on_as_not_run(self, serving, servers):
        server = servers()
        server.script = lambda handler, _: handler.answer(503, b"", {"X-Not-Executed": "1"})
        answer = serving.request("POST", "/book/1")
        assert answer.status == 503 and float(answer.headers["Retry-After"]) > 0
        assert "X-Response-Stamp" not in answer.headers

    def test_no_server_at_all_is_refused_at_once(self, serving):
        answer = serving.request("POST", "/nobody/1")
        assert answer.status == 503 and float(answer.headers["Retry-After"]) > 0

    def test_an_answer_of_another_request_is_not_passed_on(self, serving, servers):
        server = servers()

        def answer_twice(handler, received):
            platformserver.answer_plainly(handler, received)
            stray = b"HTTP/1.1 200 OK\r\nX-Attempt-Id: other\r\nContent-Length: 5\r\n\r\nstray"
            handler.wfile.write(stray)

        server.script = answer_twice
        for _ in range(4):
            answer = serving.request("POST", "/book/1")
            assert (answer.status, answer.content) == (200, b"the answer")

    def test_an_answer_that_ends_early_does_not_look_complete(self, serving, servers):
        server = servers()

        def cut(handler, received):
            handler.send_response(200)
            handler.send_header("X-Response-Stamp", "s")
            handler.send_header("Content-Length", "100")
            handler.end_headers()
            handler.wfile.write(b"half")
            handler.break_off()

        server.script = cut
        assert serving.request("POST", "/book/1").status == 502

    def test_work_ends_when_its_caller_leaves(self, serving, servers):
        server = servers("plan")
        ended = threading.Event()

        def endless(handler, received):
            handler.start_stream()
            try:
                for number in range(1, 10_000):
                    handler.send_chunk(b"id: %d\ndata: x\n\n" % number)
                    ended.wait(0.01)
            except OSError:
                ended.set()

        server.script = endless
        connection = serving.open("POST", "/plan/1", headers=PLAN_HEADERS)
        connection.getresponse().read(20)
        connection.sock.close()
        connection.close()
        assert ended.wait(5)


def send_events(handler, first, last, gate=None):
    """Send events up to the last one, waiting at the gate before each."""
    for number in range(first, last + 1):
        if gate is not None:
            gate(number)
        handler.send_chunk(b"id: %d\ndata: token-%d\n\n" % (number, number))


def send_stream(handler, first, last, gate=None):
    """Send a whole stream of these events."""
    handler.start_stream()
    send_events(handler, first, last, gate)
    handler.send_chunk(b"")


def go_on(handler, received, last):
    """Send what follows the last event that the caller has, up to the last one."""
    send_stream(handler, int(received.headers["last-event-id"]) + 1, last)


class TestStreams:
    def test_events_arrive_as_they_are_made(self, serving, servers):
        server = servers("plan")
        third = threading.Event()
        server.script = lambda handler, _: send_stream(
            handler, 1, 3, lambda number: number < 3 or third.wait(5)
        )
        answer = serving.open("POST", "/plan/1", headers=PLAN_HEADERS).getresponse()
        assert answer.headers["X-Response-Stamp"] == f"stamp-{server.name}"
        assert b"".join(answer.readline() for _ in range(6)).count(b"id:") == 2
        third.set()
        assert answer.read().count(b"id:") == 1

    def test_a_stream_that_breaks_off_does_not_look_complete(self, serving, servers):
        server = servers("plan")

        def script(handler, received):
            handler.start_stream()
            send_events(handler, 1, 2)
            handler.break_off()

        server.script = script
        answer = serving.open("POST", "/plan/1", headers=PLAN_HEADERS).getresponse()
        with pytest.raises(http.client.IncompleteRead):
            answer.read()

    def test_a_run_moves_off_a_server_that_leaves(self, serving, servers):
        source, neighbour = servers("plan"), servers("plan")
        stopped = threading.Event()

        def script(handler, received):
            if "kv-from" in received.headers:
                go_on(handler, received, 6)
                return
            handler.start_stream()
            send_events(handler, 1, 3)
            stopped.wait(10)
            handler.break_off()

        def move(body):
            if body.get("last"):
                stopped.set()
            return 200, {"handle": "h1", "made": 3}

        for server in (source, neighbour):
            server.script, server.move = script, move
        connection = serving.open("POST", "/plan/1", headers=PLAN_HEADERS)
        answer = connection.getresponse()
        first = b"".join(answer.readline() for _ in range(9))
        used, other = (source, neighbour) if source.received else (neighbour, source)
        serving.announce(used, "draining")
        text = (first + answer.read()).decode()
        assert [int(line[4:]) for line in text.splitlines() if line.startswith("id:")] == [
            1,
            2,
            3,
            4,
            5,
            6,
        ]
        assert [body.get("last", False) for body in used.moves] == [False, True]
        assert used.moves[0]["to"] == other.address
        (resumed,) = other.received
        assert resumed.headers["kv-from"] == f"{used.address}/h1"
        assert resumed.headers["x-attempt-id"] == used.received[0].headers["x-attempt-id"]

    def test_a_run_that_begins_after_the_notice_is_moved_too(self, serving, servers):
        """Pattern: a prompt is still being read when its server says that it will end."""
        source, neighbour = servers("plan"), servers("plan")
        begin = threading.Event()
        stopped = threading.Event()

        def script(handler, received):
            if "kv-from" in received.headers:
                go_on(handler, received, 4)
                return
            begin.wait(10)
            handler.start_stream()
            send_events(handler, 1, 2)
            stopped.wait(10)
            handler.break_off()

        def move(body):
            if body.get("last"):
                stopped.set()
            return 200, {"handle": "h2", "made": 2}

        for server in (source, neighbour):
            server.script, server.move = script, move
        connection = serving.open("POST", "/plan/1", headers=PLAN_HEADERS)
        platformsystem.wait_for(lambda: source.received or neighbour.received, "the request")
        used, other = (source, neighbour) if source.received else (neighbour, source)
        serving.announce(used, "draining")
        begin.set()
        text = connection.getresponse().read().decode()
        assert [line for line in text.splitlines() if line.startswith("id:")] == [
            f"id: {number}" for number in range(1, 5)
        ]
        assert other.received[0].headers["kv-from"] == f"{used.address}/h2"

    def test_the_copy_of_a_run_that_ends_before_it_is_needed_is_given_up(self, serving, servers):
        source, neighbour = servers("plan"), servers("plan")
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

        for server in (source, neighbour):
            server.script, server.move = script, move
        answer = serving.open("POST", "/plan/1", headers=PLAN_HEADERS).getresponse()
        answer.read(1)
        used = source if source.received else neighbour
        serving.announce(used, "draining")
        assert answer.read().count(b"id:") == 1
        platformsystem.wait_for(lambda: used.dropped == ["h3"], "the copy to be given up")
        assert used.engine_calls == ["GET report", "POST kv-move", "DELETE kv-handle"]

    def test_engines_are_not_asked_for_what_is_not_used(self, serving, servers):
        """Lists, events, pins, holds and health checks cost the engine time or room."""
        server, other = servers("plan"), servers()

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
    def test_callers_do_not_reach_an_engines_own_interface(self, serving, servers, method, path):
        server = servers("plan")
        assert serving.request(method, path).status == 404
        assert server.engine_calls == []


class TestServers:
    def test_a_report_that_cannot_be_read_names_no_server(self, serving, servers):
        server = servers()
        for bad in (b"{", {"service": "book"}, {**server.beat(), "state": "resting"}, b"\xff"):
            assert serving.order("PUT", "/api/instances/i-bad", bad)[0] == 400
        assert serving.request("POST", "/book/1").status == 200

    def test_a_draining_server_gets_no_new_request(self, serving, servers):
        leaving, staying = servers(), servers(zone="yakima-a")
        serving.announce(leaving, "draining")
        for _ in range(5):
            assert serving.request("POST", "/book/1").status == 200
        assert (len(leaving.received), len(staying.received)) == (0, 5)

    def test_an_address_that_is_used_again_runs_nothing_of_the_old_server(self, serving, servers):
        old = servers()
        old.name = "i-another"
        answer = serving.request("POST", "/book/1")
        assert answer.status == 503
        old.name = old.received[0].headers["x-expect-instance"]

    def test_a_data_centre_that_is_out_gets_nothing_until_it_is_back(self, serving, servers):
        near, far = servers(), servers(zone="yakima-a")
        entry = serving.entries[0]
        before = len(entry.events("data_centres_out"))
        assert serving.order("POST", "/api/evacuations/puget-a")[0] == 200
        platformsystem.wait_for(lambda: len(entry.events("data_centres_out")) > before, "the order")
        assert serving.request("POST", "/book/1").status == 200
        assert (len(near.received), len(far.received)) == (0, 1)
        assert serving.order("DELETE", "/api/evacuations/puget-a")[0] == 200
        platformsystem.wait_for(
            lambda: len(entry.events("data_centres_out")) > before + 1, "its end"
        )
        assert serving.request("POST", "/book/1").status == 200
        assert len(near.received) == 1


class TestProcesses:
    def test_a_reload_ends_nothing(self, serving, servers):
        servers()
        for node in serving.controls + serving.entries:
            node.process.send_signal(signal.SIGHUP)
            platformsystem.wait_for(lambda node=node: node.events("reload"), "the reload")
        assert serving.request("POST", "/book/1").status == 200
        assert all(node.process.poll() is None for node in serving.controls + serving.entries)

    def test_a_graceful_end_cuts_nothing_off(self, serving, servers):
        server = servers()
        go_on = threading.Event()

        def script(handler, received):
            go_on.wait(10)
            platformserver.answer_plainly(handler, received)

        server.script = script
        connection = serving.open("POST", "/book/1")
        platformsystem.wait_for(lambda: server.received, "the request")
        entry = serving.entries[0]
        entry.process.send_signal(signal.SIGTERM)
        platformsystem.wait_for(lambda: serving.ready() == 503, "the drain")
        server.script = platformserver.answer_plainly
        assert serving.request("POST", "/book/2").status == 200
        answer = serving.request("POST", "/plan/1", headers=PLAN_HEADERS)
        assert answer.status == 503 and float(answer.headers["Retry-After"]) < 1
        go_on.set()
        assert connection.getresponse().read() == b"the answer"
        assert entry.process.wait(timeout=platformsystem.WAIT_S) == 0
        entry.start()
        platformsystem.wait_for(lambda: serving.ready() == 200, "the new process")


class TestUnreadOutput:
    def test_a_process_whose_output_nobody_reads_serves_on(self, serving, servers):
        servers()
        entry = serving.entries[0]
        assert entry.end() == 0
        entry.start_unread()
        try:
            platformsystem.wait_for(lambda: serving.ready() == 200, "the new process")
            # More than a pipe holds, and than the process keeps for it.
            for _ in range(PIPE_LINES):
                assert serving.request("GET", "/none/1").status == 404
            platformsystem.wait_for(
                lambda: serving.request("POST", "/book/1").status == 200, "the server to be known"
            )
            assert entry.end() == 0
        finally:
            entry.process.kill()
            entry.process.stdout.close()
            entry.start()
            platformsystem.wait_for(lambda: serving.ready() == 200, "the process after it")


class TestLongAnswers:
    def test_a_long_answer_that_breaks_off_is_not_started_anew(self, serving, servers):
        first, second = servers(), servers(zone="yakima-a")

        def cut(handler, received):
            handler.send_response(200)
            handler.send_header("X-Response-Stamp", "s")
            handler.send_header("Content-Length", str(1_000_000))
            handler.end_headers()
            handler.wfile.write(b"x" * 600_000)
            handler.break_off()

        first.script = second.script = cut
        connection = serving.open("GET", "/look/1")
        answer = connection.getresponse()
        with pytest.raises((http.client.IncompleteRead, ConnectionError)):
            answer.read()
        assert len(first.received) + len(second.received) == 1

    def test_a_long_answer_arrives_whole(self, serving, servers):
        server = servers()
        body = bytes(range(256)) * 4_000
        server.script = lambda handler, _: handler.answer(200, body, {"X-Response-Stamp": "s"})
        assert serving.request("GET", "/look/1").content == body
