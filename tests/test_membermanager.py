"""Automatic membership: one safe step after the other, chosen without a network."""

import pytest

from ebonywheel import clock, commands, configuration, kernel, membermanager, messages, settings


class Replication:
    def __init__(self):
        self.silent = set()

    def recently_acked(self, member):
        return member not in self.silent

    def match_of(self, member):
        return 0


class Replica:
    """What the manager reads of a leading replica."""

    def __init__(self, members):
        self.members = members
        self.replication = Replication()

    def find_member(self, member):
        return next((held for held in self.members if held.member == member), None)

    def require_lease(self, step):
        return None


def member(name, voter=True, link=None):
    return configuration.Member(name, f"id-{name}", "puget", link or f"10.0.0.{name}:1", "", voter)


def info(name, member_id=None):
    return messages.MemberInfo(name, member_id or f"id-{name}", "puget", f"10.0.0.{name}:1", "")


@pytest.fixture
def time():
    return clock.ManualClock()


def manager_of(time, *members):
    host = settings.HostSettings("1", "puget", "10.0.0.1:1", "10.0.0.1:2", "")
    core = kernel.Kernel("control", host, b"", time)
    return membermanager.MemberManager(core, Replica(list(members)))


def next_step(manager):
    manager._listen()
    return manager._next_step()


class TestJoining:
    def test_a_new_host_joins_as_a_learner_and_then_votes(self, time):
        manager = manager_of(time, member("1"), member("2"), member("3"))
        manager.join(messages.JoinRequest(info("4")))
        step = next_step(manager)
        assert isinstance(step, commands.AddMember) and not step.voter
        manager.replica.members.append(member("4", voter=False))
        step = next_step(manager)
        assert isinstance(step, commands.AddMember) and step.voter and step.host == "4"

    def test_a_member_that_asks_again_changes_nothing(self, time):
        manager = manager_of(time, member("1"), member("2"), member("3"))
        manager.join(messages.JoinRequest(info("2")))
        assert next_step(manager) is None

    def test_an_empty_disk_at_an_old_address_takes_the_old_identity_out_first(self, time):
        manager = manager_of(time, member("1"), member("2"), member("3"))
        manager.join(messages.JoinRequest(info("3", "id-new")))
        step = next_step(manager)
        assert isinstance(step, commands.RemoveMember) and step.member == "id-3"

    def test_hosts_beyond_five_voters_stay_learners(self, time):
        voters = [member(str(number)) for number in range(1, 6)]
        manager = manager_of(time, *voters, member("6", voter=False))
        assert next_step(manager) is None


class TestReplacing:
    def test_a_silent_voter_gives_its_place_to_a_learner(self, time):
        voters = [member(str(number)) for number in range(1, 6)]
        manager = manager_of(time, *voters, member("6", voter=False))
        next_step(manager)
        manager.replica.replication.silent.add("id-4")
        time.advance(membermanager.SILENT_S + 0.1)
        step = next_step(manager)
        assert isinstance(step, commands.RemoveMember) and step.host == "4"

    def test_a_voter_that_is_only_restarting_keeps_its_place(self, time):
        voters = [member(str(number)) for number in range(1, 6)]
        manager = manager_of(time, *voters, member("6", voter=False))
        next_step(manager)
        manager.replica.replication.silent.add("id-4")
        time.advance(membermanager.SILENT_S - 0.1)
        assert next_step(manager) is None

    def test_an_even_number_of_voters_takes_a_learner_before_it_drops_a_silent_one(self, time):
        voters = [member(str(number)) for number in range(1, 5)]
        manager = manager_of(time, *voters, member("6", voter=False))
        next_step(manager)
        manager.replica.replication.silent.add("id-4")
        time.advance(membermanager.SILENT_S + 0.1)
        step = next_step(manager)
        assert isinstance(step, commands.AddMember) and step.voter

    def test_a_learner_that_is_gone_is_dropped(self, time):
        manager = manager_of(time, member("1"), member("2"), member("3"), member("4", voter=False))
        next_step(manager)
        manager.replica.replication.silent.add("id-4")
        time.advance(membermanager.LEARNER_SILENT_S + 0.1)
        step = next_step(manager)
        assert isinstance(step, commands.RemoveMember) and step.host == "4"
