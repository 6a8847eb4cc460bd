"""Log lines: JSON, bounded by kind, and never waited for."""

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


def lines(reader):
    return [json.loads(line) for line in os.read(reader, 1 << 20).splitlines()]


class TestLines:
    def test_a_line_is_json_with_its_event_and_fields(self, pipe):
        reader, writer = pipe
        with logs.JsonHandler(logs.Output(writer), "INFO").applicationbound():
            logs.StateLog("entry", "host-1").info("request", outcome='say "no"', took_ms=3)
        (line,) = lines(reader)
        assert line["event"] == "request"
        assert line["node"] == "host-1"
        assert line["outcome"] == 'say "no"'
        assert line["took_ms"] == 3

    def test_values_that_json_does_not_know_are_written_as_text(self, pipe):
        reader, writer = pipe
        with logs.JsonHandler(logs.Output(writer), "INFO").applicationbound():
            logs.StateLog("entry").warning("broken", error=ValueError("too long"))
        assert lines(reader)[0]["error"] == "too long"


class TestBounds:
    def test_each_kind_has_its_own_rate_and_tells_what_was_left_out(self):
        rates = logs.RateLimit(per_s=1.0, burst=2.0)
        assert [rates.admit("info:request", 0.0) for _ in range(4)] == [True, True, False, False]
        assert rates.admit("warning:broken", 0.0)
        assert rates.dropped["info:request"] == 2
        assert rates.admit("info:request", 1.0)

    def test_the_next_line_of_a_kind_carries_the_number_left_out(self, pipe):
        reader, writer = pipe
        handler = logs.JsonHandler(logs.Output(writer), "INFO")
        handler.rates = logs.RateLimit(per_s=1e6, burst=1.0)
        handler.rates.dropped["INFO:request"] = 7
        with handler.applicationbound():
            logs.StateLog("entry").info("request")
        assert lines(reader)[0]["left_out"] == 7

    def test_a_reader_that_does_not_read_costs_lines_not_time(self, pipe):
        reader, writer = pipe
        handler = logs.JsonHandler(logs.Output(writer), "INFO")
        handler.rates = logs.RateLimit(per_s=1e9, burst=1e9)
        with handler.applicationbound():
            log = logs.StateLog("entry")
            for number in range(20_000):
                log.info("request", number=number, text="x" * 100)
            assert handler.output.lost > 0
            assert len(handler.output.pending) <= logs.MAX_PENDING_BYTES
            while True:
                try:
                    if not os.read(reader, 1 << 20):
                        break
                except BlockingIOError:
                    break
            lost = handler.output.lost
            log.info("again")
        text = os.read(reader, 1 << 20) + handler.output.pending
        assert json.loads(text.splitlines()[-1])["left_out"] == lost

    def test_a_level_below_the_setting_is_not_written(self, pipe):
        reader, writer = pipe
        with logs.JsonHandler(logs.Output(writer), "WARNING").applicationbound():
            logs.StateLog("entry").info("request")
            logbook.Logger("entry").warning("seen")
        assert [line["event"] for line in lines(reader)] == ["seen"]
