"""What engines send, cut anywhere: tokens as bytes, events in order, nonsense refused."""

import hypothesis
import pytest
from hypothesis import strategies

from ebonywheel import engineclient, exceptions
from homes import make_announcement

TEXTS = ["a", "å", "\\n", 'quote \\" and \\\\', "\\u0041", "", "{}", "日本"]


def stream():
    return engineclient.EngineStream(make_announcement().state)


def body():
    events = [
        f'id: {index}\ndata: {{"index":{index},"text":"{text}"}}\n\n'
        for index, text in enumerate(TEXTS)
    ]
    events.insert(3, ": keep-alive\n\n")
    return ("".join(events) + 'event: end\ndata: {"tokens":8}\n\n').encode()


def tokens(events):
    return [
        (held.first + number, data)
        for held in events
        if isinstance(held, engineclient.Tokens)
        for number, data in enumerate(held.data)
    ]


class TestParse:
    @hypothesis.settings(max_examples=100, derandomize=True, deadline=None, database=None)
    @hypothesis.given(strategies.lists(strategies.integers(0, len(body())), max_size=8))
    def test_cut_anywhere_gives_the_same_events(self, cuts):
        engine, events, at = stream(), [], 0
        for cut in [*sorted(cuts), len(body())]:
            events += engine._parse(body()[at:cut])
            at = cut
        found = tokens(events)
        assert [index for index, _ in found] == list(range(len(TEXTS)))
        assert isinstance(events[-1], engineclient.End)
        assert sum(isinstance(event, engineclient.KeepAlive) for event in events) == 1

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
    def test_nonsense_is_refused(self, data):
        with pytest.raises(exceptions.UpstreamError):
            stream()._parse(data)

    def test_bytes_that_are_not_utf8_are_replaced_as_the_format_defines(self):
        events = stream()._parse(b'data: {"index":1,"text":"\xff"}\n\n')
        assert tokens(events) == [(1, '{"index":1,"text":"\ufffd"}'.encode())]
