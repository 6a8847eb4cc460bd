"""Replicated evidence on crashes: which fingerprints are quarantined, and which are not."""

import pytest

from ebonywheel import commands, crashstate, messages, registry, state
from ebonywheel.gateway import crashes

QUARANTINE_MS = 60_000
registry.load_plugins()


class Evidence:
    """A state machine, and helpers that report crashes and successes to it."""

    def __init__(self):
        self.state_machine = state.State(commands.Limits(1000, QUARANTINE_MS))
        self.now_ms = 1_000_000

    def apply(self, command):
        command.at_ms = self.now_ms
        index = self.state_machine.applied + 1
        return self.state_machine.apply(messages.LogEntry(index, 1, commands.encode(command)))

    def crash(self, server, *requests, began=True, age_ms=0, after_ms=1000):
        """Report a crash some time after the last one; each request is a text of fingerprints."""
        self.now_ms += after_ms
        outcome = self.apply(
            commands.ReportServerCrash(
                server=server,
                incarnation=1,
                age_ms=age_ms,
                requests=[
                    commands.InFlightRequest([name.encode() for name in text.split()], began)
                    for text in requests
                ],
            )
        )
        return [name.decode() for name in outcome.quarantined]

    def succeed(self, *names, age_ms=0):
        """Report a success of a request with some fingerprints."""
        self.apply(commands.ReportSuccess(fingerprints=[n.encode() for n in names], age_ms=age_ms))

    def suspects(self):
        """Return the suspect fingerprints."""
        found = crashstate.find_suspects(self.state_machine.data.quarantine)
        return {name.decode() for name in found}

    def quarantined(self):
        """Return the quarantined fingerprints."""
        return {name.decode() for name in self.state_machine.data.quarantine.entries}


@pytest.fixture
def evidence():
    return Evidence()


class TestCause:
    def test_what_two_crashes_at_the_beginning_of_answers_have_in_common(self, evidence):
        assert evidence.crash("s1", "a bad x1") == []
        assert evidence.crash("s2", "b bad x2") == ["bad"]
        assert evidence.quarantined() == {"bad"}

    def test_three_crashes_are_needed_where_no_answer_had_begun(self, evidence):
        assert evidence.crash("s1", "order", "x1", began=False) == []
        assert evidence.crash("s2", "order", "x2", began=False) == []
        assert evidence.crash("s3", "order", "x3", began=False) == ["order"]

    def test_only_answers_that_had_just_begun_count_where_there_are_any(self, evidence):
        for number in range(1, 4):
            evidence.crash(f"s{number}", f"a bad x{number}")
            evidence.crash(f"s{number}", f"common y{number}", began=False, after_ms=0)
        assert evidence.quarantined() == {"bad"}

    def test_general_fingerprints_of_the_same_requests_are_spared(self, evidence):
        for number in range(1, 6):
            evidence.crash(f"s{number}", f"a bad x{number}")
        assert evidence.quarantined() == {"bad"}

    def test_a_general_fingerprint_is_found_where_crashes_have_only_that_in_common(self, evidence):
        evidence.crash("s1", "bad b x1")
        assert evidence.crash("s2", "bad c x2") == ["bad"]

    def test_a_repeated_request_is_quarantined_as_a_whole(self, evidence):
        evidence.crash("s1", "a b again")
        assert evidence.crash("s2", "a b again") == ["again"]

    # Guards against innocent requests that are equal and in flight when servers end together.
    def test_equal_requests_at_servers_that_end_together_are_not_quarantined(self, evidence):
        evidence.crash("s1", "again", began=False)
        evidence.crash("s2", "again", began=False, after_ms=5)
        assert evidence.crash("s3", "again", began=False, after_ms=5) == []

    # Guards against equal requests that are sent together again after crashing servers together.
    def test_equal_requests_at_servers_that_end_together_are_sent_one_at_a_time(self, evidence):
        evidence.crash("s1", "a again", began=False)
        evidence.crash("s2", "a again", began=False, after_ms=0)
        assert evidence.suspects() == set()
        evidence.crash("s3", "a again", "a other", began=False, after_ms=0)
        assert evidence.suspects() == {"again"}
        evidence.succeed("again")
        assert evidence.suspects() == set()

    # Guards against a request that crashes servers as fast as hosts send it again.
    def test_a_request_that_is_sent_again_after_the_pause_is_quarantined(self, evidence):
        pause_ms = int(crashes.CRASH_PAUSE_S * 1000)
        evidence.crash("s1", "again", began=False)
        evidence.crash("s2", "again", began=False, after_ms=pause_ms)
        assert evidence.crash("s3", "again", began=False, after_ms=pause_ms) == ["again"]

    def test_two_causes_are_told_apart(self, evidence):
        for number in range(1, 3):
            evidence.crash(f"s{number}", f"a bad x{number}")
            evidence.succeed("a")
            evidence.crash(f"t{number}", f"a worse y{number}")
            evidence.succeed("a")
        assert evidence.quarantined() == {"bad", "worse"}

    def test_reports_of_several_gateways_on_a_crash_count_once(self, evidence):
        evidence.crash("s1", "a bad x1")
        evidence.crash("s1", "a bad x2")
        assert evidence.crash("s1", "a bad x3") == []

    def test_crashes_at_the_same_time_count_once(self, evidence):
        evidence.crash("s1", "a x1")
        evidence.crash("s2", "a x2", after_ms=crashstate.COMMON_CAUSE_MS)
        assert evidence.quarantined() == set()
        assert evidence.crash("s3", "a x3", after_ms=1) == ["a"]

    def test_a_late_report_counts_for_the_time_of_the_crash(self, evidence):
        evidence.crash("s1", "a bad x1")
        assert evidence.crash("s2", "a bad x2", age_ms=1000) == []
        assert evidence.crash("s3", "a bad x3", age_ms=500) == ["bad"]


