"""Elections: who leads in which term.

A host that has lately heard from a leader gives no vote, not even to itself, so that a leader's
lease has run out before another leader can exist. The same holds right after its own start. Only
a leader that has given up its lease for good may ask for an election without that wait.
"""

import enum
import random
import typing

import curio

from ebonywheel import exceptions, messages

if typing.TYPE_CHECKING:
    from ebonywheel import replica

TICK_SHARE = 0.05
ASK_AGAIN_SHARE = (0.1, 0.4)
CATCH_UP_CHECKS = 20


class Role(enum.StrEnum):
    """What a replica is now."""

    FOLLOWER = "follower"
    CANDIDATE = "candidate"
    LEADER = "leader"


class Elections:
    """One replica's part in elections.

    Attributes:
        role: What the replica is now.
        leader: Member id of the leader, or an empty string.
        heard_at: When a leader was last heard or a vote given, monotonic seconds.
        transferring: True once this leader has given up its lease for good in its term.
    """

    def __init__(self, owner: "replica.Replica"):
        self.owner = owner
        self.store = owner.store
        self.clock = owner.core.clock
        self.timeout_s = owner.election_timeout_s
        self.role = Role.FOLLOWER
        self.leader = ""
        self.heard_at = self.clock.monotonic()
        self.stand_at = self.heard_at + self._random_timeout()
        self.transferring = False

    # -- standing for election -------------------------------------------------------------

    async def run(self) -> None:
        """Stand when there is no leader; step down without a quorum."""
        while True:
            await curio.sleep(self._check_after_s())
            if self.role is Role.LEADER:
                await self._check_quorum()
            elif self.clock.monotonic() >= self.stand_at and self._is_voter():
                self.stand_at = self.clock.monotonic() + self._random_timeout()
                await self.stand()

    def _check_after_s(self) -> float:
        least = self.timeout_s * TICK_SHARE
        if self.role is Role.LEADER:
            return 4 * least
        return min(max(self.stand_at - self.clock.monotonic(), least), self.timeout_s)

    async def stand(self) -> None:
        """Stand for election if a quorum would vote for this host."""
        if not self.may_vote() or not await self._poll(self.store.vote.term + 1, pre=True):
            # Asking changes nothing, so it need not wait as long as after a lost election.
            wait_s = self.timeout_s * random.uniform(*ASK_AGAIN_SHARE)
            self.stand_at = max(self.heard_at + self.timeout_s, self.clock.monotonic() + wait_s)
            return
        # A leader may have been heard during the poll.
        if self.role is not Role.LEADER and self.may_vote():
            await self._campaign(transfer=False)

    async def _campaign(self, transfer: bool) -> None:
        term = self.store.vote.term + 1
        self.role = Role.CANDIDATE
        self.leader = ""
        self.store.vote.term = term
        self.store.vote.voted_for = self.owner.member
        self.hear()
        self.owner.core.metrics.count("elections")
        await self.store.save_vote()
        won = await self._poll(term, pre=False, transfer=transfer)
        if won and self.role is Role.CANDIDATE and self.store.vote.term == term:
            await self._become_leader()

    async def _poll(self, term: int, pre: bool, transfer: bool = False) -> bool:
        quorum = self.owner.membership.quorum()
        voters = self.owner.membership.voters()
        granted = 1 if self.owner.member in voters else 0
        others = [member for member in voters if member != self.owner.member]
        if granted >= quorum:
            return True
        async with curio.TaskGroup() as group:
            for member in others:
                await group.spawn(self._ask_vote, member, term, pre, transfer)
            async for task in group:
                granted += 1 if task.result else 0
                if granted >= quorum:
                    await group.cancel_remaining()
                    return True
        return False

    async def _ask_vote(self, member: str, term: int, pre: bool, transfer: bool) -> bool:
        request = messages.VoteRequest(
            term,
            self.owner.member,
            self.store.last_index(),
            self.store.last_term(),
            pre,
            transfer,
            member,
        )
        try:
            reply = await self.owner.link_to(member).call(request, self.timeout_s)
        except exceptions.LinkError:
            return False
        # Also after a mere poll: a host whose log alone can win must not stay at an old term.
        if reply.term > self.store.vote.term:
            await self.step_down(reply.term)
        return reply.granted and (pre or reply.term == term)

    async def _become_leader(self) -> None:
        self.role = Role.LEADER
        self.leader = self.owner.member
        self.transferring = False
        self.owner.core.log.info("leading", term=self.store.vote.term)
        self.owner.core.metrics.count("leaderships")
        self.owner.replication.begin_term()
        await self.owner.proposals.begin_term()

    async def _check_quorum(self) -> None:
        replication = self.owner.replication
        heard_at = max(replication.quorum_acked_at(), replication.led_since)
        if self.clock.monotonic() - heard_at > self.timeout_s:
            self.owner.core.log.warning("lost_quorum", term=self.store.vote.term)
            await self.step_down(self.store.vote.term)
        elif not self._is_voter() and not self.owner.membership.changing():
            self.owner.core.log.warning("no_longer_a_voter", term=self.store.vote.term)
            await self.transfer()

    # -- voting ----------------------------------------------------------------------------

    async def handle_vote(self, request: messages.VoteRequest) -> messages.VoteReply:
        """Answer a candidate.

        Raises:
            StorageError: The vote could not be saved; the process must end.
        """
        vote = self.store.vote
        if request.term < vote.term or not (request.transfer or self.may_vote()):
            return messages.VoteReply(vote.term, False)
        if request.pre:
            granted = request.term > vote.term and self._up_to_date(request)
            return messages.VoteReply(vote.term, granted)
        if request.term > vote.term:
            self._adopt(request.term)
        if vote.voted_for in ("", request.candidate) and self._up_to_date(request):
            vote.voted_for = request.candidate
            self.hear()
        await self.store.save_vote()
        await self.owner.notify()
        granted = vote.term == request.term and vote.voted_for == request.candidate
        return messages.VoteReply(vote.term, granted)

    def may_vote(self) -> bool:
        """Return whether no leader can count on this host's silence towards others."""
        if self.role is Role.LEADER:
            return not self.owner.has_lease()
        return self.clock.monotonic() - self.heard_at >= self.timeout_s

    def _up_to_date(self, request: messages.VoteRequest) -> bool:
        own = (self.store.last_term(), self.store.last_index())
        return (request.last_term, request.last_index) >= own

    # -- following -------------------------------------------------------------------------

    def hear(self) -> None:
        """Note that a leader was heard, or a vote given, now."""
        self.heard_at = self.clock.monotonic()
        self.stand_at = self.heard_at + self._random_timeout()

    async def follow(self, term: int, leader: str) -> None:
        """Follow the leader of a term that is not older than the own one."""
        self.hear()
        if term == self.store.vote.term and self.leader == leader and self._follows():
            return
        self._adopt(term)
        self.leader = leader
        known = self.owner.leader_host() or leader
        self.owner.core.log.info("following", term=term, leader=known)
        await self.owner.notify()

    async def step_down(self, term: int) -> None:
        """Stop leading or standing, without a known leader."""
        if term >= self.store.vote.term:
            self._adopt(term)
            await self.owner.notify()

    def _follows(self) -> bool:
        return self.role is Role.FOLLOWER

    def _adopt(self, term: int) -> None:
        """Become a follower in a term; the caller saves the vote before it answers."""
        if self.role is Role.LEADER:
            self.owner.core.log.info("stepped_down", term=self.store.vote.term)
        self.role = Role.FOLLOWER
        self.leader = ""
        self.transferring = False
        if term > self.store.vote.term:
            self.store.vote.term = term
            self.store.vote.voted_for = ""

    # -- giving the leadership away --------------------------------------------------------

    async def transfer(self) -> None:
        """Give the leadership to the most caught-up voter; never lead again in this term."""
        if self.role is not Role.LEADER:
            return
        term = self.store.vote.term
        self.transferring = True
        await self._wait_caught_up(term)
        for member in self._successors():
            request = messages.TimeoutNow(term, member)
            try:
                await self.owner.link_to(member).call(request, self.timeout_s)
            except exceptions.LinkError:
                continue
            await curio.sleep(self.timeout_s)
            if not self.leads(term):
                return
        if self.leads(term):
            # A successor may still stand, so the lease must not come back.
            await self.step_down(term)

    async def _wait_caught_up(self, term: int) -> None:
        replication = self.owner.replication
        for _ in range(CATCH_UP_CHECKS):
            successors = self._successors()
            last = self.store.last_index()
            committed = self.owner.commit >= last
            if not self.leads(term) or not successors:
                return
            if committed and replication.match_of(successors[0]) >= last:
                return
            await curio.sleep(self.timeout_s * TICK_SHARE)

    def _successors(self) -> list[str]:
        voters = self.owner.membership.voters()
        others = [member for member in voters if member != self.owner.member]
        return sorted(others, key=lambda member: -self.owner.replication.match_of(member))

    async def handle_timeout_now(self, request: messages.TimeoutNow) -> messages.Ack:
        """Stand for election because the leader gave up its lease for it."""
        if request.term == self.store.vote.term and self._is_voter() and self._follows():
            await self.owner.core.spawn(self._succeed(request.term), essential=True)
        return messages.Ack()

    async def _succeed(self, term: int) -> None:
        # The permission to go without the wait is good for exactly this term's end.
        if term == self.store.vote.term and self._follows():
            await self._campaign(transfer=True)

    # -- private ---------------------------------------------------------------------------

    def leads(self, term: int) -> bool:
        """Return whether this host leads in a term."""
        return self.role is Role.LEADER and self.store.vote.term == term

    def _is_voter(self) -> bool:
        return self.owner.member in self.owner.membership.voters()

    def _random_timeout(self) -> float:
        return self.timeout_s * (1 + random.random())
