"""The audit file: every entry once, whatever was trimmed or torn."""

import curio
import pytest

from ebonywheel import auditlog, exceptions, state, statedata


class Machine:
    """Holds only the latest entries, as the state does."""

    def __init__(self):
        self.data = statedata.StateData()

    def add(self, first, last):
        for index in range(first, last + 1):
            self.data.audit.append(statedata.AuditEntry(index, 1, "ann", "X", "t", f"op-{index}"))
        del self.data.audit[: -state.AUDIT_ENTRIES]


@pytest.fixture
def machine(monkeypatch):
    monkeypatch.setattr(state, "AUDIT_ENTRIES", 10)
    return Machine()


def opened(tmp_path, machine):
    return auditlog.AuditLog(str(tmp_path), machine)


def indexes(trail, after=0, limit=10_000):
    return [entry.index for entry in trail.read(after, limit)]


class TestFollow:
    def test_trimmed_entries_stay_readable_also_after_a_restart(self, tmp_path, machine):
        trail = opened(tmp_path, machine)
        for first in range(1, 1000, 5):
            machine.add(first, first + 4)
            curio.run(trail.follow)
        again = opened(tmp_path, machine)
        assert indexes(again) == list(range(1, 1001))
        assert indexes(again, after=700, limit=3) == [701, 702, 703]

    def test_entries_replayed_after_a_restart_are_not_written_twice(self, tmp_path, machine):
        machine.add(1, 8)
        curio.run(opened(tmp_path, machine).follow)
        replayed = Machine()
        replayed.add(4, 9)
        trail = opened(tmp_path, replayed)
        curio.run(trail.follow)
        assert indexes(trail) == list(range(1, 10))

    def test_torn_last_line_is_cut_and_written_again(self, tmp_path, machine):
        machine.add(1, 3)
        curio.run(opened(tmp_path, machine).follow)
        path = tmp_path / auditlog.AUDIT_FILE
        path.write_bytes(path.read_bytes()[:-4])
        trail = opened(tmp_path, machine)
        assert indexes(trail) == [1, 2]
        curio.run(trail.follow)
        assert indexes(trail) == [1, 2, 3]

    def test_corrupt_middle_refuses_to_open(self, tmp_path, machine):
        machine.add(1, 3)
        curio.run(opened(tmp_path, machine).follow)
        path = tmp_path / auditlog.AUDIT_FILE
        path.write_bytes(b"nonsense\n" + path.read_bytes())
        with pytest.raises(exceptions.StorageError):
            opened(tmp_path, machine)

    def test_host_that_was_away_says_that_entries_may_be_missing(self, tmp_path, machine):
        trail = opened(tmp_path, machine)
        machine.add(1, 5)
        curio.run(trail.follow)
        machine.add(6, 50)
        curio.run(trail.follow)
        entries = trail.read(5, 100)
        assert entries[0].action == auditlog.GAP_ACTION
        assert [entry.index for entry in entries[1:]] == list(range(41, 51))
