"""Which servers an entry host takes for reachable, without a network."""

import types

import curio
import msgspec
import pytest

from ebonywheel import clock, exceptions, messages
from ebonywheel.gateway import balance, reach, view

SERVERS = [f"s{number}" for number in range(6)]


class Pool:
    """Opens connections to servers that can be reached, and tells the observer of each.

    Attributes:
        reachable: Servers that accept connections.
        probed: Servers that were probed, in order.
    """

    def __init__(self):
        self.reachable = set(SERVERS)
        self.probed = []
        self.observer = None

    async def connect(self, record):
        if record.server in self.reachable:
            await self.observer.connected(record, 0.001)
            return None
        error = exceptions.UpstreamError("no connection in time", "connect", timed_out=True)
        await self.observer.connect_failed(record, error)
        return error

    async def probe(self, record, timeout_s):
        self.probed.append(record.server)
        return await self.connect(record)


class Quiet:
    def __getattr__(self, name):
        return lambda *arguments, **fields: None


class Host:
    """An entry host that knows some servers, all of which have just reported."""

    def __init__(self):
        self.clock = clock.ManualClock()
        self.tasks = []
        core = types.SimpleNamespace(
            clock=self.clock,
            host=types.SimpleNamespace(name="entry-1", data_centre="puget-a"),
            log=Quiet(),
            metrics=Quiet(),
            spawn=self.spawn,
        )
        self.view = view.EntryView(core, lambda content: None, {}, 1)
        self.pool = Pool()
        self.reach = reach.Reach(core, self.view, self.pool)
        self.records = {name: messages.DirectoryRecord(name, 1, service="book") for name in SERVERS}
        self.sequence = 1
        self.report()

    def report(self):
        """Let all servers report."""
        self.sequence += 1
        for record in self.records.values():
            record = msgspec.structs.replace(record, sequence=self.sequence)
            self.view.directory.observe(record)
            self.view.state_of(record)

    async def spawn(self, coro):
        self.tasks.append(coro)

    def run(self, coro_function, *arguments):
        """Run something and then the probes that it has started, one round after the other."""

        async def run_all():
            await coro_function(*arguments)
            while self.tasks:
                await self.tasks.pop(0)

        curio.run(run_all)

    def connect(self, name):
        self.run(self.pool.connect, self.records[name])

    def state(self, name):
        return self.view.state_of(self.records[name])

    def unreachable(self):
        return {name for name in SERVERS if self.state(name).unreachable}


@pytest.fixture
def host():
    return Host()


def test_one_server_that_cannot_be_reached_is_no_cut(host):
    host.connect("s1")
    host.pool.reachable.discard("s0")
    host.connect("s0")
    assert host.unreachable() == {"s0"} and not host.view.cut_off
    # Another server was heard just now, so that there is nothing to find out.
    assert host.pool.probed == []


def test_a_host_finds_out_by_probes_that_it_is_cut_off(host):
    host.connect("s1")
    host.clock.advance(reach.HEARD_S + 0.1)
    host.pool.reachable.clear()
    host.connect("s0")
    assert host.view.cut_off
    assert len(set(host.pool.probed)) >= reach.CUT_OFF_FAILURES - 1


def test_one_server_that_is_heard_ends_a_cut_for_all(host):
    host.clock.advance(reach.HEARD_S + 0.1)
    host.pool.reachable.clear()
    host.connect("s0")
    assert host.view.cut_off and len(host.unreachable()) > 1
    host.pool.reachable.update(SERVERS)
    host.clock.advance(balance.MAX_BACKOFF_S)
    host.report()
    host.run(host.reach.check)
    assert not host.view.cut_off and not host.unreachable()


