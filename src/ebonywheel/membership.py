"""The control hosts in force: the last configuration in the log, committed or not."""

import typing

import msgspec

from ebonywheel import commands, configuration, hoststate, messages, state, storage

MembershipCommand = commands.AddMember | commands.RemoveMember
MEMBERSHIP_TYPES = ("AddMember", "RemoveMember")


class Membership:
    """Which control hosts there are, and which of them vote.

    Attributes:
        members: Control hosts in force, as of the last entry in the log.
        last_change: Index of the last membership entry that is in the log, or 0.
    """

    def __init__(self, store: storage.Storage, machine: state.State):
        self.store = store
        self.machine = machine
        self.members: list[configuration.Member] = []
        self.last_change = 0

    def reload(self) -> None:
        """Read the members from the state and the entries that are not applied yet."""
        self.members = self.machine.data.members
        self.last_change = 0
        for index in range(self.machine.applied + 1, self.store.last_index() + 1):
            self.note(self.store.entry(index))

    def note(self, entry: messages.LogEntry) -> None:
        """Take in an entry that was appended to the log."""
        if _tags.decode(entry.data).type not in MEMBERSHIP_TYPES:
            return
        command = typing.cast(MembershipCommand, commands.decode(entry.data))
        self.members = hoststate.changed_members(self.members, command)
        self.last_change = entry.index

    def voters(self) -> list[str]:
        """Return the member ids of all voters."""
        return [member.member for member in self.members if member.voter]

    def quorum(self) -> int:
        """Return how many voters decide."""
        return len(self.voters()) // 2 + 1

    def find(self, member: str) -> configuration.Member | None:
        """Return a control host by its member id."""
        for held in self.members:
            if held.member == member:
                return held
        return None

    def changing(self) -> bool:
        """Return whether a membership change is not applied yet."""
        return self.last_change > self.machine.applied

    def configured(self) -> bool:
        """Return whether this host has a first configuration to apply the log to."""
        return bool(self.store.identity.formed) or self.store.snapshot.index > 0


class _Tag(msgspec.Struct):
    """Only the type of a command."""

    type: str


_tags = msgspec.msgpack.Decoder(_Tag)
