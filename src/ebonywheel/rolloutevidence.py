"""What entry hosts have seen of running roll-outs, kept also when a host has gone away.

Each process of an entry host sends its cumulative counts with each watch request to every control
host, so that a new leader has them at once.
"""

import typing

import msgspec

from ebonywheel import clock, messages, rolloutdelays, statedata

# A host that was not heard from for this long is not waited for, and what it has under way is
# unknown. Watches are renewed every 0.5 s at least.
IN_TOUCH_S = 1.5
# Bounds the memory: hosts that are heard of, processes of them, and entries of one process.
MAX_PROCESSES = 8192
MAX_ENTRIES = 2048

ProcessKey = tuple[str, int]
EntryKey = tuple[int, str, bool]


class ProcessEvidence(msgspec.Struct):
    """The latest evidence of one process of an entry host.

    Attributes:
        received_at: When it was received, monotonic seconds.
    """

    received_at: float
    entries: dict[EntryKey, messages.RolloutEvidence] = {}


class Counts(msgspec.Struct):
    """Sums over all processes, of one route at the target's servers or at all others.

    Attributes:
        requests: Requests that were sent.
        answers: Requests that have ended, or whose answer has begun.
        failures: Those that failed by the server's fault.
        delays: Delays of the answers by bucket.
        waiting: Requests without an answer now, by the bucket of their wait, at hosts in touch.
    """

    requests: int = 0
    answers: int = 0
    failures: int = 0
    delays: list[int] = msgspec.field(default_factory=rolloutdelays.empty)
    waiting: list[int] = msgspec.field(default_factory=rolloutdelays.empty)

    def add(self, evidence: messages.RolloutEvidence, in_touch: bool) -> None:
        """Add what one process has seen."""
        self.requests += evidence.requests
        self.answers += evidence.answers
        self.failures += evidence.failures
        _add_buckets(self.delays, evidence.delays)
        if in_touch:
            _add_buckets(self.waiting, evidence.waiting)


class RouteCounts(msgspec.Struct):
    """Counts of one route."""

    target: Counts = msgspec.field(default_factory=Counts)
    others: Counts = msgspec.field(default_factory=Counts)


class Totals(msgspec.Struct):
    """What all entry hosts together have seen of one roll-out.

    Attributes:
        routes: Counts by route.
        in_flight_old: Runs at servers of other versions, of hosts in touch.
        hosts: Number of processes of entry hosts in touch that have sent evidence of it.
    """

    routes: dict[str, RouteCounts] = {}
    in_flight_old: int = 0
    hosts: int = 0

    def requests(self) -> tuple[int, int]:
        """Return the requests sent to the target's servers, and to all servers."""
        to_target = sum(route.target.requests for route in self.routes.values())
        to_others = sum(route.others.requests for route in self.routes.values())
        return to_target, to_target + to_others


class EvidenceBook:
    """Evidence by process of an entry host.

    Attributes:
        processes: Evidence by host and incarnation, in the order of the last receipt.
    """

    def __init__(self, time_source: clock.Clock):
        self.clock = time_source
        self.processes: dict[ProcessKey, ProcessEvidence] = {}

    def merge(
        self,
        request: messages.WatchRequest,
        rollouts: typing.Mapping[str, statedata.RolloutRecord],
    ) -> None:
        """Take the evidence of a watch request, of the roll-outs that are known here."""
        known = {record.index for record in rollouts.values()}
        key = (request.host, request.incarnation)
        process = self.processes.pop(key, None) or ProcessEvidence(0.0, {})
        process.received_at = self.clock.monotonic()
        for evidence in request.evidence:
            # A control host that lags behind learns of the order later, and of the counts again.
            if evidence.index in known:
                _keep_latest(process.entries, evidence)
        self.processes[key] = process
        while len(self.processes) > MAX_PROCESSES:
            del self.processes[next(iter(self.processes))]

    def totals(self, rollout: int) -> Totals:
        """Return the sums for the roll-out that was ordered at a log index."""
        totals = Totals()
        oldest = self.clock.monotonic() - IN_TOUCH_S
        for process in self.processes.values():
            in_touch = process.received_at >= oldest
            concerned = False
            for (index, route, on_target), evidence in process.entries.items():
                if index != rollout:
                    continue
                concerned = True
                counts = totals.routes.setdefault(route, RouteCounts())
                (counts.target if on_target else counts.others).add(evidence, in_touch)
                if in_touch:
                    totals.in_flight_old += evidence.in_flight_old
            totals.hosts += concerned and in_touch
        return totals

    def prune(self, rollouts: typing.Mapping[str, statedata.RolloutRecord]) -> None:
        """Forget the evidence of roll-outs that are not the latest of their service any more."""
        known = {record.index for record in rollouts.values()}
        for key, process in list(self.processes.items()):
            process.entries = {
                entry_key: evidence
                for entry_key, evidence in process.entries.items()
                if entry_key[0] in known
            }
            if not process.entries:
                del self.processes[key]


def _keep_latest(
    entries: dict[EntryKey, messages.RolloutEvidence], evidence: messages.RolloutEvidence
) -> None:
    key = (evidence.index, evidence.route, evidence.on_target)
    previous = entries.get(key)
    if previous is None and len(entries) >= MAX_ENTRIES:
        return
    # Counts only grow: a request that was under way for long may arrive after a later one.
    if previous is None or _progress(evidence) >= _progress(previous):
        entries[key] = evidence


def _progress(evidence: messages.RolloutEvidence) -> int:
    return evidence.requests + evidence.answers + evidence.failures


def _add_buckets(sums: list[int], counts: list[int]) -> None:
    for bucket, count in enumerate(counts[: len(sums)]):
        sums[bucket] += count
