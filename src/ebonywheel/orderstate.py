"""Replicated orders to backend servers, each with a fencing number made before it is sent."""

import re

import msgspec

from ebonywheel import commands, exceptions, registry, statedata

_SERVER_NAME = re.compile(r"[A-Za-z0-9][A-Za-z0-9_.-]{0,62}\Z")


class OrderHandler:
    """What the handlers of orders share."""


@registry.plugins.register("command", "IssueOrder")
class IssueOrderHandler(OrderHandler):
    """Gives an order its fencing number."""

    def apply(
        self, data: statedata.StateData, index: int, command: commands.IssueOrder
    ) -> commands.Outcome:
        """Check the order and record it as the server's latest."""
        problem = _find_problem(data, command)
        if problem:
            return commands.Refused(code="order", text=problem)
        record = statedata.OrderRecord(index, command.kind, command.argument, data.at_ms)
        data.orders[order_key(command.environment, command.server)] = record
        return commands.OrderIssued(sequence=index)

    def target(self, command: commands.IssueOrder) -> str:
        """Return environment, server and what is ordered."""
        key = order_key(command.environment, command.server)
        return f"{key} {command.kind} {command.argument}"


@registry.plugins.register("command", "EndOrder")
class EndOrderHandler(OrderHandler):
    """Records what became of an order."""

    def apply(
        self, data: statedata.StateData, index: int, command: commands.EndOrder
    ) -> commands.Outcome:
        """Store the result if the order is still the server's latest."""
        held = data.orders.get(order_key(command.environment, command.server))
        if held is None or held.sequence != command.sequence:
            return commands.Refused(code="superseded", text="a later order was issued")
        held.result = "accepted" if command.accepted else command.text
        return commands.Accepted(index=index)

    def target(self, command: commands.EndOrder) -> str:
        """Return environment, server, fencing number and result."""
        key = order_key(command.environment, command.server)
        result = "accepted" if command.accepted else command.text
        return f"{key} order {command.sequence}: {result}"


def order_key(environment: str, server: str) -> str:
    """Return the key under which a backend server's latest order is recorded."""
    return f"{environment}/{server}"


def _find_problem(data: statedata.StateData, command: commands.IssueOrder) -> str:
    if command.environment not in data.environments:
        return f"no environment {command.environment!r}"
    if not _SERVER_NAME.match(command.server):
        return f"Expected the name of a backend server, got {command.server!r}"
    try:
        kind = registry.plugins.find("order", command.kind)
    except exceptions.SettingsError as error:
        return error.text
    return kind().find_problem(command.argument)


def document_table(
    data: statedata.StateData, environment: str, place: str, kind: type[msgspec.Struct]
) -> msgspec.Struct | None:
    """Return one entry of the document in force, or None when it has none."""
    value = data.present(f"{environment}/document/{place}")
    return None if value is None else msgspec.json.decode(value, type=kind)
