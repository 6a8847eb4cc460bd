"""Event streams: admitted by memory, passed on event by event, and moved off servers that end."""

import curio
import msgspec

from ebonywheel import exceptions, http, kernel, messages
from ebonywheel.gateway import balance, dialect, events, refusals, sender, view

# Load up to which a new generation is admitted: all memory is expected to be in use.
ADMISSION_LIMIT = 1.0
# Share of the longest answer that is expected where the caller gives no estimate.
UNKNOWN_SHARE = 0.5
MAX_REFUSALS = 3
OK = 200
# How long a stopped run waits to be told where it goes on.
HAND_OVER_S = 3.0


class Handover(msgspec.Struct):
    """Where a stopped run goes on.

    Attributes:
        record: The server that continues it.
        source: Address that names the copy together with the handle.
    """

    record: messages.DirectoryRecord
    source: str
    handle: str


class Run:
    """One generation as this host relays it.

    Attributes:
        flight: The request.
        record: The server that runs it now.
        reply: Its open answer.
        cutter: Cuts its events; knows the last one passed on.
        stopping: True from the moment at which the run is about to be stopped for a move.
        handover: Where it goes on; set by the mover.
    """

    __slots__ = ("flight", "record", "reply", "cutter", "stopping", "handover", "done")

    def __init__(self, flight: view.Flight, reply: sender.Reply):
        self.flight = flight
        self.record = reply.record
        self.reply = reply
        self.cutter = events.EventCutter()
        self.stopping = False
        self.handover: curio.Result | None = None
        self.done = False

    def attempt(self) -> str:
        """Return the id of the run's request."""
        return self.flight.request.attempt


