"""Event streams are cut into whole events wherever the chunks break."""

import pytest

from ebonywheel.gateway import events

STREAM = b"id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\ndata: c\n\n"


@pytest.mark.parametrize("size", range(1, len(STREAM) + 1))
def test_any_chunks_give_the_same_bytes_and_only_whole_events(size):
    cutter = events.EventCutter()
    passed = b""
    for start in range(0, len(STREAM), size):
        whole = cutter.feed(STREAM[start : start + size])
        assert whole == b"" or whole.endswith(b"\n\n")
        passed += whole
    assert passed == STREAM
    assert (cutter.last_id, cutter.count, cutter.buffer) == ("3", 3, b"")


def test_a_cut_event_is_held_back():
    cutter = events.EventCutter()
    assert cutter.feed(b"id: 1\ndata: a\n\nid: 2\nda") == b"id: 1\ndata: a\n\n"
    assert cutter.last_id == "1"


def test_an_event_without_an_id_keeps_the_last_one():
    cutter = events.EventCutter()
    cutter.feed(b"id: 7\ndata: a\n\n: still here\n\n")
    assert cutter.last_id == "7"
