"""What an entry host knows: routing content, backend servers, and where work is in flight."""

import collections
import collections.abc
import typing

import curio
import msgspec
import result

from ebonywheel import directory, exceptions, kernel, link, messages
from ebonywheel.gateway import balance, routes

DecodeTable = typing.Callable[[bytes], result.Result[routes.Table, exceptions.DocumentError]]
FETCH_TIMEOUT_S = 2.0
# Id and start of a server: one that comes back under its id starts without its past.
_Key = tuple[str, int]


class Regions(typing.Protocol):
    """Where data centres stand."""

    def get(self, data_centre: str, default: str = "") -> str:
        """Return the region of a data centre."""


class EntryView:
    """The newest of what all control hosts told.

    Attributes:
        table: Routing content in force here, None before any is known.
        routing_index: Its log index; never goes back.
        out: Data centres out of service.
        directory: Backend servers.
        states: What is known of each server beyond its record.
        entry_hosts: Entry hosts that share the servers.
        on_leaving: Called when a server says that it will end.
    """

    def __init__(
        self,
        core: kernel.Kernel,
        decode: DecodeTable,
        region_of: Regions,
        incarnation: int,
    ):
        self.core = core
        self.decode = decode
        self.region_of = region_of
        self.incarnation = incarnation
        self.place = balance.Place(core.host.data_centre, region_of.get(core.host.data_centre, ""))
        self.table: routes.Table | None = None
        self.routing_index = 0
        self.out: frozenset[str] = frozenset()
        self.out_index = 0
        self.directory = directory.Directory(core.clock)
        self.states: dict[_Key, balance.ServerState] = {}
        self.entry_hosts = 1
        self.on_leaving: list[collections.abc.Callable[[str], typing.Awaitable[None]]] = []
        self.fetch_lock = curio.Lock()

    # -- watch -----------------------------------------------------------------------------

    def request(self) -> messages.WatchRequest:
        """Return a watch by this entry host, with what it has in flight."""
        return messages.WatchRequest(
            host=self.core.host.name,
            incarnation=self.incarnation,
            routing_index=self.routing_index,
            out_index=self.out_index,
            uses=self._uses(),
            uses_wanted=True,
        )

    def _uses(self) -> list[messages.ServerUse]:
        return [
            messages.ServerUse(server, state.requests, state.tokens, state.unread)
            for (server, _), state in self.states.items()
            if state.requests or state.tokens
        ]

    async def update(self, reply: messages.WatchReply, connection: link.Link) -> None:
        """Take in a control host's answer.

        Raises:
            LinkError: Newer routing content could not be fetched.
        """
        for record in reply.records:
            await self._observe(record)
        if reply.out_index > self.out_index:
            self.out_index = reply.out_index
            self.out = frozenset(reply.out)
            self.core.log.info("data_centres_out", out=" ".join(reply.out), index=reply.out_index)
        self.entry_hosts = max(1, reply.entry_hosts)
        self._take_uses(reply.uses)
        if reply.routing_index > self.routing_index:
            await self._fetch(reply.routing_index, connection)

    def _take_uses(self, uses: list[messages.ServerUse]) -> None:
        told = {use.server: use for use in uses}
        nothing = messages.ServerUse()
        for (server, _), state in self.states.items():
            use = told.get(server, nothing)
            state.other_requests = use.requests
            state.other_tokens = use.tokens
            state.other_unread = use.unread

    async def _observe(self, record: messages.DirectoryRecord) -> None:
        if not self.directory.observe(record):
            return
        state = self.state_of(record)
        now = self.core.clock.monotonic()
        state.cold_until = now + max(0, record.cold_ms - record.age_ms) / 1000
        directory.log_change(self.core.log, record)
        if record.gone or record.draining:
            for call in self.on_leaving:
                await call(record.server)

    async def _fetch(self, index: int, connection: link.Link) -> None:
        async with self.fetch_lock:
            if index <= self.routing_index:
                return
            reply = await connection.call(messages.RoutingRequest(), FETCH_TIMEOUT_S)
            if reply.index <= self.routing_index:
                return
            match self.decode(reply.content):
                case result.Err(error):
                    self.core.log.error("routing_unreadable", index=reply.index, error=error)
                case result.Ok(table):
                    self.table = table
                    self.core.log.info("routing_in_force", version=table.version, index=reply.index)
            self.routing_index = reply.index

    # -- questions -------------------------------------------------------------------------

    def state_of(self, record: messages.DirectoryRecord) -> balance.ServerState:
        """Return the state of a server's incarnation."""
        key = (record.server, record.born_ms)
        held = self.states.get(key)
        if held is None:
            held = self.states[key] = balance.ServerState()
        return held

    def candidates(self, service: str) -> list[balance.Candidate]:
        """Return the servers of a service that may get new work."""
        found = []
        for held in self.directory.live():
            record = held.record
            if record.service != service or record.draining or record.data_centre in self.out:
                continue
            found.append(
                balance.Candidate(
                    record,
                    self.state_of(record),
                    self.directory.age_s(record.server),
                    self.region_of.get(record.data_centre, ""),
                )
            )
        places = collections.Counter(one.record.data_centre for one in found)
        for one in found:
            one.alone = places[one.record.data_centre] == 1
        return found

    def stays(self, record: messages.DirectoryRecord) -> bool:
        """Return whether a server's incarnation is in service and does not leave."""
        held = self.directory.held.get(record.server)
        if held is None or held.record.born_ms != record.born_ms:
            return False
        return not (held.record.gone or held.record.draining or held.record.data_centre in self.out)

    def place_of(self, record: messages.DirectoryRecord) -> balance.Place:
        """Return where a server stands."""
        return balance.Place(record.data_centre, self.region_of.get(record.data_centre, ""))

    def choose(
        self, wish: balance.Wish, place: balance.Place | None = None
    ) -> balance.Candidate | None:
        """Return the best server for a request, or None when none can take it.

        Args:
            wish: What is looked for.
            place: Where it should be near to; this host where not given.
        """
        return balance.choose(
            self.candidates(wish.service.name),
            wish,
            place or self.place,
            self.core.clock.monotonic(),
            self.entry_hosts,
        )

    def prune(self) -> None:
        """Forget servers that are gone for long."""
        self.directory.prune()
        known = {(held.record.server, held.record.born_ms) for held in self.directory.held.values()}
        for key in [key for key in self.states if key not in known]:
            if not self.states[key].requests:
                del self.states[key]


