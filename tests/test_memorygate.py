"""Tests of admission by memory at the home of a backend server."""

import pytest

from ebonywheel import documents, exceptions, memorygate, messages, slots

ENGINE = documents.Engine(cold_slots=100, warm_slots=100)


def make_ledger(total_blocks=100):
    state = messages.ServerState("planner-1", 1, total_blocks=total_blocks, block_tokens=16)
    return slots.SlotLedger(state, ENGINE)


def borrow(number, prompt=100, **fields):
    loan = f"loan-{number}"
    return messages.Borrow(
        loan, "entry-1", 1, "planner-1", 1, "plan", "a", prompt, **{"max_tokens": 4096, **fields}
    )


def admit(gate, ledger, request, now=1000.0):
    gate.check(ledger, request, now)
    ledger.lend(request, now)


def admit_until_refused(gate, ledger, limit=100, **fields):
    """Admit up to `limit` requests until one is refused; return how many were admitted."""
    for number in range(limit):
        try:
            admit(gate, ledger, borrow(number, **fields))
        except exceptions.NotRunError:
            return number
    return limit


def release(gate, ledger, number, tokens, outcome="finished"):
    message = messages.Release(f"loan-{number}", "planner-1", 1, tokens, outcome)
    record = ledger.release(message, 1000.0)
    if record is not None:
        gate.record_release(ledger, record.holding, message)


class TestCheck:
    def test_expected_answers_count_and_not_just_the_prompts(self):
        admitted = admit_until_refused(memorygate.MemoryGate(), make_ledger())
        assert 1 <= admitted < 1600 // 108

    def test_more_requests_are_admitted_once_short_answers_are_learnt(self):
        gate = memorygate.MemoryGate()
        before = admit_until_refused(gate, make_ledger())
        ledger = make_ledger(100_000)
        for number in range(200):
            admit(gate, ledger, borrow(number))
            release(gate, ledger, number, 8)
        assert admit_until_refused(gate, make_ledger()) > before

    def test_lengths_are_learnt_from_finished_requests_only(self):
        gate = memorygate.MemoryGate()
        ledger = make_ledger(100_000)
        for number, outcome in enumerate(("cancelled", "unused", "failed")):
            admit(gate, ledger, borrow(number))
            release(gate, ledger, number, 8, outcome)
        assert not gate.lengths.services

    def test_max_tokens_limits_the_expected_memory(self):
        with_long_answers = admit_until_refused(memorygate.MemoryGate(), make_ledger())
        assert (
            admit_until_refused(memorygate.MemoryGate(), make_ledger(), max_tokens=16)
            > with_long_answers
        )

    def test_first_request_is_always_admitted(self):
        assert admit_until_refused(memorygate.MemoryGate(), make_ledger(), 1, prompt=100_000) == 1

    def test_repeated_borrow_request_is_admitted(self):
        gate, ledger = memorygate.MemoryGate(), make_ledger()
        admitted = admit_until_refused(gate, ledger)
        admit(gate, ledger, borrow(admitted - 1))

    def test_server_without_memory_blocks_is_not_limited(self):
        assert admit_until_refused(memorygate.MemoryGate(), make_ledger(0), 100) == 100

    def test_reported_work_without_a_loan_counts(self):
        gate, ledger = memorygate.MemoryGate(), make_ledger()
        ledger.report(messages.ServerLoad("planner-1", 1, 10, 0, 98), 1000.0)
        ledger.lend(borrow(99, prompt=1), 999.0)
        with pytest.raises(exceptions.NotRunError) as caught:
            admit(gate, ledger, borrow(1))
        assert caught.value.retry_after

    def test_highest_priority_may_use_the_reserve(self):
        gate, ledger = memorygate.MemoryGate(), make_ledger()
        gate.highest_priority = 20
        admitted = admit_until_refused(gate, ledger, prompt=10, priority=0, max_tokens=8)
        with pytest.raises(exceptions.NotRunError):
            admit(gate, ledger, borrow("low", prompt=10, priority=0, max_tokens=8))
        admit(gate, ledger, borrow("high", prompt=10, priority=20, max_tokens=8))
        assert admitted > 1


class TestForecast:
    def test_tokens_generated_since_the_last_report_are_estimated(self):
        gate, ledger = memorygate.MemoryGate(margin=0.0), make_ledger(10_000)
        admit(gate, ledger, borrow(1, max_tokens=100_000), 999.0)
        ledger.report(messages.ServerLoad("planner-1", 1, 1, 0, 10, step_us=10_000), 1000.0)
        blocks = gate.expected_blocks(ledger, 1000.0)
        assert gate.expected_blocks(ledger, 1003.0) > blocks

    def test_cached_forecast_follows_later_loans_and_releases(self):
        gate, ledger = memorygate.MemoryGate(), make_ledger(10_000)
        admit(gate, ledger, borrow(0))
        blocks = gate.expected_blocks(ledger, 1000.0)
        admit(gate, ledger, borrow(1))
        assert gate.expected_blocks(ledger, 1000.0) > blocks
        release(gate, ledger, 1, 8, "cancelled")
        assert gate.expected_blocks(ledger, 1000.0) == blocks

    def test_margin_raises_the_forecast(self):
        ledger = make_ledger(10_000)
        ledger.lend(borrow(1), 1000.0)
        without_margin = memorygate.MemoryGate(margin=0.0).expected_blocks(ledger, 1000.0)
        assert memorygate.MemoryGate(margin=2.0).expected_blocks(ledger, 1000.0) > without_margin
