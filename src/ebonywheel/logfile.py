"""The log file: records with checksums, in log order.

When the file is opened, a torn record is removed with all that follows it: one that the end of the
file cuts off, or one with zeros in place of blocks that were not written before a crash. Later
writes may have reached the disk, but none of them was synced. Any other bad record is corruption,
even at the end of the file, and the log does not open.
"""

import os
import pathlib
import struct
import zlib

from ebonywheel import durable, exceptions, messages

# Length of the data, CRC-32 of the data, log index, term.
HEADER = struct.Struct("!IIQQ")
HEADER_CHECKSUM = struct.Struct("!I")
RECORD_HEADER_BYTES = HEADER.size + HEADER_CHECKSUM.size
SECTOR_BYTES = 512
# The length of most records begins with two zeros, which say nothing about missing blocks.
LENGTH_ZEROS = 2

RECOVERY_HINT = "move the data folder away and bring the host back as a learner"


class LogFile:
    """Reads and writes the records of one log file.

    Attributes:
        entries: All entries, in log order.
        offsets: Byte offset of each entry's record.
        size: Size of all records, in bytes.
        has_partial_record: True when the file goes on after `size` with records that were never
            completely written, until `recover`, or with one that found no room and could not be
            removed yet.
    """

    def __init__(self, path: pathlib.Path):
        self.path = path
        self.entries: list[messages.LogEntry] = []
        self.offsets: list[int] = []
        data = path.read_bytes()
        self.size = self._read_records(data)
        self.file = open(path, "r+b", buffering=0)
        self.has_partial_record = self.size < len(data)
        self.file.seek(0, os.SEEK_END)

    def recover(self) -> None:
        """Remove what follows the last valid record, and make the records that remain durable.

        The process before may have ended between a write and its sync.

        Raises:
            OSError: The file could not be truncated or synced.
        """
        if self.has_partial_record:
            self._truncate_file(self.size)
        else:
            self.sync()

    def append(self, entries: list[messages.LogEntry]) -> None:
        """Append entries to the file; they are durable only after `sync`.

        Raises:
            NoSpaceError: The disk is full; none of the entries was appended.
            OSError: The entries could not all be written.
        """
        if self.has_partial_record:
            self._truncate_file(self.size)
        data = bytearray()
        offsets = []
        for entry in entries:
            offsets.append(self.size + len(data))
            data += encode_record(entry)
        self._write_records(data)
        self.entries.extend(entries)
        self.offsets.extend(offsets)
        self.size += len(data)

    def _write_records(self, data: bytearray) -> None:
        try:
            durable.write_all(self.file.fileno(), data)
        except durable.NoSpaceError:
            # Removed durably, or a crash could leave its end behind records appended later.
            self.has_partial_record = True
            self._truncate_file(self.size)
            raise

    def sync(self) -> None:
        """Make all written records durable.

        Raises:
            OSError: The file could not be synced.
        """
        durable.fsync(self.file.fileno())

    def truncate(self, position: int) -> None:
        """Remove the record at a position in `entries` and all after it, durably.

        Without the sync, a crash could leave new records followed by old ones.

        Raises:
            OSError: The file could not be truncated or synced.
        """
        if position < len(self.offsets):
            self._truncate_file(self.offsets[position])
        del self.entries[position:]
        del self.offsets[position:]

    def discard_first(self, count: int) -> None:
        """Remove the first records, and make those that remain durable.

        Raises:
            NoSpaceError: The disk is full; no record was removed.
            OSError: The file could not be replaced.
        """
        if count == len(self.entries):
            # Needs no room, unlike a new file.
            self.truncate(0)
            return
        start = self.offsets[count]
        remaining = os.pread(self.file.fileno(), self.size - start, start)
        durable.replace(self.path, remaining)
        self.file.close()
        self.file = open(self.path, "r+b", buffering=0)
        self.file.seek(0, os.SEEK_END)
        self.size = len(remaining)
        del self.entries[:count]
        self.offsets = [offset - start for offset in self.offsets[count:]]

    def close(self) -> None:
        """Close the file."""
        self.file.close()

    def _truncate_file(self, size: int) -> None:
        self.file.truncate(size)
        self.file.seek(size)
        durable.fsync(self.file.fileno())
        self.size = size
        self.has_partial_record = False

    def _read_records(self, data: bytes) -> int:
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
        previous = self.entries[-1]
        if entry.index != previous.index + 1 or entry.term < previous.term:
            raise exceptions.CorruptLogError(
                f"entry {entry.index} of term {entry.term} at byte {offset} follows entry "
                f"{previous.index} of term {previous.term}; {RECOVERY_HINT}",
                "open log",
                str(self.path),
            )


def encode_record(entry: messages.LogEntry) -> bytes:
    """Encode an entry as a record."""
    header = HEADER.pack(len(entry.data), zlib.crc32(entry.data), entry.index, entry.term)
    return header + HEADER_CHECKSUM.pack(zlib.crc32(header)) + entry.data


def decode_record(data: bytes, offset: int) -> tuple[messages.LogEntry, int] | None:
    """Return the entry at an offset and its record's end, or None if there is no valid record."""
    header = _decode_header(data, offset)
    if header is None:
        return None
    length, checksum, index, term = header
    end = offset + RECORD_HEADER_BYTES + length
    body = data[offset + RECORD_HEADER_BYTES : end]
    if end > len(data) or zlib.crc32(body) != checksum:
        return None
    return messages.LogEntry(index, term, body), end


def is_torn(data: bytes, offset: int) -> bool:
    """Return whether the invalid record at an offset was never completely written."""
    start, end = offset + LENGTH_ZEROS, offset + RECORD_HEADER_BYTES
    header = _decode_header(data, offset)
    if header is not None:
        start, end = end, end + header[0]
    # Blocks that were not written read as zeros if a later one was, or if the file has its length.
    return end > len(data) or data[end - 1] == 0 or _has_empty_sector(data, start, end)


def _has_empty_sector(data: bytes, start: int, end: int) -> bool:
    """Return whether the part of a sector that lies within a range holds only zeros."""
    while start < end:
        sector_end = min(start - start % SECTOR_BYTES + SECTOR_BYTES, end)
        if not any(data[start:sector_end]):
            return True
        start = sector_end
    return False


def _decode_header(data: bytes, offset: int) -> tuple[int, int, int, int] | None:
    if offset + RECORD_HEADER_BYTES > len(data):
        return None
    header = data[offset : offset + HEADER.size]
    (checksum,) = HEADER_CHECKSUM.unpack_from(data, offset + HEADER.size)
    if zlib.crc32(header) != checksum:
        return None
    return HEADER.unpack(header)
