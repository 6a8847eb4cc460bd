"""Upkeep of a process's accounts of memory: slow peers are shed, and free memory is given back."""

import curio

from ebonywheel import allocator, kernel

INTERVAL_S = 1.0
# A process that stood still has not read what its peers sent meanwhile: nobody is slow then.
MAX_INTERVAL_S = 2.0
# Free memory is given back once less than this part of the last peak is held, if that was this much
# at least, and no more often than this.
TRIM_PART = 1 / 2
TRIM_MIN_BYTES = 4 * 1024 * 1024
TRIM_INTERVAL_S = 5.0


class MemoryCare:
    """Looks after the accounts of one process.

    Attributes:
        peak: Most bytes held since memory was given back last.
    """

    def __init__(self, core: kernel.Kernel):
        self.core = core
        self.accounts = (core.callers, core.operators)
        self.peak = 0
        self.trimmed_at = float("-inf")

    async def run(self) -> None:
        """Look after the accounts until cancelled."""
        if not allocator.return_large_blocks():
            self.core.log.info("allocator_unknown")
        looked_at = self.core.clock.monotonic()
        while True:
            await curio.sleep(INTERVAL_S)
            now = self.core.clock.monotonic()
            if now - looked_at <= MAX_INTERVAL_S:
                for account in self.accounts:
                    account.shed_slow()
            looked_at = now
            self._trim(now)

    def _trim(self, now: float) -> None:
        """Give memory back after a crowd has gone."""
        held = sum(account.held for account in self.accounts)
        peak = max(self.peak, *(account.take_peak() for account in self.accounts))
        self.peak = peak
        if peak < TRIM_MIN_BYTES or held > peak * TRIM_PART:
            return
        if now - self.trimmed_at < TRIM_INTERVAL_S:
            return
        self.trimmed_at = now
        self.peak = held
        allocator.trim()
        self.core.metrics.count("memory_trims")
