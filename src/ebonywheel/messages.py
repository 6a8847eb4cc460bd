"""Messages between the system's own processes.

Each class here is one message or a part of one. The Cap'n Proto schema in ``wire.capnp`` is
generated from these classes by ``scripts/generate_wire.py``: fields and messages are only ever
appended, never reordered, so that two versions can talk to each other.
"""

import msgspec


class Hello(msgspec.Struct):
    """First message of the connecting side.

    Attributes:
        role: Program name of the sender: ``entry``, ``control`` or ``operator``.
        host: Name of the sending host.
        data_centre: Data centre of the sending host.
        nonce: Random bytes that the other side must sign.
    """

    role: str = ""
    host: str = ""
    data_centre: str = ""
    nonce: bytes = b""


class Challenge(msgspec.Struct):
    """Answer to `Hello`: the accepting side's identity and proof of the shared secret."""

    host: str = ""
    data_centre: str = ""
    nonce: bytes = b""
    proof: bytes = b""


class Proof(msgspec.Struct):
    """The connecting side's proof of the shared secret."""

    proof: bytes = b""


class Ack(msgspec.Struct):
    """Positive answer without content."""


class Failure(msgspec.Struct):
    """Negative answer: the code, step and peer of the error at the answering side."""

    code: str = "internal"
    text: str = ""
    step: str = ""
    peer: str = ""


class LogEntry(msgspec.Struct):
    """One entry of the replicated log."""

    index: int = 0
    term: int = 0
    data: bytes = b""


class VoteRequest(msgspec.Struct):
    """Ask for a vote, or with `pre` whether a vote would be granted.

    Attributes:
        candidate: Member id of the sender.
        transfer: True when the leader asked for this election.
        target: Member id that the request is meant for.
    """

    term: int = 0
    candidate: str = ""
    last_index: int = 0
    last_term: int = 0
    pre: bool = False
    transfer: bool = False
    target: str = ""


class VoteReply(msgspec.Struct):
    """Answer to `VoteRequest`."""

    term: int = 0
    granted: bool = False


class AppendRequest(msgspec.Struct):
    """Replicate log entries; without entries a heartbeat.

    Attributes:
        target: Member id that the request is meant for.
        at_ms: Replicated time at the leader.
    """

    term: int = 0
    leader: str = ""
    prev_index: int = 0
    prev_term: int = 0
    commit: int = 0
    entries: list[LogEntry] = []
    target: str = ""
    at_ms: int = 0


class AppendReply(msgspec.Struct):
    """Answer to `AppendRequest`.

    Attributes:
        match: Highest log index known to be stored durably and equal to the leader's.
        hint: Where the leader should try next when `ok` is false.
    """

    term: int = 0
    ok: bool = False
    match: int = 0
    hint: int = 0


class SnapshotChunk(msgspec.Struct):
    """A part of a snapshot sent to a host too far behind for the log."""

    term: int = 0
    leader: str = ""
    last_index: int = 0
    last_term: int = 0
    offset: int = 0
    data: bytes = b""
    done: bool = False
    target: str = ""


class SnapshotReply(msgspec.Struct):
    """Answer to `SnapshotChunk`: bytes held so far."""

    term: int = 0
    offset: int = 0


class TimeoutNow(msgspec.Struct):
    """Ask a follower to stand for election at once, for a graceful leader change."""

    term: int = 0
    target: str = ""


class MemberInfo(msgspec.Struct):
    """A control host as the first configuration of a cluster lists it."""

    host: str = ""
    member: str = ""
    data_centre: str = ""
    link: str = ""
    http: str = ""


class IdentityRequest(msgspec.Struct):
    """A control host without a cluster asks another one for its identity."""

    info: MemberInfo = msgspec.field(default_factory=MemberInfo)


class IdentityReply(msgspec.Struct):
    """Answer to `IdentityRequest`.

    Attributes:
        info: The answering host.
        formed: True when it already belongs to a cluster.
        members: The first configuration of that cluster.
    """

    info: MemberInfo = msgspec.field(default_factory=MemberInfo)
    formed: bool = False
    members: list[MemberInfo] = []


class Submit(msgspec.Struct):
    """Propose a command (encoded by `commands.encode`) to the replicated log."""

    command: bytes = b""


class SubmitReply(msgspec.Struct):
    """The command's outcome (encoded by `commands.encode_outcome`) and its log index."""

    index: int = 0
    outcome: bytes = b""