class TestLateReports:
    def test_an_innocent_one_is_released_when_the_cause_becomes_known(self, evidence):
        evidence.crash("s1", "a x1")
        assert evidence.crash("s2", "a x2") == ["a"]
        evidence.crash("s1", "bad y1", age_ms=1000, after_ms=0)
        evidence.crash("s2", "bad y2", after_ms=0)
        evidence.crash("s3", "bad y3")
        evidence.crash("s4", "bad y4")
        assert evidence.quarantined() == {"bad"}


class TestSuccesses:
    def test_fingerprints_that_one_more_crash_would_quarantine_are_suspect(self, evidence):
        evidence.crash("s1", "a b x1")
        evidence.crash("s2", "c y1", began=False)
        assert evidence.suspects() == {"a", "b", "x1"}
        evidence.crash("s3", "c y2", began=False)
        assert evidence.suspects() == {"a", "b", "x1", "c"}

    def test_a_success_in_between_clears(self, evidence):
        evidence.crash("s1", "a x1")
        evidence.succeed("a")
        assert evidence.suspects() == {"x1"}
        assert evidence.crash("s2", "a x2") == []
        assert evidence.crash("s3", "a x3") == ["a"]

    def test_a_success_before_the_crash_does_not(self, evidence):
        evidence.crash("s1", "a bad x1")
        evidence.succeed("bad", age_ms=10)
        assert evidence.crash("s2", "a bad x2") == ["bad"]

    def test_a_success_after_the_first_crash_ends_the_quarantine(self, evidence):
        evidence.crash("s1", "a x1")
        evidence.crash("s2", "a x2")
        index = evidence.state_machine.data.quarantine.entries_index
        evidence.succeed("a", age_ms=500)
        assert evidence.quarantined() == set()
        assert evidence.state_machine.data.quarantine.entries_index > index

    def test_an_older_one_does_not(self, evidence):
        evidence.crash("s1", "a bad x1")
        evidence.crash("s2", "a bad x2")
        evidence.succeed("bad", age_ms=1000)
        assert evidence.quarantined() == {"bad"}

    def test_the_true_cause_is_found_after_a_wrong_one(self, evidence):
        evidence.crash("s1", "bad b x1")
        evidence.crash("s2", "bad b x2")
        assert evidence.quarantined() == {"b"}
        evidence.succeed("b")
        assert evidence.crash("s3", "bad c x3") == ["bad"]


class TestLimits:
    def test_a_quarantine_ends_after_its_time(self, evidence):
        evidence.crash("s1", "a bad x1")
        evidence.crash("s2", "a bad x2")
        evidence.now_ms += QUARANTINE_MS
        evidence.crash("s3", "b x3", began=False)
        assert evidence.quarantined() == set()

    def test_old_crashes_do_not_count(self, evidence):
        evidence.crash("s1", "a bad x1")
        assert evidence.crash("s2", "a bad x2", after_ms=crashstate.MAX_EVIDENCE_AGE_MS + 1) == []

    def test_the_state_is_bounded(self, evidence):
        for number in range(2 * crashstate.MAX_ENTRIES):
            for crash in range(2):
                evidence.crash(f"s{number}-{crash}", f"bad{number} x{number}-{crash}")
                evidence.succeed(f"bad{number}", f"unknown{number}", age_ms=600_000)
        quarantine = evidence.state_machine.data.quarantine
        assert len(quarantine.entries) <= crashstate.MAX_ENTRIES
        assert len(quarantine.crashes) <= crashstate.MAX_CRASHES
        assert len(quarantine.succeeded_ms) <= 2 * crashstate.MAX_CRASHES
        assert len(evidence.suspects()) <= crashstate.MAX_SUSPECTS
        evidence.crash("t", *(f"y{number}" for number in range(1000)))
        assert len(quarantine.crashes["t/1"].requests) == crashstate.MAX_REQUESTS_PER_CRASH

    def test_a_snapshot_keeps_evidence_and_quarantine(self, evidence):
        evidence.crash("s1", "a bad x1")
        evidence.crash("s2", "a bad x2")
        evidence.crash("s3", "a worse y1")
        restored = Evidence()
        restored.state_machine.restore(3, 1, evidence.state_machine.snapshot())
        restored.now_ms = evidence.now_ms
        assert restored.quarantined() == {"bad"}
        assert restored.crash("s4", "a worse y2") == ["worse"]
