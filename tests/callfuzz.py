"""Callers that book and resend while hosts fail, and an oracle that checks the results."""

import collections
import concurrent.futures as futures
import random
import re
import threading
import time

import msgspec

from callload import BEARER, new_key
from cluster import Cluster, example, request, start_fleet, start_stand_in, wait_for

BOOKING_PATH = "/v1/services/rota/calls/slots"
CALLERS = 6
CHECK_THREADS = 8
RESEND_PROBABILITY = 0.5
RECENT_BOOKINGS = 12
CALLER_TIMEOUT_S = 8.0
LONG_FREEZE_S = 4.5
SHORT_FREEZE_S = 1.0
RECOVERY_TIMEOUT_S = 40.0
ANSWERED, NOT_RUN, RUNNING, UNKNOWN, NO_ANSWER = (
    "answered",
    "not run",
    "running",
    "unknown",
    "silent",
)


class AttemptResult(msgspec.Struct):
    """What one attempt at a booking returned.

    Attributes:
        kind: ``ANSWERED``, ``NOT_RUN``, ``RUNNING``, ``UNKNOWN`` or ``NO_ANSWER``.
    """

    host: str
    kind: str
    body: bytes = b""


class Booking:
    """A booking with its key and the results of all attempts.

    Attributes:
        delay_s: Time that the service waits before it answers.
    """

    def __init__(self, number):
        self.slot = f"slot-{number}"
        self.key = new_key()
        self.delay_s = 0.0
        self.results = []


