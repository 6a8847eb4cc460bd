"""Backend servers' reports merge to the same view in any order of arrival."""

import itertools

import msgspec
import pytest

from ebonywheel import clock, directory, messages


def record(sequence, born_ms=1, gone=False, draining=False, server="s", address="10.0.0.1:1"):
    return messages.DirectoryRecord(server, born_ms, sequence, gone, draining, "plan", address)


@pytest.fixture
def manual_clock():
    return clock.ManualClock()


class TestMerge:
    def test_every_order_of_arrival_gives_the_same_record(self, manual_clock):
        reports = [
            record(1),
            record(2, draining=True),
            record(2, gone=True),
            record(9, born_ms=2),
            record(3, born_ms=2, draining=True),
        ]
        results = set()
        for order in itertools.permutations(reports):
            servers = directory.Directory(manual_clock)
            for report in order:
                servers.observe(report)
            last = servers.entries["s"].record
            results.add((last.born_ms, last.sequence, last.gone, last.draining))
        assert results == {(2, 9, False, False)}

    def test_a_late_report_does_not_restore_a_server_that_left(self, manual_clock):
        servers = directory.Directory(manual_clock)
        servers.observe(record(4), direct=True)
        servers.leave("s", servers.clock.monotonic())
        assert not servers.observe(record(5), direct=True)
        assert list(servers.live()) == []

    def test_a_server_restarted_under_its_id_is_a_new_incarnation(self, manual_clock):
        servers = directory.Directory(manual_clock)
        servers.observe(record(40))
        servers.leave("s", servers.clock.monotonic())
        assert servers.observe(record(1, born_ms=2))
        assert [entry.record.sequence for entry in servers.live()] == [1]

    def test_a_leave_that_arrives_before_the_first_report_applies(self, manual_clock):
        servers = directory.Directory(manual_clock)
        servers.leave("s", servers.clock.monotonic())
        servers.observe(record(3))
        assert list(servers.live()) == []

    # Guards against a leave that only one host knows: nobody else hears of it, and the server gets
    # requests until its last report is too old.
    def test_a_leave_of_an_unknown_server_is_told_to_others(self, manual_clock):
        servers = directory.Directory(manual_clock)
        servers.leave("s", servers.clock.monotonic())
        servers.observe(record(3), direct=False)
        (told,) = servers.changes(0, relayed=False)
        assert told.gone

    @pytest.mark.parametrize(("reported_s_before", "left"), [(0.2, True), (-0.2, False)])
    def test_a_leave_is_that_of_the_incarnation_that_had_reported(
        self, manual_clock, reported_s_before, left
    ):
        """Only the former one is known when the leave arrives."""
        servers = directory.Directory(manual_clock)
        servers.observe(record(40))
        manual_clock.advance(10.0)
        servers.leave("s", servers.clock.monotonic())
        manual_clock.advance(0.5)
        again = record(1, born_ms=2)
        again.age_ms = int(1000 * (0.5 + reported_s_before))
        servers.observe(again)
        assert [entry.record.born_ms for entry in servers.live()] == ([] if left else [2])

    # Guards against memory that grows with each leave of a server that nobody has heard of.
    def test_leaves_of_unknown_servers_are_bounded_and_the_latest_are_kept(self, manual_clock):
        servers = directory.Directory(manual_clock)
        for number in range(directory.MAX_LEAVES_KEPT + 10):
            servers.leave(f"s{number}", servers.clock.monotonic())
        assert len(servers.leaves) == directory.MAX_LEAVES_KEPT
        servers.observe(record(1, server=f"s{directory.MAX_LEAVES_KEPT + 9}"))
        assert list(servers.live()) == []

    def test_a_renewal_is_not_a_change(self, manual_clock):
        servers = directory.Directory(manual_clock)
        assert servers.observe(record(1))
        assert not servers.observe(record(2))
        assert servers.observe(record(3, draining=True))


class TestChanges:
    def test_only_changes_since_a_position_are_returned_oldest_first(self, manual_clock):
        servers = directory.Directory(manual_clock)
        for name in "abc":
            servers.observe(record(1, server=name), direct=True)
        seen = servers.position
        servers.observe(record(2, server="a"), direct=True)
        assert [changed.server for changed in servers.changes(seen, relayed=False)] == ["a"]
        assert [changed.server for changed in servers.changes(0, relayed=False)] == ["b", "c", "a"]

    def test_relayed_records_are_returned_only_on_request(self, manual_clock):
        servers = directory.Directory(manual_clock)
        servers.observe(record(1, server="a"), direct=False)
        assert servers.changes(0, relayed=False) == []
        assert len(servers.changes(0, relayed=True)) == 1

    def test_ages_add_up_over_hosts(self, manual_clock):
        first = directory.Directory(manual_clock)
        first.observe(record(1), direct=True)
        manual_clock.advance(2.0)
        second = directory.Directory(manual_clock)
        second.observe(first.changes(0, relayed=True)[0])
        manual_clock.advance(1.0)
        assert second.age_s("s") == pytest.approx(3.0)

    def test_a_silent_server_is_forgotten(self, manual_clock):
        servers = directory.Directory(manual_clock)
        servers.observe(record(1))
        manual_clock.advance(directory.FORGET_S + 1)
        servers.prune()
        assert servers.entries == {}
        assert servers.age_s("s") == float("inf")

    @pytest.mark.parametrize(
        ("server", "fields", "replaced"),
        [
            ("s", {}, False),
            ("s", {"born_ms": 2}, True),
            ("t", {"born_ms": 2}, True),
            ("t", {"born_ms": 2, "gone": True}, False),
            ("t", {"born_ms": 2, "address": "10.0.0.9:80"}, False),
        ],
    )
    def test_a_server_whose_address_another_has_taken(self, manual_clock, server, fields, replaced):
        servers = directory.Directory(manual_clock)
        old = record(1)
        servers.observe(old)
        servers.observe(record(2, server=server, **fields))
        assert servers.is_replaced(old) is replaced

    def test_a_record_is_unchanged_by_encoding_and_decoding(self, manual_clock):
        from ebonywheel import codec

        reply = messages.WatchReply(epoch=3, records=[record(7, draining=True)], out=["puget"])
        frame = codec.encode(reply, 1, codec.FLAG_REPLY)
        header = codec.decode_header(frame[: codec.HEADER.size])
        decoded = codec.decode_body(header, frame[codec.HEADER.size :])
        assert msgspec.structs.asdict(decoded)["out"] == ["puget"]
        assert decoded.records[0].draining


def test_a_record_of_an_earlier_build_keeps_the_known_software():
    """A control host of an earlier build passes records on without the software's version."""
    known = directory.Directory(clock.ManualClock())
    known.observe(messages.DirectoryRecord("s", 1, 1, software="v2"))
    known.observe(messages.DirectoryRecord("s", 1, 2))
    assert known.entries["s"].record.software == "v2"
    known.observe(messages.DirectoryRecord("s", 2, 1))
    assert known.entries["s"].record.software == ""
