"""Tests of the slot ledger: it never counts fewer slots than requests in flight."""

import pytest

from ebonywheel import exceptions, messages, slots
from homes import ENGINE, make_announcement, make_borrow, make_holding, make_release


@pytest.fixture
def ledger():
    return slots.SlotLedger(make_announcement().state, ENGINE)


def make_load(running=0, age_ms=0, step_us=0):
    return messages.ServerLoad("planner-1", 1, running, 0, 0, step_us, 0, age_ms)


class TestLend:
    def test_cold_server_lends_only_its_cold_slots(self, ledger):
        ledger.lend(make_borrow("a"), 0.0)
        ledger.lend(make_borrow("b"), 0.0)
        with pytest.raises(exceptions.NotRunError, match="no slot free"):
            ledger.lend(make_borrow("c"), 0.0)

    def test_repeated_borrow_request_takes_one_slot(self, ledger):
        assert ledger.lend(make_borrow("a"), 0.0) == ledger.lend(make_borrow("a"), 0.1)
        assert ledger.used(0.1) == 1

    def test_released_loan_is_not_lent_again(self, ledger):
        ledger.lend(make_borrow("a"), 0.0)
        ledger.release(make_release("a"), 0.1)
        with pytest.raises(exceptions.NotRunError, match="already released"):
            ledger.lend(make_borrow("a"), 0.2)

    def test_loan_released_before_its_borrow_request_arrives_is_not_lent(self, ledger):
        ledger.release(make_release("a", "unused"), 0.1)
        with pytest.raises(exceptions.NotRunError, match="already released"):
            ledger.lend(make_borrow("a"), 0.2)

    def test_suspect_runs_alone(self, ledger):
        ledger.lend(make_borrow("a", alone=True), 0.0)
        with pytest.raises(exceptions.NotRunError, match="alone"):
            ledger.lend(make_borrow("b"), 0.0)


class TestOrphans:
    def test_silent_borrower_keeps_its_slot(self, ledger):
        ledger.lend(make_borrow("a"), 0.0)
        ledger.record_holding("b", make_holding("a"), 0.5)
        assert ledger.used(1000.0) == 1

    def test_failed_request_keeps_its_slot_until_it_is_cancelled(self, ledger):
        ledger.lend(make_borrow("a"), 0.0)
        ledger.release(make_release("a", "failed"), 1.0)
        assert (ledger.used(1.0), ledger.reclaimable_loans(1.0)) == (1, ["a"])
        ledger.mark_cancelled("a", 2.0)
        assert ledger.used(2.0) == 0

    def test_later_load_report_without_work_frees_the_slot(self, ledger):
        ledger.lend(make_borrow("a"), 0.0)
        ledger.release(make_release("a", "failed"), 1.0)
        ledger.report(make_load(0), 1.5)
        assert ledger.used(1.5) == 1
        ledger.report(make_load(0), 2.5)
        assert ledger.used(2.5) == 0

    def test_detached_stream_is_kept_for_the_reconnect_grace(self, ledger):
        ledger.lend(make_borrow("a"), 0.0)
        ledger.record_holding("b", make_holding("a"), 0.5)
        ledger.release(make_release("a", "detached"), 1.0)
        assert (ledger.used(2.0), ledger.reclaimable_loans(2.0)) == (1, [])
        assert ledger.reclaimable_loans(1.0 + slots.RECONNECT_GRACE_S) == ["a"]

    def test_stream_resumed_at_another_host_is_not_cancelled(self, ledger):
        ledger.lend(make_borrow("a"), 0.0)
        ledger.release(make_release("a", "detached"), 1.0)
        ledger.record_holding("c", make_holding("a"), 3.0)
        assert ledger.reclaimable_loans(7.0) == []

    def test_reported_requests_without_a_loan_count_as_used(self, ledger):
        ledger.report(make_load(2), 10.0)
        with pytest.raises(exceptions.NotRunError, match="no slot free"):
            ledger.lend(make_borrow("a"), 10.0)


class TestForeignRequests:
    def test_nothing_is_lent_before_a_recent_load_report(self):
        ledger = slots.SlotLedger(make_announcement().state, ENGINE, None)
        with pytest.raises(exceptions.NotRunError, match="not known yet"):
            ledger.lend(make_borrow("a"), 5.0)
        ledger.report(make_load(1), 4.9)
        ledger.count_foreign(4.0)
        assert ledger.foreign is None
        ledger.report(make_load(1), 5.1)
        ledger.count_foreign(4.0)
        assert (ledger.foreign, ledger.used(5.1)) == (1, 1)

    def test_foreign_request_released_twice_frees_one_slot(self):
        ledger = slots.SlotLedger(make_announcement().state, ENGINE, None)
        ledger.report(make_load(2), 5.0)
        ledger.count_foreign(4.0)
        ledger.record_holding("b", make_holding("x"), 7.0)
        ledger.release(make_release("x"), 8.0)
        ledger.release(make_release("x"), 8.1)
        assert ledger.foreign == 1


class TestLimit:
    def finish_requests(self, ledger, count):
        start = len(ledger.records)
        for number in range(start, start + count):
            ledger.lend(make_borrow(f"w{number}"), 1.0)
            ledger.release(make_release(f"w{number}"), 1.0)

    def test_limit_is_raised_only_by_finished_requests(self, ledger):
        self.finish_requests(ledger, 4)
        assert ledger.limit == 4
        ledger.lend(make_borrow("x"), 1.0)
        ledger.release(make_release("x", "cancelled"), 1.0)
        assert ledger.limit == 4
        self.finish_requests(ledger, 100)
        assert (ledger.limit, ledger.is_warm()) == (6, True)

    def test_sustained_slowdown_resets_the_limit(self, ledger):
        self.finish_requests(ledger, 8)
        for second in range(5):
            ledger.report(make_load(1, step_us=10_000), 10.0 + second)
        ledger.lend(make_borrow("old"), 14.0)
        for second in range(2):
            ledger.report(make_load(1, step_us=50_000), 15.0 + second)
        assert ledger.limit == 6
        ledger.report(make_load(1, step_us=50_000), 17.0)
        assert ledger.limit == 2
        # A request lent before the slowdown does not count towards a raise.
        ledger.release(make_release("old"), 18.0)
        assert ledger.finished_since_raise == 0

    def test_single_slow_steps_do_not_reset_the_limit(self, ledger):
        self.finish_requests(ledger, 8)
        for second, step_us in enumerate([10_000, 90_000, 10_000, 90_000, 10_000]):
            ledger.report(make_load(1, step_us=step_us), 10.0 + second)
        assert ledger.limit == 6

    def test_older_report_that_arrives_later_is_ignored(self, ledger):
        ledger.report(make_load(2), 10.0)
        ledger.report(make_load(0, age_ms=900), 10.1)
        assert ledger.load.running == 2


class TestHoldingsInterval:
    @pytest.mark.parametrize(("count", "interval_s"), [(0, 0.5), (33, 0.5), (115, 1.725), (999, 2)])
    def test_interval_grows_with_slots_but_stays_below_stale_time(self, count, interval_s):
        assert slots.holdings_interval_s(count) == pytest.approx(interval_s)
        assert 2 * slots.MAX_HOLDINGS_INTERVAL_S < slots.HOLDING_STALE_S
