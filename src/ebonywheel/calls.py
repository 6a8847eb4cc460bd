"""Calls to plain services: retried where they may repeat, run at most once where they may not."""

import hashlib
import uuid

import msgspec

from ebonywheel import (
    commands,
    documents,
    exceptions,
    feed,
    fleet,
    http,
    idempotency,
    kernel,
    placement,
    poison,
    policies,
    retries,
)

CONNECT_TIMEOUT_S = 1.0
WRITE_TIMEOUT_S = 5.0
LEDGER_TIMEOUT_S = 5.0
OUTCOME_TIMEOUT_S = 30.0
MAX_ANSWER_BYTES = 1024 * 1024
KEY_HEADER = "idempotency-key"
INCARNATION_HEADER = "x-incarnation"
CALLS_SEGMENT = "/calls"

STATUS_RUNNING = 409
STATUS_MISMATCH = 422
STATUS_EXPIRED = 410
STATUS_UNKNOWN = 504


class CallAnswer(msgspec.Struct):
    """A plain service's whole answer."""

    status: int
    content_type: str
    body: bytes


class Calls:
    """Runs calls for callers."""

    def __init__(
        self,
        core: kernel.Kernel,
        source: feed.Feed,
        servers: fleet.Fleet,
        placer: placement.Placer,
        suspects: poison.Poison,
        budgets: retries.RetryBudgets,
    ):
        self.core = core
        self.feed = source
        self.fleet = servers
        self.placer = placer
        self.poison = suspects
        self.budgets = budgets

    async def run(
        self, job: policies.Job, service: documents.Service, request: http.Request
    ) -> CallAnswer:
        """Run one call.

        Raises:
            NotRunError: It did not run.
            UnknownOutcomeError: It may have run.
            HttpError: The document has no such call.
        """
        path = request.path.partition(CALLS_SEGMENT)[2]
        call = documents.find_call(service, request.method, path)
        if call is None:
            raise exceptions.HttpError(
                f"service has no call {request.method} {path}", "find call", job.service, 404
            )
        if call.repeatable:
            return await self._run_repeatable(job, service, call, request)
        return await self._run_once(job, service, call, request)

    async def _run_repeatable(
        self,
        job: policies.Job,
        service: documents.Service,
        call: documents.Call,
        request: http.Request,
    ) -> CallAnswer:
        avoid: frozenset[str] = frozenset()
        attempts = self.feed.require_lease().document.retries.attempts
        while True:
            place = await self.placer.place(job, service.timeout_s, avoid)
            try:
                return await self._exchange(place, service, call, request)
            except exceptions.UpstreamError as error:
                attempts -= 1
                if attempts <= 0:
                    raise exceptions.UnknownOutcomeError(
                        error.text, error.step, error.peer
                    ) from error
                avoid = avoid | {place.view.state.server}

    async def _run_once(
        self,
        job: policies.Job,
        service: documents.Service,
        call: documents.Call,
        request: http.Request,
    ) -> CallAnswer:
        key = idempotency.parse(request.headers.get(KEY_HEADER, ""))
        if key.is_err():
            raise key.unwrap_err()
        begin = commands.BeginCall(
            operation=str(uuid.uuid4()),
            actor=self.core.host.name,
            environment=self.feed.settings.environment,
            customer=job.customer,
            service=job.service,
            key=key.unwrap(),
            digest=_digest(request),
            host=self.core.host.name,
            incarnation=self.feed.incarnation,
        )
        stored = await self._begin(begin)
        if stored is not None:
            return _replay(stored)
        outcome = await self._attempt(job, service, call, request)
        await self._end(begin, outcome)
        return _replay(outcome)

    async def _begin(self, begin: commands.BeginCall) -> commands.CallOutcome | None:
        try:
            outcome = await self.feed.submit(begin, LEDGER_TIMEOUT_S)
        except exceptions.UnknownOutcomeError as error:
            # The intent may be recorded, but nothing was sent and nothing will be.
            raise exceptions.NotRunError(
                error.text, "record intent", error.peer, retry_after=1
            ) from error
        match outcome:
            case commands.CallStarted():
                return None
            case commands.CallStored():
                return outcome.outcome
            case commands.CallRunning():
                raise exceptions.NotRunError(
                    "the call with this key is still running",
                    "record intent",
                    status=STATUS_RUNNING,
                    retry_after=1,
                )
            case commands.CallMismatch():
                raise exceptions.NotRunError(
                    "the key was used for another request", "record intent", status=STATUS_MISMATCH
                )
            case commands.CallExpired():
                raise exceptions.NotRunError(
                    "the key is older than the horizon", "record intent", status=STATUS_EXPIRED
                )
        raise exceptions.NotRunError("unexpected outcome", "record intent")

    async def _attempt(
        self,
        job: policies.Job,
        service: documents.Service,
        call: documents.Call,
        request: http.Request,
    ) -> commands.CallOutcome:
        try:
            place = await self.placer.place(job, service.timeout_s)
            answer = await self._exchange(place, service, call, request)
        except exceptions.NotRunError as error:
            return commands.CallOutcome("not_run", text=str(error))
        except exceptions.UpstreamError as error:
            kind = "unknown" if error.sent else "not_run"
            return commands.CallOutcome(kind, text=str(error))
        return commands.CallOutcome("answered", answer.status, answer.content_type, answer.body)

    async def _end(self, begin: commands.BeginCall, outcome: commands.CallOutcome) -> None:
        end = commands.EndCall(
            actor=begin.actor,
            environment=begin.environment,
            customer=begin.customer,
            service=begin.service,
            key=begin.key,
            begun_by=begin.operation,
            outcome=outcome,
        )
        try:
            await self.feed.submit(end, OUTCOME_TIMEOUT_S)
        except (exceptions.NotRunError, exceptions.UnknownOutcomeError):
            # The caller still gets the answer; a resend is told "unknown".
            self.core.metrics.count("outcomes_not_recorded")

    async def _exchange(
        self,
        place: placement.Placement,
        service: documents.Service,
        call: documents.Call,
        request: http.Request,
    ) -> CallAnswer:
        state = place.view.state
        connection = http.ClientConnection(state.address)
        headers = [
            (INCARNATION_HEADER, str(state.incarnation)),
            ("content-type", request.headers.get("content-type", http.JSON)),
        ]
        outcome = "failed"
        try:
            await connection.connect(CONNECT_TIMEOUT_S)
            await connection.request(call.method, call.path, headers, request.body, WRITE_TIMEOUT_S)
            head = await connection.response(service.timeout_s)
            body = await connection.body(service.timeout_s, MAX_ANSWER_BYTES)
            outcome = "finished"
        finally:
            await connection.close()
            await self.fleet.release(place.holding, outcome)
        content_type = head.headers.get("content-type", "application/octet-stream")
        return CallAnswer(head.status, content_type, body)


def _replay(outcome: commands.CallOutcome) -> CallAnswer:
    if outcome.kind == "answered":
        return CallAnswer(outcome.status, outcome.content_type, outcome.body)
    if outcome.kind == "not_run":
        raise exceptions.NotRunError(outcome.text, "run call", retry_after=1)
    raise exceptions.UnknownOutcomeError(outcome.text, "run call")


def _digest(request: http.Request) -> bytes:
    content = b"\0".join((request.method.encode(), request.path.encode(), request.body))
    return hashlib.sha256(content).digest()
