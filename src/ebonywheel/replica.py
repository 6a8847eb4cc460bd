"""One control host's replica of the log: holds its parts together and applies what is committed.

The leader decides and answers reads only while a quorum has lately acknowledged it (its lease).
Elections, replication, following, proposals and membership are modules of their own.
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

APPLY_BATCH = 256
TRAILING_SHARE = 0.25
MAX_LOG_BYTES = 16 * 1024 * 1024
# Saving a big state for few entries would write far more than the log itself.
MIN_LOG_SHARE = 0.5
# A restart loses no more than this of what it could apply at once.
SAVE_COMMIT_PAUSE_S = 0.3

Role = elections.Role


class Replica:
    """The replicated log of one control host.

    Attributes:
        member: This host's member id.
        commit: Highest index known committed.
        work: Notified at each change of role, log or commit index.
        on_applied: Called after entries were applied.
    """

    def __init__(
        self,
        core: kernel.Kernel,
        store: storage.Storage,
        machine: state.State,
        election_timeout_s: float,
        snapshot_entries: int,
        make_link: typing.Callable[[configuration.Member], link.Link],
    ):
        self.core = core
        self.store = store
        self.machine = machine
        self.election_timeout_s = election_timeout_s
        self.snapshot_entries = snapshot_entries
        self.make_link = make_link
        self.member = store.identity.member
        self.commit = 0
        self.links: dict[str, link.Link] = {}
        self.work = curio.Condition()
        self.on_applied: list[typing.Callable[[], typing.Awaitable[None]]] = []
        self.membership = membership.Membership(store, machine)
        self.elections = elections.Elections(self)
        self.replication = replication.Replication(self)
        self.follower = follower.Follower(self)
        self.proposals = proposals.Proposals(self)

    # -- start -----------------------------------------------------------------------------

    async def start(self) -> None:
        """Restore the state and start the tasks."""
        snapshot = self.store.load_snapshot()
        if snapshot.index:
            self.machine.restore(snapshot.index, snapshot.term, snapshot.state)
            self.commit = snapshot.index
            self.membership.reload()
        elif self.store.identity.formed:
            self.form(self.store.identity.formed)
        # What was committed before can be applied now, without waiting for a leader.
        self.commit = max(self.commit, self.store.committed.index)
        self._register_gauges()
        await self.core.spawn(self.elections.run(), essential=True)
        await self.core.spawn(self._run_save_commit(), essential=True)
        await self.core.spawn(self._run_sync(), essential=True)
        await self.core.spawn(self._run_apply(), essential=True)

    def _register_gauges(self) -> None:
        gauge = self.core.metrics.gauge
        gauge("term", lambda: self.store.vote.term)
        gauge("leader", lambda: float(self.has_lease()))
        gauge("commit_index", lambda: self.commit)
        gauge("applied_index", lambda: self.machine.applied)
        gauge("log_bytes", lambda: self.store.log.size)
        gauge("snapshot_bytes", lambda: self.store.snapshot_bytes)

    def form(self, members: list[messages.MemberInfo]) -> None:
        """Take the first configuration of a new cluster, unless a snapshot came first."""
        if self.machine.applied:
            return
        self.machine.data.members = [
            configuration.Member(
                info.host, info.member, info.data_centre, info.link, info.http, True
            )
            for info in members
        ]
        self.membership.reload()

    # -- questions -------------------------------------------------------------------------

    @property
    def role(self) -> Role:
        """What this replica is now."""
        return self.elections.role

    @property
    def leader(self) -> str:
        """Member id of the leader, or an empty string."""
        return self.elections.leader

    @property
    def members(self) -> list[configuration.Member]:
        """Control hosts in force."""
        return self.membership.members

    def find_member(self, member: str) -> configuration.Member | None:
        """Return a control host by its member id."""
        return self.membership.find(member)

    def leader_host(self) -> str:
        """Return the leader's host name, or an empty string."""
        found = self.membership.find(self.leader)
        return "" if found is None else found.host

    def has_lease(self) -> bool:
        """Return whether this host may decide and answer reads now."""
        if self.role is not Role.LEADER or self.elections.transferring:
            return False
        # What earlier leaders acknowledged is all applied once an entry of the own term is.
        if self.machine.applied < self.replication.term_start:
            return False
        return self.replication.has_lease()

    def require_lease(self, step: str) -> None:
        """Check that this host may decide.

        Raises:
            NotLeaderError: It may not; nothing was done.
        """
        if not self.has_lease():
            raise exceptions.NotLeaderError(
                "no quorum-backed leader here", step, self.core.host.name, self.leader_host()
            )

    def link_to(self, member: str) -> link.Link:
        """Return the link to a member.

        Raises:
            LinkError: There is no such member.
        """
        held = self.links.get(member)
        info = self.membership.find(member)
        if info is None:
            raise exceptions.LinkError("no such member", "find member", member)
        if held is None or held.address != info.link:
            held = self.links[member] = self.make_link(info)
        return held

    # -- requests --------------------------------------------------------------------------

    async def propose(
        self, command: commands.AnyCommand, timeout_s: float = proposals.PROPOSE_TIMEOUT_S
    ) -> tuple[int, commands.Outcome]:
        """Replicate a command and return its log index and outcome.

        Raises:
            NotLeaderError: This host cannot decide; the command was not proposed.
            NotRunError: The command is not acceptable now; it was not proposed.
            UnknownOutcomeError: The command may still take effect.
        """
        async with self._ending_on_fault():
            return await self.proposals.propose(command, timeout_s)

    async def transfer(self) -> None:
        """Give the leadership away, for a graceful end."""
        await self.elections.transfer()

    async def handle(self, message: msgspec.Struct) -> msgspec.Struct | None:
        """Answer a message of the replicated log; None when it is none."""
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
        """Store a leader's entries."""
        self._check_target(request.target)
        async with self._ending_on_fault():
            return await self.follower.handle_append(request)

    async def handle_snapshot(self, request: messages.SnapshotChunk) -> messages.SnapshotReply:
        """Take in a part of the leader's snapshot."""
        self._check_target(request.target)
        async with self._ending_on_fault():
            return await self.follower.handle_snapshot(request)

    async def handle_vote(self, request: messages.VoteRequest) -> messages.VoteReply:
        """Answer a candidate."""
        self._check_target(request.target)
        async with self._ending_on_fault():
            return await self.elections.handle_vote(request)

    async def handle_timeout_now(self, request: messages.TimeoutNow) -> messages.Ack:
        """Stand for election because the leader asked for it."""
        self._check_target(request.target)
        return await self.elections.handle_timeout_now(request)

    def _check_target(self, target: str) -> None:
        if target != self.member:
            raise exceptions.NotLeaderError(
                "message for another member id", "check member", self.core.host.name
            )

    @contextlib.asynccontextmanager
    async def _ending_on_fault(self) -> typing.AsyncIterator[None]:
        try:
            yield
        except exceptions.StorageError as error:
            await self.core.fail(error)
            raise

    # -- apply -----------------------------------------------------------------------------

    async def notify(self) -> None:
        """Wake the tasks that wait for a change."""
        if self.role is Role.LEADER:
            await self.replication.ensure_peers()
        async with self.work:
            await self.work.notify_all()

    async def _run_sync(self) -> None:
        """Sync the log: one sync for all that was appended meanwhile."""
        while True:
            async with self.work:
                while self.store.synced >= self.store.last_index():
                    await self.work.wait()
            await self.store.sync()
            await self.replication.advance_commit()
            await self.notify()

    async def _run_apply(self) -> None:
        while True:
            async with self.work:
                while not self._can_apply():
                    await self.work.wait()
            await self._apply_batch()
            for notify in self.on_applied:
                await notify()
            if self._snapshot_due():
                await self.take_snapshot()

    async def _run_save_commit(self) -> None:
        """Save the commit index now and then, for a quick restart of all hosts at once."""
        while True:
            async with self.work:
                while min(self.commit, self.store.synced) <= self.store.committed.index:
                    await self.work.wait()
            await self.store.save_commit(min(self.commit, self.store.synced))
            await curio.sleep(SAVE_COMMIT_PAUSE_S)

    def _can_apply(self) -> bool:
        """Return whether there is a committed entry next, and no snapshot that replaces it."""
        return self.store.base.index <= self.machine.applied < self.commit

    async def _apply_batch(self) -> None:
        for _ in range(APPLY_BATCH):
            if not self._can_apply():
                return
            entry = self.store.entry(self.machine.applied + 1)
            outcome = self.machine.apply(entry)
            await self.proposals.resolve(entry, outcome)
        await curio.sleep(0)

    def _snapshot_due(self) -> bool:
        if self.store.log.size > MAX_LOG_BYTES:
            return True
        entries = self.machine.applied - self.store.snapshot.index
        enough = self.store.log.size >= self.store.snapshot_bytes * MIN_LOG_SHARE
        return entries > self.snapshot_entries and enough

    async def take_snapshot(self) -> None:
        """Save the state and drop the log entries that it covers."""
        started_at = self.core.clock.monotonic()
        snapshot = storage.Snapshot(
            self.machine.applied, self.machine.applied_term, self.machine.snapshot()
        )
        self.core.metrics.observe("snapshot_encode", self.core.clock.monotonic() - started_at)
        trailing = int(self.snapshot_entries * TRAILING_SHARE)
        await self.store.save_snapshot(snapshot, trailing)
        self.core.metrics.count("snapshots")
