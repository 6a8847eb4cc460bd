"""Roll-outs of services at an entry host: which versions of its servers a request may go to.

Control hosts decide how far a roll-out goes. Each host bounds by itself what it sends to a version
that is not proved, by the number of requests that it sends, so that all hosts together keep within
the share without knowing of each other.
"""

import collections
import collections.abc
import math
import random
import zlib

from ebonywheel import directory, kernel, messages, rolloutstate
from ebonywheel.gateway import balance, evidence, hostshare

# How long a version that was heard of later than another one waits for news of its roll-out. A host
# without a leader for longer is out of touch, and an order cannot be accepted either.
MAX_NEWS_WAIT_S = 10.0
# Versions heard of within this time were in the first answer to a host that has just started.
AT_ONCE_S = 0.5
# A host that has heard of no other version in this time knows of all servers: they report every
# 1.2 s, and a control host that has just started knows of none.
ALONE_S = 5.0
# After this time a majority of the control hosts has applied what it knew before.
NEWS_S = 2.5
# Sums of shares that should make 1 may fall short by rounding.
ROUNDING = 1e-9
MS_PER_S = 1000


class Exposure:
    """How many requests this host may send to a version that is not proved.

    It starts with a random part of one request. Each request then counts as the share on average,
    however few of them a process sends before it ends.

    Attributes:
        earned: Requests that may be sent, up to 1.
    """

    __slots__ = ("earned",)

    def __init__(self):
        self.earned = random.random()

    def earn(self, share: float) -> None:
        """Add the share of one more request that was sent to the service."""
        self.earned = min(1.0, self.earned + share)

    def is_due(self) -> bool:
        """Return whether one request may be sent."""
        return self.earned >= 1.0 - ROUNDING

    def spend(self) -> None:
        """Take off one request."""
        self.earned = 0.0


class Rollout:
    """The latest roll-out of one service.

    Attributes:
        view: What the control hosts say of it.
        known_since: When this host heard of the order, monotonic seconds.
        exposure: What this host may send to the target while it is proved.
        reachable: Whether a request could have gone to the target when the last one was sent.
        only_target: Whether no server of another version was left when a request was last to be
            sent while traffic shifts; the target then needs no lease.
        evidence: What this host has seen of it.
        replaces_nothing: Whether the only servers known at the order had the target's version.
    """

    __slots__ = (
        "view",
        "known_since",
        "exposure",
        "reachable",
        "only_target",
        "evidence",
        "replaces_nothing",
    )

    def __init__(self, view: messages.RolloutView, now: float, known_versions: set[str]):
        self.view = view
        self.known_since = now
        self.replaces_nothing = known_versions == {view.target}
        self.exposure = Exposure()
        self.reachable = False
        self.only_target = False
        self.evidence = evidence.Evidence(view.index)

    def is_running(self) -> bool:
        """Return whether it has not ended."""
        return self.view.phase not in rolloutstate.ENDED

    def is_target(self, record: messages.DirectoryRecord) -> bool:
        """Return whether a server has the target's version."""
        return record.software == self.view.target


