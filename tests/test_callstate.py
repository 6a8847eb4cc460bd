"""The replicated ledger of calls against an oracle: who may still send which call."""

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


class Ledger:
    """A state machine that commands are applied to in turn."""

    def __init__(self):
        self.machine = state.State(LIMITS)
        self.now_ms = START_MS
        for host in ("a", "b"):
            self.join(host, 1)

    def apply(self, command):
        command.at_ms = self.now_ms
        entry = messages.LogEntry(self.machine.applied + 1, 1, commands.encode(command))
        return self.machine.apply(entry)

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
        content = self.machine.snapshot()
        applied = self.machine.applied
        self.machine = state.State(LIMITS)
        self.machine.restore(applied, 1, content)


@pytest.fixture
def ledger():
    return Ledger()


class TestRunOnce:
    def test_resend_of_the_same_operation_is_the_same_run(self, ledger):
        key = make_key()
        assert ledger.begin("op1", key) == ledger.begin("op1", key) == commands.CallStarted()

    def test_second_operation_is_told_running(self, ledger):
        key = make_key()
        ledger.begin("op1", key)
        assert ledger.begin("op2", key, "b") == commands.CallRunning()

    def test_answer_is_replayed_whole(self, ledger):
        key = make_key()
        ledger.begin("op1", key)
        ledger.end("op1", key)
        outcome = ledger.begin("op2", key, "b").outcome
        assert (outcome.kind, outcome.status, outcome.body) == ("answered", 200, b"done")
        assert outcome.content_type == "text/plain"

    def test_other_body_is_refused(self, ledger):
        key = make_key()
        ledger.begin("op1", key)
        assert ledger.begin("op2", key, digest=b"other") == commands.CallMismatch()

    def test_host_that_left_leaves_unknown_for_good(self, ledger):
        key = make_key()
        ledger.begin("op1", key, "a")
        ledger.leave("a", 1)
        assert ledger.begin("op2", key, "b").outcome.kind == "unknown"
        ledger.join("a", 1)
        assert ledger.begin("op3", key, "a").outcome.kind == "unknown"

    def test_restarted_host_leaves_unknown(self, ledger):
        key = make_key()
        ledger.begin("op1", key, "a")
        ledger.join("a", 2)
        assert ledger.begin("op2", key, "a", incarnation=2).outcome.kind == "unknown"

    def test_late_answer_replaces_unknown(self, ledger):
        key = make_key()
        ledger.begin("op1", key, "a")
        ledger.leave("a", 1)
        ledger.begin("op2", key, "b")
        ledger.end("op1", key)
        assert ledger.begin("op3", key, "b").outcome.kind == "answered"

    def test_host_outside_the_roster_may_not_begin(self, ledger):
        ledger.leave("a", 1)
        assert ledger.begin("op1", make_key()).code == callstate.RefusalCode.NOT_SERVING


class TestNotRun:
    def test_key_may_run_again(self, ledger):
        key = make_key()
        ledger.begin("op1", key)
        ledger.end("op1", key, "not_run")
        assert ledger.begin("op2", key, "b") == commands.CallStarted()

    def test_late_copy_of_the_ended_operation_begins_nothing(self, ledger):
        key = make_key()
        ledger.begin("op1", key)
        ledger.end("op1", key, "not_run")
        assert ledger.begin("op1", key).outcome.kind == "not_run"
        assert ledger.begin("op2", key, "b") == commands.CallStarted()

    def test_intent_withdrawn_before_it_arrived_begins_nothing(self, ledger):
        key = make_key()
        ledger.end("op1", key, "not_run")
        assert ledger.begin("op1", key).outcome.kind == "not_run"
        assert ledger.begin("op2", key, "b") == commands.CallStarted()

    def test_late_copy_of_its_end_leaves_the_second_run_alone(self, ledger):
        key = make_key()
        ledger.begin("op1", key)
        ledger.end("op1", key, "not_run")
        ledger.begin("op2", key, "b")
        assert ledger.end("op1", key, "not_run").code == callstate.RefusalCode.NOT_BEGUN
        assert ledger.begin("op3", key) == commands.CallRunning()


