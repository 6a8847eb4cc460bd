"""What is recorded of an answer that has ended, without a network."""

import types

import curio
import pytest

from ebonywheel import clock, messages
from ebonywheel.gateway import dialect, inflight, sender, view

RECORD = messages.DirectoryRecord("s", 1, service="book")
ANSWER_S = 0.25


class Pool:
    async def release(self, record, connection, keep_alive_s):
        pass


@pytest.fixture
def request_sender():
    core = types.SimpleNamespace(
        clock=clock.ManualClock(100.0),
        host=types.SimpleNamespace(name="entry-1", data_centre="puget-a"),
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
    reply = sender.Reply(RECORD, None, head, inflight.Reservation(state, 0), 100.0)
    request_sender.core.clock.advance(ANSWER_S)
    curio.run(request_sender.finish, reply)
    assert request_sender.view.notices.answer_s.get("book") == expected