class Rollouts:
    """The roll-outs that this host has heard of, and its lease on their shares.

    Attributes:
        index: Log index of the newest change received; never decreases.
        by_service: The latest roll-out of each service.
        lease_until: Until when the shares may be used, monotonic seconds.
        asked_at: When the newest watch was sent that the leader has answered, monotonic seconds.
        share: Tells when a majority of the control hosts has answered.
        heard_at: When this host first heard of each version, by service and version; monotonic
            seconds.
    """

    def __init__(
        self, core: kernel.Kernel, servers: directory.Directory, share: hostshare.HostShare
    ):
        self.core = core
        self.directory = servers
        self.share = share
        self.index = 0
        self.by_service: dict[str, Rollout] = {}
        self.lease_until = float("-inf")
        self.asked_at = float("-inf")
        self.heard_at: dict[tuple[str, str], float] = {}

    # -- news ------------------------------------------------------------------------------

    def update(self, reply: messages.WatchReply, asked_at: float) -> list[messages.DirectoryRecord]:
        """Apply what a control host tells; return the servers that get no more requests by it.

        Args:
            reply: Its answer to a watch.
            asked_at: When the watch was sent, monotonic seconds.
        """
        changed = []
        if reply.rollouts_index > self.index:
            self.index = reply.rollouts_index
            changed = [view.service for view in reply.rollouts if self._apply(view)]
        if reply.rollouts_lease_ms > 0 and reply.rollouts_index >= self.index:
            self.asked_at = max(self.asked_at, asked_at)
            lease_until = asked_at + reply.rollouts_lease_ms / MS_PER_S
            self.lease_until = max(self.lease_until, lease_until)
        return [
            entry.record
            for entry in self.directory.live()
            if entry.record.service in changed and self.is_leaving(entry.record)
        ]

    def _apply(self, view: messages.RolloutView) -> bool:
        """Take over what is said of one roll-out; return whether its phase has changed."""
        known = self.by_service.get(view.service)
        if known is not None and view.index < known.view.index:
            return False
        phase_changed = (
            known is None or known.view.index != view.index or known.view.phase != view.phase
        )
        if known is None or known.view.index != view.index:
            versions = {
                entry.record.software
                for entry in self.directory.live()
                if entry.record.service == view.service
            }
            now = self.core.clock.monotonic()
            self.by_service[view.service] = Rollout(view, now, versions)
        else:
            known.view = view
        self.core.log.info(
            "rollout_changed",
            service=view.service,
            index=view.index,
            target=view.target,
            phase=view.phase,
            share=view.share,
            barred=" ".join(view.barred),
        )
        if phase_changed:
            self.core.metrics.count("rollout_phases", service=view.service, phase=view.phase)
        return phase_changed

    def observe(self, record: messages.DirectoryRecord) -> None:
        """Record that this host has heard of a server."""
        key = (record.service, record.software)
        self.heard_at.setdefault(key, self.core.clock.monotonic())

    def prune(self) -> None:
        """Forget versions of which no server is known any more."""
        known = {
            (entry.record.service, entry.record.software)
            for entry in self.directory.entries.values()
        }
        self.heard_at = {key: at for key, at in self.heard_at.items() if key in known}

    # -- choice ----------------------------------------------------------------------------

    def has_lease(self) -> bool:
        """Return whether the shares may be used now."""
        return self.core.clock.monotonic() < self.lease_until

    def is_barred(self, record: messages.DirectoryRecord) -> bool:
        """Return whether a server gets no request at all, because of its version."""
        rollout = self.by_service.get(record.service)
        return rollout is not None and record.software in rollout.view.barred

    def is_leaving(self, record: messages.DirectoryRecord) -> bool:
        """Return whether a server's runs should go on at servers of another version."""
        rollout = self.by_service.get(record.service)
        if rollout is None:
            return False
        shifts = rollout.view.phase == rolloutstate.SHIFTING and not rollout.is_target(record)
        return shifts or self.is_barred(record)

    def lists_for_request(
        self, requirements: balance.Requirements, candidates: list[balance.Candidate]
    ) -> list[list[balance.Candidate]]:
        """Return lists of servers that a request may go to; a later one if no earlier one has any.

        Args:
            requirements: What the request needs.
            candidates: Servers of its service that are in service, without barred ones.
        """
        service = requirements.service.name
        rollout = self.by_service.get(service)
        if rollout is None or not rollout.is_running():
            return [self._without_unannounced(service, candidates)]
        target, others = _split(rollout, candidates)
        others = self._without_unannounced(service, others)
        if rollout.view.phase == rolloutstate.SHIFTING:
            # A completion that this host has not heard of stops all of them at once.
            rollout.only_target = all(candidate.state.unreachable for candidate in others)
            if rollout.only_target:
                return [target, others]
            return [_reachable(target), others] if self.has_lease() else [others]
        if not others and self._is_alone(rollout):
            return [target]
        usable = [each for each in target if balance.is_allowed(each, requirements)]
        rollout.reachable = self.has_lease() and bool(_reachable(usable))
        if rollout.reachable and rollout.exposure.is_due():
            return [_reachable(_concentrate(rollout, usable, len(others))), others]
        return [others]

    def lists_for_move(
        self,
        source: messages.DirectoryRecord,
        source_stays: bool,
        candidates: list[balance.Candidate],
    ) -> list[list[balance.Candidate]]:
        """Return lists of servers that a run may be moved to, like `lists_for_request`.

        Args:
            source: Server that the run leaves.
            source_stays: Whether that is in service and leaves only because of its version.
            candidates: Servers of its service that are in service, without barred ones.
        """
        rollout = self.by_service.get(source.service)
        if rollout is None or not rollout.is_running():
            return [self._without_unannounced(source.service, candidates)]
        target, others = _split(rollout, candidates)
        if rollout.view.phase == rolloutstate.SHIFTING:
            targets = [target] if self.has_lease() else []
            return targets if source_stays else [*targets, others]
        # A run of the target adds nothing to what the target is exposed to.
        return [others, target] if rollout.is_target(source) else [others]

    def _is_alone(self, rollout: Rollout) -> bool:
        """Return whether no server of another version than the target was heard of for long."""
        service = rollout.view.service
        known_s = self.core.clock.monotonic() - rollout.known_since
        if not rollout.replaces_nothing and (known_s < ALONE_S or not self.has_lease()):
            return False
        return not any(
            entry.record.service == service and not rollout.is_target(entry.record)
            for entry in self.directory.entries.values()
        )

    def _without_unannounced(
        self, service: str, candidates: list[balance.Candidate]
    ) -> list[balance.Candidate]:
        """Return servers without those whose version may have an order that is on its way here."""
        versions = {candidate.record.software for candidate in candidates}
        if len(versions) < 2:
            return candidates
        now = self.core.clock.monotonic()
        heard_at = {
            version: self.heard_at.get((service, version), float("-inf")) for version in versions
        }
        first = self._first_heard(candidates, heard_at)
        return [
            candidate
            for candidate in candidates
            if candidate.record.software == first
            or (at := heard_at[candidate.record.software])
            <= max(self.asked_at, self.share.confirmed_at - NEWS_S)
            or now - at > MAX_NEWS_WAIT_S
        ]

    def _first_heard(self, candidates: list[balance.Candidate], heard_at: dict[str, float]) -> str:
        """Return the version heard of first; that of most servers if several were heard of at once.

        A host that has just started hears of all of them at once.
        """
        first_at = min(heard_at.values())
        counts = collections.Counter(
            candidate.record.software
            for candidate in candidates
            if heard_at[candidate.record.software] - first_at < AT_ONCE_S
        )
        return counts.most_common(1)[0][0]

    # -- requests --------------------------------------------------------------------------

    def record_chosen(self, record: messages.DirectoryRecord) -> None:
        """Record that a new request is to go to a server; pays for it if it is exposed."""
        rollout = self.by_service.get(record.service)
        if (
            rollout is None
            or rollout.view.phase != rolloutstate.PROVING
            or not rollout.is_target(record)
        ):
            return
        rollout.exposure.spend()
        self.core.metrics.count("rollout_exposed", service=record.service)

    def may_send(self, record: messages.DirectoryRecord) -> bool:
        """Return whether a request for which a server was chosen may still go there."""
        rollout = self.by_service.get(record.service)
        if rollout is None:
            return True
        if record.software in rollout.view.barred:
            return False
        if not rollout.is_running() or not rollout.is_target(record) or self.has_lease():
            return True
        return rollout.view.phase == rolloutstate.SHIFTING and rollout.only_target

    def observe_sent(
        self, record: messages.DirectoryRecord, route: str, is_first: bool, is_cold: bool
    ) -> evidence.Observation | None:
        """Record that a request is sent; return it if its answer is evidence of a roll-out.

        Args:
            record: The server.
            route: Name of the request's route.
            is_first: Whether it has not been sent to any server before.
            is_cold: Whether the server is in its cold start, and slow whatever its version.
        """
        rollout = self.by_service.get(record.service)
        if rollout is None or not rollout.is_running():
            return None
        if is_first and rollout.view.phase == rolloutstate.PROVING and rollout.reachable:
            rollout.exposure.earn(rollout.view.share)
        on_target = rollout.is_target(record)
        self.core.metrics.count(
            "rollout_requests", service=record.service, to="target" if on_target else "others"
        )
        counts = rollout.evidence.count_request(route, on_target)
        if is_cold or not is_first:
            return None
        return evidence.Observation(counts, self.core.clock.monotonic())

    def report(
        self, states: collections.abc.Mapping[directory.IncarnationKey, balance.ServerState]
    ) -> list[messages.RolloutEvidence]:
        """Return what this host has seen of the roll-outs that are running.

        Args:
            states: State of each server, with this host's requests in flight.
        """
        now = self.core.clock.monotonic()
        reports = []
        for service, rollout in self.by_service.items():
            if not rollout.is_running():
                continue
            old = {
                entry.record.server
                for entry in self.directory.entries.values()
                if entry.record.service == service and not rollout.is_target(entry.record)
            }
            in_flight_old = sum(
                state.requests for (server, _), state in states.items() if server in old
            )
            reports += rollout.evidence.report(now, in_flight_old)
        return reports


