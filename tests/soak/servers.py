"""Stand-in servers behind loopback proxies that delay, reset or silence their connections."""

import contextlib
import random
import socket
import threading
import time

import platformserver
from soak import engines, fields, sums

EVENTS = 30
EVENT_INTERVAL_S = 0.05
READ_BYTES = 65536
SILENCE_POLL_S = 0.02
REPORT_INTERVAL_S = 0.4
MODES = ("pass", "delay", "reset", "silent", "one way")
# How long a server is at its limit of connections, and with which share of the spoilt answers.
AT_LIMIT_S = (0.3, 2.5)
AT_LIMIT_SHARE = 0.5
# Start of the ids of parts under which servers crash.
CRASHING_PART = "bad"
# The same of the paths of lookups.
CRASHING_LOOKUPS = "/look/bad"


class Proxy:
    """Forwards connections to a server.

    Attributes:
        mode: What happens to bytes that arrive: one of `MODES`.
        intact_from: From when connections count as intact, infinite while they are disturbed.
        closed: Whether it has been closed for good.
    """

    def __init__(self, target):
        self.target = target
        self.mode = "pass"
        self.intact_from = 0.0
        self.closed = False
        self.listen(0)
        self.address = f"127.0.0.1:{self.listener.getsockname()[1]}"

    def listen(self, port):
        self.listener = socket.create_server(("127.0.0.1", port))
        threading.Thread(target=self.accept, args=(self.listener,), daemon=True).start()

    def refuse(self):
        """Refuse further connections, as a server at its limit does, and keep the open ones."""
        end_at_once(self.listener)

    def accept_again(self):
        """Accept connections again, unless it does or was closed meanwhile."""
        if not self.closed and self.listener.fileno() == -1:
            self.listen(int(self.address.rpartition(":")[2]))

    def accept(self, listener):
        while True:
            try:
                caller, _ = listener.accept()
            except OSError:
                return
            threading.Thread(target=self.connect, args=(caller,), daemon=True).start()

    def connect(self, caller):
        host, port = self.target.split(":")
        try:
            server = socket.create_connection((host, int(port)))
        except OSError:
            caller.close()
            return
        for source, sink, forward in ((caller, server, True), (server, caller, False)):
            threading.Thread(target=self.pump, args=(source, sink, forward), daemon=True).start()

    def pump(self, source, sink, forward):
        """Copy one direction until it ends; `forward` is the one to the server."""
        try:
            while data := source.recv(READ_BYTES):
                if self.mode == "delay":
                    time.sleep(0.2)
                # As packets that are lost are sent again, a connection passes all bytes or none.
                while self.is_silent(forward):
                    time.sleep(SILENCE_POLL_S)
                if self.mode == "reset":
                    break
                sink.sendall(data)
        except OSError:
            pass
        for end in (source, sink):
            end_at_once(end)

    def disturb(self, mode):
        """Disturb the connections in one of `MODES`."""
        self.intact_from = float("inf")
        self.mode = mode

    def mend(self):
        """Pass all bytes on again."""
        self.mode = "pass"
        self.intact_from = time.monotonic() + sums.STABLE_WINDOW_S

    def is_silent(self, forward):
        """Return whether one direction passes nothing now; `forward` is the one to the server."""
        return self.mode == "silent" or (self.mode == "one way" and not forward)

    def close(self):
        self.closed = True
        end_at_once(self.listener)


def end_at_once(ended):
    """Close a socket; without a shutdown, another thread that waits at it would keep it open."""
    with contextlib.suppress(OSError):
        ended.shutdown(socket.SHUT_RDWR)
    ended.close()


