"""The home side of the fleet: the backend servers whose slots this entry host lends."""

import msgspec

from ebonywheel import (
    configuration,
    documents,
    exceptions,
    feed,
    kernel,
    memorygate,
    messages,
    poison,
    rendezvous,
    slots,
)

ANNOUNCE_STALE_S = 3.0
DEAD_INCARNATIONS_KEPT = 64
PREFIXES_KEPT = 64
SERVER_STATES = ("starting", "ready", "leaving")

# A new home waits until no lease under the old roster and no loan of the old home can be left.
MAX_LEASE_S = 3.0
TAKEOVER_WAIT_S = MAX_LEASE_S + slots.LOAN_S


class HomeServer(msgspec.Struct):
    """A backend server that this entry host is home to.

    Attributes:
        lends_from: Monotonic time from which slots may be lent.
        heard_at: When it last announced itself.
        dead: Incarnations known to have ended, oldest first.
    """

    ledger: slots.SlotLedger
    lends_from: float
    heard_at: float
    dead: list[int] = []
    prefixes: list[str] = []


def home_of(server: str, data_centre: str, roster: dict[str, configuration.RosterEntry]) -> str:
    """Return the entry host that is home to a backend server."""
    near = [host for host, entry in roster.items() if entry.data_centre == data_centre]
    return rendezvous.choose(server, near or roster)


def _note_cache_events(held: HomeServer, events: list[messages.CacheEvent]) -> None:
    for event in events:
        if event.prefix in held.prefixes:
            held.prefixes.remove(event.prefix)
        if event.present:
            held.prefixes.append(event.prefix)
    del held.prefixes[:-PREFIXES_KEPT]


def check_announcement(current: configuration.Configuration, state: messages.ServerState) -> None:
    """Check that an announcement agrees with the document in force.

    Raises:
        NotRunError: There is no document.
        HttpError: The announcement names something that the document has not.
    """
    if current.document is None:
        raise exceptions.NotRunError("no document is in force", "announce", state.server)
    for field, value, known in (
        ("environment", state.environment, [current.document.environment]),
        ("data_centre", state.data_centre, current.document.regions),
        ("engine", state.engine, current.document.engines),
        ("state", state.state, SERVER_STATES),
    ):
        if value not in known:
            names = ", ".join(sorted(known))
            raise exceptions.HttpError(
                f"Expected one of: {names}, got {value!r} - at `state.{field}`",
                "announce",
                state.server,
                422,
            )


