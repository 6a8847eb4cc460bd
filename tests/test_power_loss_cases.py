"""Test single losses of power of a host, after a kill before a sync or at a chosen call."""

import random

import curio
import pytest

from ebonywheel import auditlog, messages, statedata, storage
from powerdisk import PowerDisks, PowerLoss
from test_power_loss import HOST, StateModel


@pytest.fixture
def disk(tmp_path):
    disks = PowerDisks(random.Random(0))
    with disks.intercept():
        yield disks.disk(tmp_path / "data")


def open_storage(disk):
    return storage.Storage(str(disk.folder), HOST)


def make_entries(first, end):
    return [messages.LogEntry(index, 0, b"x") for index in range(first, end)]


class TestKillBeforeSync:
    """What a host finds when it opens its folder counts as durable, so it must be."""

    # Guards against entries that are acknowledged after a restart and gone after a power loss.
    def test_entries_found_when_opening_survive_a_power_loss(self, disk):
        store = open_storage(disk)
        store.append(make_entries(1, 3))
        disk.kill()
        assert open_storage(disk).synced_index == 2
        disk.lose_power("all gone")
        assert open_storage(disk).synced_index == 2

    # Guards against a second vote in a term: the first was given after a restart and then lost.
    def test_vote_found_when_opening_survives_a_power_loss(self, disk):
        store = open_storage(disk)
        store.vote.term, store.vote.voted_for = 5, "a"
        disk.steps_left = 6
        with pytest.raises(PowerLoss):
            curio.run(store.save_vote)
        assert disk.ended_at == ("fsync", "data")
        disk.kill()
        reopened = open_storage(disk)
        assert reopened.vote == reopened.saved_vote == storage.Vote(5, "a")
        disk.lose_power("all gone")
        assert open_storage(disk).vote == storage.Vote(5, "a")

    # Guards against a host that gets a new member id after it has told its peers the first one.
    def test_identity_found_when_opening_survives_a_power_loss(self, disk):
        disk.ignored_syncs.add("")
        open_storage(disk)
        disk.kill()
        disk.ignored_syncs.clear()
        member = open_storage(disk).identity.member
        disk.lose_power("all gone")
        assert open_storage(disk).identity.member == member


class TestCompaction:
    # Guards against entries that are lost with the new name of the log, written after it was
    # compacted.
    def test_entries_synced_after_a_compaction_survive_a_power_loss(self, disk):
        store = open_storage(disk)
        store.append(make_entries(1, 6))
        curio.run(store.sync)
        curio.run(store.save_snapshot, storage.Snapshot(3, 0, b"state"), 0)
        store.append(make_entries(6, 9))
        curio.run(store.sync)
        disk.lose_power("all gone")
        assert open_storage(disk).last_index() == 8


class TestAuditFile:
    """The audit file opens on every legal disk, and keeps what was written."""

    def write(self, disk, indexes):
        open_storage(disk)
        audit = auditlog.AuditLog(str(disk.folder), StateModel())
        entries = [statedata.AuditEntry(index, 1, "ann", "X", "t", "o") for index in indexes]
        audit.state_machine.data.audit += entries
        curio.run(audit.write_new_entries)
        return audit

    def read(self, disk):
        audit = auditlog.AuditLog(str(disk.folder), StateModel())
        return [entry.index for entry in audit.read(0, 1000)]

    # Guards against an audit file whose name is lost, with all entries that were written to it.
    def test_new_file_keeps_its_name(self, disk):
        self.write(disk, range(1, 4))
        disk.lose_power("all gone")
        assert self.read(disk) == [1, 2, 3]

    # Guards against entries that a restarted host takes for written, and that are then lost.
    def test_entries_found_when_opening_survive_a_power_loss(self, disk):
        self.write(disk, range(1, 3))
        disk.kill()
        audit = auditlog.AuditLog(str(disk.folder), StateModel())
        audit.state_machine.data.audit.append(statedata.AuditEntry(3, 1, "ann", "X", "t", "o"))
        disk.steps_left = 1
        with pytest.raises(PowerLoss):
            curio.run(audit.write_new_entries)
        disk.kill()
        assert self.read(disk) == [1, 2, 3]
        disk.lose_power("all gone")
        assert self.read(disk) == [1, 2, 3]

    # Guards against a host that does not start because blocks of its audit file were not written.
    def test_lines_with_blocks_that_were_never_written_are_removed(self, disk):
        self.write(disk, range(1, 20))
        disk.kill()
        path = disk.folder / auditlog.AUDIT_FILE
        content = bytearray(path.read_bytes())
        content[1024:1536] = bytes(512)
        path.write_bytes(content)
        first_missing = content[:1024].count(b"\n") + 1
        assert self.read(disk) == list(range(1, first_missing))
