"""The leader's side of replication: one task per peer; a quorum decides commit index and lease."""

import typing

import curio
import msgspec

from ebonywheel import elections, exceptions, messages

if typing.TYPE_CHECKING:
    from ebonywheel import replica

HEARTBEATS_PER_TIMEOUT = 5
LEASE_TO_TIMEOUT_RATIO = 0.8
MAX_BATCH_ENTRIES = 256
MAX_BATCH_BYTES = 1024 * 1024
SNAPSHOT_CHUNK_BYTES = 256 * 1024
MIN_WAIT_S = 0.001


class Progress(msgspec.Struct):
    """Replication progress of one peer, as the leader knows it.

    Attributes:
        match_index: Highest index known durable at the peer.
        next_index: Next index to send.
        commit_index: Commit index last sent to the peer and acknowledged.
        acked_at: When the last acknowledged request was sent, monotonic seconds of the leader.
    """

    match_index: int = 0
    next_index: int = 1
    commit_index: int = 0
    acked_at: float = float("-inf")


class Replication:
    """Replicates the leader's log.

    Attributes:
        progress: Progress of each peer by member id, in the current term.
        leader_since: When this host became leader, monotonic seconds.
        term_start_index: Index of the first entry of this leader's term.
    """

    def __init__(self, replica: "replica.Replica"):
        self.replica = replica
        self.store = replica.store
        self.clock = replica.core.clock
        self.timeout_s = replica.election_timeout_s
        self.progress: dict[str, Progress] = {}
        self.leader_since = 0.0
        self.term_start_index = 0

    def begin_term(self) -> None:
        """Reset the progress of all peers as the new leader of the current term."""
        self.progress = {}
        self.leader_since = self.clock.monotonic()
        self.term_start_index = self.store.last_index() + 1

    # -- quorum ----------------------------------------------------------------------------

    def has_lease(self) -> bool:
        """Return whether a quorum has acknowledged this leader recently enough for its lease."""
        return (
            self.clock.monotonic()
            < self.quorum_acked_at() + self.timeout_s * LEASE_TO_TIMEOUT_RATIO
        )

    def quorum_acked_at(self) -> float:
        """Return the latest time at which a quorum is known to have followed this leader."""
        now = self.clock.monotonic()
        acked_at = [
            now if progress is None else progress.acked_at for progress in self._voter_progress()
        ]
        return self._quorum_value(acked_at, float("-inf"))

    def recently_acked(self, member_id: str) -> bool:
        """Return whether a member has acknowledged this leader within an election timeout."""
        if member_id == self.replica.member:
            return True
        progress = self.progress.get(member_id)
        return progress is not None and self.clock.monotonic() < progress.acked_at + self.timeout_s

    def match_index(self, member_id: str) -> int:
        """Return the highest index known durable at a peer."""
        progress = self.progress.get(member_id)
        return 0 if progress is None else progress.match_index

    async def advance_commit(self) -> None:
        """Commit up to the entry that a quorum holds durably, if it is of the current term."""
        if self.replica.role is not elections.Role.LEADER:
            return
        synced_index = self.store.synced_index
        durable_indexes = [
            synced_index if progress is None else progress.match_index
            for progress in self._voter_progress()
        ]
        index = self._quorum_value(durable_indexes, 0)
        if index > self.replica.commit_index and self.store.term_at(index) == self.store.vote.term:
            self.replica.commit_index = index
            await self.replica.notify()

    def _voter_progress(self) -> list[Progress | None]:
        """Return the progress of all voters, None for this host."""
        progress: list[Progress | None] = []
        for member_id in self.replica.membership.voters():
            if member_id == self.replica.member:
                progress.append(None)
            else:
                progress.append(self.progress.get(member_id, Progress()))
        return progress

    def _quorum_value(self, values: list, default: typing.Any) -> typing.Any:
        """Return the highest value that a quorum reaches, or a default without a quorum."""
        quorum = self.replica.membership.quorum()
        if len(values) < quorum:
            return default
        return sorted(values, reverse=True)[quorum - 1]

    # -- peers -----------------------------------------------------------------------------

    async def ensure_peer_tasks(self) -> None:
        """Start a replication task for each peer that has none in this term."""
        for peer in self.replica.membership.members:
            if peer.member == self.replica.member or peer.member in self.progress:
                continue
            self.progress[peer.member] = Progress(next_index=self.store.last_index() + 1)
            task = self._replicate(peer.member, self.store.vote.term)
            await self.replica.core.spawn(task, essential=True)

    async def _replicate(self, member_id: str, term: int) -> None:
        progress = self.progress[member_id]
        while self._is_current(member_id, term, progress):
            sent_at = self.clock.monotonic()
            try:
                has_more = await self._replicate_once(member_id, term, progress)
            except exceptions.LinkError:
                self.replica.core.metrics.count("replication_errors", peer=member_id)
                await curio.sleep(self._heartbeat_interval_s())
                continue
            if not has_more:
                await self._wait_for_changes(progress, sent_at)
        if self.progress.get(member_id) is progress:
            del self.progress[member_id]

    def _is_current(self, member_id: str, term: int, progress: Progress) -> bool:
        """Return whether a replication task still serves a member in the leader's term."""
        peer = self.replica.membership.find(member_id)
        is_leader = self.replica.elections.is_leader_in(term)
        return is_leader and peer is not None and self.progress.get(member_id) is progress

    async def _replicate_once(self, member_id: str, term: int, progress: Progress) -> bool:
        """Send one request or a snapshot; return whether to send again without waiting."""
        prev_term = self.store.term_at(progress.next_index - 1)
        if prev_term is None:
            await self._send_snapshot(member_id, term, progress)
            return True
        request = messages.AppendRequest(
            term,
            self.replica.member,
            progress.next_index - 1,
            prev_term,
            self.replica.commit_index,
            self.store.entries_from(progress.next_index, MAX_BATCH_ENTRIES, MAX_BATCH_BYTES),
            member_id,
            self.replica.proposals.replicated_clock.now_ms(),
        )
        sent_at = self.clock.monotonic()
        reply = await self.replica.link_to(member_id).call(request, self.timeout_s)
        if not await self._check_still_leader(term, reply.term):
            return False
        progress.acked_at = max(progress.acked_at, sent_at)
        if reply.ok:
            progress.commit_index = request.commit
            await self._record_match(progress, reply.match)
        elif reply.hint == 0:
            await self._send_snapshot(member_id, term, progress)
        else:
            progress.next_index = reply.hint
        return not reply.ok or progress.next_index <= self.store.last_index()

    async def _record_match(self, progress: Progress, match: int) -> None:
        progress.match_index = max(progress.match_index, match)
        progress.next_index = progress.match_index + 1
        await self.advance_commit()

    async def _send_snapshot(self, member_id: str, term: int, progress: Progress) -> None:
        if self.store.snapshot.index == 0:
            await self.replica.take_snapshot()
        if self.store.snapshot.index == 0:
            await curio.sleep(self._heartbeat_interval_s())
            return
        snapshot = await self.store.read_snapshot()
        size = len(snapshot.state)
        self.replica.core.log.info(
            "sending_snapshot", peer=member_id, index=snapshot.index, bytes=size
        )
        self.replica.core.metrics.count("snapshots_sent")
        offset = 0
        while offset < size:
            chunk = snapshot.state[offset : offset + SNAPSHOT_CHUNK_BYTES]
            request = messages.SnapshotChunk(
                term,
                self.replica.member,
                snapshot.index,
                snapshot.term,
                offset,
                chunk,
                offset + len(chunk) == size,
                member_id,
            )
            sent_at = self.clock.monotonic()
            reply = await self.replica.link_to(member_id).call(request, 2 * self.timeout_s)
            if not await self._check_still_leader(term, reply.term):
                return
            progress.acked_at = max(progress.acked_at, sent_at)
            offset = reply.offset
        await self._record_match(progress, snapshot.index)

    async def _check_still_leader(self, term: int, reply_term: int) -> bool:
        """Return whether this host still leads; step down if a reply has a newer term."""
        if not self.replica.elections.is_leader_in(term):
            return False
        if reply_term > term:
            await self.replica.elections.step_down(reply_term)
            return False
        return True

    async def _wait_for_changes(self, progress: Progress, sent_at: float) -> None:
        """Wait until there is something to send or the next heartbeat is due."""
        wait_s = sent_at + self._heartbeat_interval_s() - self.clock.monotonic()
        async with curio.ignore_after(max(wait_s, MIN_WAIT_S)):
            async with self.replica.changed:
                while self.replica.role is elections.Role.LEADER and not self._is_behind(progress):
                    await self.replica.changed.wait()

    def _is_behind(self, progress: Progress) -> bool:
        """Return whether the peer lacks entries or the commit index of entries that it holds."""
        lacks_entries = progress.next_index <= self.store.last_index()
        return lacks_entries or progress.commit_index < min(
            self.replica.commit_index, progress.match_index
        )

    def _heartbeat_interval_s(self) -> float:
        return self.timeout_s / HEARTBEATS_PER_TIMEOUT
