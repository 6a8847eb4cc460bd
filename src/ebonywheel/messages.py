"""Messages between the system's own processes.

Each class is a message or a part of one. ``scripts/generate_wire.py`` generates the Cap'n Proto
schema in ``wire.capnp`` from these classes. Append fields and messages, never reorder or remove
them, so that processes of different versions can communicate.
"""

import msgspec


class Hello(msgspec.Struct):
    """First message of the connecting side.

    Attributes:
        role: Program of the sender: ``entry``, ``control`` or ``operator``.
        host: Name of the sending host.
        data_centre: Data centre of the sending host.
        nonce: Random bytes that the accepting side must sign.
        link: Address at which the sending process accepts links, empty for none.
    """

    role: str = ""
    host: str = ""
    data_centre: str = ""
    nonce: bytes = b""
    link: str = ""


class Challenge(msgspec.Struct):
    """Answer to `Hello`: the accepting side's identity, and its proof that it holds the secret."""

    host: str = ""
    data_centre: str = ""
    nonce: bytes = b""
    proof: bytes = b""


class Proof(msgspec.Struct):
    """Answer to `Challenge`: the connecting side's proof that it holds the shared secret."""

    proof: bytes = b""


class Ack(msgspec.Struct):
    """Success answer without content."""


class Failure(msgspec.Struct):
    """Error answer: code, text, step and peer of the error at the answering side."""

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
    """Ask for a vote in an election.

    Attributes:
        candidate: Member id of the sender.
        last_index: Index of the last entry in the sender's log.
        last_term: Term of that entry.
        pre: True to ask only whether a vote would be granted.
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
    """Replicate log entries; a heartbeat when there are none.

    Attributes:
        leader: Member id of the sender.
        prev_index: Log index before the first entry.
        prev_term: Term of the entry at `prev_index`.
        commit: The leader's commit index.
        target: Member id that the request is meant for.
        at_ms: The leader's replicated time in milliseconds.
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
        match: Highest log index that is stored durably and known to agree with the leader's log.
        hint: Log index at which the leader should retry when `ok` is false, 0 for a snapshot.
    """

    term: int = 0
    ok: bool = False
    match: int = 0
    hint: int = 0


class SnapshotChunk(msgspec.Struct):
    """A part of a snapshot for a member that needs entries no longer in the leader's log.

    Attributes:
        last_index: Log index of the last entry that the snapshot covers.
        last_term: Term of that entry.
        offset: Position of `data` in the snapshot, in bytes.
        done: True for the last part.
    """

    term: int = 0
    leader: str = ""
    last_index: int = 0
    last_term: int = 0
    offset: int = 0
    data: bytes = b""
    done: bool = False
    target: str = ""


class SnapshotReply(msgspec.Struct):
    """Answer to `SnapshotChunk`; `offset` is the number of bytes received so far."""

    term: int = 0
    offset: int = 0


class TimeoutNow(msgspec.Struct):
    """Ask a follower to start an election at once, to transfer the leadership."""

    term: int = 0
    target: str = ""


class MemberInfo(msgspec.Struct):
    """A control host as listed in a cluster's configuration."""

    host: str = ""
    member: str = ""
    data_centre: str = ""
    link: str = ""
    http: str = ""


class IdentityRequest(msgspec.Struct):
    """Ask another control host for its identity; the sender belongs to no cluster yet."""

    info: MemberInfo = msgspec.field(default_factory=MemberInfo)


class IdentityReply(msgspec.Struct):
    """Answer to `IdentityRequest`.

    Attributes:
        info: The answering host.
        formed: True when it already belongs to a cluster.
        members: The initial configuration of that cluster.
    """

    info: MemberInfo = msgspec.field(default_factory=MemberInfo)
    formed: bool = False
    members: list[MemberInfo] = []


class Submit(msgspec.Struct):
    """Propose a command (encoded by `commands.encode`) to the replicated log.

    Attributes:
        known_index: For an operator's order, the log index that the host that received it knew when
            it arrived; 0 if not stated.
    """

    command: bytes = b""
    known_index: int = 0


class SubmitReply(msgspec.Struct):
    """Answer to `Submit`: the outcome (encoded by `commands.encode_outcome`) and the log index."""

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
    """Answer to `Query`: JSON, and the log index of the state from which it was read."""

    index: int = 0
    content: bytes = b""


