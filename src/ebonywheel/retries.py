"""Retry budgets: retries are a share of first tries, so that a failure cannot become a storm."""

import random

BURST_RETRIES = 10.0
FIRST_PAUSE_S = 0.02
LONGEST_PAUSE_S = 0.5


def pause_s(tries: int) -> float:
    """Return a random pause before the next try, longer with each one (full jitter)."""
    return random.uniform(0.0, min(LONGEST_PAUSE_S, FIRST_PAUSE_S * 2**tries))


class RetryBudget:
    """A budget that each first try adds to and each retry takes from.

    Attributes:
        burst: Most retries that may be held.
        held: Retries that may be made now.
    """

    def __init__(self, burst: float = BURST_RETRIES):
        self.burst = burst
        self.held = burst

    def add_first_try(self, share: float) -> None:
        """Note a first try; `share` is the part of a retry that it allows."""
        self.held = min(self.burst, self.held + share)

    def take(self) -> bool:
        """Take one retry from the budget; return whether there was one."""
        if self.held < 1.0:
            return False
        self.held -= 1.0
        return True


class RetryBudgets:
    """The budgets of all services."""

    def __init__(self):
        self.budgets: dict[str, RetryBudget] = {}

    def of(self, service: str) -> RetryBudget:
        """Return a service's budget."""
        return self.budgets.setdefault(service, RetryBudget())
