"""The engine model: batching, memory, preemption, prefixes, cold start."""

import hypothesis
import pytest
from hypothesis import strategies

from ebonywheel import enginemodel


def make(**options):
    return enginemodel.EngineModel(enginemodel.ModelSettings(warm_after=0, **options))


def run(model, most=100_000):
    steps = []
    while model.load() and len(steps) < most:
        steps.append(model.step())
    return steps


class TestBatch:
    def test_each_running_sequence_gets_a_token_in_each_step(self):
        model = make()
        first, second = model.add("a", 10, 3, 0, ""), model.add("b", 10, 5, 0, "")
        steps = run(model)
        assert [step.batch for step in steps] == [2, 2, 2, 1, 1]
        assert (first.tokens, second.tokens, model.used_blocks()) == (3, 5, 0)

    def test_step_takes_longer_with_batch_and_prefill(self):
        model = make(step_s=0.01, step_per_sequence_s=0.001, prefill_per_token_s=0.0001)
        model.add("a", 100, 2, 0, "")
        model.add("b", 100, 2, 0, "")
        assert [step.duration_s for step in run(model)] == pytest.approx([0.032, 0.012])

    def test_prefill_of_one_step_is_bounded(self):
        model = make(max_prefill_tokens=100)
        for name in "abc":
            model.add(name, 80, 5, 0, "")
        assert [len(step.joined) for step in run(model)[:2]] == [2, 1]

    def test_cancelled_sequence_frees_its_memory(self):
        model = make()
        sequence = model.add("a", 100, 50, 0, "")
        waiting = model.add("b", 100, 50, 0, "")
        model.step()
        model.cancel(sequence)
        model.cancel(waiting)
        assert (model.load(), model.used_blocks(), sequence.tokens) == (0, 0, 1)


class TestMemory:
    def test_latest_sequence_of_lowest_priority_is_preempted_and_goes_on_later(self):
        model = make(total_blocks=8, block_tokens=16)
        high = model.add("high", 30, 60, 10, "")
        low = model.add("low", 30, 60, 0, "")
        steps = run(model)
        assert [held.name for step in steps for held in step.preempted][0] == "low"
        assert model.preemptions >= 1
        assert (high.tokens, low.tokens) == (60, 60)
        order = [held.name for step in steps for held in step.finished]
        assert order == ["high", "low"]

    def test_preempted_sequence_is_prefilled_with_its_tokens(self):
        model = make(total_blocks=8, prefill_per_token_s=1.0, step_s=0.0, step_per_sequence_s=0)
        model.add("high", 30, 60, 10, "")
        model.add("low", 30, 60, 0, "")
        prefills = [step.duration_s for step in run(model) if step.duration_s]
        assert prefills[0] == 60 and prefills[1] > 30

    def test_cached_prefix_saves_prefill(self):
        model = make(prefill_per_token_s=1.0, step_s=0.0, step_per_sequence_s=0)
        model.add("a", 100, 1, 0, "shared", 80)
        run(model)
        model.add("b", 100, 1, 0, "shared", 80)
        assert model.step().duration_s == 20

    def test_cache_gives_way_to_running_sequences(self):
        model = make(total_blocks=8)
        model.add("a", 60, 1, 0, "shared", 60)
        run(model)
        model.add("b", 100, 1, 0, "")
        run(model)
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
    def test_all_tokens_are_generated_and_memory_adds_up(self, sequences):
        model = make(total_blocks=12, max_batch=8)
        made = [model.add(str(n), *held, "") for n, held in enumerate(sequences)]
        generated = 0
        for _ in range(10_000):
            if not model.load():
                break
            generated += model.step().batch
            held = sum(sequence.blocks for sequence in model.running.values())
            assert model.used_blocks() == held
            assert held <= 12 or len(model.running) == 1
        assert [held.tokens for held in made] == [held.length for held in made]
        assert generated == sum(held.length for held in made)


class TestColdStart:
    def test_cold_engine_falls_over_when_exceeded(self):
        model = enginemodel.EngineModel(enginemodel.ModelSettings(cold_bearable=2, warm_after=2))
        model.add("a", 10, 1, 0, "")
        model.add("b", 10, 1, 0, "")
        with pytest.raises(enginemodel.Overloaded):
            model.add("c", 10, 1, 0, "")

    def test_engine_is_warm_after_finished_requests_until_it_chills(self):
        model = enginemodel.EngineModel(enginemodel.ModelSettings(cold_bearable=2, warm_after=2))
        model.add("a", 10, 1, 0, "")
        model.add("b", 10, 1, 0, "")
        run(model)
        assert not model.cold()
        model.chill()
        assert model.cold()
