"""Tests of merging what servers stated about their limits."""

import pytest

from ebonywheel import clock, messages, statedlimits

KEY = ("s", 1)


@pytest.fixture
def stated():
    return statedlimits.StatedLimits(clock.ManualClock(100.0))


def test_the_newest_statement_counts(stated):
    stated.observe(KEY, 2.0, 100.0)
    stated.observe(KEY, None, 99.0)
    assert stated.limit_of(KEY) == 2.0
    stated.observe(KEY, 3.0, 100.5)
    assert stated.limit_of(KEY) == 3.0


def test_an_answer_without_a_limit_ends_it(stated):
    stated.observe(KEY, 2.0, 100.0)
    stated.observe(KEY, None, 101.0)
    assert stated.limit_of(KEY) is None


def test_a_report_counts_from_when_its_answer_arrived(stated):
    stated.observe(KEY, 2.0, 100.0)
    stated.merge([messages.ServerLimit("s", 1, False, 0.0, 500)])
    assert stated.limit_of(KEY) == 2.0
    stated.clock.advance(1.0)
    stated.merge([messages.ServerLimit("s", 1, False, 0.0, 500)])
    assert stated.limit_of(KEY) is None


def test_statements_are_told_as_they_are(stated):
    stated.observe(KEY, 2.0, 99.0)
    stated.observe(("t", 1), None, 100.0)
    assert stated.changes(0.0) == [
        messages.ServerLimit("s", 1, True, 2.0, 1000),
        messages.ServerLimit("t", 1, False, 0.0, 0),
    ]


def test_changes_are_news_at_once_and_confirmations_now_and_then(stated):
    stated.observe(KEY, 2.0, 100.0)
    stated.clock.advance(1.0)
    stated.observe(KEY, 2.0, 101.0)
    assert not stated.changes(101.0)
    stated.observe(KEY, 3.0, 101.5)
    assert len(stated.changes(101.0)) == 1
    stated.clock.advance(statedlimits.CONFIRM_INTERVAL_S)
    stated.observe(KEY, 3.0, 111.0)
    assert len(stated.changes(111.0)) == 1


def test_a_limit_that_no_answer_confirms_ends(stated):
    stated.observe(KEY, 2.0, 100.0)
    stated.clock.advance(statedlimits.HOLD_S)
    assert stated.limit_of(KEY) is None
    assert not stated.changes(0.0)
    stated.prune()
    assert not stated.entries
