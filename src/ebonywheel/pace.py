"""Silence timeout of a stream's connection, derived from the stream's own gaps."""

FIRST_TOKEN_TIMEOUT_S = 3.0
MIN_SILENCE_TIMEOUT_S = 0.8
TOKEN_GAP_MULTIPLE = 20.0
MAX_EXTRA_SILENCE_S = 2.0
KEEP_ALIVE_GAP_MULTIPLE = 1.6
MAX_KEEP_ALIVE_GAP_S = 10.0
SMOOTHING_FACTOR = 0.1


class GapEstimator:
    """Tracks the gaps of one stream.

    Attributes:
        token_gap_s: Smoothed gap between tokens in seconds, or None before the second token.
        keep_alive_gap_s: Longest gap before a keep-alive in seconds, capped.
    """

    def __init__(self):
        self.token_gap_s: float | None = None
        self.keep_alive_gap_s = 0.0

    def add_token_gap(self, gap_s: float, count: int) -> None:
        """Record the gap before `count` tokens that arrived together."""
        gap_s /= count
        if self.token_gap_s is None:
            self.token_gap_s = gap_s
        else:
            self.token_gap_s += SMOOTHING_FACTOR * (gap_s - self.token_gap_s)

    def add_keep_alive_gap(self, gap_s: float) -> None:
        """Record the gap before a keep-alive."""
        self.keep_alive_gap_s = min(max(self.keep_alive_gap_s, gap_s), MAX_KEEP_ALIVE_GAP_S)

    def silence_timeout_s(self) -> float:
        """Return the silence in seconds after which the connection counts as failed."""
        if self.token_gap_s is None:
            return max(FIRST_TOKEN_TIMEOUT_S, KEEP_ALIVE_GAP_MULTIPLE * self.keep_alive_gap_s)
        gap_s = self.token_gap_s
        token_timeout_s = min(TOKEN_GAP_MULTIPLE * gap_s, gap_s + MAX_EXTRA_SILENCE_S)
        return max(
            MIN_SILENCE_TIMEOUT_S, token_timeout_s, KEEP_ALIVE_GAP_MULTIPLE * self.keep_alive_gap_s
        )
