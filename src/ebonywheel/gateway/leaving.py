"""Whether requests of an entry host leave its data centre, by the loads of the servers it knows."""

import collections
import collections.abc
import math
import statistics

import msgspec

from ebonywheel import kernel, messages
from ebonywheel.gateway import balance, crossing, places


class Leaving:
    """Narrows requests to the data centre in which they should be served.

    Attributes:
        crossings: The decision, by expected waits.
    """

    def __init__(self, core: kernel.Kernel, home: balance.Location, charges: crossing.Charges):
        self.core = core
        self.home = home
        self.crossings = crossing.Crossings(core.clock, home, charges)
        self.crossings.on_change = self._log_change

    def narrow(
        self,
        requirements: balance.Requirements,
        candidates: list[balance.Candidate],
        answer_s: float,
    ) -> list[balance.Requirements]:
        """Return the requirements for each data centre to try in turn, or where distance decides.

        Args:
            requirements: What the request needs.
            candidates: Servers of its service that are in service and not shutting down.
            answer_s: Time that an answer that is no stream takes.
        """
        target_s = requirements.target_latency_s
        if requirements.data_centre or not target_s:
            return [requirements]
        if requirements.long_running and any(
            candidate.without_neighbour and candidate.location() == self.home
            for candidate in candidates
        ):
            # Its run may have to be moved to a neighbour of its server.
            return [requirements]
        now = self.core.clock.monotonic()
        destinations = self.crossings.destinations(
            (requirements.service.name, target_s),
            lambda: find_places(candidates, requirements, answer_s, now),
            requirements.lot,
            requirements.size_bytes,
        )
        available = {
            candidate.record.data_centre
            for candidate in candidates
            if balance.is_available(candidate, now)
        }
        narrowed = [
            msgspec.structs.replace(requirements, data_centre=name)
            for name in destinations
            if name in available
        ]
        waits_at_home = requirements.max_load < math.inf and self.home.data_centre in available
        # Where requests wait for room, they wait at home while leaving does not pay.
        return narrowed if waits_at_home else [*narrowed, requirements]

    def record_sent(self, record: messages.DirectoryRecord) -> None:
        """Count a request that is sent to a server of another data centre."""
        if record.data_centre != self.home.data_centre:
            self.core.metrics.count("crossings", service=record.service, to=record.data_centre)

    def _log_change(self, key: crossing.Key) -> None:
        """Log to which data centres requests of a service leave, and the waits that decide."""
        known = self.crossings.places[key].values()
        shares = self.crossings.flows[key].shares
        self.core.log.info(
            "crossing_changed",
            service=key[0],
            target_ms=int(key[1] * 1000),
            leaving=" ".join(f"{name}:{share:.2f}" for name, share in shares.items()),
            waits=" ".join(f"{place.location.data_centre}:{place.wait_s:.2f}" for place in known),
            loads=" ".join(f"{place.location.data_centre}:{place.load:.2f}" for place in known),
        )


def find_places(
    candidates: collections.abc.Iterable[balance.Candidate],
    requirements: balance.Requirements,
    answer_s: float,
    now: float,
) -> list[crossing.Place]:
    """Return the data centres with servers of a service that take requests, as far as known.

    Args:
        candidates: Servers of the service that are in service and not shutting down.
        requirements: What a request needs.
        answer_s: Time that an answer that is no stream takes.
        now: Monotonic seconds.
    """
    by_data_centre = collections.defaultdict(list)
    for candidate in candidates:
        if balance.is_available(candidate, now) and not candidate.state.leaving:
            by_data_centre[candidate.location()].append(candidate)
    return [
        crossing.Place(
            location,
            statistics.fmean(_wait_s(each, requirements, answer_s, now) for each in servers),
            statistics.fmean(balance.load_with_request(each, requirements) for each in servers),
            statistics.fmean(each.state.connect_s for each in servers),
        )
        for location, servers in by_data_centre.items()
    ]


def _wait_s(
    candidate: balance.Candidate, requirements: balance.Requirements, answer_s: float, now: float
) -> float:
    """Return how long a request is expected to wait at a server, failures included."""
    load = balance.load_with_request(candidate, requirements)
    target_s = requirements.target_latency_s
    wait_s = crossing.strain_s(load, target_s)
    if requirements.service.engine is None:
        wait_s += answer_s * max(0.0, load - 1.0)
    else:
        wait_s += places.read_s(candidate.state.unread + candidate.state.other_unread)
    return wait_s + target_s * candidate.state.worst_failure_rate(now)
