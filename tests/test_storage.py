"""Test the data folder: crash recovery, detection of damage, and failed writes and syncs."""

import errno
import os
import shutil

import curio
import pytest

from ebonywheel import durable, exceptions, logfile, messages, storage

HOST = "control-1"


def make_entries(first, end, term=1, size=20):
    return [messages.LogEntry(index, term, b"%d" % index * size) for index in range(first, end)]


def open_storage(folder, host=HOST):
    return storage.Storage(str(folder), host)


def open_with_entries(folder, count=5, term=1):
    """Open a folder and save a vote and the entries 1 to `count`, all synced."""
    store = open_storage(folder)
    store.vote.term = term
    store.append(make_entries(1, count + 1, term))
    curio.run(save_vote_and_sync, store)
    return store


async def save_vote_and_sync(store):
    await store.save_vote()
    await store.sync()


def make_snapshot(index, term=1):
    return storage.Snapshot(index, term, b"state-%d" % index)


def log_positions(store):
    return [(entry.index, entry.term) for entry in store.log.entries]


def flip_bit(path, offset):
    data = bytearray(path.read_bytes())
    data[offset] ^= 0x40
    path.write_bytes(data)


class TestReopening:
    def test_synced_vote_and_entries_survive(self, tmp_path):
        open_with_entries(tmp_path).close()
        store = open_storage(tmp_path)
        assert log_positions(store) == [(index, 1) for index in range(1, 6)]
        assert (store.vote.term, store.synced_index) == (1, 5)

    def test_member_id_is_kept_and_differs_in_a_new_folder(self, tmp_path):
        original = open_storage(tmp_path / "a")
        original.close()
        assert open_storage(tmp_path / "a").identity.member == original.identity.member
        assert open_storage(tmp_path / "b").identity.member != original.identity.member

    def test_second_process_is_refused(self, tmp_path):
        locked = open_storage(tmp_path)
        with pytest.raises(exceptions.StorageError, match="in use"):
            open_storage(tmp_path)
        locked.close()

    def test_truncated_entries_do_not_come_back(self, tmp_path):
        store = open_with_entries(tmp_path)
        store.truncate(3)
        store.append(make_entries(3, 5, term=1))
        store.close()
        assert log_positions(open_storage(tmp_path)) == [(1, 1), (2, 1), (3, 1), (4, 1)]


class TestFileSyncs:
    @pytest.mark.parametrize(
        ("action", "expected_paths"),
        [
            ("sync", ["log"]),
            ("save_vote", ["vote.tmp", ""]),
            ("save_snapshot", ["snapshot.tmp", "", "log.tmp", ""]),
            ("truncate", ["log"]),
        ],
    )
    def test_files_and_their_names_are_synced(self, tmp_path, monkeypatch, action, expected_paths):
        store = open_with_entries(tmp_path)
        store.vote.term = 9
        store.append(make_entries(6, 7))
        synced_paths = []
        real_fsync = os.fsync

        def fsync(descriptor):
            path = os.readlink(f"/proc/self/fd/{descriptor}")
            synced_paths.append(path.removeprefix(str(tmp_path)).lstrip("/"))
            real_fsync(descriptor)

        monkeypatch.setattr(os, "fsync", fsync)
        perform(store, action)
        assert synced_paths == expected_paths


