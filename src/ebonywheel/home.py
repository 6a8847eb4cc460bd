"""The home side of the fleet: the backend servers whose slots this entry host lends."""

import typing

import curio
import msgspec

from ebonywheel import (
    announcements,
    configuration,
    documents,
    engineclient,
    exceptions,
    feed,
    isolation,
    kernel,
    memorygate,
    messages,
    poison,
    rendezvous,
    slots,
)

ANNOUNCE_STALE_S = 3.0
DEAD_INCARNATIONS_KEPT = 64
SILENT_KEPT_S = 3600.0
RECLAIM_S = 1.0
PAUSE_S = 3.0

# A new home waits until no lease under the old roster and no loan of the old home can be left.
MIN_LEASE_S = 3.0
LEASE_SAMPLE_MARGIN_S = 0.5


Cancel = typing.Callable[[messages.ServerState, str], typing.Awaitable[bool]]
Probe = typing.Callable[[messages.ServerState], typing.Awaitable[bool]]


class HomeServer(msgspec.Struct):
    """A backend server that this entry host is home to.

    Attributes:
        ledger: Its slots; None once its incarnation has died and no other was heard of.
        lends_from: Monotonic time from which slots may be lent.
        heard_at: When it last announced itself.
        dead: Incarnations known to have ended, oldest first.
        confirmed: True once this host was still its home when that time had come.
    """

    ledger: slots.SlotLedger | None
    lends_from: float
    heard_at: float
    dead: list[int] = []
    prefixes: list[str] = []
    confirmed: bool = False


def home_of(server: str, data_centre: str, roster: dict[str, configuration.RosterEntry]) -> str:
    """Return the entry host that is home to a backend server."""
    near = [host for host, entry in roster.items() if entry.data_centre == data_centre]
    return rendezvous.choose(server, near or roster)


def _aged_load(ledger: slots.SlotLedger, now: float) -> messages.ServerLoad:
    age_s = min(now - ledger.load_at, SILENT_KEPT_S)
    return msgspec.structs.replace(ledger.load, age_ms=int(age_s * 1000))


