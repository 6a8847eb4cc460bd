"""What callers, servers and operators saw, and the promises that it breaks."""

import collections
import threading
import time

from soak import sums

NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})


class Breach:
    """A broken promise, with what is needed to find its cause."""

    __slots__ = ("promise", "request", "host", "detail", "at_s")

    def __init__(self, promise, request, host, detail, at_s):
        self.promise = promise
        self.request = request
        self.host = host
        self.detail = detail
        self.at_s = at_s

    def report(self, folder):
        """Return the breach for the report, with the log to open first."""
        log = str(folder / self.host / "log") if self.host else ""
        return {**{name: getattr(self, name) for name in self.__slots__}, "log": log}


class Ledger:
    """Collects what was seen, from all threads.

    Attributes:
        runs: Names of the servers that ran each request, in order.
        arrivals: Servers that each request reached, in order.
        broken_off: Requests whose server broke off an answer that it had begun.
        hosts: Name of the entry host that each request was sent to.
        disturbances: Which hosts are in touch.
        crashing: Generations that crash servers, by a part that they share.
        crashing_lookups: Lookups that do, by path.
        budgets: Requests for each service, and their repeats.
        outcomes: Number of requests by kind and outcome.
        breaches: Broken promises.
    """

    def __init__(self):
        self.lock = threading.Lock()
        self.started_at = time.monotonic()
        self.runs = collections.defaultdict(list)
        self.arrivals = collections.defaultdict(list)
        self.broken_off = set()
        self.once = set()
        self.refused = {}
        self.hosts = {}
        self.disturbances = sums.Disturbances()
        self.crashing = sums.CrashingRequests(sums.CRASHES_UNDER_PART)
        self.crashing_lookups = sums.CrashingRequests(sums.CRASHES_UNDER_LOOKUP)
        self.budgets = collections.defaultdict(sums.RetryBudget)
        self.outcomes = collections.Counter()
        self.breaches = []

    def now(self):
        """Return the seconds since the start."""
        return time.monotonic() - self.started_at

    def ran(self, request, server, once):
        """Record that a server ran a request, which must not happen twice if `once` is true."""
        with self.lock:
            self.runs[request].append(server)
            twice = once and len(self.runs[request]) > 1
        if twice:
            self.breach("at most once", request, "", f"ran at {self.runs[request]}")

    def arrived(self, request, server):
        """Record that a request reached a server, whether or not the server runs it."""
        with self.lock:
            repeat = bool(self.arrivals[request])
            self.arrivals[request].append(server)
        # A connection that is disturbed may hold requests back and pass them on together.
        if repeat and server.is_sound():
            self.budgets[server.service].repeats.append(time.monotonic())

    def sent(self, service):
        """Record that a caller sends a request for a service."""
        self.budgets[service].requests.append(time.monotonic())

    def check_budgets(self):
        """Check that repeats stayed within the shared budget; at the end of a soak."""
        for service, budget in self.budgets.items():
            over = budget.most_over()
            if over > 0:
                self.breach("the budget of repeats", "", "", f"{over:.0f} over at {service}")

    def broke_off(self, request):
        """Record that a server breaks off an answer that it has begun."""
        with self.lock:
            self.broken_off.add(request)

    def is_owed_answer(self, request, node, calm, at, entries):
        """Return whether a request that a host has passed on is owed a complete answer.

        Args:
            request: Id of the request.
            node: The host that its caller sent it to.
            calm: True if nothing was disturbed; otherwise the hosts that it passed must have been
                without a fault, and the servers and their connections sound.
            at: When its answer broke off, monotonic seconds.
            entries: All entry hosts.
        """
        reached = self.arrivals.get(request)
        if not reached or request in self.broken_off:
            return False
        return calm or (
            self.disturbances.has_no_fault(node.name, at)
            and all(server.is_sound(at) for server in reached)
            and all(
                self.disturbances.has_no_fault(name, at) for name in relays(request, node, entries)
            )
        )

    def is_in_touch(self, request):
        """Return whether the host of a request is in touch."""
        return self.disturbances.is_in_touch(self.hosts[request])

    def was_refused(self, request, host, status):
        """Record that a caller was told that its request did not run and never will."""
        with self.lock:
            self.refused[request] = (host, status)

    def count(self, kind, outcome):
        """Count a request by its outcome."""
        with self.lock:
            self.outcomes[f"{kind}: {outcome}"] += 1

    def breach(self, promise, request, host, detail):
        """Record a broken promise."""
        with self.lock:
            self.breaches.append(Breach(promise, request, host, detail, round(self.now(), 2)))

    def check_refusals(self):
        """Check that no request that was refused as not run has run; at the end of a soak."""
        for request, (host, status) in self.refused.items():
            if self.runs.get(request):
                self.breach("not run", request, host, f"{status}, ran at {self.runs[request]}")

    def served(self):
        """Return the number of requests answered with success."""
        return sum(count for name, count in self.outcomes.items() if name.endswith(": 200"))


def relays(request, node, entries):
    """Return the names of other hosts that sent a request to servers, as they have been logged.

    The host that was asked may have left out the line of the request, among those of a flood. Only
    then do the hosts count that chose a server for it, as some of them may have sent nothing.
    """
    logged = [entry for entry in node.events("request") if entry["request"] == request]
    if logged:
        return {entry["relayed_by"] for entry in logged if entry["relayed_by"]}
    return {
        other.name
        for other in entries
        if any(entry["request"] == request for entry in other.events("server_chosen"))
    } - {node.name}
