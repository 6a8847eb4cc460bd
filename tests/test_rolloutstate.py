"""Roll-outs in the replicated state: one at a time for each service, resends, ends, snapshots."""

import msgspec

from ebonywheel import commands, messages, registry, rolloutstate, state, statedata

registry.load_plugins()

ORDER = {"service": "plan", "target": "v2", "duration_ms": 12_000}


class Machine:
    """Applies commands in order, at replicated times that the test sets."""

    def __init__(self):
        self.state = state.State(commands.Limits())
        self.index = 0
        self.at_ms = 1000

    @property
    def data(self):
        return self.state.data

    def apply(self, command):
        self.index += 1
        command.at_ms = self.at_ms
        return self.state.apply(messages.LogEntry(self.index, 1, commands.encode(command)))

    def start(self, **fields):
        return self.apply(commands.StartRollout(**{**ORDER, **fields}))

    def end(self, rollout, completed, **fields):
        return self.apply(
            commands.EndRollout(service="plan", rollout=rollout, completed=completed, **fields)
        )

    def record(self, service="plan"):
        return self.data.rollouts[service]


class TestOrders:
    def test_a_roll_out_starts_with_no_share(self):
        machine = Machine()
        assert machine.start() == commands.Accepted(index=1)
        record = machine.record()
        assert (record.phase, record.share, record.started_ms) == ("proving", 0.0, 1000)
        assert machine.data.rollouts_index == 1

    def test_the_same_order_again_has_the_same_result_and_changes_nothing(self):
        machine = Machine()
        machine.start()
        before = msgspec.msgpack.encode(machine.data.rollouts)
        machine.at_ms += 100
        assert machine.start() == commands.Accepted(index=1)
        assert msgspec.msgpack.encode(machine.data.rollouts) == before
        assert machine.data.rollouts_index == 1

    def test_another_order_for_the_service_conflicts_and_names_the_running_one(self):
        machine = Machine()
        machine.start(actor="ann", operation="op-1")
        for fields in ({"target": "v3"}, {"duration_ms": 13_000}):
            outcome = machine.start(actor="ben", operation=str(fields), **fields)
            assert outcome == commands.Conflict(revision=1, winner="ann", operation="op-1")
        assert machine.record().target == "v2"

    def test_services_do_not_concern_each_other(self):
        machine = Machine()
        machine.start()
        assert isinstance(machine.start(service="book", target="v3"), commands.Accepted)

    def test_a_resend_after_the_end_does_not_start_it_anew(self):
        machine = Machine()
        machine.start()
        machine.end(1, completed=False)
        machine.at_ms += rolloutstate.RESEND_MS - 1
        assert machine.start() == commands.Accepted(index=1)
        assert machine.record().phase == "rolled_back"

    def test_an_order_that_waited_in_a_host_does_not_start_it_anew(self):
        machine = Machine()
        machine.start(service="book")
        machine.start()
        machine.end(2, completed=False)
        machine.at_ms += 10 * rolloutstate.RESEND_MS
        assert machine.start(known_index=1) == commands.Accepted(index=2)
        assert machine.record().phase == "rolled_back"

    def test_a_version_that_was_rolled_back_can_be_ordered_again(self):
        machine = Machine()
        machine.start()
        machine.end(1, completed=False)
        assert machine.record().barred == ["v2"]
        machine.at_ms += rolloutstate.RESEND_MS
        assert machine.start() == commands.Accepted(index=3)
        assert (machine.record().phase, machine.record().barred) == ("proving", [])

    def test_a_version_that_has_all_traffic_needs_no_roll_out(self):
        machine = Machine()
        machine.start()
        machine.end(1, completed=True)
        machine.at_ms += 10 * rolloutstate.RESEND_MS
        assert machine.start(duration_ms=1) == commands.Accepted(index=1)
        assert machine.record().phase == "completed"

    def test_bad_orders_are_refused_with_the_field(self):
        machine = Machine()
        for fields, word in (
            ({"service": ""}, "service"),
            ({"target": "a\nb"}, "target"),
            ({"duration_ms": 0}, "duration_ms"),
            ({"duration_ms": rolloutstate.MAX_DURATION_MS + 1}, "duration_ms"),
        ):
            outcome = machine.start(**fields)
            assert isinstance(outcome, commands.Refused) and outcome.text.startswith(word)
        assert machine.data.rollouts == {}


class TestEnds:
    def test_an_end_is_final(self):
        machine = Machine()
        machine.start()
        machine.end(1, completed=False, reason="failures")
        assert isinstance(machine.end(1, completed=True), commands.Refused)
        advance = commands.AdvanceRollout(service="plan", rollout=1, phase="shifting", share=1.0)
        assert isinstance(machine.apply(advance), commands.Refused)
        assert (machine.record().phase, machine.record().share) == ("rolled_back", 0.0)

    def test_the_end_of_an_earlier_roll_out_does_not_touch_the_latest(self):
        machine = Machine()
        machine.start()
        machine.end(1, completed=False)
        machine.start(target="v3")
        assert isinstance(machine.end(1, completed=True), commands.Refused)
        assert machine.record().phase == "proving"

    def test_versions_that_were_replaced_or_rolled_back_stay_barred(self):
        machine = Machine()
        machine.start()
        machine.end(1, completed=False)
        machine.start(target="v3")
        machine.end(3, completed=True, replaced=["v1", "v3"])
        assert machine.record().barred == ["v2", "v1"]
        assert rolloutstate.views(machine.data)[0].barred == ["v2", "v1"]

    def test_shifting_does_not_go_back_to_proving(self):
        machine = Machine()
        machine.start()
        for phase, accepted in (("shifting", True), ("proving", False)):
            advance = commands.AdvanceRollout(service="plan", rollout=1, phase=phase, share=1.0)
            assert isinstance(machine.apply(advance), commands.Accepted) is accepted
        assert machine.record().phase == "shifting"

    def test_a_share_that_is_none_is_refused(self):
        machine = Machine()
        machine.start()
        for share in (-0.1, 1.1, float("nan")):
            advance = commands.AdvanceRollout(
                service="plan", rollout=1, phase="proving", share=share
            )
            assert isinstance(machine.apply(advance), commands.Refused)
        assert machine.record().share == 0.0


def test_a_snapshot_keeps_roll_outs():
    machine = Machine()
    machine.start(actor="ann", operation="op-1")
    restored = state.State(commands.Limits())
    restored.restore(1, 1, machine.state.snapshot())
    assert restored.data.rollouts == machine.data.rollouts
    assert restored.data.rollouts_index == 1


def test_a_snapshot_of_an_earlier_build_has_none():
    assert statedata.StateData().rollouts == {}


def test_the_number_of_roll_outs_is_bounded_and_running_ones_are_kept():
    machine = Machine()
    machine.start()
    machine.start(service="ended")
    machine.apply(commands.EndRollout(service="ended", rollout=2, completed=True))
    for number in range(rolloutstate.MAX_ROLLOUTS):
        machine.start(service=f"s-{number}")
    assert len(machine.data.rollouts) == rolloutstate.MAX_ROLLOUTS
    assert "plan" in machine.data.rollouts and "ended" not in machine.data.rollouts


def test_the_audit_trail_says_why():
    machine = Machine()
    machine.start(actor="ann")
    machine.end(1, completed=False, reason="too many failures on route book")
    assert [entry.target for entry in machine.data.audit] == [
        "plan to v2 in 12000 ms",
        "plan rolled_back: too many failures on route book",
    ]
