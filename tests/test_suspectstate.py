"""Tests of replicated suspicions: each death counts once, and the second one quarantines."""

import msgspec
import pytest

from ebonywheel import commands, configuration, messages, registry, state

QUARANTINE_MS = 60_000
registry.load_plugins()


class Suspicions:
    """A state machine, and helpers that report deaths to it."""

    def __init__(self):
        self.state_machine = state.State(commands.Limits(1000, QUARANTINE_MS))
        self.now_ms = 1_000_000

    def apply(self, command):
        command.at_ms = self.now_ms
        index = self.state_machine.applied + 1
        return self.state_machine.apply(messages.LogEntry(index, 1, commands.encode(command)))

    def report_death(self, server, *names, alone=False):
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

    def find(self, name):
        value = self.state_machine.data.get_value(configuration.suspect_key("e", name.encode()))
        return value and msgspec.json.decode(value, type=configuration.Suspicion)


@pytest.fixture
def suspicions():
    return Suspicions()


class TestDeaths:
    def test_first_death_makes_all_requests_in_flight_suspect(self, suspicions):
        assert suspicions.report_death("s1", "bad", "good") == []
        assert [suspicions.find(name).deaths for name in ("bad", "good")] == [1, 1]

    def test_repeated_reports_of_a_death_count_once(self, suspicions):
        suspicions.report_death("s1", "bad")
        suspicions.report_death("s1", "bad", "good", alone=True)
        assert suspicions.report_death("s1", "good", "bad", alone=True) == []
        assert suspicions.find("bad").deaths == 1

    def test_second_death_with_no_other_request_quarantines(self, suspicions):
        suspicions.report_death("s1", "bad", "good")
        assert suspicions.report_death("s2", "bad", alone=True) == ["bad"]
        assert not suspicions.find("good").quarantined

    def test_only_common_request_of_two_deaths_is_quarantined(self, suspicions):
        suspicions.report_death("s1", "bad", "good", "fine")
        assert suspicions.report_death("s2", "bad", "new") == ["bad"]

    def test_two_common_requests_are_not_quarantined(self, suspicions):
        suspicions.report_death("s1", "bad", "good", "fine")
        assert suspicions.report_death("s2", "bad", "good", "new") == []
        assert suspicions.find("bad").deaths == 1

    def test_partial_report_does_not_quarantine(self, suspicions):
        suspicions.report_death("s1", "bad", "good")
        assert suspicions.report_death("s2", "good") == []
        assert suspicions.report_death("s2", "bad", "good") == []

    def test_repeated_report_does_not_restore_a_cleared_suspicion(self, suspicions):
        suspicions.report_death("s1", "bad", "good")
        suspicions.clear("good")
        suspicions.report_death("s1", "good")
        assert suspicions.find("good") is None

    def test_later_reports_do_not_end_a_quarantine(self, suspicions):
        suspicions.report_death("s1", "bad")
        suspicions.report_death("s2", "bad", alone=True)
        suspicions.report_death("s3", "bad", "other", "more")
        assert suspicions.find("bad").quarantined


class TestRelease:
    def test_request_that_finished_alone_is_cleared(self, suspicions):
        suspicions.report_death("s1", "good")
        assert isinstance(suspicions.clear("good"), commands.Accepted)
        assert suspicions.find("good") is None

    def test_quarantine_is_released_but_not_cleared(self, suspicions):
        suspicions.report_death("s1", "bad")
        suspicions.report_death("s2", "bad", alone=True)
        assert suspicions.clear("bad").code == "quarantined"
        assert isinstance(suspicions.release("bad"), commands.Accepted)
        assert suspicions.find("bad") is None
        assert suspicions.release("bad") == commands.Accepted(index=4)

    def test_suspicions_and_crashes_expire(self, suspicions):
        suspicions.report_death("s1", "bad")
        suspicions.report_death("s2", "bad", alone=True)
        suspicions.now_ms += QUARANTINE_MS + 1
        suspicions.clear("other")
        assert suspicions.find("bad") is None
        suspicions.report_death("s3", "x")
        assert list(suspicions.state_machine.data.crashes) == ["e/s3/1"]

    def test_reports_and_releases_are_audited(self, suspicions):
        suspicions.report_death("s1", "bad")
        suspicions.report_death("s2", "bad", alone=True)
        suspicions.release("bad")
        actions = [entry.action for entry in suspicions.state_machine.data.audit]
        assert actions == ["ReportCrash", "ReportCrash", "ReleaseQuarantine"]
        assert b"bad".hex() in suspicions.state_machine.data.audit[1].target
        assert suspicions.state_machine.data.audit[1].detail == "quarantined " + b"bad".hex()
