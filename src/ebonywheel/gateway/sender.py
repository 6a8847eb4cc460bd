"""One request sent to one backend server, and the head of its answer."""

import curio
import msgspec

from ebonywheel import exceptions, httpclient, kernel, messages
from ebonywheel.gateway import balance, dialect, pool, view

# An answer that arrives where another is due belongs to no request; more than a few in a row
# mean that the connection is not to be trusted.
MAX_STRAY_ANSWERS = 2
WRITE_TIMEOUT_S = 5.0
# Reports and copies answer with a few kilobytes.
MAX_ENGINE_ANSWER_BYTES = 256 * 1024
# Least status of an answer that counts as the server's failure.
SERVER_ERROR = 500


class Reply(msgspec.Struct):
    """An answer whose head has been read; its body is still to come.

    Attributes:
        use: Counts the request at the server until it is closed.
    """

    record: messages.DirectoryRecord
    connection: httpclient.ClientConnection
    answer: dialect.Answer
    use: view.Use


class Sender:
    """Sends requests to backend servers.

    Attributes:
        pool: Connections to them.
    """

    def __init__(self, core: kernel.Kernel, entry_view: view.EntryView, language: dialect.Dialect):
        self.core = core
        self.view = entry_view
        self.dialect = language
        self.pool = pool.Pool(core.clock)

    async def send(
        self,
        flight: view.Flight,
        record: messages.DirectoryRecord,
        sending: dialect.Sending,
        timeout_s: float,
        tokens: int = 0,
        unread: int = 0,
    ) -> Reply:
        """Send a request and read the head of the answer.

        Args:
            flight: The request.
            record: The server.
            sending: What is added for it.
            timeout_s: Longest time to the head of the answer.
            tokens: Memory that it is expected to need there.
            unread: Tokens that the server has to read first.

        Raises:
            UpstreamError: There is no answer; `sent` tells whether the request may have run.
        """
        state = self.view.state_of(record)
        use = view.Use(state, tokens, unread=unread)
        connection = None
        try:
            connection = await self.pool.acquire(record, timeout_s)
            now = self.core.clock.monotonic()
            if state.cold_until > now:
                state.cold_sends.append(now)
            request = flight.request
            headers = self.dialect.encode_headers(request, sending)
            await connection.request(
                request.method, request.target, headers, request.body, WRITE_TIMEOUT_S
            )
            answer = await self._own_answer(connection, request.attempt, timeout_s)
        except exceptions.UpstreamError as error:
            use.close()
            self._note_failure(record, state, error)
            if connection is not None:
                await connection.close()
            raise
        except BaseException:
            use.close()
            if connection is not None:
                await connection.close()
            raise
        return Reply(record, connection, answer, use)

    async def _own_answer(
        self, connection: httpclient.ClientConnection, attempt: str, timeout_s: float
    ) -> dialect.Answer:
        for _ in range(MAX_STRAY_ANSWERS + 1):
            answer = self.dialect.decode_answer(await connection.response(timeout_s))
            if answer.attempt in ("", attempt):
                return answer
            self.core.metrics.count("stray_answers")
            await connection.skip_answer(timeout_s)
        raise exceptions.UpstreamError(
            "answers of other requests", "wait", connection.address, True
        )

    def _note_failure(
        self,
        record: messages.DirectoryRecord,
        state: balance.ServerState,
        error: exceptions.UpstreamError,
    ) -> None:
        if error.step == "connect" or not error.timed_out:
            state.note_unreachable(self.core.clock.monotonic())
        state.note_answer(failed=True)
        self.core.metrics.count("upstream_failures", service=record.service, step=error.step)

    async def finish(self, reply: Reply) -> None:
        """Give a connection back after a whole answer."""
        reply.use.close()
        await self.pool.release(reply.record, reply.connection, reply.answer.keep_s)

    async def abandon(self, reply: Reply) -> None:
        """Close a connection in the middle of an answer, which ends the work at the server."""
        reply.use.close()
        await reply.connection.close()

    async def call_engine(
        self, record: messages.DirectoryRecord, call: dialect.EngineCall, timeout_s: float
    ) -> tuple[int, bytes]:
        """Make a call to an engine's own interface and return status and body.

        Raises:
            UpstreamError: There is no whole answer.
        """
        connection = await self.pool.acquire(record, timeout_s)
        try:
            headers = [("content-type", "application/json")] if call.body else []
            await connection.request(call.method, call.target, headers, call.body, timeout_s)
            head = await connection.response(timeout_s)
            body = await connection.body(timeout_s, MAX_ENGINE_ANSWER_BYTES)
        except BaseException:
            async with curio.disable_cancellation():
                await connection.close()
            raise
        await self.pool.release(record, connection, self.dialect.decode_answer(head).keep_s)
        return head.status, body
