"""Raft leader elections with leases.

A host grants no vote, not even to itself, within an election timeout of hearing from a leader, so
that a leader's lease has expired before another leader can be elected. The same wait follows its
own start. Only a leader that has given up its lease for the rest of its term may have a follower
start an election without that wait.
"""

import enum
import random
import typing

import curio

from ebonywheel import exceptions, messages

if typing.TYPE_CHECKING:
    from ebonywheel import replica

# The ratios are to the election timeout.
CHECK_INTERVAL_RATIO = 0.05
PRE_VOTE_RETRY_RATIOS = (0.1, 0.4)
MAX_CATCH_UP_CHECKS = 20


class Role(enum.StrEnum):
    """Raft role of a replica."""

    FOLLOWER = "follower"
    CANDIDATE = "candidate"
    LEADER = "leader"


class Elections:
    """Elects a leader and votes on behalf of one replica.

    Attributes:
        role: Current role of the replica.
        leader: Member id of the leader, or an empty string.
        last_contact_at: When a leader was last heard or a vote granted, monotonic seconds.
        election_due_at: When to start an election if no leader is heard, monotonic seconds.
        transferring: True once this leader has given up its lease for the rest of its term.
    """

    def __init__(self, replica: "replica.Replica"):
        self.replica = replica
        self.store = replica.store
        self.clock = replica.core.clock
        self.timeout_s = replica.election_timeout_s
        self.role = Role.FOLLOWER
        self.leader = ""
        self.last_contact_at = self.clock.monotonic()
        self.election_due_at = self.last_contact_at + self._random_timeout()
        self.transferring = False

    # -- starting elections ----------------------------------------------------------------

    async def run(self) -> None:
        """Start an election when no leader is heard; step down when a quorum is lost."""
        while True:
            await curio.sleep(self._check_delay_s())
            if self.role is Role.LEADER:
                await self._check_quorum()
            elif self.clock.monotonic() >= self.election_due_at and self._is_voter():
                self.election_due_at = self.clock.monotonic() + self._random_timeout()
                await self.start_election()

    def _check_delay_s(self) -> float:
        min_delay_s = self.timeout_s * CHECK_INTERVAL_RATIO
        if self.role is Role.LEADER:
            return 4 * min_delay_s
        return min(max(self.election_due_at - self.clock.monotonic(), min_delay_s), self.timeout_s)

    async def start_election(self) -> None:
        """Start an election if a quorum would vote for this host (pre-vote)."""
        if not await self._may_campaign() or not await self._request_votes(
            self.store.vote.term + 1, pre_vote=True
        ):
            # A pre-vote changes no state, so the retry is sooner than after a lost election.
            wait_s = self.timeout_s * random.uniform(*PRE_VOTE_RETRY_RATIOS)
            self.election_due_at = max(
                self.last_contact_at + self.timeout_s, self.clock.monotonic() + wait_s
            )
            return
        # A leader may have been heard during the pre-vote.
        if self.role is not Role.LEADER and self.may_vote():
            await self._campaign(transfer=False)

    async def _may_campaign(self) -> bool:
        """Return whether this host may vote, and could store and apply entries as a leader."""
        if self.replica.unreadable_index:
            return False
        return self.may_vote() and await self.store.has_room()

    async def _campaign(self, transfer: bool) -> None:
        term = self.store.vote.term + 1
        self.role = Role.CANDIDATE
        self.leader = ""
        self.store.vote.term = term
        self.store.vote.voted_for = self.replica.member
        self.reset_timeout()
        self.replica.core.metrics.count("elections")
        try:
            await self.store.save_vote()
        except exceptions.DiskFullError as error:
            self.replica.core.log.warning("election_abandoned", term=term, error=error)
            await self.step_down(term)
            return
        won = await self._request_votes(term, pre_vote=False, transfer=transfer)
        if won and self.role is Role.CANDIDATE and self.store.vote.term == term:
            await self._become_leader()

    async def _request_votes(self, term: int, pre_vote: bool, transfer: bool = False) -> bool:
        """Ask all voters for a vote and return whether a quorum grants it."""
        quorum = self.replica.membership.quorum()
        voters = self.replica.membership.voters()
        votes = 1 if self.replica.member in voters else 0
        others = [member_id for member_id in voters if member_id != self.replica.member]
        if votes >= quorum:
            return True
        async with curio.TaskGroup() as group:
            for member_id in others:
                await group.spawn(self._request_vote, member_id, term, pre_vote, transfer)
            async for task in group:
                votes += 1 if task.result else 0
                if votes >= quorum:
                    await group.cancel_remaining()
                    return True
        return False

    async def _request_vote(
        self, member_id: str, term: int, pre_vote: bool, transfer: bool
    ) -> bool:
        request = messages.VoteRequest(
            term,
            self.replica.member,
            self.store.last_index(),
            self.store.last_term(),
            pre_vote,
            transfer,
            member_id,
        )
        try:
            reply = await self.replica.link_to(member_id).call(request, self.timeout_s)
        except exceptions.LinkError:
            return False
        # Also on a pre-vote: a host at an old term gets no votes, and its log may be the only one
        # that can win.
        if reply.term > self.store.vote.term:
            await self.step_down(reply.term)
        return reply.granted and (pre_vote or reply.term == term)

    async def _become_leader(self) -> None:
        self.role = Role.LEADER
        self.leader = self.replica.member
        self.transferring = False
        self.replica.core.log.info("leading", term=self.store.vote.term)
        self.replica.core.metrics.count("leaderships")
        self.replica.replication.begin_term()
        try:
            await self.replica.proposals.begin_term()
        except exceptions.DiskFullError as error:
            self.replica.core.log.warning("leadership_abandoned", error=error)
            await self.step_down(self.store.vote.term)

    async def _check_quorum(self) -> None:
        replication = self.replica.replication
        followed_at = max(replication.quorum_acked_at(), replication.leader_since)
        if self.clock.monotonic() - followed_at > self.timeout_s:
            self.replica.core.log.warning("lost_quorum", term=self.store.vote.term)
            await self.step_down(self.store.vote.term)
        elif not self._is_voter() and not self.replica.membership.has_pending_change():
            self.replica.core.log.warning("no_longer_a_voter", term=self.store.vote.term)
            await self.transfer()

    # -- voting ----------------------------------------------------------------------------

    async def handle_vote(self, request: messages.VoteRequest) -> messages.VoteReply:
        """Answer a vote request.

        Raises:
            DiskFullError: The vote could not be saved and was not given.
            StorageError: The vote could not be saved; the process must end.
        """
        vote = self.store.vote
        if request.term < vote.term or not (request.transfer or self.may_vote()):
            return messages.VoteReply(vote.term, False)
        if request.pre:
            granted = request.term > vote.term and self._is_up_to_date(request)
            return messages.VoteReply(vote.term, granted)
        if request.term > vote.term:
            self._become_follower(request.term)
        if vote.voted_for in ("", request.candidate) and self._is_up_to_date(request):
            vote.voted_for = request.candidate
            self.reset_timeout()
        await self.store.save_vote()
        await self.replica.notify()
        saved = self.store.saved_vote
        granted = saved.term == request.term and saved.voted_for == request.candidate
        return messages.VoteReply(vote.term, granted)

    def may_vote(self) -> bool:
        """Return whether this host may vote: no other leader's lease can still depend on it."""
        if self.role is Role.LEADER:
            return not self.replica.has_lease()
        return self.clock.monotonic() - self.last_contact_at >= self.timeout_s

    def _is_up_to_date(self, request: messages.VoteRequest) -> bool:
        """Return whether the candidate's log is at least as up to date as this host's."""
        own_position = (self.store.last_term(), self.store.last_index())
        return (request.last_term, request.last_index) >= own_position

    # -- following -------------------------------------------------------------------------

    def reset_timeout(self) -> None:
        """Restart the election timeout, after hearing a leader or granting a vote."""
        self.last_contact_at = self.clock.monotonic()
        self.election_due_at = self.last_contact_at + self._random_timeout()

    async def follow(self, term: int, leader: str) -> None:
        """Follow the leader of a term that is not older than this host's."""
        self.reset_timeout()
        if term == self.store.vote.term and self.leader == leader and self._is_follower():
            return
        self._become_follower(term)
        self.leader = leader
        leader_name = self.replica.leader_host() or leader
        self.replica.core.log.info("following", term=term, leader=leader_name)
        await self.replica.notify()

    async def step_down(self, term: int) -> None:
        """Become a follower without a known leader, unless the term is old."""
        if term >= self.store.vote.term:
            self._become_follower(term)
            await self.replica.notify()

    def _is_follower(self) -> bool:
        return self.role is Role.FOLLOWER

    def _become_follower(self, term: int) -> None:
        """Become a follower in a term; the caller must save the vote before it answers."""
        if self.role is Role.LEADER:
            self.replica.core.log.info("stepped_down", term=self.store.vote.term)
        self.role = Role.FOLLOWER
        self.leader = ""
        self.transferring = False
        if term > self.store.vote.term:
            self.store.vote.term = term
            self.store.vote.voted_for = ""

    # -- leadership transfer ---------------------------------------------------------------

    async def transfer(self) -> None:
        """Transfer leadership to the most caught-up voter; never lead again in this term."""
        if self.role is not Role.LEADER:
            return
        term = self.store.vote.term
        self.transferring = True
        await self._wait_for_caught_up_target(term)
        for member_id in self._transfer_targets():
            request = messages.TimeoutNow(term, member_id)
            try:
                await self.replica.link_to(member_id).call(request, self.timeout_s)
            except exceptions.LinkError:
                continue
            await curio.sleep(self.timeout_s)
            if not self.is_leader_in(term):
                return
        if self.is_leader_in(term):
            # A target may still start its election, so this host must not regain its lease.
            await self.step_down(term)

    async def _wait_for_caught_up_target(self, term: int) -> None:
        replication = self.replica.replication
        for _ in range(MAX_CATCH_UP_CHECKS):
            targets = self._transfer_targets()
            last_index = self.store.last_index()
            all_committed = self.replica.commit_index >= last_index
            if not self.is_leader_in(term) or not targets:
                return
            if all_committed and replication.match_index(targets[0]) >= last_index:
                return
            await curio.sleep(self.timeout_s * CHECK_INTERVAL_RATIO)

    def _transfer_targets(self) -> list[str]:
        """Return the member ids of the other voters, the most caught up first."""
        voters = self.replica.membership.voters()
        others = [member_id for member_id in voters if member_id != self.replica.member]
        return sorted(
            others, key=lambda member_id: -self.replica.replication.match_index(member_id)
        )

    async def handle_timeout_now(self, request: messages.TimeoutNow) -> messages.Ack:
        """Start an election at once, as the leader has given up its lease."""
        may_lead = self._is_voter() and not self.replica.unreadable_index
        if request.term == self.store.vote.term and may_lead and self._is_follower():
            await self.replica.core.spawn(self._campaign_for_transfer(request.term), essential=True)
        return messages.Ack()

    async def _campaign_for_transfer(self, term: int) -> None:
        # The leader gave up its lease for this term only, so the request is void in a later one.
        if term == self.store.vote.term and self._is_follower():
            await self._campaign(transfer=True)

    # -- helpers ---------------------------------------------------------------------------

    def is_leader_in(self, term: int) -> bool:
        """Return whether this host is the leader of a term."""
        return self.role is Role.LEADER and self.store.vote.term == term

    def _is_voter(self) -> bool:
        return self.replica.member in self.replica.membership.voters()

    def _random_timeout(self) -> float:
        return self.timeout_s * (1 + random.random())
