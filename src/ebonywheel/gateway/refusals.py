"""Refusals, and the budget of repeats that all entry hosts share by equal parts."""

import typing

from ebonywheel import exceptions, retries
from ebonywheel.gateway import view

# Time to come back where nothing better is known: two report periods of the servers.
COME_BACK_S = 1.0
STATUS_NOT_RUN = 503
STATUS_UNKNOWN = 502
STATUS_TIMEOUT = 504
# Part of the shared budget that is spent; the rest covers what the hosts know of each other late.
SPENT_SHARE = 0.8


def not_run(flight: view.Flight, retry_after_s: float = COME_BACK_S) -> exceptions.NotRunError:
    """Return the error for a request that did not run."""
    return exceptions.NotRunError(
        flight.reason or "no server",
        "forward",
        flight.request.attempt,
        STATUS_NOT_RUN,
        retry_after_s,
    )


def unknown(flight: view.Flight) -> exceptions.HttpError:
    """Return the error for a request that may have run."""
    return exceptions.HttpError(flight.reason, "forward", flight.request.attempt, STATUS_UNKNOWN)


def too_late(flight: view.Flight) -> exceptions.HttpError:
    """Return the error for a request whose time ran out."""
    return exceptions.HttpError("time ran out", "forward", flight.request.attempt, STATUS_TIMEOUT)


class Budgets:
    """Repeats by service, within this host's part of what all may spend.

    Attributes:
        ratio: Repeats for each first try, summed over all hosts.
        spare: Repeats beyond that in each window, summed over all hosts.
        hosts: Tells how many hosts share them.
    """

    def __init__(self, ratio: float, spare: float, hosts: typing.Callable[[], int]):
        self.ratio = ratio
        self.spare = spare
        self.hosts = hosts
        self.held: dict[str, retries.RetryBudget] = {}

    def first_try(self, service: str) -> None:
        """Note a request that is sent for the first time."""
        self._of(service).add_first_try(self.ratio * SPENT_SHARE)

    def take(self, service: str) -> bool:
        """Take one repeat; return whether there was one."""
        return self._of(service).take()

    def _of(self, service: str) -> retries.RetryBudget:
        held = self.held.get(service)
        if held is None:
            held = self.held[service] = retries.RetryBudget(self._burst())
        held.burst = self._burst()
        return held

    def _burst(self) -> float:
        # At least one, or a host with little work could never repeat anything.
        return max(1.0, SPENT_SHARE * self.spare / max(1, self.hosts()))
