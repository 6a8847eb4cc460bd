"""Forwarding of requests that have a single answer, with retries where they are allowed."""

import curio
import msgspec

from ebonywheel import exceptions, heldmemory, http, kernel
from ebonywheel.gateway import (
    balance,
    budgets,
    crashes,
    dialect,
    inflight,
    permitclient,
    refusals,
    routes,
    sender,
)

# A server that sends nothing of its answer for this long is given up.
READ_TIMEOUT_S = 60.0
# Longer answers are relayed as they arrive, to bound the memory that an answer takes.
BUFFER_BYTES = 256 * 1024
# A request that a server refuses without running it is sent to another, up to this many refusals:
# each attempt adds to the load of a server.
MAX_REFUSALS = 3
# Share of the remaining time that an attempt may take when another one may follow.
ATTEMPT_TIME_SHARE = 0.5


class BufferedAnswer(msgspec.Struct):
    """A whole answer, buffered as a later attempt may still replace it."""

    head: dialect.AnswerHead
    body: bytes


class PlainForwarder:
    """Forwards requests whose answer has a single body."""

    def __init__(
        self,
        core: kernel.Kernel,
        request_sender: sender.Sender,
        retry_budgets: budgets.Budgets,
        crash_reporter: crashes.CrashReporter,
        permits: permitclient.PermitClient,
    ):
        self.core = core
        self.sender = request_sender
        self.view = request_sender.view
        self.budgets = retry_budgets
        self.crashes = crash_reporter
        self.permits = permits

    async def forward(
        self, exchange: http.ResponseWriter, context: inflight.RequestContext
    ) -> None:
        """Answer one request.

        Raises:
            ElsewhereError: This host cannot reach the servers; another one may.
            NotRunError: The request did not and will not run.
            HttpError: It is unknown whether the request ran.
            UpstreamError: A long answer broke off after a part of it was relayed.
        """
        last_answer: BufferedAnswer | None = None
        refused_count = 0
        while await self.crashes.admit(context):
            candidate = self._choose_server(context)
            if candidate is None:
                break
            if not await self.permits.acquire(candidate.record):
                context.denied.append(candidate.record.server)
                continue
            context.tried.append(candidate.record.server)
            try:
                buffered = await self._send_once(exchange, context, candidate)
            except exceptions.UpstreamError as error:
                context.reason = str(error)
                await self.crashes.record_broken(context, candidate.record, error)
                if exchange.started:
                    raise
                context.may_have_run = context.may_have_run or error.sent
                if error.sent and not self._take_retry(context):
                    if last_answer is not None:
                        break
                    raise refusals.outcome_unknown_error(context) from error
                continue
            if buffered is None:
                await self.crashes.record_success(context)
                return
            if buffered.head.not_run:
                refused_count += 1
                context.reason = f"refused by {candidate.record.server}"
                if refused_count < MAX_REFUSALS and self.budgets.take_retry(context.service.name):
                    continue
                break
            last_answer = buffered
            context.elsewhere = False
            if buffered.head.status < sender.STATUS_SERVER_ERROR:
                await self.crashes.record_success(context)
                break
            if not self._take_retry(context):
                break
        if last_answer is None and context.may_have_run:
            raise refusals.outcome_unknown_error(context)
        if last_answer is None:
            raise refusals.not_run_error(context, refusals.retry_after_s(self.view, context))
        context.status = last_answer.head.status
        await _respond(exchange, context, last_answer)

    def _choose_server(self, context: inflight.RequestContext) -> balance.Candidate | None:
        if self._remaining_s(context) <= 0:
            context.reason = context.reason or "deadline passed"
            return None
        requirements = balance.Requirements(
            context.service,
            regions=context.regions(),
            excluded=context.excluded_servers(),
            target_latency_s=context.route.target_latency_s,
            size_bytes=len(context.request.body),
            lot=context.lot,
        )
        chosen = self.view.choose(requirements)
        if chosen is None:
            context.reason = context.reason or self.view.reason_without_server(context, "no server")
        else:
            refusals.check_reach(self.view, context, chosen)
        return chosen

    def _take_retry(self, context: inflight.RequestContext) -> bool:
        """Return whether the request may be sent again, and take the retry from the budget."""
        if context.route.kind is not routes.RouteKind.IDEMPOTENT:
            return False
        if len(context.sent_to) >= context.route.max_servers or self._remaining_s(context) <= 0:
            return False
        return self.budgets.take_retry(context.service.name)

    async def _send_once(
        self,
        exchange: http.ResponseWriter,
        context: inflight.RequestContext,
        candidate: balance.Candidate,
    ) -> BufferedAnswer | None:
        """Send the request once and read its answer.

        Returns:
            The answer, None when it was long and has been relayed as it arrived.
        """
        remaining_s = self._remaining_s(context)
        more_servers_allowed = len(context.sent_to) + 1 < context.route.max_servers
        if context.route.kind is routes.RouteKind.IDEMPOTENT and more_servers_allowed:
            remaining_s *= ATTEMPT_TIME_SHARE
        sending = dialect.Sending(
            candidate.record.server,
            "" if context.customer is None else context.customer.name,
            context.caller_deadline_at - self.core.clock.monotonic(),
        )
        body = bytearray()
        try:
            async with curio.timeout_after(remaining_s):
                reply = await self.sender.send(context, candidate.record, sending, remaining_s)
                complete = await self._read_answer(reply, body, exchange.held)
        except curio.TaskTimeout as error:
            self.view.state_of(candidate.record).record_answer(failed=True)
            if context.sent:
                self.view.paces.observe_failure(candidate.record, reset=False)
            text, step = ("no answer", "wait") if context.sent else ("no connection", "connect")
            raise exceptions.UpstreamError(
                f"{text} in time", step, candidate.record.address, context.sent
            ) from error
        if complete:
            return BufferedAnswer(reply.head, bytes(body))
        # No other attempt follows any more, so the rest may take all of the remaining time.
        context.status = reply.head.status
        async with curio.timeout_after(self._remaining_s(context)):
            await self._relay_rest(exchange, reply, bytes(body))
        return None

    async def _read_answer(
        self, reply: sender.Reply, body: bytearray, held: heldmemory.Holding
    ) -> bool:
        """Read an answer up to `BUFFER_BYTES` into `body`; return whether that was all of it.

        It is read no further when there is no room for it in this process's memory.
        """
        try:
            async for chunk in reply.connection.chunks(READ_TIMEOUT_S):
                body += chunk
                if reply.head.not_run:
                    # It is small, and decides whether another server is tried.
                    held.force(len(chunk))
                elif not held.grow(len(chunk)):
                    return False
                if len(body) > BUFFER_BYTES:
                    return False
            await self.sender.confirm_end(reply)
        except BaseException as error:
            await self.sender.abandon(reply, error)
            raise
        reply_failed = reply.head.status >= sender.STATUS_SERVER_ERROR and not reply.head.not_run
        self.view.state_of(reply.record).record_answer(reply_failed)
        await self.sender.finish(reply)
        return True

    async def _relay_rest(
        self, exchange: http.ResponseWriter, reply: sender.Reply, buffered: bytes
    ) -> None:
        try:
            await exchange.start(reply.head.status, reply.head.headers)
            await exchange.write(buffered)
            async for chunk in reply.connection.chunks(READ_TIMEOUT_S):
                await exchange.write(chunk)
            await self.sender.confirm_end(reply)
        except BaseException as error:
            await self.sender.abandon(reply, error)
            raise
        await self.sender.finish(reply)
        # The server does not wait until a slow caller has read the rest.
        await exchange.end()

    def _remaining_s(self, context: inflight.RequestContext) -> float:
        return context.deadline_at - self.core.clock.monotonic()


async def _respond(
    exchange: http.ResponseWriter, context: inflight.RequestContext, answer: BufferedAnswer
) -> None:
    head = answer.head
    length = http.length_fields(context.request.method, head.status, answer.body, head.length)
    await exchange.respond_raw(head.status, [*head.headers, *length], answer.body)