def _split(
    rollout: Rollout, candidates: list[balance.Candidate]
) -> tuple[list[balance.Candidate], list[balance.Candidate]]:
    """Return the servers of the target, and all others."""
    target = [candidate for candidate in candidates if rollout.is_target(candidate.record)]
    others = [candidate for candidate in candidates if not rollout.is_target(candidate.record)]
    return target, others


def _reachable(candidates: list[balance.Candidate]) -> list[balance.Candidate]:
    """Return the servers that are no worse a choice than those of the next list."""
    return [
        candidate
        for candidate in candidates
        if candidate.age_s < balance.MAX_REPORT_AGE_S and not candidate.state.unreachable
    ]


def _concentrate(
    rollout: Rollout, candidates: list[balance.Candidate], other_count: int
) -> list[balance.Candidate]:
    """Return the servers of the target that get requests: as many as the share of all servers.

    All hosts take the same ones as far as they see the same servers. They carry about the load that
    servers of the other versions have, by which a version shows that fails under load.
    """
    count = max(1, math.ceil(rollout.view.share * other_count))

    def order(candidate: balance.Candidate) -> tuple[bool, int]:
        server = candidate.record.server
        is_cold = candidate.record.cold_ms > 0
        return (is_cold, zlib.crc32(f"{rollout.view.index} {server}".encode()))

    return sorted(_reachable(candidates), key=order)[:count]