class ConfigItem(msgspec.Struct):
    """One item of the configuration in force.

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
    """Ask to renew an entry host's lease, and for the configuration changes since `have`.

    Attributes:
        host: Name of the entry host.
        incarnation: Number that differs for each start of the entry process.
        data_centre: Data centre of the entry host.
        address: ``ip:port`` at which other processes reach the entry host.
        environment: Environment that the entry host serves.
        have: Index of the configuration that the entry host uses.
        draining: True when the host is shutting down and leaves the roster.
        load: Short JSON summary for the status display.
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
        duration_ms: Length of the lease in milliseconds, from when the entry host sent its
            request.
        items: Configuration items changed since the request's `have`.
        full: True when `items` is the whole configuration.
    """

    index: int = 0
    duration_ms: int = 0
    items: list[ConfigItem] = []
    full: bool = False


class ConfirmRequest(msgspec.Struct):
    """Ask the leader to confirm the committed index for the entry hosts that a follower serves."""

    leases: list[LeaseRequest] = []


class ConfirmReply(msgspec.Struct):
    """The leader's committed index, read under its own lease.

    Attributes:
        refused: Entry hosts that get no lease, as a newer process has their name.
    """

    index: int = 0
    duration_ms: int = 0
    refused: list[str] = []


class ServerState(msgspec.Struct):
    """A backend server's state as it announced it.

    Attributes:
        server: Unique name of the backend server.
        incarnation: Number that differs for each start of the backend server.
        environment: Environment it serves.
        data_centre: Data centre of the backend server.
        address: ``ip:port`` of its HTTP interface.
        engine: Name of its entry under ``engines`` in the environment document.
        state: ``starting``, ``ready`` or ``leaving``.
        total_blocks: Memory blocks for the tokens of running requests, 0 for a plain service.
        block_tokens: Tokens that one block holds.
        sequence: Increases with each announcement of one incarnation.
        last_order: Fencing number of the last order that it accepted, 0 when not reported.
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
    """A backend server's own load report, `age_ms` old when it was forwarded."""

    server: str = ""
    incarnation: int = 0
    running: int = 0
    waiting: int = 0
    used_blocks: int = 0
    step_us: int = 0
    preemptions: int = 0
    age_ms: int = 0


class CacheEvent(msgspec.Struct):
    """A prompt prefix entered or left a backend server's cache; may arrive late or not at all."""

    prefix: str = ""
    present: bool = True
    sequence: int = 0


class Announce(msgspec.Struct):
    """A backend server's announcement, forwarded to its home entry host."""

    state: ServerState = msgspec.field(default_factory=ServerState)
    load: ServerLoad = msgspec.field(default_factory=ServerLoad)
    cache: list[CacheEvent] = []


class ServerView(msgspec.Struct):
    """A backend server as its home entry host describes it to other entry hosts.

    Attributes:
        home: Entry host that lends the backend server's slots.
        limit: Slots that may be used at present.
        used: Slots in use or lent.
        cold: True while the backend server warms up.
        prefixes: Prompt prefixes recently reported in its cache, newest last; only a hint.
        expected_blocks: Peak of the memory blocks that requests in flight are expected to need.
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
    """The frequently changing fields of a `ServerView` that the receiver has already."""

    server: str = ""
    incarnation: int = 0
    limit: int = 0
    used: int = 0
    cold: bool = True
    expected_blocks: int = 0


class FleetUpdate(msgspec.Struct):
    """A home entry host's view of its backend servers, sent to the other entry hosts.

    Attributes:
        roster_index: Log index of the last roster change that the sender knows.
        deltas: Changes to views that were sent before.
    """

    host: str = ""
    incarnation: int = 0
    roster_index: int = 0
    servers: list[ServerView] = []
    deltas: list[ViewDelta] = []


class Borrow(msgspec.Struct):
    """Ask a home entry host for one slot on a backend server.

    Attributes:
        loan: Unique id, chosen by the borrower; a repeated request gets the same answer.
        alone: True when no other request may run on the backend server at the same time.
        fingerprint: Digest of the request, to attribute a crash.
        max_tokens: Longest answer asked for, 0 when unknown.
        priority: Priority level of the customer.
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
    """A slot on a backend server, to be used within `duration_ms` of the request for it."""

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
    """Return a slot.

    Attributes:
        tokens: Total number of tokens generated, for the length estimates.
        outcome: ``finished``; ``unused`` when no byte of the request was sent; ``cancelled`` when
            the backend server confirmed it; ``failed`` when the work may still run there.
    """

    loan: str = ""
    server: str = ""
    incarnation: int = 0
    tokens: int = 0
    outcome: str = ""


