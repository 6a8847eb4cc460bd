"""The data folder: what survives a crash, what refuses to open, what ends the process."""

import errno
import os

import curio
import pytest

from ebonywheel import durable, exceptions, logfile, messages, storage

HOST = "control-1"


def entries(first, last, term=1, size=20):
    return [messages.LogEntry(index, term, b"%d" % index * size) for index in range(first, last)]


def open_storage(folder, host=HOST):
    return storage.Storage(str(folder), host)


def written(folder, count=5, term=1):
    """A folder with a vote and synced entries 1..count."""
    store = open_storage(folder)
    store.vote.term = term
    store.append(entries(1, count + 1, term))
    curio.run(save, store)
    return store


async def save(store):
    await store.save_vote()
    await store.sync()


def snapshot(index, term=1):
    return storage.Snapshot(index, term, b"state-%d" % index)


def held(store):
    return [(entry.index, entry.term) for entry in store.log.entries]


def flip(path, offset):
    data = bytearray(path.read_bytes())
    data[offset] ^= 0x40
    path.write_bytes(data)


class TestReopen:
    def test_all_that_was_synced_is_there(self, tmp_path):
        written(tmp_path).close()
        store = open_storage(tmp_path)
        assert held(store) == [(index, 1) for index in range(1, 6)]
        assert (store.vote.term, store.synced) == (1, 5)

    def test_member_id_stays_and_a_new_folder_has_another(self, tmp_path):
        first = open_storage(tmp_path / "a")
        first.close()
        assert open_storage(tmp_path / "a").identity.member == first.identity.member
        assert open_storage(tmp_path / "b").identity.member != first.identity.member

    def test_second_process_is_refused(self, tmp_path):
        with_lock = open_storage(tmp_path)
        with pytest.raises(exceptions.StorageError, match="in use"):
            open_storage(tmp_path)
        with_lock.close()

    def test_truncated_entries_stay_away(self, tmp_path):
        store = written(tmp_path)
        store.truncate(3)
        store.append(entries(3, 5, term=1))
        store.close()
        assert held(open_storage(tmp_path)) == [(1, 1), (2, 1), (3, 1), (4, 1)]


class TestSync:
    @pytest.mark.parametrize(
        ("action", "synced"),
        [
            ("sync", ["log"]),
            ("save_vote", ["vote.tmp", ""]),
            ("save_snapshot", ["snapshot.tmp", "", "log.tmp", ""]),
            ("truncate", ["log"]),
        ],
    )
    def test_files_and_their_names_are_synced(self, tmp_path, monkeypatch, action, synced):
        store = written(tmp_path)
        store.vote.term = 9
        store.append(entries(6, 7))
        seen = []
        real = os.fsync

        def fsync(descriptor):
            path = os.readlink(f"/proc/self/fd/{descriptor}")
            seen.append(path.removeprefix(str(tmp_path)).lstrip("/"))
            real(descriptor)

        monkeypatch.setattr(os, "fsync", fsync)
        act(store, action)
        assert seen == synced


