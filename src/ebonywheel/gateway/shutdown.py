"""The planned end of an entry host: until when it takes requests, and what it still waits for."""

import curio

from ebonywheel import httpserver, kernel
from ebonywheel.gateway import inflight, relayserver

POLL_INTERVAL_S = 0.05
# A load balancer that probes every second removes a host after two failed probes. Requests that
# arrive until then are still served.
ACCEPT_S = 2.5
LOG_INTERVAL_S = 1.0
MAX_LOGGED_REQUESTS = 5


class Shutdown:
    """Ends the host once all requests that it took are answered.

    Attributes:
        since: When this host began to drain, monotonic seconds; None before.
        requests: Requests of callers in progress, oldest first, by exchange.
    """

    def __init__(
        self, core: kernel.Kernel, server: httpserver.Server, relay_server: relayserver.RelayServer
    ):
        self.core = core
        self.server = server
        self.relay_server = relay_server
        self.since: float | None = None
        self.requests: dict[int, inflight.RequestContext] = {}

    def begun(self) -> bool:
        """Return whether this host drains."""
        return self.since is not None

    def accepts_requests(self) -> bool:
        """Return whether a request that arrives now is still served."""
        return self.since is None or self._elapsed_s() < ACCEPT_S

    async def drain(self) -> None:
        """Wait until no new requests are accepted and all accepted ones are answered.

        Callers may come back all the time, so connections are no longer accepted either.
        """
        self.since = self.core.clock.monotonic()
        while self.accepts_requests():
            await curio.sleep(POLL_INTERVAL_S)
        await self.server.stop_accepting()
        log_at_s = ACCEPT_S
        while self._waits():
            if self._elapsed_s() >= log_at_s:
                log_at_s += LOG_INTERVAL_S
                self._log_waits()
            await curio.sleep(POLL_INTERVAL_S)

    def _elapsed_s(self) -> float:
        return self.core.clock.monotonic() - self.since

    def _waits(self) -> bool:
        return bool(
            self.server.active_exchanges or self.server.lingering or self.relay_server.relays
        )

    def _log_waits(self) -> None:
        """Log what keeps this host from ending, as the platform may kill it soon."""
        oldest = list(self.requests.values())[:MAX_LOGGED_REQUESTS]
        self.core.log.warning(
            "drain_waits",
            elapsed_ms=int(self._elapsed_s() * 1000),
            exchanges=self.server.active_exchanges,
            lingering=self.server.lingering,
            connections=self.server.open_connections,
            relays=len(self.relay_server.relays),
            requests=[self._describe(context) for context in oldest],
        )

    def _describe(self, context: inflight.RequestContext) -> str:
        age_s = self.core.clock.monotonic() - context.started_at
        return f"{context.request.attempt} {context.route.kind} for {age_s:.1f} s"
