"""Decoders of what peers send: any bytes are decoded or refused with an error, never a crash.

By hand: ``EBONYWHEEL_DECODER_EXAMPLES=100000 scripts/test tests/test_fuzz_decoders.py``.
"""

import os

import hypothesis
import msgspec
import pytest
from hypothesis import strategies

from ebonywheel import codec, exceptions, http, httpclient, messages
from ebonywheel.gateway import events
from ebonywheel_platform import language, manifest, names, reports

EXAMPLES = int(os.environ.get("EBONYWHEEL_DECODER_EXAMPLES", "200"))
SETTINGS = hypothesis.settings(
    max_examples=EXAMPLES, derandomize=True, deadline=None, database=None
)
DIALECT = language.PlatformDialect()

json_values = strategies.recursive(
    strategies.none() | strategies.booleans() | strategies.integers() | strategies.text(),
    lambda children: strategies.lists(children, max_size=3)
    | strategies.dictionaries(
        strategies.sampled_from(
            ["version", "routes", "services", "tenants", "state", "handle", "runs", "service"]
        ),
        children,
        max_size=4,
    ),
    max_leaves=8,
)
bodies = strategies.binary(max_size=300) | json_values.map(msgspec.json.encode)
header_values = strategies.text(alphabet=strategies.characters(max_codepoint=255), max_size=40)


@pytest.mark.parametrize(
    "decode",
    [
        lambda body: reports.decode("s", body),
        manifest.decode,
        lambda body: DIALECT.decode_report(200, body),
        lambda body: DIALECT.decode_copy(200, body),
    ],
    ids=["report", "routing content", "engine report", "copy"],
)
@hypothesis.given(body=bodies)
@SETTINGS
def test_bodies(decode, body):
    decode(body)


@hypothesis.given(
    values=strategies.dictionaries(
        strategies.sampled_from(
            [
                names.ATTEMPT_ID,
                names.DEADLINE_MS,
                names.TOKEN_COUNTS,
                names.LENGTH_ESTIMATE,
                names.SERVER_LOAD,
                "keep-alive",
                "authorization",
                "host",
            ]
        ),
        header_values,
    )
)
@SETTINGS
def test_headers(values):
    DIALECT.decode_answer(httpclient.ResponseHead(200, list(values.items())))
    request = http.Request("GET", "/", {}, values, b"", "peer", "", list(values.items()))
    try:
        DIALECT.decode_request(request)
    except exceptions.HttpError:
        return


@hypothesis.given(parts=strategies.lists(strategies.binary(max_size=20), max_size=30))
@SETTINGS
def test_events_are_the_same_in_any_parts(parts):
    """But for blank lines between events, which may go with the event before or after them."""
    whole, split = events.EventSplitter(), events.EventSplitter()
    received = b"".join(parts)
    for splitter, fed in ((whole, [received]), (split, parts)):
        assert b"".join(splitter.feed(part) for part in fed) + splitter.buffer == received
    assert (split.last_id, split.count) == (whole.last_id, whole.count)
    assert split.buffer.lstrip(b"\n") == whole.buffer.lstrip(b"\n")


@hypothesis.given(
    number=strategies.integers(0, len(messages.MESSAGES) + 2), body=strategies.binary(max_size=200)
)
@SETTINGS
def test_frames(number, body):
    head = codec.HEADER.pack(len(body), codec.VERSION, codec.FLAG_REQUEST, number, 1)
    try:
        codec.decode_body(codec.decode_header(head), body)
    except exceptions.FrameError:
        return
