"""Tests of the replicated state machine: operation ids, audit trail and handler errors."""

import msgspec
import pytest

from ebonywheel import commands, messages, registry, state

DAY_MS = 86_400_000


@pytest.fixture
def machine():
    registry.load_plugins()
    return state.State(commands.Limits(DAY_MS, DAY_MS))


def apply(machine, command):
    return machine.apply(messages.LogEntry(machine.applied + 1, 1, commands.encode(command)))


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
    def test_resend_gets_the_first_outcome_after_a_snapshot(self, machine):
        first = apply(machine, join("op-1"))
        for number in range(300):
            apply(machine, join(f"other-{number}", address=str(number)))
        restored = state.State(machine.limits)
        restored.restore(machine.applied, machine.applied_term, machine.snapshot())
        assert apply(restored, join("op-1")) == first
        assert restored.data.audit == machine.data.audit

    def test_clock_jump_does_not_drop_recent_operations(self, machine):
        first = apply(machine, join("op-1"))
        apply(machine, join("op-2", at_ms=4000 * DAY_MS))
        assert apply(machine, join("op-1")) == first

    def test_old_operations_are_dropped_above_the_minimum(self, machine):
        for number in range(state.MIN_KEPT_OPERATIONS + 50):
            apply(machine, join(f"op-{number}", at_ms=number * DAY_MS))
        assert len(machine.data.operations) == state.MIN_KEPT_OPERATIONS
        assert len(machine.data.audit) == state.MAX_AUDIT_ENTRIES

    def test_replicated_time_does_not_go_back(self, machine):
        apply(machine, join("op-1", at_ms=500))
        apply(machine, join("op-2", at_ms=3))
        assert machine.data.at_ms == 500


class TestHandlers:
    def test_command_that_makes_a_handler_fail_is_refused(self, machine):
        outcome = apply(machine, begin("nonsense"))
        assert isinstance(outcome, commands.Refused)
        assert outcome.code == "fault"
        assert machine.applied == 1

    def test_every_command_type_has_a_handler(self, machine):
        assert set(machine.handlers) == set(commands.AnyCommand.__args__)

    def test_snapshot_restores_to_the_same_bytes(self, machine):
        apply(machine, join("op-1"))
        content = machine.snapshot()
        machine.restore(1, 1, content)
        assert machine.snapshot() == content
        with pytest.raises(msgspec.DecodeError):
            machine.restore(1, 1, content[:-1])
