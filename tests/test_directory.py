"""Backend servers' reports merge to the same view in whatever order they arrive."""

import itertools

import msgspec
import pytest

from ebonywheel import clock, directory, messages


def record(sequence, born_ms=1, gone=False, draining=False, server="s"):
    return messages.DirectoryRecord(server, born_ms, sequence, gone, draining, "plan", "10.0.0.1:1")


@pytest.fixture
def time():
    return clock.ManualClock()


class TestMerge:
    def test_every_order_of_arrival_gives_the_same_record(self, time):
        reports = [
            record(1),
            record(2, draining=True),
            record(2, gone=True),
            record(9, born_ms=2),
            record(3, born_ms=2, draining=True),
        ]
        ends = set()
        for order in itertools.permutations(reports):
            held = directory.Directory(time)
            for one in order:
                held.observe(one)
            last = held.held["s"].record
            ends.add((last.born_ms, last.sequence, last.gone, last.draining))
        assert ends == {(2, 9, False, False)}

    def test_a_late_report_does_not_bring_back_a_server_that_left(self, time):
        held = directory.Directory(time)
        held.observe(record(4), direct=True)
        held.leave("s")
        assert not held.observe(record(5), direct=True)
        assert list(held.live()) == []

    def test_a_server_that_starts_again_under_its_id_is_a_new_one(self, time):
        held = directory.Directory(time)
        held.observe(record(40))
        held.leave("s")
        assert held.observe(record(1, born_ms=2))
        assert [one.record.sequence for one in held.live()] == [1]

    def test_a_leave_that_comes_before_the_report_holds(self, time):
        held = directory.Directory(time)
        held.leave("s")
        held.observe(record(3))
        assert list(held.live()) == []

    def test_a_mere_renewal_is_no_news(self, time):
        held = directory.Directory(time)
        assert held.observe(record(1))
        assert not held.observe(record(2))
        assert held.observe(record(3, draining=True))


class TestChanges:
    def test_only_what_changed_since_is_told_oldest_first(self, time):
        held = directory.Directory(time)
        for name in "abc":
            held.observe(record(1, server=name), direct=True)
        seen = held.position
        held.observe(record(2, server="a"), direct=True)
        assert [one.server for one in held.changes(seen, relayed=False)] == ["a"]
        assert [one.server for one in held.changes(0, relayed=False)] == ["b", "c", "a"]

    def test_what_others_received_is_told_only_where_it_is_asked_for(self, time):
        held = directory.Directory(time)
        held.observe(record(1, server="a"), direct=False)
        assert held.changes(0, relayed=False) == []
        assert len(held.changes(0, relayed=True)) == 1

    def test_ages_go_on_from_host_to_host(self, time):
        first = directory.Directory(time)
        first.observe(record(1), direct=True)
        time.advance(2.0)
        second = directory.Directory(time)
        second.observe(first.changes(0, relayed=True)[0])
        time.advance(1.0)
        assert second.age_s("s") == pytest.approx(3.0)

    def test_a_silent_server_is_forgotten(self, time):
        held = directory.Directory(time)
        held.observe(record(1))
        time.advance(directory.FORGET_S + 1)
        held.prune()
        assert held.held == {}
        assert held.age_s("s") == float("inf")

    def test_a_record_survives_the_wire(self, time):
        from ebonywheel import codec

        reply = messages.WatchReply(epoch=3, records=[record(7, draining=True)], out=["puget"])
        frame = codec.encode(reply, 1, codec.FLAG_REPLY)
        header = codec.decode_header(frame[: codec.HEADER.size])
        decoded = codec.decode_body(header, frame[codec.HEADER.size :])
        assert msgspec.structs.asdict(decoded)["out"] == ["puget"]
        assert decoded.records[0].draining
