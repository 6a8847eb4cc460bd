"""Length estimates: conditional on the tokens so far, by service and customer."""

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
        marks = [survival(tokens) for tokens in (0, 4, 50, 200, 3000, 60_000, 70_000)]
        assert marks[0] == 1.0 and marks[-1] == 0.0
        assert marks == sorted(marks, reverse=True)

    def test_row_is_conditional_on_the_tokens_so_far(self):
        estimator = lengths.LengthHistograms()
        learn(estimator, "plan", "a", [20] * 300 + [2000] * 100)
        survival = estimator.survival("plan", "a")
        at = lengths.HORIZON.index(128)
        assert survival.row(0)[0] == 1.0
        assert survival.row(0)[at] < 0.35
        assert survival.row(100)[at] > 0.8

    def test_long_tail_makes_the_remaining_length_grow(self):
        estimator = lengths.LengthHistograms()
        chance = random.Random(1)
        learn(estimator, "plan", "a", [int(50 * chance.paretovariate(1.3)) for _ in range(500)])
        survival = estimator.survival("plan", "a")
        assert lengths.remaining(survival, 1000) > lengths.remaining(survival, 100)


class TestLearning:
    def test_new_customer_gets_the_estimate_of_the_service(self):
        estimator = lengths.LengthHistograms()
        learn(estimator, "label", "old", [8] * 200)
        assert estimator.expected("label", "new") < 20
        assert estimator.expected("plan", "new") > 100

    def test_customer_with_many_answers_has_its_own_estimate(self):
        estimator = lengths.LengthHistograms()
        learn(estimator, "plan", "short", [20] * 200)
        learn(estimator, "plan", "long", [1000] * 200)
        assert estimator.expected("plan", "short") < 100 < 700 < estimator.expected("plan", "long")

    def test_old_observations_fade(self):
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
        assert len(estimator.customers) == lengths.MOST_HISTOGRAMS
        held = next(iter(estimator.customers.values()))
        key = next(iter(estimator.customers))
        each = sys.getsizeof(held) + sys.getsizeof(held.counts) + sys.getsizeof(key) + 160
        assert each * len(estimator.customers) < 16 * 1024 * 1024


class TestOracle:
    @pytest.mark.parametrize("so_far, going_on", [(0, 4), (50, 2), (200, 1)])
    def test_knows_when_a_generation_ends_and_never_thinks_it_over(self, so_far, going_on):
        row = lengths.KnownLengths().survival("plan", "a", 100).row(so_far)
        assert sum(row) == going_on
