"""Limits that backend servers state, over all entry hosts of a system."""

import collections
import itertools
import signal
import threading
import time

import pytest

import platformserver
import platformsystem

ENTRY_HOSTS = 3
# The promise holds from this time after a server first stated its limit.
STABLE_WINDOW_S = 4.0
WINDOW_S = 4.0
LIMIT_PER_S = 2.0
MAX_IN_WINDOW = 1.5 * LIMIT_PER_S * WINDOW_S + 5
REQUESTS_PER_S = 15.0
REPORT_INTERVAL_S = 1.0
PLAN_HEADERS = {"X-Token-Counts": "300,40", "X-Model-Name": "m"}
# Longest time in which a request that no server takes is refused.
MAX_REFUSAL_S = 1.0
ROUTES = [
    platformsystem.route("book", "/book/"),
    platformsystem.route("plan", "/plan/", "streaming", "plan"),
]


class Servers:
    """The servers of a service, of which the first may state a limit.

    Attributes:
        limit: What the first server states; None for nothing.
        arrivals: Times at which the first server got requests, monotonic seconds.
        first_stated_at: When it first stated a limit.
    """

    def __init__(self, system, service, count):
        self.system = system
        self.limit = None
        self.arrivals = []
        self.first_stated_at = None
        self.closed = threading.Event()
        self.servers = [
            platformserver.PlatformServer(f"{service}-{number}", service, zone)
            for number, zone in zip(range(count), platformsystem.ZONES, strict=False)
        ]
        self.servers[0].script = self.answer
        for server in self.servers:
            system.announce(server)
        threading.Thread(target=self.report_regularly, daemon=True).start()

    def report_regularly(self):
        """Report the servers to the first control host that takes it, as they would themselves."""
        while not self.closed.wait(REPORT_INTERVAL_S):
            for server in self.servers:
                path = f"/api/instances/{server.name}"
                self.system.call_control("PUT", path, server.next_report())

    def answer(self, handler, received):
        now = time.monotonic()
        self.arrivals.append(now)
        headers = {}
        if self.limit is not None:
            self.first_stated_at = self.first_stated_at or now
            headers["Server-Limit"] = str(self.limit)
        handler.answer(200, b"the answer", headers)

    def most_in_window(self, since):
        """Return the most requests that the first server got in any window."""
        times = [at for at in self.arrivals if at >= since]
        return max(
            (sum(start <= at < start + WINDOW_S for at in times) for start in times), default=0
        )

    def close(self):
        self.closed.set()
        for server in self.servers:
            server.close()


@pytest.fixture(scope="module")
def system(tmp_path_factory):
    """Run a system of several entry hosts with a route to each service."""
    started = platformsystem.System(tmp_path_factory.mktemp("platform"), ENTRY_HOSTS)
    try:
        started.publish(platformsystem.manifest(7, ROUTES))
        yield started
    finally:
        started.close()


@pytest.fixture
def servers(system):
    started = Servers(system, "book", 2)
    yield started
    started.close()


@pytest.fixture
def engine(system):
    """Run the only server of the service for generations."""
    started = Servers(system, "plan", 1)
    yield started
    started.close()


def send_requests(system, duration_s, statuses, path="/book/", headers=None, refusal_times=None):
    """Send requests at a steady rate through all entry hosts and count their statuses.

    The times that refusals took are appended to `refusal_times`.
    """
    end = time.monotonic() + duration_s
    threads = []
    for number in itertools.count(1):
        if time.monotonic() > end:
            break
        node = system.entries[number % ENTRY_HOSTS]

        def send(node=node, number=number):
            began = time.monotonic()
            try:
                answer = system.request("POST", f"{path}{number}", headers=headers, node=node)
            except OSError:
                statuses["gone"] += 1
                return
            statuses[answer.status] += 1
            if answer.status == 503 and refusal_times is not None:
                refusal_times.append(time.monotonic() - began)

        threads.append(threading.Thread(target=send))
        threads[-1].start()
        time.sleep(1 / REQUESTS_PER_S)
    for thread in threads:
        thread.join()


# Guards against a server that states a limit and gets more, as each entry host sees only its part.
def test_a_server_gets_no_more_than_it_states_from_all_hosts_together(system, servers):
    statuses = collections.Counter()
    send_requests(system, 2.0, statuses)
    assert servers.arrivals
    servers.limit = LIMIT_PER_S
    send_requests(system, STABLE_WINDOW_S + 2 * WINDOW_S, statuses)
    bound_from = servers.first_stated_at + STABLE_WINDOW_S
    assert servers.most_in_window(bound_from) <= MAX_IN_WINDOW
    assert set(statuses) == {200}

    restarted = system.entries[0]
    for node in [*system.controls, restarted]:
        node.process.send_signal(signal.SIGKILL)
        node.process.wait(timeout=platformsystem.WAIT_S)
    for node in [*system.controls, restarted]:
        node.start()
    statuses.clear()
    send_requests(system, 2 * WINDOW_S, statuses)
    assert servers.most_in_window(bound_from) <= MAX_IN_WINDOW
    platformsystem.wait_for(lambda: system.ready_status(restarted) == 200, "the new process")

    servers.limit = None
    platformsystem.wait_for(lambda: _takes_most(system, servers), "the limit to be lifted")


# Guards against generations that are sent beyond a limit, and callers that wait for what no server
# takes.
def test_generations_keep_to_a_limit_and_those_beyond_it_are_refused_at_once(system, engine):
    statuses = collections.Counter()
    refusal_times = []
    engine.limit = LIMIT_PER_S
    send_requests(
        system,
        STABLE_WINDOW_S + 2 * WINDOW_S,
        statuses,
        "/plan/",
        PLAN_HEADERS,
        refusal_times,
    )
    assert engine.most_in_window(engine.first_stated_at + STABLE_WINDOW_S) <= MAX_IN_WINDOW
    # What the server takes, it gets: most of its limit.
    assert len(engine.arrivals) >= 0.5 * LIMIT_PER_S * (STABLE_WINDOW_S + 2 * WINDOW_S)
    assert set(statuses) == {200, 503}
    assert statuses[200] == len(engine.arrivals)
    assert max(refusal_times) < MAX_REFUSAL_S
    refused = [
        entry["outcome"]
        for node in system.entries
        for entry in node.events("request")
        if entry["outcome"].startswith("refused") and entry.get("service") == "plan"
    ]
    assert {outcome.partition(" (")[0] for outcome in refused} == {
        "refused: servers are at their limits"
    }


def _takes_most(system, servers):
    """Send for a second and return whether the first server got more than its old limit."""
    count_before = len(servers.arrivals)
    send_requests(system, 1.0, collections.Counter())
    return len(servers.arrivals) - count_before > 2 * LIMIT_PER_S
