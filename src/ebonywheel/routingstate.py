"""Replicated commands for routing content and for data centres out of service for all routes."""

from ebonywheel import commands, registry, statedata


@registry.plugins.register("command", "PublishRouting")
class PublishRoutingHandler:
    """Puts routing content in force, if its version is higher than the current one."""

    def apply(
        self, data: statedata.StateData, index: int, command: commands.PublishRouting
    ) -> commands.Outcome:
        """Replace the content when the version is higher or there is none yet."""
        routing = data.routing
        previous = routing.version
        if routing.index == 0 or command.version > routing.version:
            routing.index = index
            routing.version = command.version
            routing.content = command.content
        return commands.Accepted(revision=routing.version, previous=previous, index=routing.index)

    def target(self, command: commands.PublishRouting) -> str:
        """Return the version."""
        return f"routing {command.version}"


@registry.plugins.register("command", "SetServing")
class SetServingHandler:
    """Takes a data centre out of service, or returns it to service."""

    def apply(
        self, data: statedata.StateData, index: int, command: commands.SetServing
    ) -> commands.Outcome:
        """Update the list of data centres that are out of service."""
        routing = data.routing
        new_out = set(routing.out) - {command.data_centre}
        if command.out:
            new_out.add(command.data_centre)
        if new_out != set(routing.out):
            routing.out = sorted(new_out)
            routing.out_index = index
        data.serving_orders.pop(command.data_centre, None)
        data.serving_orders[command.data_centre] = index
        if len(data.serving_orders) > statedata.MAX_SERVING_ORDERS:
            del data.serving_orders[next(iter(data.serving_orders))]
        return commands.Accepted(index=index)

    def target(self, command: commands.SetServing) -> str:
        """Return the data centre, and whether it goes out or in."""
        direction = "out" if command.out else "in"
        return f"{command.data_centre} {direction}"
