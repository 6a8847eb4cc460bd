"""Replicated handling of the entry hosts' roster, control members and leaders' first entries."""

import msgspec

from ebonywheel import commands, configuration, registry, statedata


class HostHandler:
    """What the handlers of hosts share."""

    def target(self, command: commands.AnyCommand) -> str:
        """Return the host."""
        return command.host


@registry.plugins.register("command", "Noop")
class NoopHandler(HostHandler):
    """Marks the start of a leader's term."""

    def apply(
        self, data: statedata.StateData, index: int, command: commands.Noop
    ) -> commands.Outcome:
        """Put the leader's limits in force."""
        if command.limits is not None:
            data.limits = command.limits
        return commands.Accepted(index=index)

    def target(self, command: commands.Noop) -> str:
        """Return nothing."""
        return ""


@registry.plugins.register("command", "JoinRoster")
class JoinRosterHandler(HostHandler):
    """Adds an entry host to its environment's roster."""

    def apply(
        self, data: statedata.StateData, index: int, command: commands.JoinRoster
    ) -> commands.Outcome:
        """Set the host's entry and the roster's epoch."""
        entry = configuration.RosterEntry(
            command.host, command.incarnation, command.data_centre, command.address
        )
        key = configuration.roster_key(command.environment, command.host)
        held = roster_entry(data, key)
        if held is not None and held.incarnation > command.incarnation:
            return commands.Refused(code="old_incarnation", text="a newer process has joined")
        if held != entry:
            data.put(key, index, msgspec.json.encode(entry))
            _advance_epoch(data, index, command.environment)
        return commands.Accepted(index=index)


@registry.plugins.register("command", "LeaveRoster")
class LeaveRosterHandler(HostHandler):
    """Removes an entry host from the roster."""

    def apply(
        self, data: statedata.StateData, index: int, command: commands.LeaveRoster
    ) -> commands.Outcome:
        """Remove the entry of exactly this incarnation."""
        suffix = f"/roster/{command.host}"
        for key in [key for key in data.items if key.endswith(suffix)]:
            held = roster_entry(data, key)
            if held is not None and held.incarnation == command.incarnation:
                data.remove(key, index)
                _advance_epoch(data, index, key.removesuffix(suffix))
        return commands.Accepted(index=index)


@registry.plugins.register("command", "AddMember")
@registry.plugins.register("command", "RemoveMember")
class MembershipHandler(HostHandler):
    """Adds, changes or removes a control host."""

    def apply(
        self,
        data: statedata.StateData,
        index: int,
        command: commands.AddMember | commands.RemoveMember,
    ) -> commands.Outcome:
        """Change the list of members."""
        data.members = changed_members(data.members, command)
        data.put(configuration.MEMBERS_KEY, index, msgspec.json.encode(data.members))
        return commands.Accepted(index=index)


def changed_members(
    members: list[configuration.Member], command: commands.AddMember | commands.RemoveMember
) -> list[configuration.Member]:
    """Return the members after a membership command."""
    kept = [member for member in members if member.member != command.member]
    if isinstance(command, commands.AddMember):
        added = configuration.Member(
            command.host,
            command.member,
            command.data_centre,
            command.link,
            command.http,
            command.voter,
        )
        kept.append(added)
    return kept


def roster_entry(data: statedata.StateData, key: str) -> configuration.RosterEntry | None:
    """Return the roster entry under an item's key."""
    value = data.present(key)
    if value is None:
        return None
    return msgspec.json.decode(value, type=configuration.RosterEntry)


def _advance_epoch(data: statedata.StateData, index: int, environment: str) -> None:
    data.put(configuration.roster_epoch_key(environment), index, str(index).encode())
