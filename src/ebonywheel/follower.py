"""The follower's side of replication: takes in a leader's entries and snapshots."""

import typing

import curio
import msgspec

from ebonywheel import exceptions, messages, storage

if typing.TYPE_CHECKING:
    from ebonywheel import replica

NEEDS_SNAPSHOT = 0
SYNC_WAIT_SHARE = 0.2


class Incoming(msgspec.Struct):
    """A snapshot that is being received.

    Attributes:
        source: Term, leader and position that all its chunks carry.
        content: Bytes received so far.
    """

    source: tuple[int, str, int, int]
    content: bytearray


class Follower:
    """Takes in what a leader sends."""

    def __init__(self, owner: "replica.Replica"):
        self.owner = owner
        self.store = owner.store
        self.incoming: Incoming | None = None

    async def handle_append(self, request: messages.AppendRequest) -> messages.AppendReply:
        """Store a leader's entries.

        Raises:
            StorageError: They could not be stored; the process must end.
        """
        vote = self.store.vote
        if request.term < vote.term:
            return messages.AppendReply(vote.term, False)
        self.owner.proposals.stamps.observe(request.at_ms)
        await self.owner.elections.follow(request.term, request.leader)
        # The term must be durable before its entries, or a crash could leave them without it.
        await self.store.save_vote()
        if vote.term != request.term:
            return messages.AppendReply(vote.term, False)
        if not self.owner.membership.configured():
            return messages.AppendReply(vote.term, False, 0, NEEDS_SNAPSHOT)
        if self.store.term_at(request.prev_index) != request.prev_term:
            return messages.AppendReply(vote.term, False, 0, self._hint(request.prev_index))
        self._store(request.entries)
        match = request.prev_index + len(request.entries)
        await self._wait_synced(match)
        if vote.term != request.term:
            return messages.AppendReply(vote.term, False)
        match = min(match, self.store.synced)
        if min(request.commit, match) > self.owner.commit:
            self.owner.commit = min(request.commit, match)
            await self.owner.notify()
        return messages.AppendReply(vote.term, True, match)

    async def _wait_synced(self, index: int) -> None:
        """Wait for the sync, but not so long that the leader would lose its lease meanwhile."""
        await self.owner.notify()
        async with curio.ignore_after(self.owner.election_timeout_s * SYNC_WAIT_SHARE):
            async with self.owner.work:
                while self.store.synced < index:
                    await self.owner.work.wait()
        self.store.check()

    def _hint(self, prev_index: int) -> int:
        """Return where the leader should try next: before the term that does not fit."""
        snapshot = self.store.snapshot.index
        if prev_index <= snapshot:
            return snapshot + 1
        term = self.store.term_at(prev_index)
        if term is None:
            return self.store.last_index() + 1
        index = prev_index
        while index > snapshot + 1 and self.store.term_at(index - 1) == term:
            index -= 1
        return index

    def _store(self, entries: list[messages.LogEntry]) -> None:
        for position, entry in enumerate(entries):
            if entry.index <= self.store.snapshot.index:
                continue
            held = self.store.term_at(entry.index)
            if held == entry.term:
                continue
            if held is not None:
                self._truncate(entry.index)
            self.store.append(entries[position:])
            for appended in entries[position:]:
                self.owner.membership.note(appended)
            return

    def _truncate(self, index: int) -> None:
        if index <= self.owner.commit:
            raise exceptions.CorruptLogError(
                f"the leader disagrees with committed entry {index}", "append", self.owner.member
            )
        self.store.truncate(index)
        self.owner.membership.reload()

    async def handle_snapshot(self, request: messages.SnapshotChunk) -> messages.SnapshotReply:
        """Take in a part of the leader's snapshot.

        Raises:
            StorageError: It could not be stored; the process must end.
        """
        vote = self.store.vote
        if request.term < vote.term:
            return messages.SnapshotReply(vote.term, 0)
        await self.owner.elections.follow(request.term, request.leader)
        await self.store.save_vote()
        if vote.term != request.term:
            return messages.SnapshotReply(vote.term, 0)
        source = (request.term, request.leader, request.last_index, request.last_term)
        if request.offset == 0:
            self.incoming = Incoming(source, bytearray())
        held = self.incoming
        if held is None or held.source != source:
            return messages.SnapshotReply(vote.term, 0)
        if request.offset != len(held.content):
            return messages.SnapshotReply(vote.term, len(held.content))
        held.content += request.data
        if request.done:
            self.incoming = None
            await self._install(request, bytes(held.content))
        return messages.SnapshotReply(vote.term, request.offset + len(request.data))

    async def _install(self, request: messages.SnapshotChunk, content: bytes) -> None:
        snapshot = storage.Snapshot(request.last_index, request.last_term, content)
        await self.store.save_snapshot(snapshot, trailing=0)
        if snapshot.index > self.owner.machine.applied:
            self.owner.machine.restore(snapshot.index, snapshot.term, content)
        self.owner.commit = max(self.owner.commit, snapshot.index)
        self.owner.membership.reload()
        self.owner.core.log.info("installed_snapshot", index=snapshot.index, bytes=len(content))
        await self.owner.notify()
