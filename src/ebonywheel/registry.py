"""Registry of plug-in classes, which register themselves when their modules are imported."""

import importlib
import typing

from ebonywheel import exceptions

Plugin = typing.TypeVar("Plugin", bound=type)

PLUGIN_MODULES = (
    "ebonywheel.documentstate",
    "ebonywheel.hoststate",
    "ebonywheel.callstate",
    "ebonywheel.suspectstate",
    "ebonywheel.crashstate",
    "ebonywheel.orderstate",
    "ebonywheel.routingstate",
    "ebonywheel.rolloutstate",
    "ebonywheel.ordertypes",
    "ebonywheel.policies",
    "ebonywheel.services",
)


class Registry:
    """Plug-in classes by kind and name."""

    def __init__(self):
        self.tables: dict[str, dict[str, type]] = {}

    def register(self, kind: str, name: str) -> typing.Callable[[Plugin], Plugin]:
        """Return a class decorator that registers a plug-in.

        Args:
            kind: Kind of plug-in, such as ``policy`` or ``service``.
            name: Name under which settings and documents refer to the plug-in.
        """

        def add(cls: Plugin) -> Plugin:
            table = self.tables.setdefault(kind, {})
            if name in table:
                raise ValueError(f"{kind} {name!r} is registered twice")
            table[name] = cls
            return cls

        return add

    def find(self, kind: str, name: str) -> type:
        """Return a registered plug-in class.

        Raises:
            SettingsError: No plug-in of this kind has the name.
        """
        table = self.tables.get(kind, {})
        if name not in table:
            known = ", ".join(sorted(table)) or "none"
            raise exceptions.SettingsError(
                f"unknown {kind} {name!r}, expected one of: {known}", "find plug-in", name
            )
        return table[name]

    def names(self, kind: str) -> list[str]:
        """Return the sorted names of the registered plug-ins of a kind."""
        return sorted(self.tables.get(kind, {}))


plugins = Registry()


def load_plugins() -> None:
    """Import all plug-in modules, so that their classes register themselves."""
    for module in PLUGIN_MODULES:
        importlib.import_module(module)
