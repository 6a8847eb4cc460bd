"""Cluster membership: the latest configuration in the log, committed or not."""

import typing

import msgspec

from ebonywheel import commands, configuration, hoststate, messages, state, storage

MembershipCommand = commands.AddMember | commands.RemoveMember
MEMBERSHIP_TYPES = ("AddMember", "RemoveMember")


class Membership:
    """Tracks the control hosts of the cluster and which of them vote.

    Attributes:
        members: Control hosts as of the last entry in the log.
        last_change_index: Index of the latest membership command seen in the log, or 0.
    """

    def __init__(self, store: storage.Storage, state_machine: state.State):
        self.store = store
        self.state_machine = state_machine
        self.members: list[configuration.Member] = []
        self.last_change_index = 0

    def reload(self) -> None:
        """Recompute the members from the state and the log entries that are not applied yet."""
        self.members = self.state_machine.data.members
        self.last_change_index = 0
        for index in range(self.state_machine.applied + 1, self.store.last_index() + 1):
            self.add_entry(self.store.entry(index))

    def add_entry(self, entry: messages.LogEntry) -> None:
        """Update the members from an entry that was appended to the log."""
        if _type_decoder.decode(entry.data).type not in MEMBERSHIP_TYPES:
            return
        command = typing.cast(MembershipCommand, commands.decode(entry.data))
        self.members = hoststate.apply_membership_command(self.members, command)
        self.last_change_index = entry.index

    def voters(self) -> list[str]:
        """Return the member ids of all voters."""
        return [member.member for member in self.members if member.voter]

    def quorum(self) -> int:
        """Return how many voters form a majority."""
        return len(self.voters()) // 2 + 1

    def find(self, member_id: str) -> configuration.Member | None:
        """Return the control host with a member id, or None."""
        for member in self.members:
            if member.member == member_id:
                return member
        return None

    def has_pending_change(self) -> bool:
        """Return whether a membership change is not applied yet."""
        return self.last_change_index > self.state_machine.applied

    def is_configured(self) -> bool:
        """Return whether this host has a first configuration or a snapshot to apply the log to."""
        return bool(self.store.identity.formed) or self.store.snapshot.index > 0


class _CommandType(msgspec.Struct):
    """The type tag of an encoded command, without its other fields."""

    type: str


_type_decoder = msgspec.msgpack.Decoder(_CommandType)
