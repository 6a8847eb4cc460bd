"""Errors for requests that failed or were refused."""

from ebonywheel import exceptions
from ebonywheel.gateway import balance, inflight, view

# Retry-after time when no better value is known: two report periods of the servers.
RETRY_AFTER_S = 1.0
STATUS_NOT_RUN = 503
STATUS_OUTCOME_UNKNOWN = 502
STATUS_TIMEOUT = 504


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