class Query(msgspec.Struct):
    """Read the replicated state; the answer is linearizable.

    Attributes:
        name: One of the registered query names, such as ``status`` or ``audit``.
        argument: The query's argument as JSON.
    """

    name: str = ""
    argument: bytes = b""


class QueryReply(msgspec.Struct):
    """Answer to `Query` as JSON, with the index of the state it was read from."""

    index: int = 0
    content: bytes = b""


class ConfigItem(msgspec.Struct):
    """One keyed part of the configuration in force.

    Attributes:
        key: Slash-separated name, such as ``production/customers/orchard``.
        index: Log index of the last change of this item.
        value: JSON, or empty when the item was removed.
        removed: True when the item no longer exists.
    """

    key: str = ""
    index: int = 0
    value: bytes = b""
    removed: bool = False


class LeaseRequest(msgspec.Struct):
    """An entry host asks to go on serving and for the changes since `have`.

    Attributes:
        host: Name of the entry host.
        incarnation: Number that is new at each start of the entry process.
        data_centre: Data centre of the entry host.
        address: ``ip:port`` at which other processes reach the entry host.
        environment: Environment that the entry host serves.
        have: Configuration index that the entry host uses now.
        draining: True when the host is shutting down and leaves the roster.
        load: Short JSON summary for the status screen.
    """

    host: str = ""
    incarnation: int = 0
    data_centre: str = ""
    address: str = ""
    environment: str = ""
    have: int = 0
    draining: bool = False
    load: bytes = b""


class LeaseGrant(msgspec.Struct):
    """Permission to serve under the configuration at `index`.

    Attributes:
        index: Configuration index confirmed by the quorum.
        duration_ms: Length of the lease in milliseconds, counted from when the entry host
            sent its request.
        items: Configuration items changed since the request's `have`.
        full: True when `items` is the whole configuration.
    """

    index: int = 0
    duration_ms: int = 0
    items: list[ConfigItem] = []
    full: bool = False


class ConfirmRequest(msgspec.Struct):
    """A follower asks the leader, for the entry hosts it feeds, which index is committed."""

    leases: list[LeaseRequest] = []


class ConfirmReply(msgspec.Struct):
    """The leader's committed index, read under its own lease.

    Attributes:
        refused: Entry hosts that get no lease: a newer process uses the name.
    """

    index: int = 0
    duration_ms: int = 0
    refused: list[str] = []


class ServerState(msgspec.Struct):
    """A backend server as it announced itself.

    Attributes:
        server: Unique name of the backend server.
        incarnation: Number that is new at each start of the backend server.
        environment: Environment it serves.
        data_centre: Data centre it stands in.
        address: ``ip:port`` of its HTTP interface.
        engine: Name of its entry under ``engines`` in the environment document.
        state: ``starting``, ``ready`` or ``leaving``.
        total_blocks: Blocks of decode memory, 0 for a plain service.
        block_tokens: Tokens that one block holds.
        sequence: Grows with each announcement of one incarnation.
        last_order: Fencing number of the last order it took, 0 when it does not say.
    """

    server: str = ""
    incarnation: int = 0
    environment: str = ""
    data_centre: str = ""
    address: str = ""
    engine: str = ""
    state: str = "ready"
    total_blocks: int = 0
    block_tokens: int = 16
    sequence: int = 0
    last_order: int = 0


class ServerLoad(msgspec.Struct):
    """A backend server's own load report, `age_ms` old when it was sent on."""

    server: str = ""
    incarnation: int = 0
    running: int = 0
    waiting: int = 0
    used_blocks: int = 0
    step_us: int = 0
    preemptions: int = 0
    age_ms: int = 0


class CacheEvent(msgspec.Struct):
    """A prompt prefix entered or left a backend server's cache; may come late or be missing."""

    prefix: str = ""
    present: bool = True
    sequence: int = 0


class Announce(msgspec.Struct):
    """An announcement passed on to the backend server's home entry host."""

    state: ServerState = msgspec.field(default_factory=ServerState)
    load: ServerLoad = msgspec.field(default_factory=ServerLoad)
    cache: list[CacheEvent] = []


