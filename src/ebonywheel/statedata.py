"""The replicated state as plain data, as stored in snapshots."""

import msgspec

from ebonywheel import commands, configuration

# Removals that are kept for entry hosts that lag behind.
MAX_TOMBSTONES = 2000
# Data centres whose last `SetServing` is remembered.
MAX_SERVING_ORDERS = 1024


class Item(msgspec.Struct):
    """A configuration item, or the tombstone of a removed one.

    Attributes:
        index: Log index of the last change.
    """

    index: int
    value: bytes = b""
    removed: bool = False


class EnvironmentState(msgspec.Struct):
    """The document of an environment and its last change.

    Attributes:
        revision: Number of accepted changes.
        text: The document in force.
        changed_by: Actor of the last accepted change.
        operation: Operation id of the last accepted change.
    """

    revision: int = 0
    text: str = ""
    changed_by: str = ""
    operation: str = ""


class OperationRecord(msgspec.Struct):
    """The outcome of the first command with an operation id.

    Attributes:
        index: Log index of the command.
        outcome: The encoded outcome.
        digest: SHA-256 of the command, to tell a resend from another command with the same id.
    """

    index: int
    at_ms: int
    outcome: bytes
    digest: bytes = b""


class AuditEntry(msgspec.Struct):
    """One line of the audit trail.

    Attributes:
        at_ms: Replicated time.
        actor: Operator or host that issued the command.
        action: Type of the command.
        target: What the command acted on.
        operation: Operation id.
        base: Revision that the change was based on.
        revision: Resulting revision, 0 where none changed.
        outcome: Type of the outcome.
        detail: Reason of a refusal, the winner of a conflict, or the quarantined requests.
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
    """A non-repeatable call.

    Attributes:
        digest: SHA-256 of method, path and body; empty if the call was withdrawn before it began.
        begun_by: Operation id of the `BeginCall`.
        host: Entry host that runs the call.
        incarnation: Incarnation of that entry host's process.
        outcome: The outcome, None while the call runs.
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
        sequence: Fencing number.
        result: ``accepted``, or the reason why it failed; empty while unknown.
    """

    sequence: int
    kind: str
    argument: str
    at_ms: int
    result: str = ""


class CrashRecord(msgspec.Struct):
    """A reported death of a backend server's incarnation, kept to count each death once."""

    at_ms: int
    fingerprints: list[bytes] = []


class RoutingState(msgspec.Struct):
    """Routing content in force.

    Attributes:
        index: Log index of the command that put the content in force.
        version: Version number that the operator gave the content.
        content: Routing content as the operator sent it, compressed with zlib.
        out: Data centres out of service for all routes.
        out_index: Log index of the last change of `out`.
    """

    index: int = 0
    version: int = 0
    content: bytes = b""
    out: list[str] = []
    out_index: int = 0


class ServerCrash(msgspec.Struct):
    """A crash of a backend server.

    Attributes:
        at_ms: Replicated time of the crash.
        requests: Requests in flight that may have caused it.
    """

    at_ms: int
    requests: list[commands.InFlightRequest] = []


class QuarantineEntry(msgspec.Struct):
    """A quarantined fingerprint.

    Attributes:
        since_ms: Replicated time of the first crash that counted against it.
        until_ms: Replicated time at which the quarantine ends.
    """

    since_ms: int
    until_ms: int


class QuarantineState(msgspec.Struct):
    """Fingerprints of the requests that gateways refuse, and the evidence against others.

    Attributes:
        entries_index: Log index of the last change of `entries`.
        index: Log index of the last change of any attribute.
        entries: Quarantined fingerprints, oldest first.
        crashes: Recent crashes by backend server and incarnation, oldest first.
        succeeded_ms: Replicated time of the latest known success, by fingerprint.
    """

    entries_index: int = 0
    index: int = 0
    entries: dict[bytes, QuarantineEntry] = {}
    crashes: dict[str, ServerCrash] = {}
    succeeded_ms: dict[bytes, int] = {}


class RolloutRecord(msgspec.Struct):
    """The latest roll-out of a service.

    Attributes:
        index: Log index of the order.
        target: Version that is to get the traffic.
        started_ms: Replicated time of the order.
        duration_ms: Time within which it is to end.
        phase: ``proving``, ``shifting``, ``completed`` or ``rolled_back``.
        share: Share of new requests that may go to the target, from 0 to 1.
        changed_index: Log index of the last change of any attribute.
        changed_ms: Replicated time of the last change of the phase.
        reason: Why it has this phase and share.
        actor: Operator who ordered it.
        operation: Operation id of the order, empty for none.
        barred: Versions that get no request in any phase, oldest first.
    """

    index: int
    target: str
    started_ms: int
    duration_ms: int
    phase: str = "proving"
    share: float = 0.0
    changed_index: int = 0
    changed_ms: int = 0
    reason: str = ""
    actor: str = ""
    operation: str = ""
    barred: list[str] = []


class StateData(msgspec.Struct):
    """The whole replicated state.

    Attributes:
        at_ms: Replicated time, that of the latest command.
        limits: Limits in force.
        items: Configuration items and tombstones by key, in the order of their last change.
        tombstones: Log index of each kept removal by key, oldest first.
        complete_from: Log index since which all changes, removals included, are known.
        operations: First outcomes by operation id, oldest first.
        calls: Non-repeatable calls by environment, customer, service and key, oldest first.
        call_horizon_ms: Idempotency keys created before this replicated time have expired.
        orders: Latest order by environment and backend server.
        crashes: Reported deaths by environment, backend server and incarnation.
        quarantine: What gateways refuse because it crashes backend servers.
        serving_orders: Log index of the last `SetServing` by data centre, oldest first.
        rollouts: The latest roll-out by service, in the order in which they were ordered.
        rollouts_index: Log index of the last change of `rollouts`.
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
    quarantine: QuarantineState = msgspec.field(default_factory=QuarantineState)
    serving_orders: dict[str, int] = {}
    rollouts: dict[str, RolloutRecord] = {}
    rollouts_index: int = 0

    def put(self, key: str, index: int, value: bytes) -> None:
        """Set a configuration item, unless it has this value already."""
        current = self.items.get(key)
        if current is None or current.removed or current.value != value:
            self.tombstones.pop(key, None)
            self._store_as_latest(key, Item(index, value))

    def remove(self, key: str, index: int) -> None:
        """Remove a configuration item and leave a tombstone for the hosts that hold it."""
        current = self.items.get(key)
        if current is not None and not current.removed:
            self.tombstones[key] = index
            self._store_as_latest(key, Item(index, b"", True))
            self._drop_old_tombstones()

    def changed_since(self, index: int) -> dict[str, Item]:
        """Return the items changed after an index, newest first."""
        changed: dict[str, Item] = {}
        for key, item in reversed(self.items.items()):
            if item.index <= index:
                break
            changed[key] = item
        return changed

    def get_value(self, key: str) -> bytes | None:
        """Return an item's value, or None if it does not exist."""
        current = self.items.get(key)
        return None if current is None or current.removed else current.value

    def _store_as_latest(self, key: str, item: Item) -> None:
        self.items.pop(key, None)
        self.items[key] = item

    def _drop_old_tombstones(self) -> None:
        while len(self.tombstones) > MAX_TOMBSTONES:
            oldest = next(iter(self.tombstones))
            self.complete_from = max(self.complete_from, self.tombstones.pop(oldest))
            del self.items[oldest]
