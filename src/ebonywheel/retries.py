"""Retry budgets: retries are a share of first tries, so that a failure causes no retry storm."""

import random

# Most retries that a budget can hold.
BURST_RETRIES = 10.0
# A pause is at most BASE_PAUSE_S, doubled with each try made, and never above MAX_PAUSE_S.
BASE_PAUSE_S = 0.02
MAX_PAUSE_S = 0.5


def pause_s(tries: int) -> float:
    """Return a random pause before the next try (exponential backoff with full jitter)."""
    return random.uniform(0.0, min(MAX_PAUSE_S, BASE_PAUSE_S * 2**tries))


class RetryBudget:
    """A budget that each first try adds to and each retry takes from.

    Attributes:
        burst: Most retries that the budget can hold.
        available: Retries that may be made now.
    """

    def __init__(self, burst: float = BURST_RETRIES):
        self.burst = burst
        self.available = burst

    def add_first_try(self, share: float) -> None:
        """Count a first try; `share` is the fraction of a retry that it adds."""
        self.available = min(self.burst, self.available + share)

    def take(self) -> bool:
        """Take one retry from the budget; return whether there was one."""
        if self.available < 1.0:
            return False
        self.available -= 1.0
        return True


class RetryBudgets:
    """The retry budgets of all services."""

    def __init__(self):
        self.budgets: dict[str, RetryBudget] = {}

    def of(self, service: str) -> RetryBudget:
        """Return a service's budget, which is full at first."""
        return self.budgets.setdefault(service, RetryBudget())
