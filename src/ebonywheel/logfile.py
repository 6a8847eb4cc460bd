"""The log file: records with checksums, in order, cut after a crash where one is torn.

A record that was synced is never cut: a record is torn only where the file ends inside it, or
where the file ends in zeros that were never overwritten. Any other bad record is corruption, also
at the end of the file, and the log does not open.
"""

import os
import pathlib
import struct
import zlib

from ebonywheel import durable, exceptions, messages

# Length of the data, checksum of the data, log index, term.
HEADER = struct.Struct("!IIQQ")
HEADER_CHECKSUM = struct.Struct("!I")
HEAD_BYTES = HEADER.size + HEADER_CHECKSUM.size
SECTOR_BYTES = 512

RECOVERY_HINT = "move the data folder away and bring the host back as a learner"


class LogFile:
    """The records of one log file.

    Attributes:
        entries: All entries, in order.
        offsets: Where each entry's record begins, in bytes.
        size: Bytes of all records.
    """

    def __init__(self, path: pathlib.Path):
        self.path = path
        self.entries: list[messages.LogEntry] = []
        self.offsets: list[int] = []
        data = path.read_bytes()
        self.size = self._load(data)
        self.file = open(path, "r+b", buffering=0)
        if self.size < len(data):
            self._truncate(self.size)
        self.file.seek(0, os.SEEK_END)

    def append(self, entries: list[messages.LogEntry]) -> None:
        """Write entries at the end; durable only after `sync`.

        Raises:
            OSError: They could not all be written.
        """
        data = bytearray()
        offsets = []
        for entry in entries:
            offsets.append(self.size + len(data))
            data += encode_record(entry)
        durable.write_all(self.file.fileno(), data)
        self.entries.extend(entries)
        self.offsets.extend(offsets)
        self.size += len(data)

    def sync(self) -> None:
        """Make all written records durable.

        Raises:
            OSError: The file could not be synced.
        """
        durable.fsync(self.file.fileno())

    def cut(self, position: int) -> None:
        """Remove the record at a position and all after it, durably.

        Without the sync, a crash could leave new records followed by old ones.

        Raises:
            OSError: The file could not be cut or synced.
        """
        self._truncate(self.offsets[position])
        del self.entries[position:]
        del self.offsets[position:]

    def drop(self, count: int) -> None:
        """Remove the first records; all that stay are durable afterwards.

        Raises:
            OSError: The file could not be replaced.
        """
        start = self.offsets[count] if count < len(self.offsets) else self.size
        kept = os.pread(self.file.fileno(), self.size - start, start)
        durable.replace(self.path, kept)
        self.file.close()
        self.file = open(self.path, "r+b", buffering=0)
        self.file.seek(0, os.SEEK_END)
        self.size = len(kept)
        del self.entries[:count]
        self.offsets = [offset - start for offset in self.offsets[count:]]

    def close(self) -> None:
        """Close the file."""
        self.file.close()

    def _truncate(self, size: int) -> None:
        self.file.truncate(size)
        self.file.seek(size)
        durable.fsync(self.file.fileno())
        self.size = size

    def _load(self, data: bytes) -> int:
        offset = 0
        while (record := decode_record(data, offset)) is not None:
            entry, end = record
            self._check_order(entry, offset)
            self.entries.append(entry)
            self.offsets.append(offset)
            offset = end
        if offset < len(data) and not is_torn(data, offset):
            raise exceptions.CorruptLogError(
                f"bad record at byte {offset}; {RECOVERY_HINT}", "open log", str(self.path)
            )
        return offset

    def _check_order(self, entry: messages.LogEntry, offset: int) -> None:
        if not self.entries:
            return
        last = self.entries[-1]
        if entry.index != last.index + 1 or entry.term < last.term:
            raise exceptions.CorruptLogError(
                f"entry {entry.index} of term {entry.term} at byte {offset} follows entry "
                f"{last.index} of term {last.term}; {RECOVERY_HINT}",
                "open log",
                str(self.path),
            )


def encode_record(entry: messages.LogEntry) -> bytes:
    """Return the record of an entry."""
    head = HEADER.pack(len(entry.data), zlib.crc32(entry.data), entry.index, entry.term)
    return head + HEADER_CHECKSUM.pack(zlib.crc32(head)) + entry.data


def decode_record(data: bytes, offset: int) -> tuple[messages.LogEntry, int] | None:
    """Return the entry at an offset and the record's end, or None where there is no good one."""
    head = _decode_head(data, offset)
    if head is None:
        return None
    length, checksum, index, term = head
    end = offset + HEAD_BYTES + length
    body = data[offset + HEAD_BYTES : end]
    if end > len(data) or zlib.crc32(body) != checksum:
        return None
    return messages.LogEntry(index, term, body), end


def is_torn(data: bytes, offset: int) -> bool:
    """Return whether the bad record at an offset was never completely written."""
    if offset + HEAD_BYTES > len(data):
        return True
    head = _decode_head(data, offset)
    if head is not None and offset + HEAD_BYTES + head[0] > len(data):
        return True
    zeros_from = len(data.rstrip(b"\0"))
    next_sector = -(-zeros_from // SECTOR_BYTES) * SECTOR_BYTES
    return zeros_from <= offset or next_sector < len(data)


def _decode_head(data: bytes, offset: int) -> tuple[int, int, int, int] | None:
    if offset + HEAD_BYTES > len(data):
        return None
    head = data[offset : offset + HEADER.size]
    (checksum,) = HEADER_CHECKSUM.unpack_from(data, offset + HEADER.size)
    if zlib.crc32(head) != checksum:
        return None
    return HEADER.unpack(head)
