"""One control host's replica of the log: elections, replication, commit and apply.

The leader decides and answers reads only while a quorum has lately acknowledged it (its lease).
A voter that has heard from a leader lately refuses to vote, so that a new leader cannot exist
before the old one's lease has run out. Each peer has one task of its own while this host leads.
"""

import enum
import random
import typing

import curio
import msgspec

from ebonywheel import (
    commands,
    configuration,
    exceptions,
    hoststate,
    kernel,
    link,
    messages,
    state,
    storage,
)

HEARTBEATS_PER_TIMEOUT = 5
LEASE_SHARE = 0.8
MAX_ENTRIES = 256
SNAPSHOT_CHUNK_BYTES = 256 * 1024
TICK_SHARE = 0.05
CAUGHT_UP_ENTRIES = 64
PROPOSE_TIMEOUT_S = 5.0


class Role(enum.StrEnum):
    """What the replica is now."""

    FOLLOWER = "follower"
    CANDIDATE = "candidate"
    LEADER = "leader"


class Progress(msgspec.Struct):
    """What the leader knows of one peer.

    Attributes:
        match: Highest index known durable at the peer.
        next: Next index to send.
        acked_at: When the last acknowledged request was sent, on the leader's monotonic clock.
    """

    match: int = 0
    next: int = 1
    acked_at: float = float("-inf")


class Waiter(msgspec.Struct):
    """A proposal that waits to be applied."""

    term: int
    outcome: curio.Result


