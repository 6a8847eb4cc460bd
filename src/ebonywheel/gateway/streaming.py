"""Event streams: admitted by memory, passed on event by event, and moved off servers that end."""

import collections.abc
import typing

import curio
import msgspec

from ebonywheel import exceptions, http, kernel, messages
from ebonywheel.gateway import balance, dialect, events, refusals, sender, view

# Load up to which a new generation is admitted: all memory is expected to be in use.
ADMISSION_LIMIT = 1.0
# Share of the longest answer that is expected where the caller gives no estimate.
UNKNOWN_SHARE = 0.5
# Shorter generations end within the notice that a leaving server gives.
LASTING_TOKENS = 64
# Prompt tokens that an engine reads in a second beside the steps of what runs there.
READ_TOKENS_PER_S = 7000.0
MAX_REFUSALS = 3
OK = 200
# How long a stopped run waits for its second copy.
HAND_OVER_S = 3.0
DROP_TIMEOUT_S = 0.5


class Copy(msgspec.Struct):
    """A copy of a run at another server.

    Attributes:
        source: Address of the server that made it, which names it together with the handle.
        use: The memory that it takes at its server.
    """

    record: messages.DirectoryRecord
    source: str
    handle: str
    use: view.Use


class Run:
    """One generation as this host relays it.

    Attributes:
        flight: The request.
        record: The server that runs it now.
        reply: Its open answer.
        cutter: Cuts its events; knows the last one passed on.
        done: True once the caller has its answer, or never will.
        copy: The last copy made of the run, None when there is none.
        moved: Set once the run has been stopped for a move, or could not be; None without one.
    """

    __slots__ = ("flight", "record", "reply", "cutter", "done", "copy", "moved")

    def __init__(self, flight: view.Flight, reply: sender.Reply):
        self.flight = flight
        self.record = reply.record
        self.reply = reply
        self.cutter = events.EventCutter()
        self.done = False
        self.copy: Copy | None = None
        self.moved: curio.Event | None = None

    def keep_copy(self, copy: Copy | None) -> None:
        """Put a copy in the place of the one before."""
        if self.copy is not None:
            self.copy.use.close()
        self.copy = copy

    def attempt(self) -> str:
        """Return the id of the run's request."""
        return self.flight.request.attempt


