"""Answers of a control host to watch requests: backend servers, routing, and what other hosts tell.

Entry hosts and the other control hosts keep one watch request open at each control host. News that
takes work away from a server, and changes of the replicated state, are answered at once; other news
and renewed reports wait for the request's wait time to pass.
"""

import collections
import random
import secrets

import curio
import msgspec

from ebonywheel import (
    crashstate,
    directory,
    kernel,
    link,
    messages,
    replica,
    rolloutevidence,
    rolloutstate,
    serverpaces,
    state,
    statedlimits,
    withdrawals,
)

MAX_WAIT_MS = 2000
# While a roll-out shifts all traffic, the leader answers soon, to get the next evidence.
SHIFTING_WAIT_MS = 150
# Work in flight reported longer ago is ignored, as its host is gone or partitioned: watches are
# renewed far more often.
USES_MAX_AGE_S = 3.0
# A host that has said that it can relay requests is not named any more after this time. Watches are
# renewed every 0.5 s at least.
RELAY_HOST_MAX_AGE_S = 1.5
# Hosts of one data centre that are named to a host that looks for one.
MAX_RELAY_HOSTS = 8
PRUNE_INTERVAL_S = 5.0
EPOCH_BITS = 48
# How long a host may use a share of a roll-out from when it asked.
DEFAULT_SHARE_LEASE_MS = 2000


# Requests, tokens and unread tokens of one server.
_Sums = tuple[int, int, int]


class HostUses(msgspec.Struct):
    """What an entry host reported and was told of the work in flight, and was told of limits.

    Attributes:
        received_at: When it reported last, monotonic seconds.
        uses: Its own work.
        told: Sums over the other hosts that it was told of, by server.
        told_number: Number of the reply that told it of them.
        servers_told_at: When it was told of servers' limits and paces, monotonic seconds.
        relay_host: The host as one that may relay requests, None while it may not.
    """

    received_at: float
    uses: list[messages.ServerUse]
    told: dict[str, _Sums] = {}
    told_number: int = 0
    servers_told_at: float = 0.0
    relay_host: messages.RelayHost | None = None


