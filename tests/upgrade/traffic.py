"""Servers, callers and an operator during a replacement, and what they saw."""

import collections
import contextlib
import http.client
import itertools
import json
import threading
import time

import platformserver
import platformsystem

REQUESTS_PER_S = 20.0
REPORT_INTERVAL_S = 0.5
CHANGE_INTERVAL_S = 0.4
# The bound on the acknowledgement of a change.
ACK_S = 5.0
RETRY_PAUSE_S = 0.05
EVENTS = 4
EVENT = b"id: %d\ndata: token\n\n"
CRASHING_BODY = b"crash"
NOTE_HEADER = "X-Note"
LARGE_ROUTES, LARGE_CUSTOMERS = 300, 200
PLAN_HEADERS = {"X-Token-Counts": "300,40", "X-Model-Name": "m"}
ROUTES = [
    platformsystem.route("book", "/book/"),
    platformsystem.route("look", "/look/", "safe"),
    platformsystem.route("plan", "/plan/", "streaming", "plan", **{"timeout-ms": 8000}),
]


def manifest(version, large=False):
    """Return a manifest, a large one with many routes and customers besides."""
    if not large:
        return platformsystem.manifest(version, ROUTES)
    more = [platformsystem.route(f"r-{n}", f"/more-{n}/", "safe") for n in range(LARGE_ROUTES)]
    content = platformsystem.manifest(version, ROUTES + more)
    content["tenants"] += [
        {"name": f"c-{n}", "api-keys": [f"key-c-{n}"], "priority": 1}
        for n in range(LARGE_CUSTOMERS)
    ]
    return content


class Servers:
    """Servers of both services that report regularly; a request may crash them.

    Attributes:
        arrivals: Times at which the crashing request reached one.
        runs: How often each request that may not be repeated ran.
        limit: What one server states as its limit, requests per second; None for nothing.
        event_pause_s: Pause before each event of a stream.
        note: Header value of answers to lookups, None for no such header.
        full_strength: How many servers there were before any crashed.
    """

    numbers = itertools.count(1)

    def __init__(self, system, limit=None, event_pause_s=0.0, note=None):
        self.system = system
        self.note = note
        self.limit = limit
        self.event_pause_s = event_pause_s
        self.arrivals = []
        self.runs = collections.Counter()
        self.closed = threading.Event()
        self.running = []
        for service in ("book", "plan") * 4:
            system.announce(self.add(service))
        self.full_strength = len(self.running)
        self.limited = self.running[0]
        self.reporting = threading.Thread(target=self.report_regularly, daemon=True)
        self.reporting.start()

    def add(self, service):
        """Start a server, which `report_regularly` announces, and return it."""
        zone = list(platformsystem.ZONES)[len(self.running) % len(platformsystem.ZONES)]
        server = platformserver.PlatformServer(f"u-{next(self.numbers)}", service, zone)
        server.script = self.answer
        self.running.append(server)
        return server

    def replace_crashed(self):
        """Start a server for each that crashed, and return the last one, None if none crashed.

        A lookup may crash as many servers as it has attempts.
        """
        added = None
        while len(self.running) < self.full_strength:
            added = self.add("book")
        return added

    def report_regularly(self):
        nodes = itertools.cycle(self.system.controls)
        while not self.closed.wait(REPORT_INTERVAL_S):
            for server in list(self.running):
                path = f"/api/instances/{server.name}"
                self.system.call_control("PUT", path, server.next_report(), next(nodes))

    def answer(self, handler, received):
        server = handler.server.owner
        if received.body == CRASHING_BODY:
            self.arrivals.append(time.monotonic())
            self.running.remove(server)
            server.crash()
        elif received.path.startswith("/plan/"):
            self.stream(handler)
        else:
            if received.path.startswith("/book/"):
                self.runs[received.headers["x-attempt-id"]] += 1
            stated = self.limit is not None and server is self.limited
            headers = {"Server-Limit": str(self.limit)} if stated else {}
            if self.note is not None and received.path.startswith("/look/"):
                headers[NOTE_HEADER] = self.note
            handler.answer(200, received.headers["x-attempt-id"].encode(), headers)

    def stream(self, handler):
        handler.start_stream()
        for number in range(1, EVENTS + 1):
            time.sleep(self.event_pause_s)
            handler.send_chunk(EVENT % number)
        handler.send_chunk(b"")

    def close(self):
        self.closed.set()
        self.reporting.join()
        for server in self.running:
            server.close()


