"""Decoded routing content, and the matching of requests to routes."""

import enum

import msgspec


class RouteKind(enum.StrEnum):
    """How often the requests of a route may run.

    Attributes:
        IDEMPOTENT: May run any number of times.
        ONCE: Runs at most once.
        STREAM: Runs at most once; the answer is a stream of events.
    """

    IDEMPOTENT = "idempotent"
    ONCE = "once"
    STREAM = "stream"


class Engine(msgspec.Struct, frozen=True):
    """Capabilities and sizes of a service's model engines.

    Attributes:
        slots: Requests that one engine runs in a batch.
        memory_tokens: Memory of one engine, in tokens.
        bytes_per_token: Bytes to transfer for each token of a copied run.
        link_bits_per_s: Throughput of an engine's link for copies.
        supports_moves: True when the memory of a running request can be copied to another engine.
        supports_backups: True when that memory can be copied continuously as it grows.
        copy_retention_s: How long an engine keeps an unused copy.
    """

    slots: int
    memory_tokens: int
    bytes_per_token: float = 0.0
    link_bits_per_s: float = 0.0
    supports_moves: bool = False
    supports_backups: bool = False
    copy_retention_s: float = 0.0

    def copy_s(self, tokens: int) -> float:
        """Return the duration of a copy between two engines of one data centre."""
        if not self.link_bits_per_s:
            return 0.0
        return tokens * self.bytes_per_token * 8 / self.link_bits_per_s


class Service(msgspec.Struct, frozen=True):
    """A group of equivalent backend servers.

    Attributes:
        health_path: Path of a server's health check.
        max_connections: Connections that one server accepts from all entry hosts together.
        cold_per_s: Requests per second that a cold server can serve, 0 for no limit.
        engine: Its model engines, None for plain services.
    """

    name: str
    health_path: str = ""
    max_connections: int = 0
    cold_per_s: float = 0.0
    engine: Engine | None = None


class Route(msgspec.Struct, frozen=True):
    """How requests for a host and path prefix are forwarded.

    Attributes:
        splits: Services and their weights; all weights are above 0.
        timeout_s: Longest time that a caller waits for its whole answer.
        target_latency_s: Target time to an answer, or to the first event of a stream.
        max_gap_s: Target for the longest pause between two events of a stream, 0 when none is set.
        max_servers: Most servers that may run one request.
        priority: Priority; 0 is served first.
        allows_anonymous: True when callers need no API key.
        regions: Regions that may serve it; empty for all.
    """

    name: str
    host: str
    prefix: str
    kind: RouteKind
    splits: tuple[tuple[str, int], ...]
    timeout_s: float
    target_latency_s: float
    max_gap_s: float = 0.0
    max_servers: int = 1
    priority: int = 0
    allows_anonymous: bool = False
    regions: frozenset[str] = frozenset()

    def service_for(self, fraction: float) -> str:
        """Return a service by weight, for a uniformly distributed fraction in [0, 1)."""
        remaining = fraction * sum(weight for _, weight in self.splits)
        for service, weight in self.splits:
            remaining -= weight
            if remaining < 0:
                return service
        return self.splits[-1][0]


class Customer(msgspec.Struct, frozen=True):
    """The customer that an API key belongs to.

    Attributes:
        priority: Priority that overrides the route's, None to keep the route's.
        regions: Regions that may serve it; empty for all.
    """

    name: str
    priority: int | None = None
    regions: frozenset[str] = frozenset()


class CallerLimits(msgspec.Struct, frozen=True):
    """Limits of size and time for a caller's requests."""

    header_bytes: int
    body_bytes: int
    header_s: float
    idle_s: float


class Table:
    """Routing table: one version of the routing content.

    Attributes:
        version: Version that the operator gave it.
        services: Services by name.
        customers: Customers by API key; None when no key is required.
        limits: Limits of callers' requests.
        routes_by_host: Routes by host and path prefix.
    """

    __slots__ = ("version", "services", "customers", "limits", "routes_by_host")

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
        self.routes_by_host: dict[str, dict[str, Route]] = {}
        for route in routes:
            self.routes_by_host.setdefault(route.host, {})[route.prefix] = route

    def match(self, host: str, path: str) -> Route | None:
        """Return the host's route with the longest prefix that matches the path, or None."""
        prefixes = self.routes_by_host.get(host.partition(":")[0].lower())
        if prefixes is None:
            return None
        # Prefixes end with a slash, so only prefixes up to a slash of the path can match.
        end = path.rfind("/") + 1
        while end > 0:
            route = prefixes.get(path[:end])
            if route is not None:
                return route
            end = path.rfind("/", 0, end - 1) + 1
        return None
