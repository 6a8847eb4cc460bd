"""Repeats stay within the budget that all hosts share, summed over all of them."""

import random

from ebonywheel.gateway import refusals

RATIO, SPARE, WINDOW_S, HOSTS = 0.2, 54.0, 10.0, 7


def play(rate, wanted_share, seed, seconds=40):
    """Return times of first tries and of repeats over all hosts, which all want many repeats."""
    rng = random.Random(seed)
    budgets = [refusals.Budgets(RATIO, SPARE, lambda: HOSTS) for _ in range(HOSTS)]
    first, repeats = [], []
    for step in range(int(seconds * rate)):
        at = step / rate
        budget = rng.choice(budgets)
        budget.first_try("book")
        first.append(at)
        if rng.random() < wanted_share and budget.take("book"):
            repeats.append(at)
    return first, repeats


def test_no_window_holds_more_than_the_budget():
    for rate in (2, 20, 200):
        for seed in range(5):
            first, repeats = play(rate, 0.9, seed)
            for start in range(0, 30):
                window = [at for at in repeats if start <= at < start + WINDOW_S]
                asked = [at for at in first if start <= at < start + WINDOW_S]
                assert len(window) <= RATIO * len(asked) + SPARE


def test_an_ordinary_share_of_failures_is_repeated():
    _, repeats = play(20, 0.1, 3)
    assert len(repeats) >= 0.09 * 20 * 40


def test_each_service_has_its_own_budget():
    budgets = refusals.Budgets(0.0, 7.0, lambda: 7)
    assert budgets.take("book")
    assert not budgets.take("book")
    assert budgets.take("plan")