class ServerView(msgspec.Struct):
    """What a home entry host tells others of a backend server.

    Attributes:
        home: Entry host that lends its slots.
        limit: Slots it can bear now.
        used: Slots in use or lent now.
        cold: True while it ramps up.
        prefixes: Prompt prefixes lately reported in its cache, newest last, as a hint.
        expected_blocks: Blocks of memory that the work in flight is expected to need at its most.
    """

    state: ServerState = msgspec.field(default_factory=ServerState)
    load: ServerLoad = msgspec.field(default_factory=ServerLoad)
    home: str = ""
    limit: int = 0
    used: int = 0
    cold: bool = True
    prefixes: list[str] = []
    expected_blocks: int = 0


class ViewDelta(msgspec.Struct):
    """What changes often in the view of a backend server that the receiver knows already."""

    server: str = ""
    incarnation: int = 0
    limit: int = 0
    used: int = 0
    cold: bool = True
    expected_blocks: int = 0


class FleetUpdate(msgspec.Struct):
    """A home entry host's view of its backend servers, sent to the other entry hosts.

    Attributes:
        deltas: Changes of views that were sent before.
    """

    host: str = ""
    incarnation: int = 0
    roster_index: int = 0
    servers: list[ServerView] = []
    deltas: list[ViewDelta] = []


class Borrow(msgspec.Struct):
    """Ask a home entry host for one slot on a backend server.

    Attributes:
        loan: Unique name of the loan, chosen by the borrower; a resend is answered alike.
        alone: True when nothing else may run on the backend server beside it.
        fingerprint: Digest of the request, to attribute a crash.
        max_tokens: Longest answer asked for, 0 when unknown.
        priority: Level of the customer's priority.
        expected_tokens: Length of the answer when it is known, 0 otherwise.
    """

    loan: str = ""
    host: str = ""
    host_incarnation: int = 0
    server: str = ""
    incarnation: int = 0
    service: str = ""
    customer: str = ""
    prompt_tokens: int = 0
    alone: bool = False
    fingerprint: bytes = b""
    max_tokens: int = 0
    priority: int = 0
    expected_tokens: int = 0


class Loan(msgspec.Struct):
    """A slot on a backend server, to be used within `duration_ms` of the asking."""

    loan: str = ""
    server: str = ""
    incarnation: int = 0
    duration_ms: int = 0


class Holding(msgspec.Struct):
    """A slot in use, with the tokens generated so far.

    Attributes:
        max_tokens: Longest answer asked for, 0 when unknown.
        expected_tokens: Length of the answer when it is known, 0 otherwise.
    """

    loan: str = ""
    server: str = ""
    incarnation: int = 0
    service: str = ""
    customer: str = ""
    prompt_tokens: int = 0
    tokens: int = 0
    fingerprint: bytes = b""
    alone: bool = False
    max_tokens: int = 0
    expected_tokens: int = 0


class Holdings(msgspec.Struct):
    """All slots that a borrower has in use at one home entry host."""

    host: str = ""
    host_incarnation: int = 0
    holdings: list[Holding] = []


class Release(msgspec.Struct):
    """Give a slot back.

    Attributes:
        tokens: Tokens generated in all, for the length estimates.
        outcome: ``finished``; ``unused`` when no byte of the request left; ``cancelled`` when the
            backend server confirmed it; ``failed`` when the work may still run there.
    """

    loan: str = ""
    server: str = ""
    incarnation: int = 0
    tokens: int = 0
    outcome: str = ""


class Handoff(msgspec.Struct):
    """An old home entry host passes a backend server's slots to the new one.

    Attributes:
        foreign: Requests in flight that no record of the old home accounts for.
        dead: Incarnations known to have ended, oldest first.
    """

    host: str = ""
    roster_index: int = 0
    state: ServerState = msgspec.field(default_factory=ServerState)
    load: ServerLoad = msgspec.field(default_factory=ServerLoad)
    limit: int = 0
    warm: bool = False
    holdings: list[Holding] = []
    foreign: int = 0
    dead: list[int] = []


class DeathNotice(msgspec.Struct):
    """An entry host saw a backend server's incarnation die."""

    server: str = ""
    incarnation: int = 0


