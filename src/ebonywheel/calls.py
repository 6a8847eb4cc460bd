"""Calls to plain services: retried where they may repeat, run at most once where they may not."""

import hashlib
import uuid

import curio
import msgspec

from ebonywheel import (
    callledger,
    commands,
    deadlines,
    documents,
    exceptions,
    feed,
    fleet,
    http,
    idempotency,
    kernel,
    placement,
    plainclient,
    poison,
    policies,
    retries,
    slots,
)

MAX_LEDGER_ANSWER_BYTES = 64 * 1024
KEY_HEADER = "idempotency-key"
CALLS_SEGMENT = "/calls"
STATUS_TRY_AGAIN = 503

# Share of a call's time that may go by before it has a slot. A call sent with hardly any time
# left would run and still be told "unknown".
PLACE_SHARE = 0.5


class Attempt(msgspec.Struct):
    """One try of a call.

    Attributes:
        sent: True once any byte of it may have left.
    """

    job: policies.Job
    call: documents.Call
    request: http.Request
    deadline: deadlines.Deadline
    sent: bool = False


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
        self.ledger = callledger.CallLedger(core, source)
        self.attempts: set[curio.Task] = set()
        self.handing_over = False

    async def run(
        self, job: policies.Job, service: documents.Service, request: http.Request
    ) -> plainclient.Answer:
        """Run one call.

        Raises:
            NotRunError: It did not run.
            RunningError: It is running already.
            UnknownOutcomeError: It may have run.
            HttpError: The document has no such call, or a header is malformed.
        """
        path = request.path.partition(CALLS_SEGMENT)[2]
        call = documents.find_call(service, request.method, path)
        if call is None:
            raise exceptions.HttpError(
                f"service has no call {request.method} {path}", "find call", job.service, 404
            )
        digest = _digest(request)
        job.fingerprint = poison.fingerprint(job.customer, job.service, digest)
        deadline = deadlines.of_request(request, self.core.clock, service.timeout_s)
        attempt = Attempt(job, call, request, deadline)
        if call.repeatable:
            return await self._run_repeatable(attempt)
        return await self._run_once(attempt, digest)

    async def hand_over(self) -> None:
        """End the calls in flight: each caller is told whether its call may have run."""
        self.handing_over = True
        for task in list(self.attempts):
            await task.cancel(blocking=False)

    def unfinished(self) -> int:
        """Return the outcomes that are not durable yet."""
        return self.ledger.unrecorded

    # -- calls that may repeat -------------------------------------------------------------

    async def _run_repeatable(self, attempt: Attempt) -> plainclient.Answer:
        try:
            return await self._try_often(attempt)
        except exceptions.NotRunError as error:
            if attempt.sent:
                # An earlier try may have run.
                raise exceptions.UnknownOutcomeError(error.text, error.step, error.peer) from error
            raise

    async def _try_often(self, attempt: Attempt) -> plainclient.Answer:
        limits = self.feed.require_lease().document.retries
        budget = self.budgets.of(attempt.job.service)
        budget.add_first_try(limits.budget)
        avoid: frozenset[str] = frozenset()
        tries = 0
        while True:
            attempt.job.alone = self.poison.admit(attempt.job.fingerprint)
            wait_s = PLACE_SHARE * attempt.deadline.left()
            place = await self.placer.place(attempt.job, wait_s, avoid)
            try:
                answer = await self._exchange(attempt, place)
                await self.poison.finished(attempt.job.fingerprint, attempt.job.alone)
                return answer
            except exceptions.UpstreamError as error:
                tries += 1
                await self._look_into(place, error)
                spent = tries >= limits.attempts or attempt.deadline.passed()
                if spent or not budget.take():
                    raise _final(attempt, error) from error
            self.core.metrics.count("call_retries", service=attempt.job.service)
            avoid = avoid | {place.view.state.server}
            await curio.sleep(min(retries.pause_s(tries), attempt.deadline.left()))

    # -- calls that may not repeat ---------------------------------------------------------

    async def _run_once(self, attempt: Attempt, digest: bytes) -> plainclient.Answer:
        key = idempotency.parse(attempt.request.headers.get(KEY_HEADER, ""))
        if key.is_err():
            raise key.unwrap_err()
        begin = commands.BeginCall(
            operation=str(uuid.uuid4()),
            actor=self.core.host.name,
            environment=self.feed.settings.environment,
            customer=attempt.job.customer,
            service=attempt.job.service,
            key=key.unwrap(),
            digest=digest,
            host=self.core.host.name,
            incarnation=self.feed.incarnation,
        )
        stored = await self.ledger.begin(begin)
        if stored is not None:
            return _replay(stored)
        outcome = await self._attempt_apart(attempt)
        await self.ledger.end(begin, _kept(outcome))
        return _replay(outcome)

    async def _attempt_apart(self, attempt: Attempt) -> commands.CallOutcome:
        # A task of its own, so that a drain limit can end it and still have its outcome.
        task = await curio.spawn(self._attempt(attempt))
        self.attempts.add(task)
        try:
            return await task.join()
        except curio.TaskError as error:
            return _broken_off(attempt, repr(error.__cause__))
        except curio.CancelledError:
            await task.cancel()
            raise
        finally:
            self.attempts.discard(task)

    async def _attempt(self, attempt: Attempt) -> commands.CallOutcome:
        job = attempt.job
        try:
            job.alone = self.poison.admit(job.fingerprint)
            place = await self.placer.place(job, PLACE_SHARE * attempt.deadline.left())
            answer = await self._exchange(attempt, place)
        except exceptions.NotRunError as error:
            return commands.CallOutcome("not_run", error.status, text=str(error))
        except exceptions.UpstreamError as error:
            await self._look_into(place, error)
            return _broken_off(attempt, str(error))
        except curio.CancelledError:
            if not self.handing_over:
                raise
            return _broken_off(attempt, "the host is shutting down")
        await self.poison.finished(job.fingerprint, job.alone)
        return commands.CallOutcome("answered", answer.status, answer.content_type, answer.body)

    # -- both ------------------------------------------------------------------------------

    async def _exchange(self, attempt: Attempt, place: placement.Placement) -> plainclient.Answer:
        client = plainclient.PlainClient(place.view.state)
        outcome = slots.OUTCOME_FAILED
        try:
            await client.connect(attempt.deadline)
            self._check_still_allowed(attempt, place)
            answer = await client.exchange(attempt.call, attempt.request, attempt.deadline)
            outcome = slots.OUTCOME_FINISHED
            return answer
        finally:
            attempt.sent = attempt.sent or client.sent
            async with curio.disable_cancellation():
                await client.close()
                await self.fleet.release(place.holding, outcome if client.sent else "unused")

    def _check_still_allowed(self, attempt: Attempt, place: placement.Placement) -> None:
        # The process may have been frozen since it got the intent and the slot.
        self.feed.require_in_service(place.view.state.data_centre, "send")
        if attempt.deadline.passed():
            raise exceptions.NotRunError("no time left", "send", retry_after=1)
        if self.poison.admit(attempt.job.fingerprint) and not place.holding.alone:
            # It became suspect while it waited for its slot.
            raise exceptions.NotRunError("must run alone now", "send", retry_after=1)
        self.fleet.check_loan(place.holding)

    async def _look_into(self, place: placement.Placement, error: exceptions.UpstreamError) -> None:
        state = place.view.state
        if await self.poison.broke(state, place.holding, error):
            await self.core.spawn(self.fleet.report_death(state.server, state.incarnation))