class Home:
    """Lends the slots of the backend servers that the roster gives this entry host."""

    def __init__(self, core: kernel.Kernel, source: feed.Feed, suspects: poison.Poison):
        self.core = core
        self.feed = source
        self.poison = suspects
        self.gate = memorygate.MemoryGate()
        self.servers: dict[str, HomeServer] = {}
        # Since when the roster has been as it is, as seen here.
        self.roster_epoch = -1
        self.roster_since = 0.0
        source.on_change.append(self._roster_changed)

    def announce(self, message: messages.Announce) -> None:
        """Take in an announcement of a backend server.

        Raises:
            NotRunError: This host is not its home, or the announcement is not acceptable.
        """
        state = message.state
        current = self.feed.require_lease()
        if home_of(state.server, state.data_centre, current.roster) != self.core.host.name:
            raise exceptions.NotRunError("not the home of this server", "announce", state.server)
        check_announcement(current, state)
        document = current.document
        now = self.core.clock.monotonic()
        held = self.servers.get(state.server)
        if held is None:
            ledger = slots.SlotLedger(state, document.engines[state.engine])
            lends_from = self.roster_since + TAKEOVER_WAIT_S
            held = self.servers[state.server] = HomeServer(ledger, lends_from, now)
            self.core.log.info("server_joined", server=state.server, engine=state.engine)
        elif not self._follow(held, state, document.engines[state.engine]):
            return
        held.heard_at = now
        held.ledger.report(message.load, now)
        _note_cache_events(held, message.cache)

    def lend(self, request: messages.Borrow) -> messages.Loan:
        """Lend a slot.

        Raises:
            NotRunError: None can be lent now.
        """
        current = self.feed.require_lease()
        now = self.core.clock.monotonic()
        held = self._lending(request.server, now)
        state = held.ledger.state
        if state.data_centre in current.out:
            raise exceptions.NotRunError("data centre is out", "lend", state.data_centre)
        if state.state != "ready":
            raise exceptions.NotRunError(f"server is {state.state}", "lend", state.server)
        self.gate.check(held.ledger, request, now)
        return held.ledger.lend(request, now)

    def hold(self, message: messages.Holdings) -> None:
        """Take in a borrower's report of slots in use."""
        now = self.core.clock.monotonic()
        for holding in message.holdings:
            held = self.servers.get(holding.server)
            if held is not None and held.ledger.state.incarnation == holding.incarnation:
                held.ledger.hold(message.host, holding, now)

    def release(self, message: messages.Release) -> None:
        """Take a slot back."""
        held = self.servers.get(message.server)
        if held is not None and held.ledger.state.incarnation == message.incarnation:
            record = held.ledger.release(message, self.core.clock.monotonic())
            if record is not None:
                self.gate.released(held.ledger, record.holding, message)

    async def died(self, message: messages.DeathNotice) -> None:
        """Stop lending slots of an incarnation that a borrower saw die."""
        held = self.servers.get(message.server)
        if held is not None and held.ledger.state.incarnation == message.incarnation:
            self._bury(held)
            del self.servers[message.server]
            self.core.log.warning("server_died", server=message.server)
            await self.poison.died(held.ledger.state, held.ledger.running())

    def views(self) -> list[messages.ServerView]:
        """Return what other entry hosts should know; drops servers gone silent."""
        now = self.core.clock.monotonic()
        for name, held in list(self.servers.items()):
            held.ledger.forget(now)
            if now > held.heard_at + ANNOUNCE_STALE_S:
                del self.servers[name]
                self.core.log.warning("server_silent", server=name)
        return [self._view(held, now) for held in self.servers.values()]

    def _view(self, held: HomeServer, now: float) -> messages.ServerView:
        ledger = held.ledger
        load = msgspec.structs.replace(ledger.load, age_ms=int((now - ledger.load_at) * 1000))
        limit = ledger.limit if now >= held.lends_from else 0
        return messages.ServerView(
            ledger.state,
            load,
            self.core.host.name,
            limit,
            ledger.used(now),
            not ledger.warm(),
            held.prefixes,
            self.gate.expected_blocks(ledger, now),
        )

    def _lending(self, server: str, now: float) -> HomeServer:
        held = self.servers.get(server)
        if held is None or now > held.heard_at + ANNOUNCE_STALE_S:
            raise exceptions.NotRunError("server not known here", "lend", server)
        if now < held.lends_from:
            raise exceptions.NotRunError("waiting out the former home", "lend", server)
        return held

    def _follow(
        self, held: HomeServer, state: messages.ServerState, engine: documents.Engine
    ) -> bool:
        known = held.ledger.state
        if state.incarnation in held.dead:
            return False
        if state.incarnation == known.incarnation:
            if state.sequence < known.sequence:
                return False
            held.ledger.state = state
            held.ledger.engine = engine
            return True
        self._bury(held)
        held.ledger = slots.SlotLedger(state, engine)
        self.core.log.info("server_restarted", server=state.server)
        return True

    def _bury(self, held: HomeServer) -> None:
        held.dead.append(held.ledger.state.incarnation)
        del held.dead[:-DEAD_INCARNATIONS_KEPT]

    async def _roster_changed(self, current: configuration.Configuration) -> None:
        if current.roster_epoch == self.roster_epoch:
            return
        self.roster_epoch = current.roster_epoch
        self.roster_since = self.core.clock.monotonic()
        for name, held in list(self.servers.items()):
            state = held.ledger.state
            if home_of(name, state.data_centre, current.roster) != self.core.host.name:
                del self.servers[name]
