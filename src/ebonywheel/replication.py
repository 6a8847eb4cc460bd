"""The leader's side of replication: one task for each peer, commit and lease by quorum."""

import typing

import curio
import msgspec

from ebonywheel import elections, exceptions, messages

if typing.TYPE_CHECKING:
    from ebonywheel import replica

HEARTBEATS_PER_TIMEOUT = 5
LEASE_SHARE = 0.8
MAX_ENTRIES = 256
MAX_BATCH_BYTES = 1024 * 1024
SNAPSHOT_CHUNK_BYTES = 256 * 1024
MIN_WAIT_S = 0.001


class Progress(msgspec.Struct):
    """What the leader knows of one peer.

    Attributes:
        match: Highest index known durable at the peer.
        next: Next index to send.
        commit: Commit index that the peer knows.
        acked_at: When the last acknowledged request was sent, on the leader's monotonic clock.
    """

    match: int = 0
    next: int = 1
    commit: int = 0
    acked_at: float = float("-inf")


class Replication:
    """Replicates the leader's log.

    Attributes:
        progress: Peers by member id, in the current term.
        led_since: When this host became leader, monotonic seconds.
        term_start: Index of the first entry of this leader's term.
    """

    def __init__(self, owner: "replica.Replica"):
        self.owner = owner
        self.store = owner.store
        self.clock = owner.core.clock
        self.timeout_s = owner.election_timeout_s
        self.progress: dict[str, Progress] = {}
        self.led_since = 0.0
        self.term_start = 0

    def begin_term(self) -> None:
        """Start anew as the leader of the current term."""
        self.progress = {}
        self.led_since = self.clock.monotonic()
        self.term_start = self.store.last_index() + 1

    # -- quorum ----------------------------------------------------------------------------

    def has_lease(self) -> bool:
        """Return whether a quorum has acknowledged lately that this host leads."""
        return self.clock.monotonic() < self.quorum_acked_at() + self.timeout_s * LEASE_SHARE

    def quorum_acked_at(self) -> float:
        """Return since when a quorum of voters is known to have followed this leader."""
        now = self.clock.monotonic()
        acked = [now if peer is None else peer.acked_at for peer in self._voters()]
        return self._quorum_value(acked, float("-inf"))

    def recently_acked(self, member: str) -> bool:
        """Return whether a member has lately acknowledged this leader."""
        if member == self.owner.member:
            return True
        held = self.progress.get(member)
        return held is not None and self.clock.monotonic() < held.acked_at + self.timeout_s

    def match_of(self, member: str) -> int:
        """Return the highest index known durable at a peer."""
        held = self.progress.get(member)
        return 0 if held is None else held.match

    async def advance_commit(self) -> None:
        """Commit what a quorum holds durably, if it is of the current term."""
        if self.owner.role is not elections.Role.LEADER:
            return
        synced = self.store.synced
        matches = [synced if peer is None else peer.match for peer in self._voters()]
        index = self._quorum_value(matches, 0)
        if index > self.owner.commit and self.store.term_at(index) == self.store.vote.term:
            self.owner.commit = index
            await self.owner.notify()

    def _voters(self) -> list[Progress | None]:
        """Return the progress of all voters, None for this host."""
        found: list[Progress | None] = []
        for member in self.owner.membership.voters():
            if member == self.owner.member:
                found.append(None)
            else:
                found.append(self.progress.get(member, Progress()))
        return found

    def _quorum_value(self, values: list, nothing: typing.Any) -> typing.Any:
        quorum = self.owner.membership.quorum()
        if len(values) < quorum:
            return nothing
        return sorted(values, reverse=True)[quorum - 1]

    # -- peers -----------------------------------------------------------------------------

    async def ensure_peers(self) -> None:
        """Start a task for each peer that has none in this term."""
        for held in self.owner.membership.members:
            if held.member == self.owner.member or held.member in self.progress:
                continue
            self.progress[held.member] = Progress(next=self.store.last_index() + 1)
            task = self._replicate(held.member, self.store.vote.term)
            await self.owner.core.spawn(task, essential=True)

    async def _replicate(self, member: str, term: int) -> None:
        progress = self.progress[member]
        while self._concerns(member, term, progress):
            sent_at = self.clock.monotonic()
            try:
                more = await self._replicate_once(member, term, progress)
            except exceptions.LinkError:
                self.owner.core.metrics.count("replication_errors", peer=member)
                await curio.sleep(self._heartbeat_s())
                continue
            if not more:
                await self._wait_for_work(progress, sent_at)
        if self.progress.get(member) is progress:
            del self.progress[member]

    def _concerns(self, member: str, term: int, progress: Progress) -> bool:
        held = self.owner.membership.find(member)
        leads = self.owner.elections.leads(term)
        return leads and held is not None and self.progress.get(member) is progress

    async def _replicate_once(self, member: str, term: int, progress: Progress) -> bool:
        prev_term = self.store.term_at(progress.next - 1)
        if prev_term is None:
            await self._send_snapshot(member, term, progress)
            return True
        request = messages.AppendRequest(
            term,
            self.owner.member,
            progress.next - 1,
            prev_term,
            self.owner.commit,
            self.store.entries_from(progress.next, MAX_ENTRIES, MAX_BATCH_BYTES),
            member,
            self.owner.proposals.stamps.now_ms(),
        )
        sent_at = self.clock.monotonic()
        reply = await self.owner.link_to(member).call(request, self.timeout_s)
        if not await self._still_leads(term, reply.term):
            return False
        progress.acked_at = max(progress.acked_at, sent_at)
        if reply.ok:
            progress.commit = request.commit
            await self._take_match(progress, reply.match)
        elif reply.hint == 0:
            await self._send_snapshot(member, term, progress)
        else:
            progress.next = reply.hint
        return not reply.ok or progress.next <= self.store.last_index()

    async def _take_match(self, progress: Progress, match: int) -> None:
        progress.match = max(progress.match, match)
        progress.next = progress.match + 1
        await self.advance_commit()

    async def _send_snapshot(self, member: str, term: int, progress: Progress) -> None:
        if self.store.snapshot.index == 0:
            await self.owner.take_snapshot()
        if self.store.snapshot.index == 0:
            await curio.sleep(self._heartbeat_s())
            return
        snapshot = await self.store.read_snapshot()
        size = len(snapshot.state)
        self.owner.core.log.info("sending_snapshot", peer=member, index=snapshot.index, bytes=size)
        self.owner.core.metrics.count("snapshots_sent")
        offset = 0
        while offset < size:
            chunk = snapshot.state[offset : offset + SNAPSHOT_CHUNK_BYTES]
            request = messages.SnapshotChunk(
                term,
                self.owner.member,
                snapshot.index,
                snapshot.term,
                offset,
                chunk,
                offset + len(chunk) == size,
                member,
            )
            sent_at = self.clock.monotonic()
            reply = await self.owner.link_to(member).call(request, 2 * self.timeout_s)
            if not await self._still_leads(term, reply.term):
                return
            progress.acked_at = max(progress.acked_at, sent_at)
            offset = reply.offset
        await self._take_match(progress, snapshot.index)

    async def _still_leads(self, term: int, answered: int) -> bool:
        if not self.owner.elections.leads(term):
            return False
        if answered > term:
            await self.owner.elections.step_down(answered)
            return False
        return True

    async def _wait_for_work(self, progress: Progress, sent_at: float) -> None:
        left = sent_at + self._heartbeat_s() - self.clock.monotonic()
        async with curio.ignore_after(max(left, MIN_WAIT_S)):
            async with self.owner.work:
                while self.owner.role is elections.Role.LEADER and not self._has_work(progress):
                    await self.owner.work.wait()

    def _has_work(self, progress: Progress) -> bool:
        behind = progress.next <= self.store.last_index()
        return behind or progress.commit < min(self.owner.commit, progress.match)

    def _heartbeat_s(self) -> float:
        return self.timeout_s / HEARTBEATS_PER_TIMEOUT
