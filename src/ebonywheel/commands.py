"""Commands of the replicated state machine, and their outcomes.

The log stores commands as MessagePack, tagged by type and independent of the wire protocol, so that
old logs and snapshots stay readable when that protocol changes. Fields are only added, with
defaults.
"""

import typing

import msgspec

from ebonywheel import messages


class Command(msgspec.Struct, tag=True, kw_only=True):
    """Base of all commands.

    Attributes:
        operation: Unique id; a resend with the same id gets the first outcome.
        actor: Operator or host that issued the command.
        at_ms: Replicated time in milliseconds, set by the leader; never decreases.
    """

    operation: str = ""
    actor: str = ""
    at_ms: int = 0


class Limits(msgspec.Struct):
    """Retention times, replicated so that all control hosts apply the same ones.

    Attributes:
        key_horizon_ms: How long an idempotency key is accepted and its call's outcome kept.
        quarantine_ms: How long a suspicion lasts.
    """

    key_horizon_ms: int = 86_400_000
    quarantine_ms: int = 3_600_000


class Noop(Command):
    """First log entry of each leader's term.

    Attributes:
        limits: The leader's limits, in force from this entry on; None keeps the current ones.
    """

    limits: Limits | None = None


class ApplyDocument(Command):
    """Put an environment document in force.

    Attributes:
        base: Revision of the environment that the change is based on.
        text: The document as TOML.
    """

    environment: str
    base: int
    text: str


class PromoteDocument(Command):
    """Put the whole document of one environment in force in another one.

    Attributes:
        source_revision: Revision of the source environment to promote.
        base: Revision of the target environment that the change is based on.
    """

    source: str
    target: str
    source_revision: int
    base: int


class SetDataCentre(Command):
    """Take a data centre out of service for an environment, or bring it back.

    Attributes:
        base: Revision of the environment that the change is based on.
    """

    environment: str
    data_centre: str
    out: bool
    base: int


class JoinRoster(Command):
    """Add an entry host to its environment's roster when it starts or comes back."""

    host: str
    incarnation: int
    data_centre: str
    address: str
    environment: str


class LeaveRoster(Command):
    """Remove an entry host from the roster when its lease expires or it drains."""

    host: str
    incarnation: int


class CallOutcome(msgspec.Struct):
    """Outcome of a non-repeatable call.

    Attributes:
        kind: ``answered``, ``not_run`` or ``unknown`` (it may have run).
        status: HTTP status of the answer.
        content_type: Content type of the answer.
        body: Body of the answer.
        text: Reason, when there is no answer.
    """

    kind: typing.Literal["answered", "not_run", "unknown"]
    status: int = 0
    content_type: str = ""
    body: bytes = b""
    text: str = ""


class BeginCall(Command):
    """Record the intent to run a non-repeatable call.

    Attributes:
        key: The caller's idempotency key.
        digest: SHA-256 of method, path and body.
        host: Entry host that will run the call.
        incarnation: Incarnation of that entry host's process.
    """

    environment: str
    customer: str
    service: str
    key: str
    digest: bytes
    host: str
    incarnation: int


class EndCall(Command):
    """Record the outcome of a non-repeatable call.

    Attributes:
        begun_by: Operation id of the `BeginCall`.
    """

    environment: str
    customer: str
    service: str
    key: str
    begun_by: str
    outcome: CallOutcome


class Suspect(msgspec.Struct):
    """A request that was in flight when a backend server died."""

    fingerprint: bytes
    customer: str


class ReportCrash(Command):
    """Report the death of a backend server's incarnation.

    Attributes:
        suspects: Requests that were in flight.
        alone: Whether a single request was in flight and no other could have been.
    """

    environment: str
    server: str
    incarnation: int
    suspects: list[Suspect]
    alone: bool = False


class ClearSuspect(Command):
    """Clear a suspect request that ran alone and finished."""

    environment: str
    fingerprint: bytes


class ReleaseQuarantine(Command):
    """Release a request from quarantine; sent for an operator."""

    environment: str
    fingerprint: bytes


class IssueOrder(Command):
    """Issue an order to a backend server; the outcome carries its fencing number.

    Attributes:
        kind: Registered order type, such as ``load_model``.
        argument: Name of what to load, or of the role to take.
    """

    environment: str
    server: str
    kind: str
    argument: str


class EndOrder(Command):
    """Record the result of an order.

    Attributes:
        sequence: Fencing number of the order.
        text: Why the order failed, when it was not accepted.
    """

    environment: str
    server: str
    sequence: int
    accepted: bool
    text: str = ""


class AddMember(Command):
    """Add a control host as a learner, or make a caught-up learner a voter.

    Attributes:
        member: Member id, bound to the host's data folder.
    """

    host: str
    member: str
    data_centre: str
    link: str
    http: str = ""
    voter: bool = False


class RemoveMember(Command):
    """Remove a control host."""

    host: str
    member: str


class PublishRouting(Command):
    """Put routing content in force if its version is higher than the one in force.

    Attributes:
        version: Version number that the operator gave the content.
        content: Routing content as the operator sent it, compressed with zlib.
    """

    version: int
    content: bytes


class SetServing(Command):
    """Take a data centre out of service for all routes, or bring it back."""

    data_centre: str
    out: bool


