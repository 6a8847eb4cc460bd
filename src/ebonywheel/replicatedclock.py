"""Replicated time: command timestamps that continue from the last leader's, not from a wall clock.

A new leader reads its wall clock only if it has heard no leader since its own start. A wall clock
that steps, or that is wrong on one host, therefore does not change when keys and quarantines
expire.
"""

from ebonywheel import clock


class ReplicatedClock:
    """Replicated time as known to one host.

    Attributes:
        base_ms: Replicated time when it was last set, in milliseconds.
        set_at: When it was last set, monotonic seconds of this host.
        is_set: Whether this host has heard a leader or led since its start.
    """

    def __init__(self, local_clock: clock.Clock):
        self.local_clock = local_clock
        self.base_ms = 0
        self.set_at = 0.0
        self.is_set = False

    def observe(self, at_ms: int) -> None:
        """Advance to the leader's time; an older one is ignored."""
        now_ms = self.now_ms() if self.is_set else 0
        self._set(max(at_ms, now_ms))

    def start_leading(self, min_ms: int) -> None:
        """Start to issue timestamps as the leader, none earlier than `min_ms`."""
        now_ms = self.now_ms() if self.is_set else int(self.local_clock.wall() * 1000)
        self._set(max(min_ms, now_ms))

    def now_ms(self) -> int:
        """Return the replicated time in milliseconds."""
        return self.base_ms + int((self.local_clock.monotonic() - self.set_at) * 1000)

    def _set(self, now_ms: int) -> None:
        self.base_ms = now_ms
        self.set_at = self.local_clock.monotonic()
        self.is_set = True
