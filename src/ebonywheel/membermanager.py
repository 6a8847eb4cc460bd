"""Automatic membership: the leader adds hosts that ask to join and removes unreachable members.

Each change is an entry of the replicated log, and one change is made at a time. A new member joins
as a learner and becomes a voter once it has caught up; the member that it replaces is removed.
"""

import curio

from ebonywheel import commands, configuration, exceptions, kernel, messages, replica

CHECK_INTERVAL_S = 0.25
# Five voters tolerate the loss of two (docs/CAPACITY.md); further hosts stay learners.
MAX_VOTERS = 5
# A voter that has not been heard from for this long may be replaced by a learner that has caught
# up. Restarts and elections take less.
UNREACHABLE_AFTER_S = 3.0
# A learner that has not been heard from for this long is removed; it asks again when it is back.
REMOVE_LEARNER_AFTER_S = 20.0
# Hosts ask twice a second until they are members. A request that was not repeated for this long is
# forgotten: the disk of its host may have been lost since, and another identity have its place.
REQUEST_MAX_AGE_S = 2.0


class MemberManager:
    """Changes the cluster's members while this host leads.

    Attributes:
        join_requests: Hosts that asked to become members, and when they did last, by member id.
        last_heard_at: Monotonic time, by member id, of the last check at which the member had
            acknowledged recently, or of its first check if there was none.
        last_error: Why the last proposed change failed, or an empty string.
    """

    def __init__(self, core: kernel.Kernel, host_replica: replica.Replica):
        self.core = core
        self.replica = host_replica
        self.join_requests: dict[str, tuple[messages.MemberInfo, float]] = {}
        self.last_heard_at: dict[str, float] = {}
        self.last_error = ""

    def join(self, request: messages.JoinRequest) -> messages.JoinReply:
        """Record that a host asks to become a member, and return the current members.

        Raises:
            NotLeaderError: This host is not the leader.
        """
        self.replica.require_lease("join")
        if self.replica.find_member(request.info.member) is None:
            asked_at = self.core.clock.monotonic()
            self.join_requests[request.info.member] = (request.info, asked_at)
        return messages.JoinReply([_member_info(member) for member in self.replica.members])

    async def run(self) -> None:
        """Propose changes, one at a time, while this host leads."""
        while True:
            await curio.sleep(CHECK_INTERVAL_S)
            if not self.replica.has_lease():
                self.last_heard_at.clear()
                continue
            self._update_last_heard()
            command = self._next_change()
            if command is not None and not self.replica.membership.has_pending_change():
                await self._propose(command)

    def _update_last_heard(self) -> None:
        now = self.core.clock.monotonic()
        for member in self.replica.members:
            recently_acked = self.replica.replication.recently_acked(member.member)
            if recently_acked or member.member not in self.last_heard_at:
                self.last_heard_at[member.member] = now

    def _seconds_since_heard(self, member: configuration.Member) -> float:
        now = self.core.clock.monotonic()
        return now - self.last_heard_at.get(member.member, now)

    def _next_change(self) -> commands.AnyCommand | None:
        members = self.replica.members
        now = self.core.clock.monotonic()
        for info, asked_at in list(self.join_requests.values()):
            is_member = self.replica.find_member(info.member) is not None
            if is_member or now - asked_at > REQUEST_MAX_AGE_S:
                del self.join_requests[info.member]
                continue
            replaced = [member for member in members if member.link == info.link]
            # A new member id at a known address: the data folder of the old id is lost for good.
            return _remove_command(replaced[0]) if replaced else _add_command(info)
        learner = self._promotion_candidate()
        if learner is not None:
            return self._promotion_change(learner)
        return self._learner_removal()

    def _promotion_candidate(self) -> configuration.Member | None:
        learners = [member for member in self.replica.members if not member.voter]
        reachable = [
            member for member in learners if self._seconds_since_heard(member) < UNREACHABLE_AFTER_S
        ]
        if not reachable:
            return None
        return max(
            reachable, key=lambda member: self.replica.replication.match_index(member.member)
        )

    def _promotion_change(self, learner: configuration.Member) -> commands.AnyCommand | None:
        voters = [member for member in self.replica.members if member.voter]
        unreachable = [
            member for member in voters if self._seconds_since_heard(member) >= UNREACHABLE_AFTER_S
        ]
        is_full = len(voters) >= MAX_VOTERS
        # With an odd number of voters, one more would not raise the number of losses tolerated.
        if unreachable and (is_full or len(voters) % 2 == 1):
            return _remove_command(max(unreachable, key=self._seconds_since_heard))
        if is_full:
            return None
        return _add_command(_member_info(learner), voter=True)

    def _learner_removal(self) -> commands.AnyCommand | None:
        for member in self.replica.members:
            if not member.voter and self._seconds_since_heard(member) >= REMOVE_LEARNER_AFTER_S:
                return _remove_command(member)
        return None

    async def _propose(self, command: commands.AnyCommand) -> None:
        command_name = type(command).__name__
        try:
            await self.replica.propose(command)
        except exceptions.EbonywheelError as error:
            # The next check retries the change; a repeated error is logged only once.
            if self.last_error != str(error):
                self.last_error = str(error)
                self.core.log.info(
                    "member_change_waits", step=command_name, host=command.host, why=error
                )
            return
        self.last_error = ""
        self.core.log.info(
            "member_changed", step=command_name, host=command.host, member=command.member
        )


def _add_command(info: messages.MemberInfo, voter: bool = False) -> commands.AddMember:
    return commands.AddMember(
        actor="automatic",
        host=info.host,
        member=info.member,
        data_centre=info.data_centre,
        link=info.link,
        http=info.http,
        voter=voter,
    )


def _remove_command(member: configuration.Member) -> commands.RemoveMember:
    return commands.RemoveMember(actor="automatic", host=member.host, member=member.member)


def _member_info(member: configuration.Member) -> messages.MemberInfo:
    return messages.MemberInfo(
        member.host, member.member, member.data_centre, member.link, member.http
    )
