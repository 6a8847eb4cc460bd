"""Roll-outs ordered by the platform, over real processes: good and bad versions of a service."""

import http.client
import json
import signal
import threading
import time

import pytest

import platformserver
import platformsystem

ENTRY_HOSTS = 3
DURATION_S = 20.0
START_S = 60.0
# A bad version may get a tenth of the requests, and these in addition.
EXPOSED_SHARE, EXPOSED_SLACK = 0.1, 50
# After a roll-back is in force, hosts may send to the version for this long.
ROLL_BACK_S = 5.0
LOOKS_PER_S, PLANS_PER_S = 40.0, 1.5
WORK_S, SLOW_S = 0.02, 0.15
EVENTS, EVENT_S = 12, 0.2
REPORT_INTERVAL_S = 0.5
PLAN_HEADERS = {"X-Token-Counts": "30,800", "X-Model-Name": "m", "X-Length-Hint": "700"}
ROUTES = [
    platformsystem.route("plan", "/plan/", "streaming", "plan", **{"timeout-ms": 20000}),
    platformsystem.route("look", "/look/", "unsafe", "plan"),
]
RUN = b"".join(b"id: %d\ndata: token\n\n" % number for number in range(1, EVENTS + 1))


class Server(platformserver.PlatformServer):
    """An engine whose runs can be moved, which is bad in a way.

    Attributes:
        fault: Way in which it is bad, empty for none.
        arrivals: When each request arrived, monotonic seconds.
        stopped: Runs that are stopped, to go on elsewhere.
    """

    def __init__(self, number, version, fault=""):
        super().__init__(f"{version}-{number}", "plan", "puget-a", version)
        self.script, self.move = self.answer_any, self.copy
        self.fault = fault
        self.arrivals = []
        self.stopped = set()

    def answer_any(self, handler, received):
        self.arrivals.append(time.monotonic())
        time.sleep(SLOW_S if self.fault == "slow" else WORK_S)
        if self.fault == "failing" and len(self.arrivals) % 2:
            handler.answer(500, b"")
        elif "x-token-counts" in received.headers:
            self.run(handler, received)
        else:
            handler.answer(200, b"x")

    def run(self, handler, received):
        attempt = received.headers["x-attempt-id"]
        resumed = "kv-from" in received.headers
        handler.start_stream()
        for number in range(
            int(received.headers["last-event-id"]) + 1 if resumed else 1, EVENTS + 1
        ):
            if attempt in self.stopped:
                handler.close_early()
                return
            handler.send_chunk(b"id: %d\ndata: token\n\n" % number)
            time.sleep(EVENT_S)
        handler.send_chunk(b"")

    def copy(self, body):
        if body.get("last"):
            self.stopped.add(body["id"])
            # What it has sent until now may be under way.
            time.sleep(EVENT_S)
        return 200, {"handle": f"handle-{body['id']}", "made": 1}


