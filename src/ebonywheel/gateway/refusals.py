"""Errors for failed requests, and retry budgets that all entry hosts share equally."""

import typing

from ebonywheel import exceptions, retries
from ebonywheel.gateway import balance, inflight, view

# Retry-after time when no better value is known: two report periods of the servers.
RETRY_AFTER_S = 1.0
STATUS_NOT_RUN = 503
STATUS_OUTCOME_UNKNOWN = 502
STATUS_TIMEOUT = 504
# Share of the common budget that may be used. The rest is a margin for what hosts learn of each
# other only after a delay, such as a change in their number.
USABLE_SHARE = 0.8


def not_run_error(
    context: inflight.RequestContext, retry_after_s: float = RETRY_AFTER_S
) -> exceptions.NotRunError:
    """Return the error for a request that did not run."""
    return exceptions.NotRunError(
        context.reason or "no server",
        "forward",
        context.request.attempt,
        STATUS_NOT_RUN,
        retry_after_s,
    )


def retry_after_s(entry_view: view.EntryView, context: inflight.RequestContext) -> float:
    """Return when a request that found no server may find one."""
    return entry_view.retry_after_s(context.service.name) or RETRY_AFTER_S


def quarantined_error(
    context: inflight.RequestContext, remaining_s: float
) -> exceptions.NotRunError:
    """Return the error for a request that would crash its server.

    Its status promises that the request did not run; a 422 would leave that open.
    """
    context.reason = "quarantined: such requests crash servers"
    return not_run_error(context, remaining_s)


def outcome_unknown_error(context: inflight.RequestContext) -> exceptions.HttpError:
    """Return the error for a request that may have run."""
    return exceptions.HttpError(
        context.reason, "forward", context.request.attempt, STATUS_OUTCOME_UNKNOWN
    )


def timeout_error(context: inflight.RequestContext) -> exceptions.HttpError:
    """Return the error for a request whose deadline passed."""
    return exceptions.HttpError("time ran out", "forward", context.request.attempt, STATUS_TIMEOUT)


def check_reach(
    entry_view: view.EntryView, context: inflight.RequestContext, candidate: balance.Candidate
) -> None:
    """Check that this host reaches the server that it has chosen.

    Raises:
        ElsewhereError: It does not, and another host may serve the request.
    """
    if context.elsewhere and entry_view.is_out_of_reach(candidate):
        raise exceptions.ElsewhereError(
            "this host cannot reach the servers",
            "forward",
            context.request.attempt,
            STATUS_NOT_RUN,
            RETRY_AFTER_S,
        )


class Budgets:
    """Retry budgets by service: this host's part of the budgets that all entry hosts share.

    Attributes:
        ratio: Retries allowed per first try, summed over all hosts.
        slack: Retries allowed beyond that in each window, summed over all hosts.
        count_hosts: Returns the number of entry hosts that share the budgets.
        budgets: Budgets by service name.
    """

    def __init__(self, ratio: float, slack: float, count_hosts: typing.Callable[[], int]):
        self.ratio = ratio
        self.slack = slack
        self.count_hosts = count_hosts
        self.budgets: dict[str, retries.RetryBudget] = {}

    def count_first_try(self, service: str) -> None:
        """Count a request that is sent for the first time."""
        self._budget_for(service).add_first_try(self.ratio * USABLE_SHARE)

    def take_retry(self, service: str) -> bool:
        """Take one retry from the budget; return whether one was available."""
        return self._budget_for(service).take()

    def _budget_for(self, service: str) -> retries.RetryBudget:
        budget = self.budgets.get(service)
        if budget is None:
            budget = self.budgets[service] = retries.RetryBudget(self._max_burst())
        budget.burst = self._max_burst()
        return budget

    def _max_burst(self) -> float:
        # At least one, or a host with few requests could never retry.
        return max(1.0, USABLE_SHARE * self.slack / max(1, self.count_hosts()))