class InFlightRequest(msgspec.Struct):
    """A gateway's request that was in flight when a backend server crashed.

    Attributes:
        fingerprints: Digests of what it may have in common with others, the most general first.
        began: Whether its answer had just begun, as opposed to not yet.
    """

    fingerprints: list[bytes]
    began: bool = False


class ReportServerCrash(Command):
    """Report the crash of a backend server, as seen by one gateway.

    Attributes:
        incarnation: When the server's process started, Unix milliseconds.
        age_ms: Time since the crash.
        requests: Requests that may have caused it.
    """

    server: str
    incarnation: int
    age_ms: int
    requests: list[InFlightRequest]


class ReportSuccess(Command):
    """Report a request that its backend server survived, though some fingerprints are suspected.

    Attributes:
        fingerprints: Suspected fingerprints of the request.
        age_ms: Time since its answer began.
    """

    fingerprints: list[bytes]
    age_ms: int


class StartRollout(Command):
    """Move a service's traffic to the servers of one version within a time.

    Attributes:
        target: Version that is to get the traffic.
        duration_ms: Time from this command on within which the roll-out is to end.
        known_index: For an order without an operation id, the log index that the host that received
            it knew when it arrived; 0 if not stated. The same order at a later index is this one.
    """

    service: str
    target: str
    duration_ms: int
    known_index: int = 0


class AdvanceRollout(Command):
    """Change the share of new requests that the target of a running roll-out gets.

    Attributes:
        rollout: Log index of the order.
        phase: ``proving`` or ``shifting``.
        share: Share of the service's new requests that may go to the target, from 0 to 1.
        reason: Why, for operators.
    """

    service: str
    rollout: int
    phase: typing.Literal["proving", "shifting"]
    share: float
    reason: str = ""


class EndRollout(Command):
    """End a running roll-out; sent by the leader, or for an operator who cancels it.

    Attributes:
        rollout: Log index of the order.
        completed: Whether the target has all traffic, as opposed to none.
        reason: Why, for operators.
        replaced: If completed, the versions that the target replaces.
    """

    service: str
    rollout: int
    completed: bool
    reason: str = ""
    replaced: list[str] = []


AnyCommand = (
    Noop
    | ApplyDocument
    | PromoteDocument
    | SetDataCentre
    | JoinRoster
    | LeaveRoster
    | BeginCall
    | EndCall
    | ReportCrash
    | ClearSuspect
    | ReleaseQuarantine
    | IssueOrder
    | EndOrder
    | AddMember
    | RemoveMember
    | PublishRouting
    | SetServing
    | ReportServerCrash
    | ReportSuccess
    | StartRollout
    | AdvanceRollout
    | EndRollout
)


class Outcome(msgspec.Struct, tag=True, kw_only=True):
    """Base of all outcomes."""


class Accepted(Outcome):
    """The command took effect.

    Attributes:
        revision: New revision of the environment, where the command changes one.
        previous: Revision before the command.
        index: Log index of the command.
    """

    revision: int = 0
    previous: int = 0
    index: int = 0


class Conflict(Outcome):
    """Another change with the same base came first.

    Attributes:
        revision: Revision in force.
        winner: Actor of the change that won.
        operation: Operation id of the change that won.
    """

    revision: int
    winner: str
    operation: str


class Refused(Outcome):
    """The command was refused; nothing changed."""

    code: str
    text: str


class CallStarted(Outcome):
    """The intent is durable: the asking entry host, and no other, may run the call."""


class CallStored(Outcome):
    """The call already has an outcome."""

    outcome: CallOutcome


class CallRunning(Outcome):
    """The call is running elsewhere."""


class CallMismatch(Outcome):
    """The key was already used for another request."""


class CallExpired(Outcome):
    """The key is older than the horizon; the call was not begun."""


class OrderIssued(Outcome):
    """The order is durable and may be sent.

    Attributes:
        sequence: Fencing number: the order's log index, which grows with each order.
    """

    sequence: int


class CrashRecorded(Outcome):
    """The death is recorded.

    Attributes:
        quarantined: Fingerprints of the reported suspects that are now in quarantine.
    """

    quarantined: list[bytes]


AnyOutcome = (
    Accepted
    | Conflict
    | Refused
    | CallStarted
    | CallStored
    | CallRunning
    | CallMismatch
    | CallExpired
    | OrderIssued
    | CrashRecorded
)


class _CommandTime(msgspec.Struct):
    """The replicated time of an encoded command, without its type and other fields."""

    at_ms: int = 0


_command_decoder = msgspec.msgpack.Decoder(AnyCommand)
_outcome_decoder = msgspec.msgpack.Decoder(AnyOutcome)
_time_decoder = msgspec.msgpack.Decoder(_CommandTime)


def encode(value: Command | Outcome) -> bytes:
    """Encode a command or an outcome."""
    return msgspec.msgpack.encode(value)


def decode(data: bytes) -> AnyCommand:
    """Decode a command.

    Raises:
        msgspec.ValidationError: The data is not a command.
    """
    return _command_decoder.decode(data)


def decode_time(data: bytes) -> int:
    """Decode the replicated time of a command of any build, in milliseconds."""
    return _time_decoder.decode(data).at_ms


def decode_outcome(data: bytes) -> AnyOutcome:
    """Decode an outcome.

    Raises:
        msgspec.ValidationError: The data is not an outcome.
    """
    return _outcome_decoder.decode(data)


def submit_message(command: Command) -> messages.Submit:
    """Return the message that proposes a command."""
    return messages.Submit(encode(command))
