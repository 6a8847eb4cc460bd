"""What all entry hosts see of servers, put together by a control host, without a network."""

import math

import curio
import pytest

import manyhosts
from ebonywheel import messages, serverpaces
from ebonywheel.gateway import paces

RECORD = messages.DirectoryRecord("s0", 1, service=manyhosts.SERVICE.name)
KEY = ("s0", 1)


@pytest.fixture
def simulation():
    simulation = manyhosts.Simulation(1, (None, None), 1.0)
    simulation.hosts = simulation.hosts[:70]
    return simulation


def exchange(simulation, hosts=None):
    """Have hosts exchange news with a control host, all after a tenth of a second."""
    simulation.clock.advance(0.1)

    async def watch():
        for host in simulation.hosts if hosts is None else hosts:
            await host.watch()

    curio.run(watch)


def state(host):
    return host.view._state_for(KEY)


def test_one_server_resets_everything_while_70_hosts_send(simulation):
    for host in simulation.hosts[:2]:
        host.view.paces.observe_failure(RECORD, reset=True)
    exchange(simulation)
    exchange(simulation)
    now = simulation.clock.now
    until = sorted(state(host).avoided_until for host in simulation.hosts)
    assert until[0] > now + paces.AVOID_S - 0.5
    # They return one after the other, and the first ones that fail keep the others away.
    assert until[-1] - until[0] > paces.RETURN_SPREAD_S / 2
    returning = [host for host in simulation.hosts if state(host).avoided_until <= until[2]]
    simulation.clock.advance(until[2] - now)
    for host in returning:
        host.view.paces.observe_failure(RECORD, reset=True)
    exchange(simulation)
    exchange(simulation)
    away = [host for host in simulation.hosts if state(host).avoided_until > simulation.clock.now]
    assert len(away) > 60


def test_a_reset_that_one_host_sees_keeps_no_other_away(simulation):
    simulation.hosts[0].view.paces.observe_failure(RECORD, reset=True)
    exchange(simulation)
    exchange(simulation)
    assert not any(state(host).avoided_until for host in simulation.hosts)


def test_resets_end_with_an_answer(simulation):
    for host in simulation.hosts[:2]:
        host.view.paces.observe_failure(RECORD, reset=True)
        host.view.paces.observe_answer(RECORD, False, None)
    exchange(simulation)
    exchange(simulation)
    assert not any(state(host).avoided_until for host in simulation.hosts)


def test_what_a_few_hosts_saw_is_known_to_all_once(simulation):
    """A report is repeated in case a watch is lost, and counts once."""
    for host in simulation.hosts[:10]:
        host.view.paces._own(RECORD).sums.windows += 3
    for _ in range(12):
        exchange(simulation)
    for host in simulation.hosts:
        assert 27 < state(host).seen.windows <= 30


def test_a_host_that_is_gone_is_forgotten(simulation):
    simulation.hosts[0].view.paces._own(RECORD).sums.windows += 3
    exchange(simulation)
    simulation.clock.advance(serverpaces.HOLD_S + 1)
    simulation.watch_server.paces.prune()
    assert not simulation.watch_server.paces.entries


@pytest.mark.parametrize("value", [math.nan, math.inf, -1.0, 1e300])
def test_a_malformed_sum_counts_as_nothing_seen(simulation, value):
    paces_known = simulation.watch_server.paces
    paces_known.merge("faulty", [messages.ServerPace("s0", 1, windows=value)])
    paces_known.merge("sound", [messages.ServerPace("s0", 1, windows=2.0)])
    assert paces_known.changes(0.0)[0].windows == 2.0


def test_bytes_a_watch_do_not_grow_with_hosts_and_servers(simulation):
    """What is idle is told once."""
    for host in simulation.hosts:
        host.view.paces.observe_answer(RECORD, False, 0.1)
    for _ in range(15):
        exchange(simulation)
    for host in simulation.hosts:
        assert not host.view.watch_request(True).paces
    assert not simulation.watch_server.paces.changes(simulation.clock.now)


def test_a_slow_caller_makes_no_pause_of_the_server():
    windows = paces.StreamWindows()
    assert windows.record(0.18, 0.0, 1.0) is None
    assert windows.record(0.18, 2.0, 2.1) is False
    assert windows.record(0.18, 2.1, 2.4) is None
    assert windows.record(0.18, 2.4, 3.2) is True


def test_a_server_that_turns_bad_after_long_steady_traffic(simulation):
    """Failures that take the place of good answers make the sums no larger."""
    sender, other = simulation.hosts[:2]
    for second in range(100):
        for _ in range(2):
            sender.view.paces.observe_answer(RECORD, failed=second >= 80, work_s=0.1)
        for _ in range(5):
            simulation.clock.advance(0.1)
            exchange(simulation, [sender, other])
    assert state(other).worst_failure_rate(simulation.clock.now) > 0.5


def test_a_server_to_which_nobody_sends_is_tried_again(simulation):
    sender, other = simulation.hosts[:2]
    for _ in range(20):
        sender.view.paces.observe_answer(RECORD, failed=True, work_s=None)
    exchange(simulation, [sender, other])
    exchange(simulation, [sender, other])
    assert state(other).worst_failure_rate(simulation.clock.now) > 0.5
    simulation.clock.advance(20.0)
    assert state(other).worst_failure_rate(simulation.clock.now) < 0.2
