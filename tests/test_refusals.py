"""Retries of all hosts together stay within the budget that they share."""

import random

from ebonywheel.gateway import refusals

RATIO, SLACK, WINDOW_S, HOSTS = 0.2, 54.0, 10.0, 7


def simulate(rate, failed_share, seed, seconds=40):
    """Return the times of first tries and of granted retries, in seconds, over all hosts."""
    rng = random.Random(seed)
    budgets = [refusals.Budgets(RATIO, SLACK, lambda: HOSTS) for _ in range(HOSTS)]
    first_tries, retries = [], []
    for step in range(int(seconds * rate)):
        at = step / rate
        budget = rng.choice(budgets)
        budget.count_first_try("book")
        first_tries.append(at)
        if rng.random() < failed_share and budget.take_retry("book"):
            retries.append(at)
    return first_tries, retries


def test_retries_in_any_window_stay_within_the_budget():
    for rate in (2, 20, 200):
        for seed in range(5):
            first_tries, retries = simulate(rate, 0.9, seed)
            for start in range(0, 30):
                retries_in_window = [at for at in retries if start <= at < start + WINDOW_S]
                first_tries_in_window = [at for at in first_tries if start <= at < start + WINDOW_S]
                assert len(retries_in_window) <= RATIO * len(first_tries_in_window) + SLACK


def test_a_low_failure_rate_is_retried_almost_always():
    _, retries = simulate(20, 0.1, 3)
    assert len(retries) >= 0.09 * 20 * 40


def test_each_service_has_its_own_budget():
    budgets = refusals.Budgets(0.0, 7.0, lambda: 7)
    assert budgets.take_retry("book")
    assert not budgets.take_retry("book")
    assert budgets.take_retry("plan")