class Handoff(msgspec.Struct):
    """Transfer a backend server's slots from its old home entry host to the new one.

    Attributes:
        roster_index: Log index of the last roster change that the sender knows.
        warm: True when the backend server has warmed up.
        foreign: Requests in flight that are in no record of the old home.
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
    """Report that an incarnation of a backend server has died."""

    server: str = ""
    incarnation: int = 0


class DirectoryRecord(msgspec.Struct):
    """A backend server's last report, as exchanged between hosts.

    Attributes:
        server: Id of the backend server.
        born_ms: When its process started, Unix milliseconds; orders incarnations of one id.
        sequence: Increases with each report of one incarnation.
        gone: True once the backend server has left for good.
        slots: Requests that it runs at once.
        cold_ms: Milliseconds from the report until it is no longer cold.
        age_ms: Milliseconds since the report was received.
        version: Version of the weights that it has loaded, 0 when it has none.
        software: Version of its software, empty when it states none.
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
    software: str = ""


class ServerUse(msgspec.Struct):
    """Load on a backend server from one entry host, or from all others together.

    Attributes:
        requests: Requests in flight.
        tokens: Tokens of memory that they are expected to need.
        unread: Prompt tokens of the requests whose answer has not begun.
    """

    server: str = ""
    requests: int = 0
    tokens: int = 0
    unread: int = 0


class ServerLimit(msgspec.Struct):
    """What a backend server's latest answer stated about its limit.

    Attributes:
        born_ms: When the server's process started, Unix milliseconds.
        stated: Whether it stated a limit.
        per_s: Requests per second that it takes from all entry hosts together.
        age_ms: Milliseconds since the answer.
    """

    server: str = ""
    born_ms: int = 0
    stated: bool = False
    per_s: float = 0.0
    age_ms: int = 0


class ServerPace(msgspec.Struct):
    """What one entry host, or all of them, saw of how a backend server answers.

    The sums are those of `serverpaces.Sums`, where they are described; old answers count less.

    Attributes:
        born_ms: When the server's process started, Unix milliseconds.
        reset_hosts: Number of entry hosts whose requests it reset lately, without an answer since.
        reset_age_ms: Milliseconds since the last of these resets.
    """

    server: str = ""
    born_ms: int = 0
    answers: float = 0.0
    failures: float = 0.0
    work_s: float = 0.0
    works: float = 0.0
    windows: float = 0.0
    late_windows: float = 0.0
    read_tokens: float = 0.0
    read_s: float = 0.0
    stretch: float = 0.0
    stretches: float = 0.0
    reset_hosts: int = 0
    reset_age_ms: int = 0


class SuspectFingerprint(msgspec.Struct):
    """A fingerprint whose requests crash backend servers, or may do so.

    Attributes:
        crashed_ms: Milliseconds since a crash; a success after it contradicts the suspicion.
        refused_ms: Milliseconds for which gateways refuse its requests, 0 if it is only suspected.
    """

    fingerprint: bytes = b""
    crashed_ms: int = 0
    refused_ms: int = 0


class RolloutView(msgspec.Struct):
    """The latest roll-out of a service: which versions of its servers get its requests.

    Attributes:
        index: Log index of the order.
        target: Version to which the service's requests are moved.
        phase: ``proving`` while the target gets a share of the new requests; ``shifting`` when it
            gets all new ones, and runs at servers of other versions are moved or finished;
            ``completed`` or ``rolled_back`` when it has ended.
        share: Share of the service's new requests that may go to the target, from 0 to 1.
        barred: Versions that get no request in any phase: those that were rolled back and, once
            the roll-out is completed, those that the target replaces.
    """

    service: str = ""
    index: int = 0
    target: str = ""
    phase: str = ""
    share: float = 0.0
    barred: list[str] = []


