"""Time sources, so that policies can be tested without waiting."""

import time
import typing


class Clock(typing.Protocol):
    """A source of monotonic and wall-clock time in seconds."""

    def monotonic(self) -> float:
        """Return seconds since an arbitrary start; never goes back."""

    def wall(self) -> float:
        """Return seconds since the Unix epoch; may step."""


class SystemClock:
    """The machine's clocks."""

    def monotonic(self) -> float:
        """Return the machine's monotonic time, which goes on while the machine is suspended."""
        return time.clock_gettime(time.CLOCK_BOOTTIME)

    def wall(self) -> float:
        """Return the machine's wall-clock time."""
        return time.time()


class ManualClock:
    """A clock that tests move by hand."""

    def __init__(self, now: float = 1000.0, epoch: float = 1_700_000_000.0):
        self.now = now
        self.epoch = epoch

    def monotonic(self) -> float:
        """Return the time set by the test."""
        return self.now

    def wall(self) -> float:
        """Return the wall-clock time set by the test."""
        return self.epoch

    def advance(self, seconds: float) -> None:
        """Move both clocks forward."""
        self.now += seconds
        self.epoch += seconds
