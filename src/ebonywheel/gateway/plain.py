"""Requests with one answer: sent to a server, again where that is allowed, and answered whole."""

import curio
import msgspec

from ebonywheel import exceptions, http, kernel
from ebonywheel.gateway import balance, dialect, refusals, routes, sender, view

# Longer answers are passed on as they arrive, so that no answer needs much memory.
BUFFER_BYTES = 256 * 1024
# A server that refuses as not run may be followed by others; each try is an arrival there.
MAX_REFUSALS = 3
# Share of the time left that the first of two tries may take.
FIRST_TRY_SHARE = 0.5


class Whole(msgspec.Struct):
    """A whole answer, held back until it is sure that it is the one to give."""

    answer: dialect.Answer
    body: bytes


class PlainForwarder:
    """Forwards requests whose answer is one body."""

    def __init__(self, core: kernel.Kernel, send: sender.Sender, budgets: refusals.Budgets):
        self.core = core
        self.sender = send
        self.view = send.view
        self.budgets = budgets

    async def forward(self, exchange: http.Exchange, flight: view.Flight) -> None:
        """Answer one request.

        Raises:
            NotRunError: It did not run and never will.
            HttpError: Whether it ran is not known.
            UpstreamError: A long answer broke off after a part of it was passed on.
        """
        held: Whole | None = None
        may_have_run = False
        refused = 0
        while True:
            candidate = self._choose(flight)
            if candidate is None:
                break
            flight.tried.append(candidate.record.server)
            try:
                whole = await self._try(exchange, flight, candidate, held is None)
            except exceptions.UpstreamError as error:
                flight.reason = str(error)
                if exchange.started:
                    raise
                may_have_run = may_have_run or error.sent
                if error.sent and not self._may_run_again(flight):
                    if held is not None:
                        break
                    raise refusals.unknown(flight) from error
                continue
            if whole is None:
                return
            if whole.answer.not_run:
                refused += 1
                flight.reason = f"refused by {candidate.record.server}"
                if refused < MAX_REFUSALS and self.budgets.take(flight.service.name):
                    continue
                break
            held = whole
            if whole.answer.status < sender.SERVER_ERROR or not self._may_run_again(flight):
                break
        if held is None and may_have_run:
            raise refusals.unknown(flight)
        if held is None:
            raise refusals.not_run(flight)
        flight.status = held.answer.status
        await _respond(exchange, held)

    def _choose(self, flight: view.Flight) -> balance.Candidate | None:
        if self._left_s(flight) <= 0:
            flight.reason = flight.reason or "deadline passed"
            return None
        wish = balance.Wish(flight.service, regions=flight.regions(), avoid=frozenset(flight.tried))
        chosen = self.view.choose(wish)
        if chosen is None:
            flight.reason = flight.reason or "no server"
        return chosen

    def _may_run_again(self, flight: view.Flight) -> bool:
        if flight.route.kind is not routes.Kind.IDEMPOTENT:
            return False
        if len(flight.tried) >= flight.route.max_servers or self._left_s(flight) <= 0:
            return False
        return self.budgets.take(flight.service.name)

    async def _try(
        self,
        exchange: http.Exchange,
        flight: view.Flight,
        candidate: balance.Candidate,
        may_stream: bool,
    ) -> Whole | None:
        """Send the request once; None when a long answer was passed on as it arrived."""
        left_s = self._left_s(flight)
        again = len(flight.tried) < flight.route.max_servers
        if flight.route.kind is routes.Kind.IDEMPOTENT and again:
            left_s *= FIRST_TRY_SHARE
        sending = dialect.Sending(
            candidate.record.server,
            "" if flight.customer is None else flight.customer.name,
            flight.caller_deadline_at - self.core.clock.monotonic(),
        )
        try:
            async with curio.timeout_after(left_s):
                reply = await self.sender.send(flight, candidate.record, sending, left_s)
                return await self._read(exchange, flight, reply, may_stream)
        except curio.TaskTimeout as error:
            self.view.state_of(candidate.record).note_answer(failed=True)
            raise exceptions.UpstreamError(
                "no answer in time", "wait", candidate.record.address, True
            ) from error

    async def _read(
        self,
        exchange: http.Exchange,
        flight: view.Flight,
        reply: sender.Reply,
        may_stream: bool,
    ) -> Whole | None:
        body = bytearray()
        try:
            async for chunk in reply.connection.chunks(http.WRITE_TIMEOUT_S):
                body += chunk
                if may_stream and len(body) > BUFFER_BYTES:
                    flight.status = reply.answer.status
                    await self._pass_on(exchange, reply, bytes(body))
                    return None
        except BaseException:
            await self.sender.abandon(reply)
            raise
        reply_failed = reply.answer.status >= sender.SERVER_ERROR and not reply.answer.not_run
        self.view.state_of(reply.record).note_answer(reply_failed)
        await self.sender.finish(reply)
        return Whole(reply.answer, bytes(body))

    async def _pass_on(self, exchange: http.Exchange, reply: sender.Reply, first: bytes) -> None:
        await exchange.start(reply.answer.status, reply.answer.headers)
        await exchange.write(first)
        async for chunk in reply.connection.chunks(http.WRITE_TIMEOUT_S):
            await exchange.write(chunk)
        await exchange.end()
        await self.sender.finish(reply)

    def _left_s(self, flight: view.Flight) -> float:
        return flight.deadline_at - self.core.clock.monotonic()


async def _respond(exchange: http.Exchange, whole: Whole) -> None:
    headers = [
        *whole.answer.headers,
        ("content-length", str(len(whole.body))),
    ]
    await exchange.respond_raw(whole.answer.status, headers, whole.body)
