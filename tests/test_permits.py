"""Tests of the permits that the leader grants."""

import math

import pytest

from ebonywheel import clock, exceptions, messages, permits


def grant_repeatedly(granting, per_s, duration_s, step_s=0.01, server="s"):
    """Ask at short intervals; return the number of permits."""
    granted = 0
    for _ in range(round(duration_s / step_s)):
        granted += granting.grant(messages.PermitRequest(server, 1, per_s)).granted
        granting.clock.advance(step_s)
    return granted


def make_permits():
    return permits.Permits(clock.ManualClock(), lambda step: None)


@pytest.mark.parametrize("per_s", [0.5, 2.0, 40.0])
def test_permits_follow_the_limit(per_s):
    granted = grant_repeatedly(make_permits(), per_s, 20.0)
    assert 0.9 * 20.0 * per_s - 1 <= granted <= 20.0 * per_s


def test_a_new_leader_grants_nothing_at_once():
    assert not make_permits().grant(messages.PermitRequest("s", 1, 2.0)).granted


def test_a_pause_does_not_add_up():
    granting = make_permits()
    grant_repeatedly(granting, 4.0, 1.0)
    granting.clock.advance(30.0)
    assert grant_repeatedly(granting, 4.0, 0.02) <= 2


def test_a_stated_burst_replaces_that_of_the_leader():
    granting = make_permits()
    request = messages.PermitRequest("s", 1, 40.0, burst=3.0)
    granting.grant(request)
    granting.clock.advance(30.0)
    assert sum(granting.grant(request).granted for _ in range(20)) == 3


def test_the_wait_is_until_a_permit_can_be_granted():
    granting = make_permits()
    reply = granting.grant(messages.PermitRequest("s", 1, 2.0))
    granting.clock.advance(reply.wait_ms / 1000)
    assert granting.grant(messages.PermitRequest("s", 1, 2.0)).granted


def test_servers_and_their_incarnations_are_counted_apart():
    granting = make_permits()
    keys = [("s", 1), ("s", 2), ("t", 1)]
    for key in keys:
        granting.grant(messages.PermitRequest(*key, 2.0))
    granting.clock.advance(0.5)
    assert all(granting.grant(messages.PermitRequest(*key, 2.0)).granted for key in keys)


@pytest.mark.parametrize("per_s", [0.0, -1.0, math.nan])
def test_no_permit_without_a_rate(per_s):
    assert not grant_repeatedly(make_permits(), per_s, 5.0)


def test_unused_servers_are_forgotten(monkeypatch):
    monkeypatch.setattr(permits, "MAX_SERVERS", 3)
    granting = make_permits()
    for number in range(10):
        granting.grant(messages.PermitRequest(f"s{number}", 1, 2.0))
    assert len(granting.buckets) == 3
    granting.clock.advance(permits.FORGET_S + 1)
    granting.grant(messages.PermitRequest("t", 1, 2.0))
    assert set(granting.buckets) == {("t", 1)}


def test_only_a_leader_grants():
    def refuse(step):
        raise exceptions.NotLeaderError("no lease", step, "control-1", "")

    granting = permits.Permits(clock.ManualClock(), refuse)
    with pytest.raises(exceptions.NotLeaderError):
        granting.grant(messages.PermitRequest("s", 1, 2.0))
    assert not granting.buckets