class SoakServer(platformserver.PlatformServer):
    """Runs requests, records them, and fails some in the ways that servers do.

    Attributes:
        engines: The runs of all engines.
        drained_at: When a control host acknowledged that it drains or leaves, None before.
        has_left: Whether it reports no more.
        limit: Limit that it states, None for none.
        rejecting: Whether it rejects all requests.
    """

    def __init__(self, name, service, zone, runs, seed):
        super().__init__(name, service, zone)
        self.engines = runs
        self.ledger = runs.ledger
        self.random = random.Random(f"{seed} {name}")
        self.spoils = random.Random(f"{seed} {name} spoils")
        self.limits = random.Random(f"{seed} {name} limits")
        self.rejecting = False
        self.proxy = Proxy(self.address)
        self.address = self.proxy.address
        self.drained_at = None
        self.has_left = False
        self.limit = None
        self.script = self.stream if service == "plan" else self.answer_once

    def is_sound(self, at=None):
        """Return whether the server did not fail, nor its connections of late, by default now."""
        at = time.monotonic() if at is None else at
        return not self.crashed and at >= self.proxy.intact_from

    def come_to_limit(self):
        """Refuse further connections for a while."""
        self.proxy.refuse()
        timer = threading.Timer(self.limits.uniform(*AT_LIMIT_S), self.proxy.accept_again)
        timer.daemon = True
        timer.start()

    def receive(self, handler, received):
        """Record a request that arrives; return its id and the fields of its answer."""
        request = received.headers["x-attempt-id"]
        self.ledger.arrived(request, self)
        self.check_drained(received, 8.0)
        difference = fields.difference(handler.headers, "caller", request)
        if difference is not None:
            host = self.ledger.hosts[request]
            self.ledger.breach("header fields stay as they are", request, host, difference)
        return request

    def check_drained(self, received, margin_s):
        """Record a request that arrives although a control host acknowledged the drain long ago."""
        if self.drained_at is not None and time.monotonic() - self.drained_at > margin_s:
            request = received.headers["x-attempt-id"]
            self.ledger.breach("no work for a leaving server", request, "", self.name)

    def check_limit(self, request):
        """Count a request towards the limit that is stated, and return the fields that state it."""
        limit = self.limit
        if limit is None:
            return []
        # A connection that is disturbed may hold requests back and pass them on together.
        if self.proxy.mode == "pass" and self.ledger.is_in_touch(request):
            count = limit.count(self.ledger.hosts[request])
            if count:
                detail = f"{count} requests at {self.name}, which states {limit.per_s} a second"
                self.ledger.breach("limits of servers", request, self.ledger.hosts[request], detail)
        limit.first_stated_at = limit.first_stated_at or time.monotonic()
        return [("Server-Limit", str(limit.per_s))]

    def crash(self):
        """Refuse connections and close the open ones, also at the proxy."""
        self.engines.lose_copies(self)
        self.proxy.close()
        super().crash()

    def crash_under(self, request, crashing, cause):
        """Crash under a request, which must not come once enough servers have crashed."""
        if self.ledger.is_in_touch(request):
            count = crashing.count(cause)
            if count > sums.MAX_LATER_ARRIVALS:
                detail = f"{count} came after the bound, at {self.name}"
                host = self.ledger.hosts[request]
                self.ledger.breach("requests that crash servers stop", request, host, detail)
        crashing.record_crash(cause)
        self.crash()

    def answer_once(self, handler, received):
        request = self.receive(handler, received)
        if received.path.startswith(CRASHING_LOOKUPS):
            self.crash_under(request, self.ledger.crashing_lookups, received.path)
            return
        added = [*self.check_limit(request), *fields.draw("server", request)]
        fate = self.random.random()
        if fate < 0.04 or self.rejecting:
            handler.answer(503, b"", [("X-Not-Executed", "1"), *added])
            return
        self.ledger.ran(request, self.name, once=received.method == "POST")
        if fate < 0.07:
            handler.close_early()
        elif fate < 0.12:
            handler.answer(500, b"no", [("X-Response-Stamp", "s"), *added])
        else:
            stamp = ("X-Response-Stamp", f"stamp-{self.name}")
            handler.answer(200, request.encode(), [stamp, *added])
            if fate < 0.15:
                # A second copy of the answer, late.
                time.sleep(self.random.uniform(0.0, 0.2))
                handler.answer(200, request.encode(), {"X-Response-Stamp": "again"})

    def stream(self, handler, received):
        request = self.receive(handler, received)
        if "kv-from" in received.headers:
            run = self.engines.resume(self, received)
            if run is None:
                handler.answer(503, b"", {"X-Not-Executed": "1"})
            else:
                self.send_events(handler, run, False, fields.draw("server", request))
            return
        if self.rejecting:
            handler.answer(503, b"", {"X-Not-Executed": "1"})
            return
        added = [*self.check_limit(request), *fields.draw("server", request)]
        self.ledger.ran(request, self.name, once=True)
        part = received.headers["x-prompt-prefix"].split(",")[1]
        if part.startswith(CRASHING_PART):
            self.ledger.broke_off(request)
            handler.start_stream(headers=added)
            self.crash_under(request, self.ledger.crashing, part)
            return
        breaks_off = self.random.random() < 0.05
        self.send_events(handler, self.engines.begin(request, self), breaks_off, added)

    def send_events(self, handler, run, breaks_off, added):
        """Send the rest of a run's events, unless it is stopped or the answer fails."""
        spoilt = self.spoils.random() < engines.SPOILT_SHARE
        text = b"%s %s" % (run.request.encode(), run.origin.encode())
        try:
            handler.start_stream(headers=added)
            while run.event < EVENTS and not run.stopped.is_set():
                if breaks_off and run.event == EVENTS // 2:
                    self.ledger.broke_off(run.request)
                    handler.close_early()
                    return
                if spoilt and run.copied.is_set():
                    self.ledger.broke_off(run.request)
                    if self.limits.random() < AT_LIMIT_SHARE:
                        self.come_to_limit()
                    handler.wfile.write(b"these bytes are no part of an answer\r\n")
                    run.stopped.wait(engines.WORKS_ON_S)
                    handler.close_early()
                    return
                run.event += 1
                handler.send_chunk(b"id: %d\ndata: %s\n\n" % (run.event, text))
                time.sleep(EVENT_INTERVAL_S)
            if run.stopped.is_set():
                handler.close_early()
            else:
                handler.send_chunk(b"")
        finally:
            self.engines.end(run)

    def engine_report(self):
        self.runs = self.engines.at(self)
        return super().engine_report()

    def move(self, body):
        return self.engines.copy(self, body, self.spoils)

    def close(self):
        if not self.crashed:
            super().close()
            self.proxy.close()


