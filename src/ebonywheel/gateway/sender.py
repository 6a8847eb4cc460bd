"""Sending of a request to a backend server, up to the head of its answer."""

import curio
import msgspec

from ebonywheel import exceptions, httpclient, kernel, messages
from ebonywheel.gateway import balance, dialect, evidence, inflight, pool, reach, routes, view

# Answers to other requests are skipped. After more than this many in a row the connection is
# considered broken.
MAX_STRAY_ANSWERS = 2
WRITE_TIMEOUT_S = 5.0
# Time for a new connection that shows that a server still runs.
PROBE_TIMEOUT_S = 0.5
# A server at its limit refuses connections for a while; one that crashed accepts none within this
# time, as it takes longer to start again.
CONFIRM_TIMEOUT_S = 1.0
CONFIRM_RETRY_S = 0.1
# Answers of engines to report and copy calls have a few kilobytes.
MAX_ENGINE_ANSWER_BYTES = 256 * 1024
# Lowest status that counts as a failure of the server.
STATUS_SERVER_ERROR = 500
# Step of the error for a request that was not sent, as its server's version gets no more requests.
VERSION_STEP = "check version"


# Errors by which a time limit around a request ends it.
TIMEOUTS = (curio.TaskTimeout, curio.TimeoutCancellationError)


class Reply(msgspec.Struct):
    """An answer whose head has been read, but not yet its body.

    Attributes:
        reservation: Counts the request as load of the server until released.
        sent_at: When the request was sent, monotonic seconds.
        tokens_to_read: Prompt tokens, with those in front of it, that the server had to read then.
        observation: The request as one of a roll-out, None without one.
    """

    record: messages.DirectoryRecord
    connection: httpclient.ClientConnection
    head: dialect.AnswerHead
    reservation: inflight.Reservation
    sent_at: float = 0.0
    tokens_to_read: int = 0
    observation: evidence.Observation | None = None