class RolloutEvidence(msgspec.Struct):
    """What one process of an entry host has seen of a roll-out on one route since its order.

    Counts are cumulative, except where an attribute says "at present".

    Attributes:
        index: Log index of the order.
        route: Name of the route, empty for what concerns the whole service.
        on_target: Whether it was seen at servers of the target, as opposed to all other versions.
        requests: Requests that were sent.
        answers: Requests that have ended, with or without success, and those whose answer has begun
            if it is a stream.
        failures: Those of `answers` that failed by the server's fault.
        delays: Delays of `answers` by the buckets of `rolloutdelays`.
        waiting: Requests at present without an answer, by how long they have waited, in the same
            buckets.
        in_flight_old: Runs of this host at present at servers of other versions, on one entry only.
    """

    index: int = 0
    route: str = ""
    on_target: bool = False
    requests: int = 0
    answers: int = 0
    failures: int = 0
    delays: list[int] = []
    waiting: list[int] = []
    in_flight_old: int = 0


class WatchRequest(msgspec.Struct):
    """Ask a control host for the changes since its last reply, and wait for one if there are none.

    Attributes:
        epoch: Epoch of the last reply, 0 at first. It differs for each start of the control host;
            `seen` counts only within one epoch.
        seen: Position of the last reply.
        routing_index: Log index of the routing content that the sender has.
        out_index: Log index of the list of data centres out of service that the sender has.
        wait_ms: How long to wait for a change.
        relayed: True to include records that other control hosts received.
        uses: Load from the sender, by backend server.
        uses_wanted: True to get the sums over all other entry hosts.
        uses_reported: True when the sender is an entry host, which reports its load with each
            request; implied by `uses_wanted`.
        uses_number: Number of the last reply with sums that the sender applied, 0 for none.
        changes_only: True to leave out records that were only renewed.
        suspects_wanted: True to get the suspect fingerprints when they have changed.
        suspects_index: Log index of those that the sender has.
        limits: What servers stated to the sender about their limits, if any stated one lately.
        may_relay: True when the sender reaches the backend servers, and may relay requests for
            hosts that do not.
        paces: What the sender saw lately of how servers answer, where that is news.
        rollouts_wanted: True to get the roll-outs when they have changed.
        rollouts_index: Log index of those that the sender has.
        evidence: What the sender has seen of the roll-outs that have not ended.
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
    uses_reported: bool = False
    uses_number: int = 0
    changes_only: bool = False
    suspects_wanted: bool = False
    suspects_index: int = 0
    limits: list[ServerLimit] = []
    may_relay: bool = False
    paces: list[ServerPace] = []
    rollouts_wanted: bool = False
    rollouts_index: int = 0
    evidence: list[RolloutEvidence] = []


class WatchReply(msgspec.Struct):
    """Answer to `WatchRequest`.

    Attributes:
        records: Records of backend servers that changed after the request's position.
        routing_index: Log index of the routing content in force here, 0 when there is none.
        routing_version: Version number that the operator gave it.
        out_index: Log index of the last change of the data centres out of service.
        out: Data centres out of service.
        members: Addresses of the links of all control hosts.
        entry_hosts: Number of entry hosts that watch this control host.
        uses: Sums over all other entry hosts, if requested. Without `uses_complete`, only those
            that changed since the reply that the request names.
        uses_complete: Whether `uses` holds all sums, so that servers without one have no load.
        uses_number: Number of this reply, to be named in the next request.
        suspects_index: Log index of the last change of `suspects`, 0 when these are left out.
        suspects: All suspect fingerprints, if wanted and newer than those that the sender has.
        limits: What servers stated to any entry host, if `uses` were requested. Without
            `uses_complete`, only what is newer than the reply that the request names.
        paces: What all entry hosts saw of how servers answer, told like `limits`.
        rollouts_index: Log index of the last change of a roll-out in force here, 0 for none.
        rollouts: The latest roll-out of each service, if wanted and newer than those of the sender.
        rollouts_lease_ms: Milliseconds since the request was sent for which the shares at
            `rollouts_index` may be used; 0 if this host does not know, as it does not lead.
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
    uses_complete: bool = False
    uses_number: int = 0
    suspects_index: int = 0
    suspects: list[SuspectFingerprint] = []
    limits: list[ServerLimit] = []
    paces: list[ServerPace] = []
    rollouts_index: int = 0
    rollouts: list[RolloutView] = []
    rollouts_lease_ms: int = 0


class RoutingRequest(msgspec.Struct):
    """Ask a control host for the routing content in force there."""


