"""Requests that crash the backend servers that run them, over all entry hosts of a system."""

import http.client
import itertools
import signal
import threading
import time

import pytest

import platformserver
import platformsystem

# Time after the fifth crash from which the promise holds.
STABLE_WINDOW_S = 4.0
CRASHES_BEFORE_BOUND = 5
MAX_LATER_ARRIVALS = 3
ENTRY_HOSTS = 3
CRASHING_PART, SOUND_PART = "bad0", "cafe"
MAX_TRIES = 12
REPORT_INTERVAL_S = 1.0
ROUTES = [platformsystem.route("plan", "/plan/", "streaming", "plan", **{"timeout-ms": 20000})]


class Fleet:
    """Engines that crash on one part of a prompt and are replaced by new ones.

    Attributes:
        arrivals: Times at which requests with the part reached an engine, monotonic seconds.
    """

    def __init__(self, system, size):
        self.system = system
        self.numbers = itertools.count(1)
        self.servers = []
        self.arrivals = []
        self.closed = threading.Event()
        for _ in range(size):
            self.start_server()
        threading.Thread(target=self.report_regularly, daemon=True).start()

    def report_regularly(self):
        """Report the engines that run to the first control host, as they would themselves."""
        while not self.closed.wait(REPORT_INTERVAL_S):
            for server in list(self.servers):
                if not server.crashed:
                    path = f"/api/instances/{server.name}"
                    self.system.call_control("PUT", path, server.next_report())

    def start_server(self):
        """Start an engine and announce it to all entry hosts."""
        zone = list(platformsystem.ZONES)[len(self.servers) % len(platformsystem.ZONES)]
        server = platformserver.PlatformServer(f"i-{next(self.numbers)}", "plan", zone)
        server.script = self.run_request
        self.system.announce(server)
        self.servers.append(server)

    def run_request(self, handler, received):
        """Answer with a short stream, or crash when the answer begins."""
        if CRASHING_PART not in received.headers["x-prompt-prefix"]:
            handler.start_stream()
            handler.send_chunk(b"id: 1\ndata: token\n\n")
            handler.send_chunk(b"")
            return
        self.arrivals.append(time.monotonic())
        handler.start_stream()
        handler.server.owner.crash()

    def crash_count(self):
        """Return the number of engines that have crashed."""
        return sum(server.crashed for server in self.servers)

    def replace_crashed(self):
        """Start an engine for each one that has crashed and was not replaced yet."""
        while len(self.servers) - self.crash_count() < ENTRY_HOSTS:
            self.start_server()

    def close(self):
        """Stop all engines."""
        self.closed.set()
        for server in self.servers:
            if not server.crashed:
                server.close()


class Callers:
    """Sends generations through all entry hosts in turn, no two alike."""

    def __init__(self, system):
        self.system = system
        self.numbers = itertools.count(1)

    def send(self, part, node=None):
        """Send a generation; return its status and whether its answer came whole."""
        number = next(self.numbers)
        node = node or self.system.entries[number % len(self.system.entries)]
        headers = {
            "X-Token-Counts": "300,40",
            "X-Model-Name": "m",
            "X-Prompt-Prefix": f"a1:80,{part}:9,{number:x}:5",
        }
        connection = self.system.send("POST", f"/plan/{number}", b"%d" % number, headers, node)
        try:
            answer = connection.getresponse()
            answer.read()
            return answer.status, True
        except http.client.HTTPException:
            return 200, False
        finally:
            connection.close()


@pytest.fixture(scope="module")
def system(tmp_path_factory):
    """Run a system of several entry hosts with a route to engines."""
    started = platformsystem.System(tmp_path_factory.mktemp("platform"), ENTRY_HOSTS)
    try:
        started.publish(platformsystem.manifest(7, ROUTES))
        yield started
    finally:
        started.close()


@pytest.fixture
def fleet(system):
    """Run one engine in each data centre."""
    started = Fleet(system, ENTRY_HOSTS)
    yield started
    started.close()


# Guards against engines that are crashed one after the other by prompts with one part in common.
def test_prompts_that_crash_engines_stop_reaching_them_and_similar_ones_do_not(system, fleet):
    callers = Callers(system)
    for _ in range(MAX_TRIES):
        if fleet.crash_count() >= CRASHES_BEFORE_BOUND:
            break
        callers.send(CRASHING_PART)
        fleet.replace_crashed()
        callers.send(SOUND_PART)
    time.sleep(STABLE_WINDOW_S)
    arrivals_before = len(fleet.arrivals)
    for _ in range(MAX_TRIES):
        callers.send(CRASHING_PART)
        fleet.replace_crashed()
        assert callers.send(SOUND_PART) == (200, True)
    assert len(fleet.arrivals) - arrivals_before <= MAX_LATER_ARRIVALS

    _restart(system)
    platformsystem.wait_for(
        lambda: callers.send(SOUND_PART, system.entries[0]) == (200, True), "the restarted host"
    )
    arrivals_before = len(fleet.arrivals)
    for node in system.entries:
        assert callers.send(CRASHING_PART, node) == (503, True)
        assert callers.send(SOUND_PART, node) == (200, True)
    assert len(fleet.arrivals) == arrivals_before


def _restart(system):
    """Kill all control hosts at once, then an entry host, and wait until all serve again."""
    for node in system.controls:
        node.process.send_signal(signal.SIGKILL)
    for node in system.controls:
        node.process.wait(timeout=platformsystem.WAIT_S)
    restarted = system.entries[0]
    restarted.stop(signal.SIGKILL)
    for node in [*system.controls, restarted]:
        node.start()
    platformsystem.wait_for(lambda: system.ready_status(restarted) == 200, "the new process")
