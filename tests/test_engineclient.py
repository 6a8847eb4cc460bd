"""Parsing of engine responses, split into chunks at any byte."""

import hypothesis
import pytest
from hypothesis import strategies

from ebonywheel import engineclient, exceptions
from homes import make_announcement

TOKEN_TEXTS = ["a", "å", "\\n", 'quote \\" and \\\\', "\\u0041", "", "{}", "日本"]


def make_stream():
    return engineclient.EngineStream(make_announcement().state)


def make_body():
    events = [
        f'id: {index}\ndata: {{"index":{index},"text":"{text}"}}\n\n'
        for index, text in enumerate(TOKEN_TEXTS)
    ]
    events.insert(3, ": keep-alive\n\n")
    return ("".join(events) + 'event: end\ndata: {"tokens":8}\n\n').encode()


def list_tokens(events):
    return [
        (event.first + offset, data)
        for event in events
        if isinstance(event, engineclient.Tokens)
        for offset, data in enumerate(event.data)
    ]


class TestParse:
    @hypothesis.settings(max_examples=100, derandomize=True, deadline=None, database=None)
    @hypothesis.given(strategies.lists(strategies.integers(0, len(make_body())), max_size=8))
    def test_events_do_not_depend_on_chunk_boundaries(self, cuts):
        engine_stream, events, start = make_stream(), [], 0
        for cut in [*sorted(cuts), len(make_body())]:
            events += engine_stream._parse(make_body()[start:cut])
            start = cut
        indexed_tokens = list_tokens(events)
        assert [index for index, _ in indexed_tokens] == list(range(len(TOKEN_TEXTS)))
        assert isinstance(events[-1], engineclient.End)
        assert sum(isinstance(event, engineclient.KeepAlive) for event in events) == 1

    # Guards against events that are never read as their lines end with CR LF or CR, and an end that
    # counts although it is cut off.
    @pytest.mark.parametrize("line_end", [b"\r\n", b"\r"])
    @pytest.mark.parametrize("size", [1, 2, 3, 50, 10_000])
    def test_every_line_end_is_known(self, line_end, size):
        body = make_body().replace(b"\n", line_end)
        engine_stream, events = make_stream(), []
        for start in range(0, len(body), size):
            events += engine_stream._parse(body[start : start + size])
        assert list_tokens(events) == list_tokens(make_stream()._parse(make_body()))
        assert isinstance(events[-1], engineclient.End)
        cut_events = make_stream()._parse(body[: -len(line_end)])
        assert not any(isinstance(event, engineclient.End) for event in cut_events)

    @pytest.mark.parametrize(
        "data",
        [
            b"data: {not json\n\n",
            b'data: {"index":"x","text":"a"}\n\n',
            b'data: {"index":1}\n\n',
            b"event: end\ndata: []\n\n",
            b"data: " + b"x" * (engineclient.MAX_EVENT_BYTES + 1),
        ],
    )
    def test_malformed_event_is_refused(self, data):
        with pytest.raises(exceptions.UpstreamError):
            make_stream()._parse(data)

    def test_invalid_utf8_is_replaced(self):
        events = make_stream()._parse(b'data: {"index":1,"text":"\xff"}\n\n')
        assert list_tokens(events) == [(1, '{"index":1,"text":"\ufffd"}'.encode())]
