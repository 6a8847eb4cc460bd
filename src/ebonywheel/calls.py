"""Calls to plain services: repeatable calls are retried, others run at most once."""

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
    fingerprints,
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

MAX_STORED_ANSWER_BYTES = 64 * 1024
KEY_HEADER = "idempotency-key"
CALLS_SEGMENT = "/calls"
STATUS_UNAVAILABLE = 503

# Largest share of a call's remaining time that may be spent waiting for a slot. A call sent with
# hardly any time left would run, and its caller would still be told "unknown".
MAX_PLACEMENT_SHARE = 0.5


class PendingCall(msgspec.Struct):
    """A call in progress, over all its tries.

    Attributes:
        call: The document's entry for the call.
        sent: True once any byte of any try may have been sent.
    """

    job: policies.Job
    call: documents.Call
    request: http.Request
    deadline: deadlines.Deadline
    sent: bool = False


class Calls:
    """Runs calls to plain services.

    Attributes:
        tasks: Tasks of the non-repeatable calls in flight.
        aborting: True once `cancel_in_flight` has begun to cancel the calls in flight.
    """

    def __init__(
        self,
        core: kernel.Kernel,
        config_feed: feed.Feed,
        servers: fleet.Fleet,
        placer: placement.Placer,
        poison_tracker: poison.PoisonTracker,
        budgets: retries.RetryBudgets,
    ):
        self.core = core
        self.feed = config_feed
        self.fleet = servers
        self.placer = placer
        self.poison = poison_tracker
        self.budgets = budgets
        self.ledger = callledger.CallLedger(core, config_feed)
        self.tasks: set[curio.Task] = set()
        self.aborting = False

    async def run(
        self, job: policies.Job, service: documents.Service, request: http.Request
    ) -> plainclient.Answer:
        """Run one call.

        Raises:
            NotRunError: The call did not run.
            RunningError: A call with the same key is already running.
            UnknownOutcomeError: The call may have run.
            HttpError: The document has no such call, or a header is malformed.
        """
        path = request.path.partition(CALLS_SEGMENT)[2]
        call = documents.find_call(service, request.method, path)
        if call is None:
            raise exceptions.HttpError(
                f"service has no call {request.method} {path}", "find call", job.service, 404
            )
        digest = _digest(request)
        job.fingerprint = fingerprints.fingerprint(
            job.customer.encode(), job.service.encode(), digest
        )
        deadline = deadlines.of_request(request, self.core.clock, service.timeout_s)
        pending = PendingCall(job, call, request, deadline)
        if call.repeatable:
            return await self._run_repeatable(pending)
        return await self._run_non_repeatable(pending, digest)

    async def cancel_in_flight(self) -> None:
        """Cancel the non-repeatable calls in flight.

        Each caller is told whether its call may have run.
        """
        self.aborting = True
        for task in list(self.tasks):
            await task.cancel(blocking=False)

    def unrecorded_outcomes(self) -> int:
        """Return the number of outcomes that are not durable yet."""
        return self.ledger.unrecorded

    # -- repeatable calls ------------------------------------------------------------------

    async def _run_repeatable(self, pending: PendingCall) -> plainclient.Answer:
        try:
            return await self._run_with_retries(pending)
        except exceptions.NotRunError as error:
            if pending.sent:
                # An earlier try may have run.
                raise exceptions.UnknownOutcomeError(error.text, error.step, error.peer) from error
            raise

    async def _run_with_retries(self, pending: PendingCall) -> plainclient.Answer:
        limits = self.feed.require_lease().document.retries
        budget = self.budgets.of(pending.job.service)
        budget.add_first_try(limits.budget)
        avoid: frozenset[str] = frozenset()
        tries = 0
        while True:
            pending.job.alone = self.poison.admit(pending.job.fingerprint)
            wait_s = MAX_PLACEMENT_SHARE * pending.deadline.left()
            place = await self.placer.place(pending.job, wait_s, avoid)
            try:
                answer = await self._exchange(pending, place)
                await self.poison.clear_if_alone(pending.job.fingerprint, pending.job.alone)
                return answer
            except exceptions.UpstreamError as error:
                tries += 1
                await self._report_if_dead(place, error)
                exhausted = tries >= limits.attempts or pending.deadline.passed()
                if exhausted or not budget.take(error.sent):
                    raise _failure(pending, error) from error
            self.core.metrics.count("call_retries", service=pending.job.service)
            avoid = avoid | {place.view.state.server}
            await curio.sleep(min(retries.pause_s(tries), pending.deadline.left()))

    # -- non-repeatable calls --------------------------------------------------------------

    async def _run_non_repeatable(self, pending: PendingCall, digest: bytes) -> plainclient.Answer:
        key = idempotency.parse(pending.request.headers.get(KEY_HEADER, ""))
        if key.is_err():
            raise key.unwrap_err()
        begin = commands.BeginCall(
            operation=str(uuid.uuid4()),
            actor=self.core.host.name,
            environment=self.feed.settings.environment,
            customer=pending.job.customer,
            service=pending.job.service,
            key=key.unwrap(),
            digest=digest,
            host=self.core.host.name,
            incarnation=self.feed.incarnation,
        )
        stored = await self.ledger.begin(begin)
        if stored is not None:
            return _to_answer(stored)
        outcome = await self._run_in_task(pending)
        await self.ledger.end(begin, _storable_outcome(outcome))
        return _to_answer(outcome)

    async def _run_in_task(self, pending: PendingCall) -> commands.CallOutcome:
        # A separate task, so that it can be cancelled at the drain limit and still return its
        # outcome.
        task = await curio.spawn(self._execute(pending))
        self.tasks.add(task)
        try:
            return await task.join()
        except curio.TaskError as error:
            return _interrupted_outcome(pending, repr(error.__cause__))
        except curio.CancelledError:
            await task.cancel()
            raise
        finally:
            self.tasks.discard(task)

    async def _execute(self, pending: PendingCall) -> commands.CallOutcome:
        job = pending.job
        try:
            job.alone = self.poison.admit(job.fingerprint)
            place = await self.placer.place(job, MAX_PLACEMENT_SHARE * pending.deadline.left())
            answer = await self._exchange(pending, place)
        except exceptions.NotRunError as error:
            return commands.CallOutcome("not_run", error.status, text=str(error))
        except exceptions.UpstreamError as error:
            await self._report_if_dead(place, error)
            return _interrupted_outcome(pending, str(error))
        except curio.CancelledError:
            if not self.aborting:
                raise
            return _interrupted_outcome(pending, "the host is shutting down")
        await self.poison.clear_if_alone(job.fingerprint, job.alone)
        return commands.CallOutcome("answered", answer.status, answer.content_type, answer.body)

    # -- both kinds ------------------------------------------------------------------------

    async def _exchange(
        self, pending: PendingCall, place: placement.Placement
    ) -> plainclient.Answer:
        client = plainclient.PlainClient(place.view.state)
        outcome = slots.OUTCOME_FAILED
        try:
            await client.connect(pending.deadline)
            self._check_still_allowed(pending, place)
            answer = await client.exchange(pending.call, pending.request, pending.deadline)
            outcome = slots.OUTCOME_FINISHED
            return answer
        finally:
            pending.sent = pending.sent or client.sent
            async with curio.disable_cancellation():
                await client.close()
                await self.fleet.release(place.holding, outcome if client.sent else "unused")

    def _check_still_allowed(self, pending: PendingCall, place: placement.Placement) -> None:
        # The process may have been suspended since the intent was recorded and the slot lent.
        self.feed.require_in_service(place.view.state.data_centre, "send")
        if pending.deadline.passed():
            raise exceptions.NotRunError("no time left to send the call", "send", retry_after=1)
        if self.poison.admit(pending.job.fingerprint) and not place.holding.alone:
            # The request became suspect while it waited for a slot.
            raise exceptions.NotRunError("suspect request must run alone", "send", retry_after=1)
        self.fleet.check_loan(place.holding)

    async def _report_if_dead(
        self, place: placement.Placement, error: exceptions.UpstreamError
    ) -> None:
        state = place.view.state
        if await self.poison.report_if_dead(state, place.holding, error):
            await self.core.spawn(self.fleet.report_death(state.server, state.incarnation))


