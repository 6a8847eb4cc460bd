"""Durable state of a control host: identity, term and vote, log and snapshot in one folder.

Log records carry a checksum. A torn last record is cut when the log is opened; a bad record with
good ones behind it refuses to open. Whatever could not be synced is never acknowledged.
"""

import os
import pathlib
import secrets
import struct
import zlib

import curio
import msgspec

from ebonywheel import exceptions, messages

IDENTITY_FILE = "identity.json"
VOTE_FILE = "vote.json"
LOG_FILE = "log.bin"
SNAPSHOT_FILE = "snapshot.bin"
LOCK_FILE = "lock"
TEMPORARY_SUFFIX = ".tmp"
MEMBER_ID_BYTES = 8

# Checksum of all that follows, length of the data, log index, term.
RECORD = struct.Struct("!IIQQ")
CHECKSUM = struct.Struct("!I")


class Identity(msgspec.Struct):
    """Who this data folder belongs to.

    Attributes:
        host: Name of the host that made the folder.
        member: Random id; a host with a new disk has a new one.
        formed: Members of the cluster's first configuration, empty before there is one.
    """

    host: str
    member: str
    formed: list[messages.MemberInfo] = []


class Vote(msgspec.Struct):
    """Current term and the member voted for in it."""

    term: int = 0
    voted_for: str = ""


class Snapshot(msgspec.Struct):
    """State up to and including a log index."""

    index: int = 0
    term: int = 0
    state: bytes = b""


