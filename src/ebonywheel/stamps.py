"""Replicated time: stamps on commands that go on from the last leader's, not from a wall clock.

Only a host that has heard no leader since its own start asks its wall clock, so that a clock that
steps, or that is wrong on one host, does not move the time that keys and quarantines end by.
"""

from ebonywheel import clock


class StampClock:
    """Replicated time as one host knows it."""

    def __init__(self, source: clock.Clock):
        self.source = source
        self.base_ms = 0
        self.at = 0.0
        self.heard = False

    def observe(self, at_ms: int) -> None:
        """Take in the leader's time; it never goes back."""
        now_ms = self.now_ms() if self.heard else 0
        self._set(max(at_ms, now_ms))

    def lead(self, least_ms: int) -> None:
        """Begin to give stamps as the leader, none of them before `least_ms`."""
        now_ms = self.now_ms() if self.heard else int(self.source.wall() * 1000)
        self._set(max(least_ms, now_ms))

    def now_ms(self) -> int:
        """Return the replicated time in milliseconds."""
        return self.base_ms + int((self.source.monotonic() - self.at) * 1000)

    def _set(self, now_ms: int) -> None:
        self.base_ms = now_ms
        self.at = self.source.monotonic()
        self.heard = True
