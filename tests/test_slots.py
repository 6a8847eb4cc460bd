"""The slot ledger: never less than what is in flight."""

import pytest

from ebonywheel import exceptions, messages, slots
from homes import ENGINE, announced, borrow, holding, release


@pytest.fixture
def ledger():
    return slots.SlotLedger(announced().state, ENGINE)


def load(running=0, age_ms=0, step_us=0):
    return messages.ServerLoad("planner-1", 1, running, 0, 0, step_us, 0, age_ms)


class TestLend:
    def test_cold_server_gets_its_cold_slots_and_no_more(self, ledger):
        ledger.lend(borrow("a"), 0.0)
        ledger.lend(borrow("b"), 0.0)
        with pytest.raises(exceptions.NotRunError, match="no slot free"):
            ledger.lend(borrow("c"), 0.0)

    def test_resend_of_a_loan_takes_one_slot(self, ledger):
        assert ledger.lend(borrow("a"), 0.0) == ledger.lend(borrow("a"), 0.1)
        assert ledger.used(0.1) == 1

    def test_loan_given_back_is_not_lent_again(self, ledger):
        ledger.lend(borrow("a"), 0.0)
        ledger.release(release("a"), 0.1)
        with pytest.raises(exceptions.NotRunError, match="given back"):
            ledger.lend(borrow("a"), 0.2)

    def test_loan_given_back_before_it_was_asked_for_is_not_lent(self, ledger):
        ledger.release(release("a", "unused"), 0.1)
        with pytest.raises(exceptions.NotRunError, match="given back"):
            ledger.lend(borrow("a"), 0.2)

    def test_suspect_runs_alone(self, ledger):
        ledger.lend(borrow("a", alone=True), 0.0)
        with pytest.raises(exceptions.NotRunError, match="alone"):
            ledger.lend(borrow("b"), 0.0)


class TestOrphans:
    def test_silence_of_the_borrower_alone_frees_no_slot(self, ledger):
        ledger.lend(borrow("a"), 0.0)
        ledger.hold("b", holding("a"), 0.5)
        assert ledger.used(1000.0) == 1

    def test_work_that_may_still_run_keeps_its_slot_until_cancelled(self, ledger):
        ledger.lend(borrow("a"), 0.0)
        ledger.release(release("a", "failed"), 1.0)
        assert (ledger.used(1.0), ledger.reclaimable(1.0)) == (1, ["a"])
        ledger.cancelled("a", 2.0)
        assert ledger.used(2.0) == 0

    def test_report_taken_after_it_proves_it_gone(self, ledger):
        ledger.lend(borrow("a"), 0.0)
        ledger.release(release("a", "failed"), 1.0)
        ledger.report(load(0), 1.5)
        assert ledger.used(1.5) == 1
        ledger.report(load(0), 2.5)
        assert ledger.used(2.5) == 0

    def test_detached_stream_waits_for_its_reader(self, ledger):
        ledger.lend(borrow("a"), 0.0)
        ledger.hold("b", holding("a"), 0.5)
        ledger.release(release("a", "detached"), 1.0)
        assert (ledger.used(2.0), ledger.reclaimable(2.0)) == (1, [])
        assert ledger.reclaimable(1.0 + slots.RECONNECT_S) == ["a"]

    def test_stream_taken_up_elsewhere_is_not_cancelled(self, ledger):
        ledger.lend(borrow("a"), 0.0)
        ledger.release(release("a", "detached"), 1.0)
        ledger.hold("c", holding("a"), 3.0)
        assert ledger.reclaimable(7.0) == []

    def test_work_nobody_accounts_for_is_counted_from_the_report(self, ledger):
        ledger.report(load(2), 10.0)
        with pytest.raises(exceptions.NotRunError, match="no slot free"):
            ledger.lend(borrow("a"), 10.0)


class TestForeign:
    def test_nothing_is_lent_before_a_report_tells_what_runs(self):
        ledger = slots.SlotLedger(announced().state, ENGINE, None)
        with pytest.raises(exceptions.NotRunError, match="not known yet"):
            ledger.lend(borrow("a"), 5.0)
        ledger.report(load(1), 4.9)
        ledger.count_foreign(4.0)
        assert ledger.foreign is None
        ledger.report(load(1), 5.1)
        ledger.count_foreign(4.0)
        assert (ledger.foreign, ledger.used(5.1)) == (1, 1)

    def test_foreign_work_that_ends_frees_its_slot_once(self):
        ledger = slots.SlotLedger(announced().state, ENGINE, None)
        ledger.report(load(2), 5.0)
        ledger.count_foreign(4.0)
        ledger.hold("b", holding("x"), 7.0)
        ledger.release(release("x"), 8.0)
        ledger.release(release("x"), 8.1)
        assert ledger.foreign == 1


class TestWarmth:
    def earn(self, ledger, count):
        start = len(ledger.records)
        for number in range(start, start + count):
            ledger.lend(borrow(f"w{number}"), 1.0)
            ledger.release(release(f"w{number}"), 1.0)

    def test_limit_is_earned_by_finished_work_only(self, ledger):
        self.earn(ledger, 4)
        assert ledger.limit == 4
        ledger.lend(borrow("x"), 1.0)
        ledger.release(release("x", "cancelled"), 1.0)
        assert ledger.limit == 4
        self.earn(ledger, 100)
        assert (ledger.limit, ledger.warm()) == (6, True)

    def test_latency_cliff_takes_the_limit_back(self, ledger):
        self.earn(ledger, 8)
        for second in range(5):
            ledger.report(load(1, step_us=10_000), 10.0 + second)
        ledger.lend(borrow("old"), 14.0)
        for second in range(2):
            ledger.report(load(1, step_us=50_000), 15.0 + second)
        assert ledger.limit == 6
        ledger.report(load(1, step_us=50_000), 17.0)
        assert ledger.limit == 2
        # Work from before the cliff earns nothing.
        ledger.release(release("old"), 18.0)
        assert ledger.finished == 0

    def test_one_slow_step_is_no_cliff(self, ledger):
        self.earn(ledger, 8)
        for second, step_us in enumerate([10_000, 90_000, 10_000, 90_000, 10_000]):
            ledger.report(load(1, step_us=step_us), 10.0 + second)
        assert ledger.limit == 6

    def test_report_that_overtook_another_is_kept(self, ledger):
        ledger.report(load(2), 10.0)
        ledger.report(load(0, age_ms=900), 10.1)
        assert ledger.load.running == 2


class TestReports:
    @pytest.mark.parametrize(("count", "interval_s"), [(0, 0.5), (33, 0.5), (115, 1.725), (999, 2)])
    def test_grow_rarer_but_never_stale(self, count, interval_s):
        assert slots.holdings_interval_s(count) == pytest.approx(interval_s)
        assert 2 * slots.MOST_HOLDINGS_S < slots.HOLDING_STALE_S