class Home:
    """Lends the slots of the backend servers that the roster gives this entry host.

    Attributes:
        handoffs: Servers that moved to another home, to be handed over.
        hints: Incarnation and limit that other homes last gave for their servers.
        cancel: Cancels orphaned work at a backend server; returns whether it confirmed.
        probe: Returns whether a backend server's incarnation is gone for certain.
    """

    def __init__(self, core: kernel.Kernel, source: feed.Feed, suspects: poison.Poison):
        self.core = core
        self.feed = source
        self.poison = suspects
        self.gate = memorygate.MemoryGate()
        self.isolation = isolation.Isolation()
        self.servers: dict[str, HomeServer] = {}
        self.handoffs: curio.Queue = curio.Queue()
        self.hints: dict[str, tuple[int, int]] = {}
        self.cancel: Cancel = engineclient.cancel
        self.probe: Probe = engineclient.gone
        # Since when the roster has been as it is, as seen here.
        self.roster_epoch = -1
        self.roster_since = 0.0
        self.lease_until = float("-inf")
        self.lease_s = MIN_LEASE_S
        self.out: frozenset[str] = frozenset()
        source.on_change.append(self._roster_changed)
        source.on_change.append(self._out_changed)

    def announce(self, message: messages.Announce) -> None:
        """Take in an announcement of a backend server.

        Raises:
            NotRunError: This host is not its home, or the announcement is not acceptable.
        """
        state = message.state
        current = self.feed.require_lease()
        if home_of(state.server, state.data_centre, current.roster) != self.core.host.name:
            raise exceptions.NotRunError("not the home of this server", "announce", state.server)
        announcements.check(current, state)
        engine = current.document.engines[state.engine]
        now = self.core.clock.monotonic()
        held = self.servers.get(state.server)
        if held is None:
            held = self.servers[state.server] = self._join(state, engine, now)
        elif not self._follow(held, state, engine):
            return
        held.heard_at = now
        held.ledger.report(message.load, now)
        held.ledger.count_foreign(held.lends_from)
        announcements.note_cache_events(held.prefixes, message.cache)

    def lend(self, request: messages.Borrow) -> messages.Loan:
        """Lend a slot.

        Raises:
            NotRunError: None can be lent now.
        """
        current = self.feed.require_lease()
        now = self.core.clock.monotonic()
        held = self._lending(request.server, current, now)
        state = held.ledger.state
        if state.data_centre in current.out:
            raise exceptions.NotRunError("data centre is out", "lend", state.data_centre)
        if state.state != "ready":
            raise exceptions.NotRunError(f"server is {state.state}", "lend", state.server)
        self.isolation.check(request, held.ledger.used(now), now)
        self.gate.check(held.ledger, request, now)
        return held.ledger.lend(request, now)

    def hold(self, message: messages.Holdings) -> None:
        """Take in a borrower's report of all slots that it has in use at this home."""
        now = self.core.clock.monotonic()
        for holding in message.holdings:
            ledger = self._ledger(holding.server, holding.incarnation)
            if ledger is not None:
                ledger.hold(message.host, holding, now)

    def adopt(self, host: str, holding: messages.Holding) -> None:
        """Note that a borrower took over a slot in use."""
        ledger = self._ledger(holding.server, holding.incarnation)
        if ledger is not None:
            ledger.hold(host, holding, self.core.clock.monotonic())

    def hint(self, view: messages.ServerView) -> None:
        """Remember the limit that another home gives for its server."""
        self.hints[view.state.server] = (view.state.incarnation, view.limit)

    def release(self, message: messages.Release) -> None:
        """Take a slot back."""
        ledger = self._ledger(message.server, message.incarnation)
        if ledger is None:
            return
        record = ledger.release(message, self.core.clock.monotonic())
        if record is not None:
            self.gate.released(ledger, record.holding, message)

    async def died(self, message: messages.DeathNotice) -> None:
        """Stop lending slots of an incarnation that a borrower saw die.

        A notice is believed only when the server itself does not contradict it: the borrower may
        have lost its own way to a server that lives.
        """
        ledger = self._ledger(message.server, message.incarnation)
        if ledger is None or not await self.probe(ledger.state):
            return
        held = self.servers.get(message.server)
        if held is not None and held.ledger is ledger:
            self._bury(held)
            held.ledger = None
            self.core.log.warning("server_died", server=message.server)
            await self.poison.died(ledger.state, ledger.running())

    def take_over(self, message: messages.Handoff) -> None:
        """Take a backend server's slots over from its former home.

        Raises:
            NotRunError: This host is not its home, or has lent its slots already.
        """
        state = message.state
        current = self.feed.require_lease()
        if home_of(state.server, state.data_centre, current.roster) != self.core.host.name:
            raise exceptions.NotRunError("not the home of this server", "take over", state.server)
        if message.roster_index != self.roster_epoch:
            raise exceptions.NotRunError("another roster", "take over", state.server)
        now = self.core.clock.monotonic()
        held = self.servers.get(state.server)
        if now >= self._lends_from() or (held is not None and held.confirmed):
            raise exceptions.NotRunError("too late", "take over", state.server)
        if held is not None and held.ledger is not None:
            if held.ledger.state.incarnation != state.incarnation:
                raise exceptions.NotRunError("another incarnation", "take over", state.server)
            if held.ledger.state.sequence > state.sequence:
                state = held.ledger.state
        engine = current.document.engines[state.engine]
        ledger = slots.SlotLedger(state, engine, message.foreign)
        ledger.limit = max(engine.cold_slots, min(message.limit, engine.warm_slots))
        ledger.report(message.load, now)
        for holding in message.holdings:
            ledger.records[holding.loan] = slots.LoanRecord(holding, message.host, now, now)
        if held is not None and held.ledger is not None:
            ledger.records.update(held.ledger.given_back())
        self.servers[state.server] = HomeServer(ledger, now, now, message.dead, confirmed=True)
        self.core.log.info("server_taken_over", server=state.server, peer=message.host)

    def views(self) -> list[messages.ServerView]:
        """Return what other entry hosts should know of the servers that are heard of."""
        now = self.core.clock.monotonic()
        self._sample_lease(now)
        found = []
        for name, held in list(self.servers.items()):
            if held.ledger is not None:
                held.ledger.forget(now)
            if now > held.heard_at + SILENT_KEPT_S:
                del self.servers[name]
            elif held.ledger is not None and now <= held.heard_at + ANNOUNCE_STALE_S:
                found.append(self._view(held, now))
        return found

    async def reclaim_often(self) -> None:
        """Cancel orphaned work at the backend servers, until cancelled."""
        last = self.core.clock.monotonic()
        paused_until = last
        while True:
            await curio.sleep(RECLAIM_S)
            now = self.core.clock.monotonic()
            # After a pause of this process the borrowers' reports are still to be read.
            if now > last + PAUSE_S:
                paused_until = now + slots.HOLDING_STALE_S
            last = now
            if now >= paused_until and self.feed.holds_lease():
                await self._reclaim_all()

    async def _reclaim_all(self) -> None:
        for held in list(self.servers.values()):
            if held.ledger is not None:
                await self.reclaim(held.ledger)

    async def reclaim(self, ledger: slots.SlotLedger) -> None:
        """Cancel the orphaned work of one backend server."""
        for loan in ledger.reclaimable(self.core.clock.monotonic()):
            await self.core.spawn(self.reclaim_one(ledger, loan))

    async def reclaim_one(self, ledger: slots.SlotLedger, loan: str) -> None:
        """Cancel one orphan; its slot is free once the server has confirmed it."""
        confirmed = await self.cancel(ledger.state, loan)
        self.core.metrics.count("orphans_cancelled", confirmed=str(confirmed).lower())
        if confirmed and ledger.state.total_blocks > 0:
            ledger.cancelled(loan, self.core.clock.monotonic())

    def _ledger(self, server: str, incarnation: int) -> slots.SlotLedger | None:
        held = self.servers.get(server)
        if held is None or held.ledger is None:
            return None
        return held.ledger if held.ledger.state.incarnation == incarnation else None

    def _view(self, held: HomeServer, now: float) -> messages.ServerView:
        ledger = held.ledger
        load = _aged_load(ledger, now)
        lending = self._confirm(held, now) and ledger.foreign is not None
        return messages.ServerView(
            ledger.state,
            load,
            self.core.host.name,
            ledger.limit if lending else 0,
            ledger.used(now),
            not ledger.warm(),
            held.prefixes,
            self.gate.expected_blocks(ledger, now),
        )

    def _lending(self, server: str, current: configuration.Configuration, now: float) -> HomeServer:
        held = self.servers.get(server)
        if held is None or held.ledger is None or now > held.heard_at + ANNOUNCE_STALE_S:
            raise exceptions.NotRunError("server not known here", "lend", server)
        # The configuration may be newer than the last call of `_roster_changed`.
        if current.roster_epoch != self.roster_epoch:
            raise exceptions.NotRunError("roster is changing", "lend", server)
        if not self._confirm(held, now):
            raise exceptions.NotRunError("waiting out the former home", "lend", server)
        return held

    def _join(
        self, state: messages.ServerState, engine: documents.Engine, now: float
    ) -> HomeServer:
        ledger = slots.SlotLedger(state, engine, foreign=None)
        incarnation, limit = self.hints.get(state.server, (0, 0))
        if incarnation == state.incarnation:
            ledger.limit = max(ledger.limit, min(limit, engine.warm_slots))
        self.core.log.info("server_joined", server=state.server, engine=state.engine)
        return HomeServer(ledger, self._lends_from(), now)

    def _follow(
        self, held: HomeServer, state: messages.ServerState, engine: documents.Engine
    ) -> bool:
        if state.incarnation in held.dead:
            return False
        known = None if held.ledger is None else held.ledger.state
        if known is not None and state.incarnation == known.incarnation:
            if state.sequence < known.sequence:
                return False
            held.ledger.state = state
            held.ledger.engine = engine
            held.ledger.limit = min(held.ledger.limit, engine.warm_slots)
            return True
        if known is not None:
            self._bury(held)
        held.ledger = slots.SlotLedger(state, engine)
        self.core.log.info("server_restarted", server=state.server)
        return True

    def _bury(self, held: HomeServer) -> None:
        held.dead.append(held.ledger.state.incarnation)
        del held.dead[:-DEAD_INCARNATIONS_KEPT]

    def _confirm(self, held: HomeServer, now: float) -> bool:
        # A lease asked for after the wait proves that the roster was still this one then. Without
        # that, a former home that never saw this roster may lend on under the next one.
        if not held.confirmed and now >= held.lends_from:
            held.confirmed = self.feed.lease_until >= held.lends_from + self.lease_s
        return held.confirmed

    def _lends_from(self) -> float:
        return self.roster_since + self.lease_s + slots.LOAN_S

    def _sample_lease(self, now: float) -> None:
        if self.feed.current.roster_epoch == self.roster_epoch:
            self.lease_until = self.feed.lease_until
        left_s = self.feed.lease_until - now
        if left_s > MIN_LEASE_S:
            self.lease_s = max(self.lease_s, left_s + LEASE_SAMPLE_MARGIN_S)

    async def _roster_changed(self, current: configuration.Configuration) -> None:
        if current.roster_epoch == self.roster_epoch:
            return
        now = self.core.clock.monotonic()
        # While this host's lease is unbroken nobody else can have lent its servers' slots; after
        # a gap another home may have come and gone.
        unbroken = now < self.lease_until
        self.roster_epoch = current.roster_epoch
        self.roster_since = now
        self.lease_until = self.feed.lease_until
        self._sample_lease(now)
        for name, held in list(self.servers.items()):
            if held.ledger is None:
                continue
            state = held.ledger.state
            target = home_of(name, state.data_centre, current.roster)
            if target != self.core.host.name:
                del self.servers[name]
                if unbroken and held.confirmed and held.ledger.foreign is not None:
                    await self.handoffs.put((target, self._handoff(held, now)))
            elif not unbroken:
                self._start_again(held)

    async def _out_changed(self, current: configuration.Configuration) -> None:
        """Let the servers of a returning data centre earn their slots again."""
        returned, self.out = self.out - current.out, current.out
        if not returned:
            return
        # The limits that other homes last gave are from before the data centre was out.
        self.hints.clear()
        now = self.core.clock.monotonic()
        for held in self.servers.values():
            if held.ledger is not None and held.ledger.state.data_centre in returned:
                held.ledger.chill(now)

    def _start_again(self, held: HomeServer) -> None:
        limit = held.ledger.limit
        held.ledger = slots.SlotLedger(held.ledger.state, held.ledger.engine, foreign=None)
        held.ledger.limit = limit
        held.lends_from = self._lends_from()
        held.confirmed = False

    def _handoff(self, held: HomeServer, now: float) -> messages.Handoff:
        ledger = held.ledger
        load = _aged_load(ledger, now)
        return messages.Handoff(
            self.core.host.name,
            self.roster_epoch,
            ledger.state,
            load,
            ledger.limit,
            ledger.warm(),
            ledger.running(),
            ledger.foreign,
            held.dead,
        )
