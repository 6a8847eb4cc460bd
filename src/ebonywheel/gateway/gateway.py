"""The gateway of an entry host: from a caller's request to the answer."""

import zlib

import curio

from ebonywheel import exceptions, http, kernel, watcher
from ebonywheel.gateway import (
    dialect,
    moves,
    plain,
    refusals,
    routes,
    sender,
    streaming,
    view,
)

HOUSEKEEPING_S = 1.0
DRAIN_POLL_S = 0.05
# A load balancer that asks every second takes a host out after two misses; what was on its way by
# then is still served.
DRAIN_TAKES_S = 2.5
# Time to come back when another host can serve the request now.
ELSEWHERE_S = 0.1
NO_ROUTE = 404
NO_KEY = 401
# A body may take as long as a caller's patience; without one, the route's longest time is unknown.
BODY_TIMEOUT_S = 30.0
DEFAULT_BODY_BYTES = 4 * 1024 * 1024


class Gateway:
    """All parts of an entry host that forwards by routing content.

    Attributes:
        draining_since: When this host was asked to end, monotonic seconds; None before.
    """

    def __init__(
        self,
        core: kernel.Kernel,
        address: str,
        entry_view: view.EntryView,
        language: dialect.Dialect,
        budgets: refusals.Budgets,
    ):
        self.core = core
        self.view = entry_view
        self.dialect = language
        self.budgets = budgets
        self.sender = sender.Sender(core, entry_view, language)
        self.plain = plain.PlainForwarder(core, self.sender, budgets)
        self.streams = streaming.StreamForwarder(core, self.sender, budgets)
        self.mover = moves.Mover(core, self.sender, self.streams)
        entry_view.on_leaving.append(self.mover.start)
        self.streams.on_late.append(self.mover.start_late)
        self.watcher = watcher.Watcher(core, entry_view)
        self.draining_since: float | None = None
        self.http = http.Server(core, address, self.handle, DEFAULT_BODY_BYTES)
        self.http.limits.body_s = BODY_TIMEOUT_S

    async def start(self, seeds: list[str]) -> None:
        """Start following the control hosts at these link addresses, and serving callers."""
        self.core.stack.push_async_callback(self.sender.pool.close)
        await self.watcher.follow(seeds)
        await self.core.spawn(self._keep_house(), essential=True)
        await self.http.start()

    def ready(self) -> bool:
        """Return whether this host should get new connections."""
        return self.view.table is not None and not self.core.draining.is_set()

    async def drain(self) -> None:
        """Go on for as long as new connections may come, then until all is answered."""
        self.draining_since = self.core.clock.monotonic()
        while self._takes_requests() or self.http.busy or self.http.lingering:
            await curio.sleep(DRAIN_POLL_S)

    def _takes_requests(self) -> bool:
        """Return whether a request that comes now is still served."""
        since = self.draining_since
        return since is None or self.core.clock.monotonic() - since < DRAIN_TAKES_S

    # -- requests --------------------------------------------------------------------------

    async def handle(self, exchange: http.Exchange) -> None:
        """Answer one request, or end its work when the caller leaves."""
        async with curio.TaskGroup(wait=any) as group:
            work = await group.spawn(self._answer, exchange)
            await group.spawn(exchange.wait_hangup)
        if group.completed is not work:
            self.core.metrics.count("callers_gone")
            # Nobody is left to be told.
            exchange.started = True
            raise exceptions.HttpError("caller left", "relay", exchange.request.peer)
        if work.exception is not None:
            raise work.exception

    async def _answer(self, exchange: http.Exchange) -> None:
        started_at = self.core.clock.monotonic()
        flight = None
        outcome = "answered"
        try:
            request = self.dialect.decode_request(exchange.request)
            flight = self._admit(request, started_at)
            await self._forward(exchange, flight)
        except exceptions.NotRunError as error:
            outcome = f"refused: {error}"
            await self._refuse(exchange, error)
        except exceptions.HttpError as error:
            outcome = f"{error.status}: {error}"
            if not exchange.started:
                await self._fail(exchange, error)
        except exceptions.UpstreamError as error:
            outcome = f"broken: {error}"
            if not exchange.started:
                flight.reason = str(error)
                await self._fail(exchange, refusals.unknown(flight))
        except curio.TaskTimeout:
            outcome = "timeout"
            if not exchange.started:
                await self._fail(exchange, refusals.too_late(flight))
        except curio.CancelledError:
            outcome = "caller left"
            raise
        except Exception as error:
            outcome = f"fault: {error!r}"
            raise
        finally:
            self._log(exchange, flight, outcome, started_at)

    def _admit(self, request: dialect.CallerRequest, started_at: float) -> view.Flight:
        """Find route, customer and service of a request.

        Raises:
            NotRunError: No routing content is known yet.
            HttpError: There is no such route, or the key is not known.
        """
        table = self.view.table
        if table is None:
            raise exceptions.NotRunError(
                "no routing content yet", "route", request.attempt, 503, refusals.COME_BACK_S
            )
        route = table.match(request.host, request.path)
        if route is None:
            raise exceptions.HttpError("no route", "route", request.attempt, NO_ROUTE)
        self._check_draining(route, request)
        customer = self._customer(table, route, request)
        service = table.services[route.service_for(_draw(request.attempt))]
        patience_s = route.timeout_s if request.patience_s is None else request.patience_s
        return view.Flight(
            request,
            route,
            service,
            customer,
            started_at,
            started_at + min(route.timeout_s, patience_s),
            started_at + patience_s,
        )

    def _check_draining(self, route: routes.Route, request: dialect.CallerRequest) -> None:
        """Refuse what this host may not live to finish; another one takes it at once.

        Raises:
            NotRunError: The request is not taken.
        """
        if self.draining_since is None:
            return
        lasting = request.prompt is not None and streaming.is_lasting(request.prompt)
        if lasting or not self._takes_requests():
            raise exceptions.NotRunError(
                "this host ends", "route", request.attempt, 503, ELSEWHERE_S
            )

    def _customer(
        self, table: routes.Table, route: routes.Route, request: dialect.CallerRequest
    ) -> routes.Customer | None:
        if table.customers is None:
            return None
        customer = table.customers.get(request.key)
        if customer is None and not route.open:
            raise exceptions.HttpError("unknown key", "identify", request.attempt, NO_KEY)
        return customer

    async def _forward(self, exchange: http.Exchange, flight: view.Flight) -> None:
        self.budgets.first_try(flight.service.name)
        if flight.route.kind is routes.Kind.STREAM:
            await self.streams.forward(exchange, flight)
        else:
            await self.plain.forward(exchange, flight)

    async def _refuse(self, exchange: http.Exchange, error: exceptions.NotRunError) -> None:
        self.core.metrics.count("refusals", status=str(error.status))
        body = http.ErrorBody(error.code, error.text, error.step, error.peer, "not run")
        headers = self.dialect.refusal_headers(error.retry_after)
        await exchange.respond_json(error.status, body, headers)

    async def _fail(self, exchange: http.Exchange, error: exceptions.HttpError) -> None:
        self.core.metrics.count("failures", status=str(error.status))
        body = http.ErrorBody(error.code, error.text, error.step, error.peer)
        await exchange.respond_json(error.status, body)

    def _log(
        self,
        exchange: http.Exchange,
        flight: view.Flight | None,
        outcome: str,
        started_at: float,
    ) -> None:
        took_s = self.core.clock.monotonic() - started_at
        if flight is None:
            request = self.dialect.attempt_of(exchange.request)
            path = exchange.request.path
            self.core.log.info("request", request=request, path=path, outcome=outcome)
            return
        self.core.metrics.observe("request", took_s, route=flight.route.kind)
        self.core.log.info(
            "request",
            request=flight.request.attempt,
            kind=flight.route.kind,
            service=flight.service.name,
            servers=" ".join(flight.tried),
            outcome=outcome,
            status=flight.status,
            reason=flight.reason,
            first_ms=int(max(0.0, flight.first_at - started_at) * 1000),
            gap_ms=int(flight.longest_gap_s * 1000),
            took_ms=int(took_s * 1000),
        )

    # -- upkeep ----------------------------------------------------------------------------

    async def _keep_house(self) -> None:
        while True:
            await curio.sleep(HOUSEKEEPING_S)
            self.view.prune()
            await self.sender.pool.prune()
            self._take_limits()

    def _take_limits(self) -> None:
        if self.view.table is None:
            return
        told = self.view.table.limits
        limits = self.http.limits
        limits.header_bytes = told.header_bytes
        limits.body_bytes = told.body_bytes
        limits.header_s = told.header_s
        limits.idle_s = told.idle_s


def _draw(attempt: str) -> float:
    """Return a number in [0, 1) that depends on the attempt alone."""
    return zlib.crc32(attempt.encode()) / 0x1_0000_0000
