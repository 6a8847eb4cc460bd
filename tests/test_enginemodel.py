"""Tests of the simulated engine: batching, memory, preemption, prefixes, cold start."""

import hypothesis
import pytest
from hypothesis import strategies

from ebonywheel import enginemodel


def make_model(**options):
    return enginemodel.EngineModel(enginemodel.ModelSettings(warm_after=0, **options))


def run_until_empty(model, max_steps=100_000):
    steps = []
    while model.sequence_count() and len(steps) < max_steps:
        steps.append(model.step())
    return steps


class TestBatch:
    def test_each_running_sequence_gets_a_token_in_each_step(self):
        model = make_model()
        first, second = model.add("a", 10, 3, 0, ""), model.add("b", 10, 5, 0, "")
        steps = run_until_empty(model)
        assert [step.batch for step in steps] == [2, 2, 2, 1, 1]
        assert (first.tokens, second.tokens, model.used_blocks()) == (3, 5, 0)

    def test_step_takes_longer_with_batch_and_prefill(self):
        model = make_model(step_s=0.01, step_per_sequence_s=0.001, prefill_per_token_s=0.0001)
        model.add("a", 100, 2, 0, "")
        model.add("b", 100, 2, 0, "")
        assert [step.duration_s for step in run_until_empty(model)] == pytest.approx([0.032, 0.012])

    def test_prefill_tokens_of_one_step_are_limited(self):
        model = make_model(max_prefill_tokens=100)
        for name in "abc":
            model.add(name, 80, 5, 0, "")
        assert [len(step.joined) for step in run_until_empty(model)[:2]] == [2, 1]

    def test_cancelled_sequence_frees_its_memory(self):
        model = make_model()
        sequence = model.add("a", 100, 50, 0, "")
        waiting = model.add("b", 100, 50, 0, "")
        model.step()
        model.cancel(sequence)
        model.cancel(waiting)
        assert (model.sequence_count(), model.used_blocks(), sequence.tokens) == (0, 0, 1)


class TestMemory:
    def test_latest_sequence_of_lowest_priority_is_preempted_and_resumes_later(self):
        model = make_model(total_blocks=8, block_tokens=16)
        high = model.add("high", 30, 60, 10, "")
        low = model.add("low", 30, 60, 0, "")
        steps = run_until_empty(model)
        assert [sequence.name for step in steps for sequence in step.preempted][0] == "low"
        assert model.preemptions >= 1
        assert (high.tokens, low.tokens) == (60, 60)
        finish_order = [sequence.name for step in steps for sequence in step.finished]
        assert finish_order == ["high", "low"]

    def test_preempted_sequence_prefills_its_prompt_and_generated_tokens(self):
        model = make_model(
            total_blocks=8, prefill_per_token_s=1.0, step_s=0.0, step_per_sequence_s=0
        )
        model.add("high", 30, 60, 10, "")
        model.add("low", 30, 60, 0, "")
        prefill_tokens = [step.duration_s for step in run_until_empty(model) if step.duration_s]
        assert prefill_tokens[0] == 60 and prefill_tokens[1] > 30

    def test_cached_prefix_is_not_prefilled_again(self):
        model = make_model(prefill_per_token_s=1.0, step_s=0.0, step_per_sequence_s=0)
        model.add("a", 100, 1, 0, "shared", 80)
        run_until_empty(model)
        model.add("b", 100, 1, 0, "shared", 80)
        assert model.step().duration_s == 20

    def test_cached_prefixes_are_evicted_for_running_sequences(self):
        model = make_model(total_blocks=8)
        model.add("a", 60, 1, 0, "shared", 60)
        run_until_empty(model)
        model.add("b", 100, 1, 0, "")
        run_until_empty(model)
        events = [(event.prefix, event.present) for event in model.take_cache_events()]
        assert events == [("shared", True), ("shared", False)]

    @hypothesis.settings(derandomize=True, max_examples=60, deadline=None)
    @hypothesis.given(
        strategies.lists(
            strategies.tuples(
                strategies.integers(1, 60), strategies.integers(1, 90), strategies.integers(0, 2)
            ),
            min_size=1,
            max_size=12,
        )
    )
    def test_all_tokens_are_generated_and_used_blocks_match_running_sequences(self, sequences):
        model = make_model(total_blocks=12, max_batch=8)
        added = [
            model.add(str(number), *arguments, "") for number, arguments in enumerate(sequences)
        ]
        generated = 0
        for _ in range(10_000):
            if not model.sequence_count():
                break
            generated += model.step().batch
            blocks = sum(sequence.blocks for sequence in model.running.values())
            assert model.used_blocks() == blocks
            assert blocks <= 12 or len(model.running) == 1
        assert [sequence.tokens for sequence in added] == [sequence.length for sequence in added]
        assert generated == sum(sequence.length for sequence in added)


class TestColdStart:
    def test_cold_engine_is_overloaded_by_one_sequence_too_many(self):
        model = enginemodel.EngineModel(enginemodel.ModelSettings(cold_bearable=2, warm_after=2))
        model.add("a", 10, 1, 0, "")
        model.add("b", 10, 1, 0, "")
        with pytest.raises(enginemodel.Overloaded):
            model.add("c", 10, 1, 0, "")

    def test_engine_is_warm_after_finished_sequences_until_made_cold(self):
        model = enginemodel.EngineModel(enginemodel.ModelSettings(cold_bearable=2, warm_after=2))
        model.add("a", 10, 1, 0, "")
        model.add("b", 10, 1, 0, "")
        run_until_empty(model)
        assert not model.cold()
        model.make_cold()
        assert model.cold()
