"""The silence timeout of a stream follows from its own gaps."""

import pytest

from ebonywheel import pace


def make_estimator(gap_s, keep_alive_gap_s=0.0):
    estimator = pace.GapEstimator()
    for _ in range(50):
        estimator.add_token_gap(gap_s, 1)
    if keep_alive_gap_s:
        estimator.add_keep_alive_gap(keep_alive_gap_s)
    return estimator


class TestSilenceTimeout:
    @pytest.mark.parametrize(
        ("gap_s", "min_timeout_s", "max_timeout_s"),
        [(0.010, 0.0, 1.0), (0.028, 0.0, 1.0), (0.2, 1.0, 3.0), (3.0, 4.0, 6.0)],
    )
    def test_scales_with_token_gap(self, gap_s, min_timeout_s, max_timeout_s):
        assert min_timeout_s < make_estimator(gap_s).silence_timeout_s() < max_timeout_s

    def test_exceeds_keep_alive_gap(self):
        assert make_estimator(0.01, 5.0).silence_timeout_s() > 5.0

    def test_first_token_has_its_own_timeout(self):
        assert pace.GapEstimator().silence_timeout_s() == pace.FIRST_TOKEN_TIMEOUT_S

    def test_gap_is_divided_among_tokens_that_arrive_together(self):
        estimator = pace.GapEstimator()
        estimator.add_token_gap(1.0, 100)
        assert estimator.token_gap_s == pytest.approx(0.01)
