"""One control host's replica of the log: coordinates its components and applies committed entries.

The leader accepts proposals and answers reads only while it holds its lease, that is, while a
quorum has acknowledged it recently. Elections, replication, the follower's side, proposals and
membership are separate modules.
"""

import contextlib
import typing

import curio
import msgspec

from ebonywheel import (
    commands,
    configuration,
    elections,
    exceptions,
    follower,
    kernel,
    link,
    membership,
    messages,
    proposals,
    replication,
    state,
    storage,
)

MAX_APPLY_ENTRIES = 256
# Share of the snapshot interval that stays in the log behind a new snapshot.
TRAILING_ENTRIES_RATIO = 0.25
MAX_LOG_BYTES = 16 * 1024 * 1024
# Minimum log size before a new snapshot, relative to the last snapshot: saving a large state after
# few entries would write far more than the log itself.
MIN_LOG_TO_SNAPSHOT_RATIO = 0.5
# After a restart, entries committed since the last save are applied only once there is a leader.
COMMIT_SAVE_INTERVAL_S = 0.3
# Pause before the next attempt to write to a full disk.
DISK_FULL_RETRY_S = 1.0

Role = elections.Role


class Replica:
    """The replicated log of one control host.

    Attributes:
        member: This host's member id.
        commit_index: Highest log index that is known to be committed.
        changed: Notified when the role, the log or the commit index changes.
        on_applied: Callbacks to await after each batch of applied entries.
        unreadable_index: Index of the committed entry that this build cannot read, 0 for none; no
            entry is applied from there on, and this host does not lead.
    """

    def __init__(
        self,
        core: kernel.Kernel,
        store: storage.Storage,
        state_machine: state.State,
        election_timeout_s: float,
        snapshot_entries: int,
        make_link: typing.Callable[[configuration.Member], link.Link],
    ):
        self.core = core
        self.store = store
        self.state_machine = state_machine
        self.election_timeout_s = election_timeout_s
        self.snapshot_entries = snapshot_entries
        self.make_link = make_link
        self.member = store.identity.member
        self.commit_index = 0
        self.links: dict[str, link.Link] = {}
        self.changed = curio.Condition()
        self.on_applied: list[typing.Callable[[], typing.Awaitable[None]]] = []
        self.unreadable_index = 0
        self.membership = membership.Membership(store, state_machine)
        self.elections = elections.Elections(self)
        self.replication = replication.Replication(self)
        self.follower = follower.Follower(self)
        self.proposals = proposals.Proposals(self)

    # -- start -----------------------------------------------------------------------------

    async def start(self) -> None:
        """Restore the state and start the background tasks."""
        snapshot = self.store.load_snapshot()
        if snapshot.index:
            self.state_machine.restore(snapshot.index, snapshot.term, snapshot.state)
            self.commit_index = snapshot.index
            self.membership.reload()
        elif self.store.identity.formed:
            self.form(self.store.identity.formed)
        # Entries known to be committed before the restart can be applied without a leader.
        self.commit_index = max(self.commit_index, self.store.committed.index)
        self._register_gauges()
        await self.core.spawn(self.elections.run(), essential=True)
        await self.core.spawn(self._run_save_commit(), essential=True)
        await self.core.spawn(self._run_sync(), essential=True)
        await self.core.spawn(self._run_apply(), essential=True)

    def _register_gauges(self) -> None:
        gauge = self.core.metrics.gauge
        gauge("term", lambda: self.store.vote.term)
        gauge("leader", lambda: float(self.has_lease()))
        gauge("commit_index", lambda: self.commit_index)
        gauge("applied_index", lambda: self.state_machine.applied)
        gauge("unreadable_index", lambda: self.unreadable_index)
        gauge("log_bytes", lambda: self.store.log.size)
        gauge("snapshot_bytes", lambda: self.store.snapshot_bytes)

    def form(self, members: list[messages.MemberInfo]) -> None:
        """Adopt the first configuration of a new cluster, unless a state is already present."""
        if self.state_machine.applied:
            return
        self.state_machine.data.members = [
            configuration.Member(
                info.host, info.member, info.data_centre, info.link, info.http, True
            )
            for info in members
        ]
        self.membership.reload()

    # -- queries ---------------------------------------------------------------------------

    @property
    def role(self) -> Role:
        """Current Raft role of this replica."""
        return self.elections.role

    @property
    def leader(self) -> str:
        """Member id of the leader, or an empty string."""
        return self.elections.leader

    @property
    def members(self) -> list[configuration.Member]:
        """Control hosts in the latest configuration."""
        return self.membership.members

    def find_member(self, member_id: str) -> configuration.Member | None:
        """Return the control host with a member id, or None."""
        return self.membership.find(member_id)

    def leader_host(self) -> str:
        """Return the leader's host name, or an empty string."""
        leader = self.membership.find(self.leader)
        return "" if leader is None else leader.host

    def has_lease(self) -> bool:
        """Return whether this host may accept proposals and answer reads now."""
        if self.role is not Role.LEADER or self.elections.transferring:
            return False
        # Once this leader's first entry is applied, so is all that earlier leaders acknowledged.
        if self.state_machine.applied < self.replication.term_start_index:
            return False
        return self.replication.has_lease()

    def require_lease(self, step: str) -> None:
        """Check that this host may accept proposals and answer reads.

        Raises:
            NotLeaderError: It holds no lease; nothing was done.
        """
        if not self.has_lease():
            raise exceptions.NotLeaderError(
                "this host holds no leader lease", step, self.core.host.name, self.leader_host()
            )

    def link_to(self, member_id: str) -> link.Link:
        """Return the link to a member, a new one if its address has changed.

        Raises:
            LinkError: There is no such member.
        """
        existing = self.links.get(member_id)
        info = self.membership.find(member_id)
        if info is None:
            raise exceptions.LinkError("no such member", "find member", member_id)
        if existing is None or existing.address != info.link:
            existing = self.links[member_id] = self.make_link(info)
        return existing

    # -- requests --------------------------------------------------------------------------

    async def propose(
        self, command: commands.AnyCommand, timeout_s: float = proposals.PROPOSE_TIMEOUT_S
    ) -> tuple[int, commands.Outcome]:
        """Replicate a command and return its log index and outcome.

        Raises:
            NotLeaderError: This host holds no lease; the command was not proposed.
            NotRunError: The command is invalid or not allowed now, or the disk is full; it was not
                proposed.
            UnknownOutcomeError: The command may still take effect.
        """
        async with self._fail_on_storage_error():
            try:
                return await self.proposals.propose(command, timeout_s)
            except exceptions.DiskFullError as error:
                # Another host may have room.
                self._log_disk_full(error)
                if not self.elections.transferring:
                    await self.core.spawn(self.transfer(), essential=True)
                raise exceptions.NotRunError(str(error), "propose", self.core.host.name) from error

    async def transfer(self) -> None:
        """Transfer leadership to another voter before a graceful shutdown."""
        await self.elections.transfer()

    async def handle(self, message: msgspec.Struct) -> msgspec.Struct | None:
        """Answer a message of the replication protocol; return None for any other message."""
        match message:
            case messages.AppendRequest():
                return await self.handle_append(message)
            case messages.VoteRequest():
                return await self.handle_vote(message)
            case messages.SnapshotChunk():
                return await self.handle_snapshot(message)
            case messages.TimeoutNow():
                return await self.handle_timeout_now(message)
        return None

    async def handle_append(self, request: messages.AppendRequest) -> messages.AppendReply:
        """Append entries sent by the leader."""
        self._check_target(request.target)
        async with self._fail_on_storage_error():
            return await self.follower.handle_append(request)

    async def handle_snapshot(self, request: messages.SnapshotChunk) -> messages.SnapshotReply:
        """Receive one chunk of the leader's snapshot."""
        self._check_target(request.target)
        async with self._fail_on_storage_error():
            return await self.follower.handle_snapshot(request)

    async def handle_vote(self, request: messages.VoteRequest) -> messages.VoteReply:
        """Answer a vote request."""
        self._check_target(request.target)
        async with self._fail_on_storage_error():
            return await self.elections.handle_vote(request)

    async def handle_timeout_now(self, request: messages.TimeoutNow) -> messages.Ack:
        """Start an election at the leader's request."""
        self._check_target(request.target)
        return await self.elections.handle_timeout_now(request)

    def _check_target(self, target: str) -> None:
        if target != self.member:
            raise exceptions.NotLeaderError(
                "message for another member id", "check member", self.core.host.name
            )

    @contextlib.asynccontextmanager
    async def _fail_on_storage_error(self) -> typing.AsyncIterator[None]:
        """End the process on a storage error, unless it only lacks room."""
        try:
            yield
        except exceptions.DiskFullError as error:
            self._log_disk_full(error)
            raise
        except exceptions.StorageError as error:
            await self.core.fail(error)
            raise

    def _log_disk_full(self, error: exceptions.DiskFullError) -> None:
        self.core.metrics.count("disk_full_writes", step=error.step)
        self.core.log.warning("disk_full", error=error)

    # -- apply -----------------------------------------------------------------------------

    async def notify(self) -> None:
        """Wake the tasks that wait on `changed`; a leader first starts missing peer tasks."""
        if self.role is Role.LEADER:
            await self.replication.ensure_peer_tasks()
        async with self.changed:
            await self.changed.notify_all()

    async def _run_sync(self) -> None:
        """Sync the log; one sync covers all entries appended since the last."""
        while True:
            async with self.changed:
                while self.store.synced_index >= self.store.last_index():
                    await self.changed.wait()
            await self.store.sync()
            await self.replication.advance_commit()
            await self.notify()

    async def _run_apply(self) -> None:
        while True:
            async with self.changed:
                while not self._can_apply():
                    await self.changed.wait()
            await self._apply_batch()
            for callback in self.on_applied:
                await callback()
            if self._snapshot_due():
                await self.take_snapshot()

    async def _run_save_commit(self) -> None:
        """Save the commit index periodically, so that a restart of all hosts at once is quick."""
        while True:
            async with self.changed:
                while min(self.commit_index, self.store.synced_index) <= self.store.committed.index:
                    await self.changed.wait()
            try:
                await self.store.save_commit(min(self.commit_index, self.store.synced_index))
            except exceptions.DiskFullError as error:
                self._log_disk_full(error)
                await curio.sleep(DISK_FULL_RETRY_S)
            await curio.sleep(COMMIT_SAVE_INTERVAL_S)

    def _can_apply(self) -> bool:
        """Return whether the next entry is committed and no snapshot has replaced it in the log."""
        if self.unreadable_index:
            return False
        return self.store.base.index <= self.state_machine.applied < self.commit_index

    async def _apply_batch(self) -> None:
        for _ in range(MAX_APPLY_ENTRIES):
            if not self._can_apply():
                return
            entry = self.store.entry(self.state_machine.applied + 1)
            try:
                outcome = self.state_machine.apply(entry)
            except exceptions.UnreadableEntryError as error:
                await self._stop_applying(entry.index, error)
                return
            await self.proposals.resolve(entry, outcome)
        await curio.sleep(0)

    async def _stop_applying(self, index: int, error: exceptions.UnreadableEntryError) -> None:
        """Stop at an entry of a newer build until this host is replaced by one.

        It goes on to store entries and to vote, so that the newer hosts keep their quorum.
        """
        self.unreadable_index = index
        self.core.metrics.count("unreadable_entries")
        self.core.log.error("entry_unreadable", index=index, error=error)
        await self.elections.transfer()

    def _snapshot_due(self) -> bool:
        if self.store.log.size > MAX_LOG_BYTES:
            return True
        entries = self.state_machine.applied - self.store.snapshot.index
        log_large_enough = (
            self.store.log.size >= self.store.snapshot_bytes * MIN_LOG_TO_SNAPSHOT_RATIO
        )
        return entries > self.snapshot_entries and log_large_enough

    async def take_snapshot(self) -> None:
        """Save a snapshot of the state and drop older log entries that it covers.

        On a full disk the last snapshot and the log stay as they are.
        """
        started_at = self.core.clock.monotonic()
        snapshot = storage.Snapshot(
            self.state_machine.applied,
            self.state_machine.applied_term,
            self.state_machine.snapshot(),
        )
        self.core.metrics.observe("snapshot_encode", self.core.clock.monotonic() - started_at)
        trailing_entries = int(self.snapshot_entries * TRAILING_ENTRIES_RATIO)
        try:
            await self.store.save_snapshot(snapshot, trailing_entries)
        except exceptions.DiskFullError as error:
            self._log_disk_full(error)
            return
        self.core.metrics.count("snapshots")
