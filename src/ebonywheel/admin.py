"""The operators' HTTP interface of a control host."""

import hmac
import typing

import msgspec

from ebonywheel import commands, documents, exceptions, http, kernel, messages

OPERATIONS_PATH = "/v1/operations"
STATE_PREFIX = "/v1/state/"
AUTHORIZATION_SCHEME = "Operator "
STATUS_OF_OUTCOME = {commands.Conflict: 409, commands.Refused: 422}

OperatorCommand = (
    commands.ApplyDocument
    | commands.PromoteDocument
    | commands.SetDataCentre
    | commands.ReleaseQuarantine
    | commands.IssueOrder
    | commands.AddMember
    | commands.RemoveMember
    | commands.StartRollout
    | commands.EndRollout
)


class ControlInterface(typing.Protocol):
    """The methods of the control host that the HTTP interface calls."""

    async def submit_order(self, command: commands.Command) -> messages.SubmitReply:
        """Propose an operator's command that has just been received, here or at the leader."""

    async def query(self, request: messages.Query) -> messages.QueryReply:
        """Answer a query, here or at the leader."""


class Admin:
    """Serves operators' requests, health checks and ``/metrics``.

    Attributes:
        operators: SHA-256 of each operator's token, by name.
        identity: Content of ``/v1/identity``.
    """

    def __init__(self, core: kernel.Kernel, operators: dict[str, str], control: ControlInterface):
        self.core = core
        self.operators = operators
        self.control = control
        self.identity: typing.Any = None

    def check_head(self, request: http.Request) -> http.HeadTerms:
        """Decide whether the body of a request is read; raises `HttpError` if it is of no use."""
        if request.path != OPERATIONS_PATH or request.method != "POST":
            raise exceptions.HttpError(
                f"no body for {request.method} {request.path}", "route", request.peer, 404
            )
        return http.HeadTerms((f"operator {self._authenticate(request)}",))

    async def handle(self, exchange: http.Exchange) -> None:
        """Answer one HTTP request."""
        request = exchange.request
        if request.path == "/healthz":
            await exchange.respond(200, b"ok\n", "text/plain")
        elif request.path == "/readyz":
            await self._respond_ready(exchange)
        elif request.path == "/metrics":
            await exchange.respond(200, self.core.metrics.render().encode(), "text/plain")
        elif request.path == "/v1/identity":
            await exchange.respond_json(200, self.identity)
        elif request.path == OPERATIONS_PATH and request.method == "POST":
            await self._run_operation(exchange)
        elif request.path.startswith(STATE_PREFIX) and request.method == "GET":
            await self._run_query(exchange)
        else:
            raise exceptions.HttpError(
                f"no {request.method} {request.path}", "route", request.peer, 404
            )

    async def _respond_ready(self, exchange: http.Exchange) -> None:
        if self.core.draining.is_set():
            await exchange.respond(503, b"draining\n", "text/plain")
        else:
            await exchange.respond(200, b"ready\n", "text/plain")

    async def _run_operation(self, exchange: http.Exchange) -> None:
        operator = self._authenticate(exchange.request)
        command = exchange.request.decode(OperatorCommand)
        if not command.operation:
            raise exceptions.HttpError("an operation id is required", "check", operator, 400)
        command.actor = operator
        try:
            reply = await self.control.submit_order(command)
        except exceptions.EbonywheelError as error:
            await self._respond_error(exchange, error)
            return
        outcome = commands.decode_outcome(reply.outcome)
        await exchange.respond_json(STATUS_OF_OUTCOME.get(type(outcome), 200), outcome)

    async def _run_query(self, exchange: http.Exchange) -> None:
        self._authenticate(exchange.request)
        name = exchange.request.path.removeprefix(STATE_PREFIX)
        argument = msgspec.json.encode(exchange.request.query)
        try:
            reply = await self.control.query(messages.Query(name, argument))
        except exceptions.EbonywheelError as error:
            await self._respond_error(exchange, error)
            return
        await exchange.respond(200, reply.content)

    async def _respond_error(
        self, exchange: http.Exchange, error: exceptions.EbonywheelError
    ) -> None:
        code = getattr(error, "remote_code", error.code)
        if code in ("not_leader", "not_run"):
            body = http.ErrorBody(code, error.text, error.step, error.peer, "not run")
            await exchange.respond_json(503, body)
        elif code == "http":
            body = http.ErrorBody(code, error.text, error.step, error.peer)
            await exchange.respond_json(getattr(error, "status", 404), body)
        else:
            body = http.ErrorBody(code, error.text, error.step, error.peer, "unknown")
            await exchange.respond_json(504, body)

    def _authenticate(self, request: http.Request) -> str:
        header = request.headers.get("authorization", "")
        name, _, token = header.removeprefix(AUTHORIZATION_SCHEME).partition(":")
        expected = self.operators.get(name, "")
        known = header.startswith(AUTHORIZATION_SCHEME) and bool(expected)
        if not hmac.compare_digest(documents.key_digest(token), expected) or not known:
            self.core.metrics.count("operator_refused")
            raise exceptions.HttpError("operator not known", "authenticate", request.peer, 401)
        return name
