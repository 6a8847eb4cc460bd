"""Tests of the replicated state machine: operation ids, audit trail and handler errors."""

import msgspec
import pytest

from ebonywheel import commands, messages, registry, state

DAY_MS = 86_400_000


@pytest.fixture
def state_machine():
    registry.load_plugins()
    return state.State(commands.Limits(DAY_MS, DAY_MS))


def apply(state_machine, command):
    return state_machine.apply(
        messages.LogEntry(state_machine.applied + 1, 1, commands.encode(command))
    )


def join(operation, at_ms=0, address="1"):
    return commands.JoinRoster(
        operation=operation,
        at_ms=at_ms,
        host="entry-1",
        incarnation=1,
        data_centre="puget",
        address=address,
        environment="production",
    )


def begin(key):
    return commands.BeginCall(
        environment="production",
        customer="press",
        service="rota",
        key=key,
        digest=b"",
        host="entry-1",
        incarnation=1,
    )


class TestOperations:
    def test_resend_gets_the_first_outcome_after_a_snapshot(self, state_machine):
        first = apply(state_machine, join("op-1"))
        for number in range(300):
            apply(state_machine, join(f"other-{number}", address=str(number)))
        restored = state.State(state_machine.limits)
        restored.restore(
            state_machine.applied, state_machine.applied_term, state_machine.snapshot()
        )
        assert apply(restored, join("op-1")) == first
        assert restored.data.audit == state_machine.data.audit

    def test_clock_jump_does_not_drop_recent_operations(self, state_machine):
        first = apply(state_machine, join("op-1"))
        apply(state_machine, join("op-2", at_ms=4000 * DAY_MS))
        assert apply(state_machine, join("op-1")) == first

    def test_old_operations_are_dropped_above_the_minimum(self, state_machine):
        for number in range(state.MIN_KEPT_OPERATIONS + 50):
            apply(state_machine, join(f"op-{number}", at_ms=number * DAY_MS))
        assert len(state_machine.data.operations) == state.MIN_KEPT_OPERATIONS
        assert len(state_machine.data.audit) == state.MAX_AUDIT_ENTRIES

    def test_replicated_time_does_not_go_back(self, state_machine):
        apply(state_machine, join("op-1", at_ms=500))
        apply(state_machine, join("op-2", at_ms=3))
        assert state_machine.data.at_ms == 500


class TestHandlers:
    def test_command_that_makes_a_handler_fail_is_refused(self, state_machine):
        outcome = apply(state_machine, begin("nonsense"))
        assert isinstance(outcome, commands.Refused)
        assert outcome.code == "fault"
        assert state_machine.applied == 1

    def test_every_command_type_has_a_handler(self, state_machine):
        assert set(state_machine.handlers) == set(commands.AnyCommand.__args__)

    def test_snapshot_restores_to_the_same_bytes(self, state_machine):
        apply(state_machine, join("op-1"))
        content = state_machine.snapshot()
        state_machine.restore(1, 1, content)
        assert state_machine.snapshot() == content
        with pytest.raises(msgspec.DecodeError):
            state_machine.restore(1, 1, content[:-1])
