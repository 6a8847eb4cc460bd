"""The replicated state machine: applies committed commands, one after the other.

Each command type has a handler plug-in. Handlers must be deterministic: they use only the command
and the state, never a clock or a random number.
"""

import hashlib
import typing

import msgspec

from ebonywheel import commands, configuration, messages, registry, statedata

OPERATION_HORIZON_MS = 7 * 86_400_000
# Kept however old they look, so that a step of the wall clock forgets none of the recent ones.
MIN_OPERATIONS = 20_000
# Each control host keeps older entries in a file.
AUDIT_ENTRIES = 2000

# Commands of hosts that come too often to be audited; they change nothing an operator decides.
UNAUDITED = (commands.Noop, commands.BeginCall, commands.EndCall)


class Handler(typing.Protocol):
    """Applies one type of command."""

    def apply(
        self, data: statedata.StateData, index: int, command: commands.AnyCommand
    ) -> commands.Outcome:
        """Change the state and return the outcome."""

    def target(self, command: commands.AnyCommand) -> str:
        """Return what the command concerns, for the audit trail."""


class State:
    """The state machine of one control host.

    Attributes:
        limits: This host's limits; those in force are in the data.
        data: The state itself.
        applied: Index of the last applied entry.
        applied_term: Term of the last applied entry.
    """

    def __init__(self, limits: commands.Limits):
        self.limits = limits
        self.data = statedata.StateData(limits=limits)
        self.applied = 0
        self.applied_term = 0
        self.handlers: dict[type, Handler] = {}
        for kind in commands.AnyCommand.__args__:
            self.handlers[kind] = registry.plugins.find("command", kind.__name__)()

    def apply(self, entry: messages.LogEntry) -> commands.Outcome:
        """Apply one committed log entry."""
        command = commands.decode(entry.data)
        self.applied = entry.index
        self.applied_term = entry.term
        self.data.at_ms = max(self.data.at_ms, command.at_ms)
        first = self.data.operations.get(command.operation)
        if first is not None:
            return first_outcome(first, command)
        outcome = self._handle(entry.index, command)
        if not isinstance(command, UNAUDITED):
            self._remember(entry.index, command, outcome)
        return outcome

    def _handle(self, index: int, command: commands.AnyCommand) -> commands.Outcome:
        try:
            return self.handlers[type(command)].apply(self.data, index, command)
        except (ValueError, LookupError, TypeError, AttributeError) as error:
            # Every host meets the same fault here, and would again after each restart.
            return commands.Refused(code="fault", text=f"{type(error).__name__}: {error}")

    def changed_since(self, have: int, environment: str) -> list[messages.ConfigItem]:
        """Return the environment's configuration items changed after an index."""
        return [
            messages.ConfigItem(key, item.index, item.value, item.removed)
            for key, item in self.data.changed_since(have).items()
            if configuration.concerns(key, environment)
        ]

    def snapshot(self) -> bytes:
        """Return the state as bytes."""
        return msgspec.msgpack.encode(self.data)

    def restore(self, index: int, term: int, content: bytes) -> None:
        """Replace the state by a snapshot's."""
        self.data = msgspec.msgpack.decode(content, type=statedata.StateData)
        self.applied = index
        self.applied_term = term

    def _remember(
        self, index: int, command: commands.AnyCommand, outcome: commands.Outcome
    ) -> None:
        at_ms = self.data.at_ms
        if command.operation:
            record = statedata.OperationRecord(
                index, at_ms, commands.encode(outcome), _digest(command)
            )
            self.data.operations[command.operation] = record
            self._forget_operations(at_ms - OPERATION_HORIZON_MS)
        target = self.handlers[type(command)].target(command)
        self.data.audit.append(_audit_entry(index, at_ms, target, command, outcome))
        if len(self.data.audit) > AUDIT_ENTRIES:
            del self.data.audit[0]

    def _forget_operations(self, before_ms: int) -> None:
        operations = self.data.operations
        # Records are in order of time, so only the oldest need a look.
        while len(operations) > MIN_OPERATIONS:
            oldest = next(iter(operations))
            if operations[oldest].at_ms >= before_ms:
                return
            del operations[oldest]


def first_outcome(
    first: statedata.OperationRecord, command: commands.AnyCommand
) -> commands.Outcome:
    """Return the outcome of a resend, or a refusal where the id names another command."""
    if first.digest and first.digest != _digest(command):
        return commands.Refused(
            code="operation_reused", text="the operation id was used for another command"
        )
    return commands.decode_outcome(first.outcome)


def _digest(command: commands.AnyCommand) -> bytes:
    # A resend has another time, and a colleague may settle an unknown outcome.
    content = commands.encode(msgspec.structs.replace(command, at_ms=0, actor=""))
    return hashlib.sha256(content).digest()


def _audit_entry(
    index: int,
    at_ms: int,
    target: str,
    command: commands.AnyCommand,
    outcome: commands.Outcome,
) -> statedata.AuditEntry:
    detail = ""
    revision = 0
    match outcome:
        case commands.Accepted():
            revision = outcome.revision
        case commands.Conflict():
            revision = outcome.revision
            detail = f"{outcome.winner} won with operation {outcome.operation}"
        case commands.Refused():
            detail = f"{outcome.code}: {outcome.text}"
        case commands.CrashRecorded(quarantined=[_, *_]):
            detail = "quarantined " + " ".join(one.hex() for one in outcome.quarantined)
    return statedata.AuditEntry(
        index,
        at_ms,
        command.actor,
        type(command).__name__,
        target,
        command.operation,
        getattr(command, "base", 0),
        revision,
        type(outcome).__name__,
        detail,
    )
