"""Command handlers for orders to backend servers: fencing numbers and results."""

import re

import msgspec

from ebonywheel import commands, exceptions, registry, statedata

_SERVER_NAME = re.compile(r"[A-Za-z0-9][A-Za-z0-9_.-]{0,62}\Z")


class OrderHandler:
    """Base class of the order handlers."""


@registry.plugins.register("command", "IssueOrder")
class IssueOrderHandler(OrderHandler):
    """Records an order and gives it a fencing number."""

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
        """Return environment, server, kind and argument."""
        key = order_key(command.environment, command.server)
        return f"{key} {command.kind} {command.argument}"


@registry.plugins.register("command", "EndOrder")
class EndOrderHandler(OrderHandler):
    """Records the result of an order."""

    def apply(
        self, data: statedata.StateData, index: int, command: commands.EndOrder
    ) -> commands.Outcome:
        """Store the result if the order is still the server's latest."""
        record = data.orders.get(order_key(command.environment, command.server))
        if record is None or record.sequence != command.sequence:
            return commands.Refused(code="superseded", text="a later order was issued")
        record.result = "accepted" if command.accepted else command.text
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
        order_type = registry.plugins.find("order", command.kind)
    except exceptions.SettingsError as error:
        return error.text
    return order_type().find_problem(command.argument)


def document_entry(
    data: statedata.StateData, environment: str, path: str, entry_type: type[msgspec.Struct]
) -> msgspec.Struct | None:
    """Return one entry of the document in force, or None if there is no such entry."""
    value = data.get_value(f"{environment}/document/{path}")
    return None if value is None else msgspec.json.decode(value, type=entry_type)