class TestTornRecord:
    def test_cut_at_every_byte_of_the_last_record(self, tmp_path):
        store = written(tmp_path)
        start, end = store.log.offsets[-1], store.log.size
        store.close()
        path = tmp_path / storage.LOG_FILE
        whole = path.read_bytes()
        for length in range(start, end):
            path.write_bytes(whole[:length])
            again = open_storage(tmp_path)
            assert again.last_index() == 4, length
            again.close()
            assert path.stat().st_size == start

    @pytest.mark.parametrize("zeros", [1, 7, 600, 5000])
    def test_blocks_that_were_never_written_are_cut(self, tmp_path, zeros):
        written(tmp_path).close()
        path = tmp_path / storage.LOG_FILE
        path.write_bytes(path.read_bytes() + bytes(zeros))
        assert open_storage(tmp_path).last_index() == 5

    def test_start_of_a_record_before_zeros_is_cut(self, tmp_path):
        store = written(tmp_path)
        store.close()
        path = tmp_path / storage.LOG_FILE
        data = path.read_bytes()
        record = logfile.encode_record(messages.LogEntry(6, 1, b"x" * 4000))
        sectors = -(-len(data) // 512) * 512 + 512
        path.write_bytes((data + record)[:sectors].ljust(len(data) + len(record), b"\0"))
        assert open_storage(tmp_path).last_index() == 5


class TestCorruption:
    def test_any_changed_byte_of_any_whole_record_refuses(self, tmp_path):
        store = written(tmp_path)
        size = store.log.size
        store.close()
        path = tmp_path / storage.LOG_FILE
        whole = path.read_bytes()
        for offset in range(size):
            flip(path, offset)
            with pytest.raises(exceptions.CorruptLogError):
                open_storage(tmp_path)
            path.write_bytes(whole)

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
    def test_damaged_file_refuses_with_the_reason(self, tmp_path, name, damage, text):
        store = written(tmp_path)
        curio.run(store.save_snapshot, snapshot(3), 0)
        store.close()
        path = tmp_path / name
        if damage == "flip":
            flip(path, path.stat().st_size - 2)
        elif damage == "empty":
            path.write_bytes(b"")
        else:
            path.unlink()
        with pytest.raises(exceptions.StorageError, match=text):
            open_storage(tmp_path)

    def test_folder_of_another_host_is_refused(self, tmp_path):
        written(tmp_path).close()
        with pytest.raises(exceptions.StorageError, match="belongs to host 'control-1'"):
            open_storage(tmp_path, "control-2")

    def test_terms_that_go_back_are_refused(self, tmp_path):
        store = written(tmp_path)
        store.log.append([messages.LogEntry(6, 0, b"x")])
        store.close()
        with pytest.raises(exceptions.CorruptLogError, match="follows entry 5"):
            open_storage(tmp_path)


class TestSnapshot:
    def test_trailing_entries_stay_for_those_behind(self, tmp_path):
        store = written(tmp_path)
        curio.run(store.save_snapshot, snapshot(4), 2)
        assert held(store) == [(3, 1), (4, 1), (5, 1)]
        assert [store.term_at(index) for index in (1, 2, 3, 5, 6)] == [None, 1, 1, 1, None]
        store.close()
        again = open_storage(tmp_path)
        assert held(again) == [(3, 1), (4, 1), (5, 1)]
        assert again.load_snapshot() == snapshot(4)

    def test_older_snapshot_does_not_replace_a_newer_one(self, tmp_path):
        store = written(tmp_path)
        curio.run(store.save_snapshot, snapshot(4), 0)
        curio.run(store.save_snapshot, snapshot(2), 0)
        assert (store.snapshot.index, store.load_snapshot().index) == (4, 4)

    @pytest.mark.parametrize("saved", [snapshot(3, term=2), snapshot(9, term=2)])
    def test_log_that_conflicts_with_the_snapshot_goes(self, tmp_path, saved):
        store = written(tmp_path)
        store.vote.term = 2
        curio.run(store.save_vote)
        curio.run(store.save_snapshot, saved, 5)
        assert (held(store), store.last_index(), store.last_term()) == ([], saved.index, 2)

    @pytest.mark.parametrize("saved", [snapshot(3, term=2), snapshot(9, term=2)])
    def test_crash_between_snapshot_and_log(self, tmp_path, saved):
        store = written(tmp_path)
        store.vote.term = 2
        curio.run(store.save_vote)
        store.close()
        storage._write_snapshot(tmp_path, saved)
        again = open_storage(tmp_path)
        assert (held(again), again.last_index(), again.last_term()) == ([], saved.index, 2)

    def test_crash_between_snapshot_and_log_that_fits(self, tmp_path):
        written(tmp_path).close()
        storage._write_snapshot(tmp_path, snapshot(3))
        again = open_storage(tmp_path)
        assert (again.last_index(), again.term_at(3), again.term_at(4)) == (5, 1, 1)

    def test_appends_go_on_after_the_log_was_dropped(self, tmp_path):
        store = written(tmp_path)
        curio.run(store.save_snapshot, snapshot(5), 0)
        store.append(entries(6, 9))
        store.close()
        assert held(open_storage(tmp_path)) == [(6, 1), (7, 1), (8, 1)]


FAULTS = [errno.EIO, errno.ENOSPC]


class TestFault:
    @pytest.mark.parametrize("number", FAULTS)
    @pytest.mark.parametrize("action", ["sync", "save_vote", "save_snapshot", "truncate"])
    def test_nothing_is_done_after_a_failed_sync(self, tmp_path, monkeypatch, action, number):
        store = written(tmp_path)
        store.vote.term = 9
        store.append(entries(6, 7))
        failing = Failing(number)
        monkeypatch.setattr(durable, "fsync", failing.fsync)
        with pytest.raises(exceptions.StorageError):
            act(store, action)
        assert store.synced < 6
        failing.number = 0
        for later in ("sync", "save_vote", "save_snapshot", "truncate", "append"):
            with pytest.raises(exceptions.StorageError):
                act(store, later)
        assert store.synced < 6

    @pytest.mark.parametrize("number", FAULTS)
    def test_failed_write_leaves_what_was_synced(self, tmp_path, monkeypatch, number):
        store = written(tmp_path)
        monkeypatch.setattr(os, "write", Failing(number).write)
        with pytest.raises(exceptions.StorageError):
            store.append(entries(6, 7))
        monkeypatch.undo()
        store.close()
        assert open_storage(tmp_path).last_index() == 5

    def test_entries_cut_during_a_sync_do_not_count(self, tmp_path, monkeypatch):
        store = written(tmp_path)
        store.append(entries(6, 9))
        calls = []

        def cut_meanwhile(descriptor):
            calls.append(descriptor)
            if len(calls) == 1:
                store.truncate(7)
                store.append(entries(7, 8, term=2))
                assert store.synced == 5

        monkeypatch.setattr(durable, "fsync", cut_meanwhile)
        curio.run(store.sync)
        assert (store.synced, len(calls)) == (7, 3)


class Failing:
    """Calls that fail with an error number while there is one."""

    def __init__(self, number):
        self.number = number

    def fsync(self, descriptor):
        if self.number:
            raise OSError(self.number, os.strerror(self.number))

    def write(self, descriptor, data):
        raise OSError(self.number, os.strerror(self.number))


def act(store, action):
    if action == "append":
        store.append(entries(7, 8))
    elif action == "truncate":
        store.truncate(4)
    elif action == "save_snapshot":
        curio.run(store.save_snapshot, snapshot(3), 0)
    else:
        curio.run(getattr(store, action))
