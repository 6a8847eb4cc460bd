"""Expected waits in the data centres that have servers of a service, by their known loads."""

import collections
import collections.abc
import statistics

from ebonywheel.gateway import balance, crossing, places


def find_places(
    candidates: collections.abc.Iterable[balance.Candidate],
    requirements: balance.Requirements,
    answer_s: float,
) -> list[crossing.Place]:
    """Return the data centres with servers of a service that report and can be reached.

    Args:
        candidates: Servers of the service that are in service and not shutting down.
        requirements: What a request needs.
        answer_s: Time that an answer that is no stream takes.
    """
    by_data_centre = collections.defaultdict(list)
    for candidate in candidates:
        state = candidate.state
        if candidate.age_s < balance.MAX_REPORT_AGE_S and not (state.unreachable or state.leaving):
            by_data_centre[candidate.location()].append(candidate)
    return [
        crossing.Place(
            location,
            statistics.fmean(_wait_s(each, requirements, answer_s) for each in servers),
            statistics.fmean(balance.load_with_request(each, requirements) for each in servers),
        )
        for location, servers in by_data_centre.items()
    ]


def _wait_s(
    candidate: balance.Candidate, requirements: balance.Requirements, answer_s: float
) -> float:
    """Return how long a request is expected to wait at a server, failures included."""
    load = balance.load_with_request(candidate, requirements)
    target_s = requirements.target_latency_s
    wait_s = crossing.strain_s(load, target_s)
    if requirements.service.engine is None:
        wait_s += answer_s * max(0.0, load - 1.0)
    else:
        wait_s += places.read_s(candidate.state.unread + candidate.state.other_unread)
    return wait_s + target_s * candidate.state.worst_failure_rate()