# Guards against hosts that count as cut off after they tried servers that crashed long ago.
def test_servers_that_report_no_more_are_no_sign_of_a_cut(host):
    host.connect("s5")
    for name in SERVERS[:4]:
        host.pool.reachable.discard(name)
        host.records.pop(name)
    host.clock.advance(balance.MAX_REPORT_AGE_S + reach.HEARD_S + 0.1)
    host.report()
    for server in SERVERS[:4]:
        record = messages.DirectoryRecord(server, 1, service="book")
        error = exceptions.UpstreamError("refused", "connect")
        # One after the other, before a probe of a sound server has ended.
        curio.run(host.reach.connect_failed, record, error)
    assert not host.view.cut_off
    for probe in host.tasks:
        probe.close()


# Guards against hosts that count as cut off, again and again, while several servers have crashed.
def test_crashed_servers_beside_sound_ones_are_no_cut(host):
    host.connect("s5")
    for name in SERVERS[:4]:
        host.pool.reachable.discard(name)
        host.connect(name)
    assert not host.view.cut_off and host.unreachable() == set(SERVERS[:4])


# Guards against crashed servers that get requests again as soon as a cut has ended.
def test_servers_that_cannot_be_reached_after_a_cut_stay_unreachable(host):
    host.clock.advance(reach.HEARD_S + 0.1)
    host.pool.reachable.clear()
    host.connect("s0")
    assert host.view.cut_off
    host.pool.reachable.update(SERVERS[2:])
    for _ in range(2):
        host.clock.advance(balance.MAX_BACKOFF_S)
        host.report()
        host.run(host.reach.check)
        assert not host.view.cut_off and host.unreachable() == set(SERVERS[:2])


def test_servers_that_do_not_report_are_not_probed(host):
    host.pool.reachable.clear()
    host.connect("s0")
    host.pool.probed.clear()
    host.clock.advance(balance.MAX_REPORT_AGE_S + 0.1)
    host.run(host.reach.check)
    assert host.pool.probed == []


# Guards against connections that hang without an error: requests on them wait for nothing.
def test_a_server_that_is_silent_while_a_request_waits_is_probed(host):
    host.connect("s0")
    host.state("s0").waiting_since.append(host.clock.now)
    host.clock.advance(reach.SILENCE_S - 0.1)
    host.run(host.reach.check)
    assert host.pool.probed == []
    host.clock.advance(0.2)
    host.run(host.reach.check)
    assert host.pool.probed == ["s0"] and not host.unreachable()
    # The probe was heard; the next one is due after further silence only.
    host.run(host.reach.check)
    assert host.pool.probed == ["s0"]


def test_a_server_that_answers_others_is_not_probed_for_one_that_waits(host):
    host.state("s0").waiting_since.append(host.clock.now)
    host.clock.advance(5.0)
    host.reach.heard(host.state("s0"))
    host.report()
    host.run(host.reach.check)
    assert host.pool.probed == []


def test_a_server_out_of_reach_is_chosen_only_if_no_other_has_room(host):
    host.connect("s1")
    host.pool.reachable.discard("s0")
    host.connect("s0")
    requirements = balance.Requirements(
        types.SimpleNamespace(name="book", engine=None, cold_per_s=0.0)
    )
    chosen = {host.view.choose(requirements).record.server for _ in range(50)}
    assert "s0" not in chosen
    requirements.excluded = frozenset(SERVERS[1:])
    last = host.view.choose(requirements)
    assert last.record.server == "s0" and host.view.is_out_of_reach(last)


def test_a_small_fleet_that_cannot_be_reached_at_all_is_a_cut(host):
    for name in SERVERS[1:]:
        host.view.directory.leave(name, host.clock.monotonic())
    host.pool.reachable.clear()
    host.connect("s0")
    assert host.view.cut_off


def test_a_server_that_starts_during_a_cut_is_tried(host):
    host.clock.advance(reach.HEARD_S + 0.1)
    host.pool.reachable.clear()
    host.connect("s0")
    assert host.view.cut_off
    host.records["new"] = messages.DirectoryRecord("new", 1, service="book")
    host.report()
    requirements = balance.Requirements(
        types.SimpleNamespace(name="book", engine=None, cold_per_s=0.0)
    )
    chosen = host.view.choose(requirements)
    assert chosen.record.server == "new" and not host.view.is_out_of_reach(chosen)
