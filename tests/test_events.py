"""Event streams are split into whole events, whatever the chunk boundaries."""

import pytest

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