class StreamForwarder:
    """Relays event streams.

    Attributes:
        runs: Open runs by server id.
    """

    def __init__(self, core: kernel.Kernel, send: sender.Sender, budgets: refusals.Budgets):
        self.core = core
        self.sender = send
        self.view = send.view
        self.budgets = budgets
        self.runs: dict[str, dict[str, Run]] = {}

    async def forward(self, exchange: http.Exchange, flight: view.Flight) -> None:
        """Answer one request for a stream.

        Raises:
            NotRunError: It did not run and never will.
            HttpError: Whether it ran is not known.
            UpstreamError: The stream broke off after its first part was passed on.
        """
        reply = await self._start(flight)
        if reply.answer.status != OK:
            await self._pass_failure(exchange, reply)
            return
        run = Run(flight, reply)
        self._register(run)
        try:
            await exchange.start(reply.answer.status, reply.answer.headers)
            await self._relay(exchange, run)
            await exchange.end()
        finally:
            self._unregister(run)
            run.done = True

    # -- start -----------------------------------------------------------------------------

    async def _start(self, flight: view.Flight) -> sender.Reply:
        tokens = expected_tokens(flight.request.prompt)
        for _ in range(MAX_REFUSALS):
            candidate = self._choose(flight, tokens)
            if candidate is None:
                break
            flight.tried.append(candidate.record.server)
            sending = dialect.Sending(
                candidate.record.server,
                "" if flight.customer is None else flight.customer.name,
                flight.caller_deadline_at - self.core.clock.monotonic(),
                flight.route.priority,
            )
            left_s = flight.deadline_at - self.core.clock.monotonic()
            try:
                reply = await self.sender.send(flight, candidate.record, sending, tokens, left_s)
            except exceptions.UpstreamError as error:
                flight.reason = str(error)
                if error.sent:
                    raise refusals.unknown(flight) from error
                continue
            if not reply.answer.not_run:
                return reply
            flight.reason = f"refused by {candidate.record.server}"
            await self._drop(reply)
            if not self.budgets.take(flight.service.name):
                break
        raise refusals.not_run(flight)

    def _choose(self, flight: view.Flight, tokens: int) -> balance.Candidate | None:
        wish = balance.Wish(
            flight.service,
            tokens,
            flight.regions(),
            frozenset(flight.tried),
            ADMISSION_LIMIT,
        )
        chosen = self.view.choose(wish)
        if chosen is None:
            flight.reason = flight.reason or "no server with room"
        return chosen

    async def _drop(self, reply: sender.Reply) -> None:
        try:
            await reply.connection.body(http.WRITE_TIMEOUT_S, sender.MAX_ENGINE_ANSWER_BYTES)
        except exceptions.UpstreamError:
            await self.sender.abandon(reply)
            return
        await self.sender.finish(reply)

    async def _pass_failure(self, exchange: http.Exchange, reply: sender.Reply) -> None:
        try:
            body = await reply.connection.body(
                http.WRITE_TIMEOUT_S, sender.MAX_ENGINE_ANSWER_BYTES
            )
        except BaseException:
            await self.sender.abandon(reply)
            raise
        self.view.state_of(reply.record).note_answer(reply.answer.status >= 500)
        await self.sender.finish(reply)
        fields = [*reply.answer.headers, ("content-length", str(len(body)))]
        await exchange.respond_raw(reply.answer.status, fields, body)

    # -- relay -----------------------------------------------------------------------------

    async def _relay(self, exchange: http.Exchange, run: Run) -> None:
        """Pass events on until the run's proper end, from one server after the other."""
        while True:
            try:
                async with curio.timeout_after(
                    run.flight.deadline_at - self.core.clock.monotonic()
                ):
                    await self._pass_events(exchange, run)
                await self.sender.finish(run.reply)
                return
            except exceptions.UpstreamError as error:
                await self.sender.abandon(run.reply)
                if not run.stopping:
                    self.view.state_of(run.record).note_answer(failed=True)
                    raise
                self._unregister(run)
                await self._continue(run, error)
                self._register(run)
            except BaseException:
                await self.sender.abandon(run.reply)
                raise

    async def _pass_events(self, exchange: http.Exchange, run: Run) -> None:
        left_s = run.flight.deadline_at - self.core.clock.monotonic()
        async for chunk in run.reply.connection.chunks(left_s):
            whole = run.cutter.feed(chunk)
            if whole:
                await exchange.write(whole)
        if run.cutter.buffer:
            # What follows the last event without a blank line still belongs to the answer.
            await exchange.write(run.cutter.buffer)

    async def _continue(self, run: Run, error: exceptions.UpstreamError) -> None:
        """Wait for the mover's word and open the run where it goes on.

        Raises:
            UpstreamError: It goes on nowhere.
        """
        handover = None
        async with curio.ignore_after(HAND_OVER_S):
            handover = await run.handover.unwrap()
        if handover is None:
            raise error
        resume = dialect.Resume(handover.source, handover.handle, run.cutter.last_id)
        sending = dialect.Sending(
            handover.record.server,
            "" if run.flight.customer is None else run.flight.customer.name,
            run.flight.caller_deadline_at - self.core.clock.monotonic(),
            run.flight.route.priority,
            resume,
        )
        tokens = expected_tokens(run.flight.request.prompt)
        left_s = run.flight.deadline_at - self.core.clock.monotonic()
        reply = await self.sender.send(run.flight, handover.record, sending, tokens, left_s)
        if reply.answer.status != OK:
            await self._drop(reply)
            raise exceptions.UpstreamError(
                f"continuation refused with {reply.answer.status}",
                "resume",
                handover.record.address,
                True,
            )
        self.core.log.info(
            "run_resumed",
            request=run.attempt(),
            server=handover.record.server,
            before=run.record.server,
            last_event=run.cutter.last_id,
        )
        run.record = reply.record
        run.reply = reply
        run.stopping = False
        run.handover = None
        run.cutter.buffer = b""

    def _register(self, run: Run) -> None:
        self.runs.setdefault(run.record.server, {})[run.attempt()] = run

    def _unregister(self, run: Run) -> None:
        held = self.runs.get(run.record.server)
        if held is not None:
            held.pop(run.attempt(), None)
            if not held:
                del self.runs[run.record.server]


def expected_tokens(prompt: dialect.Prompt) -> int:
    """Return how much memory a generation is expected to need in the end."""
    answer = prompt.expected_tokens or int(prompt.most_tokens * UNKNOWN_SHARE)
    if prompt.most_tokens:
        answer = min(answer, prompt.most_tokens)
    return prompt.tokens + answer
