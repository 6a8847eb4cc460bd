"""What servers say of themselves in their answers, over real processes."""

import collections
import itertools
import threading
import time

import pytest

import platformserver
import platformsystem

ENTRY_HOSTS = 3
# After a host has passed on an answer that says that its server leaves, this much time may pass.
DRAIN_S = 2.5
# The same after a server has asked for a pause.
PAUSE_NOTICE_S = 0.5
PAUSE_S = 3.0
MAX_IN_PAUSE = 2
REQUESTS_PER_S = 20.0
REPORT_INTERVAL_S = 0.5
# Rejections a second that a brittle server bears, what it runs at once, and how long one takes.
BORNE, SLOTS, WORK_S = 3, 4, 0.1
# Falls allowed in one time in which servers are brittle: two, and a tenth of their number.
MAX_FALLS = 2
BACK_S = 2.0
PLAN_HEADERS = {"X-Token-Counts": "300,40", "X-Model-Name": "m"}
ROUTES = [
    platformsystem.route("book", "/book/"),
    platformsystem.route("look", "/look/", "safe"),
    platformsystem.route("plan", "/plan/", "streaming", "plan"),
]
PATHS = [("/book/", {}), ("/look/", {}), ("/plan/", PLAN_HEADERS)]


class Servers:
    """Servers of a service that report regularly; the first one follows a script of the test.

    Attributes:
        arrivals: Time and caller's host of each request that the first server got.
        notice: Adds to the answer of the first server: returns its status and headers.
    """

    numbers = itertools.count(1)

    def __init__(self, system, service, count=2):
        self.system = system
        self.service = service
        self.arrivals = []
        self.notice = lambda: (200, {})
        self.closed = threading.Event()
        self.servers = [self.start() for _ in range(count)]
        self.servers[0].script = self.answer
        threading.Thread(target=self.report_regularly, daemon=True).start()

    def start(self):
        # In one data centre, so that all hosts choose among all servers.
        name = f"n-{next(self.numbers)}"
        server = platformserver.PlatformServer(name, self.service, "puget-a")
        server.script = _answer_any
        self.system.announce(server)
        return server

    def report_regularly(self):
        while not self.closed.wait(REPORT_INTERVAL_S):
            for server in list(self.servers):
                if not server.crashed:
                    path = f"/api/instances/{server.name}"
                    self.system.call_control("PUT", path, server.next_report())

    def answer(self, handler, received):
        self.arrivals.append((time.monotonic(), received.headers["host-of-caller"]))
        status, headers = self.notice()
        if status == 200 and "x-token-counts" in received.headers:
            handler.start_stream(headers=headers)
            handler.send_chunk(b"id: 1\ndata: token\n\n")
            handler.send_chunk(b"")
            return
        handler.answer(status, b"x", headers)

    def close(self):
        self.closed.set()
        for server in self.servers:
            self.system.call_control("DELETE", f"/api/instances/{server.name}")
            if not server.crashed:
                server.close()


def _answer_any(handler, received):
    if "x-token-counts" in received.headers:
        handler.start_stream()
        handler.send_chunk(b"id: 1\ndata: token\n\n")
        handler.send_chunk(b"")
    else:
        handler.answer(200, b"x")


@pytest.fixture(scope="module")
def system(tmp_path_factory):
    started = platformsystem.System(tmp_path_factory.mktemp("platform"), ENTRY_HOSTS)
    try:
        started.publish(platformsystem.manifest(7, ROUTES))
        yield started
    finally:
        started.close()


@pytest.fixture
def start_servers(system):
    started = []

    def start(path, count=2):
        servers = Servers(system, "plan" if path == "/plan/" else "book", count)
        started.append(servers)
        return servers

    yield start
    for servers in started:
        servers.close()


def send_for(system, duration_s, path, headers, rate=REQUESTS_PER_S):
    """Send requests through all hosts in turn; return how many had each status."""
    statuses = collections.Counter()
    threads = []
    end = time.monotonic() + duration_s

    def send(node):
        fields = {**headers, "Host-Of-Caller": node.name}
        try:
            answer = system.request("POST", f"{path}{time.monotonic()}", b"x", fields, node)
            statuses[answer.status] += 1
        except OSError:
            statuses["lost"] += 1

    while time.monotonic() < end:
        threads.append(threading.Thread(target=send, args=(next(system.entry_turns),)))
        threads[-1].start()
        time.sleep(1 / rate)
    for thread in threads:
        thread.join()
    return statuses


