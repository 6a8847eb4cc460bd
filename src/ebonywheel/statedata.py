"""The replicated state as plain data: what a snapshot holds."""

import msgspec

from ebonywheel import commands, configuration

# Marks of removed items that are kept for entry hosts that are behind.
TOMBSTONES_KEPT = 2000


class Item(msgspec.Struct):
    """A configuration item with the log index of its last change."""

    index: int
    value: bytes = b""
    removed: bool = False


class EnvironmentState(msgspec.Struct):
    """One environment.

    Attributes:
        revision: Grows by one with each accepted change.
        text: The document in force.
        changed_by: Actor of the last accepted change.
        operation: Operation id of the last accepted change.
    """

    revision: int = 0
    text: str = ""
    changed_by: str = ""
    operation: str = ""


class OperationRecord(msgspec.Struct):
    """First outcome of an operator's command.

    Attributes:
        digest: SHA-256 of what was asked, to tell a resend from another command.
    """

    index: int
    at_ms: int
    outcome: bytes
    digest: bytes = b""


class AuditEntry(msgspec.Struct):
    """One line of the audit trail.

    Attributes:
        at_ms: Replicated time.
        actor: Operator or host that asked.
        action: Type of the command.
        target: What it concerned.
        operation: Operation id.
        base: Revision that the change was made from.
        revision: Revision that resulted, 0 where none changed.
        outcome: Type of the outcome.
        detail: Why it was refused, or which change won.
    """

    index: int
    at_ms: int
    actor: str
    action: str
    target: str
    operation: str
    base: int = 0
    revision: int = 0
    outcome: str = ""
    detail: str = ""


class CallRecord(msgspec.Struct):
    """A call that may not repeat, by idempotency key.

    Attributes:
        host: Entry host that runs it.
        incarnation: Incarnation of that entry host's process.
        outcome: What became of it, None while it runs.
    """

    digest: bytes
    begun_by: str
    host: str
    incarnation: int
    at_ms: int
    outcome: commands.CallOutcome | None = None


class OrderRecord(msgspec.Struct):
    """The last order issued to a backend server.

    Attributes:
        sequence: Its fencing number.
        result: ``accepted`` or why it was refused, empty while not known.
    """

    sequence: int
    kind: str
    argument: str
    at_ms: int
    result: str = ""


class CrashRecord(msgspec.Struct):
    """A reported death of a backend server's incarnation, to count each death once."""

    at_ms: int
    fingerprints: list[bytes] = []


class RoutingState(msgspec.Struct):
    """Routing content in force.

    Attributes:
        index: Log index of the command that put it in force.
        version: Its operator's number.
        content: As the operator sent it, compressed by zlib.
        out: Data centres out of service for all routes.
        out_index: Log index of the last change of `out`.
    """

    index: int = 0
    version: int = 0
    content: bytes = b""
    out: list[str] = []
    out_index: int = 0


class StateData(msgspec.Struct):
    """Everything that the control hosts keep for good.

    Attributes:
        items: Configuration items in the order of their last change.
        tombstones: Index at which each removed item was removed, oldest first.
        complete_from: Differences from an older index than this are no longer complete.
    """

    at_ms: int = 0
    limits: commands.Limits = msgspec.field(default_factory=commands.Limits)
    items: dict[str, Item] = {}
    tombstones: dict[str, int] = {}
    complete_from: int = 0
    environments: dict[str, EnvironmentState] = {}
    operations: dict[str, OperationRecord] = {}
    audit: list[AuditEntry] = []
    calls: dict[str, CallRecord] = {}
    call_horizon_ms: int = 0
    orders: dict[str, OrderRecord] = {}
    crashes: dict[str, CrashRecord] = {}
    members: list[configuration.Member] = []
    routing: RoutingState = msgspec.field(default_factory=RoutingState)

    def put(self, key: str, index: int, value: bytes) -> None:
        """Set a configuration item if its value changes."""
        held = self.items.get(key)
        if held is None or held.removed or held.value != value:
            self.tombstones.pop(key, None)
            self._change(key, Item(index, value))

    def remove(self, key: str, index: int) -> None:
        """Remove a configuration item, leaving a mark for those that hold it."""
        held = self.items.get(key)
        if held is not None and not held.removed:
            self.tombstones[key] = index
            self._change(key, Item(index, b"", True))
            self._drop_old_tombstones()

    def changed_since(self, have: int) -> dict[str, Item]:
        """Return the items changed after an index, newest first."""
        changed: dict[str, Item] = {}
        for key, item in reversed(self.items.items()):
            if item.index <= have:
                break
            changed[key] = item
        return changed

    def present(self, key: str) -> bytes | None:
        """Return an item's value, or None when it is not there."""
        held = self.items.get(key)
        return None if held is None or held.removed else held.value

    def _change(self, key: str, item: Item) -> None:
        self.items.pop(key, None)
        self.items[key] = item

    def _drop_old_tombstones(self) -> None:
        while len(self.tombstones) > TOMBSTONES_KEPT:
            oldest = next(iter(self.tombstones))
            self.complete_from = max(self.complete_from, self.tombstones.pop(oldest))
            del self.items[oldest]