def _failure(pending: PendingCall, error: exceptions.UpstreamError) -> exceptions.EbonywheelError:
    if pending.sent:
        return exceptions.UnknownOutcomeError(error.text, error.step, error.peer)
    return exceptions.NotRunError(error.text, error.step, error.peer, retry_after=1)


def _interrupted_outcome(pending: PendingCall, text: str) -> commands.CallOutcome:
    return commands.CallOutcome("unknown" if pending.sent else "not_run", text=text)


def _storable_outcome(outcome: commands.CallOutcome) -> commands.CallOutcome:
    """Return the outcome to record: without its answer when that is too large to store."""
    if len(outcome.body) <= MAX_STORED_ANSWER_BYTES:
        return outcome
    text = (
        f"the call ran and was answered with status {outcome.status}, but the answer of "
        f"{len(outcome.body)} bytes was too large to be kept"
    )
    return commands.CallOutcome("unknown", text=text)


def _to_answer(outcome: commands.CallOutcome) -> plainclient.Answer:
    if outcome.kind == "answered":
        return plainclient.Answer(outcome.status, outcome.content_type, outcome.body)
    if outcome.kind == "not_run":
        status = outcome.status or STATUS_UNAVAILABLE
        retry_after = 1 if status == STATUS_UNAVAILABLE else None
        raise exceptions.NotRunError(outcome.text, "run call", "", status, retry_after)
    raise exceptions.UnknownOutcomeError(outcome.text, "run call")


def _digest(request: http.Request) -> bytes:
    target = f"{request.path}?{request.raw_query}"
    content = b"\0".join((request.method.encode(), target.encode(), request.body))
    return hashlib.sha256(content).digest()