def _final(attempt: Attempt, error: exceptions.UpstreamError) -> exceptions.EbonywheelError:
    if attempt.sent:
        return exceptions.UnknownOutcomeError(error.text, error.step, error.peer)
    return exceptions.NotRunError(error.text, error.step, error.peer, retry_after=1)


def _broken_off(attempt: Attempt, text: str) -> commands.CallOutcome:
    return commands.CallOutcome("unknown" if attempt.sent else "not_run", text=text)


def _kept(outcome: commands.CallOutcome) -> commands.CallOutcome:
    """Return what the ledger keeps of an outcome."""
    if len(outcome.body) <= MAX_LEDGER_ANSWER_BYTES:
        return outcome
    text = (
        f"the call ran and was answered with status {outcome.status}, but the answer of "
        f"{len(outcome.body)} bytes was too large to be kept"
    )
    return commands.CallOutcome("unknown", text=text)


def _replay(outcome: commands.CallOutcome) -> plainclient.Answer:
    if outcome.kind == "answered":
        return plainclient.Answer(outcome.status, outcome.content_type, outcome.body)
    if outcome.kind == "not_run":
        status = outcome.status or STATUS_TRY_AGAIN
        retry_after = 1 if status == STATUS_TRY_AGAIN else None
        raise exceptions.NotRunError(outcome.text, "run call", "", status, retry_after)
    raise exceptions.UnknownOutcomeError(outcome.text, "run call")


def _digest(request: http.Request) -> bytes:
    target = f"{request.path}?{request.raw_query}"
    content = b"\0".join((request.method.encode(), target.encode(), request.body))
    return hashlib.sha256(content).digest()
