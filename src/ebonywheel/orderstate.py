"""Replicated orders to backend servers, each with a fencing number made before it is sent."""

from ebonywheel import commands, registry, state, statedata


class OrderHandler:
    """What the handlers of orders share."""

    def __init__(self, limits: state.Limits):
        self.limits = limits

    def target(self, command: commands.IssueOrder | commands.EndOrder) -> str:
        """Return environment and server."""
        return f"{command.environment}/{command.server}"


@registry.plugins.register("command", "IssueOrder")
class IssueOrderHandler(OrderHandler):
    """Gives an order its fencing number."""

    def apply(
        self, data: statedata.StateData, index: int, command: commands.IssueOrder
    ) -> commands.Outcome:
        """Record the order as the server's latest."""
        record = statedata.OrderRecord(index, command.kind, command.argument, data.at_ms)
        data.orders[self.target(command)] = record
        return commands.OrderIssued(sequence=index)


@registry.plugins.register("command", "EndOrder")
class EndOrderHandler(OrderHandler):
    """Records what became of an order."""

    def apply(
        self, data: statedata.StateData, index: int, command: commands.EndOrder
    ) -> commands.Outcome:
        """Store the result if the order is still the server's latest."""
        held = data.orders.get(self.target(command))
        if held is None or held.sequence != command.sequence:
            return commands.Refused(code="superseded", text="a later order was issued")
        held.result = "accepted" if command.accepted else f"refused: {command.text}"
        return commands.Accepted(index=index)