class TestTornRecord:
    def test_last_record_cut_off_at_any_byte_is_removed(self, tmp_path):
        store = open_with_entries(tmp_path)
        start, end = store.log.offsets[-1], store.log.size
        store.close()
        path = tmp_path / storage.LOG_FILE
        content = path.read_bytes()
        for length in range(start, end):
            path.write_bytes(content[:length])
            reopened = open_storage(tmp_path)
            assert reopened.last_index() == 4, length
            reopened.close()
            assert path.stat().st_size == start

    @pytest.mark.parametrize("zeros", [1, 7, 600, 5000])
    def test_zeros_of_blocks_that_were_never_written_are_removed(self, tmp_path, zeros):
        open_with_entries(tmp_path).close()
        path = tmp_path / storage.LOG_FILE
        path.write_bytes(path.read_bytes() + bytes(zeros))
        assert open_storage(tmp_path).last_index() == 5

    def test_partial_record_before_zeros_is_removed(self, tmp_path):
        store = open_with_entries(tmp_path)
        store.close()
        path = tmp_path / storage.LOG_FILE
        data = path.read_bytes()
        record = logfile.encode_record(messages.LogEntry(6, 1, b"x" * 4000))
        sector_end = -(-len(data) // 512) * 512 + 512
        path.write_bytes((data + record)[:sector_end].ljust(len(data) + len(record), b"\0"))
        assert open_storage(tmp_path).last_index() == 5

    # Guards against a log that does not open although a power loss may leave it: of two writes
    # after the last sync, the first is missing or torn and the second present.
    @pytest.mark.parametrize(
        ("first_missing", "last_missing"),
        [(0, 2000), (5, 2000), (27, 2000), (28, 2000), (900, 2000), (1999, 2000)]
        + [(0, 600), (300, 1200), (300, 1700)],
    )
    def test_record_before_a_later_write_is_removed_if_torn(
        self, tmp_path, first_missing, last_missing
    ):
        store = open_with_entries(tmp_path)
        start = store.log.size
        sector_ends = -start % logfile.SECTOR_BYTES
        store.append([messages.LogEntry(6, 1, b"x" * (2000 - logfile.RECORD_HEADER_BYTES))])
        store.append(make_entries(7, 9))
        store.close()
        if last_missing < 2000:
            last_missing += (sector_ends - last_missing) % logfile.SECTOR_BYTES
        if first_missing and last_missing < 2000:
            first_missing += (sector_ends - first_missing) % logfile.SECTOR_BYTES
        path = tmp_path / storage.LOG_FILE
        data = bytearray(path.read_bytes())
        data[start + first_missing : start + last_missing] = bytes(last_missing - first_missing)
        path.write_bytes(data)
        reopened = open_storage(tmp_path)
        assert reopened.last_index() == 5
        assert path.stat().st_size == start


class TestCorruption:
    def test_any_changed_byte_of_a_complete_record_is_detected(self, tmp_path):
        store = open_with_entries(tmp_path)
        size = store.log.size
        store.close()
        path = tmp_path / storage.LOG_FILE
        content = path.read_bytes()
        for offset in range(size):
            flip_bit(path, offset)
            with pytest.raises(exceptions.CorruptLogError):
                open_storage(tmp_path)
            path.write_bytes(content)

    @pytest.mark.parametrize(
        ("name", "damage", "text"),
        [
            (storage.IDENTITY_FILE, "flip", "bad checksum"),
            (storage.VOTE_FILE, "flip", "bad checksum"),
            (storage.SNAPSHOT_FILE, "flip", "bad checksum"),
            (storage.IDENTITY_FILE, "empty", "bad checksum"),
            (storage.SNAPSHOT_FILE, "empty", "bad checksum"),
            (storage.IDENTITY_FILE, "remove", "no identity"),
            (storage.VOTE_FILE, "remove", "older than the log"),
            (storage.LOG_FILE, "remove", "no log"),
            (storage.SNAPSHOT_FILE, "remove", "begins at entry"),
        ],
    )
    def test_damaged_file_is_refused_with_the_reason(self, tmp_path, name, damage, text):
        store = open_with_entries(tmp_path)
        curio.run(store.save_snapshot, make_snapshot(3), 0)
        store.close()
        path = tmp_path / name
        if damage == "flip":
            flip_bit(path, path.stat().st_size - 2)
        elif damage == "empty":
            path.write_bytes(b"")
        else:
            path.unlink()
        with pytest.raises(exceptions.StorageError, match=text):
            open_storage(tmp_path)

    # Guards against committed entries that are dropped as their damage looks like a torn write.
    def test_committed_record_is_not_removed_as_torn(self, tmp_path):
        store = open_with_entries(tmp_path)
        curio.run(store.save_commit, 4)
        start, end = store.log.offsets[3], store.log.offsets[4]
        store.close()
        path = tmp_path / storage.LOG_FILE
        data = bytearray(path.read_bytes())
        data[start:end] = bytes(end - start)
        path.write_bytes(data)
        with pytest.raises(exceptions.CorruptLogError):
            open_storage(tmp_path)
        assert path.read_bytes() == data

    def test_folder_of_another_host_is_refused(self, tmp_path):
        open_with_entries(tmp_path).close()
        with pytest.raises(exceptions.StorageError, match="belongs to host 'control-1'"):
            open_storage(tmp_path, "control-2")

    def test_decreasing_term_is_refused(self, tmp_path):
        store = open_with_entries(tmp_path)
        store.log.append([messages.LogEntry(6, 0, b"x")])
        store.close()
        with pytest.raises(exceptions.CorruptLogError, match="follows entry 5"):
            open_storage(tmp_path)


class TestSnapshot:
    def test_trailing_entries_are_kept(self, tmp_path):
        store = open_with_entries(tmp_path)
        curio.run(store.save_snapshot, make_snapshot(4), 2)
        assert log_positions(store) == [(3, 1), (4, 1), (5, 1)]
        assert [store.term_at(index) for index in (1, 2, 3, 5, 6)] == [None, 1, 1, 1, None]
        store.close()
        reopened = open_storage(tmp_path)
        assert log_positions(reopened) == [(3, 1), (4, 1), (5, 1)]
        assert reopened.load_snapshot() == make_snapshot(4)

    def test_older_snapshot_does_not_replace_a_newer_one(self, tmp_path):
        store = open_with_entries(tmp_path)
        curio.run(store.save_snapshot, make_snapshot(4), 0)
        curio.run(store.save_snapshot, make_snapshot(2), 0)
        assert (store.snapshot.index, store.load_snapshot().index) == (4, 4)

    @pytest.mark.parametrize("saved", [make_snapshot(3, term=2), make_snapshot(9, term=2)])
    def test_log_that_conflicts_with_the_snapshot_is_discarded(self, tmp_path, saved):
        store = open_with_entries(tmp_path)
        store.vote.term = 2
        curio.run(store.save_vote)
        curio.run(store.save_snapshot, saved, 5)
        assert (log_positions(store), store.last_index(), store.last_term()) == ([], saved.index, 2)

    @pytest.mark.parametrize("saved", [make_snapshot(3, term=2), make_snapshot(9, term=2)])
    def test_crash_before_a_conflicting_log_is_discarded(self, tmp_path, saved):
        store = open_with_entries(tmp_path)
        store.vote.term = 2
        curio.run(store.save_vote)
        store.close()
        storage._write_snapshot(tmp_path, saved)
        reopened = open_storage(tmp_path)
        assert (log_positions(reopened), reopened.last_index(), reopened.last_term()) == (
            [],
            saved.index,
            2,
        )

    def test_crash_before_covered_entries_are_discarded(self, tmp_path):
        open_with_entries(tmp_path).close()
        storage._write_snapshot(tmp_path, make_snapshot(3))
        reopened = open_storage(tmp_path)
        assert (reopened.last_index(), reopened.term_at(3), reopened.term_at(4)) == (5, 1, 1)

    def test_entries_can_be_appended_after_the_log_was_discarded(self, tmp_path):
        store = open_with_entries(tmp_path)
        curio.run(store.save_snapshot, make_snapshot(5), 0)
        store.append(make_entries(6, 9))
        store.close()
        assert log_positions(open_storage(tmp_path)) == [(6, 1), (7, 1), (8, 1)]


ERROR_NUMBERS = [errno.EIO, errno.ENOSPC]


class TestFailedWrites:
    @pytest.mark.parametrize("error_number", ERROR_NUMBERS)
    @pytest.mark.parametrize("action", ["sync", "save_vote", "save_snapshot", "truncate"])
    def test_every_write_is_refused_after_a_failed_sync(
        self, tmp_path, monkeypatch, action, error_number
    ):
        store = open_with_entries(tmp_path)
        store.vote.term = 9
        store.append(make_entries(6, 7))
        failing = FailingCalls(error_number)
        monkeypatch.setattr(durable, "fsync", failing.fsync)
        with pytest.raises(exceptions.StorageError):
            perform(store, action)
        assert store.synced_index < 6
        failing.error_number = 0
        for later_action in ("sync", "save_vote", "save_snapshot", "truncate", "append"):
            with pytest.raises(exceptions.StorageError):
                perform(store, later_action)
        assert store.synced_index < 6

    @pytest.mark.parametrize("error_number", ERROR_NUMBERS)
    def test_failed_write_keeps_synced_entries(self, tmp_path, monkeypatch, error_number):
        store = open_with_entries(tmp_path)
        monkeypatch.setattr(os, "write", FailingCalls(error_number).write)
        with pytest.raises(exceptions.StorageError):
            store.append(make_entries(6, 7))
        monkeypatch.undo()
        store.close()
        assert open_storage(tmp_path).last_index() == 5

    def test_entries_truncated_during_a_sync_do_not_count_as_synced(self, tmp_path, monkeypatch):
        store = open_with_entries(tmp_path)
        store.append(make_entries(6, 9))
        synced_descriptors = []

        def truncate_during_sync(descriptor):
            synced_descriptors.append(descriptor)
            if len(synced_descriptors) == 1:
                store.truncate(7)
                store.append(make_entries(7, 8, term=2))
                assert store.synced_index == 5

        monkeypatch.setattr(durable, "fsync", truncate_during_sync)
        curio.run(store.sync)
        assert (store.synced_index, len(synced_descriptors)) == (7, 3)


class FullDisk:
    """Takes a number of further bytes, then refuses writes until there is room again."""

    def __init__(self, room=0):
        self.room = room

    def write(self, descriptor, data):
        if not self.room:
            raise OSError(errno.ENOSPC, os.strerror(errno.ENOSPC))
        written = os.write(descriptor, data[: self.room])
        self.room -= written
        return written


class TestFullDisk:
    """A write that finds no room fails alone: nothing stored is lost, and later writes succeed."""

    @pytest.fixture
    def store(self, tmp_path):
        return open_with_entries(tmp_path)

    @pytest.mark.parametrize("room", [0, 1, 30, 70])
    def test_append_that_finds_no_room_leaves_no_part_behind(self, store, monkeypatch, room):
        monkeypatch.setattr(durable, "write", FullDisk(room).write)
        with pytest.raises(exceptions.DiskFullError):
            store.append(make_entries(6, 9))
        assert (store.last_index(), store.disk_full) == (5, True)
        monkeypatch.undo()
        store.append(make_entries(6, 8, size=3))
        curio.run(store.sync)
        assert (store.synced_index, store.disk_full) == (7, False)
        store.close()
        reopened = open_storage(store.folder)
        assert reopened.last_index() == 7

    @pytest.mark.parametrize("room", [0, 30])
    def test_log_opens_after_a_crash_on_a_full_disk(self, store, monkeypatch, room):
        monkeypatch.setattr(durable, "write", FullDisk(room).write)
        with pytest.raises(exceptions.DiskFullError):
            store.append(make_entries(6, 9))
        store.close()
        assert open_storage(store.folder).last_index() == 5

    def test_partial_record_that_could_not_be_removed_is_removed_later(self, store, monkeypatch):
        monkeypatch.setattr(durable, "write", FullDisk(30).write)
        monkeypatch.setattr(store.log, "_truncate_file", refuse_truncation)
        with pytest.raises(exceptions.DiskFullError):
            store.append(make_entries(6, 9))
        monkeypatch.undo()
        store.append(make_entries(6, 7))
        store.close()
        assert open_storage(store.folder).last_index() == 6

    def test_vote_that_finds_no_room_stays_the_old_one(self, store, monkeypatch):
        store.vote.term = 7
        monkeypatch.setattr(durable, "write", FullDisk().write)
        with pytest.raises(exceptions.DiskFullError):
            curio.run(store.save_vote)
        assert not curio.run(store.has_room)
        assert open_copy(store).vote.term == 1
        monkeypatch.undo()
        assert curio.run(store.has_room)
        assert open_copy(store).vote.term == 1
        curio.run(store.save_vote)
        assert open_copy(store).vote.term == 7

    def test_rename_without_room_keeps_the_old_file(self, store, monkeypatch):
        store.vote.term = 7
        monkeypatch.setattr(os, "replace", refuse_for_want_of_room)
        with pytest.raises(exceptions.DiskFullError):
            curio.run(store.save_vote)
        monkeypatch.undo()
        assert open_copy(store).vote.term == 1

    def test_snapshot_that_finds_no_room_keeps_the_log(self, store, monkeypatch):
        monkeypatch.setattr(durable, "write", FullDisk(4).write)
        with pytest.raises(exceptions.DiskFullError):
            curio.run(store.save_snapshot, make_snapshot(3), 0)
        monkeypatch.undo()
        assert (store.snapshot.index, store.base.index, store.last_index()) == (0, 0, 5)
        curio.run(store.save_snapshot, make_snapshot(4), 0)
        assert open_copy(store).entry(5).data == store.entry(5).data

    def test_log_is_kept_when_only_its_compaction_finds_no_room(self, store, monkeypatch):
        snapshot = make_snapshot(3)
        room = 4 + storage.SNAPSHOT_HEADER.size + len(snapshot.state)
        monkeypatch.setattr(durable, "write", FullDisk(room).write)
        curio.run(store.save_snapshot, snapshot, 0)
        monkeypatch.undo()
        assert (store.snapshot.index, store.base.index, store.last_index()) == (3, 0, 5)
        assert open_copy(store).last_index() == 5

    def test_snapshot_that_replaces_the_whole_log_needs_no_room_for_it(self, store, monkeypatch):
        snapshot = make_snapshot(9, term=2)
        room = 4 + storage.SNAPSHOT_HEADER.size + len(snapshot.state)
        monkeypatch.setattr(durable, "write", FullDisk(room).write)
        curio.run(store.save_snapshot, snapshot, 0)
        assert (store.last_index(), store.last_term()) == (9, 2)

    def test_commit_position_that_finds_no_room_stays_the_old_one(self, store, monkeypatch):
        curio.run(store.save_commit, 2)
        monkeypatch.setattr(durable, "write", FullDisk().write)
        with pytest.raises(exceptions.DiskFullError):
            curio.run(store.save_commit, 4)
        monkeypatch.undo()
        assert store.committed.index == 2
        assert open_copy(store).committed.index == 2


def open_copy(store):
    """Open a copy of a folder, as a restarted process would find it."""
    folder = store.folder.with_name("copy")
    shutil.rmtree(folder, ignore_errors=True)
    shutil.copytree(store.folder, folder)
    return open_storage(folder)


def refuse_truncation(size):
    raise durable.NoSpaceError(errno.ENOSPC, os.strerror(errno.ENOSPC))


def refuse_for_want_of_room(*paths):
    raise OSError(errno.ENOSPC, os.strerror(errno.ENOSPC))


class FailingCalls:
    """System calls that fail with an error number; `fsync` succeeds if the number is 0."""

    def __init__(self, error_number):
        self.error_number = error_number

    def fsync(self, descriptor):
        if self.error_number:
            raise OSError(self.error_number, os.strerror(self.error_number))

    def write(self, descriptor, data):
        raise OSError(self.error_number, os.strerror(self.error_number))


def perform(store, action):
    if action == "append":
        store.append(make_entries(7, 8))
    elif action == "truncate":
        store.truncate(4)
    elif action == "save_snapshot":
        curio.run(store.save_snapshot, make_snapshot(3), 0)
    else:
        curio.run(getattr(store, action))
