"""Entry hosts that lose their way to all backend servers while callers still reach them."""

import collections
import http.client
import itertools
import signal
import threading
import time

import pytest

import platformserver
import platformsystem

# Entry hosts stand in three data centres in turn, so the first and the fourth share one.
ENTRY_HOSTS = 4
CUT_HOSTS = (0, 3)
# The promise holds from this time after the cut.
STABLE_WINDOW_S = 4.0
COUNTED_S = 6.0
REQUESTS_PER_S = 24.0
REPORT_INTERVAL_S = 0.5
# The promise: hosts that are cut off serve first tries at least this share as often as the others,
# or fail at most this many of them and this share of all.
LEAST_SHARE = 2 / 3
MAX_FAILED, MAX_FAILED_SHARE = 10, 1 / 50
EVENTS = 4
ROUTES = [
    platformsystem.route("book", "/book/"),
    platformsystem.route("look", "/look/", "safe"),
    platformsystem.route("plan", "/plan/", "streaming", "plan", **{"timeout-ms": 6000}),
]
PLAN_HEADERS = {"X-Token-Counts": "300,40", "X-Model-Name": "m"}


class Servers:
    """Two servers of each service, in different data centres.

    Attributes:
        runs: Servers that ran each attempt.
        repeatable: Attempts that may run more than once.
    """

    def __init__(self, system):
        self.system = system
        self.runs = collections.defaultdict(list)
        self.repeatable = set()
        self.closed = threading.Event()
        self.servers = []
        for service in ("book", "plan"):
            for zone in list(platformsystem.ZONES)[:2]:
                server = platformserver.PlatformServer(f"{service}-{zone}", service, zone)
                server.script = self.stream if service == "plan" else self.answer
                self.servers.append(server)
                system.announce(server)
        threading.Thread(target=self.report_regularly, daemon=True).start()

    def report_regularly(self):
        """Report the servers to any control host, as they would themselves."""
        nodes = itertools.cycle(self.system.controls)
        while not self.closed.wait(REPORT_INTERVAL_S):
            for server in self.servers:
                path = f"/api/instances/{server.name}"
                self.system.call_control("PUT", path, server.next_report(), next(nodes))

    def answer(self, handler, received):
        attempt = received.headers["x-attempt-id"]
        self.runs[attempt].append(handler.server.owner.name)
        if received.path.startswith("/look/"):
            self.repeatable.add(attempt)
        handler.answer(200, attempt.encode())

    def stream(self, handler, received):
        self.runs[received.headers["x-attempt-id"]].append(handler.server.owner.name)
        handler.start_stream()
        for number in range(1, EVENTS + 1):
            handler.send_chunk(b"id: %d\ndata: token\n\n" % number)
            time.sleep(0.02)
        handler.send_chunk(b"")

    def close(self):
        self.closed.set()
        for server in self.servers:
            server.close()


class FirstTries:
    """Callers' first tries and whether they were served, by entry host.

    Attributes:
        numbers: Numbers of the attempts, over all instances.
        refused: Attempts that were answered as not run.
    """

    numbers = itertools.count(1)

    def __init__(self, system):
        self.system = system
        self.served = collections.Counter()
        self.failed = collections.Counter()
        self.refused = set()
        self.threads = []

    def send_for(self, duration_s, hosts=range(ENTRY_HOSTS)):
        """Send requests of all kinds at a steady rate through some entry hosts in turn."""
        end = time.monotonic() + duration_s
        turns = itertools.cycle(hosts)
        while time.monotonic() < end:
            thread = threading.Thread(target=self.send, args=(next(turns), next(self.numbers)))
            thread.start()
            self.threads.append(thread)
            time.sleep(1 / REQUESTS_PER_S)

    def join(self):
        for thread in self.threads:
            thread.join()
        self.threads.clear()

    def send(self, host, number):
        """Send one request, whose answer must be its own and whole to count as served."""
        attempt = f"partition-{number}"
        path, headers = (("/book/", {}), ("/look/", {}), ("/plan/", PLAN_HEADERS))[
            number // ENTRY_HOSTS % 3
        ]
        headers = {**headers, "X-Attempt-Id": attempt}
        try:
            answer = self.system.request(
                "POST", f"{path}{number}", b"x", headers, self.system.entries[host]
            )
        except (OSError, http.client.HTTPException):
            self.failed[host] += 1
            return
        if answer.status == 503:
            self.refused.add(attempt)
        whole = (
            answer.content.count(b"id:") == EVENTS
            if headers.keys() & PLAN_HEADERS
            else (answer.content == attempt.encode())
        )
        outcome = self.served if answer.status == 200 and whole else self.failed
        outcome[host] += 1

    def check(self, cut_hosts):
        """Check the promise for some hosts that are cut off."""
        served = sum(self.served[host] for host in cut_hosts)
        failed = sum(self.failed[host] for host in cut_hosts)
        others_served = sum(self.served.values()) - served
        others = others_served + sum(self.failed.values()) - failed
        share = served / (served + failed)
        all_tries = served + failed + others
        assert (
            share >= LEAST_SHARE * others_served / others
            or failed <= MAX_FAILED + MAX_FAILED_SHARE * all_tries
        ), f"served {served} of {served + failed}, the others {others_served} of {others}"


