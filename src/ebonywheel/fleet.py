"""An entry host's knowledge of all backend servers, and the borrowing of their slots.

Each backend server has one home entry host, which lends its slots. Entry hosts exchange views of
their servers, reports of the slots in use, and releases.
"""

import typing

import curio
import msgspec

from ebonywheel import (
    announcements,
    configuration,
    exceptions,
    feed,
    home,
    kernel,
    link,
    messages,
    slots,
    viewsender,
)

UPDATE_INTERVAL_S = 0.25
BORROW_TIMEOUT_S = 0.5
STALE_VIEW_RETENTION_S = 600.0
# This host applies all changes of its own servers at once.
LOCAL_SCHEDULE = viewsender.UpdateSchedule(0.0, 0.0, 0.0)
RELEASE_ATTEMPTS = 5
RELEASE_RETRY_INTERVAL_S = 0.5
HANDOFF_RETRY_INTERVAL_S = 0.1
HANDOFF_ATTEMPTS = 20


class KnownServer(msgspec.Struct):
    """A backend server as last reported by its home.

    Attributes:
        view: The reported view.
        roster_epoch: Version of the roster under which the home reported it.
        received_at: When the view or its last delta arrived, on the monotonic clock.
    """

    view: messages.ServerView
    roster_epoch: int
    received_at: float


