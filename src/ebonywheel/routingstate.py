"""Replicated handling of routing content and of data centres taken out for all routes."""

from ebonywheel import commands, registry, statedata


@registry.plugins.register("command", "PublishRouting")
class PublishRoutingHandler:
    """Puts routing content in force; only a higher version replaces what is there."""

    def apply(
        self, data: statedata.StateData, index: int, command: commands.PublishRouting
    ) -> commands.Outcome:
        """Compare versions, then replace the content."""
        held = data.routing
        previous = held.version
        if held.index == 0 or command.version > held.version:
            held.index = index
            held.version = command.version
            held.content = command.content
        return commands.Accepted(revision=held.version, previous=previous, index=held.index)

    def target(self, command: commands.PublishRouting) -> str:
        """Return the version."""
        return f"routing {command.version}"


@registry.plugins.register("command", "SetServing")
class SetServingHandler:
    """Takes a data centre out of service, or brings it back."""

    def apply(
        self, data: statedata.StateData, index: int, command: commands.SetServing
    ) -> commands.Outcome:
        """Change the list of data centres that are out."""
        held = data.routing
        wanted = set(held.out) - {command.data_centre}
        if command.out:
            wanted.add(command.data_centre)
        if wanted != set(held.out):
            held.out = sorted(wanted)
            held.out_index = index
        return commands.Accepted(index=index)

    def target(self, command: commands.SetServing) -> str:
        """Return the data centre and the direction."""
        direction = "out" if command.out else "in"
        return f"{command.data_centre} {direction}"
