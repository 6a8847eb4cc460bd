"""Withdrawals of servers, as control hosts pass them on, without a network."""

import types

import curio
import pytest

from ebonywheel import clock, configuration, messages, statedata, watchserver

OTHERS = ("control-2", "control-3", "control-4", "control-5")
DRAINING = messages.DirectoryRecord("s", 1, 2, draining=True)


class Log:
    def __getattr__(self, level):
        return lambda *arguments, **fields: None


def member(host, voter=True):
    return configuration.Member(host, f"id-{host}", "puget-a", host, voter=voter)


@pytest.fixture
def server():
    """The watches of control-1, one of five voting control hosts, with one learner."""
    core = types.SimpleNamespace(
        clock=clock.SystemClock(),
        host=types.SimpleNamespace(name="control-1", data_centre="puget-a"),
        log=Log(),
        metrics=types.SimpleNamespace(count=lambda name, **labels: None),
    )
    members = [member("control-1"), *map(member, OTHERS), member("learner", voter=False)]
    consensus = types.SimpleNamespace(members=members, on_applied=[], has_lease=lambda: False)
    state_machine = types.SimpleNamespace(data=statedata.StateData())
    created = watchserver.WatchServer(core, consensus, state_machine)
    curio.run(created.observe, messages.DirectoryRecord("s", 1, 1), True)
    return created


# Guards against news that takes work away from a server and waits for half a second, as it came
# between a host's requests.
def test_a_request_that_lacks_a_withdrawal_is_answered_at_once(server):
    curio.run(server.observe, DRAINING, True)
    request = messages.WatchRequest(host="entry-1", epoch=server.epoch, seen=1, wait_ms=2000)

    async def answer_s():
        began_at = server.core.clock.monotonic()
        reply = await server.watch(request)
        return reply, server.core.clock.monotonic() - began_at

    reply, seconds = curio.run(answer_s)
    assert [record.draining for record in reply.records] == [True]
    assert seconds < 0.5


# Guards against a withdrawal that no host passes on, as the one that received it is lost: hosts
# that ask for relayed records only from then on had been told a later position.
@pytest.mark.parametrize("withdrawal", [{"draining": True}, {"gone": True}])
@pytest.mark.parametrize("changes_only", [False, True])
def test_all_control_hosts_pass_withdrawals_on(server, withdrawal, changes_only):
    record = messages.DirectoryRecord("s", 1, 2, **withdrawal)
    curio.run(server.observe, record, False)
    request = messages.WatchRequest(
        host="entry-1", epoch=server.epoch, seen=1, changes_only=changes_only
    )
    reply = curio.run(server.watch, request)
    assert [record.server for record in reply.records] == ["s"]
    request.seen = reply.seen
    assert curio.run(server.watch, request).records == []
