"""What this entry host knows of all backend servers, and how it borrows their slots."""

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

UPDATE_S = 0.25
BORROW_TIMEOUT_S = 0.5
FORMER_KEPT_S = 600.0
OWN_TIER = viewsender.Tier(0.0, 0.0, 0.0)
RELEASE_TRIES = 5
RELEASE_RETRY_S = 0.5
HANDOFF_RETRY_S = 0.1
HANDOFF_TRIES = 20


class KnownServer(msgspec.Struct):
    """A backend server as its home last described it."""

    view: messages.ServerView
    roster_epoch: int
    heard_at: float


class Fleet:
    """Backend servers by name, kept fresh by their homes.

    Attributes:
        servers: All backend servers heard of, also those whose home has gone silent.
        holdings: Slots that this host has in use, by loan.
        changed: Notified whenever a slot may have come free.
    """

    def __init__(self, core: kernel.Kernel, source: feed.Feed, own: home.Home):
        self.core = core
        self.feed = source
        self.home = own
        self.servers: dict[str, KnownServer] = {}
        self.holdings: dict[str, messages.Holding] = {}
        self.links: dict[str, link.Link] = {}
        self.peers: dict[tuple[str, int], viewsender.Peer] = {}
        self.own = viewsender.Peer(near=True)
        # When each home was last heard of.
        self.homes_heard: dict[str, float] = {}
        self.changed = curio.Condition()
        # Until when a loan that is not in use yet may be used.
        self.loan_until: dict[str, float] = {}
        # Called with each slot given back and the outcome.
        self.on_release: list[typing.Callable[[messages.Holding, str], None]] = []

    async def start(self) -> None:
        """Start telling other entry hosts and homes."""
        await self.core.spawn(self._tell_views(), essential=True)
        await self.core.spawn(self._tell_holdings(), essential=True)
        await self.core.spawn(self._hand_over_servers(), essential=True)
        await self.core.spawn(self.home.reclaim_often(), essential=True)

    def candidates(
        self, engine: str, current: configuration.Configuration
    ) -> list[messages.ServerView]:
        """Return the backend servers that may be given new work now."""
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
        """Return a backend server by name."""
        known = self.servers.get(server)
        return None if known is None else known.view

    def locate(self, server: str) -> messages.ServerState | None:
        """Return where a backend server was last known to be, though its home may be gone."""
        known = self.servers.get(server)
        return None if known is None else known.view.state

    async def handle(self, message: msgspec.Struct) -> msgspec.Struct:
        """Answer one message from another entry host."""
        match message:
            case messages.Announce():
                self.home.announce(message)
            case messages.FleetUpdate():
                await self._take_update(message)
            case messages.Borrow():
                return self.home.lend(message)
            case messages.Holdings():
                self.home.hold(message)
            case messages.Release():
                await self._take_release(message)
            case messages.Handoff():
                self.home.take_over(message)
            case messages.DeathNotice():
                await self.home.died(message)
            case _:
                raise exceptions.FrameError(f"unexpected {type(message).__name__}", "dispatch")
        return messages.Ack()

    async def announce(self, message: messages.Announce) -> str:
        """Pass an announcement to the backend server's home and return the home's name.

        Raises:
            NotRunError: No home could take it.
        """
        current = self.feed.require_lease()
        state = message.state
        announcements.check(current, state)
        name = home.home_of(state.server, state.data_centre, current.roster)
        if name == self.core.host.name:
            self.home.announce(message)
            return name
        try:
            await self._link(name).call(message)
        except exceptions.LinkError as error:
            raise exceptions.NotRunError(error.text, "announce", error.peer) from error
        return name

    async def borrow(self, request: messages.Borrow, home_host: str) -> messages.Loan:
        """Borrow one slot from a backend server's home.

        Raises:
            NotRunError: None was lent.
        """
        asked_at = self.core.clock.monotonic()
        if home_host == self.core.host.name:
            loan = self.home.lend(request)
        else:
            loan = await self._borrow_from(home_host, request)
        # The loan counts from the asking, on this host's own monotonic clock.
        until = asked_at + loan.duration_ms / 1000
        if self.core.clock.monotonic() > until:
            await self._give_back(home_host, request)
            raise exceptions.NotRunError("loan came too late", "borrow", home_host)
        self.loan_until[request.loan] = until
        return loan

    def check_loan(self, holding: messages.Holding) -> None:
        """Check, right before work is sent under a loan, that the loan may still be used.

        Raises:
            NotRunError: It ran out, as after a pause of this process.
        """
        until = self.loan_until.pop(holding.loan, float("-inf"))
        if self.core.clock.monotonic() >= until:
            raise exceptions.NotRunError("the loan ran out before its use", "use loan")

    async def _borrow_from(self, home_host: str, request: messages.Borrow) -> messages.Loan:
        try:
            return await self._link(home_host).call(request, BORROW_TIMEOUT_S)
        except exceptions.RemoteError as error:
            raise exceptions.NotRunError(error.text, "borrow", error.peer) from error
        except exceptions.LinkError as error:
            await self._give_back(home_host, request)
            raise exceptions.NotRunError(error.text, "borrow", error.peer) from error

    async def _give_back(self, home_host: str, request: messages.Borrow) -> None:
        message = messages.Release(request.loan, request.server, request.incarnation, 0, "unused")
        await self.core.spawn(self._tell_release(home_host, message))

    def hold(self, holding: messages.Holding) -> None:
        """Note a slot as in use."""
        self.holdings[holding.loan] = holding

    async def adopt(self, holding: messages.Holding) -> None:
        """Note a slot as in use that another entry host had, and tell the server's home at once."""
        self.hold(holding)
        known = self.servers.get(holding.server)
        if known is None:
            return
        if known.view.home == self.core.host.name:
            self.home.adopt(self.core.host.name, holding)
            return
        message = messages.Holdings(self.core.host.name, self.feed.incarnation, [holding])
        await self._send(known.view.home, message)

    async def release(self, holding: messages.Holding, outcome: str) -> None:
        """Give a slot back.

        Args:
            holding: The slot.
            outcome: ``finished``, ``cancelled``, ``unused``, ``detached`` when its reader may
                come back for it, or ``failed`` when the work may still run at the backend server.
        """
        self.holdings.pop(holding.loan, None)
        self.loan_until.pop(holding.loan, None)
        for hook in self.on_release:
            hook(holding, outcome)
        message = messages.Release(
            holding.loan, holding.server, holding.incarnation, holding.tokens, outcome
        )
        known = self.servers.get(holding.server)
        if known is not None and known.view.home == self.core.host.name:
            await self._take_release(message)
        elif known is not None:
            await self.core.spawn(self._tell_release(known.view.home, message))
        await self._notify()

    async def _tell_release(self, home_host: str, message: messages.Release) -> None:
        for _ in range(RELEASE_TRIES):
            try:
                await self._link(home_host).call(message)
                return
            except exceptions.RemoteError:
                return
            except exceptions.LinkError:
                self.core.metrics.count("home_unreachable")
            await curio.sleep(RELEASE_RETRY_S)
            known = self.servers.get(message.server)
            home_host = known.view.home if known is not None else home_host

    async def _take_release(self, message: messages.Release) -> None:
        target = self._home_by_roster(message.server)
        if message.server not in self.home.servers and target not in ("", self.core.host.name):
            await self._send(target, message)
            return
        self.home.release(message)
        await self._notify()

    def _home_by_roster(self, server: str) -> str:
        known = self.servers.get(server)
        if known is None:
            return ""
        data_centre = known.view.state.data_centre
        return home.home_of(server, data_centre, self.feed.current.roster)

    async def report_death(self, server: str, incarnation: int) -> None:
        """Tell everybody that a backend server's incarnation has died."""
        known = self.servers.get(server)
        if known is not None and known.view.state.incarnation == incarnation:
            await self._tell_home(server, messages.DeathNotice(server, incarnation))
            self.servers.pop(server, None)

    def _link(self, host: str) -> link.Link:
        entry = self.feed.current.roster.get(host)
        if entry is None:
            raise exceptions.LinkError("not in the roster", "find host", host)
        held = self.links.get(host)
        if held is None or held.address != entry.address:
            delay_s = self.feed.settings.link_delay_ms / 1000
            held = self.links[host] = link.Link(self.core, f"entry:{host}", entry.address, delay_s)
        return held

    async def _tell_home(self, server: str, message: msgspec.Struct) -> None:
        known = self.servers.get(server)
        if known is None:
            return
        if known.view.home == self.core.host.name:
            await self.handle(message)
            return
        try:
            await self._link(known.view.home).call(message, BORROW_TIMEOUT_S)
        except exceptions.LinkError:
            self.core.metrics.count("home_unreachable")

    async def _take_update(self, message: messages.FleetUpdate) -> None:
        now = self.core.clock.monotonic()
        self.homes_heard[message.host] = now
        for view in message.servers:
            known = self.servers.get(view.state.server)
            if known is not None and known.roster_epoch > message.roster_index:
                continue
            self.servers[view.state.server] = KnownServer(view, message.roster_index, now)
            if view.limit and view.home != self.core.host.name:
                self.home.hint(view)
        for delta in message.deltas:
            self._take_delta(message.host, delta, now)
        if message.servers or message.deltas:
            await self._notify()

    def _take_delta(self, host: str, delta: messages.ViewDelta, now: float) -> None:
        known = self.servers.get(delta.server)
        if known is None or known.view.home != host:
            return
        if known.view.state.incarnation == delta.incarnation:
            known.view = viewsender.apply(known.view, delta)
            known.heard_at = now

    async def _notify(self) -> None:
        async with self.changed:
            await self.changed.notify_all()

    async def _tell_views(self) -> None:
        while True:
            views = self.home.views()
            kept = frozenset(self.home.servers)
            own = self.own.due(views, kept, OWN_TIER, self.core.clock.monotonic())
            await self._take_update(self._update(own.views, own.deltas))
            self._drop_stale()
            await self._tell_peers(views)
            await curio.sleep(UPDATE_S)

    async def _tell_peers(self, views: list[messages.ServerView]) -> None:
        now = self.core.clock.monotonic()
        roster = self.feed.current.roster
        kept = frozenset(self.home.servers)
        keys = {(host, entry.incarnation) for host, entry in roster.items()}
        self.peers = {key: peer for key, peer in self.peers.items() if key in keys}
        for key in keys:
            if key[0] == self.core.host.name:
                continue
            near = self._is_near(key[0])
            peer = self.peers.get(key)
            if peer is None or peer.near != near:
                peer = self.peers[key] = viewsender.Peer(near)
            due = peer.due(views, kept, self._tier(near), now)
            if due is not None:
                update = self._update(due.views, due.deltas)
                await self.core.spawn(self._send_views(key, update))

    async def _send_views(self, key: tuple[str, int], update: messages.FleetUpdate) -> None:
        if not await self._send(key[0], update):
            # What was lost is not known: all of it is sent again.
            self.peers.pop(key, None)

    def _update(
        self, views: list[messages.ServerView], deltas: list[messages.ViewDelta]
    ) -> messages.FleetUpdate:
        return messages.FleetUpdate(
            self.core.host.name,
            self.feed.incarnation,
            self.feed.current.roster_epoch,
            views,
            deltas,
        )

    def _is_near(self, host: str) -> bool:
        current = self.feed.current
        entry = current.roster.get(host)
        if entry is None or current.document is None:
            return False
        regions = current.document.regions
        own = self.core.host.data_centre
        return regions.get(entry.data_centre) == regions.get(own)

    def _tier(self, near: bool) -> viewsender.Tier:
        count = sum(1 for peer in self.peers.values() if peer.near == near)
        return viewsender.near_tier(count) if near else viewsender.far_tier(count)

    def _drop_stale(self) -> None:
        # A home sends only changes of what it has sent: a view may be believed again as soon as its
        # home is heard of again, so it is kept for longer than it is believed.
        now = self.core.clock.monotonic()
        for name, known in list(self.servers.items()):
            if now > self._last_sign(known) + FORMER_KEPT_S:
                del self.servers[name]

    def _last_sign(self, known: KnownServer) -> float:
        return max(known.heard_at, self.homes_heard.get(known.view.home, known.heard_at))

    def _is_fresh(self, known: KnownServer, now: float) -> bool:
        home_host = known.view.home
        stale_s = self._tier(self._is_near(home_host)).stale_s()
        return now <= self._last_sign(known) + stale_s

    async def _tell_holdings(self) -> None:
        while True:
            await curio.sleep(slots.holdings_interval_s(len(self.holdings)))
            by_home: dict[str, list[messages.Holding]] = {}
            for holding in self.holdings.values():
                known = self.servers.get(holding.server)
                if known is not None:
                    by_home.setdefault(known.view.home, []).append(holding)
            for host, held in by_home.items():
                message = messages.Holdings(self.core.host.name, self.feed.incarnation, held)
                if host == self.core.host.name:
                    self.home.hold(message)
                else:
                    await self.core.spawn(self._send(host, message))

    async def _hand_over_servers(self) -> None:
        while True:
            target, message = await self.home.handoffs.get()
            await self.core.spawn(self._hand_over(target, message))

    async def _hand_over(self, target: str, message: messages.Handoff) -> None:
        # The new home may see the new roster a little later than this host.
        for _ in range(HANDOFF_TRIES):
            try:
                await self._link(target).call(message, BORROW_TIMEOUT_S)
                self.core.metrics.count("servers_handed_over")
                return
            except exceptions.LinkError:
                await curio.sleep(HANDOFF_RETRY_S)
        self.core.metrics.count("handoffs_failed")

    async def _send(self, host: str, message: msgspec.Struct) -> bool:
        try:
            await self._link(host).send(message)
        except exceptions.LinkError:
            self.core.metrics.count("fleet_errors", peer=host)
            return False
        return True
