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
