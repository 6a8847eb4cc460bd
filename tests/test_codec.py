"""Encoding and decoding of frames."""

import pytest

from ebonywheel import codec, exceptions, messages

MESSAGE = messages.AppendRequest(term=3, leader="a", entries=[messages.LogEntry(1, 2, b"x")])


def body_of(frame):
    return frame[codec.HEADER.size :]


class TestRoundTrip:
    @pytest.mark.parametrize(
        "message_class", messages.MESSAGES, ids=lambda message_class: message_class.__name__
    )
    def test_every_message_with_defaults_is_decoded_unchanged(self, message_class):
        frame = codec.encode(message_class(), 7, codec.FLAG_REQUEST)
        header = codec.decode_header(frame[: codec.HEADER.size])
        assert codec.decode_body(header, body_of(frame)) == message_class()

    def test_nested_values_are_decoded_unchanged(self):
        frame = codec.encode(MESSAGE, 7, codec.FLAG_REPLY)
        header = codec.decode_header(frame[: codec.HEADER.size])
        assert (header.exchange, header.flag) == (7, codec.FLAG_REPLY)
        assert codec.decode_body(header, body_of(frame)) == MESSAGE


class TestBadFrames:
    @pytest.mark.parametrize(
        ("fields", "text"),
        [
            ((8, 2, 0, 1, 0), "version 2"),
            ((codec.MAX_BODY_BYTES + 1, 1, 0, 1, 0), "over"),
            ((8, 1, 0, 999, 0), "message type 999"),
            ((8, 1, 9, 1, 0), "flag 9"),
        ],
    )
    def test_bad_header_is_refused(self, fields, text):
        with pytest.raises(exceptions.FrameError, match=text):
            codec.decode_header(codec.HEADER.pack(*fields))

    def test_bad_body_is_refused(self):
        header = codec.decode_header(codec.encode(MESSAGE, 1, 0)[: codec.HEADER.size])
        with pytest.raises(exceptions.FrameError):
            codec.decode_body(header, b"abc")
