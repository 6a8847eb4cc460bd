"""The HTTP interface of an entry host: requests, announcements, health checks and metrics."""

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
    streamid,
)

SERVICES_PREFIX = "/v1/services/"
GENERATIONS_PREFIX = "/v1/generations/"
SERVERS_PATH = "/v1/servers"
BEARER_SCHEME = "Bearer "
SERVER_SCHEME = "Server "
STATUS_UNKNOWN_OUTCOME = 504
STATUS_BACKEND_FAILED = 502
STATUS_STILL_RUNNING = 409
RUNNING_RETRY_AFTER_S = 1.0
# Stated by a caller that has received no event.
NO_EVENT = "-1"


class AnnounceReply(msgspec.Struct):
    """Response to a backend server's announcement; names its home host."""

    home: str


class RequestRouter:
    """Authenticates the HTTP requests of an entry host and dispatches them.

    Attributes:
        refusing_work: Whether new work is refused because the host is draining.
        cancelling: Whether running work is being cancelled because the drain limit has passed.
        active_tasks: Tasks that serve callers' requests, until the response is written.
    """

    def __init__(
        self,
        core: kernel.Kernel,
        config_feed: feed.Feed,
        server_fleet: fleet.Fleet,
        context: services.ServiceContext,
        server_secret: bytes,
    ):
        self.core = core
        self.feed = config_feed
        self.fleet = server_fleet
        self.context = context
        self.server_secret = server_secret
        self.refusing_work = False
        self.cancelling = False
        self.active_tasks: set[curio.Task] = set()
        self.customers = customers.CustomerIndex()
        self.handlers: dict[documents.ServiceKind, services.ServiceHandler] = {
            kind: core.plugins.find("service", kind)(context) for kind in documents.ServiceKind
        }

    def check_head(self, request: http.Request) -> http.HeadTerms:
        """Decide whether the body of a request is read.

        Raises:
            HttpError: The request cannot be served, whatever its body holds.
            NotRunError: This host cannot serve it now.
        """
        if request.path == SERVERS_PATH and request.method == "POST":
            self._check_server(request)
            return http.HeadTerms(("servers",))
        if not request.path.startswith(SERVICES_PREFIX):
            raise exceptions.HttpError(
                f"no body for {request.method} {request.path}", "route", request.peer, 404
            )
        customer = self._authenticate(self._require_document(), request)
        return http.HeadTerms((f"customer {customer}",))

    async def handle(self, exchange: http.Exchange) -> None:
        """Handle one request and turn errors into error responses."""
        try:
            await self._route(exchange)
        except exceptions.NotRunError as error:
            await self._respond_error(exchange, error, error.status, "not run", error.retry_after)
        except callledger.RunningError as error:
            await self._respond_error(
                exchange, error, STATUS_STILL_RUNNING, "running", RUNNING_RETRY_AFTER_S
            )
        except exceptions.UnknownOutcomeError as error:
            await self._respond_error(exchange, error, STATUS_UNKNOWN_OUTCOME, "unknown", None)
        except exceptions.UpstreamError as error:
            run = "unknown" if error.sent else "not run"
            await self._respond_error(exchange, error, STATUS_BACKEND_FAILED, run, None)

    async def _route(self, exchange: http.Exchange) -> None:
        request = exchange.request
        path = request.path
        if path.startswith(SERVICES_PREFIX):
            await self._run_tracked(exchange, self._handle_service)
        elif path.startswith(GENERATIONS_PREFIX) and request.method == "GET":
            await self._run_tracked(exchange, self._handle_resume)
        elif path == SERVERS_PATH and request.method == "POST":
            await self._handle_announcement(exchange)
        elif path == "/healthz":
            await exchange.respond(200, b"ok\n", "text/plain")
        elif path == "/readyz":
            await self._handle_readiness(exchange)
        elif path == "/metrics":
            await exchange.respond(200, self.core.metrics.render().encode(), "text/plain")
        else:
            raise exceptions.HttpError(f"no {request.method} {path}", "route", request.peer, 404)

    async def cancel_active_tasks(self) -> None:
        """Cancel running requests; without a response yet, answer that the outcome is unknown."""
        self.cancelling = True
        for task in list(self.active_tasks):
            await task.cancel(blocking=False)

    async def _run_tracked(self, exchange: http.Exchange, handler: http.ExchangeHandler) -> None:
        if self.refusing_work:
            raise exceptions.NotRunError("host is shutting down", "admit", retry_after=1)
        task = await curio.current_task()
        self.active_tasks.add(task)
        try:
            await handler(exchange)
        except curio.CancelledError:
            if not self.cancelling or exchange.started:
                raise
            await self._respond_error(
                exchange, _drain_limit_error(), STATUS_UNKNOWN_OUTCOME, "unknown", None
            )
        finally:
            self.active_tasks.discard(task)

    async def _handle_readiness(self, exchange: http.Exchange) -> None:
        if self.core.draining.is_set():
            await exchange.respond(503, b"draining\n", "text/plain")
        elif not self.feed.holds_lease():
            await exchange.respond(503, b"no lease\n", "text/plain")
        elif self.feed.current.document is None:
            await exchange.respond(503, b"no document\n", "text/plain")
        else:
            await exchange.respond(200, b"ready\n", "text/plain")

    async def _handle_service(self, exchange: http.Exchange) -> None:
        request = exchange.request
        config = self._require_document()
        customer = self._authenticate(config, request)
        service_name = request.path.removeprefix(SERVICES_PREFIX).partition("/")[0]
        service = config.document.services.get(service_name)
        if service is None or service_name not in config.document.customers[customer].services:
            raise exceptions.HttpError(
                f"unknown service {service_name!r}", "find service", customer, 404
            )
        service_request = services.ServiceRequest(config, service_name, service, customer)
        self.core.metrics.count("requests", service=service_name)
        await self.handlers[service.kind].handle(service_request, exchange)

    async def _handle_resume(self, exchange: http.Exchange) -> None:
        request = exchange.request
        config = self._require_document()
        customer = self._authenticate(config, request)
        generation = request.path.removeprefix(GENERATIONS_PREFIX)
        index = resume_index(request)
        handler = self.handlers[documents.ServiceKind.STREAM]
        await handler.resume(customer, generation, index, exchange)

    async def _handle_announcement(self, exchange: http.Exchange) -> None:
        request = exchange.request
        self._check_server(request)
        message = request.decode(messages.Announce)
        home_host = await self.fleet.announce(message)
        await exchange.respond_json(200, AnnounceReply(home_host))

    def _check_server(self, request: http.Request) -> None:
        header = request.headers.get("authorization", "")
        presented_secret = header.removeprefix(SERVER_SCHEME).encode()
        if not hmac.compare_digest(presented_secret, self.server_secret):
            self.core.metrics.count("server_refused")
            raise exceptions.HttpError("server not known", "authenticate", request.peer, 401)

    def _require_document(self) -> configuration.Configuration:
        config = self.feed.require_lease()
        if config.document is None:
            raise exceptions.NotRunError("no document is in force", "admit", retry_after=1)
        return config

    def _authenticate(self, config: configuration.Configuration, request: http.Request) -> str:
        header = request.headers.get("authorization", "")
        customer = None
        if header.startswith(BEARER_SCHEME):
            key = header.removeprefix(BEARER_SCHEME)
            customer = self.customers.find(config.document, key)
        if customer is None:
            self.core.metrics.count("caller_refused")
            raise exceptions.HttpError("customer not known", "authenticate", request.peer, 401)
        return customer

    async def _respond_error(
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


def _drain_limit_error() -> exceptions.UnknownOutcomeError:
    return exceptions.UnknownOutcomeError("the host's drain limit has passed", "drain")


def resume_index(request: http.Request) -> int:
    """Return the index of the first token that a caller wants.

    Raises:
        HttpError: The caller states a malformed one.
    """
    last_event_id = request.headers.get("last-event-id")
    if last_event_id:
        return streamid.parse_index(last_event_id.rpartition(":")[2]) + 1
    after = request.query.get("after", NO_EVENT)
    return 0 if after == NO_EVENT else streamid.parse_index(after) + 1
