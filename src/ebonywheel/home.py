"""The backend servers that this entry host is home to, and the lending of their slots."""

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

ANNOUNCEMENT_STALE_S = 3.0
MAX_DEAD_INCARNATIONS = 64
SILENT_SERVER_RETENTION_S = 3600.0
RECLAIM_INTERVAL_S = 1.0
# Gap in the reclaim loop from which on this process counts as having been paused.
PAUSE_THRESHOLD_S = 3.0

# A new home lends only after every lease under the old roster and every loan of the old home has
# expired. It waits for the longest lease that it has seen, or for this time if that is longer.
MIN_LEASE_S = 3.0
# Added to the time left of a lease, as that is read some time after the lease was granted.
LEASE_SAMPLE_MARGIN_S = 0.5


Cancel = typing.Callable[[messages.ServerState, str], typing.Awaitable[bool]]
Probe = typing.Callable[[messages.ServerState], typing.Awaitable[bool]]


class HomeServer(msgspec.Struct):
    """A backend server that this entry host is home to.

    Attributes:
        ledger: Its slots; None while its last known incarnation is dead.
        lends_from: Earliest monotonic time at which slots may be lent.
        announced_at: When it last announced itself.
        dead_incarnations: Incarnations known to have ended, oldest first.
        prefixes: Prompt prefixes in its cache.
        confirmed: Whether this host was still its home at `lends_from`.
    """

    ledger: slots.SlotLedger | None
    lends_from: float
    announced_at: float
    dead_incarnations: list[int] = []
    prefixes: list[str] = []
    confirmed: bool = False


def home_of(server: str, data_centre: str, roster: dict[str, configuration.RosterEntry]) -> str:
    """Return the entry host that is home to a backend server."""
    same_data_centre = [host for host, entry in roster.items() if entry.data_centre == data_centre]
    return rendezvous.choose(server, same_data_centre or roster)


def _load_with_age(ledger: slots.SlotLedger, now: float) -> messages.ServerLoad:
    age_s = min(now - ledger.load_taken_at, SILENT_SERVER_RETENTION_S)
    return msgspec.structs.replace(ledger.load, age_ms=int(age_s * 1000))


