"""Log lines: JSON format, rate limits by kind and writes that do not block."""

import json
import os

import logbook
import pytest

from ebonywheel import logs


@pytest.fixture
def pipe():
    reader, writer = os.pipe()
    os.set_blocking(reader, False)
    yield reader, writer
    os.close(reader)
    os.close(writer)


def read_lines(reader):
    return [json.loads(line) for line in os.read(reader, 1 << 20).splitlines()]


class TestFormat:
    def test_line_is_json_with_its_event_and_fields(self, pipe):
        reader, writer = pipe
        with logs.JsonHandler(logs.NonBlockingOutput(writer), "INFO").applicationbound():
            logs.EventLogger("entry", "host-1").info("request", outcome='say "no"', took_ms=3)
        (line,) = read_lines(reader)
        assert line["event"] == "request"
        assert line["node"] == "host-1"
        assert line["outcome"] == 'say "no"'
        assert line["took_ms"] == 3

    def test_values_without_a_json_type_are_written_as_strings(self, pipe):
        reader, writer = pipe
        with logs.JsonHandler(logs.NonBlockingOutput(writer), "INFO").applicationbound():
            logs.EventLogger("entry").warning("broken", error=ValueError("too long"))
        assert read_lines(reader)[0]["error"] == "too long"


class TestLimits:
    def test_each_kind_has_its_own_rate_and_drop_count(self):
        limit = logs.RateLimit(lines_per_s=1.0, burst_lines=2.0)
        assert [limit.admit("info:request", 0.0) for _ in range(4)] == [True, True, False, False]
        assert limit.admit("warning:broken", 0.0)
        assert limit.dropped["info:request"] == 2
        assert limit.admit("info:request", 1.0)

    def test_next_line_of_a_kind_gives_the_number_left_out(self, pipe):
        reader, writer = pipe
        handler = logs.JsonHandler(logs.NonBlockingOutput(writer), "INFO")
        handler.rate_limit = logs.RateLimit(lines_per_s=1e6, burst_lines=1.0)
        handler.rate_limit.dropped["INFO:request"] = 7
        with handler.applicationbound():
            logs.EventLogger("entry").info("request")
        assert read_lines(reader)[0]["left_out"] == 7

    def test_lines_are_dropped_when_the_reader_does_not_read(self, pipe):
        reader, writer = pipe
        handler = logs.JsonHandler(logs.NonBlockingOutput(writer), "INFO")
        handler.rate_limit = logs.RateLimit(lines_per_s=1e9, burst_lines=1e9)
        with handler.applicationbound():
            log = logs.EventLogger("entry")
            for number in range(20_000):
                log.info("request", number=number, text="x" * 100)
            assert handler.output.dropped_lines > 0
            assert len(handler.output.pending) <= logs.MAX_PENDING_BYTES
            while True:
                try:
                    if not os.read(reader, 1 << 20):
                        break
                except BlockingIOError:
                    break
            dropped_lines = handler.output.dropped_lines
            log.info("again")
        text = os.read(reader, 1 << 20) + handler.output.pending
        assert json.loads(text.splitlines()[-1])["left_out"] == dropped_lines

    def test_lines_below_the_log_level_are_not_written(self, pipe):
        reader, writer = pipe
        with logs.JsonHandler(logs.NonBlockingOutput(writer), "WARNING").applicationbound():
            logs.EventLogger("entry").info("request")
            logbook.Logger("entry").warning("seen")
        assert [line["event"] for line in read_lines(reader)] == ["seen"]