class DirectoryRecord(msgspec.Struct):
    """What a backend server last said of itself, as passed between hosts.

    Attributes:
        server: Id of the backend server.
        born_ms: When its process started, Unix milliseconds; orders incarnations of one id.
        sequence: Grows with each report of one incarnation.
        gone: True once it has said that it leaves for good.
        slots: Requests it runs at once.
        cold_ms: How long it stays cold, milliseconds from the report on.
        age_ms: Milliseconds since the report was received.
        version: Version of the weights that it has loaded, 0 when it has none.
    """

    server: str = ""
    born_ms: int = 0
    sequence: int = 0
    gone: bool = False
    draining: bool = False
    service: str = ""
    address: str = ""
    data_centre: str = ""
    slots: int = 0
    cold_ms: int = 0
    age_ms: int = 0
    version: int = 0


class ServerUse(msgspec.Struct):
    """What one entry host, or all others together, have in flight at a backend server.

    Attributes:
        requests: Requests in flight.
        tokens: Tokens of memory that they are expected to need.
        unread: Tokens of prompts whose answer has not begun.
    """

    server: str = ""
    requests: int = 0
    tokens: int = 0
    unread: int = 0


class WatchRequest(msgspec.Struct):
    """Ask a control host for what changed since the last answer, waiting until something has.

    Attributes:
        epoch: Epoch of the last answer, 0 at first; another one starts anew.
        seen: Position of the last answer.
        routing_index: Log index of the routing content that the asker has.
        out_index: Log index of the data centres out of service that the asker knows.
        wait_ms: How long to wait for a change.
        relayed: True to get records that other control hosts received as well.
        uses: What the asker has in flight, by backend server.
        uses_wanted: True to get the sums over all other entry hosts.
    """

    host: str = ""
    incarnation: int = 0
    epoch: int = 0
    seen: int = 0
    routing_index: int = 0
    out_index: int = 0
    wait_ms: int = 0
    relayed: bool = False
    uses: list[ServerUse] = []
    uses_wanted: bool = False


class WatchReply(msgspec.Struct):
    """What changed at a control host.

    Attributes:
        routing_index: Log index of the routing content in force here, 0 when there is none.
        routing_version: Its version as its operator numbered it.
        out_index: Log index of the last change of the data centres out of service.
        out: Data centres out of service.
        members: Addresses of the links of all control hosts.
        entry_hosts: Entry hosts that watch this control host.
        uses: Sums over all other entry hosts, where asked for.
    """

    epoch: int = 0
    seen: int = 0
    records: list[DirectoryRecord] = []
    routing_index: int = 0
    routing_version: int = 0
    out_index: int = 0
    out: list[str] = []
    members: list[str] = []
    entry_hosts: int = 0
    uses: list[ServerUse] = []


class RoutingRequest(msgspec.Struct):
    """Ask a control host for the routing content in force there."""


class RoutingReply(msgspec.Struct):
    """The routing content in force at a control host.

    Attributes:
        content: As its operator sent it, compressed by zlib.
    """

    index: int = 0
    version: int = 0
    content: bytes = b""


class ReadIndexRequest(msgspec.Struct):
    """Ask the leader up to which log index a read must have been applied."""


class ReadIndexReply(msgspec.Struct):
    """A log index that covers all that was acknowledged before the question."""

    index: int = 0


class JoinRequest(msgspec.Struct):
    """A control host asks to be, or to stay, a member.

    Attributes:
        ask: True to have the request passed on to the leader.
    """

    info: MemberInfo = msgspec.field(default_factory=MemberInfo)
    ask: bool = True


class JoinReply(msgspec.Struct):
    """The members in force, as the leader knows them."""

    members: list[MemberInfo] = []


# Order gives each message its type number on the wire: append only.
MESSAGES: tuple[type[msgspec.Struct], ...] = (
    Hello,
    Challenge,
    Proof,
    Ack,
    Failure,
    VoteRequest,
    VoteReply,
    AppendRequest,
    AppendReply,
    SnapshotChunk,
    SnapshotReply,
    TimeoutNow,
    Submit,
    SubmitReply,
    Query,
    QueryReply,
    LeaseRequest,
    LeaseGrant,
    ConfirmRequest,
    ConfirmReply,
    Announce,
    FleetUpdate,
    Borrow,
    Loan,
    Holdings,
    Release,
    Handoff,
    DeathNotice,
    IdentityRequest,
    IdentityReply,
    WatchRequest,
    WatchReply,
    RoutingRequest,
    RoutingReply,
    ReadIndexRequest,
    ReadIndexReply,
    JoinRequest,
    JoinReply,
)
