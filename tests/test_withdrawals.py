"""Withdrawals of servers that are acknowledged once other control hosts hold them, unnetworked."""

import types

import curio
import pytest

from ebonywheel import clock, configuration, exceptions, link, messages, statedata, watchserver

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


async def ask(server, host, seen, role="control", epoch=None):
    """Send a watch request that names a position, and return the reply."""
    epoch = server.epoch if epoch is None else epoch
    request = messages.WatchRequest(host=host, epoch=epoch, seen=seen)
    return await server.watch(request, link.PeerInfo(role, host, "puget-a"))


async def withdraw(server, asking):
    """Withdraw the server; return whether that is held once some hosts have asked."""
    await server.observe(DRAINING, True)
    waiting = await curio.spawn(server.wait_held, "s")
    for arguments in asking:
        await ask(server, **arguments)
    try:
        await waiting.join()
    except curio.TaskError as error:
        assert isinstance(error.__cause__, exceptions.UnknownOutcomeError)
        return False
    return True


def holding(host, **fields):
    return {"host": host, "seen": 2, **fields}


# Guards against a withdrawal that is acknowledged and lost with the host that acknowledged it: a
# server that has left got requests until it ended.
@pytest.mark.parametrize(
    ("asking", "held"),
    [
        ([], False),
        ([holding("control-2")], False),
        ([holding("control-2"), holding("control-2")], False),
        ([holding("control-2"), holding("control-3")], True),
        ([holding("control-2"), holding("control-3", seen=1)], False),
        ([holding("control-2"), holding("control-3", epoch=7)], False),
        ([holding("control-2"), holding("learner")], False),
        ([holding("control-2"), holding("stranger")], False),
        ([holding("control-2"), holding("control-3", role="entry")], False),
        # A host that starts anew has forgotten what it held.
        ([holding("control-2"), holding("control-2", epoch=0), holding("control-3")], False),
        ([holding("control-1"), holding("control-2")], False),
    ],
)
def test_a_withdrawal_is_held_by_a_majority_of_voters(server, asking, held):
    assert curio.run(withdraw, server, asking) == held


def test_a_report_of_a_server_in_service_waits_for_nobody(server):
    curio.run(server.observe, messages.DirectoryRecord("s", 1, 2), True)
    curio.run(server.wait_held, "s")


def test_a_further_report_of_a_held_withdrawal_waits_for_nobody(server):
    assert curio.run(withdraw, server, [holding("control-2"), holding("control-3")])
    curio.run(server.observe, messages.DirectoryRecord("s", 1, 3, draining=True), True)
    curio.run(server.leave, "s", server.core.clock.monotonic())
    curio.run(server.wait_held, "s")


def test_a_server_that_is_withdrawn_again_is_waited_for(server):
    assert curio.run(withdraw, server, [holding("control-2"), holding("control-3")])
    curio.run(server.observe, messages.DirectoryRecord("s", 1, 3), True)
    curio.run(server.observe, messages.DirectoryRecord("s", 1, 4, draining=True), True)
    with pytest.raises(exceptions.UnknownOutcomeError):
        curio.run(server.wait_held, "s")


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
