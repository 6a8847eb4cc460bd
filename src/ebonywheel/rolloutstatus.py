"""What an operator reads of roll-outs: the state, why it is so, and what was seen."""

import typing

import msgspec

from ebonywheel import rolloutevidence, rolloutstate, statedata


class SideStatus(msgspec.Struct):
    """What was seen at the target's servers, or at all others.

    Attributes:
        requests: Requests that were sent since the order.
        answers: Requests that have ended, or whose answer has begun.
        failures: Those that failed by the server's fault.
    """

    requests: int
    answers: int
    failures: int


class RolloutStatus(msgspec.Struct):
    """One roll-out, as the leader knows it.

    Attributes:
        index: Log index of the order; a command to cancel it names it.
        share: Share of new requests that the target gets.
        reason: Why it has this phase and share.
        left_ms: Milliseconds to the deadline, 0 once it has ended.
        target_seen: What was seen at the target's servers.
        others_seen: What was seen at all others.
        in_flight_old: Runs at servers of other versions.
        hosts: Processes of entry hosts in touch that have sent evidence.
    """

    service: str
    index: int
    target: str
    phase: str
    share: float
    reason: str
    actor: str
    started_ms: int
    duration_ms: int
    left_ms: int
    barred: list[str]
    target_seen: SideStatus
    others_seen: SideStatus
    in_flight_old: int
    hosts: int


def statuses(
    rollouts: typing.Mapping[str, statedata.RolloutRecord],
    evidence: rolloutevidence.EvidenceBook,
    now_ms: int,
    only: str | None,
) -> list[RolloutStatus]:
    """Return the latest roll-out of one service, or of each one if `only` is None."""
    return [
        _status(service, record, evidence.totals(record.index), now_ms)
        for service, record in rollouts.items()
        if only is None or service == only
    ]


def _status(
    service: str, record: statedata.RolloutRecord, totals: rolloutevidence.Totals, now_ms: int
) -> RolloutStatus:
    left_ms = max(0, record.started_ms + record.duration_ms - now_ms)
    return RolloutStatus(
        service,
        record.index,
        record.target,
        record.phase,
        record.share,
        record.reason,
        record.actor,
        record.started_ms,
        record.duration_ms,
        0 if record.phase in rolloutstate.ENDED else left_ms,
        record.barred,
        _side([route.target for route in totals.routes.values()]),
        _side([route.others for route in totals.routes.values()]),
        totals.in_flight_old,
        totals.hosts,
    )


def _side(counts: list[rolloutevidence.Counts]) -> SideStatus:
    return SideStatus(
        sum(each.requests for each in counts),
        sum(each.answers for each in counts),
        sum(each.failures for each in counts),
    )
