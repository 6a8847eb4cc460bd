"""The program ``ebonywheel-entry``: takes callers' requests and relays the answers."""

import curio
import msgspec

from ebonywheel import (
    callers,
    calls,
    feed,
    fleet,
    generations,
    home,
    http,
    kernel,
    link,
    placement,
    poison,
    program,
    registry,
    retries,
    services,
    settings,
)

DRAIN_POLL_S = 0.1
HAND_OVER_S = 5.0
LEAVE_S = 5.0


class EntryHost:
    """All parts of an entry host."""

    def __init__(self, core: kernel.Kernel, loaded: settings.EntrySettings):
        self.core = core
        self.settings = loaded
        self.feed = feed.Feed(core, loaded)
        self.poison = poison.Poison(core, self.feed)
        self.home = home.Home(core, self.feed, self.poison)
        self.fleet = fleet.Fleet(core, self.feed, self.home)
        self.placer = placement.Placer(core, self.feed, self.fleet)
        shared = (core, self.feed, self.fleet, self.placer, self.poison, retries.RetryBudgets())
        self.parts = services.Parts(
            core.secret,
            core.host.data_centre,
            generations.Generations(*shared),
            calls.Calls(*shared),
        )
        secret = settings.read_secret(loaded.server_secret_file)
        self.callers = callers.Callers(core, self.feed, self.fleet, self.parts, secret)
        self.http = http.Server(core, core.host.http, self.callers.handle, loaded.max_body_bytes)

    async def start(self) -> None:
        """Start serving other processes, then callers."""
        delay_s = self.settings.link_delay_ms / 1000
        await link.LinkServer(self.core, self._handle, delay_s).start()
        self.feed.report = self._report
        await self.feed.start()
        await self.fleet.start()
        await self.http.start()

    async def drain(self) -> None:
        """Wait for all work to end: first still accepting, then refusing new work."""
        await curio.sleep(self.settings.drain_grace_s)
        self.callers.refusing = True
        while self.callers.active or self.parts.calls.unfinished():
            await curio.sleep(DRAIN_POLL_S)

    async def hand_over(self) -> None:
        """End the work in flight: streams go on through other hosts, calls are told the truth."""
        self.core.log.warning("drain_limit", active=len(self.callers.active))
        self.callers.refusing = True
        async with curio.ignore_after(HAND_OVER_S):
            await self.parts.calls.hand_over()
            await self.parts.generations.hand_over()
            while self.parts.calls.unfinished():
                await curio.sleep(DRAIN_POLL_S)
        await self.callers.end_work()
        async with curio.ignore_after(HAND_OVER_S):
            while self.callers.active:
                await curio.sleep(DRAIN_POLL_S)

    async def leave(self) -> None:
        """Leave the roster and let the last answers reach their callers."""
        async with curio.ignore_after(LEAVE_S):
            await self.feed.leave()
        async with curio.ignore_after(http.LINGER_S):
            while self.http.busy or self.http.lingering:
                await curio.sleep(DRAIN_POLL_S)

    async def _handle(self, message: msgspec.Struct, peer: link.PeerInfo) -> msgspec.Struct:
        return await self.fleet.handle(message)

    def _report(self) -> bytes:
        return msgspec.json.encode(
            HostReport(
                len(self.callers.active),
                self.placer.waiting,
                self.feed.current.revision,
                [_server_report(view) for view in self.home.views()],
            )
        )


class ServerReport(msgspec.Struct):
    """A backend server on the status screen."""

    server: str
    incarnation: int
    engine: str
    data_centre: str
    address: str
    state: str
    used: int
    limit: int
    cold: bool
    last_order: int


class HostReport(msgspec.Struct):
    """An entry host on the status screen."""

    busy: int
    waiting: int
    revision: int
    servers: list[ServerReport]


def _server_report(view) -> ServerReport:
    state = view.state
    return ServerReport(
        state.server,
        state.incarnation,
        state.engine,
        state.data_centre,
        state.address,
        state.state,
        view.used,
        view.limit,
        view.cold,
        state.last_order,
    )


async def run(core: kernel.Kernel, loaded: settings.EntrySettings) -> None:
    """Run an entry host until it has drained."""
    registry.load_plugins()
    host = EntryHost(core, loaded)
    await host.start()
    await core.draining.wait()
    if loaded.drain_limit_s is None:
        await host.drain()
    else:
        async with curio.ignore_after(loaded.drain_limit_s) as limit:
            await host.drain()
        if limit.expired:
            await host.hand_over()
    await host.leave()


main = program.server_main(
    "ebonywheel-entry",
    "Take callers' requests and relay the answers of backend servers.",
    settings.EntrySettings,
    run,
)

if __name__ == "__main__":
    main()