class Fleet:
    """All known backend servers, and the slots that this host has borrowed.

    Attributes:
        servers: Known backend servers by name, including those whose home is silent.
        holdings: Slots that this host has in use, by loan.
        links: Connections to other entry hosts, by host.
        peers: What was last sent to each other entry host, by host and incarnation.
        local_views: The views of its own servers that this host last applied.
        last_update_at: When the last update of each home arrived, by host.
        changed: Notified whenever a slot may have become free.
        loan_expires_at: When each loan that is not in use yet expires, by loan.
        on_release: Functions called with each released slot and the outcome.
    """

    def __init__(self, core: kernel.Kernel, config_feed: feed.Feed, local_home: home.Home):
        self.core = core
        self.feed = config_feed
        self.home = local_home
        self.servers: dict[str, KnownServer] = {}
        self.holdings: dict[str, messages.Holding] = {}
        self.links: dict[str, link.Link] = {}
        self.peers: dict[tuple[str, int], viewsender.PeerState] = {}
        self.local_views = viewsender.PeerState(own_region=True)
        self.last_update_at: dict[str, float] = {}
        self.changed = curio.Condition()
        self.loan_expires_at: dict[str, float] = {}
        self.on_release: list[typing.Callable[[messages.Holding, str], None]] = []

    async def start(self) -> None:
        """Start the tasks that update other entry hosts and reclaim orphaned work."""
        await self.core.spawn(self._publish_views(), essential=True)
        await self.core.spawn(self._report_holdings(), essential=True)
        await self.core.spawn(self._process_handoffs(), essential=True)
        await self.core.spawn(self.home.reclaim_periodically(), essential=True)

    def ready_views(
        self, engine: str, current: configuration.Configuration
    ) -> list[messages.ServerView]:
        """Return the ready backend servers of an engine whose views are fresh."""
        now = self.core.clock.monotonic()
        return [
            known.view
            for known in self.servers.values()
            if self._is_fresh(known, now)
            and known.view.state.engine == engine
            and known.view.state.state == "ready"
            and known.view.state.data_centre not in current.out
        ]

    def find(self, server: str) -> messages.ServerView | None:
        """Return the view of a backend server, or None if it is unknown."""
        known = self.servers.get(server)
        return None if known is None else known.view

    def last_state(self, server: str) -> messages.ServerState | None:
        """Return the last known state of a backend server, even if its home is gone."""
        known = self.servers.get(server)
        return None if known is None else known.view.state

    async def handle(self, message: msgspec.Struct) -> msgspec.Struct:
        """Process one message of another entry host and return the reply."""
        match message:
            case messages.Announce():
                self.home.announce(message)
            case messages.FleetUpdate():
                await self._apply_update(message)
            case messages.Borrow():
                return self.home.lend(message)
            case messages.Holdings():
                self.home.update_holdings(message)
            case messages.Release():
                await self._handle_release(message)
            case messages.Handoff():
                self.home.take_over(message)
            case messages.DeathNotice():
                await self.home.handle_death(message)
            case _:
                raise exceptions.FrameError(f"unexpected {type(message).__name__}", "dispatch")
        return messages.Ack()

    async def announce(self, message: messages.Announce) -> str:
        """Forward an announcement to the backend server's home and return the home's name.

        Raises:
            NotRunError: The home did not accept it or could not be reached.
        """
        current = self.feed.require_lease()
        state = message.state
        announcements.check(current, state)
        name = home.home_of(state.server, state.data_centre, current.roster)
        if name == self.core.host.name:
            self.home.announce(message)
            return name
        try:
            await self._link_to(name).call(message)
        except exceptions.LinkError as error:
            raise exceptions.NotRunError(error.text, "announce", error.peer) from error
        return name

    async def borrow(self, request: messages.Borrow, home_host: str) -> messages.Loan:
        """Borrow one slot from a backend server's home.

        Raises:
            NotRunError: The home lent no slot, or the loan arrived after it had expired.
        """
        asked_at = self.core.clock.monotonic()
        if home_host == self.core.host.name:
            loan = self.home.lend(request)
        else:
            loan = await self._borrow_from(home_host, request)
        # The loan's duration counts from the request, on this host's own monotonic clock.
        expires_at = asked_at + loan.duration_ms / 1000
        if self.core.clock.monotonic() > expires_at:
            await self._return_loan(home_host, request)
            raise exceptions.NotRunError("loan arrived after it expired", "borrow", home_host)
        self.loan_expires_at[request.loan] = expires_at
        return loan

    def check_loan(self, holding: messages.Holding) -> None:
        """Check that a loan has not expired, and mark it as used.

        Call it right before work is sent under the loan.

        Raises:
            NotRunError: The loan expired, for example during a pause of this process.
        """
        expires_at = self.loan_expires_at.pop(holding.loan, float("-inf"))
        if self.core.clock.monotonic() >= expires_at:
            raise exceptions.NotRunError("the loan expired before use", "use loan")

    async def _borrow_from(self, home_host: str, request: messages.Borrow) -> messages.Loan:
        try:
            return await self._link_to(home_host).call(request, BORROW_TIMEOUT_S)
        except exceptions.RemoteError as error:
            raise exceptions.NotRunError(error.text, "borrow", error.peer) from error
        except exceptions.LinkError as error:
            await self._return_loan(home_host, request)
            raise exceptions.NotRunError(error.text, "borrow", error.peer) from error

    async def _return_loan(self, home_host: str, request: messages.Borrow) -> None:
        message = messages.Release(request.loan, request.server, request.incarnation, 0, "unused")
        await self.core.spawn(self._send_release(home_host, message))

    def add_holding(self, holding: messages.Holding) -> None:
        """Record a slot as in use."""
        self.holdings[holding.loan] = holding

    async def adopt(self, holding: messages.Holding) -> None:
        """Take over a slot in use from another entry host and notify the server's home at once."""
        self.add_holding(holding)
        known = self.servers.get(holding.server)
        if known is None:
            return
        if known.view.home == self.core.host.name:
            self.home.adopt(self.core.host.name, holding)
            return
        message = messages.Holdings(self.core.host.name, self.feed.incarnation, [holding])
        await self._send(known.view.home, message)

    async def release(self, holding: messages.Holding, outcome: str) -> None:
        """Release a slot and notify the server's home.

        Args:
            holding: The slot.
            outcome: ``finished``, ``cancelled``, ``unused``, ``detached`` if the caller may
                reconnect to the stream, or ``failed`` if the work may still run at the backend
                server.
        """
        self.holdings.pop(holding.loan, None)
        self.loan_expires_at.pop(holding.loan, None)
        for hook in self.on_release:
            hook(holding, outcome)
        message = messages.Release(
            holding.loan, holding.server, holding.incarnation, holding.tokens, outcome
        )
        known = self.servers.get(holding.server)
        if known is not None and known.view.home == self.core.host.name:
            await self._handle_release(message)
        elif known is not None:
            await self.core.spawn(self._send_release(known.view.home, message))
        await self._notify_changed()

    async def _send_release(self, home_host: str, message: messages.Release) -> None:
        for _ in range(RELEASE_ATTEMPTS):
            try:
                await self._link_to(home_host).call(message)
                return
            except exceptions.RemoteError:
                return
            except exceptions.LinkError:
                self.core.metrics.count("home_unreachable")
            await curio.sleep(RELEASE_RETRY_INTERVAL_S)
            known = self.servers.get(message.server)
            home_host = known.view.home if known is not None else home_host

    async def _handle_release(self, message: messages.Release) -> None:
        home_host = self._home_by_roster(message.server)
        if message.server not in self.home.servers and home_host not in ("", self.core.host.name):
            await self._send(home_host, message)
            return
        self.home.release(message)
        await self._notify_changed()

    def _home_by_roster(self, server: str) -> str:
        known = self.servers.get(server)
        if known is None:
            return ""
        data_centre = known.view.state.data_centre
        return home.home_of(server, data_centre, self.feed.current.roster)

    async def report_death(self, server: str, incarnation: int) -> None:
        """Report the death of a backend server's incarnation to its home, and forget the server."""
        known = self.servers.get(server)
        if known is not None and known.view.state.incarnation == incarnation:
            await self._notify_home(server, messages.DeathNotice(server, incarnation))
            self.servers.pop(server, None)

    def _link_to(self, host: str) -> link.Link:
        roster_entry = self.feed.current.roster.get(host)
        if roster_entry is None:
            raise exceptions.LinkError("not in the roster", "find host", host)
        host_link = self.links.get(host)
        if host_link is None or host_link.address != roster_entry.address:
            delay_s = self.feed.settings.link_delay_ms / 1000
            host_link = self.links[host] = link.Link(
                self.core, f"entry:{host}", roster_entry.address, delay_s
            )
        return host_link

    async def _notify_home(self, server: str, message: msgspec.Struct) -> None:
        known = self.servers.get(server)
        if known is None:
            return
        if known.view.home == self.core.host.name:
            await self.handle(message)
            return
        try:
            await self._link_to(known.view.home).call(message, BORROW_TIMEOUT_S)
        except exceptions.LinkError:
            self.core.metrics.count("home_unreachable")

    async def _apply_update(self, message: messages.FleetUpdate) -> None:
        now = self.core.clock.monotonic()
        self.last_update_at[message.host] = now
        for view in message.servers:
            known = self.servers.get(view.state.server)
            if known is not None and known.roster_epoch > message.roster_index:
                continue
            self.servers[view.state.server] = KnownServer(view, message.roster_index, now)
            if view.limit and view.home != self.core.host.name:
                self.home.note_limit(view)
        for delta in message.deltas:
            self._apply_delta(message.host, delta, now)
        if message.servers or message.deltas:
            await self._notify_changed()

    def _apply_delta(self, host: str, delta: messages.ViewDelta, now: float) -> None:
        known = self.servers.get(delta.server)
        if known is None or known.view.home != host:
            return
        if known.view.state.incarnation == delta.incarnation:
            known.view = viewsender.apply_delta(known.view, delta)
            known.received_at = now

    async def _notify_changed(self) -> None:
        async with self.changed:
            await self.changed.notify_all()

    async def _publish_views(self) -> None:
        while True:
            views = self.home.views()
            home_servers = frozenset(self.home.servers)
            local_update = self.local_views.pending_update(
                views, home_servers, LOCAL_SCHEDULE, self.core.clock.monotonic()
            )
            await self._apply_update(self._make_update(local_update.views, local_update.deltas))
            self._drop_stale_views()
            await self._publish_to_peers(views)
            await curio.sleep(UPDATE_INTERVAL_S)

    async def _publish_to_peers(self, views: list[messages.ServerView]) -> None:
        now = self.core.clock.monotonic()
        roster = self.feed.current.roster
        home_servers = frozenset(self.home.servers)
        keys = {(host, entry.incarnation) for host, entry in roster.items()}
        self.peers = {key: peer for key, peer in self.peers.items() if key in keys}
        for key in keys:
            if key[0] == self.core.host.name:
                continue
            own_region = self._in_own_region(key[0])
            peer = self.peers.get(key)
            if peer is None or peer.own_region != own_region:
                peer = self.peers[key] = viewsender.PeerState(own_region)
            pending = peer.pending_update(views, home_servers, self._schedule(own_region), now)
            if pending is not None:
                update = self._make_update(pending.views, pending.deltas)
                await self.core.spawn(self._send_update(key, update))

    async def _send_update(self, key: tuple[str, int], update: messages.FleetUpdate) -> None:
        if not await self._send(key[0], update):
            # The update may be lost: send everything again next time.
            self.peers.pop(key, None)

    def _make_update(
        self, views: list[messages.ServerView], deltas: list[messages.ViewDelta]
    ) -> messages.FleetUpdate:
        return messages.FleetUpdate(
            self.core.host.name,
            self.feed.incarnation,
            self.feed.current.roster_epoch,
            views,
            deltas,
        )

    def _in_own_region(self, host: str) -> bool:
        current = self.feed.current
        entry = current.roster.get(host)
        if entry is None or current.document is None:
            return False
        regions = current.document.regions
        own_data_centre = self.core.host.data_centre
        return regions.get(entry.data_centre) == regions.get(own_data_centre)

    def _schedule(self, own_region: bool) -> viewsender.UpdateSchedule:
        count = sum(1 for peer in self.peers.values() if peer.own_region == own_region)
        return (
            viewsender.own_region_schedule(count)
            if own_region
            else viewsender.other_region_schedule(count)
        )

    def _drop_stale_views(self) -> None:
        # A home sends only changes to what it has sent before. A stale view becomes valid again
        # with the next update of its home, so it is kept for longer than it is used.
        now = self.core.clock.monotonic()
        for name, known in list(self.servers.items()):
            if now > self._last_confirmed_at(known) + STALE_VIEW_RETENTION_S:
                del self.servers[name]

    def _last_confirmed_at(self, known: KnownServer) -> float:
        return max(known.received_at, self.last_update_at.get(known.view.home, known.received_at))

    def _is_fresh(self, known: KnownServer, now: float) -> bool:
        home_host = known.view.home
        stale_after_s = self._schedule(self._in_own_region(home_host)).stale_after_s()
        return now <= self._last_confirmed_at(known) + stale_after_s

    async def _report_holdings(self) -> None:
        while True:
            await curio.sleep(slots.holdings_interval_s(len(self.holdings)))
            by_home: dict[str, list[messages.Holding]] = {}
            for holding in self.holdings.values():
                known = self.servers.get(holding.server)
                if known is not None:
                    by_home.setdefault(known.view.home, []).append(holding)
            for host, holdings in by_home.items():
                message = messages.Holdings(self.core.host.name, self.feed.incarnation, holdings)
                if host == self.core.host.name:
                    self.home.update_holdings(message)
                else:
                    await self.core.spawn(self._send(host, message))

    async def _process_handoffs(self) -> None:
        while True:
            target, message = await self.home.handoffs.get()
            await self.core.spawn(self._send_handoff(target, message))

    async def _send_handoff(self, target: str, message: messages.Handoff) -> None:
        # The new home may receive the new roster slightly later than this host.
        for _ in range(HANDOFF_ATTEMPTS):
            try:
                await self._link_to(target).call(message, BORROW_TIMEOUT_S)
                self.core.metrics.count("servers_handed_over")
                return
            except exceptions.LinkError:
                await curio.sleep(HANDOFF_RETRY_INTERVAL_S)
        self.core.metrics.count("handoffs_failed")

    async def _send(self, host: str, message: msgspec.Struct) -> bool:
        try:
            await self._link_to(host).send(message)
        except exceptions.LinkError:
            self.core.metrics.count("fleet_errors", peer=host)
            return False
        return True
