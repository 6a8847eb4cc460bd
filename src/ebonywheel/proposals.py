"""Proposals: the leader appends commands to the log and returns their outcome once applied."""

import ipaddress
import typing

import curio
import msgspec

from ebonywheel import (
    commands,
    exceptions,
    hoststate,
    membership,
    messages,
    replicatedclock,
    settings,
    state,
)

if typing.TYPE_CHECKING:
    from ebonywheel import replica

PROPOSE_TIMEOUT_S = 5.0
MAX_LEARNER_LAG_ENTRIES = 64
MAX_COMMAND_BYTES = 6 * 1024 * 1024
MAX_PORT = 65535


class PendingProposal(msgspec.Struct):
    """A proposal whose log entry is not applied yet."""

    term: int
    outcome: curio.Result


class Proposals:
    """Appends commands to the log and resolves the proposals once they are applied.

    Attributes:
        pending: Proposals that wait for their outcome, by log index.
        replicated_clock: Source of the timestamps of commands.
    """

    def __init__(self, replica: "replica.Replica"):
        self.replica = replica
        self.store = replica.store
        self.clock = replica.core.clock
        self.pending: dict[int, PendingProposal] = {}
        self.replicated_clock = replicatedclock.ReplicatedClock(replica.core.clock)

    async def begin_term(self) -> None:
        """Append the first entry of a new leader's term, a no-op."""
        self.replicated_clock.start_leading(
            max(self.replica.state_machine.data.at_ms, self._last_entry_at_ms())
        )
        command = commands.Noop(
            actor=self.replica.core.host.name,
            at_ms=self.replicated_clock.now_ms(),
            limits=self.replica.state_machine.limits,
        )
        self._append(commands.encode(command))
        await self.replica.notify()

    async def propose(
        self, command: commands.AnyCommand, timeout_s: float = PROPOSE_TIMEOUT_S
    ) -> tuple[int, commands.Outcome]:
        """Replicate a command and return its log index and outcome.

        Raises:
            NotLeaderError: This host holds no lease; the command was not proposed.
            NotRunError: The command is invalid or not allowed now; it was not proposed.
            StorageError: The log cannot be written; the process ends.
            UnknownOutcomeError: The command may still take effect.
        """
        self.replica.require_lease("propose")
        earlier = self.replica.state_machine.data.operations.get(command.operation)
        if earlier is not None:
            return earlier.index, state.recorded_outcome(earlier, command)
        if isinstance(command, membership.MembershipCommand):
            self._check_membership_change(command)
        command.at_ms = self.replicated_clock.now_ms()
        data = commands.encode(command)
        if len(data) > MAX_COMMAND_BYTES:
            raise exceptions.NotRunError(
                f"command of {len(data)} bytes is over the limit of {MAX_COMMAND_BYTES} bytes",
                "propose",
            )
        entry = self._append(data)
        proposal = self.pending[entry.index] = PendingProposal(entry.term, curio.Result())
        try:
            async with curio.timeout_after(timeout_s):
                await self.replica.notify()
                return entry.index, await proposal.outcome.unwrap()
        except curio.TaskTimeout as error:
            raise exceptions.UnknownOutcomeError(
                "not committed in time", "propose", self.replica.core.host.name
            ) from error
        finally:
            if self.pending.get(entry.index) is proposal:
                del self.pending[entry.index]

    async def resolve(self, entry: messages.LogEntry, outcome: commands.Outcome) -> None:
        """Resolve the proposal that waits for an applied entry's index, if there is one."""
        proposal = self.pending.pop(entry.index, None)
        if proposal is None:
            return
        if proposal.term == entry.term:
            await proposal.outcome.set_value(outcome)
        else:
            error = exceptions.NotLeaderError("replaced by an entry of another leader", "propose")
            await proposal.outcome.set_exception(error)

    def _append(self, data: bytes) -> messages.LogEntry:
        entry = messages.LogEntry(self.store.last_index() + 1, self.store.vote.term, data)
        self.store.append([entry])
        self.replica.membership.add_entry(entry)
        return entry

    def _check_membership_change(self, command: membership.MembershipCommand) -> None:
        step = "change members"
        if self.replica.membership.has_pending_change():
            raise exceptions.NotRunError("another membership change is not applied yet", step)
        if isinstance(command, commands.AddMember):
            _check_member_fields(command)
        elif self.replica.membership.find(command.member) is None:
            raise exceptions.NotRunError("no such member", step, command.member)
        if isinstance(command, commands.AddMember) and command.voter:
            self._check_caught_up(command)
        changed = hoststate.apply_membership_command(self.replica.membership.members, command)
        voters = [member.member for member in changed if member.voter]
        reachable = [
            member_id for member_id in voters if self.replica.replication.recently_acked(member_id)
        ]
        if len(reachable) <= len(voters) // 2:
            raise exceptions.NotRunError(
                f"only {len(reachable)} of {len(voters)} voters would be reachable afterwards",
                step,
                command.host,
            )

    def _check_caught_up(self, command: commands.AddMember) -> None:
        if command.member == self.replica.member:
            return
        lag_entries = self.store.last_index() - self.replica.replication.match_index(command.member)
        recently_acked = self.replica.replication.recently_acked(command.member)
        if not recently_acked or lag_entries > MAX_LEARNER_LAG_ENTRIES:
            raise exceptions.NotRunError(
                f"the learner has not caught up: {lag_entries} entries behind",
                "change members",
                command.host,
            )

    def _last_entry_at_ms(self) -> int:
        entry = self.store.last_entry()
        return 0 if entry is None else commands.decode_time(entry.data)


def _check_member_fields(command: commands.AddMember) -> None:
    for address in (command.link, command.http):
        try:
            ipaddress.ip_address(settings.split_address(address)[0])
            valid = 0 < settings.split_address(address)[1] <= MAX_PORT
        except ValueError:
            valid = False
        if not (valid and command.host and command.member):
            raise exceptions.NotRunError(
                f"a member needs a host, an id, and ip:port for link and http, not {address!r}",
                "change members",
                command.host,
            )