class Replica:
    """The replicated log of one control host.

    Attributes:
        member: This host's member id.
        role: What it is now.
        commit: Highest index known committed.
        leader: Member id of the leader, or an empty string.
        members: Control hosts in force, as of the last entry in the log.
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
        self.role = Role.FOLLOWER
        self.leader = ""
        self.commit = 0
        self.members: list[configuration.Member] = []
        self.links: dict[str, link.Link] = {}
        self.progress: dict[str, Progress] = {}
        self.waiters: dict[int, Waiter] = {}
        self.heard_at = core.clock.monotonic()
        self.stamp_base_ms = 0
        self.stamp_at = 0.0
        self.term_start = 0
        self.transferring = False
        self.work = curio.Condition()
        self.incoming = bytearray()
        self.on_applied: list[typing.Callable[[], typing.Awaitable[None]]] = []

    # -- start -----------------------------------------------------------------------------

    async def start(self) -> None:
        """Restore the state and start the tasks."""
        snapshot = self.store.snapshot
        if snapshot.state:
            self.machine.restore(snapshot.index, snapshot.term, snapshot.state)
        elif self.store.identity.formed:
            self.form(self.store.identity.formed)
        self.commit = snapshot.index
        self._refresh_members()
        await self.core.spawn(self._run_elections(), essential=True)
        await self.core.spawn(self._run_apply(), essential=True)

    def form(self, members: list[messages.MemberInfo]) -> None:
        """Take the first configuration of a new cluster."""
        self.machine.data.members = [
            configuration.Member(
                info.host, info.member, info.data_centre, info.link, info.http, True
            )
            for info in members
        ]
        self._refresh_members()

    # -- questions -------------------------------------------------------------------------

    def voters(self) -> list[str]:
        """Return the member ids of all voters."""
        return [member.member for member in self.members if member.voter]

    def quorum(self) -> int:
        """Return how many voters decide."""
        return len(self.voters()) // 2 + 1

    def find_member(self, member: str) -> configuration.Member | None:
        """Return a control host by its member id."""
        for held in self.members:
            if held.member == member:
                return held
        return None

    def leader_host(self) -> str:
        """Return the leader's host name, or an empty string."""
        found = self.find_member(self.leader)
        return "" if found is None else found.host

    def has_lease(self) -> bool:
        """Return whether this host may decide and answer reads now."""
        if self.role is not Role.LEADER or self.transferring:
            return False
        if self.commit < self.term_start:
            return False
        return self.core.clock.monotonic() < self._quorum_acked_at() + self._lease_s()

    def require_lease(self, step: str) -> None:
        """Check that this host may decide.

        Raises:
            NotLeaderError: It may not; nothing was done.
        """
        if not self.has_lease():
            raise exceptions.NotLeaderError(
                "no quorum-backed leader here", step, self.core.host.name, self.leader_host()
            )

    # -- proposals -------------------------------------------------------------------------

    async def propose(
        self, command: commands.AnyCommand, timeout_s: float = PROPOSE_TIMEOUT_S
    ) -> tuple[int, commands.Outcome]:
        """Replicate a command and return its log index and outcome.

        Raises:
            NotLeaderError: This host cannot decide; the command was not proposed.
            UnknownOutcomeError: The command may still take effect.
        """
        self.require_lease("propose")
        self._check_membership_change(command)
        command.at_ms = self._now_ms()
        index = self.store.last_index() + 1
        entry = messages.LogEntry(index, self.store.vote.term, commands.encode(command))
        waiter = Waiter(entry.term, curio.Result())
        self.waiters[index] = waiter
        await self._append_own([entry])
        try:
            async with curio.timeout_after(timeout_s):
                return index, await waiter.outcome.unwrap()
        except curio.TaskTimeout as error:
            raise exceptions.UnknownOutcomeError(
                "not committed in time", "propose", self.core.host.name
            ) from error
        finally:
            if self.waiters.get(index) is waiter:
                del self.waiters[index]

    async def _append_own(self, entries: list[messages.LogEntry]) -> None:
        self.store.append(entries)
        self._refresh_members()
        await self._notify()
        await self.core.spawn(self._sync_own(), essential=True)

    async def _sync_own(self) -> None:
        await self.store.sync()
        await self._advance_commit()

    def _check_membership_change(self, command: commands.AnyCommand) -> None:
        if not isinstance(command, commands.AddMember | commands.RemoveMember):
            return
        for entry in self.store.entries_from(self.machine.applied + 1, MAX_ENTRIES):
            if isinstance(commands.decode(entry.data), commands.AddMember | commands.RemoveMember):
                raise exceptions.NotRunError(
                    "another membership change is not committed yet", "change members"
                )
        if isinstance(command, commands.AddMember) and command.voter:
            held = self.progress.get(command.member)
            if held is None or held.match + CAUGHT_UP_ENTRIES < self.store.last_index():
                raise exceptions.NotRunError(
                    "the learner has not caught up", "change members", command.host
                )

    def _now_ms(self) -> int:
        elapsed = self.core.clock.monotonic() - self.stamp_at
        return self.stamp_base_ms + int(elapsed * 1000)

    # -- elections -------------------------------------------------------------------------

    async def _run_elections(self) -> None:
        timeout = self._random_timeout()
        while True:
            await curio.sleep(self.election_timeout_s * TICK_SHARE)
            silent = self.core.clock.monotonic() - self.heard_at
            if self.role is Role.LEADER:
                await self._check_quorum()
            elif silent > timeout and self.member in self.voters():
                timeout = self._random_timeout()
                await self._stand(transfer=False)

    def _random_timeout(self) -> float:
        return self.election_timeout_s * (1 + random.random())

    async def _check_quorum(self) -> None:
        silent = self.core.clock.monotonic() - self._quorum_acked_at()
        if silent > self.election_timeout_s:
            self.core.log.warning("lost_quorum", term=self.store.vote.term)
            await self._become_follower(self.store.vote.term, "")

    async def _stand(self, transfer: bool) -> None:
        if not transfer and not await self._poll(self.store.vote.term + 1, pre=True):
            self.heard_at = self.core.clock.monotonic() - self.election_timeout_s
            return
        term = self.store.vote.term + 1
        self.role = Role.CANDIDATE
        self.leader = ""
        self.store.vote.term = term
        self.store.vote.voted_for = self.member
        await self.store.save_vote()
        self.core.metrics.count("elections")
        self.heard_at = self.core.clock.monotonic()
        won = await self._poll(term, pre=False, transfer=transfer)
        if won and self.role is Role.CANDIDATE and self.store.vote.term == term:
            await self._become_leader()

    async def _poll(self, term: int, pre: bool, transfer: bool = False) -> bool:
        if pre and not self._may_vote_now():
            return False
        granted = 1
        others = [member for member in self.voters() if member != self.member]
        if granted >= self.quorum():
            return True
        async with curio.TaskGroup() as group:
            for member in others:
                request = messages.VoteRequest(
                    term,
                    self.member,
                    self.store.last_index(),
                    self.store.last_term(),
                    pre,
                    transfer,
                    member,
                )
                await group.spawn(self._ask_vote, member, request)
            async for task in group:
                granted += 1 if task.result else 0
                if granted >= self.quorum():
                    await group.cancel_remaining()
                    return True
        return False

    async def _ask_vote(self, member: str, request: messages.VoteRequest) -> bool:
        try:
            reply = await self.link_to(member).call(request, self.election_timeout_s)
        except exceptions.LinkError:
            return False
        if not request.pre and reply.term > self.store.vote.term:
            await self._become_follower(reply.term, "")
        return reply.granted

    def _may_vote_now(self) -> bool:
        if self.role is Role.LEADER:
            return not self.has_lease()
        return self.core.clock.monotonic() - self.heard_at >= self.election_timeout_s

    async def handle_vote(self, request: messages.VoteRequest) -> messages.VoteReply:
        """Answer a candidate."""
        self._check_target(request.target)
        vote = self.store.vote
        up_to_date = (request.last_term, request.last_index) >= (
            self.store.last_term(),
            self.store.last_index(),
        )
        if not request.transfer and not self._may_vote_now():
            return messages.VoteReply(vote.term, False)
        if request.pre:
            return messages.VoteReply(vote.term, request.term > vote.term and up_to_date)
        if request.term < vote.term:
            return messages.VoteReply(vote.term, False)
        if request.term > vote.term:
            await self._become_follower(request.term, "")
        free = vote.term == request.term and vote.voted_for in ("", request.candidate)
        if not (free and up_to_date):
            return messages.VoteReply(vote.term, False)
        vote.voted_for = request.candidate
        self.heard_at = self.core.clock.monotonic()
        await self.store.save_vote()
        granted = vote.term == request.term and vote.voted_for == request.candidate
        return messages.VoteReply(vote.term, granted)

    async def handle_timeout_now(self, request: messages.TimeoutNow) -> messages.Ack:
        """Stand for election because the leader asked for it."""
        self._check_target(request.target)
        if request.term == self.store.vote.term and self.member in self.voters():
            await self.core.spawn(self._stand(transfer=True), essential=True)
        return messages.Ack()

    async def transfer(self) -> None:
        """Give the leadership to the most caught-up voter, for a graceful end."""
        if self.role is not Role.LEADER:
            return
        self.transferring = True
        others = [member for member in self.voters() if member != self.member]
        others.sort(key=lambda member: -self.progress[member].match)
        for member in others:
            try:
                await self.link_to(member).call(
                    messages.TimeoutNow(self.store.vote.term, member), self.election_timeout_s
                )
            except exceptions.LinkError:
                continue
            await curio.sleep(self.election_timeout_s)
            if self.role is not Role.LEADER:
                return
        self.transferring = False

    async def _become_follower(self, term: int, leader: str) -> None:
        if self.role is Role.LEADER:
            self.core.log.info("stepped_down", term=self.store.vote.term)
        self.role = Role.FOLLOWER
        self.transferring = False
        self.leader = leader
        if term > self.store.vote.term:
            self.store.vote.term = term
            self.store.vote.voted_for = ""
            await self.store.save_vote()
        await self._notify()

    async def _become_leader(self) -> None:
        term = self.store.vote.term
        self.role = Role.LEADER
        self.leader = self.member
        self.transferring = False
        self.progress = {}
        self.stamp_base_ms = max(
            self.machine.data.at_ms, self._last_stamp_ms(), int(self.core.clock.wall() * 1000)
        )
        self.stamp_at = self.core.clock.monotonic()
        self.core.log.info("leading", term=term)
        self.core.metrics.count("leaderships")
        self.term_start = self.store.last_index() + 1
        noop = commands.Noop(actor=self.core.host.name, at_ms=self._now_ms())
        await self._append_own([messages.LogEntry(self.term_start, term, commands.encode(noop))])

    def _last_stamp_ms(self) -> int:
        if not self.store.entries:
            return 0
        return commands.decode(self.store.entries[-1].data).at_ms

    # -- leader: replication ---------------------------------------------------------------

    def _refresh_members(self) -> None:
        members = self.machine.data.members
        for entry in self.store.entries_from(
            max(self.machine.applied, self.store.snapshot.index) + 1, len(self.store.entries)
        ):
            command = commands.decode(entry.data)
            if isinstance(command, commands.AddMember | commands.RemoveMember):
                members = hoststate.changed_members(members, command)
        self.members = members

    async def _ensure_peers(self) -> None:
        for held in self.members:
            if held.member == self.member or held.member in self.progress:
                continue
            self.progress[held.member] = Progress(next=self.store.last_index() + 1)
            await self.core.spawn(
                self._replicate(held.member, self.store.vote.term), essential=True
            )

    async def _replicate(self, member: str, term: int) -> None:
        progress = self.progress[member]
        while self._leads(term) and self.find_member(member) is not None:
            sent_at = self.core.clock.monotonic()
            try:
                more = await self._replicate_once(member, term, progress)
            except exceptions.LinkError:
                self.core.metrics.count("replication_errors", peer=member)
                await curio.sleep(self._heartbeat_s())
                continue
            if not more:
                await self._wait_for_work(progress, sent_at)
        if self.progress.get(member) is progress:
            del self.progress[member]

    async def _replicate_once(self, member: str, term: int, progress: Progress) -> bool:
        prev_term = self.store.term_at(progress.next - 1)
        if prev_term is None:
            await self._send_snapshot(member, term, progress)
            return True
        request = messages.AppendRequest(
            term,
            self.member,
            progress.next - 1,
            prev_term,
            self.commit,
            self.store.entries_from(progress.next, MAX_ENTRIES),
            member,
        )
        sent_at = self.core.clock.monotonic()
        reply = await self.link_to(member).call(request, self.election_timeout_s)
        if not self._leads(term):
            return False
        if reply.term > term:
            await self._become_follower(reply.term, "")
            return False
        progress.acked_at = sent_at
        if not reply.ok:
            progress.next = max(1, min(reply.hint, progress.next - 1))
            return True
        progress.match = max(progress.match, reply.match)
        progress.next = progress.match + 1
        await self._advance_commit()
        return progress.next <= self.store.last_index()

    async def _send_snapshot(self, member: str, term: int, progress: Progress) -> None:
        snapshot = self.store.snapshot
        data = snapshot.state
        offset = 0
        self.core.log.info("sending_snapshot", peer=member, index=snapshot.index, bytes=len(data))
        while True:
            chunk = data[offset : offset + SNAPSHOT_CHUNK_BYTES]
            done = offset + len(chunk) == len(data)
            request = messages.SnapshotChunk(
                term,
                self.member,
                snapshot.index,
                snapshot.term,
                offset,
                chunk,
                done,
                member,
            )
            sent_at = self.core.clock.monotonic()
            reply = await self.link_to(member).call(request, 2 * self.election_timeout_s)
            if reply.term > term:
                await self._become_follower(reply.term, "")
            if not self._leads(term):
                return
            progress.acked_at = sent_at
            offset = reply.offset
            if done:
                progress.match = snapshot.index
                progress.next = snapshot.index + 1
                return

    async def _wait_for_work(self, progress: Progress, sent_at: float) -> None:
        left = sent_at + self._heartbeat_s() - self.core.clock.monotonic()
        async with curio.ignore_after(max(left, 0.001)):
            async with self.work:
                while self.role is Role.LEADER and progress.next > self.store.last_index():
                    await self.work.wait()

    async def _notify(self) -> None:
        if self.role is Role.LEADER:
            await self._ensure_peers()
        async with self.work:
            await self.work.notify_all()

    def _leads(self, term: int) -> bool:
        return self.role is Role.LEADER and self.store.vote.term == term

    def _heartbeat_s(self) -> float:
        return self.election_timeout_s / HEARTBEATS_PER_TIMEOUT

    def _lease_s(self) -> float:
        return self.election_timeout_s * LEASE_SHARE

    def _quorum_acked_at(self) -> float:
        now = self.core.clock.monotonic()
        acked = []
        for member in self.voters():
            if member == self.member:
                acked.append(now)
            elif member in self.progress:
                acked.append(self.progress[member].acked_at)
        acked.sort(reverse=True)
        if len(acked) < self.quorum():
            return float("-inf")
        return acked[self.quorum() - 1]

    async def _advance_commit(self) -> None:
        if self.role is not Role.LEADER:
            return
        matches = []
        for member in self.voters():
            if member == self.member:
                matches.append(self.store.synced)
            elif member in self.progress:
                matches.append(self.progress[member].match)
        matches.sort(reverse=True)
        if len(matches) < self.quorum():
            return
        index = matches[self.quorum() - 1]
        if index > self.commit and self.store.term_at(index) == self.store.vote.term:
            self.commit = index
            await self._notify()

    # -- follower --------------------------------------------------------------------------

    async def handle_append(self, request: messages.AppendRequest) -> messages.AppendReply:
        """Store a leader's entries."""
        self._check_target(request.target)
        vote = self.store.vote
        if request.term < vote.term:
            return messages.AppendReply(vote.term, False)
        await self._follow(request.term, request.leader)
        if self.store.term_at(request.prev_index) != request.prev_term:
            hint = min(request.prev_index, self.store.last_index() + 1)
            if request.prev_index < self.store.snapshot.index:
                hint = self.store.snapshot.index + 1
            return messages.AppendReply(vote.term, False, 0, hint)
        self._store_entries(request.entries)
        match = request.prev_index + len(request.entries)
        await self.store.sync()
        if vote.term != request.term:
            return messages.AppendReply(vote.term, False)
        if min(request.commit, match) > self.commit:
            self.commit = min(request.commit, match)
            await self._notify()
        return messages.AppendReply(vote.term, True, match)

    async def handle_snapshot(self, request: messages.SnapshotChunk) -> messages.SnapshotReply:
        """Take in a part of the leader's snapshot."""
        self._check_target(request.target)
        vote = self.store.vote
        if request.term < vote.term:
            return messages.SnapshotReply(vote.term, 0)
        await self._follow(request.term, request.leader)
        if request.offset == 0:
            self.incoming = bytearray()
        if request.offset != len(self.incoming):
            return messages.SnapshotReply(vote.term, len(self.incoming))
        self.incoming += request.data
        if request.done and request.last_index > self.machine.applied:
            await self._install(request)
        return messages.SnapshotReply(vote.term, request.offset + len(request.data))

    async def _install(self, request: messages.SnapshotChunk) -> None:
        content = bytes(self.incoming)
        self.incoming = bytearray()
        snapshot = storage.Snapshot(request.last_index, request.last_term, content)
        await self.store.save_snapshot(snapshot)
        self.machine.restore(snapshot.index, snapshot.term, content)
        self.commit = max(self.commit, snapshot.index)
        self._refresh_members()
        self.core.log.info("installed_snapshot", index=snapshot.index, bytes=len(content))
        await self._notify()

    async def _follow(self, term: int, leader: str) -> None:
        self.heard_at = self.core.clock.monotonic()
        if term > self.store.vote.term or self.role is not Role.FOLLOWER or self.leader != leader:
            await self._become_follower(term, leader)
            self.core.log.info("following", term=term, leader=self.leader_host() or leader)

    def _store_entries(self, entries: list[messages.LogEntry]) -> None:
        for position, entry in enumerate(entries):
            if entry.index <= self.store.snapshot.index:
                continue
            held = self.store.term_at(entry.index)
            if held == entry.term:
                continue
            if held is not None:
                self.store.truncate(entry.index)
            self.store.append(entries[position:])
            self._refresh_members()
            return

    def _check_target(self, target: str) -> None:
        if target != self.member:
            raise exceptions.NotLeaderError(
                "message for another member id", "check member", self.core.host.name
            )

    def link_to(self, member: str) -> link.Link:
        """Return the link to a member.

        Raises:
            LinkError: There is no such member.
        """
        held = self.links.get(member)
        info = self.find_member(member)
        if info is None:
            raise exceptions.LinkError("no such member", "find member", member)
        if held is None or held.address != info.link:
            held = self.links[member] = self.make_link(info)
        return held

    # -- apply -----------------------------------------------------------------------------

    async def _run_apply(self) -> None:
        while True:
            async with self.work:
                while self.machine.applied >= self.commit:
                    await self.work.wait()
            while self.machine.applied < self.commit:
                await self._apply_next()
            for notify in self.on_applied:
                await notify()
            if len(self.store.entries) > self.snapshot_entries:
                await self._take_snapshot()

    async def _apply_next(self) -> None:
        entry = self.store.entries_from(self.machine.applied + 1, 1)[0]
        outcome = self.machine.apply(entry)
        waiter = self.waiters.pop(entry.index, None)
        if waiter is None:
            return
        if waiter.term == entry.term:
            await waiter.outcome.set_value(outcome)
        else:
            lost = exceptions.NotLeaderError("another leader's entry took its place", "propose")
            await waiter.outcome.set_exception(lost)

    async def _take_snapshot(self) -> None:
        snapshot = storage.Snapshot(
            self.machine.applied, self.machine.applied_term, self.machine.snapshot()
        )
        await self.store.save_snapshot(snapshot)
        self.core.metrics.count("snapshots")
