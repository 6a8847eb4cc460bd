"""Command handlers for the roster of entry hosts, the control hosts and the limits in force."""

import msgspec

from ebonywheel import commands, configuration, registry, statedata


class HostHandler:
    """Base class of the handlers that concern a host."""

    def target(self, command: commands.AnyCommand) -> str:
        """Return the host."""
        return command.host


@registry.plugins.register("command", "Noop")
class NoopHandler(HostHandler):
    """Handles the first log entry of a leader's term."""

    def apply(
        self, data: statedata.StateData, index: int, command: commands.Noop
    ) -> commands.Outcome:
        """Put the leader's limits in force."""
        if command.limits is not None:
            data.limits = command.limits
        return commands.Accepted(index=index)

    def target(self, command: commands.Noop) -> str:
        """Return an empty string: the command acts on nothing."""
        return ""


@registry.plugins.register("command", "JoinRoster")
class JoinRosterHandler(HostHandler):
    """Adds an entry host to its environment's roster."""

    def apply(
        self, data: statedata.StateData, index: int, command: commands.JoinRoster
    ) -> commands.Outcome:
        """Set the host's roster entry and advance the roster epoch if the entry changes."""
        entry = configuration.RosterEntry(
            command.host, command.incarnation, command.data_centre, command.address
        )
        key = configuration.roster_key(command.environment, command.host)
        current = roster_entry(data, key)
        if current is not None and current.incarnation > command.incarnation:
            return commands.Refused(code="old_incarnation", text="a newer process has joined")
        if current != entry:
            data.put(key, index, msgspec.json.encode(entry))
            _advance_roster_epoch(data, index, command.environment)
        return commands.Accepted(index=index)


@registry.plugins.register("command", "LeaveRoster")
class LeaveRosterHandler(HostHandler):
    """Removes an entry host from the roster."""

    def apply(
        self, data: statedata.StateData, index: int, command: commands.LeaveRoster
    ) -> commands.Outcome:
        """Remove the host's roster entry, but not that of another incarnation."""
        suffix = f"/roster/{command.host}"
        for key in [key for key in data.items if key.endswith(suffix)]:
            current = roster_entry(data, key)
            if current is not None and current.incarnation == command.incarnation:
                data.remove(key, index)
                _advance_roster_epoch(data, index, key.removesuffix(suffix))
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
        """Replace the list of control hosts."""
        data.members = apply_membership_command(data.members, command)
        data.put(configuration.MEMBERS_KEY, index, msgspec.json.encode(data.members))
        return commands.Accepted(index=index)


def apply_membership_command(
    members: list[configuration.Member], command: commands.AddMember | commands.RemoveMember
) -> list[configuration.Member]:
    """Return the members after a membership command."""
    changed = [member for member in members if member.member != command.member]
    if isinstance(command, commands.AddMember):
        added = configuration.Member(
            command.host,
            command.member,
            command.data_centre,
            command.link,
            command.http,
            command.voter,
        )
        changed.append(added)
    return changed


def roster_entry(data: statedata.StateData, key: str) -> configuration.RosterEntry | None:
    """Return the roster entry stored under a configuration key, or None."""
    value = data.get_value(key)
    if value is None:
        return None
    return msgspec.json.decode(value, type=configuration.RosterEntry)


def _advance_roster_epoch(data: statedata.StateData, index: int, environment: str) -> None:
    data.put(configuration.roster_epoch_key(environment), index, str(index).encode())
