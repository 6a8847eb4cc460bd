"""Common part of the stand-ins for backend servers: identity, announcements and orders."""

import collections
import random

import curio
import msgspec

from ebonywheel import exceptions, http, httpclient, kernel, messages

ANNOUNCE_INTERVAL_S = 0.5
ANNOUNCE_TIMEOUT_S = 2.0
MAX_BODY_BYTES = 4 * 1024 * 1024
INCARNATION_HEADER = "x-incarnation"


class StandInSettings(msgspec.Struct):
    """Identity of a stand-in, and how it announces itself.

    Attributes:
        address: HTTP address (ip:port) that it listens on and announces.
        engine: Name of its entry under `engines` in the document.
        entries: HTTP addresses of entry hosts; each announcement goes to one that accepts it, tried
            in random order.
        secret: Secret that it announces itself with.
        report_lag_s: Age of the load reports and cache events that it sends.
        seed: Seed of the random number generator.
        lost_cache_events: Fraction of the cache events that are dropped instead of sent.
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
    """An order from the system.

    Attributes:
        sequence: Fencing number; a server that checks it refuses an order that is not newer.
    """

    kind: str
    argument: str
    sequence: int


class Announcer:
    """Announces a stand-in to the system until the process ends.

    Attributes:
        load_reports: Load reports with the time they were taken, oldest first.
        pending_cache_events: Cache events not yet sent, with the time they occurred.
        last_order: Fencing number of the last order accepted.
    """

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
        self.load_reports: list[tuple[float, messages.ServerLoad]] = []
        self.pending_cache_events: collections.deque[tuple[float, messages.CacheEvent]] = (
            collections.deque()
        )
        self.last_order = 0

    async def start(self) -> None:
        """Start announcing."""
        await self.core.spawn(self._announce_periodically(), essential=True)

    def check_incarnation(self, request: http.Request) -> None:
        """Refuse a request that is addressed to another incarnation.

        Raises:
            HttpError: The request names another incarnation.
        """
        expected = request.headers.get(INCARNATION_HEADER)
        if expected is not None and expected != str(self.state.incarnation):
            raise exceptions.HttpError(
                "request names another incarnation", "check", self.settings.name, 409
            )

    async def handle_order(self, exchange: http.Exchange, fencing: bool) -> None:
        """Accept an order, or refuse it if `fencing` is set and its fencing number is not newer.

        Raises:
            HttpError: The fencing number is not newer than the last order's.
        """
        order = exchange.request.decode(Order)
        if fencing and order.sequence <= self.last_order:
            raise exceptions.HttpError(
                "fencing number is not newer than the last order's",
                "order",
                self.settings.name,
                409,
            )
        self.last_order = order.sequence
        self.state.last_order = order.sequence
        self.core.log.info("order", kind=order.kind, argument=order.argument)
        await exchange.respond_json(200, order)

    def load(self) -> messages.ServerLoad:
        """Return the current load: none, unless a subclass overrides this."""
        return messages.ServerLoad(self.settings.name, self.state.incarnation)

    def take_cache_events(self) -> list[messages.CacheEvent]:
        """Return the changes of the prefix cache since the last call: none, unless overridden."""
        return []

    async def _announce_periodically(self) -> None:
        while True:
            now = self.core.clock.monotonic()
            self.load_reports.append((now, self.load()))
            message = messages.Announce(
                self.state, self._delayed_load_report(now), self._delayed_cache_events(now)
            )
            for address in self.random.sample(self.settings.entries, len(self.settings.entries)):
                if await self._announce_to(address, message):
                    break
            await curio.sleep(ANNOUNCE_INTERVAL_S)

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

    def _delayed_cache_events(self, now: float) -> list[messages.CacheEvent]:
        """Return the cache events old enough to send; some are lost, as in a real engine."""
        for event in self.take_cache_events():
            if self.random.random() >= self.settings.lost_cache_events:
                self.pending_cache_events.append((now, event))
        due = []
        while (
            self.pending_cache_events
            and self.pending_cache_events[0][0] <= now - self.settings.report_lag_s
        ):
            due.append(self.pending_cache_events.popleft()[1])
        return due

    def _delayed_load_report(self, now: float) -> messages.ServerLoad:
        while (
            len(self.load_reports) > 1
            and self.load_reports[1][0] <= now - self.settings.report_lag_s
        ):
            self.load_reports.pop(0)
        taken_at, load = self.load_reports[0]
        load.age_ms = int((now - taken_at) * 1000)
        return load
