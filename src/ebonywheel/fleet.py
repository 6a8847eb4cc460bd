"""What this entry host knows of all backend servers, and how it borrows their slots."""

import curio
import msgspec

from ebonywheel import configuration, exceptions, feed, home, kernel, link, messages

UPDATE_S = 0.25
VIEW_STALE_S = 3.0
BORROW_TIMEOUT_S = 0.5
HOLDINGS_S = 0.5


class KnownServer(msgspec.Struct):
    """A backend server as its home last described it."""

    view: messages.ServerView
    roster_epoch: int
    heard_at: float


class Fleet:
    """Backend servers by name, kept fresh by their homes.

    Attributes:
        servers: All backend servers lately heard of.
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
        self.changed = curio.Condition()

    async def start(self) -> None:
        """Start telling other entry hosts and homes."""
        await self.core.spawn(self._tell_views(), essential=True)
        await self.core.spawn(self._tell_holdings(), essential=True)

    def candidates(
        self, engine: str, current: configuration.Configuration
    ) -> list[messages.ServerView]:
        """Return the backend servers that may be given new work now."""
        now = self.core.clock.monotonic()
        return [
            known.view
            for known in self.servers.values()
            if now <= known.heard_at + VIEW_STALE_S
            and known.view.state.engine == engine
            and known.view.state.state == "ready"
            and known.view.state.data_centre not in current.out
        ]

    def find(self, server: str) -> messages.ServerView | None:
        """Return a backend server by name."""
        known = self.servers.get(server)
        return None if known is None else known.view

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
                self.home.release(message)
                await self._notify()
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
        home.check_announcement(current, state)
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
            try:
                loan = await self._link(home_host).call(request, BORROW_TIMEOUT_S)
            except exceptions.LinkError as error:
                raise exceptions.NotRunError(error.text, "borrow", error.peer) from error
        # The loan counts from the asking, on this host's own monotonic clock.
        if self.core.clock.monotonic() > asked_at + loan.duration_ms / 1000:
            raise exceptions.NotRunError("loan came too late", "borrow", home_host)
        return loan

    def hold(self, holding: messages.Holding) -> None:
        """Note a slot as in use."""
        self.holdings[holding.loan] = holding

    async def release(self, holding: messages.Holding, outcome: str) -> None:
        """Give a slot back."""
        self.holdings.pop(holding.loan, None)
        message = messages.Release(
            holding.loan, holding.server, holding.incarnation, holding.tokens, outcome
        )
        await self._tell_home(holding.server, message)
        await self._notify()

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
        for view in message.servers:
            known = self.servers.get(view.state.server)
            if known is not None and known.roster_epoch > message.roster_index:
                continue
            self.servers[view.state.server] = KnownServer(view, message.roster_index, now)
        await self._notify()

    async def _notify(self) -> None:
        async with self.changed:
            await self.changed.notify_all()

    async def _tell_views(self) -> None:
        while True:
            update = messages.FleetUpdate(
                self.core.host.name,
                self.feed.incarnation,
                self.feed.current.roster_epoch,
                self.home.views(),
            )
            await self._take_update(update)
            self._drop_stale()
            for host in list(self.feed.current.roster):
                if host != self.core.host.name and update.servers:
                    await self.core.spawn(self._send(host, update))
            await curio.sleep(UPDATE_S)

    def _drop_stale(self) -> None:
        before = self.core.clock.monotonic() - VIEW_STALE_S
        for name, known in list(self.servers.items()):
            if known.heard_at < before:
                del self.servers[name]

    async def _tell_holdings(self) -> None:
        while True:
            await curio.sleep(HOLDINGS_S)
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

    async def _send(self, host: str, message: msgspec.Struct) -> None:
        try:
            await self._link(host).send(message)
        except exceptions.LinkError:
            self.core.metrics.count("fleet_errors", peer=host)
