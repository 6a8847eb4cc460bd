"""195 entry hosts that share the servers of one service, without a network.

The views, the clients and the granter of permits and the watch server are the real ones, on a
simulated clock.
"""

import collections
import heapq
import itertools
import random
import types

import curio

from ebonywheel import clock, exceptions, messages, permits, statedata, watchserver
from ebonywheel.gateway import balance, inflight, permitclient, routes, view

ENTRY_HOSTS = 195
SERVICE = routes.Service("book")
WINDOW_S = 4.0
WORK_S = 0.05
SLOTS = 6
WATCH_INTERVAL_S = 0.2
REPORT_INTERVAL_S = 1.2
DATA_CENTRES = ["puget-a", "yakima-a", "willamette-a"]
REGIONS = {data_centre: data_centre for data_centre in DATA_CENTRES}
ARRIVAL, ANSWER, WATCH, REPORT = range(4)


class Log:
    def __getattr__(self, level):
        return lambda *arguments, **fields: None


class Host:
    """One entry host.

    Attributes:
        cut: Whether it is partitioned from the control hosts.
        frozen: Whether its process stands still.
        waiting: Requests that arrived while it did.
    """

    def __init__(self, simulation, number):
        self.simulation = simulation
        self.cut = False
        self.frozen = False
        self.waiting = 0
        metrics = types.SimpleNamespace(count=lambda *arguments, **labels: None)
        host = types.SimpleNamespace(
            name=f"entry-{number}", data_centre=DATA_CENTRES[number % len(DATA_CENTRES)]
        )
        core = types.SimpleNamespace(clock=simulation.clock, host=host, log=Log(), metrics=metrics)
        self.view = view.EntryView(core, lambda content: None, REGIONS, 1)
        self.permits = permitclient.PermitClient(core, self.view, self)
        self.uses_number = self.epoch = self.seen = 0

    async def call(self, message, timeout_s):
        if self.cut or self.simulation.leader is None:
            raise exceptions.LinkError("no leader")
        return self.simulation.leader.grant(message)

    async def watch(self):
        """Exchange news with a control host."""
        if self.cut or self.frozen:
            return
        request = self.view.watch_request(True)
        request.epoch, request.seen = self.epoch, self.seen
        request.uses_number = self.uses_number
        server = self.simulation.watch_server
        server._record_uses(request, self.simulation.clock.now)
        reply = server._reply(request)
        await self.view.update(request, reply, types.SimpleNamespace(address="control"))
        self.epoch, self.seen, self.uses_number = reply.epoch, reply.seen, reply.uses_number

    async def choose(self):
        """Return the server for a request, as the forwarder does; None when it is refused."""
        denied = set()
        while True:
            requirements = balance.Requirements(SERVICE, excluded=frozenset(denied))
            candidate = self.view.choose(requirements)
            if candidate is None or await self.permits.acquire(candidate.record):
                return candidate
            denied.add(candidate.record.server)


class Simulation:
    """Requests through all entry hosts, at random.

    Attributes:
        limits: Requests per second that each server states, None for nothing.
        arrivals: Times of requests by server, monotonic seconds.
        refused: Times of requests that were refused.
    """

    def __init__(self, seed, limits, requests_per_s):
        self.rng = random.Random(seed)
        random.seed(seed)
        self.clock = clock.ManualClock()
        self.limits = dict(enumerate(limits))
        self.stated = False
        self.requests_per_s = requests_per_s
        self.arrivals = collections.defaultdict(list)
        self.refused = []
        self.events = []
        self.order = itertools.count()
        self.sequence = itertools.count(1)
        self.start_control_hosts()
        self.hosts = [Host(self, number) for number in range(ENTRY_HOSTS)]
        for number, host in enumerate(self.hosts):
            self.schedule(WATCH_INTERVAL_S * number / ENTRY_HOSTS, WATCH, number)
            host.view.share.hosts = ENTRY_HOSTS
        self.schedule(0.0, REPORT)
        self.schedule(0.0, ARRIVAL)

    def start_control_hosts(self):
        """Start the watch server and the leader, which know nothing of any limit."""
        state_machine = types.SimpleNamespace(data=statedata.StateData())
        consensus = types.SimpleNamespace(members=[], on_applied=[], has_lease=lambda: False)
        core = types.SimpleNamespace(clock=self.clock, log=Log())
        self.watch_server = watchserver.WatchServer(core, consensus, state_machine)
        self.leader = permits.Permits(self.clock, lambda step: None)
        curio.run(self.report)

    async def report(self):
        for number in self.limits:
            if not self.runs(number):
                continue
            record = messages.DirectoryRecord(
                f"s{number}",
                1,
                next(self.sequence),
                service=SERVICE.name,
                address=f"10.0.0.{number}:80",
                data_centre=DATA_CENTRES[number % len(DATA_CENTRES)],
                slots=SLOTS,
            )
            await self.watch_server.observe(record, direct=True)

    def runs(self, number):
        """Return whether a server runs."""
        return True

    def schedule(self, delay_s, kind, *details):
        heapq.heappush(self.events, (self.clock.now + delay_s, next(self.order), kind, details))

    def run(self, duration_s):
        """Play some seconds of traffic."""
        curio.run(self._run, self.clock.now + duration_s)

    async def _run(self, end):
        while self.events[0][0] < end:
            at, _, kind, details = heapq.heappop(self.events)
            self.clock.advance(at - self.clock.now)
            await self.play(kind, *details)

    async def play(self, kind, *details):
        """Play one event."""
        if kind == ARRIVAL:
            await self.arrive()
            self.schedule(self.rng.expovariate(self.requests_per_s), ARRIVAL)
        elif kind == ANSWER:
            self.answer(*details)
        elif kind == WATCH:
            await self.hosts[details[0]].watch()
            self.schedule(WATCH_INTERVAL_S, WATCH, *details)
        else:
            await self.report()
            self.schedule(REPORT_INTERVAL_S, REPORT)

    async def arrive(self):
        host = self.rng.choice(self.hosts)
        if host.frozen:
            host.waiting += 1
        elif host.epoch:
            # It does not serve before a control host has told it what is in force.
            await self.forward(host)

    async def thaw(self):
        """Let frozen hosts go on, with all requests that wait there at once."""
        for host in self.hosts:
            host.frozen = False
            for _ in range(host.waiting):
                await self.forward(host)
            host.waiting = 0

    async def forward(self, host):
        candidate = await host.choose()
        if candidate is None:
            self.refused.append(self.clock.now)
            return
        reservation = inflight.Reservation(candidate.state, 0)
        self.arrivals[candidate.record.server].append(self.clock.now)
        self.schedule(WORK_S, ANSWER, host, candidate.record, reservation)

    def answer(self, host, record, reservation):
        reservation.release()
        limit = self.limits[int(record.server[1:])] if self.stated else None
        host.view.limits.observe_answer(record, limit)

    def most_in_window(self, number, since):
        """Return the most requests that a server got in any window."""
        times = [at for at in self.arrivals[f"s{number}"] if at >= since]
        most = 0
        start = 0
        for end, at in enumerate(times):
            while times[start] <= at - WINDOW_S:
                start += 1
            most = max(most, end - start + 1)
        return most

    def check_limits(self, since):
        """Check that no server gets more than it states allows."""
        for number, limit in self.limits.items():
            if limit is not None:
                allowed = 1.5 * limit * WINDOW_S + 5
                assert self.most_in_window(number, since) <= allowed, number

    def arrived(self, number, since):
        """Return the requests per second that a server got since a time."""
        times = [at for at in self.arrivals[f"s{number}"] if at >= since]
        return len(times) / (self.clock.now - since)
