"""Time sources, exchangeable so that tests need not wait."""

import time
import typing


class Clock(typing.Protocol):
    """A source of monotonic and wall-clock time in seconds."""

    def monotonic(self) -> float:
        """Return the seconds since an arbitrary start; never decreases."""

    def wall(self) -> float:
        """Return the seconds since the Unix epoch; may jump when the clock is set."""


class SystemClock:
    """The clocks of the host."""

    def monotonic(self) -> float:
        """Return the seconds since boot, including the time that the host was suspended."""
        return time.clock_gettime(time.CLOCK_BOOTTIME)

    def wall(self) -> float:
        """Return the host's wall-clock time."""
        return time.time()


class ManualClock:
    """A clock for tests, which moves only when it is told to."""

    def __init__(self, now: float = 1000.0, wall_now: float = 1_700_000_000.0):
        self.now = now
        self.wall_now = wall_now

    def monotonic(self) -> float:
        """Return the monotonic time set by the test."""
        return self.now

    def wall(self) -> float:
        """Return the wall-clock time set by the test."""
        return self.wall_now

    def advance(self, seconds: float) -> None:
        """Move both clocks forward."""
        self.now += seconds
        self.wall_now += seconds
