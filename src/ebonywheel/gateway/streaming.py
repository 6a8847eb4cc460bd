"""Relaying of event streams.

A generation starts at a server with memory for it. When the server shuts down, the generation
resumes at the server that holds a copy of it.
"""

import collections.abc
import typing

import curio

from ebonywheel import exceptions, http, kernel, messages
from ebonywheel.gateway import (
    budgets,
    copies,
    crashes,
    dialect,
    inflight,
    permitclient,
    refusals,
    relayedrun,
    sender,
    starts,
)

MAX_SERVERS_TRIED = 3
STATUS_OK = 200
# Pause after which a stream counts as stalled, whatever bytes arrive that end no event. A preempted
# generation pauses for some seconds.
STALL_TIMEOUT_S = 10.0
# How long a stopped run waits for its second copy to complete.
HAND_OVER_TIMEOUT_S = 3.0
# How long a server that holds a copy may accept no connection, as one at its limit does. Copies are
# kept for some seconds.
COPY_CONNECT_TIMEOUT_S = 2.0
COPY_CONNECT_RETRY_S = 0.1


class StreamForwarder:
    """Relays event streams.

    Attributes:
        copies: Copies of the runs at other servers.
        starts: Selects the servers at which runs start.
        runs: Open runs by server id.
        on_late_run: Called with a run that began after its server's shutdown notice.
    """

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
        self.copies = copies.Copies(core, request_sender)
        self.starts = starts.Starts(core, request_sender.view)
        self.runs: dict[str, dict[str, relayedrun.Run]] = {}
        self.on_late_run: list[
            collections.abc.Callable[[relayedrun.Run], typing.Awaitable[None]]
        ] = []

    async def forward(
        self, exchange: http.ResponseWriter, context: inflight.RequestContext
    ) -> None:
        """Answer one request with an event stream.

        Raises:
            ElsewhereError: This host cannot reach the servers; another one may.
            NotRunError: The request did not and will not run.
            HttpError: It is unknown whether the request ran.
            UpstreamError: The stream broke off after a part of it was relayed.
        """
        reply = await self._start_run(context)
        context.status = reply.head.status
        run = relayedrun.Run(context, reply)
        self._register(run)
        try:
            if reply.head.status != STATUS_OK or context.request.method == "HEAD":
                await self._relay_complete(exchange, context, reply)
                return
            try:
                await exchange.start(reply.head.status, reply.head.headers)
                await self._notify_if_late(run)
            except BaseException:
                await self.sender.abandon(reply)
                raise
            await self._relay(exchange, run)
            self.starts.record_end(run)
            await exchange.end()
        finally:
            await self._close(run)

    async def _notify_if_late(self, run: relayedrun.Run) -> None:
        """Report a run that began, or went on, too late to be in the move plan of its server."""
        if self.view.remains_in_service(run.record):
            return
        for callback in self.on_late_run:
            await callback(run)

    async def _close(self, run: relayedrun.Run) -> None:
        self._unregister(run)
        run.closed = True
        copy = run.copy
        run.replace_copy(None)
        if copy is not None:
            await self.core.spawn(self.copies.drop(run.attempt(), run.record, copy))

    # -- start -----------------------------------------------------------------------------

    async def _start_run(self, context: inflight.RequestContext) -> sender.Reply:
        while len(context.tried) < MAX_SERVERS_TRIED and await self.crashes.admit(context):
            candidate = await self.starts.find_server(context)
            if candidate is None:
                break
            if not await self.permits.acquire(candidate.record):
                context.denied.append(candidate.record.server)
                continue
            context.tried.append(candidate.record.server)
            self.starts.log_choice(context, candidate)
            try:
                reply = await self._send(context, candidate.record, None)
            except exceptions.UpstreamError as error:
                context.reason = str(error)
                if error.sent:
                    await self._record_broken(context, candidate.record, error, 0)
                    raise refusals.outcome_unknown_error(context) from error
                continue
            if not reply.head.not_run:
                return reply
            context.reason = f"refused by {candidate.record.server}"
            await self._discard_answer(context, reply)
            if not self.budgets.take_retry(context.service.name):
                break
        raise refusals.not_run_error(context, self.starts.retry_after_s(context))

    async def _send(
        self,
        context: inflight.RequestContext,
        record: messages.DirectoryRecord,
        resume: dialect.Resume | None,
    ) -> sender.Reply:
        """Send a new request, or resume its run."""
        now = self.core.clock.monotonic()
        sending = dialect.Sending(
            record.server,
            "" if context.customer is None else context.customer.name,
            context.caller_deadline_at - now,
            context.route.priority,
            resume,
        )
        prompt = context.request.prompt
        unread = prompt.tokens if resume is None else 0
        return await self.sender.send(
            context,
            record,
            sending,
            context.deadline_at - now,
            prompt.expected_memory_tokens(),
            unread,
        )

    async def _read_body(self, context: inflight.RequestContext, reply: sender.Reply) -> bytes:
        """Read the body of an answer that is no stream, until the deadline; raises like `body`."""
        remaining_s = context.deadline_at - self.core.clock.monotonic()
        return await reply.connection.body(remaining_s, sender.MAX_ENGINE_ANSWER_BYTES)

    async def _discard_answer(self, context: inflight.RequestContext, reply: sender.Reply) -> None:
        try:
            await self._read_body(context, reply)
        except exceptions.UpstreamError:
            await self.sender.abandon(reply)
            return
        await self.sender.finish(reply)

    async def _relay_complete(
        self, exchange: http.ResponseWriter, context: inflight.RequestContext, reply: sender.Reply
    ) -> None:
        try:
            body = await self._read_body(context, reply)
            await self.sender.confirm_end(reply)
        except BaseException as error:
            await self.sender.abandon(reply, error)
            raise
        server_failed = reply.head.status >= sender.STATUS_SERVER_ERROR
        self.view.state_of(reply.record).record_answer(server_failed)
        await self.sender.finish(reply)
        if not server_failed:
            await self.crashes.record_success(context)
        head = reply.head
        length = http.length_fields(context.request.method, head.status, body, head.length)
        await exchange.respond_raw(head.status, [*head.headers, *length], body)

    # -- relay -----------------------------------------------------------------------------

    async def _relay(self, exchange: http.ResponseWriter, run: relayedrun.Run) -> None:
        """Relay events until the run finishes, resuming it at another server when it breaks off."""
        while True:
            try:
                async with curio.timeout_after(
                    run.context.deadline_at - self.core.clock.monotonic()
                ):
                    await self._relay_events(exchange, run)
                await self.sender.finish(run.reply)
                await self.crashes.record_success(run.context)
                return
            except exceptions.UpstreamError as error:
                # A run that is handed over was broken off by this host.
                await self.sender.abandon(run.reply, error if run.move_finished is None else None)
                await self._record_broken(run.context, run.record, error, run.splitter.count)
                if self.view.remains_in_service(run.record):
                    self.view.state_of(run.record).record_answer(failed=True)
                    self.view.paces.observe_failure(run.record, reset=not error.timed_out)
                self._unregister(run)
                await self._resume(run, error)
                self._register(run)
                await self._notify_if_late(run)
            except BaseException:
                await self.sender.abandon(run.reply)
                raise

    async def _record_broken(
        self,
        context: inflight.RequestContext,
        record: messages.DirectoryRecord,
        error: exceptions.UpstreamError,
        events_received: int,
    ) -> None:
        """Log what a broken answer's prompt shares with others, and check its server."""
        progress = "some" if events_received else "none"
        self.core.metrics.count("answers_broken_off", service=record.service, events=progress)
        self.core.log.warning(
            "answer_broken_off",
            request=context.request.attempt,
            server=record.server,
            parts=" ".join(context.request.prompt.shared_parts),
            head=context.status != 0,
            events=events_received,
            error=error,
        )
        await self.crashes.record_broken(context, record, error)

    async def _resume(self, run: relayedrun.Run, error: exceptions.UpstreamError) -> None:
        """Resume a run that broke off, at the server that holds its copy.

        It is resumed only once the server before is known not to work on it any more.

        Raises:
            UpstreamError: The run cannot be resumed.
        """
        if run.move_finished is not None:
            async with curio.ignore_after(HAND_OVER_TIMEOUT_S):
                await run.move_finished.wait()
        run.broken = True
        if run.copy is None or not await self.copies.stop(run):
            raise error
        if not await self._may_resume(run):
            raise error
        copy = run.copy
        if not self.copies.is_usable(copy):
            raise error
        resume = dialect.Resume(copy.source, copy.handle, run.splitter.last_id)
        run.replace_copy(None)
        reply = await self._send_to_copy(run, copy, resume)
        if reply.head.status != STATUS_OK:
            await self._discard_answer(run.context, reply)
            raise exceptions.UpstreamError(
                f"continuation refused with {reply.head.status}",
                "resume",
                copy.record.address,
                True,
            )
        self.core.log.info(
            "run_resumed",
            request=run.attempt(),
            server=copy.record.server,
            before=run.record.server,
            last_event=run.splitter.last_id,
            cause=error,
        )
        run.continue_with(reply)

    async def _send_to_copy(
        self, run: relayedrun.Run, copy: relayedrun.Copy, resume: dialect.Resume
    ) -> sender.Reply:
        """Send a run to the server that holds its copy, once that accepts a connection.

        Raises:
            UpstreamError: The server accepts none in time, or did not answer.
        """
        context = run.context
        latest_at = self.core.clock.monotonic() + COPY_CONNECT_TIMEOUT_S
        latest_at = min(latest_at, context.deadline_at)
        while True:
            try:
                return await self._send(context, copy.record, resume)
            except exceptions.UpstreamError as error:
                in_time = self.core.clock.monotonic() < latest_at
                if error.sent or not in_time or not self.copies.is_usable(copy):
                    raise
                self.core.log.info(
                    "copy_not_reached",
                    request=run.attempt(),
                    server=copy.record.server,
                    error=error,
                )
            await curio.sleep(COPY_CONNECT_RETRY_S)

    async def _may_resume(self, run: relayedrun.Run) -> bool:
        """Return whether a run that broke off may be sent to another server."""
        if not run.stopped:
            return await self.crashes.admit(run.context)
        # Its server has not crashed. A run that is handed over was admitted before it was stopped.
        handed_over = run.move_finished is not None
        return handed_over or await self.crashes.admit_running(run.context)

    async def _relay_events(self, exchange: http.ResponseWriter, run: relayedrun.Run) -> None:
        connection = run.reply.connection
        waiting_since = self.core.clock.monotonic()
        while (chunk := await connection.read_chunk(self._silence_timeout_s(run))) is not None:
            self.sender.record_heard(run.reply)
            whole_events = run.splitter.feed(chunk)
            if whole_events:
                run.observe_pace(self.view.paces, waiting_since)
                self.sender.record_events(run.reply)
                run.context.record_events(self.core.clock.monotonic())
                await self.crashes.record_progress(run.context)
                await exchange.write(whole_events)
                waiting_since = self.core.clock.monotonic()
        self._check_whole(run)
        await self.sender.confirm_end(run.reply)
        if run.splitter.buffer:
            # Blank lines and comments after the last event are still part of the answer.
            await exchange.write(bytes(run.splitter.buffer))

    def _check_whole(self, run: relayedrun.Run) -> None:
        """Check a stream whose end was received.

        Raises:
            UpstreamError: It broke off, or was stopped to be handed over.
        """
        framed = not run.reply.connection.close_delimited
        stopped = run.move_finished is not None and not framed
        if stopped or not run.splitter.is_whole(framed):
            raise exceptions.UpstreamError(
                "stream ended inside an event or without one", "relay", run.record.address, True
            )

    def _silence_timeout_s(self, run: relayedrun.Run) -> float:
        """Return how long to wait for further bytes of a stream.

        Raises:
            UpstreamError: The stream has stalled.
        """
        context = run.context
        now = self.core.clock.monotonic()
        if not context.first_event_at:
            return context.deadline_at - now
        timeout_s = context.last_event_at + STALL_TIMEOUT_S - now
        if timeout_s <= 0:
            raise exceptions.UpstreamError(
                "no whole event in time", "relay", run.record.address, True, timed_out=True
            )
        return timeout_s

    def _register(self, run: relayedrun.Run) -> None:
        self.runs.setdefault(run.record.server, {})[run.attempt()] = run

    def _unregister(self, run: relayedrun.Run) -> None:
        server_runs = self.runs.get(run.record.server)
        if server_runs is not None:
            server_runs.pop(run.attempt(), None)
            if not server_runs:
                del self.runs[run.record.server]
