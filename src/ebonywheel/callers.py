"""The HTTP interface of an entry host: callers, backend servers, the balancer and /metrics."""

import hmac
import math

import curio
import msgspec

from ebonywheel import (
    callledger,
    configuration,
    customers,
    documents,
    exceptions,
    feed,
    fleet,
    http,
    kernel,
    messages,
    services,
)

SERVICES_PREFIX = "/v1/services/"
GENERATIONS_PREFIX = "/v1/generations/"
SERVERS_PATH = "/v1/servers"
BEARER = "Bearer "
SERVER_SCHEME = "Server "
STATUS_UNKNOWN_OUTCOME = 504
STATUS_UPSTREAM = 502
STATUS_RUNNING = 409
RUNNING_RETRY_S = 1.0


class Announced(msgspec.Struct):
    """Answer to a backend server's announcement."""

    home: str


class Callers:
    """Routes HTTP requests of an entry host.

    Attributes:
        refusing: True once new work is refused, when draining.
        ending: True once the work in flight is ended, when a drain limit has passed.
        active: Tasks that serve callers' work, until the answer is written.
    """

    def __init__(
        self,
        core: kernel.Kernel,
        source: feed.Feed,
        servers: fleet.Fleet,
        parts: services.Parts,
        server_secret: bytes,
    ):
        self.core = core
        self.feed = source
        self.fleet = servers
        self.parts = parts
        self.server_secret = server_secret
        self.refusing = False
        self.ending = False
        self.active: set[curio.Task] = set()
        self.customers = customers.CustomerIndex()
        self.handlers: dict[documents.ServiceKind, services.ServiceHandler] = {
            kind: core.plugins.find("service", kind)(parts) for kind in documents.ServiceKind
        }

    async def handle(self, exchange: http.Exchange) -> None:
        """Handle one request, turning errors into clear answers."""
        try:
            await self._route(exchange)
        except exceptions.NotRunError as error:
            await self._refuse(exchange, error, error.status, "not run", error.retry_after)
        except callledger.RunningError as error:
            await self._refuse(exchange, error, STATUS_RUNNING, "running", RUNNING_RETRY_S)
        except exceptions.UnknownOutcomeError as error:
            await self._refuse(exchange, error, STATUS_UNKNOWN_OUTCOME, "unknown", None)
        except exceptions.UpstreamError as error:
            run = "unknown" if error.sent else "not run"
            await self._refuse(exchange, error, STATUS_UPSTREAM, run, None)

    async def _route(self, exchange: http.Exchange) -> None:
        request = exchange.request
        path = request.path
        if path.startswith(SERVICES_PREFIX):
            await self._work(exchange, self._serve)
        elif path.startswith(GENERATIONS_PREFIX) and request.method == "GET":
            await self._work(exchange, self._resume)
        elif path == SERVERS_PATH and request.method == "POST":
            await self._announce(exchange)
        elif path == "/healthz":
            await exchange.respond(200, b"ok\n", "text/plain")
        elif path == "/readyz":
            await self._ready(exchange)
        elif path == "/metrics":
            await exchange.respond(200, self.core.metrics.render().encode(), "text/plain")
        else:
            raise exceptions.HttpError(f"no {request.method} {path}", "route", request.peer, 404)

    async def end_work(self) -> None:
        """End the work in flight; each caller is told what is known of it."""
        self.ending = True
        for task in list(self.active):
            await task.cancel(blocking=False)

    async def _work(self, exchange: http.Exchange, serve: http.ExchangeHandler) -> None:
        if self.refusing:
            raise exceptions.NotRunError("host is shutting down", "admit", retry_after=1)
        task = await curio.current_task()
        self.active.add(task)
        try:
            await serve(exchange)
        except curio.CancelledError:
            if not self.ending or exchange.started:
                raise
            await self._refuse(exchange, _cut_off(), STATUS_UNKNOWN_OUTCOME, "unknown", None)
        finally:
            self.active.discard(task)

    async def _ready(self, exchange: http.Exchange) -> None:
        if self.core.draining.is_set():
            await exchange.respond(503, b"draining\n", "text/plain")
        elif not self.feed.holds_lease():
            await exchange.respond(503, b"no lease\n", "text/plain")
        elif self.feed.current.document is None:
            await exchange.respond(503, b"no document\n", "text/plain")
        else:
            await exchange.respond(200, b"ready\n", "text/plain")

    async def _serve(self, exchange: http.Exchange) -> None:
        request = exchange.request
        current = self._configured()
        customer = self._authenticate(current, request)
        name = request.path.removeprefix(SERVICES_PREFIX).partition("/")[0]
        service = current.document.services.get(name)
        if service is None or name not in current.document.customers[customer].services:
            raise exceptions.HttpError(f"unknown service {name!r}", "find service", customer, 404)
        caller = services.Caller(current, name, service, customer)
        self.core.metrics.count("requests", service=name)
        await self.handlers[service.kind].handle(caller, exchange)

    async def _resume(self, exchange: http.Exchange) -> None:
        request = exchange.request
        current = self._configured()
        customer = self._authenticate(current, request)
        generation = request.path.removeprefix(GENERATIONS_PREFIX)
        index = _next_index(request)
        handler = self.handlers[documents.ServiceKind.STREAM]
        await handler.resume(customer, generation, index, exchange)

    async def _announce(self, exchange: http.Exchange) -> None:
        request = exchange.request
        header = request.headers.get("authorization", "")
        given = header.removeprefix(SERVER_SCHEME).encode()
        if not hmac.compare_digest(given, self.server_secret):
            self.core.metrics.count("server_refused")
            raise exceptions.HttpError("server not known", "authenticate", request.peer, 401)
        message = request.decode(messages.Announce)
        home = await self.fleet.announce(message)
        await exchange.respond_json(200, Announced(home))

    def _configured(self) -> configuration.Configuration:
        current = self.feed.require_lease()
        if current.document is None:
            raise exceptions.NotRunError("no document is in force", "admit", retry_after=1)
        return current

    def _authenticate(self, current: configuration.Configuration, request: http.Request) -> str:
        header = request.headers.get("authorization", "")
        customer = None
        if header.startswith(BEARER):
            key = header.removeprefix(BEARER)
            customer = self.customers.find(current.document, key)
        if customer is None:
            self.core.metrics.count("caller_refused")
            raise exceptions.HttpError("customer not known", "authenticate", request.peer, 401)
        return customer

    async def _refuse(
        self,
        exchange: http.Exchange,
        error: exceptions.EbonywheelError,
        status: int,
        run: str,
        retry_after: float | None,
    ) -> None:
        if exchange.started:
            raise error
        self.core.metrics.count("refused", code=error.code, step=error.step)
        headers = []
        if retry_after is not None:
            headers.append(("retry-after", str(math.ceil(retry_after))))
        body = http.ErrorBody(error.code, error.text, error.step, error.peer, run)
        await exchange.respond_json(status, body, headers)


def _cut_off() -> exceptions.UnknownOutcomeError:
    return exceptions.UnknownOutcomeError("the host's drain limit has passed", "drain")


def _next_index(request: http.Request) -> int:
    last = request.headers.get("last-event-id", "")
    text = last.rpartition(":")[2] if last else request.query.get("after", "-1")
    try:
        return int(text) + 1
    except ValueError as error:
        raise exceptions.HttpError("malformed event id", "read Last-Event-ID") from error
