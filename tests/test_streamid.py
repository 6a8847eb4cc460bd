"""Generation ids: forged, tampered and malformed ones are refused."""

import pytest

from ebonywheel import callers, exceptions, http, streamid

SECRET = b"secret-of-the-tests"
STREAM_ID = streamid.StreamId("planner-1", 7, "loan", "plan", "press")


class TestGenerationId:
    def test_round_trip(self):
        assert streamid.decode(streamid.encode(STREAM_ID, SECRET), SECRET) == STREAM_ID

    @pytest.mark.parametrize("encoded", ["", "x", "forged", "ä", "A" * 40, "!!!", "a" * 5])
    def test_malformed_or_unsigned_id_is_refused(self, encoded):
        with pytest.raises(exceptions.HttpError, match="unknown generation"):
            streamid.decode(encoded, SECRET)

    def test_tampered_id_is_refused(self):
        encoded = streamid.encode(STREAM_ID, SECRET)
        for position in range(len(encoded) - 1):
            tampered = (
                encoded[:position]
                + ("A" if encoded[position] != "A" else "B")
                + encoded[position + 1 :]
            )
            with pytest.raises(exceptions.HttpError):
                streamid.decode(tampered, SECRET)

    def test_id_signed_with_another_secret_is_refused(self):
        with pytest.raises(exceptions.HttpError):
            streamid.decode(streamid.encode(STREAM_ID, SECRET), b"another-secret-altogether")


class TestEventId:
    @pytest.mark.parametrize("event_id", ["", "5", ":5", "g:", "g:x", "g:-1"])
    def test_malformed_event_id_is_refused(self, event_id):
        with pytest.raises(exceptions.HttpError, match="malformed"):
            streamid.split_event_id(event_id)

    # Guards against indexes that are taken for others, or fail with an internal error.
    @pytest.mark.parametrize(
        "index", ["-5", "+5", "1_0", " 5", "", "x", "\xb2", "9" * 19, "9" * 5000]
    )
    def test_malformed_index_is_refused_on_every_path(self, index):
        with pytest.raises(exceptions.HttpError, match="malformed"):
            streamid.split_event_id(f"g:{index}")
        fields = {"last-event-id": f"g:{index}"}
        requests = [http.Request("GET", "/v1/generations/g", {}, fields, b"", "caller")]
        if index:
            query = {"after": index}
            requests.append(http.Request("GET", "/v1/generations/g", query, {}, b"", "caller"))
        for request in requests:
            with pytest.raises(exceptions.HttpError, match="malformed"):
                callers.resume_index(request)

    @pytest.mark.parametrize(
        ("fields", "query", "index"),
        [({}, {}, 0), ({"last-event-id": "g:4"}, {}, 5), ({}, {"after": "4"}, 5),
         ({}, {"after": "-1"}, 0)],
    )  # fmt: skip
    def test_resume_starts_after_the_last_event(self, fields, query, index):
        request = http.Request("GET", "/v1/generations/g", query, fields, b"", "caller")
        assert callers.resume_index(request) == index

    def test_event_id_is_split(self):
        assert streamid.split_event_id("abc:12") == ("abc", 12)
