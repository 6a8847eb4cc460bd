"""Retry budgets by service: this host's part of the budgets that all entry hosts share."""

from ebonywheel import clock, retries
from ebonywheel.gateway import hostshare

# Share of the common budget that may be used. The rest is a margin for what hosts learn of each
# other only after a delay, such as a change in their number.
USABLE_SHARE = 0.8
# A host without a part of the slack keeps this many earned retries.
MIN_BURST = 1.0


class Budgets:
    """Retry budgets by service.

    What a process before this one has spent, or other hosts while this one was not counted, is not
    known here. A host therefore uses its part of the slack only once it has held it for a whole
    window; before, it may retry what its own first tries have earned since.

    Attributes:
        ratio: Retries allowed per first try, summed over all hosts.
        slack: Retries allowed beyond that in each window, summed over all hosts.
        window_s: Length of a window.
        share: This host's part.
        budgets: Budgets by service name.
        held_since: Since when this host holds the part that the budgets were filled from, monotonic
            seconds; None while it holds none.
    """

    def __init__(
        self,
        time_source: clock.Clock,
        ratio: float,
        slack: float,
        window_s: float,
        share: hostshare.HostShare,
    ):
        self.clock = time_source
        self.ratio = ratio
        self.slack = slack
        self.window_s = window_s
        self.share = share
        self.budgets: dict[str, retries.RetryBudget] = {}
        self.held_since: float | None = None

    def count_first_try(self, service: str) -> None:
        """Count a request that is sent for the first time."""
        self._budget_for(service).add_first_try(self.ratio * USABLE_SHARE)

    def take_retry(self, service: str) -> bool:
        """Take one retry from the budget; return whether one was available."""
        return self._budget_for(service).take()

    def _budget_for(self, service: str) -> retries.RetryBudget:
        self._check_share()
        budget = self.budgets.get(service)
        if budget is None:
            budget = self.budgets[service] = retries.RetryBudget()
        budget.burst = self._max_burst()
        if self.held_since is not None and self.share.held_s() >= self.window_s:
            budget.open()
        return budget

    def _check_share(self) -> None:
        """Empty the budgets if this host's part has been given to others since they were filled."""
        held_since = self.share.held_since if self.share.is_held() else None
        if held_since != self.held_since:
            self.held_since = held_since
            for budget in self.budgets.values():
                budget.close()

    def _max_burst(self) -> float:
        if self.held_since is None:
            return MIN_BURST
        # At least one, or a host with few requests could never retry.
        return max(MIN_BURST, USABLE_SHARE * self.slack / self.share.hosts)
