"""The gateway of an entry host: admits, forwards and answers callers' requests."""

import zlib

import curio

from ebonywheel import exceptions, http, httpserver, kernel, watcher
from ebonywheel.gateway import (
    budgets,
    crashes,
    dialect,
    inflight,
    moves,
    permitclient,
    plain,
    refusals,
    relays,
    relayserver,
    routes,
    sender,
    shutdown,
    streaming,
    view,
)

HOUSEKEEPING_INTERVAL_S = 1.0
# Retry-after time for a request that another host can serve at once.
RETRY_ELSEWHERE_S = 0.1
STATUS_NO_ROUTE = 404
STATUS_UNKNOWN_KEY = 401
# Longest time to read a request body. A body may take as long as the caller is willing to wait. For
# a caller that states no timeout the route's applies, but the route is not known yet at this point.
BODY_TIMEOUT_S = 30.0
DEFAULT_MAX_BODY_BYTES = 4 * 1024 * 1024
MAX_LOGGED_PATH_CHARS = 128


class Gateway:
    """An entry host that forwards requests by the routing content."""

    def __init__(
        self,
        core: kernel.Kernel,
        address: str,
        entry_view: view.EntryView,
        wire_dialect: dialect.Dialect,
        retry_budgets: budgets.Budgets,
    ):
        self.core = core
        self.view = entry_view
        self.dialect = wire_dialect
        self.budgets = retry_budgets
        self.sender = sender.Sender(core, entry_view, wire_dialect)
        self.watcher = watcher.Watcher(core, entry_view)
        permits = permitclient.PermitClient(core, entry_view, self.watcher)
        self.crashes = crashes.CrashReporter(core, self.sender, self.watcher, permits)
        parts = (core, self.sender, retry_budgets, self.crashes, permits)
        self.plain = plain.PlainForwarder(*parts)
        self.streams = streaming.StreamForwarder(*parts)
        core.metrics.gauge("waiting_generations", self.streams.starts.line.count)
        self.mover = moves.Mover(core, self.sender, self.streams)
        entry_view.on_shutdown_notice.append(self.mover.start_evacuation)
        entry_view.on_version_leaving.append(self.mover.start_version_change)
        self.streams.on_late_run.append(self.mover.start_late_move)
        self.relays = relays.Relays(core, entry_view, self.watcher)
        self.relay_server = relayserver.RelayServer(core, self)
        self.http = httpserver.Server(core, address, self.handle, DEFAULT_MAX_BODY_BYTES)
        self.http.limits.body_s = BODY_TIMEOUT_S
        self.http.check_head = self.check_head
        self.shutdown = shutdown.Shutdown(core, self.http, self.relay_server)

    async def start(self, seeds: list[str]) -> None:
        """Start watching the control hosts at these link addresses, and serving callers."""
        self.core.exit_stack.push_async_callback(self.sender.pool.close)
        await self.watcher.follow(seeds)
        await self.core.spawn(self._run_housekeeping(), essential=True)
        await self.core.spawn(self.sender.reach.run(), essential=True)
        await self.relay_server.start()
        await self.http.start()

    def ready(self) -> bool:
        """Return whether load balancers should send this host new connections."""
        return self.view.table is not None and not self.core.draining.is_set()

    async def drain(self) -> None:
        """Wait until no new requests are accepted and all accepted ones are answered."""
        self.view.draining = True
        await self.shutdown.drain()

    # -- requests --------------------------------------------------------------------------

    def check_head(self, request: http.Request) -> http.HeadTerms:
        """Decide whether a request can be served, before its body is read; raises like `_admit`.

        The body may take as long as the caller and the route wait for the answer.
        """
        now = self.core.clock.monotonic()
        try:
            context = self._admit(self.dialect.decode_request(request), now)
        except (exceptions.HttpError, exceptions.NotRunError) as error:
            attempt = self.dialect.attempt_id(request)
            self.core.metrics.count("refused_by_head", status=str(error.status))
            self.core.log.info(
                "refused_by_head",
                request=attempt,
                path=request.path[:MAX_LOGGED_PATH_CHARS],
                error=error,
            )
            raise
        groups = [f"route {context.route.name}"]
        if context.customer is not None:
            groups.append(f"customer {context.customer.name}")
        return http.HeadTerms(tuple(groups), min(BODY_TIMEOUT_S, context.deadline_at - now))

    async def handle(self, exchange: http.Exchange) -> None:
        """Answer one request, or cancel its work when the caller disconnects."""
        async with curio.TaskGroup(wait=any) as group:
            work = await group.spawn(self._answer, exchange)
            await group.spawn(exchange.wait_hangup)
        if group.completed is not work:
            self.core.metrics.count("callers_gone")
            # Marks the answer as started, so that no error is sent to the closed connection.
            exchange.started = True
            raise exceptions.HttpError("caller left", "relay", exchange.request.peer)
        if work.exception is not None:
            raise work.exception

    async def _answer(self, exchange: http.Exchange) -> None:
        started_at = self.core.clock.monotonic()
        context = None
        outcome = "answered"
        try:
            request = self.dialect.decode_request(exchange.request)
            context = self._admit(request, started_at)
            self.shutdown.requests[id(exchange)] = context
            self._check_quarantine(context)
            await self._forward(exchange, context)
        except exceptions.NotRunError as error:
            outcome = f"refused: {error}"
            await self._send_refusal(exchange, error)
        except exceptions.HttpError as error:
            outcome = f"{error.status}: {error}"
            if not exchange.started:
                await self._send_failure(exchange, error)
        except exceptions.UpstreamError as error:
            outcome = f"broken: {error}"
            if not exchange.started:
                context.reason = str(error)
                await self._send_failure(exchange, refusals.outcome_unknown_error(context))
        except curio.TaskTimeout:
            outcome = "timeout"
            if not exchange.started:
                await self._send_failure(exchange, refusals.timeout_error(context))
        except curio.CancelledError:
            outcome = "caller left"
            raise
        except Exception as error:
            outcome = f"fault: {error!r}"
            await self._fail(exchange, error)
        finally:
            self.shutdown.requests.pop(id(exchange), None)
            self._log_request(exchange, context, outcome, started_at)

    def _admit(self, request: dialect.CallerRequest, started_at: float) -> inflight.RequestContext:
        """Find the route, customer and service of a request.

        Raises:
            NotRunError: No routing content is known yet.
            HttpError: No route matches, or the API key is unknown.
        """
        table = self.view.table
        if table is None:
            raise exceptions.NotRunError(
                "no routing content yet", "route", request.attempt, 503, refusals.RETRY_AFTER_S
            )
        route = table.match(request.host, request.path)
        if route is None:
            raise exceptions.HttpError("no route", "route", request.attempt, STATUS_NO_ROUTE)
        self._check_draining(route, request)
        customer = self._identify_customer(table, route, request)
        service = table.services[route.service_for(_hash_fraction(request.attempt))]
        caller_timeout_s = (
            route.timeout_s if request.caller_timeout_s is None else request.caller_timeout_s
        )
        return inflight.RequestContext(
            request,
            route,
            service,
            customer,
            started_at,
            started_at + min(route.timeout_s, caller_timeout_s),
            started_at + caller_timeout_s,
        )

    def _check_draining(self, route: routes.Route, request: dialect.CallerRequest) -> None:
        """Refuse a request that this draining host may not finish; another host can serve it.

        Raises:
            NotRunError: The request is refused.
        """
        if not self.shutdown.begun():
            return
        long_running = request.prompt is not None and request.prompt.is_long_running()
        if long_running or not self.shutdown.accepts_requests():
            raise exceptions.NotRunError(
                "this host ends", "route", request.attempt, 503, RETRY_ELSEWHERE_S
            )

    def _check_quarantine(self, context: inflight.RequestContext) -> None:
        """Refuse a request that would crash its server.

        Raises:
            NotRunError: The request is quarantined.
        """
        remaining_s = self.view.quarantined_s(context)
        if remaining_s:
            raise refusals.quarantined_error(context, remaining_s)

    def _identify_customer(
        self, table: routes.Table, route: routes.Route, request: dialect.CallerRequest
    ) -> routes.Customer | None:
        if table.customers is None:
            return None
        customer = table.customers.get(request.key)
        if customer is None and not route.allows_anonymous:
            raise exceptions.HttpError(
                "unknown key", "identify", request.attempt, STATUS_UNKNOWN_KEY
            )
        return customer

    async def _forward(self, exchange: http.Exchange, context: inflight.RequestContext) -> None:
        """Send a request to a server, or have another host do so if no server can be reached."""
        self.budgets.count_first_try(context.service.name)
        try:
            await self._forward_directly(exchange, context)
        except exceptions.NotRunError as error:
            cut_off = isinstance(error, exceptions.ElsewhereError)
            if not context.elsewhere or not (cut_off or self.view.cut_off):
                raise
            if context.sent_to and not self.budgets.take_retry(context.service.name):
                if context.may_have_run:
                    raise refusals.outcome_unknown_error(context) from error
                raise
            if await self.relays.forward(exchange, exchange.request, context):
                return
            if not cut_off:
                raise
            context.elsewhere = False
            await self._forward_directly(exchange, context)

    async def _forward_directly(
        self, exchange: http.ResponseWriter, context: inflight.RequestContext
    ) -> None:
        if context.route.kind is routes.RouteKind.STREAM:
            await self.streams.forward(exchange, context)
        else:
            await self.plain.forward(exchange, context)

    async def serve_relayed(self, exchange: relayserver.RelayedExchange) -> None:
        """Serve a request of another host; raises like `relayserver.Servant`."""
        started_at = self.core.clock.monotonic() - exchange.elapsed_s
        context = None
        outcome = "answered for another host"
        try:
            self._check_may_relay(exchange)
            context = self._admit(self.dialect.decode_request(exchange.request), started_at)
            context.tried, context.sent_to = list(exchange.sent_to), list(exchange.sent_to)
            self._check_quarantine(context)
            await self._forward_directly(exchange, context)
        except exceptions.ElsewhereError as error:
            outcome = f"refused: {error}"
            if context is not None and context.may_have_run:
                raise refusals.outcome_unknown_error(context) from error
            raise
        except (exceptions.EbonywheelError, curio.TaskTimeout) as error:
            outcome = f"failed: {error}"
            raise
        except curio.CancelledError:
            outcome = "caller left"
            raise
        finally:
            self._log_request(exchange, context, outcome, started_at)

    async def _send_refusal(self, exchange: http.Exchange, error: exceptions.NotRunError) -> None:
        self.core.metrics.count("refusals", status=str(error.status))
        body = http.ErrorBody(error.code, error.text, error.step, error.peer, "not run")
        headers = self.dialect.refusal_headers(error.retry_after)
        await exchange.respond_json(error.status, body, headers)

    async def _send_failure(self, exchange: http.Exchange, error: exceptions.HttpError) -> None:
        self.core.metrics.count("failures", status=str(error.status))
        body = http.ErrorBody(error.code, error.text, error.step, error.peer)
        await exchange.respond_json(error.status, body)

    async def _fail(self, exchange: http.Exchange, error: Exception) -> None:
        """Answer a request of which an unexpected error leaves open whether it ran."""
        attempt = self.dialect.attempt_id(exchange.request)
        self.core.log.error("request_failed", request=attempt, error=repr(error))
        self.core.metrics.count("failures", status=str(refusals.STATUS_OUTCOME_UNKNOWN))
        body = http.ErrorBody("internal", "internal error", "forward", attempt)
        await exchange.fail(refusals.STATUS_OUTCOME_UNKNOWN, body)

    def _check_may_relay(self, exchange: relayserver.RelayedExchange) -> None:
        """Refuse to serve another host with older routing content, or on the way to the end.

        Raises:
            ElsewhereError: The request is refused.
        """
        outdated = self.view.routing_index < exchange.routing_index
        if self.view.table is None or outdated or self.core.draining.is_set():
            raise exceptions.ElsewhereError("this host serves no other", "relay")

    def _log_request(
        self,
        exchange: http.Exchange | relayserver.RelayedExchange,
        context: inflight.RequestContext | None,
        outcome: str,
        started_at: float,
    ) -> None:
        took_s = self.core.clock.monotonic() - started_at
        if context is None:
            request = self.dialect.attempt_id(exchange.request)
            path = exchange.request.path
            answer = _answer_state(exchange)
            self.core.log.info(
                "request", request=request, path=path, outcome=outcome, answer=answer
            )
            return
        self.core.metrics.observe("request", took_s, route=context.route.kind)
        answer = _answer_state(exchange)
        if answer != "whole":
            sent = "yes" if context.sent_to else "no"
            self.core.metrics.count("answers_not_whole", answer=answer, sent=sent)
        self.core.log.info(
            "request",
            request=context.request.attempt,
            kind=context.route.kind,
            service=context.service.name,
            servers=" ".join(context.tried),
            sent_to=" ".join(context.sent_to),
            answer=answer,
            relayed_by=context.relayed_by,
            outcome=outcome,
            status=context.status,
            reason=context.reason,
            first_ms=int(max(0.0, context.first_event_at - started_at) * 1000),
            gap_ms=int(context.longest_gap_s * 1000),
            took_ms=int(took_s * 1000),
        )

    # -- housekeeping ----------------------------------------------------------------------

    async def _run_housekeeping(self) -> None:
        while True:
            await curio.sleep(HOUSEKEEPING_INTERVAL_S)
            self.view.prune()
            await self.sender.pool.prune()
            await self.mover.repeat_version_changes()
            self._apply_limits()

    def _apply_limits(self) -> None:
        if self.view.table is None:
            return
        table_limits = self.view.table.limits
        limits = self.http.limits
        limits.header_bytes = table_limits.header_bytes
        limits.body_bytes = table_limits.body_bytes
        limits.header_s = table_limits.header_s
        limits.idle_s = table_limits.idle_s


def _answer_state(exchange: http.ResponseWriter) -> str:
    """Return how much of its answer a request has got, for the log."""
    if exchange.ended:
        return "whole"
    return "part" if exchange.started else "none"


def _hash_fraction(attempt: str) -> float:
    """Return a hash of the attempt id as a number in [0, 1)."""
    return zlib.crc32(attempt.encode()) / 0x1_0000_0000