class TestHorizon:
    @pytest.mark.parametrize("restart", [False, True])
    def test_forgotten_key_is_refused(self, ledger, restart):
        key = make_key()
        ledger.begin("op1", key)
        ledger.end("op1", key)
        ledger.now_ms += HORIZON_MS + idempotency.FUTURE_SKEW_MS + 1
        ledger.begin("op2", make_key(ledger.now_ms, 2))
        if restart:
            ledger.restart_from_snapshot()
        assert len(ledger.machine.data.calls) == 1
        assert ledger.begin("op3", key) == commands.CallExpired()

    def test_horizon_never_moves_back_with_the_clock(self, ledger):
        key = make_key()
        ledger.now_ms += HORIZON_MS + 1
        assert ledger.begin("op1", key) == commands.CallExpired()
        ledger.restart_from_snapshot()
        ledger.now_ms -= HORIZON_MS
        assert ledger.begin("op2", key) == commands.CallExpired()

    def test_longer_horizon_does_not_bring_a_forgotten_key_back(self, ledger):
        key = make_key()
        ledger.begin("op1", key)
        ledger.now_ms += HORIZON_MS + idempotency.FUTURE_SKEW_MS + 1
        ledger.begin("op2", make_key(ledger.now_ms, 2))
        ledger.restart_from_snapshot()
        ledger.apply(commands.Noop(limits=commands.Limits(10 * HORIZON_MS, 1000)))
        assert ledger.begin("op3", key) == commands.CallExpired()

    def test_hosts_with_other_settings_decide_alike(self, ledger):
        other = Ledger()
        other.machine = state.State(commands.Limits(1, 1))
        for held in (ledger, other):
            held.apply(commands.Noop(limits=LIMITS))
            held.join("a", 1)
            held.now_ms += HORIZON_MS - 1
        outcomes = [held.begin("op1", make_key()) for held in (ledger, other)]
        assert outcomes == [commands.CallStarted(), commands.CallStarted()]
        assert ledger.machine.data.limits == other.machine.data.limits

    def test_key_from_the_future_is_refused(self, ledger):
        key = make_key(START_MS + idempotency.FUTURE_SKEW_MS + 1)
        assert ledger.begin("op1", key).code == callstate.RefusalCode.FUTURE_KEY

    def test_key_within_the_skew_is_still_known_when_it_expires(self, ledger):
        key = make_key(START_MS + idempotency.FUTURE_SKEW_MS)
        ledger.begin("op1", key)
        ledger.end("op1", key)
        ledger.now_ms += HORIZON_MS + idempotency.FUTURE_SKEW_MS
        assert isinstance(ledger.begin("op2", key), commands.CallStored | commands.CallExpired)


class Attempt(msgspec.Struct):
    """One operation of one entry host, which may send for as long as it has not given up."""

    operation: str
    key: str
    host: str
    incarnation: int
    started: bool = False
    gave_up: bool = False


class LedgerMachine(stateful.RuleBasedStateMachine):
    """Commands arrive late, twice or after their host left; no key may have two senders."""

    def __init__(self):
        super().__init__()
        self.ledger = Ledger()
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
    def deliver_copy(self, data):
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
        self.ledger.end(attempt.operation, attempt.key, kind)

    @stateful.rule(host=st.sampled_from("ab"), back=st.booleans())
    def leave(self, host, back):
        self.ledger.leave(host, self.incarnations[host])
        if back:
            self.ledger.join(host, self.incarnations[host])

    @stateful.rule(host=st.sampled_from("ab"))
    def restart_host(self, host):
        self.incarnations[host] += 1
        self.ledger.join(host, self.incarnations[host])

    @stateful.rule(step_ms=st.sampled_from([1, HORIZON_MS // 2, HORIZON_MS]))
    def pass_time(self, step_ms):
        self.ledger.now_ms += step_ms

    @stateful.rule()
    def restart_control(self):
        self.ledger.restart_from_snapshot()

    @stateful.invariant()
    def one_sender_for_each_key(self):
        senders = [one.key for one in self.attempts if one.started and not one.gave_up]
        assert len(senders) == len(set(senders))

    def _deliver(self, attempt):
        outcome = self.ledger.begin(
            attempt.operation, attempt.key, attempt.host, incarnation=attempt.incarnation
        )
        # An answer that comes after the host gave up is not acted on.
        if outcome == commands.CallStarted() and not attempt.gave_up:
            attempt.started = True


LedgerMachine.TestCase.settings = settings(
    derandomize=True, max_examples=150, stateful_step_count=40, deadline=None
)
TestLedgerMachine = LedgerMachine.TestCase