class Reporter:
    """Reports servers to control hosts chosen at random, as servers do.

    Attributes:
        servers: Servers that report, and may be disturbed.
        others: Further servers that report.
        stopping: Set to end all reports.
    """

    def __init__(self, system, seed):
        self.system = system
        self.random = random.Random(f"{seed} reports")
        self.servers = []
        self.others = []
        self.stopping = threading.Event()
        self.thread = threading.Thread(target=self.run, daemon=True)
        self.thread.start()

    def run(self):
        while not self.stopping.wait(REPORT_INTERVAL_S):
            for server in [*self.servers, *self.others]:
                if not server.has_left:
                    self.report(server)

    def report(self, server):
        """Report a server's state to one control host; return whether it was acknowledged."""
        state = "ready" if server.drained_at is None else "draining"
        node = self.random.choice(self.system.controls)
        status, _ = self.system.call_control(
            "PUT", f"/api/instances/{server.name}", server.next_report(state), node
        )
        return status == 200

    def withdraw(self, server, meanwhile, leaves):
        """Report a server as draining, or send its leave, and call `meanwhile`, until acknowledged.

        Returns:
            The host that acknowledged it, None if the soak ended before.
        """
        report = None if leaves else server.next_report("draining")
        server.has_left = leaves
        while not self.stopping.is_set():
            node = self.random.choice(self.system.controls)
            path = f"/api/instances/{server.name}"
            method = "DELETE" if leaves else "PUT"
            if self.system.call_control(method, path, report, node)[0] == 200:
                server.drained_at = time.monotonic()
                return node
            meanwhile()
            time.sleep(0.2)
        return None
