"""Test that the audit file holds every entry once, despite trimming, restarts and torn lines."""

import curio
import pytest

from ebonywheel import auditlog, durable, exceptions, state, statedata
from test_storage import FullDisk


class FakeState:
    """Keeps only the latest audit entries, as the replicated state does."""

    def __init__(self):
        self.data = statedata.StateData()

    def add(self, first, last):
        for index in range(first, last + 1):
            self.data.audit.append(statedata.AuditEntry(index, 1, "ann", "X", "t", f"op-{index}"))
        del self.data.audit[: -state.MAX_AUDIT_ENTRIES]


@pytest.fixture
def fake_state(monkeypatch):
    monkeypatch.setattr(state, "MAX_AUDIT_ENTRIES", 10)
    return FakeState()


def open_audit_log(tmp_path, fake_state):
    return auditlog.AuditLog(str(tmp_path), fake_state)


def indexes(audit_log, after=0, limit=10_000):
    return [entry.index for entry in audit_log.read(after, limit)]


class TestWriteNewEntries:
    def test_trimmed_entries_stay_readable_after_a_restart(self, tmp_path, fake_state):
        audit_log = open_audit_log(tmp_path, fake_state)
        for first in range(1, 1000, 5):
            fake_state.add(first, first + 4)
            curio.run(audit_log.write_new_entries)
        reopened = open_audit_log(tmp_path, fake_state)
        assert indexes(reopened) == list(range(1, 1001))
        assert indexes(reopened, after=700, limit=3) == [701, 702, 703]

    def test_entries_replayed_after_a_restart_are_not_written_twice(self, tmp_path, fake_state):
        fake_state.add(1, 8)
        curio.run(open_audit_log(tmp_path, fake_state).write_new_entries)
        replayed_state = FakeState()
        replayed_state.add(4, 9)
        audit_log = open_audit_log(tmp_path, replayed_state)
        curio.run(audit_log.write_new_entries)
        assert indexes(audit_log) == list(range(1, 10))

    @pytest.mark.parametrize("room", [0, 10])
    def test_entries_that_find_no_room_are_written_later(
        self, tmp_path, fake_state, monkeypatch, room
    ):
        audit_log = open_audit_log(tmp_path, fake_state)
        fake_state.add(1, 2)
        curio.run(audit_log.write_new_entries)
        fake_state.add(3, 5)
        monkeypatch.setattr(durable, "write", FullDisk(room).write)
        with pytest.raises(exceptions.DiskFullError):
            curio.run(audit_log.write_new_entries)
        monkeypatch.undo()
        assert indexes(open_audit_log(tmp_path, fake_state)) == [1, 2]
        curio.run(audit_log.write_new_entries)
        assert indexes(audit_log) == [1, 2, 3, 4, 5]

    def test_torn_last_line_is_removed_and_written_again(self, tmp_path, fake_state):
        fake_state.add(1, 3)
        curio.run(open_audit_log(tmp_path, fake_state).write_new_entries)
        path = tmp_path / auditlog.AUDIT_FILE
        path.write_bytes(path.read_bytes()[:-4])
        audit_log = open_audit_log(tmp_path, fake_state)
        assert indexes(audit_log) == [1, 2]
        curio.run(audit_log.write_new_entries)
        assert indexes(audit_log) == [1, 2, 3]

    def test_file_with_a_corrupt_line_does_not_open(self, tmp_path, fake_state):
        fake_state.add(1, 3)
        curio.run(open_audit_log(tmp_path, fake_state).write_new_entries)
        path = tmp_path / auditlog.AUDIT_FILE
        path.write_bytes(b"nonsense\n" + path.read_bytes())
        with pytest.raises(exceptions.StorageError):
            open_audit_log(tmp_path, fake_state)

    def test_gap_entry_marks_entries_that_the_state_dropped_unwritten(self, tmp_path, fake_state):
        audit_log = open_audit_log(tmp_path, fake_state)
        fake_state.add(1, 5)
        curio.run(audit_log.write_new_entries)
        fake_state.add(6, 50)
        curio.run(audit_log.write_new_entries)
        entries = audit_log.read(5, 100)
        assert entries[0].action == auditlog.GAP_ACTION
        assert [entry.index for entry in entries[1:]] == list(range(41, 51))
