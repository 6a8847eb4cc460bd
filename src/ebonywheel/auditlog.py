"""The complete audit trail: a file in a control host's data folder, one line of JSON per entry.

The replicated state, and so a snapshot, holds only the latest entries. Each control host appends
all entries to its own file. A `Gap` entry marks where the state dropped entries before this host
could write them.
"""

import os
import pathlib

import curio
import msgspec

from ebonywheel import durable, exceptions, logs, state, statedata

AUDIT_FILE = "audit.jsonl"
# `read` scans at most this many lines before the first one that it returns.
INDEX_INTERVAL_LINES = 256
GAP_ACTION = "Gap"
# Pause before the next attempt to write to a full disk.
DISK_FULL_RETRY_S = 1.0

_decode = msgspec.json.Decoder(statedata.AuditEntry).decode


class AuditLog:
    """Copies the audit entries of the replicated state to a file.

    Attributes:
        last_index: Log index of the last entry in the file.
        entries_applied: Set when the state may hold entries that are not in the file yet.
        sparse_index: Log index and byte offset of every `INDEX_INTERVAL_LINES`-th line.
    """

    def __init__(self, folder: str, state_machine: state.State):
        self.path = pathlib.Path(folder) / AUDIT_FILE
        self.state_machine = state_machine
        self.last_index = 0
        self.entries_applied = curio.Event()
        self.line_count = 0
        self.sparse_index: list[tuple[int, int]] = []
        self.file = self._open()

    def close(self) -> None:
        """Close the file."""
        self.file.close()

    async def run(self, log: logs.EventLogger) -> None:
        """Write new entries until cancelled; those that find no room wait in the state.

        Runs in a task of its own, so that a slow disk delays no answer.
        """
        while True:
            try:
                await self.write_new_entries()
            except exceptions.DiskFullError as error:
                log.warning("disk_full", error=error)
                await curio.sleep(DISK_FULL_RETRY_S)
                continue
            await self.entries_applied.wait()
            self.entries_applied.clear()

    async def wake(self) -> None:
        """Make `run` check for new entries."""
        await self.entries_applied.set()

    async def write_new_entries(self) -> None:
        """Append the entries that were applied since the last call, and sync the file.

        Raises:
            DiskFullError: The disk is full; none of the entries was written.
            StorageError: The file cannot be written or synced; the process must end.
        """
        entries = self._unwritten_entries()
        if not entries:
            return
        try:
            self._append_lines(entries)
            await curio.run_in_thread(os.fsync, self.file.fileno())
        except durable.NoSpaceError as error:
            raise exceptions.DiskFullError(str(error), "write audit", str(self.path)) from error
        except OSError as error:
            raise exceptions.StorageError(str(error), "write audit", str(self.path)) from error

    def read(self, after: int, limit: int) -> list[statedata.AuditEntry]:
        """Return up to `limit` entries that follow a log index.

        Raises:
            StorageError: The file cannot be read.
        """
        entries: list[statedata.AuditEntry] = []
        try:
            with open(self.path, "rb") as file:
                file.seek(self._offset_before(after))
                for line in file:
                    if len(entries) == limit or not line.endswith(b"\n"):
                        break
                    entry = _decode(line)
                    if entry.index > after:
                        entries.append(entry)
        except (OSError, msgspec.MsgspecError) as error:
            raise exceptions.StorageError(str(error), "read audit", str(self.path)) from error
        return entries

    def _unwritten_entries(self) -> list[statedata.AuditEntry]:
        state_entries = self.state_machine.data.audit
        first = len(state_entries)
        while first > 0 and state_entries[first - 1].index > self.last_index:
            first -= 1
        entries = state_entries[first:]
        if (
            first == 0
            and len(state_entries) >= state.MAX_AUDIT_ENTRIES
            and self.last_index < state_entries[0].index - 1
        ):
            return [self._gap_entry(state_entries[0]), *entries]
        return entries

    def _gap_entry(self, next_entry: statedata.AuditEntry) -> statedata.AuditEntry:
        # The state dropped entries while this host was down or behind; other hosts have them.
        return statedata.AuditEntry(
            next_entry.index - 1,
            next_entry.at_ms,
            "",
            GAP_ACTION,
            "",
            "",
            detail=f"entries after index {self.last_index} may be missing here: "
            "ask another control host",
        )

    def _append_lines(self, entries: list[statedata.AuditEntry]) -> None:
        offset = self.file.seek(0, os.SEEK_END)
        lines = [msgspec.json.encode(entry) + b"\n" for entry in entries]
        try:
            durable.write_all(self.file.fileno(), b"".join(lines))
        except durable.NoSpaceError:
            self.file.truncate(offset)
            raise
        for entry, line in zip(entries, lines, strict=True):
            self._record_line(entry.index, offset)
            offset += len(line)

    def _record_line(self, index: int, offset: int) -> None:
        if self.line_count % INDEX_INTERVAL_LINES == 0:
            self.sparse_index.append((index, offset))
        self.line_count += 1
        self.last_index = index

    def _offset_before(self, after: int) -> int:
        offset = 0
        for index, line_offset in self.sparse_index:
            if index > after:
                break
            offset = line_offset
        return offset

    def _open(self):
        try:
            file = open(self.path, "a+b")
            file.seek(0)
            valid_bytes = 0
            for line in file:
                # Blocks that were not written before a power loss read as zeros.
                if not line.endswith(b"\n") or b"\0" in line:
                    break
                self._record_line(_decode(line).index, valid_bytes)
                valid_bytes += len(line)
            # The last lines are incomplete if the process ended while writing them.
            file.truncate(valid_bytes)
            file.seek(valid_bytes)
            # Entries that are found here are not written again, so they and the name must last.
            durable.fsync(file.fileno())
            durable.sync_folder(self.path.parent)
        except (OSError, msgspec.MsgspecError) as error:
            raise exceptions.StorageError(str(error), "open audit", str(self.path)) from error
        return file
