"""Event streams are split into whole events, whatever the chunk boundaries."""

import time

import pytest

from ebonywheel import exceptions
from ebonywheel.gateway import events

STREAM = b"id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\ndata: c\n\n"


@pytest.mark.parametrize("size", range(1, len(STREAM) + 1))
def test_every_chunk_size_gives_the_same_bytes_and_only_whole_events(size):
    splitter = events.EventSplitter()
    forwarded = b""
    for start in range(0, len(STREAM), size):
        complete = splitter.feed(STREAM[start : start + size])
        assert complete == b"" or complete.endswith(b"\n\n")
        forwarded += complete
    assert forwarded == STREAM
    assert (splitter.last_id, splitter.count, splitter.buffer) == ("3", 3, b"")


def test_an_incomplete_event_is_buffered():
    splitter = events.EventSplitter()
    assert splitter.feed(b"id: 1\ndata: a\n\nid: 2\nda") == b"id: 1\ndata: a\n\n"
    assert splitter.last_id == "1"


def test_an_event_without_an_id_keeps_the_last_id():
    splitter = events.EventSplitter()
    splitter.feed(b"id: 7\ndata: a\n\n: still here\n\n")
    assert splitter.last_id == "7"


def test_an_event_without_end_is_refused():
    """A server in trouble may send bytes until its connection is closed."""
    splitter = events.EventSplitter()
    fed = 0
    with pytest.raises(exceptions.UpstreamError):
        while fed < 2 * events.MAX_EVENT_BYTES:
            splitter.feed(b"x" * 16_384)
            fed += 16_384
    assert fed <= events.MAX_EVENT_BYTES


def test_bytes_of_an_unfinished_event_are_searched_once():
    """Searching all of them with each part froze the other streams of the host."""
    splitter = events.EventSplitter()
    started_at = time.process_time()
    for _ in range(events.MAX_EVENT_BYTES // 16):
        splitter.feed(b"x" * 16)
    assert time.process_time() - started_at < 0.5


# Guards against events that are held back or not counted as their lines end with CR LF or CR.
@pytest.mark.parametrize("line_end", [b"\r\n", b"\r"])
@pytest.mark.parametrize("size", range(1, 40))
def test_every_line_end_is_known_at_every_chunk_size(line_end, size):
    stream = STREAM.replace(b"\n", line_end)
    events_end = line_end * 2
    splitter = events.EventSplitter()
    forwarded = b""
    for start in range(0, len(stream), size):
        forwarded += splitter.feed(stream[start : start + size])
        received = stream[: start + size]
        whole = received.rfind(events_end)
        assert len(forwarded) >= (0 if whole < 0 else whole + len(events_end) - 1)
        assert received.startswith(forwarded)
    assert (forwarded + splitter.buffer, splitter.buffer.strip(b"\n")) == (stream, b"")
    assert (splitter.last_id, splitter.count) == ("3", 3)


@pytest.mark.parametrize("blank", [b"\n\n", b"\n\r", b"\r\n\n", b"\n\r\n", b"\r\n\r", b"\r\r\n"])
def test_line_ends_may_be_mixed(blank):
    splitter = events.EventSplitter()
    event = b"id: 1\r\ndata: a\rdata: b\ndata: c" + blank
    assert splitter.feed(event) + splitter.buffer == event
    assert (splitter.last_id, splitter.count) == ("1", 1)


def test_the_end_of_one_line_ends_no_event():
    splitter = events.EventSplitter()
    for part in (b"id: 1\r", b"\n", b"data: a\r\nda", b"ta: b\r", b"\n"):
        assert splitter.feed(part) == b""
    assert splitter.feed(b"\r") == b"id: 1\r\ndata: a\r\ndata: b\r\n\r"


# Guards against streams that end inside an event and are taken for whole, and whole ones that are
# not. A comment is no event, but one that is cut shows that more should have followed.
@pytest.mark.parametrize("line_end", [b"\n", b"\r\n", b"\r"])
@pytest.mark.parametrize(
    ("rest", "whole"),
    [
        (b"", True),
        (b"\n\n\n", True),
        (b": bye\n", True),
        (b"\n: bye\n: bye\n\n", True),
        (b": by", False),
        (b":", False),
        (b"id: 2", False),
        (b"data\n", False),
        (b": bye\ndata: b\n", False),
        (b"data: b\n: bye\n", False),
    ],
)
def test_a_stream_may_end_between_events_only(rest, whole, line_end):
    splitter = events.EventSplitter()
    assert not splitter.is_whole(framed=True)
    splitter.feed(b"id: 1\n\n".replace(b"\n", line_end))
    splitter.feed(rest.replace(b"\n", line_end))
    assert (splitter.is_whole(framed=True), splitter.is_whole(framed=False)) == (whole, whole)


def test_comments_are_no_events():
    splitter = events.EventSplitter()
    splitter.feed(b": wait\n\n\n: wait\n\n")
    assert splitter.count == 0 and not splitter.is_whole(framed=True)


@pytest.mark.parametrize(
    ("headers", "framed", "closed"),
    [
        ({"content-type": "text/event-stream"}, False, False),
        ({"content-type": "Text/Event-Stream ;charset=utf-8"}, False, False),
        ({"content-type": "text/event-stream", "content-encoding": "gzip"}, True, True),
        ({"content-type": "text/event-streams"}, True, True),
        ({}, True, False),
    ],
)
def test_the_type_of_an_answer_says_how_it_may_end(headers, framed, closed):
    splitter = events.make_splitter("POST", list(headers.items()))
    splitter.feed(b"an answer")
    assert (splitter.is_whole(framed=True), splitter.is_whole(framed=False)) == (framed, closed)


def test_an_answer_without_a_type_is_a_stream_once_it_had_an_event():
    splitter = events.make_splitter("POST", [])
    splitter.feed(b"id: 1\n\nid: 2")
    assert not splitter.is_whole(framed=True)
