"""Tests of the replicated call records: no idempotency key may have two senders."""

import msgspec
import pytest
from hypothesis import settings, stateful
from hypothesis import strategies as st

from ebonywheel import callstate, commands, idempotency, messages, registry, state

HORIZON_MS = 600_000
START_MS = 1_800_000_000_000
LIMITS = commands.Limits(HORIZON_MS, 1000)
registry.load_plugins()


def make_key(created_ms=START_MS, number=1):
    return idempotency.make(created_ms, number)


class CallRecords:
    """A state machine, and helpers that apply commands to it."""

    def __init__(self):
        self.state_machine = state.State(LIMITS)
        self.now_ms = START_MS
        for host in ("a", "b"):
            self.join(host, 1)

    def apply(self, command):
        command.at_ms = self.now_ms
        entry = messages.LogEntry(self.state_machine.applied + 1, 1, commands.encode(command))
        return self.state_machine.apply(entry)

    def join(self, host, incarnation):
        return self.apply(
            commands.JoinRoster(
                host=host, incarnation=incarnation, data_centre="x", address="", environment="e"
            )
        )

    def leave(self, host, incarnation):
        return self.apply(commands.LeaveRoster(host=host, incarnation=incarnation))

    def begin(self, operation, key, host="a", digest=b"body", incarnation=1):
        return self.apply(
            commands.BeginCall(
                operation=operation,
                environment="e",
                customer="c",
                service="s",
                key=key,
                digest=digest,
                host=host,
                incarnation=incarnation,
            )
        )

    def end(self, operation, key, kind="answered"):
        outcome = commands.CallOutcome(kind, 200, "text/plain", b"done")
        return self.apply(
            commands.EndCall(
                environment="e",
                customer="c",
                service="s",
                key=key,
                begun_by=operation,
                outcome=outcome,
            )
        )

    def restart_from_snapshot(self):
        content = self.state_machine.snapshot()
        applied = self.state_machine.applied
        self.state_machine = state.State(LIMITS)
        self.state_machine.restore(applied, 1, content)


@pytest.fixture
def records():
    return CallRecords()


class TestRunOnce:
    def test_resend_of_the_same_operation_is_also_started(self, records):
        key = make_key()
        assert records.begin("op1", key) == records.begin("op1", key) == commands.CallStarted()

    def test_second_operation_learns_that_the_call_is_running(self, records):
        key = make_key()
        records.begin("op1", key)
        assert records.begin("op2", key, "b") == commands.CallRunning()

    def test_stored_answer_is_returned_in_full(self, records):
        key = make_key()
        records.begin("op1", key)
        records.end("op1", key)
        outcome = records.begin("op2", key, "b").outcome
        assert (outcome.kind, outcome.status, outcome.body) == ("answered", 200, b"done")
        assert outcome.content_type == "text/plain"

    def test_same_key_with_another_body_is_a_mismatch(self, records):
        key = make_key()
        records.begin("op1", key)
        assert records.begin("op2", key, digest=b"other") == commands.CallMismatch()

    def test_outcome_stays_unknown_after_the_host_left_and_rejoined(self, records):
        key = make_key()
        records.begin("op1", key, "a")
        records.leave("a", 1)
        assert records.begin("op2", key, "b").outcome.kind == "unknown"
        records.join("a", 1)
        assert records.begin("op3", key, "a").outcome.kind == "unknown"

    def test_outcome_is_unknown_after_the_host_restarted(self, records):
        key = make_key()
        records.begin("op1", key, "a")
        records.join("a", 2)
        assert records.begin("op2", key, "a", incarnation=2).outcome.kind == "unknown"

    def test_late_answer_replaces_unknown(self, records):
        key = make_key()
        records.begin("op1", key, "a")
        records.leave("a", 1)
        records.begin("op2", key, "b")
        records.end("op1", key)
        assert records.begin("op3", key, "b").outcome.kind == "answered"

    def test_host_outside_the_roster_cannot_begin_a_call(self, records):
        records.leave("a", 1)
        assert records.begin("op1", make_key()).code == callstate.RefusalCode.NOT_SERVING


class TestNotRun:
    def test_another_operation_may_begin_the_call(self, records):
        key = make_key()
        records.begin("op1", key)
        records.end("op1", key, "not_run")
        assert records.begin("op2", key, "b") == commands.CallStarted()

    def test_delayed_begin_of_an_ended_operation_starts_nothing(self, records):
        key = make_key()
        records.begin("op1", key)
        records.end("op1", key, "not_run")
        assert records.begin("op1", key).outcome.kind == "not_run"
        assert records.begin("op2", key, "b") == commands.CallStarted()

    def test_begin_that_arrives_after_its_end_starts_nothing(self, records):
        key = make_key()
        records.end("op1", key, "not_run")
        assert records.begin("op1", key).outcome.kind == "not_run"
        assert records.begin("op2", key, "b") == commands.CallStarted()

    def test_delayed_end_of_the_first_operation_does_not_end_the_second(self, records):
        key = make_key()
        records.begin("op1", key)
        records.end("op1", key, "not_run")
        records.begin("op2", key, "b")
        assert records.end("op1", key, "not_run").code == callstate.RefusalCode.NOT_BEGUN
        assert records.begin("op3", key) == commands.CallRunning()