class Storage:
    """The data folder of one control host.

    Attributes:
        identity: Owner of the folder.
        vote: Durable term and vote.
        snapshot: Latest snapshot.
        entries: Log entries after the snapshot, in order.
        synced: Highest log index that is durable.
    """

    def __init__(self, folder: str, host: str):
        self.folder = pathlib.Path(folder)
        self.folder.mkdir(parents=True, exist_ok=True)
        self.identity = self._open_identity(host)
        self.vote = self._read(VOTE_FILE, Vote) or Vote()
        self.snapshot = self._open_snapshot()
        self.entries: list[messages.LogEntry] = []
        self.offsets: list[int] = []
        self.log = self._open_log()
        self.synced = self.last_index()
        self.sync_lock = curio.Lock()
        self.vote_lock = curio.Lock()

    def last_index(self) -> int:
        """Return the index of the last entry."""
        return self.snapshot.index + len(self.entries)

    def last_term(self) -> int:
        """Return the term of the last entry."""
        return self.entries[-1].term if self.entries else self.snapshot.term

    def term_at(self, index: int) -> int | None:
        """Return the term of an entry, or None where the log does not hold it."""
        if index == self.snapshot.index:
            return self.snapshot.term
        position = index - self.snapshot.index - 1
        if 0 <= position < len(self.entries):
            return self.entries[position].term
        return None

    def entries_from(self, index: int, most: int) -> list[messages.LogEntry]:
        """Return up to `most` entries starting at an index after the snapshot."""
        position = index - self.snapshot.index - 1
        return self.entries[position : position + most]

    def append(self, entries: list[messages.LogEntry]) -> None:
        """Append entries to the log; durable only after `sync`.

        Raises:
            StorageError: The log cannot be written.
        """
        offset = self.log.seek(0, os.SEEK_END)
        data = bytearray()
        for entry in entries:
            self.offsets.append(offset + len(data))
            data += _encode_record(entry)
        try:
            _write_all(self.log.fileno(), data)
        except OSError as error:
            raise exceptions.StorageError(str(error), "append", str(self.folder)) from error
        self.entries.extend(entries)

    def truncate(self, index: int) -> None:
        """Drop the entry at an index and all after it."""
        position = index - self.snapshot.index - 1
        self.log.truncate(self.offsets[position])
        del self.entries[position:]
        del self.offsets[position:]
        self.synced = min(self.synced, index - 1)

    async def sync(self) -> None:
        """Make all entries appended so far durable.

        Raises:
            StorageError: The log could not be synced; the process must end.
        """
        wanted = self.last_index()
        async with self.sync_lock:
            if self.synced >= wanted:
                return
            target, term = self.last_index(), self.last_term()
            try:
                await curio.run_in_thread(os.fsync, self.log.fileno())
            except OSError as error:
                raise exceptions.StorageError(str(error), "sync log", str(self.folder)) from error
            # Entries cut away during the sync must not count as durable.
            if self.term_at(target) == term:
                self.synced = max(self.synced, target)

    async def save_vote(self) -> None:
        """Make the current term and vote durable.

        Raises:
            StorageError: They could not be written.
        """
        async with self.vote_lock:
            await curio.run_in_thread(self._replace, VOTE_FILE, msgspec.json.encode(self.vote))

    def save_formed(self, members: list[messages.MemberInfo]) -> None:
        """Record the first configuration of the cluster."""
        self.identity.formed = members
        self._replace(IDENTITY_FILE, msgspec.json.encode(self.identity))

    async def save_snapshot(self, snapshot: Snapshot) -> None:
        """Make a snapshot durable and drop the log entries that it covers.

        Raises:
            StorageError: It could not be written; log and old snapshot stay.
        """
        body = msgspec.msgpack.encode(snapshot)
        data = CHECKSUM.pack(zlib.crc32(body)) + body
        async with self.sync_lock:
            await curio.run_in_thread(self._replace, SNAPSHOT_FILE, data)
            self._drop_covered(snapshot)

    def close(self) -> None:
        """Close the log file."""
        self.log.close()

    def _drop_covered(self, snapshot: Snapshot) -> None:
        if self.term_at(snapshot.index) == snapshot.term:
            kept = self.entries[snapshot.index - self.snapshot.index :]
        else:
            kept = []
        self.snapshot = snapshot
        records = [_encode_record(entry) for entry in kept]
        self._replace(LOG_FILE, b"".join(records))
        self.log.close()
        self.log = _open_for_update(self.folder / LOG_FILE)
        self.entries = kept
        self.offsets = []
        offset = 0
        for record in records:
            self.offsets.append(offset)
            offset += len(record)
        self.synced = self.last_index()

    def _open_identity(self, host: str) -> Identity:
        found = self._read(IDENTITY_FILE, Identity)
        if found is None:
            if (self.folder / LOG_FILE).exists() or (self.folder / SNAPSHOT_FILE).exists():
                raise exceptions.StorageError("no identity", "open identity", str(self.folder))
            found = Identity(host, secrets.token_hex(MEMBER_ID_BYTES))
            self._replace(IDENTITY_FILE, msgspec.json.encode(found))
        if found.host != host:
            raise exceptions.StorageError(
                f"data folder belongs to host {found.host!r}, not {host!r}",
                "open identity",
                str(self.folder),
            )
        return found

    def _open_snapshot(self) -> Snapshot:
        path = self.folder / SNAPSHOT_FILE
        if not path.exists():
            return Snapshot()
        data = path.read_bytes()
        body = data[CHECKSUM.size :]
        if len(data) < CHECKSUM.size or CHECKSUM.unpack_from(data)[0] != zlib.crc32(body):
            raise exceptions.StorageError("bad checksum", "open snapshot", str(path))
        return msgspec.msgpack.decode(body, type=Snapshot)

    def _open_log(self):
        path = self.folder / LOG_FILE
        if not path.exists():
            self._replace(LOG_FILE, b"")
        data = path.read_bytes()
        good = self._load_records(data, path)
        log = _open_for_update(path)
        if good < len(data):
            log.truncate(good)
            os.fsync(log.fileno())
        return log

    def _load_records(self, data: bytes, path: pathlib.Path) -> int:
        offset = 0
        while (record := _decode_record(data, offset)) is not None:
            entry, end = record
            # A snapshot may be newer than the log it was to replace.
            if entry.index > self.snapshot.index:
                self._take_loaded(entry, offset, path)
            offset = end
        if offset < len(data) and _has_record_after(data, offset):
            raise exceptions.CorruptLogError(
                f"bad record at byte {offset} with good ones behind it", "open log", str(path)
            )
        return offset

    def _take_loaded(self, entry: messages.LogEntry, offset: int, path: pathlib.Path) -> None:
        if entry.index != self.last_index() + 1:
            raise exceptions.CorruptLogError(
                f"entry {entry.index} where {self.last_index() + 1} was expected",
                "open log",
                str(path),
            )
        self.entries.append(entry)
        self.offsets.append(offset)

    def _read(self, name: str, kind: type):
        path = self.folder / name
        if not path.exists():
            return None
        try:
            return msgspec.json.decode(path.read_bytes(), type=kind)
        except (msgspec.DecodeError, msgspec.ValidationError) as error:
            raise exceptions.StorageError(str(error), "read", str(path)) from error

    def _replace(self, name: str, data: bytes) -> None:
        target = self.folder / name
        temporary = self.folder / (name + TEMPORARY_SUFFIX)
        try:
            with open(temporary, "wb") as file:
                file.write(data)
                file.flush()
                os.fsync(file.fileno())
            os.replace(temporary, target)
            _sync_folder(self.folder)
        except OSError as error:
            raise exceptions.StorageError(str(error), "write", str(target)) from error


def _open_for_update(path: pathlib.Path):
    log = open(path, "r+b", buffering=0)
    log.seek(0, os.SEEK_END)
    return log


def _write_all(descriptor: int, data: bytes | bytearray) -> None:
    view = memoryview(data)
    while view:
        view = view[os.write(descriptor, view) :]


def _sync_folder(folder: pathlib.Path) -> None:
    descriptor = os.open(folder, os.O_RDONLY)
    try:
        os.fsync(descriptor)
    finally:
        os.close(descriptor)


def _encode_record(entry: messages.LogEntry) -> bytes:
    body = RECORD.pack(0, len(entry.data), entry.index, entry.term)[CHECKSUM.size :] + entry.data
    return CHECKSUM.pack(zlib.crc32(body)) + body


def _decode_record(data: bytes, offset: int) -> tuple[messages.LogEntry, int] | None:
    if offset + RECORD.size > len(data):
        return None
    checksum, length, index, term = RECORD.unpack_from(data, offset)
    end = offset + RECORD.size + length
    if end > len(data):
        return None
    if zlib.crc32(data[offset + CHECKSUM.size : end]) != checksum:
        return None
    return messages.LogEntry(index, term, data[offset + RECORD.size : end]), end


def _has_record_after(data: bytes, offset: int) -> bool:
    return any(
        _decode_record(data, later) is not None
        for later in range(offset + 1, len(data) - RECORD.size + 1)
    )
