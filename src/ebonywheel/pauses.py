"""Detection of pauses of this process, and of what it knew before the last one.

A process that was stopped, suspended or starved finds requests in its sockets that their senders
may have given up long ago. A request that is read after a pause may have arrived at its beginning.
"""

import collections.abc

import curio
import msgspec

from ebonywheel import kernel

CHECK_INTERVAL_S = 0.05
# Much less than the time after which callers give a request up.
MIN_PAUSE_S = 0.25
# After a pause, how long requests that arrived during it may still wait to be read.
BACKLOG_S = 1.0
# Pauses that follow each other this closely count as one, up to `MAX_SERIES_S` from the first.
MAX_SERIES_S = 10.0


class Arrival(msgspec.Struct, frozen=True):
    """The earliest moment at which a request may have arrived.

    Attributes:
        at: Monotonic seconds.
        known_index: Log index up to which this process had applied the log then.
    """

    at: float
    known_index: int


class Pauses:
    """Notices pauses by a task that is due at short intervals.

    Attributes:
        applied_index: Returns the log index up to which this process has applied the log.
        last_check: The newest moment at which the process is known to have run.
        before: The last such moment before the last pause.
        began_at: When the first pause of the last series ended, monotonic seconds.
        ended_at: When the last pause ended, monotonic seconds.
    """

    def __init__(self, core: kernel.Kernel, applied_index: collections.abc.Callable[[], int]):
        self.core = core
        self.applied_index = applied_index
        self.last_check = Arrival(core.clock.monotonic(), applied_index())
        self.before = self.last_check
        self.began_at = float("-inf")
        self.ended_at = float("-inf")

    async def run(self) -> None:
        """Check for pauses until cancelled."""
        while True:
            self._check()
            await curio.sleep(CHECK_INTERVAL_S)

    def earliest_arrival(self) -> Arrival:
        """Return when a request that has just been read may have arrived."""
        self._check()
        if self.last_check.at - self.ended_at < BACKLOG_S:
            return self.before
        return self.last_check

    def _check(self) -> None:
        now = self.core.clock.monotonic()
        if now - self.last_check.at >= MIN_PAUSE_S:
            follows = self.last_check.at - self.ended_at < BACKLOG_S
            if not follows or now - self.began_at > MAX_SERIES_S:
                self.before = self.last_check
                self.began_at = now
            self.ended_at = now
            self.core.log.info("paused", paused_ms=int((now - self.last_check.at) * 1000))
        self.last_check = Arrival(now, self.applied_index())
