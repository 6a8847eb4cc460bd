"""Automatic membership: the leader takes in control hosts that ask, and drops those they replace.

One step at a time, each an entry of the replicated log: a new disk joins as a learner, is made a
voter once it has caught up, and the member that it stands in for is removed.
"""

import curio

from ebonywheel import commands, configuration, exceptions, kernel, messages, replica

CHECK_S = 0.25
# Five voters bear the loss of two (docs/CAPACITY.md); further hosts stay learners.
MAX_VOTERS = 5
# A voter silent for so long may give its place to a learner that has caught up. Restarts and
# elections take less.
SILENT_S = 3.0
# A learner silent for so long is dropped; it asks again when it is back.
LEARNER_SILENT_S = 20.0


class MemberManager:
    """The leader's automatic changes of the members.

    Attributes:
        wanted: Hosts that asked to be members, by member id.
        heard_at: When each member was last heard, as far as this leader knows.
    """

    def __init__(self, core: kernel.Kernel, consensus: replica.Replica):
        self.core = core
        self.replica = consensus
        self.wanted: dict[str, messages.MemberInfo] = {}
        self.heard_at: dict[str, float] = {}
        self.refused = ""

    def join(self, request: messages.JoinRequest) -> messages.JoinReply:
        """Note that a host wants to be a member.

        Raises:
            NotLeaderError: Only the leader changes the members.
        """
        self.replica.require_lease("join")
        if self.replica.find_member(request.info.member) is None:
            self.wanted[request.info.member] = request.info
        return messages.JoinReply([_info(member) for member in self.replica.members])

    async def run(self) -> None:
        """Take one step after the other while this host leads."""
        while True:
            await curio.sleep(CHECK_S)
            if not self.replica.has_lease():
                self.heard_at.clear()
                continue
            self._listen()
            command = self._next_step()
            if command is not None and not self.replica.membership.changing():
                await self._take(command)

    def _listen(self) -> None:
        now = self.core.clock.monotonic()
        for member in self.replica.members:
            recent = self.replica.replication.recently_acked(member.member)
            if recent or member.member not in self.heard_at:
                self.heard_at[member.member] = now

    def _silent_s(self, member: configuration.Member) -> float:
        now = self.core.clock.monotonic()
        return now - self.heard_at.get(member.member, now)

    def _next_step(self) -> commands.AnyCommand | None:
        members = self.replica.members
        for info in list(self.wanted.values()):
            if self.replica.find_member(info.member) is not None:
                del self.wanted[info.member]
                continue
            replaced = [member for member in members if member.link == info.link]
            # The disk behind the old id is gone for good.
            return _remove(replaced[0]) if replaced else _add(info)
        learner = self._next_voter()
        if learner is not None:
            return self._promotion(learner)
        return self._outdated_learner()

    def _next_voter(self) -> configuration.Member | None:
        learners = [member for member in self.replica.members if not member.voter]
        heard = [member for member in learners if self._silent_s(member) < SILENT_S]
        if not heard:
            return None
        return max(heard, key=lambda member: self.replica.replication.match_of(member.member))

    def _promotion(self, learner: configuration.Member) -> commands.AnyCommand | None:
        voters = [member for member in self.replica.members if member.voter]
        silent = [member for member in voters if self._silent_s(member) >= SILENT_S]
        full = len(voters) >= MAX_VOTERS
        # An odd number of voters bears as many losses as the even number above it.
        if silent and (full or len(voters) % 2 == 1):
            return _remove(max(silent, key=self._silent_s))
        if full:
            return None
        return _add(_info(learner), voter=True)

    def _outdated_learner(self) -> commands.AnyCommand | None:
        for member in self.replica.members:
            if not member.voter and self._silent_s(member) >= LEARNER_SILENT_S:
                return _remove(member)
        return None

    async def _take(self, command: commands.AnyCommand) -> None:
        name = type(command).__name__
        try:
            await self.replica.propose(command)
        except exceptions.EbonywheelError as error:
            # Tried again at the next check; logged once for each reason.
            if self.refused != str(error):
                self.refused = str(error)
                self.core.log.info("member_change_waits", step=name, host=command.host, why=error)
            return
        self.refused = ""
        self.core.log.info("member_changed", step=name, host=command.host, member=command.member)


def _add(info: messages.MemberInfo, voter: bool = False) -> commands.AddMember:
    return commands.AddMember(
        actor="automatic",
        host=info.host,
        member=info.member,
        data_centre=info.data_centre,
        link=info.link,
        http=info.http,
        voter=voter,
    )


def _remove(member: configuration.Member) -> commands.RemoveMember:
    return commands.RemoveMember(actor="automatic", host=member.host, member=member.member)


def _info(member: configuration.Member) -> messages.MemberInfo:
    return messages.MemberInfo(
        member.host, member.member, member.data_centre, member.link, member.http
    )
