"""How long a stream may be silent before its connection is doubted, judged by its own pace."""

FIRST_SILENCE_S = 3.0
MIN_SILENCE_S = 0.8
SILENCE_GAPS = 20.0
SLOW_EXTRA_S = 2.0
KEEP_ALIVE_GAPS = 1.6
MOST_KEEP_ALIVE_S = 10.0
PACE_DECAY = 0.1


class Pace:
    """The usual gaps of one stream.

    Attributes:
        token_gap_s: Smoothed gap between tokens, or None before the second token.
        keep_alive_gap_s: Longest silence that a keep-alive ended.
    """

    def __init__(self):
        self.token_gap_s: float | None = None
        self.keep_alive_gap_s = 0.0

    def observe_tokens(self, gap_s: float, count: int) -> None:
        """Take in the gap before `count` tokens that came together."""
        gap_s /= count
        if self.token_gap_s is None:
            self.token_gap_s = gap_s
        else:
            self.token_gap_s += PACE_DECAY * (gap_s - self.token_gap_s)

    def observe_keep_alive(self, gap_s: float) -> None:
        """Take in the gap before a keep-alive."""
        self.keep_alive_gap_s = min(max(self.keep_alive_gap_s, gap_s), MOST_KEEP_ALIVE_S)

    def silence_s(self) -> float:
        """Return the silence in seconds after which the connection is doubted."""
        if self.token_gap_s is None:
            return max(FIRST_SILENCE_S, KEEP_ALIVE_GAPS * self.keep_alive_gap_s)
        gap_s = self.token_gap_s
        usual_s = min(SILENCE_GAPS * gap_s, gap_s + SLOW_EXTRA_S)
        return max(MIN_SILENCE_S, usual_s, KEEP_ALIVE_GAPS * self.keep_alive_gap_s)
