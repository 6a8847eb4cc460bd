"""Order type plug-ins: the kinds of order that a backend server can be given."""

import re
import typing

from ebonywheel import registry

_ARGUMENT_NAME = re.compile(r"[A-Za-z0-9][A-Za-z0-9_.:/@-]{0,255}\Z")


class OrderType(typing.Protocol):
    """One type of order.

    Attributes:
        loads_weights: Whether the order makes the server read from the weight store.
    """

    loads_weights: bool

    def find_problem(self, argument: str) -> str:
        """Return what is wrong with the argument, or an empty string."""


class NamedOrder:
    """An order whose argument is one name."""

    loads_weights = True
    expected = "a name of letters, digits and _ . : / @ -"

    def find_problem(self, argument: str) -> str:
        """Return what is wrong with the name, or an empty string."""
        return (
            "" if _ARGUMENT_NAME.match(argument) else f"Expected {self.expected}, got {argument!r}"
        )


@registry.plugins.register("order", "load_model")
class LoadModel(NamedOrder):
    """Load a model."""


@registry.plugins.register("order", "load_adapter")
class LoadAdapter(NamedOrder):
    """Load an adapter."""


@registry.plugins.register("order", "load_version")
class LoadVersion(NamedOrder):
    """Load another version of the model."""


@registry.plugins.register("order", "change_role")
class ChangeRole(NamedOrder):
    """Take another role."""

    loads_weights = False