@pytest.fixture(scope="module")
def system(tmp_path_factory):
    """Run a system whose entry hosts can be cut off from the servers."""
    folder = tmp_path_factory.mktemp("platform")
    started = platformsystem.System(folder, ENTRY_HOSTS, partitionable=True)
    try:
        started.publish(platformsystem.manifest(7, ROUTES))
        yield started
    finally:
        started.close()


@pytest.fixture(scope="module")
def servers(system):
    started = Servers(system)
    yield started
    started.close()


@pytest.fixture
def cut(system):
    """Return a function that cuts hosts off; the cut heals after the test."""

    def begin(mode, hosts=CUT_HOSTS):
        for host in hosts:
            system.entries[host].partition(mode)

    yield begin
    begin("", range(ENTRY_HOSTS))


def check_runs(servers, tries):
    """Check that nothing that may not be repeated ran twice, and that what was refused did not."""
    once = servers.runs.keys() - servers.repeatable
    assert all(len(servers.runs[attempt]) == 1 for attempt in once)
    assert not tries.refused & servers.runs.keys()


# Guards against hosts that are cut off from all servers and serve nothing, as none of them asks
# another host to serve their callers.
@pytest.mark.parametrize("mode", ["hang", "reset", "refuse", "reset and refuse"])
def test_hosts_without_a_way_to_the_servers_serve_their_callers(system, servers, cut, mode):
    before = FirstTries(system)
    before.send_for(2.0)
    before.join()
    assert not before.failed
    cut(mode)
    unchecked = FirstTries(system)
    unchecked.send_for(STABLE_WINDOW_S)
    tries = FirstTries(system)
    tries.send_for(COUNTED_S)
    tries.join()
    unchecked.join()
    tries.check(CUT_HOSTS)
    assert not any(tries.failed[host] for host in range(ENTRY_HOSTS) if host not in CUT_HOSTS)
    check_runs(servers, tries)
    cut("")
    platformsystem.wait_for(lambda: _serves_directly(system), "the direct way to be used again")


# Guards against sound servers that are taken for crashed, and requests that are blamed for it, as a
# host that is cut off finds its connections reset and new ones refused.
def test_a_host_without_a_way_reports_no_crash(system, servers, cut):
    tries = FirstTries(system)
    for _ in range(3):
        tries.send_for(1.0)
        cut("reset and refuse")
        tries.send_for(2.0)
        cut("")
        tries.send_for(1.0)
    tries.join()
    crashes = [entry for node in system.entries for entry in node.events("server_crashed")]
    assert not crashes


# Guards against a host that starts anew while it is cut off, and control hosts that do, after
# which nobody knows who can serve its callers.
def test_hosts_without_a_way_serve_their_callers_after_restarts(system, servers, cut):
    cut("hang")
    FirstTries(system).send_for(STABLE_WINDOW_S)
    restarted = system.entries[CUT_HOSTS[0]]
    for node in [*system.controls, restarted]:
        node.process.send_signal(signal.SIGKILL)
        node.process.wait(timeout=platformsystem.WAIT_S)
    for node in [*system.controls, restarted]:
        node.start()
    platformsystem.wait_for(lambda: system.ready_status(restarted) == 200, "the new process")
    unchecked = FirstTries(system)
    unchecked.send_for(STABLE_WINDOW_S)
    tries = FirstTries(system)
    tries.send_for(COUNTED_S)
    tries.join()
    unchecked.join()
    tries.check(CUT_HOSTS)
    check_runs(servers, tries)


def _serves_directly(system):
    """Send to the hosts that were cut off and return whether no other host took part."""
    tries = FirstTries(system)
    first = f"partition-{next(tries.numbers)}"
    system.request("POST", "/book/0", b"x", {"X-Attempt-Id": first}, system.entries[CUT_HOSTS[0]])
    tries.send_for(1.0, CUT_HOSTS)
    tries.join()
    relayed_by = {
        entry["request"]: entry.get("relayed_by")
        for host in CUT_HOSTS
        for entry in system.entries[host].events("request")
    }
    return not tries.failed and relayed_by[first] == ""