# Guards against new requests to a server whose answers say that it leaves, before its report does.
@pytest.mark.parametrize(("path", "headers"), PATHS)
def test_a_server_that_says_it_leaves_gets_nothing_new(system, start_servers, path, headers):
    servers = start_servers(path)
    servers.notice = lambda: (200, {"Server-Leaving": "1"})
    statuses = send_for(system, 5.0, path, headers)
    assert set(statuses) == {200}
    told_at = {}
    for at, host in servers.arrivals:
        told_at.setdefault(host, at)
    assert set(told_at) == {node.name for node in system.entries}
    assert all(at < told_at[host] + DRAIN_S for at, host in servers.arrivals)


# Guards against requests to a server that has asked a host for a pause.
@pytest.mark.parametrize(("path", "headers"), PATHS)
def test_a_server_that_asks_for_a_pause_gets_one(system, start_servers, path, headers):
    servers = start_servers(path)
    servers.notice = lambda: (503, {"X-Not-Executed": "1", "Retry-After": str(PAUSE_S)})
    statuses = send_for(system, 6.0, path, headers)
    assert set(statuses) == {200}
    hosts = {host for _, host in servers.arrivals}
    assert hosts == {node.name for node in system.entries}
    for host in hosts:
        times = [at for at, caller in servers.arrivals if caller == host]
        for told_at in times:
            late = [at for at in times if PAUSE_NOTICE_S < at - told_at < PAUSE_S]
            assert len(late) <= MAX_IN_PAUSE
    # Once the pause is over, it is asked again.
    assert max(at for at, _ in servers.arrivals) - servers.arrivals[0][0] > PAUSE_S


# Guards against callers that are told to come back sooner than the only server wants them.
def test_callers_are_told_when_the_only_server_wants_requests_again(system, start_servers):
    servers = start_servers("/book/", 1)
    servers.notice = lambda: (503, {"X-Not-Executed": "1", "Retry-After": str(PAUSE_S)})
    node = system.entries[0]
    headers = {"Host-Of-Caller": node.name}
    for _ in range(3):
        answer = system.request("POST", "/book/1", b"x", headers, node)
        assert answer.status == 503
        assert PAUSE_S - 0.5 < float(answer.headers["retry-after"]) <= PAUSE_S
    assert len(servers.arrivals) == 1


class BrittleService:
    """Servers that fall over when they have to reject too many requests in a second.

    Attributes:
        slots: Requests that each runs at once.
        falls: How often one fell over.
    """

    def __init__(self, servers, slots):
        self.servers = servers
        self.slots = slots
        self.falls = 0
        self.lock = threading.Lock()
        self.running = collections.Counter()
        self.rejected = collections.defaultdict(list)
        for server in servers.servers:
            server.slots = slots
            server.script = self.answer

    def answer(self, handler, received):
        server = handler.server.owner
        headers = {"Server-Brittle": str(BORNE)}
        with self.lock:
            if self.running[server.name] >= self.slots:
                now = time.monotonic()
                recent = [at for at in self.rejected[server.name] if at > now - 1.0] + [now]
                self.rejected[server.name] = recent
                if len(recent) > BORNE and not server.crashed:
                    self.falls += 1
                    server.crash()
                    threading.Timer(BACK_S, self.replace, (server,)).start()
                    return
                status = 503
            else:
                self.running[server.name] += 1
                status = 200
        if status == 503:
            handler.answer(503, b"", {**headers, "X-Not-Executed": "1"})
            return
        time.sleep(WORK_S)
        with self.lock:
            self.running[server.name] -= 1
        handler.answer(200, b"x", headers)

    def replace(self, server):
        if self.servers.closed.is_set():
            return
        fresh = self.servers.start()
        fresh.slots = self.slots
        fresh.script = self.answer
        self.servers.servers.append(fresh)


# Guards against brittle servers that fall over one after the other, as hosts go on sending them
# what they have to reject.
@pytest.mark.parametrize(
    ("path", "count", "slots"),
    [("/book/", 3, SLOTS), ("/look/", 3, SLOTS), ("/book/", 6, ENTRY_HOSTS - 1)],
)
def test_brittle_servers_do_not_fall_over_one_after_the_other(
    system, start_servers, path, count, slots
):
    service = BrittleService(start_servers(path, count), slots)
    send_for(system, 4.0, path, {}, rate=40.0)
    service.falls = 0
    statuses = send_for(system, 8.0, path, {}, rate=150.0)
    assert service.falls <= MAX_FALLS
    # The servers run 120 requests a second at most.
    assert statuses[200] > 0.4 * 8.0 * count * slots / WORK_S
    calm = send_for(system, 4.0, path, {}, rate=40.0)
    assert calm[200] >= 0.9 * sum(calm.values())