class Fleet:
    """Servers of two versions of a service under traffic through all entry hosts.

    Attributes:
        failures: What callers got instead of whole answers.
        sent: Number of requests that callers have sent.
        states: Each state of the roll-out that was seen, with when it was seen first.
    """

    def __init__(self, system):
        self.system = system
        self.servers = []
        self.failures = []
        self.sent = 0
        self.states = {}
        self.closed = threading.Event()
        self.threads = []

    def start(self, version, fault=""):
        servers = [Server(number, version, fault) for number in range(3)]
        for server in servers:
            self.system.announce(server)
        self.servers += servers
        return servers

    def report(self):
        while not self.closed.wait(REPORT_INTERVAL_S):
            for server in list(self.servers):
                if not server.crashed:
                    path = f"/api/instances/{server.name}"
                    self.system.call_control("PUT", path, server.next_report())

    def send(self, path, headers, expected, rate):
        threads = []
        while not self.closed.wait(1 / rate):
            node = next(self.system.entry_turns)
            arguments = (path, headers, expected, node)
            threads.append(threading.Thread(target=self.send_one, args=arguments))
            threads[-1].start()
            self.sent += 1
        for thread in threads:
            thread.join()

    def send_one(self, path, headers, expected, node):
        try:
            answer = self.system.request("POST", f"{path}{time.monotonic()}", b"x", headers, node)
            got = (answer.status, answer.content)
        except (OSError, http.client.HTTPException) as error:
            got = (0, repr(error))
        if got != (200, expected):
            self.failures.append(got)

    def begin(self):
        for target, *arguments in [
            (self.report,),
            (self.send, "/look/", {}, b"x", LOOKS_PER_S),
            (self.send, "/plan/", PLAN_HEADERS, RUN, PLANS_PER_S),
        ]:
            self.threads.append(threading.Thread(target=target, args=arguments))
            self.threads[-1].start()

    def order(self, version):
        body = {"service": "plan", "to": version, "duration-s": DURATION_S}
        platformsystem.wait_for(
            lambda: self.system.call_control("POST", "/api/rollouts", body)[0] == 200, "the ack"
        )

    def follow(self, duration_s, on_end=lambda state: None):
        """Follow the roll-out until it has ended; return its last state."""
        end = time.monotonic() + duration_s
        while time.monotonic() < end:
            status, body = self.system.call_control("GET", "/api/rollouts/plan")
            state = json.loads(body)["state"] if status == 200 else "unknown"
            self.states.setdefault(state, time.monotonic())
            if state in ("completed", "rolled_back"):
                on_end(state)
                return state
            time.sleep(0.1)
        return state

    def close(self):
        self.closed.set()
        for thread in self.threads:
            thread.join()
        for server in self.servers:
            self.system.call_control("DELETE", f"/api/instances/{server.name}")
            if not server.crashed:
                server.close()


@pytest.fixture
def fleet(tmp_path):
    system = platformsystem.System(tmp_path, ENTRY_HOSTS)
    started = Fleet(system)
    try:
        # A busy machine takes long to start all processes.
        platformsystem.wait_for(
            lambda: all(
                system.call_control("GET", "/api/config", node=node)[0] for node in system.controls
            ),
            "the control hosts",
            START_S,
        )
        system.publish(platformsystem.manifest(7, ROUTES))
        started.start("v1")
        started.begin()
        time.sleep(3.0)
        yield started
    finally:
        started.close()
        system.close()


# Guards against runs that break as the old servers stop at once, and a good version held up.
def test_a_good_version_is_completed_and_breaks_no_run(fleet):
    old = list(fleet.servers)
    fleet.order("v2")
    fleet.start("v2")
    state = fleet.follow(DURATION_S, lambda state: [server.crash() for server in old])
    time.sleep(3.0)
    fleet.close()
    assert (state, fleet.failures) == ("completed", [])


# Guards against a bad version that is completed, that gets more than its share of the requests, or
# that gets any after the roll-back.
@pytest.mark.parametrize("fault", ["failing", "slow"])
def test_a_bad_version_is_rolled_back_within_its_share(fleet, fault):
    sent_before = fleet.sent
    fleet.order("v2")
    new = fleet.start("v2", fault)
    state = fleet.follow(DURATION_S)
    ended_at = time.monotonic()
    time.sleep(ROLL_BACK_S)
    sent = fleet.sent - sent_before
    fleet.close()
    arrivals = [at for server in new for at in server.arrivals]
    assert state == "rolled_back"
    assert 0 < len(arrivals) <= EXPOSED_SHARE * sent + EXPOSED_SLACK
    assert max(arrivals) < ended_at + 1.0
    assert len(fleet.failures) <= len(arrivals)


# Guards against a host that wakes up from a pause and goes on with what it knew before.
def test_a_host_that_was_frozen_during_the_roll_back_exposes_nothing_after_it(fleet):
    frozen = fleet.system.entries[2].process
    fleet.order("v2")
    new = fleet.start("v2")
    platformsystem.wait_for(lambda: any(server.arrivals for server in new), "an exposed request")
    frozen.send_signal(signal.SIGSTOP)
    try:
        for server in new:
            server.fault = "failing"
        state = fleet.follow(DURATION_S)
        ended_at = time.monotonic()
        # Callers go on to connect to it, and their requests wait there.
        time.sleep(2.0)
    finally:
        frozen.send_signal(signal.SIGCONT)
    time.sleep(ROLL_BACK_S)
    fleet.close()
    assert state == "rolled_back"
    assert max(at for server in new for at in server.arrivals) < ended_at + 1.0
