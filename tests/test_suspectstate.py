"""Replicated suspicion: deaths counted once, quarantine at the second one that is attributed."""

import msgspec
import pytest

from ebonywheel import commands, configuration, messages, registry, state

QUARANTINE_MS = 60_000
registry.load_plugins()


class Suspicions:
    """A state machine with deaths reported to it."""

    def __init__(self):
        self.machine = state.State(commands.Limits(1000, QUARANTINE_MS))
        self.now_ms = 1_000_000

    def apply(self, command):
        command.at_ms = self.now_ms
        index = self.machine.applied + 1
        return self.machine.apply(messages.LogEntry(index, 1, commands.encode(command)))

    def died(self, server, *names, alone=False):
        suspects = [commands.Suspect(name.encode(), "orchard") for name in names]
        outcome = self.apply(
            commands.ReportCrash(
                environment="e", server=server, incarnation=1, suspects=suspects, alone=alone
            )
        )
        return [name.decode() for name in outcome.quarantined]

    def clear(self, name):
        return self.apply(commands.ClearSuspect(environment="e", fingerprint=name.encode()))

    def release(self, name):
        command = commands.ReleaseQuarantine(
            environment="e", fingerprint=name.encode(), operation="op", actor="ann"
        )
        return self.apply(command)

    def held(self, name):
        value = self.machine.data.present(configuration.suspect_key("e", name.encode()))
        return value and msgspec.json.decode(value, type=configuration.Suspicion)


@pytest.fixture
def suspicions():
    return Suspicions()


class TestDeaths:
    def test_first_death_makes_all_in_flight_suspect(self, suspicions):
        assert suspicions.died("s1", "bad", "good") == []
        assert [suspicions.held(name).deaths for name in ("bad", "good")] == [1, 1]

    def test_reports_of_one_death_count_once(self, suspicions):
        suspicions.died("s1", "bad")
        suspicions.died("s1", "bad", "good", alone=True)
        assert suspicions.died("s1", "good", "bad", alone=True) == []
        assert suspicions.held("bad").deaths == 1

    def test_second_death_alone_quarantines(self, suspicions):
        suspicions.died("s1", "bad", "good")
        assert suspicions.died("s2", "bad", alone=True) == ["bad"]
        assert not suspicions.held("good").quarantined

    def test_only_common_request_of_two_deaths_is_quarantined(self, suspicions):
        suspicions.died("s1", "bad", "good", "fine")
        assert suspicions.died("s2", "bad", "new") == ["bad"]

    def test_two_common_requests_are_not(self, suspicions):
        suspicions.died("s1", "bad", "good", "fine")
        assert suspicions.died("s2", "bad", "good", "new") == []
        assert suspicions.held("bad").deaths == 1

    def test_report_in_part_does_not_single_out(self, suspicions):
        suspicions.died("s1", "bad", "good")
        assert suspicions.died("s2", "good") == []
        assert suspicions.died("s2", "bad", "good") == []

    def test_late_report_does_not_bring_a_cleared_suspicion_back(self, suspicions):
        suspicions.died("s1", "bad", "good")
        suspicions.clear("good")
        suspicions.died("s1", "good")
        assert suspicions.held("good") is None

    def test_quarantine_outlives_later_reports(self, suspicions):
        suspicions.died("s1", "bad")
        suspicions.died("s2", "bad", alone=True)
        suspicions.died("s3", "bad", "other", "more")
        assert suspicions.held("bad").quarantined


class TestEnd:
    def test_finished_alone_clears(self, suspicions):
        suspicions.died("s1", "good")
        assert isinstance(suspicions.clear("good"), commands.Accepted)
        assert suspicions.held("good") is None

    def test_quarantine_is_not_cleared_but_released(self, suspicions):
        suspicions.died("s1", "bad")
        suspicions.died("s2", "bad", alone=True)
        assert suspicions.clear("bad").code == "quarantined"
        assert isinstance(suspicions.release("bad"), commands.Accepted)
        assert suspicions.held("bad") is None
        assert suspicions.release("bad") == commands.Accepted(index=4)

    def test_time_ends_it(self, suspicions):
        suspicions.died("s1", "bad")
        suspicions.died("s2", "bad", alone=True)
        suspicions.now_ms += QUARANTINE_MS + 1
        suspicions.clear("other")
        assert suspicions.held("bad") is None
        suspicions.died("s3", "x")
        assert list(suspicions.machine.data.crashes) == ["e/s3/1"]

    def test_reports_and_releases_are_in_the_audit_trail(self, suspicions):
        suspicions.died("s1", "bad")
        suspicions.died("s2", "bad", alone=True)
        suspicions.release("bad")
        actions = [entry.action for entry in suspicions.machine.data.audit]
        assert actions == ["ReportCrash", "ReportCrash", "ReleaseQuarantine"]
        assert b"bad".hex() in suspicions.machine.data.audit[1].target
        assert suspicions.machine.data.audit[1].detail == "quarantined " + b"bad".hex()
