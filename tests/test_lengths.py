"""Tests of length estimates: conditional on the tokens so far, by service and customer."""

import random
import sys

import pytest

from ebonywheel import lengths


def learn(estimator, service, customer, values):
    for value in values:
        estimator.observe(service, customer, value)


class TestSurvival:
    def test_falls_from_one_to_zero(self):
        survival = lengths.LengthHistograms().survival("plan", "new")
        values = [survival(tokens) for tokens in (0, 4, 50, 200, 3000, 60_000, 70_000)]
        assert values[0] == 1.0 and values[-1] == 0.0
        assert values == sorted(values, reverse=True)

    def test_forecast_is_conditional_on_the_tokens_so_far(self):
        estimator = lengths.LengthHistograms()
        learn(estimator, "plan", "a", [20] * 300 + [2000] * 100)
        survival = estimator.survival("plan", "a")
        index = lengths.HORIZON.index(128)
        assert survival.over_horizon(0)[0] == 1.0
        assert survival.over_horizon(0)[index] < 0.35
        assert survival.over_horizon(100)[index] > 0.8

    def test_expected_remaining_length_grows_in_a_heavy_tail(self):
        estimator = lengths.LengthHistograms()
        rng = random.Random(1)
        learn(estimator, "plan", "a", [int(50 * rng.paretovariate(1.3)) for _ in range(500)])
        survival = estimator.survival("plan", "a")
        assert lengths.expected_remaining(survival, 1000) > lengths.expected_remaining(
            survival, 100
        )


class TestLearning:
    def test_new_customer_starts_with_the_estimate_of_the_service(self):
        estimator = lengths.LengthHistograms()
        learn(estimator, "label", "old", [8] * 200)
        assert estimator.expected("label", "new") < 20
        assert estimator.expected("plan", "new") > 100

    def test_customer_with_many_answers_has_its_own_estimate(self):
        estimator = lengths.LengthHistograms()
        learn(estimator, "plan", "short", [20] * 200)
        learn(estimator, "plan", "long", [1000] * 200)
        assert estimator.expected("plan", "short") < 100 < 700 < estimator.expected("plan", "long")

    def test_old_observations_lose_weight(self):
        estimator = lengths.LengthHistograms()
        learn(estimator, "plan", "a", [2000] * 500)
        learn(estimator, "plan", "a", [20] * 3000)
        assert estimator.expected("plan", "a") < 100


class TestBounds:
    def test_memory_is_bounded_at_ten_thousand_customers_of_twenty_services(self):
        estimator = lengths.LengthHistograms()
        for customer in range(10_000):
            for service in range(20):
                estimator.observe(str(service), str(customer), 100)
        assert len(estimator.customers) == lengths.MAX_HISTOGRAMS
        histogram = next(iter(estimator.customers.values()))
        key = next(iter(estimator.customers))
        entry_bytes = (
            sys.getsizeof(histogram) + sys.getsizeof(histogram.counts) + sys.getsizeof(key) + 160
        )
        assert entry_bytes * len(estimator.customers) < 16 * 1024 * 1024


class TestOracle:
    @pytest.mark.parametrize("so_far, running_steps", [(0, 4), (50, 2), (200, 1)])
    def test_steps_before_the_known_end_have_probability_one(self, so_far, running_steps):
        probabilities = lengths.KnownLengths().survival("plan", "a", 100).over_horizon(so_far)
        assert sum(probabilities) == running_steps