class WatchServer:
    """Answers watch requests.

    Attributes:
        directory: Backend servers known here.
        holders: What the other control hosts hold of it.
        urgent_position: Position up to which all hosts are to hear of it at once.
        uses: Work in flight by entry host.
        limits: What servers stated about their limits to any entry host.
        paces: What the entry hosts saw of how servers answer.
        epoch: Random id of this process's positions, which start anew after a restart.
        wake_count: Number of times that waiting watches were woken.
        state_version: Log indexes of the last changes of the state that watches are woken for.
        suspects: Fingerprints that may crash servers, with the time of the last crash.
        suspects_index: Log index of the evidence from which they were derived.
        cleared_index: Log index of the last evidence that cleared one of them.
        evidence: What entry hosts have seen of the roll-outs.
        share_lease_ms: How long a share may be used from when a host asked, in milliseconds.
        changed: Notified each time that they are woken.
    """

    def __init__(
        self,
        core: kernel.Kernel,
        consensus: replica.Replica,
        state_machine: state.State,
        share_lease_ms: int = DEFAULT_SHARE_LEASE_MS,
    ):
        self.core = core
        self.replica = consensus
        self.state_machine = state_machine
        self.directory = directory.Directory(core.clock)
        self.holders = withdrawals.Holders(core, consensus)
        self.urgent_position = 0
        self.uses: dict[str, HostUses] = {}
        self.limits = statedlimits.StatedLimits(core.clock)
        self.paces = serverpaces.ServerPaces(core.clock)
        self.epoch = secrets.randbits(EPOCH_BITS) + 1
        self.wake_count = 0
        self.suspects: dict[bytes, int] = {}
        self.suspects_index = 0
        self.cleared_index = 0
        self.evidence = rolloutevidence.EvidenceBook(core.clock)
        self.share_lease_ms = share_lease_ms
        self.state_version = self._state_version()
        self.changed = curio.Condition()

    async def start(self) -> None:
        """Start pruning outdated entries, and waking watches when the replicated state changes."""
        self.replica.on_applied.append(self._wake_after_applied)
        await self.core.spawn(self._prune(), essential=True)

    async def observe(self, record: messages.DirectoryRecord, direct: bool) -> None:
        """Merge a record from a backend server (`direct`) or another control host."""
        previous = self._known_record(record.server)
        if self.directory.observe(record, direct):
            stored = self._known_record(record.server)
            directory.log_change(self.core.log, stored)
            left_before = stored.gone and not record.gone
            if left_before or (direct and directory.restricts(record, previous)):
                await self._wake_for_directory()

    async def leave(self, server: str, arrived_at: float) -> None:
        """Mark a backend server as gone for good, by a leave that may have come at a given time."""
        previous = self._known_record(server)
        if self.directory.leave(server, arrived_at):
            self.core.log.info("server_left", server=server)
            if not previous.draining:
                await self._wake_for_directory()

    async def wait_held(self, server: str) -> None:
        """Wait until a server's withdrawal, if it was withdrawn, outlives the loss of this host.

        Raises:
            UnknownOutcomeError: Too few control hosts hold it in time.
        """
        entry = self.directory.entries.get(server)
        if entry is not None and entry.withdrawn_position:
            if entry.withdrawn_position > self.urgent_position:
                await self._wake_for_directory()
            await self.holders.wait(entry)

    async def _wake_for_directory(self) -> None:
        self.urgent_position = self.directory.position
        await self.wake()

    def _known_record(self, server: str) -> messages.DirectoryRecord | None:
        entry = self.directory.entries.get(server)
        return None if entry is None else entry.record

    async def wake(self) -> None:
        """End the wait of all watches."""
        self.wake_count += 1
        async with self.changed:
            await self.changed.notify_all()

    async def watch(
        self, request: messages.WatchRequest, peer: link.PeerInfo | None = None
    ) -> messages.WatchReply:
        """Answer one watch request, after a wait when nothing has changed."""
        now = self.core.clock.monotonic()
        if request.uses_wanted or request.uses_reported:
            self._record_uses(request, now)
            self.uses[request.host].relay_host = _relay_host(request, peer)
        if request.evidence:
            self.evidence.merge(request, self.state_machine.data.rollouts)
        if peer is not None:
            await self.holders.observe(request, peer, self.epoch)
        if request.epoch == self.epoch and not self._has_newer_state(request):
            await self._wait(request)
        return self._reply(request)

    def _record_uses(self, request: messages.WatchRequest, now: float) -> None:
        self.limits.merge(request.limits)
        self.paces.merge(request.host, request.paces)
        known = self.uses.get(request.host)
        if known is None:
            self.uses[request.host] = HostUses(now, request.uses)
        else:
            known.received_at = now
            known.uses = request.uses

    def relay_hosts(self, asking_host: str) -> messages.RelayHostsReply:
        """Return other entry hosts that reach the backend servers, some of each data centre."""
        now = self.core.clock.monotonic()
        by_data_centre: dict[str, list[messages.RelayHost]] = collections.defaultdict(list)
        for name, host_uses in self.uses.items():
            recent = now - host_uses.received_at < RELAY_HOST_MAX_AGE_S
            if host_uses.relay_host is not None and recent and name != asking_host:
                by_data_centre[host_uses.relay_host.data_centre].append(host_uses.relay_host)
        drawn = [
            host
            for hosts in by_data_centre.values()
            for host in random.sample(hosts, min(MAX_RELAY_HOSTS, len(hosts)))
        ]
        return messages.RelayHostsReply(drawn)

    async def _wait(self, request: messages.WatchRequest) -> None:
        initial_count = self.wake_count
        async with curio.ignore_after(self._wait_ms(request) / 1000):
            async with self.changed:
                while self.wake_count == initial_count:
                    await self.changed.wait()

    def _wait_ms(self, request: messages.WatchRequest) -> int:
        wait_ms = min(request.wait_ms, MAX_WAIT_MS)
        rollouts = self.state_machine.data.rollouts.values()
        shifting = any(record.phase == rolloutstate.SHIFTING for record in rollouts)
        if request.rollouts_wanted and shifting and self.replica.has_lease():
            return min(wait_ms, SHIFTING_WAIT_MS)
        return wait_ms

    def _has_newer_state(self, request: messages.WatchRequest) -> bool:
        routing = self.state_machine.data.routing
        return (
            request.seen < self.urgent_position
            or routing.index > request.routing_index
            or routing.out_index > request.out_index
            or self._has_newer_quarantine(request)
            or self._has_newer_rollouts(request)
        )

    def _has_newer_rollouts(self, request: messages.WatchRequest) -> bool:
        index = self.state_machine.data.rollouts_index
        return request.rollouts_wanted and index > request.rollouts_index

    def _has_newer_quarantine(self, request: messages.WatchRequest) -> bool:
        index = max(self.state_machine.data.quarantine.entries_index, self.cleared_index)
        return request.suspects_wanted and index > request.suspects_index

    def _reply(self, request: messages.WatchRequest) -> messages.WatchReply:
        routing = self.state_machine.data.routing
        seen = request.seen if request.epoch == self.epoch else 0
        records = self.directory.changes(
            seen, request.relayed or seen == 0, request.changes_only and seen > 0
        )
        recent_uses = self._recent_uses()
        reply = messages.WatchReply(
            self.epoch,
            self.directory.position,
            records,
            routing.index,
            routing.version,
            routing.out_index,
            routing.out,
            [member.link for member in self.replica.members],
            len(recent_uses),
        )
        quarantine = self.state_machine.data.quarantine
        if request.suspects_wanted and quarantine.index > request.suspects_index:
            reply.suspects_index = quarantine.index
            reply.suspects = self._suspects()
        self._tell_rollouts(request, reply)
        if request.uses_wanted:
            self._tell_uses(request, reply, recent_uses)
            self._tell_of_servers(request, reply)
        return reply

    def _tell_rollouts(self, request: messages.WatchRequest, reply: messages.WatchReply) -> None:
        data = self.state_machine.data
        reply.rollouts_index = data.rollouts_index
        if not request.rollouts_wanted:
            return
        if data.rollouts_index > request.rollouts_index:
            reply.rollouts = rolloutstate.views(data)
        # Only under its lease does this host know that no leader has taken a share back.
        if self.replica.has_lease():
            reply.rollouts_lease_ms = self.share_lease_ms

    def _suspects(self) -> list[messages.SuspectFingerprint]:
        data = self.state_machine.data
        # A control host that has not heard a leader yet knows only the time of the last command.
        now_ms = max(data.at_ms, self.replica.proposals.replicated_clock.now_ms())
        suspects = [
            messages.SuspectFingerprint(
                fingerprint, max(0, now_ms - entry.since_ms), max(0, entry.until_ms - now_ms)
            )
            for fingerprint, entry in data.quarantine.entries.items()
        ]
        self._update_suspects()
        suspects += [
            messages.SuspectFingerprint(fingerprint, max(0, now_ms - crashed_ms))
            for fingerprint, crashed_ms in self.suspects.items()
        ]
        return suspects

    def _update_suspects(self) -> None:
        quarantine = self.state_machine.data.quarantine
        if self.suspects_index == quarantine.index:
            return
        suspects = crashstate.find_suspects(quarantine)
        if not self.suspects.keys() <= suspects.keys():
            self.cleared_index = quarantine.index
        self.suspects = suspects
        self.suspects_index = quarantine.index

    def routing(self) -> messages.RoutingReply:
        """Return the routing content in force here."""
        current = self.state_machine.data.routing
        return messages.RoutingReply(current.index, current.version, current.content)

    def _recent_uses(self) -> dict[str, HostUses]:
        oldest = self.core.clock.monotonic() - USES_MAX_AGE_S
        return {
            host: host_uses
            for host, host_uses in self.uses.items()
            if host_uses.received_at >= oldest
        }

    def _tell_uses(
        self,
        request: messages.WatchRequest,
        reply: messages.WatchReply,
        recent_uses: dict[str, HostUses],
    ) -> None:
        """Add the sums over the other hosts to a reply, only the changed ones if the rest is known.

        A reply that was lost leaves the numbers different, and the next one is complete.
        """
        sums = _sum_uses(request.host, recent_uses)
        # The host may have been forgotten during the wait if this process was paused.
        asker = self.uses.setdefault(
            request.host, HostUses(self.core.clock.monotonic(), request.uses)
        )
        reply.uses_complete = request.uses_number == 0 or request.uses_number != asker.told_number
        told = {} if reply.uses_complete else asker.told
        reply.uses = [
            messages.ServerUse(server, *values)
            for server, values in sums.items()
            if told.get(server) != values
        ]
        reply.uses += [messages.ServerUse(server) for server in told if server not in sums]
        asker.told = sums
        asker.told_number += 1
        reply.uses_number = asker.told_number

    def _tell_of_servers(self, request: messages.WatchRequest, reply: messages.WatchReply) -> None:
        """Add servers' limits and paces to a reply, only what is news to a host with the rest."""
        asker = self.uses[request.host]
        since = 0.0 if reply.uses_complete else asker.servers_told_at
        reply.limits = self.limits.changes(since)
        reply.paces = self.paces.changes(since)
        asker.servers_told_at = self.core.clock.monotonic()

    async def _wake_after_applied(self) -> None:
        version = self._state_version()
        if version != self.state_version:
            self.state_version = version
            await self.wake()

    def _state_version(self) -> tuple[int, ...]:
        self._update_suspects()
        data = self.state_machine.data
        return (
            data.routing.index,
            data.routing.out_index,
            data.quarantine.entries_index,
            self.cleared_index,
            data.rollouts_index,
        )

    async def _prune(self) -> None:
        while True:
            await curio.sleep(PRUNE_INTERVAL_S)
            self.directory.prune()
            self.limits.prune()
            self.paces.prune()
            self.uses = self._recent_uses()
            self.evidence.prune(self.state_machine.data.rollouts)


def _relay_host(
    request: messages.WatchRequest, peer: link.PeerInfo | None
) -> messages.RelayHost | None:
    if peer is None or not peer.link or not request.may_relay:
        return None
    return messages.RelayHost(peer.host, peer.data_centre, peer.link)


def _sum_uses(asking_host: str, recent_uses: dict[str, HostUses]) -> dict[str, _Sums]:
    """Return the sums over all hosts but the asking one, by server."""
    sums: dict[str, _Sums] = {}
    for host, host_uses in recent_uses.items():
        if host == asking_host:
            continue
        for use in host_uses.uses:
            requests, tokens, unread = sums.get(use.server, (0, 0, 0))
            sums[use.server] = (requests + use.requests, tokens + use.tokens, unread + use.unread)
    return sums