class CallFuzz:
    """A cluster with injected faults, callers and the oracle.

    Attributes:
        faults: Number of injected faults by name.
        pending_faults: Faults still to be injected of the current shuffled round.
    """

    def __init__(self, folder, seed):
        self.cluster = Cluster(folder).start()
        self.random = random.Random(seed)
        self.bookings = []
        self.lock = threading.Lock()
        self.stopped = threading.Event()
        self.faults = collections.Counter()
        self.pending_faults = []

    def start(self):
        self.cluster.wait_for_leader()
        assert self.cluster.apply(example("cooperative")).status == 200
        self.plain_services = start_fleet(self.cluster, 0, 3)
        return self

    def close(self):
        self.stopped.set()
        for process in self.cluster.processes():
            if process.running():
                process.thaw()
        self.cluster.close()

    # -- callers ---------------------------------------------------------------------------

    def run(self, seconds):
        callers = [
            threading.Thread(
                target=self._call_repeatedly, args=(self.random.random(),), daemon=True
            )
            for _ in range(CALLERS)
        ]
        for caller in callers:
            caller.start()
        deadline = time.monotonic() + seconds
        while time.monotonic() < deadline:
            self._inject_fault()
        self.stopped.set()
        for caller in callers:
            caller.join(CALLER_TIMEOUT_S + 2.0)
        return self

    def _call_repeatedly(self, seed):
        rng = random.Random(seed)
        while not self.stopped.is_set():
            booking = (
                self._recent_booking(rng)
                if rng.random() < RESEND_PROBABILITY
                else self._new_booking()
            )
            booking.delay_s = booking.delay_s or rng.choice([0.001, 0.05, 0.5, 1.5])
            hosts = rng.sample(self.cluster.entries, rng.choice([1, 1, 2]))
            threads = [
                threading.Thread(target=self.attempt, args=(booking, host)) for host in hosts
            ]
            for thread in threads:
                thread.start()
            for thread in threads:
                thread.join()

    def _new_booking(self):
        with self.lock:
            self.bookings.append(Booking(len(self.bookings)))
            return self.bookings[-1]

    def _recent_booking(self, rng):
        with self.lock:
            recent = self.bookings[-RECENT_BOOKINGS:]
        return rng.choice(recent) if recent else self._new_booking()

    def attempt(self, booking, host):
        result = AttemptResult(host.name, *self._send(booking, host))
        with self.lock:
            booking.results.append(result)
        return result

    def _send(self, booking, host):
        body = msgspec.json.encode({"slot": booking.slot, "delay_s": booking.delay_s})
        headers = [*BEARER, ("idempotency-key", booking.key)]
        try:
            answer = request(host.http, "POST", BOOKING_PATH, headers, body, CALLER_TIMEOUT_S)
        except ConnectionRefusedError:
            return NOT_RUN, b""
        except Exception:
            return NO_ANSWER, b""
        if answer.status == 200:
            return ANSWERED, answer.body
        return answer.json()["run"], answer.body

    # -- faults ----------------------------------------------------------------------------

    def _inject_fault(self):
        if not self.pending_faults:
            self.pending_faults = self._plan_faults()
        name, inject, hosts = self.pending_faults.pop()
        self.faults[name] += 1
        inject(self.random.choice(hosts))
        time.sleep(self.random.uniform(0.2, 0.8))

    def _plan_faults(self):
        entries, controls = self.cluster.entries, self.cluster.controls
        faults = [
            ("kill entry", self._kill_entry, entries),
            ("kill entry", self._kill_entry, entries),
            ("freeze entry", self._freeze_long, entries),
            ("freeze entry shortly", self._freeze, entries),
            ("kill control", self._kill_control, controls),
            ("freeze control", self._freeze, controls),
            ("kill leader", self._kill_leader, controls),
            ("kill plain", self._kill_plain, self.plain_services),
        ]
        self.random.shuffle(faults)
        return faults

    def _start_slow_booking(self, host):
        """Start a slow booking through a host that is about to fail."""
        booking = self._new_booking()
        booking.delay_s = 1.0
        attempt = threading.Thread(target=self.attempt, args=(booking, host), daemon=True)
        attempt.start()
        time.sleep(0.3)
        return booking

    def _resend_elsewhere(self, booking, host):
        for other in self.cluster.entries:
            if other is not host:
                attempt = threading.Thread(target=self.attempt, args=(booking, other), daemon=True)
                attempt.start()

    def _leader(self):
        names = {host.name: host for host in self.cluster.controls}
        for host in self.cluster.controls:
            try:
                answer = self.cluster.read("status", host)
            except OSError:
                continue
            if answer.status == 200:
                return names.get(answer.json()["leader"], host)
        return self.cluster.controls[0]

    def _kill_entry(self, host):
        booking = self._start_slow_booking(host)
        host.process.kill()
        self._resend_elsewhere(booking, host)
        self.cluster.start_entry(host)
        time.sleep(self.random.choice([0.5, 2.0]))
        self._resend_elsewhere(booking, host)

    def _kill_leader(self, host):
        self._kill_control(self._leader())

    def _kill_control(self, host):
        host.process.kill()
        time.sleep(self.random.choice([0.0, 1.0]))
        self.cluster.start_control(host)

    def _kill_plain(self, stand_in):
        stand_in.process.kill()
        start_stand_in(self.cluster, stand_in)

    def _freeze(self, host, seconds=SHORT_FREEZE_S):
        host.process.freeze()
        time.sleep(seconds)
        host.process.thaw()

    def _freeze_long(self, host):
        booking = self._start_slow_booking(host)
        host.process.freeze()
        time.sleep(LONG_FREEZE_S)
        self._resend_elsewhere(booking, host)
        time.sleep(0.2)
        host.process.thaw()

    # -- oracle ----------------------------------------------------------------------------

    def runs(self):
        """Return how often each slot was booked, from the services' output."""
        counts = collections.Counter()
        for stand_in in self.plain_services:
            text = stand_in.process.text()
            counts.update(re.findall(r"booked.*?slot=\W?(slot-\d+)", text))
        return counts

    def check(self):
        """Check every key, resend each through all entry hosts, and check again."""
        self._wait_until_recovered()
        runs = self.runs()
        for booking in self.bookings:
            self._check_not_run(booking, runs[booking.slot])
        with futures.ThreadPoolExecutor(CHECK_THREADS) as pool:
            list(pool.map(self._check_resends, self.bookings))
        runs = self.runs()
        for booking in self.bookings:
            bodies = {result.body for result in booking.results if result.kind == ANSWERED}
            assert len(bodies) <= 1, (booking.slot, booking.results)
            assert runs[booking.slot] <= 1, (booking.slot, runs[booking.slot], booking.results)
            assert not bodies or runs[booking.slot] == 1, (booking.slot, booking.results)

    def _wait_until_recovered(self):
        probe = Booking("probe")
        for host in self.cluster.entries:
            wait_for(
                lambda host=host: self.attempt(probe, host).kind == ANSWERED,
                "calls",
                RECOVERY_TIMEOUT_S,
            )

    def _check_resends(self, booking):
        finals = [self._resend_until_final(booking, host) for host in self.cluster.entries]
        kinds = {result.kind for result in finals}
        assert RUNNING not in kinds, (booking.slot, booking.results)
        if ANSWERED in kinds:
            assert finals[-1].kind == ANSWERED, (booking.slot, booking.results)

    def _check_not_run(self, booking, runs):
        if all(result.kind == NOT_RUN for result in booking.results):
            assert runs == 0, (booking.slot, booking.results)

    def _resend_until_final(self, booking, host):
        deadline = time.monotonic() + RECOVERY_TIMEOUT_S
        while True:
            result = self.attempt(booking, host)
            quarantined = result.kind == NOT_RUN and b"quarantined" in result.body
            if result.kind in (ANSWERED, UNKNOWN) or quarantined or time.monotonic() > deadline:
                return result
            time.sleep(0.1)

    def summary(self):
        """Return the number of keys, of results by kind and of faults by name."""
        results = collections.Counter(
            result.kind for booking in self.bookings for result in booking.results
        )
        return {"keys": len(self.bookings), "told": dict(results), "faults": dict(self.faults)}