class RoutingReply(msgspec.Struct):
    """The routing content in force at a control host.

    Attributes:
        content: Routing content as the operator sent it, compressed with zlib.
    """

    index: int = 0
    version: int = 0
    content: bytes = b""


class ReadIndexRequest(msgspec.Struct):
    """Ask the leader for the log index that must be applied before a linearizable read."""


class ReadIndexReply(msgspec.Struct):
    """Answer to `ReadIndexRequest`: covers every command acknowledged before the request."""

    index: int = 0


class JoinRequest(msgspec.Struct):
    """Request that a control host become, or remain, a member.

    Attributes:
        ask: True to have the request forwarded to the leader.
    """

    info: MemberInfo = msgspec.field(default_factory=MemberInfo)
    ask: bool = True


class JoinReply(msgspec.Struct):
    """Answer to `JoinRequest`: the current members according to the leader."""

    members: list[MemberInfo] = []


class PermitRequest(msgspec.Struct):
    """Ask the leader for a permit to send one request to a server that has stated a limit.

    Attributes:
        born_ms: When the server's process started, Unix milliseconds.
        per_s: The limit, in requests per second.
        burst: Permits that may be granted at once after a pause, 0 for as many as the leader
            grants by default. Builds up to 6959521 do not know it.
    """

    server: str = ""
    born_ms: int = 0
    per_s: float = 0.0
    burst: float = 0.0


class PermitReply(msgspec.Struct):
    """Answer to `PermitRequest`.

    Attributes:
        wait_ms: Milliseconds until a permit can be granted, 0 when one is granted.
    """

    granted: bool = False
    wait_ms: int = 0


class RelayHostsRequest(msgspec.Struct):
    """Ask a control host for entry hosts that may relay requests to backend servers."""


class RelayHost(msgspec.Struct):
    """An entry host that may relay requests.

    Attributes:
        link: Address at which it accepts links.
    """

    host: str = ""
    data_centre: str = ""
    link: str = ""


class RelayHostsReply(msgspec.Struct):
    """Answer to `RelayHostsRequest`: some hosts of each data centre, drawn at random."""

    hosts: list[RelayHost] = []


class HeaderField(msgspec.Struct):
    """One HTTP header."""

    name: str = ""
    value: str = ""


class RelayRequest(msgspec.Struct):
    """Ask another entry host to serve a caller's request; it is sent once at most.

    Attributes:
        relay: Random id that the asking host gives it.
        headers: All headers of the caller, in order.
        elapsed_ms: Milliseconds since the request arrived.
        sent_to: Servers that it may have been sent to before.
        routing_index: Log index of the routing content by which it was admitted.
        target: Path and query as the caller sent them, empty from hosts of earlier builds.
    """

    relay: int = 0
    method: str = ""
    path: str = ""
    raw_query: str = ""
    headers: list[HeaderField] = []
    body: bytes = b""
    elapsed_ms: int = 0
    sent_to: list[str] = []
    routing_index: int = 0
    target: str = ""


class RelayRead(msgspec.Struct):
    """Ask for the next part of a relayed answer, over any connection.

    Attributes:
        position: Number of bytes of the answer received so far; these are not asked for again.
    """

    relay: int = 0
    position: int = 0


class RelayReply(msgspec.Struct):
    """What there is of a relayed answer; answer to `RelayRequest` and `RelayRead`.

    Attributes:
        status: Status of the answer, 0 before its head has come.
        headers: Headers of the answer, left out once some of the body was read.
        data: The next bytes of its body, possibly none yet.
        ended: True when no more of it follows.
        failure: Why it ended without being whole: ``elsewhere`` when the request has not run and
            another host may serve it, ``not run``, ``unknown`` or ``broken``; empty for none.
        text: Description of the failure.
        retry_after_ms: When the caller may try again if it has not run, 0 if not stated.
    """

    status: int = 0
    headers: list[HeaderField] = []
    data: bytes = b""
    ended: bool = False
    failure: str = ""
    text: str = ""
    retry_after_ms: int = 0


class RelayEnd(msgspec.Struct):
    """Tell the relaying host that no more is wanted: the answer is whole or its caller has left."""

    relay: int = 0


# The position gives each message its type number on the wire: append only.
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
    PermitRequest,
    PermitReply,
    RelayHostsRequest,
    RelayHostsReply,
    RelayRequest,
    RelayRead,
    RelayReply,
    RelayEnd,
)
