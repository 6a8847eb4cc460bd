"""The silence that a stream may have follows from its own gaps."""

import pytest

from ebonywheel import pace


def steady(gap_s, keep_alive_s=0.0):
    made = pace.Pace()
    for _ in range(50):
        made.observe_tokens(gap_s, 1)
    if keep_alive_s:
        made.observe_keep_alive(keep_alive_s)
    return made


class TestSilence:
    @pytest.mark.parametrize(
        ("gap_s", "least", "most"),
        [(0.010, 0.0, 1.0), (0.028, 0.0, 1.0), (0.2, 1.0, 3.0), (3.0, 4.0, 6.0)],
    )
    def test_follows_the_streams_own_gaps(self, gap_s, least, most):
        assert least < steady(gap_s).silence_s() < most

    def test_waits_for_a_late_keep_alive(self):
        assert steady(0.01, 5.0).silence_s() > 5.0

    def test_first_token_may_take_longer(self):
        assert pace.Pace().silence_s() == pace.FIRST_SILENCE_S

    def test_tokens_that_come_together_count_each(self):
        made = pace.Pace()
        made.observe_tokens(1.0, 100)
        assert made.token_gap_s == pytest.approx(0.01)
