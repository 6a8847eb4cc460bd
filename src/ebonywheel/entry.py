"""The program ``ebonywheel-entry``: accepts callers' requests and relays the responses."""

import curio
import msgspec

from ebonywheel import (
    callers,
    calls,
    feed,
    fleet,
    generations,
    home,
    httpserver,
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

DRAIN_POLL_INTERVAL_S = 0.1
HANDOVER_TIMEOUT_S = 5.0
LEAVE_TIMEOUT_S = 5.0


class EntryHost:
    """Builds, starts and stops the components of an entry host."""

    def __init__(self, core: kernel.Kernel, entry_settings: settings.EntrySettings):
        self.core = core
        self.settings = entry_settings
        self.feed = feed.Feed(core, entry_settings)
        self.poison = poison.PoisonTracker(core, self.feed)
        self.home = home.Home(core, self.feed, self.poison)
        self.fleet = fleet.Fleet(core, self.feed, self.home)
        self.placer = placement.Placer(core, self.feed, self.fleet)
        dependencies = (
            core,
            self.feed,
            self.fleet,
            self.placer,
            self.poison,
            retries.RetryBudgets(core.clock),
        )
        self.context = services.ServiceContext(
            core.secret,
            core.host.data_centre,
            generations.Generations(*dependencies),
            calls.Calls(*dependencies),
        )
        secret = settings.read_secret(entry_settings.server_secret_file)
        self.router = callers.RequestRouter(core, self.feed, self.fleet, self.context, secret)
        self.http = httpserver.Server(
            core, core.host.http, self.router.handle, entry_settings.max_body_bytes
        )
        self.http.check_head = self.router.check_head

    async def start(self) -> None:
        """Start serving other hosts, then callers."""
        delay_s = self.settings.link_delay_ms / 1000
        await link.LinkServer(self.core, self._handle_message, delay_s).start()
        self.feed.encode_load = self._encode_status
        await self.feed.start()
        await self.fleet.start()
        await self.http.start()

    async def drain(self) -> None:
        """Accept new work for the grace period, then refuse it and wait for running work to end."""
        await curio.sleep(self.settings.drain_grace_s)
        self.router.refusing_work = True
        while self.router.active_tasks or self.context.calls.unrecorded_outcomes():
            await curio.sleep(DRAIN_POLL_INTERVAL_S)

    async def hand_over(self) -> None:
        """End running work once the drain limit has passed.

        Streams continue through other entry hosts; callers of plain calls are told whether their
        call ran.
        """
        self.core.log.warning("drain_limit", active=len(self.router.active_tasks))
        self.router.refusing_work = True
        async with curio.ignore_after(HANDOVER_TIMEOUT_S):
            await self.context.calls.cancel_in_flight()
            await self.context.generations.hand_over()
            while self.context.calls.unrecorded_outcomes():
                await curio.sleep(DRAIN_POLL_INTERVAL_S)
        await self.router.cancel_active_tasks()
        async with curio.ignore_after(HANDOVER_TIMEOUT_S):
            while self.router.active_tasks:
                await curio.sleep(DRAIN_POLL_INTERVAL_S)

    async def leave(self) -> None:
        """Leave the roster and wait for the last responses to be delivered."""
        async with curio.ignore_after(LEAVE_TIMEOUT_S):
            await self.feed.leave()
        async with curio.ignore_after(httpserver.LINGER_S):
            while self.http.active_exchanges or self.http.lingering:
                await curio.sleep(DRAIN_POLL_INTERVAL_S)

    async def _handle_message(self, message: msgspec.Struct, peer: link.PeerInfo) -> msgspec.Struct:
        return await self.fleet.handle(message)

    def _encode_status(self) -> bytes:
        return msgspec.json.encode(
            HostReport(
                len(self.router.active_tasks),
                self.placer.waiting,
                self.feed.current.revision,
                [_describe_server(view) for view in self.home.views()],
            )
        )


class ServerReport(msgspec.Struct):
    """A backend server on the status screen.

    Attributes:
        used: Slots in use.
        limit: Slots that may be in use now.
        cold: Whether the server is still ramping up.
        last_order: Fencing number of the last order that it took, 0 when unknown.
    """

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
    """An entry host on the status screen.

    Attributes:
        busy: Number of callers' requests being served.
        waiting: Number of requests that wait for a slot.
        revision: Revision of the configuration in use.
    """

    busy: int
    waiting: int
    revision: int
    servers: list[ServerReport]


def _describe_server(view) -> ServerReport:
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


async def run(core: kernel.Kernel, entry_settings: settings.EntrySettings) -> None:
    """Run an entry host until it has drained or its drain limit has passed."""
    registry.load_plugins()
    host = EntryHost(core, entry_settings)
    await host.start()
    await core.draining.wait()
    if entry_settings.drain_limit_s is None:
        await host.drain()
    else:
        async with curio.ignore_after(entry_settings.drain_limit_s) as limit:
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
