"""Generation ids: made by this system or refused."""

import pytest

from ebonywheel import exceptions, streamid

SECRET = b"secret-of-the-tests"
STREAM = streamid.StreamId("planner-1", 7, "loan", "plan", "press")


class TestEncode:
    def test_round_trip(self):
        assert streamid.decode(streamid.encode(STREAM, SECRET), SECRET) == STREAM

    @pytest.mark.parametrize("text", ["", "x", "forged", "ä", "A" * 40, "!!!", "a" * 5])
    def test_other_text_is_refused(self, text):
        with pytest.raises(exceptions.HttpError, match="unknown generation"):
            streamid.decode(text, SECRET)

    def test_every_changed_character_is_refused(self):
        text = streamid.encode(STREAM, SECRET)
        for at in range(len(text) - 1):
            changed = text[:at] + ("A" if text[at] != "A" else "B") + text[at + 1 :]
            with pytest.raises(exceptions.HttpError):
                streamid.decode(changed, SECRET)

    def test_another_secret_is_refused(self):
        with pytest.raises(exceptions.HttpError):
            streamid.decode(streamid.encode(STREAM, SECRET), b"another-secret-altogether")


class TestEventId:
    @pytest.mark.parametrize("text", ["", "5", ":5", "g:", "g:x", "g:-1"])
    def test_malformed_is_refused(self, text):
        with pytest.raises(exceptions.HttpError, match="malformed"):
            streamid.split_event_id(text)

    def test_split(self):
        assert streamid.split_event_id("abc:12") == ("abc", 12)