class Home:
    """Lends the slots of the backend servers that the roster assigns to this entry host.

    Attributes:
        servers: The assigned backend servers by name.
        handoffs: New home and message for each server that moved to another home.
        last_limits: Incarnation and limit that other homes last reported for their servers.
        cancel: Cancels orphaned work at a backend server; returns whether the server confirmed it.
        probe: Returns whether a backend server's incarnation has certainly ended.
        roster_epoch: Version of the roster that this host last saw.
        roster_seen_at: When this host first saw that roster.
        lease_until: When this host's last lease under that roster ends.
        lease_s: Longest lease duration to wait for, in seconds.
        out: Data centres that were last seen to be out of service.
    """

    def __init__(
        self, core: kernel.Kernel, config_feed: feed.Feed, poison_tracker: poison.PoisonTracker
    ):
        self.core = core
        self.feed = config_feed
        self.poison = poison_tracker
        self.gate = memorygate.MemoryGate()
        self.isolation = isolation.Isolation()
        self.servers: dict[str, HomeServer] = {}
        self.handoffs: curio.Queue = curio.Queue()
        self.last_limits: dict[str, tuple[int, int]] = {}
        self.cancel: Cancel = engineclient.cancel
        self.probe: Probe = engineclient.incarnation_has_ended
        self.roster_epoch = -1
        self.roster_seen_at = 0.0
        self.lease_until = float("-inf")
        self.lease_s = MIN_LEASE_S
        self.out: frozenset[str] = frozenset()
        config_feed.change_listeners.append(self._on_roster_change)
        config_feed.change_listeners.append(self._on_out_change)

    def announce(self, message: messages.Announce) -> None:
        """Process an announcement of a backend server.

        Raises:
            NotRunError: This host is not its home, or the announcement is invalid.
        """
        state = message.state
        current = self.feed.require_lease()
        if home_of(state.server, state.data_centre, current.roster) != self.core.host.name:
            raise exceptions.NotRunError("not the home of this server", "announce", state.server)
        announcements.check(current, state)
        engine = current.document.engines[state.engine]
        now = self.core.clock.monotonic()
        home_server = self.servers.get(state.server)
        if home_server is None:
            home_server = self.servers[state.server] = self._add_server(state, engine, now)
        elif not self._accept_state(home_server, state, engine):
            return
        home_server.announced_at = now
        home_server.ledger.report(message.load, now)
        home_server.ledger.count_foreign(home_server.lends_from)
        announcements.apply_cache_events(home_server.prefixes, message.cache)

    def lend(self, request: messages.Borrow) -> messages.Loan:
        """Lend a slot.

        Raises:
            NotRunError: No slot can be lent now.
        """
        current = self.feed.require_lease()
        now = self.core.clock.monotonic()
        home_server = self._require_lending(request.server, current, now)
        state = home_server.ledger.state
        if state.data_centre in current.out:
            raise exceptions.NotRunError("data centre is out", "lend", state.data_centre)
        if state.state != "ready":
            raise exceptions.NotRunError(f"server is {state.state}", "lend", state.server)
        self.isolation.check_or_reserve(request, home_server.ledger.used(now), now)
        self.gate.check(home_server.ledger, request, now)
        return home_server.ledger.lend(request, now)

    def update_holdings(self, message: messages.Holdings) -> None:
        """Process a borrower's report of all slots of this home that it has in use."""
        now = self.core.clock.monotonic()
        for holding in message.holdings:
            ledger = self._ledger(holding.server, holding.incarnation)
            if ledger is not None:
                ledger.record_holding(message.host, holding, now)

    def adopt(self, host: str, holding: messages.Holding) -> None:
        """Record that a borrower took over a slot in use."""
        ledger = self._ledger(holding.server, holding.incarnation)
        if ledger is not None:
            ledger.record_holding(host, holding, self.core.clock.monotonic())

    def note_limit(self, view: messages.ServerView) -> None:
        """Record the limit that another home reports for its server."""
        self.last_limits[view.state.server] = (view.state.incarnation, view.limit)

    def release(self, message: messages.Release) -> None:
        """Process the release of a slot by its borrower."""
        ledger = self._ledger(message.server, message.incarnation)
        if ledger is None:
            return
        record = ledger.release(message, self.core.clock.monotonic())
        if record is not None:
            self.gate.record_release(ledger, record.holding, message)

    async def handle_death(self, message: messages.DeathNotice) -> None:
        """Stop lending slots of an incarnation that a borrower reports dead.

        The server is probed first, because the borrower may only have lost its own connection to a
        server that is alive.
        """
        ledger = self._ledger(message.server, message.incarnation)
        if ledger is None or not await self.probe(ledger.state):
            return
        home_server = self.servers.get(message.server)
        if home_server is not None and home_server.ledger is ledger:
            self._mark_dead(home_server)
            home_server.ledger = None
            self.core.log.warning("server_died", server=message.server)
            await self.poison.report_death(ledger.state, ledger.running())

    def take_over(self, message: messages.Handoff) -> None:
        """Take over a backend server's slots from its former home.

        Raises:
            NotRunError: This host is not its home, has another roster or incarnation, or may
                already lend the slots.
        """
        state = message.state
        current = self.feed.require_lease()
        if home_of(state.server, state.data_centre, current.roster) != self.core.host.name:
            raise exceptions.NotRunError("not the home of this server", "take over", state.server)
        if message.roster_index != self.roster_epoch:
            raise exceptions.NotRunError("another roster", "take over", state.server)
        now = self.core.clock.monotonic()
        home_server = self.servers.get(state.server)
        if now >= self._earliest_lending() or (home_server is not None and home_server.confirmed):
            raise exceptions.NotRunError("too late", "take over", state.server)
        if home_server is not None and home_server.ledger is not None:
            if home_server.ledger.state.incarnation != state.incarnation:
                raise exceptions.NotRunError(
                    "server has another incarnation", "take over", state.server
                )
            if home_server.ledger.state.sequence > state.sequence:
                state = home_server.ledger.state
        engine = current.document.engines[state.engine]
        ledger = slots.SlotLedger(state, engine, message.foreign)
        ledger.limit = max(engine.cold_slots, min(message.limit, engine.warm_slots))
        ledger.report(message.load, now)
        for holding in message.holdings:
            ledger.records[holding.loan] = slots.LoanRecord(holding, message.host, now, now)
        if home_server is not None and home_server.ledger is not None:
            ledger.records.update(home_server.ledger.released_records())
        self.servers[state.server] = HomeServer(ledger, now, now, message.dead, confirmed=True)
        self.core.log.info("server_taken_over", server=state.server, peer=message.host)

    def views(self) -> list[messages.ServerView]:
        """Return the views of the servers that announce themselves, and drop outdated records."""
        now = self.core.clock.monotonic()
        self._update_lease(now)
        current_views = []
        for name, home_server in list(self.servers.items()):
            if home_server.ledger is not None:
                home_server.ledger.drop_released(now)
            if now > home_server.announced_at + SILENT_SERVER_RETENTION_S:
                del self.servers[name]
            elif (
                home_server.ledger is not None
                and now <= home_server.announced_at + ANNOUNCEMENT_STALE_S
            ):
                current_views.append(self._view(home_server, now))
        return current_views

    async def reclaim_periodically(self) -> None:
        """Cancel orphaned work at all backend servers, in a loop until this task is cancelled."""
        last = self.core.clock.monotonic()
        resume_at = last
        while True:
            await curio.sleep(RECLAIM_INTERVAL_S)
            now = self.core.clock.monotonic()
            # After a pause of this process, wait until the borrowers' queued reports are processed.
            if now > last + PAUSE_THRESHOLD_S:
                resume_at = now + slots.HOLDING_STALE_S
            last = now
            if now >= resume_at and self.feed.holds_lease():
                await self._reclaim_all()

    async def _reclaim_all(self) -> None:
        for home_server in list(self.servers.values()):
            if home_server.ledger is not None:
                await self.reclaim_orphans(home_server.ledger)

    async def reclaim_orphans(self, ledger: slots.SlotLedger) -> None:
        """Cancel the orphaned work of one backend server."""
        for loan in ledger.reclaimable_loans(self.core.clock.monotonic()):
            await self.core.spawn(self.cancel_orphan(ledger, loan))

    async def cancel_orphan(self, ledger: slots.SlotLedger, loan: str) -> None:
        """Cancel one orphaned request and free its slot if the server confirms it."""
        confirmed = await self.cancel(ledger.state, loan)
        self.core.metrics.count("orphans_cancelled", confirmed=str(confirmed).lower())
        if confirmed and ledger.state.total_blocks > 0:
            ledger.mark_cancelled(loan, self.core.clock.monotonic())

    def _ledger(self, server: str, incarnation: int) -> slots.SlotLedger | None:
        home_server = self.servers.get(server)
        if home_server is None or home_server.ledger is None:
            return None
        return home_server.ledger if home_server.ledger.state.incarnation == incarnation else None

    def _view(self, home_server: HomeServer, now: float) -> messages.ServerView:
        ledger = home_server.ledger
        load = _load_with_age(ledger, now)
        lending = self._check_confirmed(home_server, now) and ledger.foreign is not None
        return messages.ServerView(
            ledger.state,
            load,
            self.core.host.name,
            ledger.limit if lending else 0,
            ledger.used(now),
            not ledger.is_warm(),
            home_server.prefixes,
            self.gate.expected_blocks(ledger, now),
        )

    def _require_lending(
        self, server: str, current: configuration.Configuration, now: float
    ) -> HomeServer:
        home_server = self.servers.get(server)
        if (
            home_server is None
            or home_server.ledger is None
            or now > home_server.announced_at + ANNOUNCEMENT_STALE_S
        ):
            raise exceptions.NotRunError("server not known here", "lend", server)
        # The configuration may be newer than the last call of `_on_roster_change`.
        if current.roster_epoch != self.roster_epoch:
            raise exceptions.NotRunError("roster is changing", "lend", server)
        if not self._check_confirmed(home_server, now):
            raise exceptions.NotRunError("waiting out the former home's loans", "lend", server)
        return home_server

    def _add_server(
        self, state: messages.ServerState, engine: documents.Engine, now: float
    ) -> HomeServer:
        ledger = slots.SlotLedger(state, engine, foreign=None)
        incarnation, limit = self.last_limits.get(state.server, (0, 0))
        if incarnation == state.incarnation:
            ledger.limit = max(ledger.limit, min(limit, engine.warm_slots))
        self.core.log.info("server_joined", server=state.server, engine=state.engine)
        return HomeServer(ledger, self._earliest_lending(), now)

    def _accept_state(
        self, home_server: HomeServer, state: messages.ServerState, engine: documents.Engine
    ) -> bool:
        if state.incarnation in home_server.dead_incarnations:
            return False
        known = None if home_server.ledger is None else home_server.ledger.state
        if known is not None and state.incarnation == known.incarnation:
            if state.sequence < known.sequence:
                return False
            home_server.ledger.state = state
            home_server.ledger.engine = engine
            home_server.ledger.limit = min(home_server.ledger.limit, engine.warm_slots)
            return True
        if known is not None:
            self._mark_dead(home_server)
        # Another home may have lent slots of this incarnation unless this host is its only home.
        foreign = 0 if home_server.confirmed else None
        home_server.ledger = slots.SlotLedger(state, engine, foreign)
        self.core.log.info("server_restarted", server=state.server)
        return True

    def _mark_dead(self, home_server: HomeServer) -> None:
        home_server.dead_incarnations.append(home_server.ledger.state.incarnation)
        del home_server.dead_incarnations[:-MAX_DEAD_INCARNATIONS]

    def _check_confirmed(self, home_server: HomeServer, now: float) -> bool:
        # A lease requested after the wait proves that this roster was still in force then. Without
        # it, a former home that never saw this roster could continue lending under the next one.
        if not home_server.confirmed and now >= home_server.lends_from:
            home_server.confirmed = self.feed.lease_until >= home_server.lends_from + self.lease_s
        return home_server.confirmed

    def _earliest_lending(self) -> float:
        return self.roster_seen_at + self.lease_s + slots.LOAN_DURATION_S

    def _update_lease(self, now: float) -> None:
        if self.feed.current.roster_epoch == self.roster_epoch:
            self.lease_until = self.feed.lease_until
        left_s = self.feed.lease_until - now
        if left_s > MIN_LEASE_S:
            self.lease_s = max(self.lease_s, left_s + LEASE_SAMPLE_MARGIN_S)

    async def _on_roster_change(self, current: configuration.Configuration) -> None:
        if current.roster_epoch == self.roster_epoch:
            return
        now = self.core.clock.monotonic()
        # With an unbroken lease, no other host can have lent these slots. After a gap, another home
        # may have lent them in the meantime.
        unbroken = now < self.lease_until
        self.roster_epoch = current.roster_epoch
        self.roster_seen_at = now
        self.lease_until = self.feed.lease_until
        self._update_lease(now)
        for name, home_server in list(self.servers.items()):
            if home_server.ledger is None:
                if not unbroken:
                    self._require_confirmation(home_server)
                continue
            state = home_server.ledger.state
            target = home_of(name, state.data_centre, current.roster)
            if target != self.core.host.name:
                del self.servers[name]
                if unbroken and home_server.confirmed and home_server.ledger.foreign is not None:
                    await self.handoffs.put((target, self._make_handoff(home_server, now)))
            elif not unbroken:
                self._reset_server(home_server)

    async def _on_out_change(self, current: configuration.Configuration) -> None:
        """Reset the servers of a data centre that is back in service to their cold limit."""
        returned, self.out = self.out - current.out, current.out
        if not returned:
            return
        # The limits from other homes date from before the data centre was taken out.
        self.last_limits.clear()
        now = self.core.clock.monotonic()
        for home_server in self.servers.values():
            if home_server.ledger is not None and home_server.ledger.state.data_centre in returned:
                home_server.ledger.reset_to_cold(now)

    def _reset_server(self, home_server: HomeServer) -> None:
        limit = home_server.ledger.limit
        home_server.ledger = slots.SlotLedger(
            home_server.ledger.state, home_server.ledger.engine, foreign=None
        )
        home_server.ledger.limit = limit
        self._require_confirmation(home_server)

    def _require_confirmation(self, home_server: HomeServer) -> None:
        """Lend no slots until a former home's loans have expired and this home is confirmed."""
        home_server.lends_from = self._earliest_lending()
        home_server.confirmed = False

    def _make_handoff(self, home_server: HomeServer, now: float) -> messages.Handoff:
        ledger = home_server.ledger
        load = _load_with_age(ledger, now)
        return messages.Handoff(
            self.core.host.name,
            self.roster_epoch,
            ledger.state,
            load,
            ledger.limit,
            ledger.is_warm(),
            ledger.running(),
            ledger.foreign,
            home_server.dead_incarnations,
        )
