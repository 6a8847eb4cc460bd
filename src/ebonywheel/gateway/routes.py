"""Routing content as typed values, and the choice of a route."""

import enum

import msgspec


class Kind(enum.StrEnum):
    """What may be repeated.

    Attributes:
        IDEMPOTENT: May run any number of times.
        ONCE: Runs at most once.
        STREAM: Runs at most once; the answer is a stream of events.
    """

    IDEMPOTENT = "idempotent"
    ONCE = "once"
    STREAM = "stream"


class Engine(msgspec.Struct, frozen=True):
    """What the model engines of a service can do.

    Attributes:
        slots: Requests that one engine batches.
        memory_tokens: Tokens that fit an engine's memory.
        bytes_per_token: Size of a token's memory when it is copied.
        link_bits_per_s: Speed of the engine's link for copies.
        moves: True when a running request's memory can be copied to another engine.
        backups: True when it can be copied as it grows.
        keeps_copy_s: How long an unused copy is kept.
    """

    slots: int
    memory_tokens: int
    bytes_per_token: float = 0.0
    link_bits_per_s: float = 0.0
    moves: bool = False
    backups: bool = False
    keeps_copy_s: float = 0.0

    def copy_s(self, tokens: int) -> float:
        """Return how long a copy between two engines of one data centre takes."""
        if not self.link_bits_per_s:
            return 0.0
        return tokens * self.bytes_per_token * 8 / self.link_bits_per_s


class Service(msgspec.Struct, frozen=True):
    """A group of like backend servers.

    Attributes:
        health_path: Path that tells whether a server considers itself healthy.
        max_connections: Connections that one server accepts, from all hosts together.
        cold_per_s: Requests a second that a cold server bears, 0 when it bears them all.
        engine: What its model engines can do, None for plain services.
    """

    name: str
    health_path: str = ""
    max_connections: int = 0
    cold_per_s: float = 0.0
    engine: Engine | None = None


class Route(msgspec.Struct, frozen=True):
    """Where requests for a host and path prefix go.

    Attributes:
        splits: Services and their weights; weights are above 0.
        timeout_s: Longest time to keep a caller waiting.
        target_s: Time within which an answer, or a stream's first event, is on time.
        gap_s: Longest pause between two events of a stream that is on time, 0 when not told.
        max_servers: Most servers that may run one request.
        priority: Rank; 0 goes first.
        open: True when callers need no key.
        regions: Regions that may serve it; empty for all.
    """

    name: str
    host: str
    prefix: str
    kind: Kind
    splits: tuple[tuple[str, int], ...]
    timeout_s: float
    target_s: float
    gap_s: float = 0.0
    max_servers: int = 1
    priority: int = 0
    open: bool = False
    regions: frozenset[str] = frozenset()

    def service_for(self, draw: float) -> str:
        """Return the service that a draw from [0, 1) falls on."""
        left = draw * sum(weight for _, weight in self.splits)
        for service, weight in self.splits:
            left -= weight
            if left < 0:
                return service
        return self.splits[-1][0]


class Customer(msgspec.Struct, frozen=True):
    """Who holds a key.

    Attributes:
        priority: Rank that goes before the route's; None where the route's holds.
        regions: Regions that may serve it; empty for all.
    """

    name: str
    priority: int | None = None
    regions: frozenset[str] = frozenset()


class CallerLimits(msgspec.Struct, frozen=True):
    """What a caller may send, and how long it may take."""

    header_bytes: int
    body_bytes: int
    header_s: float
    idle_s: float


class Table:
    """One version of the routing content.

    Attributes:
        version: Its operator's number.
        services: By name.
        customers: By key; None where no key is asked for.
    """

    __slots__ = ("version", "services", "customers", "limits", "by_host")

    def __init__(
        self,
        version: int,
        routes: list[Route],
        services: dict[str, Service],
        customers: dict[str, Customer] | None,
        limits: CallerLimits,
    ):
        self.version = version
        self.services = services
        self.customers = customers
        self.limits = limits
        self.by_host: dict[str, dict[str, Route]] = {}
        for route in routes:
            self.by_host.setdefault(route.host, {})[route.prefix] = route

    def match(self, host: str, path: str) -> Route | None:
        """Return the route with the longest prefix of the path."""
        prefixes = self.by_host.get(host.partition(":")[0].lower())
        if prefixes is None:
            return None
        # Prefixes end with a slash, so only those at a slash of the path can fit.
        end = path.rfind("/") + 1
        while end > 0:
            route = prefixes.get(path[:end])
            if route is not None:
                return route
            end = path.rfind("/", 0, end - 1) + 1
        return None
