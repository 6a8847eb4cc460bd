"""Forecast of the wait until an engine has a place for a request.

An engine's runs give back memory at a steady rate: what they are expected to need, over the time
that one takes. Its unread prompts shrink at the rate at which it reads.
"""

import random
import typing

from ebonywheel.gateway import balance, places

# Weight of the latest run in the time that runs of a service take.
RUN_TIME_SMOOTHING = 0.1
# Assumed time that a run takes, for the forecast.
DEFAULT_RUN_S = 5.0
# Retry-After times are drawn between the forecast and this many times it, so that callers that were
# refused together do not return together.
SPREAD = 2.0
MIN_RETRY_AFTER_S = 0.5
MAX_RETRY_AFTER_S = 10.0


class RunTimes:
    """Time from sending a generation to its end, by service, weighted by memory.

    With this weight, the memory in use over this time is what ends free a second.

    Attributes:
        sums: Smoothed memory of a run, and that memory times the run's length, by service.
    """

    def __init__(self):
        self.sums: dict[str, tuple[float, float]] = {}

    def record(self, service: str, tokens: int, seconds: float) -> None:
        """Record the expected memory of a run that has ended, and how long it took."""
        memory, product = self.sums.get(service, (tokens, tokens * seconds))
        self.sums[service] = (
            memory + RUN_TIME_SMOOTHING * (tokens - memory),
            product + RUN_TIME_SMOOTHING * (tokens * seconds - product),
        )

    def of(self, service: str, default_s: float = DEFAULT_RUN_S) -> float:
        """Return how long a run takes, `default_s` until one has been seen."""
        memory, product = self.sums.get(service, (0.0, 0.0))
        return product / memory if memory and product else default_s


def wait_s(
    candidates: typing.Iterable[balance.Candidate],
    requirements: balance.Requirements,
    run_s: float,
    ahead: int = 0,
) -> float | None:
    """Return when the first engine has a place for a request, None when no engine may take it.

    Args:
        candidates: Servers that are in service and not shutting down.
        requirements: What the request needs.
        run_s: Time that a run takes.
        ahead: Tokens that requests before it in the line are expected to need, at all engines
            together.
    """
    waits = []
    freed_per_s = 0.0
    for candidate in candidates:
        allowed = not requirements.regions or candidate.region in requirements.regions
        if candidate.state.leaving or not allowed:
            continue
        freed_per_s += _freed_per_s(candidate, run_s)
        waits.append(_wait_at(candidate, requirements, run_s))
    if not waits:
        return None
    return min(waits) + (ahead / freed_per_s if freed_per_s else 0.0)


def _freed_per_s(candidate: balance.Candidate, run_s: float) -> float:
    return (candidate.state.tokens + candidate.state.other_tokens) / run_s


def _wait_at(
    candidate: balance.Candidate, requirements: balance.Requirements, run_s: float
) -> float:
    engine, state = requirements.service.engine, candidate.state
    used = state.tokens + state.other_tokens
    excess = used + requirements.tokens - requirements.max_load * engine.memory_tokens
    memory_s = run_s * excess / used if used and excess > 0 else 0.0
    unread = state.unread + state.other_unread + requirements.unread - requirements.max_unread
    return max(0.0, memory_s, unread / places.PREFILL_TOKENS_PER_S)


def retry_after_s(forecast_s: float) -> float:
    """Return when a refused caller should return, drawn at random from the forecast on."""
    first_s = min(MAX_RETRY_AFTER_S, max(MIN_RETRY_AFTER_S, forecast_s))
    return random.uniform(first_s, SPREAD * first_s)
