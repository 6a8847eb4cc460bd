"""The follower's side of replication: receives entries and snapshots from the leader."""

import typing

import curio
import msgspec

from ebonywheel import exceptions, messages, storage

if typing.TYPE_CHECKING:
    from ebonywheel import replica

# `hint` of an append reply that asks for a snapshot.
HINT_NEEDS_SNAPSHOT = 0
# Ratio to the election timeout.
SYNC_WAIT_RATIO = 0.2


class PartialSnapshot(msgspec.Struct):
    """A snapshot that has been received in part.

    Attributes:
        source: Term and leader of the sender, last index and last term; the same in all chunks.
        content: Bytes received so far.
    """

    source: tuple[int, str, int, int]
    content: bytearray


class Follower:
    """Handles append requests and snapshot chunks from a leader."""

    def __init__(self, replica: "replica.Replica"):
        self.replica = replica
        self.store = replica.store
        self.partial_snapshot: PartialSnapshot | None = None

    async def handle_append(self, request: messages.AppendRequest) -> messages.AppendReply:
        """Append entries sent by the leader.

        Raises:
            DiskFullError: The entries found no room and are not acknowledged.
            StorageError: The entries could not be stored; the process must end.
        """
        vote = self.store.vote
        if request.term < vote.term:
            return messages.AppendReply(vote.term, False)
        self.replica.proposals.replicated_clock.observe(request.at_ms)
        await self.replica.elections.follow(request.term, request.leader)
        # The term must be durable before its entries, or a crash could leave entries of a term
        # that the vote file does not have.
        await self.store.save_vote()
        if vote.term != request.term:
            return messages.AppendReply(vote.term, False)
        if not self.replica.membership.is_configured():
            return messages.AppendReply(vote.term, False, 0, HINT_NEEDS_SNAPSHOT)
        if self.store.term_at(request.prev_index) != request.prev_term:
            return messages.AppendReply(
                vote.term, False, 0, self._next_index_hint(request.prev_index)
            )
        self._append_entries(request.entries)
        match = request.prev_index + len(request.entries)
        await self._wait_synced(match)
        if vote.term != request.term:
            return messages.AppendReply(vote.term, False)
        match = min(match, self.store.synced_index)
        if min(request.commit, match) > self.replica.commit_index:
            self.replica.commit_index = min(request.commit, match)
            await self.replica.notify()
        return messages.AppendReply(vote.term, True, match)

    async def _wait_synced(self, index: int) -> None:
        """Wait for the log sync, but answer before the leader would lose its lease."""
        await self.replica.notify()
        async with curio.ignore_after(self.replica.election_timeout_s * SYNC_WAIT_RATIO):
            async with self.replica.changed:
                while self.store.synced_index < index:
                    await self.replica.changed.wait()
        self.store.raise_if_failed()

    def _next_index_hint(self, prev_index: int) -> int:
        """Return the index to retry from: the first entry of the conflicting term, if any."""
        snapshot_index = self.store.snapshot.index
        if prev_index <= snapshot_index:
            return snapshot_index + 1
        term = self.store.term_at(prev_index)
        if term is None:
            return self.store.last_index() + 1
        index = prev_index
        while index > snapshot_index + 1 and self.store.term_at(index - 1) == term:
            index -= 1
        return index

    def _append_entries(self, entries: list[messages.LogEntry]) -> None:
        """Append the entries that the log lacks, and replace conflicting ones."""
        for position, entry in enumerate(entries):
            if entry.index <= self.store.snapshot.index:
                continue
            own_term = self.store.term_at(entry.index)
            if own_term == entry.term:
                continue
            if own_term is not None:
                self._truncate(entry.index)
            self.store.append(entries[position:])
            for appended in entries[position:]:
                self.replica.membership.add_entry(appended)
            return

    def _truncate(self, index: int) -> None:
        if index <= self.replica.commit_index:
            raise exceptions.CorruptLogError(
                f"the leader sent a conflicting entry at committed index {index}",
                "append",
                self.replica.member,
            )
        self.store.truncate(index)
        self.replica.membership.reload()

    async def handle_snapshot(self, request: messages.SnapshotChunk) -> messages.SnapshotReply:
        """Receive one chunk of the leader's snapshot.

        Raises:
            DiskFullError: The snapshot found no room and is not acknowledged.
            StorageError: The snapshot could not be stored; the process must end.
        """
        vote = self.store.vote
        if request.term < vote.term:
            return messages.SnapshotReply(vote.term, 0)
        await self.replica.elections.follow(request.term, request.leader)
        await self.store.save_vote()
        if vote.term != request.term:
            return messages.SnapshotReply(vote.term, 0)
        source = (request.term, request.leader, request.last_index, request.last_term)
        if request.offset == 0:
            self.partial_snapshot = PartialSnapshot(source, bytearray())
        partial = self.partial_snapshot
        if partial is None or partial.source != source:
            return messages.SnapshotReply(vote.term, 0)
        if request.offset != len(partial.content):
            return messages.SnapshotReply(vote.term, len(partial.content))
        partial.content += request.data
        if request.done:
            self.partial_snapshot = None
            await self._install(request, bytes(partial.content))
        return messages.SnapshotReply(vote.term, request.offset + len(request.data))

    async def _install(self, request: messages.SnapshotChunk, content: bytes) -> None:
        snapshot = storage.Snapshot(request.last_index, request.last_term, content)
        await self.store.save_snapshot(snapshot, trailing_entries=0)
        if snapshot.index > self.replica.state_machine.applied:
            self.replica.state_machine.restore(snapshot.index, snapshot.term, content)
        self.replica.commit_index = max(self.replica.commit_index, snapshot.index)
        self.replica.membership.reload()
        self.replica.core.log.info("installed_snapshot", index=snapshot.index, bytes=len(content))
        await self.replica.notify()