class StreamForwarder:
    """Relays event streams.

    Attributes:
        runs: Open runs by server id.
        on_late: Called with a run that begins at a server that has said that it will end.
    """

    def __init__(self, core: kernel.Kernel, send: sender.Sender, budgets: refusals.Budgets):
        self.core = core
        self.sender = send
        self.view = send.view
        self.budgets = budgets
        self.runs: dict[str, dict[str, Run]] = {}
        self.on_late: list[collections.abc.Callable[[Run], typing.Awaitable[None]]] = []

    async def forward(self, exchange: http.Exchange, flight: view.Flight) -> None:
        """Answer one request for a stream.

        Raises:
            NotRunError: It did not run and never will.
            HttpError: Whether it ran is not known.
            UpstreamError: The stream broke off after its first part was passed on.
        """
        reply = await self._start(flight)
        flight.status = reply.answer.status
        run = Run(flight, reply)
        self._register(run)
        try:
            if reply.answer.status != OK:
                await self._pass_failure(exchange, reply)
                return
            await exchange.start(reply.answer.status, reply.answer.headers)
            await self._tell_if_late(run)
            await self._relay(exchange, run)
            await exchange.end()
        finally:
            await self._close(run)

    async def _tell_if_late(self, run: Run) -> None:
        """Tell of a run that began too late to be in the plan that empties its server."""
        if self.view.stays(run.record):
            return
        for call in self.on_late:
            await call(run)

    async def _close(self, run: Run) -> None:
        self._unregister(run)
        run.done = True
        copy = run.copy
        run.keep_copy(None)
        if copy is not None:
            await self.core.spawn(self.drop_copy(run.attempt(), run.record, copy))

    # -- start -----------------------------------------------------------------------------

    async def _start(self, flight: view.Flight) -> sender.Reply:
        tokens = expected_tokens(flight.request.prompt)
        for _ in range(MAX_REFUSALS):
            candidate = self._choose(flight, tokens)
            if candidate is None:
                break
            flight.tried.append(candidate.record.server)
            self._log_choice(flight, candidate, tokens)
            try:
                reply = await self._send(flight, candidate.record, None)
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

    async def _send(
        self,
        flight: view.Flight,
        record: messages.DirectoryRecord,
        resume: dialect.Resume | None,
    ) -> sender.Reply:
        """Send the request, or its continuation."""
        now = self.core.clock.monotonic()
        sending = dialect.Sending(
            record.server,
            "" if flight.customer is None else flight.customer.name,
            flight.caller_deadline_at - now,
            flight.route.priority,
            resume,
        )
        prompt = flight.request.prompt
        unread = prompt.tokens if resume is None else 0
        return await self.sender.send(
            flight, record, sending, flight.deadline_at - now, expected_tokens(prompt), unread
        )

    def _choose(self, flight: view.Flight, tokens: int) -> balance.Candidate | None:
        wish = balance.Wish(
            flight.service,
            tokens,
            flight.regions(),
            frozenset(flight.tried),
            ADMISSION_LIMIT,
            unread=flight.request.prompt.tokens,
            unread_limit=READ_TOKENS_PER_S * flight.route.target_s,
            lasting=is_lasting(flight.request.prompt),
        )
        chosen = self.view.choose(wish)
        if chosen is None:
            flight.reason = flight.reason or "no server with room"
        return chosen

    def _log_choice(self, flight: view.Flight, candidate: balance.Candidate, tokens: int) -> None:
        """Log where a stream goes; its host may not live to log how it ended."""
        state = candidate.state
        self.core.log.info(
            "server_chosen",
            request=flight.request.attempt,
            server=candidate.record.server,
            tokens=tokens,
            own_tokens=state.tokens,
            other_tokens=state.other_tokens,
            unread=state.unread + state.other_unread,
            report_age_ms=int(candidate.age_s * 1000),
        )

    async def _drop(self, reply: sender.Reply) -> None:
        try:
            await reply.connection.body(http.WRITE_TIMEOUT_S, sender.MAX_ENGINE_ANSWER_BYTES)
        except exceptions.UpstreamError:
            await self.sender.abandon(reply)
            return
        await self.sender.finish(reply)

    async def _pass_failure(self, exchange: http.Exchange, reply: sender.Reply) -> None:
        try:
            body = await reply.connection.body(http.WRITE_TIMEOUT_S, sender.MAX_ENGINE_ANSWER_BYTES)
        except BaseException:
            await self.sender.abandon(reply)
            raise
        self.view.state_of(reply.record).note_answer(reply.answer.status >= sender.SERVER_ERROR)
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
                if self.view.stays(run.record):
                    self.view.state_of(run.record).note_answer(failed=True)
                self._unregister(run)
                await self._go_on(run, error)
                self._register(run)
            except BaseException:
                await self.sender.abandon(run.reply)
                raise

    async def _go_on(self, run: Run, error: exceptions.UpstreamError) -> None:
        """Open a run that broke off at the server where it goes on.

        Raises:
            UpstreamError: It goes on nowhere.
        """
        if run.moved is not None:
            async with curio.ignore_after(HAND_OVER_S):
                await run.moved.wait()
        copy = run.copy
        if copy is None or not self.view.stays(copy.record):
            raise error
        resume = dialect.Resume(copy.source, copy.handle, run.cutter.last_id)
        run.keep_copy(None)
        reply = await self._send(run.flight, copy.record, resume)
        if reply.answer.status != OK:
            await self._drop(reply)
            raise exceptions.UpstreamError(
                f"continuation refused with {reply.answer.status}",
                "resume",
                copy.record.address,
                True,
            )
        self.core.log.info(
            "run_resumed",
            request=run.attempt(),
            server=copy.record.server,
            before=run.record.server,
            last_event=run.cutter.last_id,
            cause=error,
        )
        run.record = reply.record
        run.reply = reply
        run.moved = None
        run.cutter.buffer = b""

    async def _pass_events(self, exchange: http.Exchange, run: Run) -> None:
        left_s = run.flight.deadline_at - self.core.clock.monotonic()
        async for chunk in run.reply.connection.chunks(left_s):
            whole = run.cutter.feed(chunk)
            if whole:
                run.reply.use.begun()
                run.flight.note_event(self.core.clock.monotonic())
                await exchange.write(whole)
        if run.cutter.buffer:
            # What follows the last event without a blank line still belongs to the answer.
            await exchange.write(run.cutter.buffer)

    async def drop_copy(self, attempt: str, record: messages.DirectoryRecord, copy: Copy) -> None:
        """Free the copy of a run that ended at its server before it was needed."""
        call = self.sender.dialect.drop_copy_call(copy.handle)
        try:
            await self.sender.call_engine(record, call, DROP_TIMEOUT_S)
        except exceptions.UpstreamError as error:
            # The server that holds it forgets it by itself in a few seconds.
            self.core.log.info("copy_not_dropped", request=attempt, error=error)

    def _register(self, run: Run) -> None:
        self.runs.setdefault(run.record.server, {})[run.attempt()] = run

    def _unregister(self, run: Run) -> None:
        held = self.runs.get(run.record.server)
        if held is not None:
            held.pop(run.attempt(), None)
            if not held:
                del self.runs[run.record.server]


def is_lasting(prompt: dialect.Prompt) -> bool:
    """Return whether a generation is expected to outlast the notice of a server that ends."""
    return expected_answer(prompt) >= LASTING_TOKENS


def expected_answer(prompt: dialect.Prompt) -> int:
    """Return how many tokens a generation is expected to make."""
    answer = prompt.expected_tokens or int(prompt.most_tokens * UNKNOWN_SHARE)
    return min(answer, prompt.most_tokens) if prompt.most_tokens else answer


def expected_tokens(prompt: dialect.Prompt) -> int:
    """Return how much memory a generation is expected to need in the end."""
    return prompt.tokens + expected_answer(prompt)
