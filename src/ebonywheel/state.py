"""The replicated state machine: applies committed commands in log order.

Each command type has a handler plug-in. Handlers must be deterministic: they use only the command
and the state, never a clock or random numbers.
"""

import hashlib
import typing

import msgspec

from ebonywheel import commands, configuration, exceptions, messages, registry, statedata

OPERATION_RETENTION_MS = 7 * 86_400_000
# Kept whatever their age, so that a jump of the wall clock does not drop recent operations.
MIN_KEPT_OPERATIONS = 20_000
# Kept in the state; each control host has older entries in a file.
MAX_AUDIT_ENTRIES = 2000

# Sent by hosts, too frequent to audit, and without effect on what operators decide.
UNAUDITED_COMMANDS = (commands.Noop, commands.BeginCall, commands.EndCall)


class Handler(typing.Protocol):
    """Applies one type of command."""

    def apply(
        self, data: statedata.StateData, index: int, command: commands.AnyCommand
    ) -> commands.Outcome:
        """Change the state and return the outcome."""

    def target(self, command: commands.AnyCommand) -> str:
        """Return what the command acts on, for the audit trail."""


class State:
    """The state machine of one control host.

    Attributes:
        limits: This host's configured limits; the limits in force are in `data`.
        data: The replicated state.
        applied: Index of the last applied entry.
        applied_term: Term of the last applied entry.
    """

    def __init__(self, limits: commands.Limits):
        self.limits = limits
        self.data = statedata.StateData(limits=limits)
        self.applied = 0
        self.applied_term = 0
        self.handlers: dict[type, Handler] = {}
        for command_type in commands.AnyCommand.__args__:
            self.handlers[command_type] = registry.plugins.find("command", command_type.__name__)()

    def apply(self, entry: messages.LogEntry) -> commands.Outcome:
        """Apply one committed log entry and return its outcome.

        Raises:
            UnreadableEntryError: Its command is of a newer build; nothing was changed.
        """
        try:
            command = commands.decode(entry.data)
        except msgspec.MsgspecError as error:
            text = f"entry {entry.index} of term {entry.term}: {error}"
            raise exceptions.UnreadableEntryError(text, "apply entry") from error
        self.applied = entry.index
        self.applied_term = entry.term
        self.data.at_ms = max(self.data.at_ms, command.at_ms)
        record = self.data.operations.get(command.operation)
        if record is not None:
            return recorded_outcome(record, command)
        outcome = self._handle(entry.index, command)
        if not isinstance(command, UNAUDITED_COMMANDS):
            self._record(entry.index, command, outcome)
        return outcome

    def _handle(self, index: int, command: commands.AnyCommand) -> commands.Outcome:
        try:
            return self.handlers[type(command)].apply(self.data, index, command)
        except (ValueError, LookupError, TypeError, AttributeError) as error:
            # Refuse rather than fail: every host would fail here, and again after each restart.
            return commands.Refused(code="fault", text=f"{type(error).__name__}: {error}")

    def changed_since(self, index: int, environment: str) -> list[messages.ConfigItem]:
        """Return the environment's configuration items changed after an index."""
        return [
            messages.ConfigItem(key, item.index, item.value, item.removed)
            for key, item in self.data.changed_since(index).items()
            if configuration.is_for_environment(key, environment)
        ]

    def snapshot(self) -> bytes:
        """Encode the state."""
        return msgspec.msgpack.encode(self.data)

    def restore(self, index: int, term: int, content: bytes) -> None:
        """Replace the state with a snapshot."""
        self.data = msgspec.msgpack.decode(content, type=statedata.StateData)
        self.applied = index
        self.applied_term = term

    def _record(self, index: int, command: commands.AnyCommand, outcome: commands.Outcome) -> None:
        at_ms = self.data.at_ms
        if command.operation:
            record = statedata.OperationRecord(
                index, at_ms, commands.encode(outcome), _digest(command)
            )
            self.data.operations[command.operation] = record
            self._drop_old_operations(at_ms - OPERATION_RETENTION_MS)
        target = self.handlers[type(command)].target(command)
        self.data.audit.append(_audit_entry(index, at_ms, target, command, outcome))
        if len(self.data.audit) > MAX_AUDIT_ENTRIES:
            del self.data.audit[0]

    def _drop_old_operations(self, before_ms: int) -> None:
        operations = self.data.operations
        # Records are in order of time, so stop at the first one that is recent enough.
        while len(operations) > MIN_KEPT_OPERATIONS:
            oldest = next(iter(operations))
            if operations[oldest].at_ms >= before_ms:
                return
            del operations[oldest]


def recorded_outcome(
    record: statedata.OperationRecord, command: commands.AnyCommand
) -> commands.Outcome:
    """Return the recorded outcome, or a refusal if the id was used for another command."""
    if record.digest and record.digest != _digest(command):
        return commands.Refused(
            code="operation_reused", text="the operation id was used for another command"
        )
    return commands.decode_outcome(record.outcome)


def _digest(command: commands.AnyCommand) -> bytes:
    # A resend has another time, and may come from another operator who resolves an unknown
    # outcome.
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
            detail = "quarantined " + " ".join(item.hex() for item in outcome.quarantined)
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
