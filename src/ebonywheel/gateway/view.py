"""An entry host's view of the routing content, the backend servers and the work in flight."""

import collections
import collections.abc
import typing

import curio
import msgspec
import result

from ebonywheel import directory, exceptions, kernel, link, messages
from ebonywheel.gateway import (
    balance,
    hostshare,
    inflight,
    leaving,
    limits,
    notices,
    paces,
    quarantine,
    rollouts,
    routes,
)

TableDecoder = typing.Callable[[bytes], result.Result[routes.Table, exceptions.DocumentError]]
FETCH_TIMEOUT_S = 2.0
# The nearest control host passes on each report of a server within 1.9 s of the one before: their
# period of 1.2 s and a watch between control hosts. An older one means that it misses some.
MAX_RELAYED_AGE_S = 2.2
MAX_LOGGED_SUSPECTS = 16
_NO_USE = messages.ServerUse()


class Regions(typing.Protocol):
    """Lookup of the regions of data centres."""

    def get(self, data_centre: str, default: str = "") -> str:
        """Return the region of a data centre."""


class EntryView:
    """Routing content, servers and their load, as last received from any control host.

    Attributes:
        table: Routing content in force here, None before any is known.
        routing_index: Log index of the newest routing content received; never decreases.
        out_of_service: Data centres that are out of service.
        out_index: Log index of that list.
        directory: Backend servers.
        states: Load and health of each server incarnation.
        other_uses: Load from all other entry hosts by server, without servers that have none.
        share: This host's part of what all entry hosts share.
        cut_off: True while this host can reach none of the servers, though they run.
        draining: True once this host is about to end.
        on_shutdown_notice: Called with the id of a server that shuts down or has left.
        on_version_leaving: Called with the id of a server whose runs should go on at another one,
            as its version gets no more requests.
        quarantine: Fingerprints of requests that crash servers, or may do so.
        limits: Limits that servers stated.
        paces: How they answer, as all entry hosts saw it.
        notices: What else they said of themselves in answers.
        leaving: Decides when requests leave the data centre; None where distance alone counts.
        rollouts: Which versions of the servers get requests.
    """

    def __init__(
        self,
        core: kernel.Kernel,
        decode_table: TableDecoder,
        regions: Regions,
        incarnation: int,
    ):
        self.core = core
        self.decode_table = decode_table
        self.regions = regions
        self.incarnation = incarnation
        self.location = balance.Location(
            core.host.data_centre, regions.get(core.host.data_centre, "")
        )
        self.table: routes.Table | None = None
        self.routing_index = 0
        self.out_of_service: frozenset[str] = frozenset()
        self.out_index = 0
        self.directory = directory.Directory(core.clock)
        self.states: dict[directory.IncarnationKey, balance.ServerState] = {}
        self.other_uses: dict[str, messages.ServerUse] = {}
        self.share = hostshare.HostShare(core.clock)
        self.rollouts = rollouts.Rollouts(core, self.directory, self.share)
        self.cut_off = False
        self.draining = False
        self.on_shutdown_notice: list[collections.abc.Callable[[str], typing.Awaitable[None]]] = []
        self.on_version_leaving: list[collections.abc.Callable[[str], typing.Awaitable[None]]] = []
        self.quarantine = quarantine.Quarantine()
        self.limits = limits.ServerLimits(core, self._state_for)
        self.paces = paces.Paces(core, self._state_for)
        self.notices = notices.Notices(core)
        self.fetch_lock = curio.Lock()
        self.leaving: leaving.Leaving | None = None

    # -- watch -----------------------------------------------------------------------------

    def watch_request(self, nearest: bool) -> messages.WatchRequest:
        """Return a watch request with this host's work in flight.

        The nearest control host is asked for the work of the other hosts, too.
        """
        return messages.WatchRequest(
            host=self.core.host.name,
            incarnation=self.incarnation,
            routing_index=self.routing_index,
            out_index=self.out_index,
            uses=self._own_uses(),
            uses_wanted=nearest,
            uses_reported=True,
            relayed=nearest,
            changes_only=not nearest and self.directory.oldest_age_s() < MAX_RELAYED_AGE_S,
            suspects_wanted=True,
            suspects_index=self.quarantine.index,
            limits=self.limits.reports(),
            may_relay=not (self.cut_off or self.draining),
            paces=self.paces.reports(),
            rollouts_wanted=True,
            rollouts_index=self.rollouts.index,
            evidence=self.rollouts.report(self.states),
        )

    def distance(self, data_centre: str) -> float:
        """Return the distance to a data centre as the choice of servers counts it."""
        location = balance.Location(data_centre, self.regions.get(data_centre, ""))
        return balance.distance_cost(location, self.location)

    def _own_uses(self) -> list[messages.ServerUse]:
        return [
            messages.ServerUse(server, state.requests, state.tokens, state.unread)
            for (server, _), state in self.states.items()
            if state.requests or state.tokens
        ]

    async def update(
        self,
        request: messages.WatchRequest,
        reply: messages.WatchReply,
        connection: link.Link,
        asked_at: float = float("-inf"),
    ) -> None:
        """Apply a control host's answer to a watch request.

        Args:
            request: The request.
            reply: The answer.
            connection: Link to the control host.
            asked_at: When the request was sent, monotonic seconds; without it no lease is taken.

        Raises:
            LinkError: Newer routing content could not be fetched.
        """
        # Before the servers, as those of a new version come with its order.
        leaving = self.rollouts.update(reply, asked_at)
        for record in reply.records:
            await self._observe(record)
        for record in leaving:
            for callback in self.on_version_leaving:
                await callback(record.server)
        if reply.out_index > self.out_index:
            self.out_index = reply.out_index
            self.out_of_service = frozenset(reply.out)
            self.core.log.info("data_centres_out", out=" ".join(reply.out), index=reply.out_index)
        self.share.record(connection.address, reply.members, reply.entry_hosts)
        self._update_quarantine(reply)
        self.limits.merge(reply.limits)
        self.paces.merge(reply.paces)
        if request.uses_wanted:
            # A control host of an older version sends all sums, and no number.
            complete = reply.uses_complete or not reply.uses_number
            self._update_other_uses(reply.uses, complete)
        if reply.routing_index > self.routing_index:
            await self._fetch_routing(reply.routing_index, connection)

    def _update_quarantine(self, reply: messages.WatchReply) -> None:
        now = self.core.clock.monotonic()
        if self.quarantine.update(reply.suspects_index, reply.suspects, now):
            refused = [item.fingerprint.hex() for item in reply.suspects if item.refused_ms]
            suspected = [item.fingerprint.hex() for item in reply.suspects if not item.refused_ms]
            self.core.log.info(
                "suspects_changed",
                index=reply.suspects_index,
                suspects=len(reply.suspects),
                refused=" ".join(refused),
                suspected=" ".join(suspected[-MAX_LOGGED_SUSPECTS:]),
            )

    def _update_other_uses(self, uses: list[messages.ServerUse], complete: bool) -> None:
        """Apply the load from all other hosts, that of all servers if it is complete."""
        if complete:
            self.other_uses = {}
        for use in uses:
            if use.requests or use.tokens or use.unread:
                self.other_uses[use.server] = use
            else:
                self.other_uses.pop(use.server, None)
        for (server, _), state in self.states.items():
            self._apply_other_uses(server, state)

    def _apply_other_uses(self, server: str, state: balance.ServerState) -> None:
        use = self.other_uses.get(server, _NO_USE)
        state.other_requests = use.requests
        state.other_tokens = use.tokens
        state.other_unread = use.unread

    async def _observe(self, record: messages.DirectoryRecord) -> None:
        if not self.directory.observe(record):
            return
        self.rollouts.observe(record)
        state = self.state_of(record)
        now = self.core.clock.monotonic()
        state.cold_until = now + max(0, record.cold_ms - record.age_ms) / 1000
        directory.log_change(self.core.log, record)
        if record.gone or record.draining:
            for callback in self.on_shutdown_notice:
                await callback(record.server)

    async def _fetch_routing(self, index: int, connection: link.Link) -> None:
        async with self.fetch_lock:
            if index <= self.routing_index:
                return
            reply = await connection.call(messages.RoutingRequest(), FETCH_TIMEOUT_S)
            if reply.index <= self.routing_index:
                return
            match self.decode_table(reply.content):
                case result.Err(error):
                    self.core.log.error("routing_unreadable", index=reply.index, error=error)
                case result.Ok(table):
                    self.table = table
                    self.core.log.info("routing_in_force", version=table.version, index=reply.index)
            self.routing_index = reply.index

    # -- queries ---------------------------------------------------------------------------

    def state_of(self, record: messages.DirectoryRecord) -> balance.ServerState:
        """Return the load and health of a server's incarnation."""
        return self._state_for((record.server, record.born_ms))

    def _state_for(self, key: directory.IncarnationKey) -> balance.ServerState:
        state = self.states.get(key)
        if state is None:
            state = self.states[key] = balance.ServerState(limit_per_s=self.limits.limit_of(key))
            self._apply_other_uses(key[0], state)
        return state

    def candidates(self, service: str) -> list[balance.Candidate]:
        """Return the servers of a service that may get new requests."""
        candidates = []
        for entry in self.directory.live():
            record = entry.record
            if (
                record.service != service
                or record.draining
                or record.data_centre in self.out_of_service
                or self.rollouts.is_barred(record)
            ):
                continue
            candidates.append(
                balance.Candidate(
                    record,
                    self.state_of(record),
                    self.directory.age_s(record.server),
                    self.regions.get(record.data_centre, ""),
                )
            )
        server_counts = collections.Counter(
            candidate.record.data_centre for candidate in candidates
        )
        for candidate in candidates:
            candidate.without_neighbour = server_counts[candidate.record.data_centre] == 1
        return candidates

    def servers_each(self, service: str) -> float:
        """Return the servers of a service for each data centre that has any, 0 without any."""
        counts = collections.Counter(
            candidate.record.data_centre for candidate in self.candidates(service)
        )
        return counts.total() / len(counts) if counts else 0.0

    def quarantined_s(self, context: inflight.RequestContext) -> float:
        """Return how long a request is refused as it crashes servers, 0 if it is not."""
        if self.quarantine.is_empty():
            return 0.0
        return self.quarantine.remaining_s(context.fingerprints(), self.core.clock.monotonic())

    def is_out_of_reach(self, candidate: balance.Candidate) -> bool:
        """Return whether this host cannot reach a server though it runs."""
        return candidate.state.unreachable and candidate.age_s < balance.MAX_REPORT_AGE_S

    def remains_in_service(self, record: messages.DirectoryRecord) -> bool:
        """Return whether a server's incarnation is in service and not shutting down."""
        entry = self.directory.entries.get(record.server)
        if entry is None or entry.record.born_ms != record.born_ms:
            return False
        return not (
            entry.record.gone
            or entry.record.draining
            or entry.record.data_centre in self.out_of_service
            or self.rollouts.is_barred(entry.record)
        )

    def location_of(self, record: messages.DirectoryRecord) -> balance.Location:
        """Return the location of a server."""
        return balance.Location(record.data_centre, self.regions.get(record.data_centre, ""))

    def choose(
        self,
        requirements: balance.Requirements,
        source: messages.DirectoryRecord | None = None,
    ) -> balance.Candidate | None:
        """Return the best server for a request, or None when none can take it.

        Args:
            requirements: What the request needs.
            source: Server that its run is to leave, None for a new request. The other one should
                be near that, and near this host for a new request.
        """
        if self.notices.is_brittle(requirements.service.name):
            requirements = msgspec.structs.replace(requirements, without_wait=True)
        if self.share.is_held() and self.share.held_s() < balance.COLD_RATE_PERIOD_S:
            # A process before this one may have used up this host's part of the rate.
            requirements = msgspec.structs.replace(requirements, without_cold=True)
        location = self.location if source is None else self.location_of(source)
        if source is None:
            candidates = self.candidates(requirements.service.name)
            lists = self.rollouts.lists_for_request(requirements, candidates)
        else:
            lists = self.destinations(source)
        for candidates in lists:
            chosen = self._choose_among(candidates, requirements, location, source is None)
            if chosen is not None:
                if source is None:
                    self.rollouts.record_chosen(chosen.record)
                return chosen
        return None

    def _choose_among(
        self,
        candidates: list[balance.Candidate],
        requirements: balance.Requirements,
        location: balance.Location,
        may_leave: bool,
    ) -> balance.Candidate | None:
        now = self.core.clock.monotonic()
        tries = [requirements]
        if may_leave and self.leaving is not None:
            answer_s = self.notices.answer_s.get(requirements.service.name, 0.0)
            tries = self.leaving.narrow(requirements, candidates, answer_s)
        for narrowed in tries:
            chosen = balance.choose(candidates, narrowed, location, now, self.share.hosts)
            if chosen is not None:
                return chosen
        return None

    def destinations(self, source: messages.DirectoryRecord) -> list[list[balance.Candidate]]:
        """Return lists of servers that a run may be moved to, the preferred one first."""
        stays = self.remains_in_service(source)
        return self.rollouts.lists_for_move(source, stays, self.candidates(source.service))

    def is_at_limit(self, context: inflight.RequestContext) -> bool:
        """Return whether a server is at a limit that it stated, so that it takes no request now."""
        now = self.core.clock.monotonic()
        return bool(context.denied) or any(
            candidate.state.is_denied(now) for candidate in self.candidates(context.service.name)
        )

    def reason_without_server(self, context: inflight.RequestContext, text: str) -> str:
        """Return why no server was chosen: a text, or that servers are at their limits."""
        return "servers are at their limits" if self.is_at_limit(context) else text

    def retry_after_s(self, service: str) -> float | None:
        """Return when the first server of a service wants requests again; None if any wants now."""
        now = self.core.clock.monotonic()
        pauses = [
            candidate.state.paused_until - now
            for candidate in self.candidates(service)
            if not candidate.state.leaving
        ]
        return min(pauses) if pauses and min(pauses) > 0 else None

    def prune(self) -> None:
        """Forget servers that have been silent for long."""
        self.directory.prune()
        self.limits.prune()
        self.paces.prune()
        self.notices.prune()
        self.rollouts.prune()
        known = {
            (entry.record.server, entry.record.born_ms) for entry in self.directory.entries.values()
        }
        for key in [key for key in self.states if key not in known]:
            if not self.states[key].requests:
                del self.states[key]
