"""What the stand-ins for backend servers share: identity, announcements, orders."""

import collections
import random

import curio
import msgspec

from ebonywheel import exceptions, http, httpclient, kernel, messages

ANNOUNCE_S = 0.5
ANNOUNCE_TIMEOUT_S = 2.0
MAX_BODY_BYTES = 4 * 1024 * 1024
INCARNATION_HEADER = "x-incarnation"


class StandInSettings(msgspec.Struct):
    """Who a stand-in is and whom it announces itself to.

    Attributes:
        entries: HTTP addresses of entry hosts; each announcement goes to one at random.
        report_lag_s: Age of the load reports that it sends.
        seed: Seed of its random choices.
        lost_cache_events: Share of the cache events that are never sent.
    """

    name: str
    environment: str
    data_centre: str
    address: str
    engine: str
    entries: list[str]
    secret: str
    report_lag_s: float = 0.5
    seed: int = 1
    lost_cache_events: float = 0.1


class Order(msgspec.Struct):
    """An order from the system."""

    kind: str
    argument: str
    sequence: int


class Announcer:
    """Announces a stand-in to the system until the process ends."""

    def __init__(self, core: kernel.Kernel, settings: StandInSettings, total_blocks: int = 0):
        self.core = core
        self.settings = settings
        self.random = random.Random(settings.seed)
        self.state = messages.ServerState(
            settings.name,
            int(core.clock.wall() * 1e6),
            settings.environment,
            settings.data_centre,
            settings.address,
            settings.engine,
            "ready",
            total_blocks,
        )
        self.reports: list[tuple[float, messages.ServerLoad]] = []
        self.events: collections.deque[tuple[float, messages.CacheEvent]] = collections.deque()
        self.last_order = 0

    async def start(self) -> None:
        """Start announcing."""
        await self.core.spawn(self._announce_often(), essential=True)

    def check_incarnation(self, request: http.Request) -> None:
        """Refuse a request that is meant for another incarnation.

        Raises:
            HttpError: The incarnation is another one.
        """
        wanted = request.headers.get(INCARNATION_HEADER)
        if wanted is not None and wanted != str(self.state.incarnation):
            raise exceptions.HttpError("another incarnation", "check", self.settings.name, 409)

    async def order(self, exchange: http.Exchange, fencing: bool) -> None:
        """Take an order, refusing an old fencing number if this stand-in checks it."""
        order = exchange.request.decode(Order)
        if fencing and order.sequence <= self.last_order:
            raise exceptions.HttpError("old fencing number", "order", self.settings.name, 409)
        self.last_order = order.sequence
        self.state.last_order = order.sequence
        self.core.log.info("order", kind=order.kind, argument=order.argument)
        await exchange.respond_json(200, order)

    def load(self) -> messages.ServerLoad:
        """Return the load now; a stand-in with load overrides this."""
        return messages.ServerLoad(self.settings.name, self.state.incarnation)

    def cache_events(self) -> list[messages.CacheEvent]:
        """Return the changes of the prefix cache since the last announcement."""
        return []

    async def _announce_often(self) -> None:
        while True:
            now = self.core.clock.monotonic()
            self.reports.append((now, self.load()))
            message = messages.Announce(self.state, self._lagging_report(now), self._cache(now))
            for address in self.random.sample(self.settings.entries, len(self.settings.entries)):
                if await self._announce_to(address, message):
                    break
            await curio.sleep(ANNOUNCE_S)

    async def _announce_to(self, address: str, message: messages.Announce) -> bool:
        self.state.sequence += 1
        connection = httpclient.ClientConnection(address)
        headers = [("authorization", f"Server {self.settings.secret}")]
        try:
            await connection.connect(ANNOUNCE_TIMEOUT_S)
            body = msgspec.json.encode(message)
            await connection.request("POST", "/v1/servers", headers, body, ANNOUNCE_TIMEOUT_S)
            head = await connection.response(ANNOUNCE_TIMEOUT_S)
            self.core.metrics.count("announcements", status=str(head.status))
            return head.status == 200
        except exceptions.UpstreamError:
            return False
        finally:
            await connection.close()

    def _cache(self, now: float) -> list[messages.CacheEvent]:
        """Return the cache events that are due, as old as the load reports and with gaps."""
        for event in self.cache_events():
            if self.random.random() >= self.settings.lost_cache_events:
                self.events.append((now, event))
        due = []
        while self.events and self.events[0][0] <= now - self.settings.report_lag_s:
            due.append(self.events.popleft()[1])
        return due

    def _lagging_report(self, now: float) -> messages.ServerLoad:
        while len(self.reports) > 1 and self.reports[1][0] <= now - self.settings.report_lag_s:
            self.reports.pop(0)
        taken_at, load = self.reports[0]
        load.age_ms = int((now - taken_at) * 1000)
        return load
