"""Tests of the leases that the leader confirms and of the configuration granted with them."""

import curio
import pytest

from ebonywheel import (
    clock,
    commands,
    configuration,
    exceptions,
    feedserver,
    kernel,
    messages,
    registry,
    replica,
    settings,
    state,
    statedata,
)

HOST = settings.HostSettings("control-1", "puget", "127.0.0.1:1", "127.0.0.1:2", "secret")
LEASE_S = 3.0


class FakeVote:
    def __init__(self):
        self.term = 1


class FakeStore:
    def __init__(self):
        self.vote = FakeVote()


class FakeConsensus:
    """Applies proposals at once; can lose its lease during one.

    Attributes:
        leads: Whether this host leads, with a valid lease.
        loses_lease: Whether the next proposal ends the lease.
    """

    def __init__(self, state_machine):
        self.state_machine = state_machine
        self.store = FakeStore()
        self.on_applied = []
        self.leads = True
        self.loses_lease = False
        self.role = replica.Role.LEADER

    @property
    def commit_index(self):
        return self.state_machine.applied

    def has_lease(self):
        return self.leads

    def require_lease(self, step):
        if not self.leads:
            raise exceptions.NotLeaderError("no quorum", step)

    async def propose(self, command):
        if self.loses_lease:
            self.leads = False
        index = self.state_machine.applied + 1
        entry = messages.LogEntry(index, 1, commands.encode(command))
        return index, self.state_machine.apply(entry)


def make_server():
    registry.load_plugins()
    state_machine = state.State(commands.Limits(1000, 1000))
    core = kernel.Kernel("control", HOST, b"secret", clock.ManualClock())
    return feedserver.FeedServer(core, FakeConsensus(state_machine), state_machine, LEASE_S)


@pytest.fixture
def server():
    return make_server()


def lease_request(host, incarnation=1, draining=False, have=0):
    return messages.LeaseRequest(host, incarnation, "puget", "127.0.0.1:9", "trial", have, draining)


def confirm(server, *leases):
    return curio.run(server.confirm, messages.ConfirmRequest(list(leases)))


def expire(server):
    """Expire silent hosts once, at the clock's current time."""
    curio.run(
        server._expire_silent_hosts,
        server.core.clock.monotonic() - LEASE_S - feedserver.EXPIRY_MARGIN_S,
    )


class TestConfirm:
    def test_lease_lost_during_registration_fails_the_request(self, server):
        server.consensus.loses_lease = True
        with pytest.raises(exceptions.NotLeaderError):
            confirm(server, lease_request("entry-1"))

    def test_old_incarnation_is_refused_without_affecting_other_hosts(self, server):
        confirm(server, lease_request("entry-1", incarnation=5))
        reply = confirm(server, lease_request("entry-1", incarnation=4), lease_request("entry-2"))
        assert reply.refused == ["entry-1"]
        assert set(server.lease_holders) == {"entry-1", "entry-2"}
        assert server.lease_holders["entry-1"].request.incarnation == 5

    def test_reply_index_includes_the_registration(self, server):
        reply = confirm(server, lease_request("entry-1"))
        key = configuration.roster_key("trial", "entry-1")
        assert server.state_machine.data.items[key].index <= reply.index

    def test_draining_removes_only_its_own_incarnation(self, server):
        confirm(server, lease_request("entry-1", incarnation=5))
        confirm(server, lease_request("entry-1", incarnation=4, draining=True))
        assert server.state_machine.data.get_value(configuration.roster_key("trial", "entry-1"))
        confirm(server, lease_request("entry-1", incarnation=5, draining=True))
        assert not server.state_machine.data.get_value(configuration.roster_key("trial", "entry-1"))


class TestExpiry:
    def test_silent_host_is_removed_after_its_lease(self, server):
        confirm(server, lease_request("entry-1"))
        server.core.clock.advance(LEASE_S)
        expire(server)
        assert server.state_machine.data.get_value(configuration.roster_key("trial", "entry-1"))
        server.core.clock.advance(LEASE_S)
        expire(server)
        assert not server.state_machine.data.get_value(configuration.roster_key("trial", "entry-1"))

    def test_new_leader_waits_a_whole_lease_for_unseen_hosts(self, server):
        confirm(server, lease_request("entry-1"))
        server.core.clock.advance(100.0)
        server.consensus.store.vote.term = 2
        server._reset_on_new_term()
        expire(server)
        assert server.state_machine.data.get_value(configuration.roster_key("trial", "entry-1"))


class TestGrant:
    def test_host_older_than_the_dropped_tombstones_gets_a_full_copy(self, server, monkeypatch):
        monkeypatch.setattr(statedata, "MAX_TOMBSTONES", 1)
        data = server.state_machine.data
        for index, name in enumerate(("a", "b", "c"), start=1):
            data.put(f"trial/out/{name}", index, b"true")
        data.put("trial/out/kept", 4, b"true")
        for index, name in enumerate(("a", "b"), start=5):
            data.remove(f"trial/out/{name}", index)
        server.state_machine.applied = 6
        behind, recent = (curio.run(server.grant, lease_request("entry-1", have=n)) for n in (4, 5))
        assert behind.full
        assert {item.key for item in behind.items if "/out/" in item.key and not item.removed} == {
            "trial/out/c",
            "trial/out/kept",
        }
        assert not recent.full
        assert [item.key for item in recent.items if item.removed] == ["trial/out/b"]
