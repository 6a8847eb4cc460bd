"""Proposals: commands that the leader puts into the log, and those who wait for their outcome."""

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
    settings,
    stamps,
    state,
)

if typing.TYPE_CHECKING:
    from ebonywheel import replica

PROPOSE_TIMEOUT_S = 5.0
CAUGHT_UP_ENTRIES = 64
MAX_COMMAND_BYTES = 6 * 1024 * 1024
MAX_PORT = 65535


class Waiter(msgspec.Struct):
    """A proposal that waits to be applied."""

    term: int
    outcome: curio.Result


class Proposals:
    """Proposes commands and resolves them once they are applied."""

    def __init__(self, owner: "replica.Replica"):
        self.owner = owner
        self.store = owner.store
        self.clock = owner.core.clock
        self.waiters: dict[int, Waiter] = {}
        self.stamps = stamps.StampClock(owner.core.clock)

    async def begin_term(self) -> None:
        """Start the leader's term with an entry of its own."""
        self.stamps.lead(max(self.owner.machine.data.at_ms, self._last_stamp_ms()))
        command = commands.Noop(
            actor=self.owner.core.host.name,
            at_ms=self.stamps.now_ms(),
            limits=self.owner.machine.limits,
        )
        self._append(commands.encode(command))
        await self.owner.notify()

    async def propose(
        self, command: commands.AnyCommand, timeout_s: float = PROPOSE_TIMEOUT_S
    ) -> tuple[int, commands.Outcome]:
        """Replicate a command and return its log index and outcome.

        Raises:
            NotLeaderError: This host cannot decide; the command was not proposed.
            NotRunError: The command is not acceptable now; it was not proposed.
            StorageError: The log cannot be written; the process ends.
            UnknownOutcomeError: The command may still take effect.
        """
        self.owner.require_lease("propose")
        first = self.owner.machine.data.operations.get(command.operation)
        if first is not None:
            return first.index, state.first_outcome(first, command)
        if isinstance(command, membership.MembershipCommand):
            self._check_membership_change(command)
        command.at_ms = self.stamps.now_ms()
        data = commands.encode(command)
        if len(data) > MAX_COMMAND_BYTES:
            raise exceptions.NotRunError(
                f"command of {len(data)} bytes is over {MAX_COMMAND_BYTES}", "propose"
            )
        entry = self._append(data)
        waiter = self.waiters[entry.index] = Waiter(entry.term, curio.Result())
        try:
            async with curio.timeout_after(timeout_s):
                await self.owner.notify()
                return entry.index, await waiter.outcome.unwrap()
        except curio.TaskTimeout as error:
            raise exceptions.UnknownOutcomeError(
                "not committed in time", "propose", self.owner.core.host.name
            ) from error
        finally:
            if self.waiters.get(entry.index) is waiter:
                del self.waiters[entry.index]

    async def resolve(self, entry: messages.LogEntry, outcome: commands.Outcome) -> None:
        """Give an applied entry's outcome to the proposal that waits at its index."""
        waiter = self.waiters.pop(entry.index, None)
        if waiter is None:
            return
        if waiter.term == entry.term:
            await waiter.outcome.set_value(outcome)
        else:
            lost = exceptions.NotLeaderError("another leader's entry took its place", "propose")
            await waiter.outcome.set_exception(lost)

    def _append(self, data: bytes) -> messages.LogEntry:
        entry = messages.LogEntry(self.store.last_index() + 1, self.store.vote.term, data)
        self.store.append([entry])
        self.owner.membership.note(entry)
        return entry

    def _check_membership_change(self, command: membership.MembershipCommand) -> None:
        step = "change members"
        if self.owner.membership.changing():
            raise exceptions.NotRunError("another membership change is not applied yet", step)
        if isinstance(command, commands.AddMember):
            _check_addresses(command)
        elif self.owner.membership.find(command.member) is None:
            raise exceptions.NotRunError("no such member", step, command.member)
        if isinstance(command, commands.AddMember) and command.voter:
            self._check_caught_up(command)
        changed = hoststate.changed_members(self.owner.membership.members, command)
        voters = [member.member for member in changed if member.voter]
        live = [member for member in voters if self.owner.replication.recently_acked(member)]
        if len(live) <= len(voters) // 2:
            raise exceptions.NotRunError(
                f"only {len(live)} of {len(voters)} voters would be reachable afterwards",
                step,
                command.host,
            )

    def _check_caught_up(self, command: commands.AddMember) -> None:
        if command.member == self.owner.member:
            return
        behind = self.store.last_index() - self.owner.replication.match_of(command.member)
        acked = self.owner.replication.recently_acked(command.member)
        if not acked or behind > CAUGHT_UP_ENTRIES:
            raise exceptions.NotRunError(
                f"the learner has not caught up: {behind} entries behind",
                "change members",
                command.host,
            )

    def _last_stamp_ms(self) -> int:
        last = self.store.last_entry()
        return 0 if last is None else commands.decode(last.data).at_ms


def _check_addresses(command: commands.AddMember) -> None:
    for address in (command.link, command.http):
        try:
            ipaddress.ip_address(settings.split_address(address)[0])
            valid = 0 < settings.split_address(address)[1] <= MAX_PORT
        except ValueError:
            valid = False
        if not (valid and command.host and command.member):
            raise exceptions.NotRunError(
                f"a member needs host, id, and ip:port for link and http, not {address!r}",
                "change members",
                command.host,
            )
