"""Helpers that build homes and messages without processes, on a manual clock."""

import msgspec

from ebonywheel import clock, configuration, documents, exceptions, home, kernel, messages, settings

ENGINE = documents.Engine(cold_slots=2, warm_slots=6, warm_after=2)
DOCUMENT = documents.Document(
    "production", {"puget": "north"}, {"planner": ENGINE}, {}, {"normal": 1}, {}
)
LEASE_S = 3.0
SERVER = "planner-1"


class FeedStub:
    """A configuration feed whose lease and configuration are set by the test."""

    def __init__(self, time_source):
        self.clock = time_source
        self.current = configuration.Configuration()
        self.lease_until = float("-inf")
        self.incarnation = 1
        self.change_listeners = []

    def holds_lease(self):
        return self.clock.monotonic() < self.lease_until

    def require_lease(self):
        if not self.holds_lease():
            raise exceptions.NotRunError("no lease", "check lease")
        return self.current

    async def take(self, current, lease_s=LEASE_S):
        self.current = current
        self.lease_until = max(self.lease_until, self.clock.monotonic() + lease_s)
        for notify in self.change_listeners:
            await notify(current)


class PoisonStub:
    """Records the server deaths that homes report."""

    def __init__(self):
        self.deaths = []

    async def report_death(self, state, running):
        self.deaths.append((state, running))


def make_home(name, time_source):
    host = settings.HostSettings(name, "puget", "127.0.0.1:1", "127.0.0.1:2", "")
    core = kernel.Kernel("entry", host, b"secret-of-the-tests", time_source)
    return home.Home(core, FeedStub(time_source), PoisonStub())


def make_configuration(epoch, hosts, out=()):
    roster = {host: configuration.RosterEntry(host, 1, "puget", "127.0.0.1:1") for host in hosts}
    return configuration.Configuration(epoch, 1, DOCUMENT, frozenset(out), roster, epoch, {}, [])


def make_announcement(incarnation=1, sequence=1, running=0, age_ms=0, state="ready", step_us=0):
    return messages.Announce(
        messages.ServerState(
            SERVER,
            incarnation,
            "production",
            "puget",
            "127.0.0.1:9",
            "planner",
            state,
            1 << 20,
            16,
            sequence,
        ),
        messages.ServerLoad(SERVER, incarnation, running, 0, 0, step_us, 0, age_ms),
    )


def make_borrow(loan, incarnation=1, host="b", **fields):
    return messages.Borrow(loan=loan, host=host, server=SERVER, incarnation=incarnation, **fields)


def make_release(loan, outcome="finished", incarnation=1):
    return messages.Release(loan, SERVER, incarnation, 5, outcome)


def make_holding(loan, incarnation=1, tokens=1):
    return messages.Holding(loan, SERVER, incarnation, "plan", "press", 3, tokens)


def round_trip(message):
    return msgspec.msgpack.decode(msgspec.msgpack.encode(message), type=type(message))


def make_clock():
    return clock.ManualClock()
