"""What is recorded of an answer that has ended, and which call an answer is taken for."""

import types

import curio
import pytest

import platformserver
from ebonywheel import clock, messages
from ebonywheel.gateway import dialect, inflight, pool, sender, view
from ebonywheel_platform import language

RECORD = messages.DirectoryRecord("s", 1, service="book")
ANSWER_S = 0.25


class Pool:
    """Records the connections that are kept."""

    def __init__(self):
        self.kept = []

    async def release(self, record, connection, keep_alive_s):
        self.kept.append(connection)


class Connection:
    async def close(self):
        pass


@pytest.fixture
def request_sender():
    core = types.SimpleNamespace(
        clock=clock.ManualClock(100.0),
        host=types.SimpleNamespace(name="entry-1", data_centre="puget-a"),
        metrics=types.SimpleNamespace(count=lambda name, **labels: None),
    )
    entry_view = view.EntryView(core, lambda content: None, {}, 1)
    created = sender.Sender(core, entry_view, None)
    created.pool = Pool()
    return created


# Guards against a pace for brittle servers that grows with their rejections, which take no time.
@pytest.mark.parametrize(
    ("status", "not_run", "expected"),
    [(200, False, ANSWER_S), (404, False, ANSWER_S), (429, True, None), (503, True, None)],
)
def test_only_answers_of_requests_that_ran_tell_how_long_one_takes(
    request_sender, status, not_run, expected
):
    state = request_sender.view.state_of(RECORD)
    head = dialect.AnswerHead(status, "", not_run, None, None, [])
    reply = sender.Reply(RECORD, Connection(), head, inflight.Reservation(state, 0), 100.0)
    request_sender.core.clock.advance(ANSWER_S)
    curio.run(request_sender.finish, reply)
    assert request_sender.view.notices.answer_s.get("book") == expected


# Guards against a late copy of an answer that names no request and is taken for the answer to the
# next one. A refusal is told from the answer to a request that runs.
@pytest.mark.parametrize(
    ("attempt", "not_run", "kept"),
    [("request", False, True), ("request", True, True), ("", True, True), ("", False, False)],
)
def test_a_connection_is_kept_only_if_its_answers_can_be_told_apart(
    request_sender, attempt, not_run, kept
):
    head = dialect.AnswerHead(200, attempt, not_run, None, None, [])
    state = request_sender.view.state_of(RECORD)
    connection = Connection()
    reply = sender.Reply(RECORD, connection, head, inflight.Reservation(state, 0), 100.0)
    curio.run(request_sender.finish, reply)
    assert request_sender.pool.kept == ([connection] if kept else [])


class RepeatingServer:
    """A server that sends each answer a second time, where the next one on the connection is due.

    Attributes:
        record: Its record in the directory.
        reports: Number of reports that it has made.
    """

    def __init__(self):
        self.server = platformserver.PlatformServer("i-1", "plan", "puget-a")
        self.server.before_answer = self.send_late_answer
        self.server.script = self.answer_request
        self.server.engine_report = self.report
        self.record = messages.DirectoryRecord("i-1", 1, address=self.server.address)
        self.reports = 0

    def send_late_answer(self, handler):
        if not isinstance(handler.wfile, RecordedOutput):
            handler.wfile = RecordedOutput(handler.wfile)
        handler.wfile.repeat()

    def answer_request(self, handler, received):
        handler.answer(200, received.headers["x-attempt-id"].encode())

    def report(self):
        self.reports += 1
        return {"queued": self.reports}


class RecordedOutput:
    """Output of a connection that can repeat what was written since it last did."""

    def __init__(self, output):
        self.output = output
        self.written = b""

    def write(self, data):
        self.written += data
        return self.output.write(data)

    def repeat(self):
        self.output.write(self.written)
        self.written = b""

    def flush(self):
        self.output.flush()

    def close(self):
        self.output.close()

    @property
    def closed(self):
        return self.output.closed


@pytest.fixture
def repeating_server():
    created = RepeatingServer()
    yield created
    created.server.close()


async def make_request(request_sender, record, number):
    """Make a request over a pooled connection; return the body that is taken for its answer."""
    attempt = f"request-{number}"
    connection = await request_sender.pool.acquire(record, 1.0)
    await connection.request("POST", "/plan/1", [("x-attempt-id", attempt)], b"", 1.0)
    await request_sender._read_matching_head(connection, attempt, 1.0)
    body = await connection.body(1.0, 1024)
    await request_sender.pool.release(record, connection, None)
    return body.decode()


async def copy_run(request_sender, record, number):
    call = request_sender.dialect.copy_call(f"run-{number}", "10.0.0.2:80", False)
    status, body = await request_sender.call_engine(record, call, 1.0)
    return request_sender.dialect.decode_copy(status, body).handle


async def fetch_report(request_sender, record, number):
    call = request_sender.dialect.report_call()
    status, body = await request_sender.call_engine(record, call, 1.0)
    return request_sender.dialect.decode_report(status, body).waiting


# Guards against an answer that a server sends again, late, and that is taken for the answer to the
# next call on the connection: answers to engine calls do not name their call, so a run went on from
# the copy of another one.
@pytest.mark.parametrize(
    ("first", "second", "answers"),
    [
        (make_request, make_request, ["request-0", "request-1"]),
        (make_request, copy_run, ["request-0", "handle-run-1"]),
        (make_request, fetch_report, ["request-0", 1]),
        (copy_run, make_request, ["handle-run-0", "request-1"]),
        (copy_run, copy_run, ["handle-run-0", "handle-run-1"]),
        (copy_run, fetch_report, ["handle-run-0", 1]),
        (fetch_report, make_request, [1, "request-1"]),
        (fetch_report, copy_run, [1, "handle-run-1"]),
        (fetch_report, fetch_report, [1, 2]),
    ],
)
def test_a_late_answer_is_not_taken_for_that_of_the_next_call(
    request_sender, repeating_server, first, second, answers
):
    request_sender.pool = pool.Pool(clock.SystemClock())
    request_sender.dialect = language.PlatformDialect()

    async def calls():
        return [
            await call(request_sender, repeating_server.record, number)
            for number, call in enumerate((first, second))
        ]

    assert curio.run(calls) == answers