class Use:
    """A request in flight at a server, or a copy of one, counted while it is open.

    Attributes:
        tokens: Memory that it is expected to need.
        unread: Tokens of its prompt, until its answer begins.
    """

    __slots__ = ("state", "tokens", "requests", "unread")

    def __init__(self, state: balance.ServerState, tokens: int, requests: int = 1, unread: int = 0):
        self.state: balance.ServerState | None = state
        self.tokens = tokens
        self.requests = requests
        self.unread = unread
        state.requests += requests
        state.tokens += tokens
        state.unread += unread

    def begun(self) -> None:
        """Note that the answer has begun: its prompt has been read."""
        if self.state is not None:
            self.state.unread -= self.unread
            self.unread = 0

    def close(self) -> None:
        """Stop counting it; may be called again."""
        if self.state is not None:
            self.begun()
            self.state.requests -= self.requests
            self.state.tokens -= self.tokens
            self.state = None


class Flight(msgspec.Struct):
    """A request on its way, with what all steps need to know of it.

    Attributes:
        request: The caller's request.
        deadline_at: When the caller must have its answer, monotonic seconds.
        caller_deadline_at: When the caller itself gives up, monotonic seconds.
        tried: Servers that it was sent to.
        reason: Why the last try failed, for the log and the answer.
        status: Status that the caller was answered with, 0 where the answer broke off.
        first_at: When the first event of a stream arrived, monotonic seconds.
        last_at: When the last one arrived.
        longest_gap_s: Longest time between two.
    """

    request: typing.Any
    route: routes.Route
    service: routes.Service
    customer: routes.Customer | None
    started_at: float
    deadline_at: float
    caller_deadline_at: float
    tried: list[str] = []
    reason: str = ""
    status: int = 0
    first_at: float = 0.0
    last_at: float = 0.0
    longest_gap_s: float = 0.0

    def note_event(self, now: float) -> None:
        """Note that a part of a stream arrived."""
        if self.first_at:
            self.longest_gap_s = max(self.longest_gap_s, now - self.last_at)
        else:
            self.first_at = now
        self.last_at = now

    def regions(self) -> frozenset[str]:
        """Return the regions that may serve it; empty for all."""
        own = frozenset() if self.customer is None else self.customer.regions
        if own and self.route.regions:
            # No region at all is not the same as every region.
            return (own & self.route.regions) or frozenset({""})
        return own or self.route.regions