class Sender:
    """Sends requests to backend servers.

    Attributes:
        pool: Connections to the servers.
        reach: Which servers can be reached.
    """

    def __init__(
        self, core: kernel.Kernel, entry_view: view.EntryView, wire_dialect: dialect.Dialect
    ):
        self.core = core
        self.view = entry_view
        self.dialect = wire_dialect
        self.pool = pool.Pool(core.clock)
        self.reach = reach.Reach(core, entry_view, self.pool)

    async def send(
        self,
        context: inflight.RequestContext,
        record: messages.DirectoryRecord,
        sending: dialect.Sending,
        timeout_s: float,
        tokens: int = 0,
        unread: int = 0,
    ) -> Reply:
        """Send a request and read the head of the answer.

        Args:
            context: The request.
            record: The server.
            sending: What to add to the request for the server.
            timeout_s: Longest time to wait for the head of the answer.
            tokens: Memory that the request is expected to need at the server, in tokens.
            unread: Prompt tokens that the server has to read.

        Raises:
            UpstreamError: No answer arrived; its `sent` is true when the request may have run.
        """
        state = self.view.state_of(record)
        sent_at = None
        observation = None
        reservation = inflight.Reservation(state, tokens, unread=unread)
        tokens_to_read = state.unread + state.other_unread if unread else 0
        connection = None
        context.sent = False
        try:
            connection = await self.pool.acquire(record, timeout_s)
            now = self.core.clock.monotonic()
            # This host may have paused since it chose the server. A run that is resumed has been
            # copied there before.
            if sending.resume is None and not self.view.rollouts.may_send(record):
                raise exceptions.UpstreamError(
                    "its version gets no more requests", VERSION_STEP, record.address
                )
            if state.cold_until > now:
                state.cold_request_times.append(now)
            request = context.request
            headers = self.dialect.encode_headers(request, sending)
            if sending.resume is None:
                observation = self.view.rollouts.observe_sent(
                    record, context.route.name, not context.sent_to, state.cold_until > now
                )
            context.sent = True
            context.sent_to.append(record.server)
            if self.view.leaving is not None:
                self.view.leaving.record_sent(record)
            sent_at = now
            state.waiting_since.append(sent_at)
            await connection.request(
                request.method, request.target, headers, request.body, WRITE_TIMEOUT_S
            )
            head = await self._read_matching_head(connection, request.attempt, timeout_s)
        except exceptions.UpstreamError as error:
            reservation.release()
            if observation is not None:
                observation.record_failure(self.core.clock.monotonic())
            self._record_failure(record, state, error)
            if connection is not None:
                await connection.close()
            raise
        except BaseException as error:
            reservation.release()
            if observation is not None and isinstance(error, TIMEOUTS):
                observation.record_failure(self.core.clock.monotonic())
            elif observation is not None:
                # Its caller did not wait any longer.
                observation.record_answer(self.core.clock.monotonic())
            if connection is not None:
                await connection.close()
            raise
        finally:
            if sent_at is not None:
                state.waiting_since.remove(sent_at)
        self.reach.heard(state)
        self.view.limits.observe_answer(record, head.limit_per_s)
        self.view.notices.observe_answer(record, state, head, self.view.share.hosts)
        self.view.paces.observe_head(record, head)
        reply = Reply(record, connection, head, reservation, sent_at, tokens_to_read, observation)
        self._observe_head(reply, context.route.kind is routes.RouteKind.STREAM)
        return reply

    def _observe_head(self, reply: Reply, is_stream: bool) -> None:
        if reply.observation is None:
            return
        now = self.core.clock.monotonic()
        if reply.head.not_run:
            reply.observation.withdraw()
        elif reply.head.status >= STATUS_SERVER_ERROR:
            reply.observation.record_failure(now)
        elif not is_stream:
            reply.observation.record_answer(now)

    async def _read_matching_head(
        self, connection: httpclient.ClientConnection, attempt: str, timeout_s: float
    ) -> dialect.AnswerHead:
        for _ in range(MAX_STRAY_ANSWERS + 1):
            head = self.dialect.decode_answer(await connection.response(timeout_s))
            if head.attempt == attempt or not (head.attempt or connection.names_requests):
                connection.names_requests = bool(head.attempt)
                if head.not_run and not head.attempt and connection.reused:
                    # It may be a copy of an earlier refusal, while this request runs.
                    raise exceptions.UpstreamError(
                        "refusal that names no request", "wait", connection.address, True
                    )
                return head
            self.core.metrics.count("stray_answers")
            await connection.skip_response(timeout_s)
        raise exceptions.UpstreamError(
            "answers of other requests", "wait", connection.address, True
        )

    def _record_failure(
        self,
        record: messages.DirectoryRecord,
        state: balance.ServerState,
        error: exceptions.UpstreamError,
    ) -> None:
        if error.step == VERSION_STEP:
            return
        if error.step != "connect":
            if not error.timed_out:
                state.record_unreachable(self.core.clock.monotonic())
            self.view.paces.observe_failure(record, reset=not error.timed_out)
        state.record_answer(failed=True)
        self.core.metrics.count("upstream_failures", service=record.service, step=error.step)

    async def confirm_end(self, reply: Reply) -> None:
        """Check that an answer that ended with its connection is whole.

        A server that crashes closes its connections, too, but accepts no new one.

        Raises:
            UpstreamError: The server may have crashed.
        """
        if not reply.connection.close_delimited:
            return
        latest_at = self.core.clock.monotonic() + CONFIRM_TIMEOUT_S
        while (error := await self.pool.probe(reply.record, PROBE_TIMEOUT_S)) is not None:
            if self.core.clock.monotonic() >= latest_at:
                raise exceptions.UpstreamError(
                    "server went away at the end of an answer without a length",
                    "confirm end",
                    reply.record.address,
                    True,
                ) from error
            await curio.sleep(CONFIRM_RETRY_S)

    def record_heard(self, reply: Reply) -> None:
        """Record that a part of an answer has arrived."""
        if reply.reservation.state is not None:
            self.reach.heard(reply.reservation.state)

    def record_events(self, reply: Reply) -> None:
        """Record that events of a stream have arrived."""
        reply.reservation.mark_answer_begun()
        if reply.observation is not None:
            reply.observation.record_answer(self.core.clock.monotonic())

    async def finish(self, reply: Reply) -> None:
        """Return the connection to the pool after the whole answer has been read."""
        reply.reservation.release()
        if reply.observation is not None:
            reply.observation.record_answer(self.core.clock.monotonic())
        elapsed_s = self.core.clock.monotonic() - reply.sent_at
        server_failed = reply.head.status >= STATUS_SERVER_ERROR
        if not reply.head.not_run:
            work_s = None if reply.reservation.tokens else elapsed_s
            self.view.paces.observe_answer(reply.record, server_failed, work_s)
        if not server_failed and not reply.head.not_run:
            self.view.notices.record_answer_time(reply.record.service, elapsed_s)
        if reply.head.attempt or reply.head.not_run:
            await self.pool.release(reply.record, reply.connection, reply.head.keep_alive_s)
        else:
            # A late copy of this answer could not be told from the answer to the next request.
            await reply.connection.close()

    async def abandon(self, reply: Reply, error: BaseException | None = None) -> None:
        """Close the connection during an answer, which cancels the work at the server.

        Args:
            reply: The answer.
            error: What ended it, a failure of its server if it is an `UpstreamError`.
        """
        reply.reservation.release()
        if reply.observation is not None:
            now = self.core.clock.monotonic()
            if isinstance(error, exceptions.UpstreamError):
                reply.observation.record_failure(now)
            else:
                reply.observation.record_answer(now)
        await reply.connection.close()

    async def call_engine(
        self, record: messages.DirectoryRecord, call: dialect.EngineCall, timeout_s: float
    ) -> tuple[int, bytes]:
        """Call an engine's management interface and return the status and body of the answer.

        The answer does not say which call it answers, so each call has a connection of its own: on
        a shared one, a late copy of an earlier answer would be taken for it.

        Raises:
            UpstreamError: No complete answer arrived.
        """
        connection = await self.pool.open(record, timeout_s)
        try:
            headers = [("content-type", "application/json")] if call.body else []
            await connection.request(call.method, call.target, headers, call.body, timeout_s)
            head = await connection.response(timeout_s)
            body = await connection.body(timeout_s, MAX_ENGINE_ANSWER_BYTES)
        finally:
            async with curio.disable_cancellation():
                await connection.close()
        return head.status, body
