"""Retry budgets: retries are a share of first tries, so that a failure causes no retry storm."""

import random

from ebonywheel import clock

# Most retries that a budget can hold.
BURST_RETRIES = 10.0
# Time over which the retries of a host, whichever processes it runs, are a share of its first tries
# and one burst.
WINDOW_S = 10.0
# A pause is at most BASE_PAUSE_S, doubled with each try made, and never above MAX_PAUSE_S.
BASE_PAUSE_S = 0.02
MAX_PAUSE_S = 0.5


def pause_s(tries: int) -> float:
    """Return a random pause before the next try (exponential backoff with full jitter)."""
    return random.uniform(0.0, min(MAX_PAUSE_S, BASE_PAUSE_S * 2**tries))


class RetryBudget:
    """A budget that each first try adds to and each retry takes from.

    It is closed at first, as an earlier process may have spent its burst just now, and then holds
    only what first tries add. Retries of tries that no server has received may use the burst also
    then: they bring servers no more work.

    Attributes:
        burst: Most retries that the budget can hold.
        opened: Whether it has been opened.
        available: Retries that may be made now.
        added: Retries that were added, or taken from the burst, while it was closed.
    """

    def __init__(self, burst: float = BURST_RETRIES, initial: float = 0.0):
        self.burst = burst
        self.opened = False
        self.available = initial
        self.added = initial

    def add_first_try(self, share: float) -> None:
        """Count a first try; `share` is the fraction of a retry that it adds."""
        self.available = min(self.burst, self.available + share)
        if not self.opened:
            self.added += share

    def take(self, sent: bool = True) -> bool:
        """Take one retry from the budget; return whether there was one.

        Args:
            sent: Whether any part of the failed try may have reached a server.
        """
        self.available = min(self.burst, self.available)
        if self.available >= 1.0:
            self.available -= 1.0
            return True
        if sent or self.opened or self.added + 1.0 > self.burst:
            return False
        self.added += 1.0
        return True

    def open(self) -> None:
        """Add the burst, less what was added before."""
        if not self.opened:
            self.opened = True
            self.available += max(0.0, self.burst - self.added)

    def close(self) -> None:
        """Empty the budget, and hold back its burst until it is opened again."""
        self.opened = False
        self.available = 0.0
        self.added = 0.0


class RetryBudgets:
    """The retry budgets of all services.

    A process begins with a single retry. Restarts at intervals of a second or more add no more than
    one burst in each window.

    Attributes:
        opens_at: When budgets are opened, monotonic seconds: a process before this one may have
            spent its own within `WINDOW_S` before the start.
    """

    def __init__(self, time_source: clock.Clock):
        self.clock = time_source
        self.opens_at = time_source.monotonic() + WINDOW_S
        self.budgets: dict[str, RetryBudget] = {}

    def of(self, service: str) -> RetryBudget:
        """Return a service's budget."""
        budget = self.budgets.get(service)
        if budget is None:
            budget = self.budgets[service] = RetryBudget(initial=1.0)
        if self.clock.monotonic() >= self.opens_at:
            budget.open()
        return budget