class Callers:
    """Sends all kinds of requests through the entry hosts that are ready.

    Attributes:
        ready: Entry hosts that the balancer sends requests to.
        killed_at: When each host was killed last, monotonic seconds.
        note: Header value of lookups, None for no such header.
        apart: A host whose requests are counted for themselves, or None.
        outcomes: How often each status came, "lost" without an answer, "killed" if its host was
            killed meanwhile.
        outcomes_apart: The same for the host `apart`, by build.
        unsent: Requests by host that have a host but were not sent yet.
        times: Seconds until each answer was whole.
        refused: Attempts that were told that they have not run.
        reasons: Why requests were not served, by build, status and text.
        failures: What was lost or wrong.
    """

    numbers = itertools.count(1)

    def __init__(self, system, failures, apart=None, per_s=REQUESTS_PER_S, note=None):
        self.system = system
        self.note = note
        self.per_s = per_s
        self.ready = list(system.entries)
        self.killed_at = {}
        self.apart = apart
        self.outcomes = collections.Counter()
        self.outcomes_apart = collections.Counter()
        self.times = []
        self.refused = set()
        self.reasons = collections.Counter()
        self.failures = failures
        self.stopped = threading.Event()
        self.lock = threading.Lock()
        self.unsent = collections.Counter()
        self.thread = threading.Thread(target=self.run)

    def run(self):
        threads = []
        while not self.stopped.wait(1 / self.per_s):
            number = next(self.numbers)
            ready = self.ready
            node = ready[number % len(ready)]
            with self.lock:
                self.unsent[node] += 1
            threads.append(threading.Thread(target=self.send, args=(number, node)))
            threads[-1].start()
        for thread in threads:
            thread.join()

    def send(self, number, node):
        attempt = f"upgrade-{number}"
        # Not by the number modulo the kinds: the hosts are taken in turn, too.
        kind = number // len(self.system.entries) % 3
        path, headers = (("/book/", {}), ("/look/", {}), ("/plan/", PLAN_HEADERS))[kind]
        headers = {**headers, "X-Attempt-Id": attempt, "X-Deadline-Ms": "7000"}
        if self.note is not None and path == "/look/":
            headers[NOTE_HEADER] = self.note
        expected = attempt.encode()
        if path == "/plan/":
            expected = b"".join(EVENT % number for number in range(1, EVENTS + 1))
        build = node.program
        started_at = time.monotonic()
        try:
            answer = self.exchange(f"{path}{number}", headers, node)
        except (OSError, http.client.HTTPException) as error:
            if self.killed_at.get(node, 0.0) >= started_at:
                self.outcomes["killed"] += 1
                return
            self.outcomes["lost"] += 1
            self.reasons[build, 0, repr(error)] += 1
            self.failures.append(f"lost: {path}{number} at {node.name}, {error!r}")
            return
        self.times.append(time.monotonic() - started_at)
        if node is self.apart:
            self.outcomes_apart[build, answer.status] += 1
        else:
            self.outcomes[answer.status] += 1
        if answer.status != 200:
            self.reasons[build, answer.status, answer.content[:100].decode("latin-1")] += 1
        if answer.status == 503:
            self.refused.add(attempt)
        wrong_note = NOTE_HEADER in headers and answer.getheader(NOTE_HEADER) != self.note
        if answer.status == 200 and (answer.content != expected or wrong_note):
            self.failures.append(f"wrong body: {path}{number} at {node.name}, {answer.content!r}")

    def exchange(self, path, headers, node):
        """Send a request and return the answer with its body in `content`."""
        try:
            connection = self.system.send("POST", path, b"x", headers, node)
        finally:
            with self.lock:
                self.unsent[node] -= 1
        with contextlib.closing(connection):
            answer = connection.getresponse()
            answer.content = answer.read()
            return answer


class Operator:
    """Sends changes to any control host until each is acknowledged, and reads them back.

    Attributes:
        large: Whether the next change is a large one.
        contents: Every manifest that was sent, by version.
        latest: The version that was acknowledged last.
        times: Seconds until each acknowledgement.
    """

    def __init__(self, system, failures):
        self.system = system
        self.failures = failures
        self.large = False
        self.contents = {1: manifest(1)}
        self.latest = 1
        self.times = []
        self.stopped = threading.Event()
        self.thread = threading.Thread(target=self.run)

    def run(self):
        nodes = itertools.cycle(self.system.controls)
        while not self.stopped.wait(CHANGE_INTERVAL_S):
            self.change(nodes)
            self.read_back(next(nodes))

    def change(self, nodes):
        version = self.latest + 1
        content = self.contents[version] = manifest(version, self.large)
        started_at = time.monotonic()
        while self.system.call_control("PUT", "/api/config", content, next(nodes))[0] != 200:
            if self.stopped.is_set() and time.monotonic() - started_at >= ACK_S:
                self.failures.append(f"change {version} was not acknowledged")
                return
            time.sleep(RETRY_PAUSE_S)
        self.times.append(time.monotonic() - started_at)
        self.latest = version
        if self.times[-1] >= ACK_S:
            self.failures.append(f"change {version} took {self.times[-1]:.1f} s")

    def read_back(self, node):
        """Read the routing at a control host; return whether it answered."""
        acknowledged = self.latest
        status, body = self.system.call_control("GET", "/api/config", node=node)
        if status != 200:
            return False
        content = json.loads(body)
        if content["version"] < acknowledged or content != self.contents[content["version"]]:
            self.failures.append(
                f"read {content['version']} at {node.name} after {acknowledged} was acknowledged"
            )
        return True