class TestHorizon:
    @pytest.mark.parametrize("restart", [False, True])
    def test_key_of_a_dropped_record_has_expired(self, records, restart):
        key = make_key()
        records.begin("op1", key)
        records.end("op1", key)
        records.now_ms += HORIZON_MS + idempotency.MAX_FUTURE_SKEW_MS + 1
        records.begin("op2", make_key(records.now_ms, 2))
        if restart:
            records.restart_from_snapshot()
        assert len(records.state_machine.data.calls) == 1
        assert records.begin("op3", key) == commands.CallExpired()

    def test_horizon_does_not_move_back_with_the_clock(self, records):
        key = make_key()
        records.now_ms += HORIZON_MS + 1
        assert records.begin("op1", key) == commands.CallExpired()
        records.restart_from_snapshot()
        records.now_ms -= HORIZON_MS
        assert records.begin("op2", key) == commands.CallExpired()

    def test_longer_horizon_does_not_revive_an_expired_key(self, records):
        key = make_key()
        records.begin("op1", key)
        records.now_ms += HORIZON_MS + idempotency.MAX_FUTURE_SKEW_MS + 1
        records.begin("op2", make_key(records.now_ms, 2))
        records.restart_from_snapshot()
        records.apply(commands.Noop(limits=commands.Limits(10 * HORIZON_MS, 1000)))
        assert records.begin("op3", key) == commands.CallExpired()

    def test_hosts_with_different_settings_apply_the_replicated_limits(self, records):
        other = CallRecords()
        other.state_machine = state.State(commands.Limits(1, 1))
        for host in (records, other):
            host.apply(commands.Noop(limits=LIMITS))
            host.join("a", 1)
            host.now_ms += HORIZON_MS - 1
        outcomes = [host.begin("op1", make_key()) for host in (records, other)]
        assert outcomes == [commands.CallStarted(), commands.CallStarted()]
        assert records.state_machine.data.limits == other.state_machine.data.limits

    def test_key_from_the_future_is_refused(self, records):
        key = make_key(START_MS + idempotency.MAX_FUTURE_SKEW_MS + 1)
        assert records.begin("op1", key).code == callstate.RefusalCode.FUTURE_KEY

    def test_record_of_a_key_ahead_of_the_clock_lasts_until_the_key_expires(self, records):
        key = make_key(START_MS + idempotency.MAX_FUTURE_SKEW_MS)
        records.begin("op1", key)
        records.end("op1", key)
        records.now_ms += HORIZON_MS + idempotency.MAX_FUTURE_SKEW_MS
        assert isinstance(records.begin("op2", key), commands.CallStored | commands.CallExpired)


class Attempt(msgspec.Struct):
    """One operation of one entry host, which may send the call until it gives up."""

    operation: str
    key: str
    host: str
    incarnation: int
    started: bool = False
    gave_up: bool = False


class CallMachine(stateful.RuleBasedStateMachine):
    """Delivers commands late, twice or after their host left; no key may have two senders."""

    def __init__(self):
        super().__init__()
        self.records = CallRecords()
        self.attempts = []
        self.incarnations = {"a": 1, "b": 1}
        self.answers = {}

    @stateful.rule(number=st.integers(0, 2), host=st.sampled_from("ab"), age=st.integers(-1, 1))
    def call(self, number, host, age):
        key = make_key(START_MS + age * HORIZON_MS, number)
        attempt = Attempt(f"op{len(self.attempts)}", key, host, self.incarnations[host])
        self.attempts.append(attempt)
        self._deliver(attempt)

    @stateful.precondition(lambda self: self.attempts)
    @stateful.rule(data=st.data())
    def redeliver(self, data):
        self._deliver(data.draw(st.sampled_from(self.attempts)))

    @stateful.precondition(lambda self: self.attempts)
    @stateful.rule(data=st.data(), kind=st.sampled_from(["answered", "not_run", "unknown"]))
    def end(self, data, kind):
        attempt = data.draw(st.sampled_from(self.attempts))
        if attempt.gave_up:
            kind = "not_run"
        elif kind == "not_run":
            attempt.gave_up = True
        elif not attempt.started:
            return
        self.records.end(attempt.operation, attempt.key, kind)

    @stateful.rule(host=st.sampled_from("ab"), rejoins=st.booleans())
    def leave(self, host, rejoins):
        self.records.leave(host, self.incarnations[host])
        if rejoins:
            self.records.join(host, self.incarnations[host])

    @stateful.rule(host=st.sampled_from("ab"))
    def restart_host(self, host):
        self.incarnations[host] += 1
        self.records.join(host, self.incarnations[host])

    @stateful.rule(step_ms=st.sampled_from([1, HORIZON_MS // 2, HORIZON_MS]))
    def pass_time(self, step_ms):
        self.records.now_ms += step_ms

    @stateful.rule()
    def restart_control(self):
        self.records.restart_from_snapshot()

    @stateful.invariant()
    def no_key_has_two_senders(self):
        senders = [
            attempt.key for attempt in self.attempts if attempt.started and not attempt.gave_up
        ]
        assert len(senders) == len(set(senders))

    def _deliver(self, attempt):
        outcome = self.records.begin(
            attempt.operation, attempt.key, attempt.host, incarnation=attempt.incarnation
        )
        # The host ignores an answer that arrives after it gave up.
        if outcome == commands.CallStarted() and not attempt.gave_up:
            attempt.started = True


CallMachine.TestCase.settings = settings(
    derandomize=True, max_examples=150, stateful_step_count=40, deadline=None
)
TestCallMachine = CallMachine.TestCase
