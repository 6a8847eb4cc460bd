"""The whole audit trail of a control host: one JSON line for each entry, in the data folder.

The replicated state keeps only the latest entries. Each control host appends them to its file, and
syncs it, before a snapshot can cover them.
"""

import os
import pathlib

import curio
import msgspec

from ebonywheel import exceptions, state, statedata

AUDIT_FILE = "audit.jsonl"
# Lines between two remembered places in the file.
STRIDE = 256
GAP_ACTION = "Gap"

_decode = msgspec.json.Decoder(statedata.AuditEntry).decode


class AuditLog:
    """Follows the state's audit trail into a file.

    Attributes:
        last: Log index of the last entry in the file.
    """

    def __init__(self, folder: str, machine: state.State):
        self.path = pathlib.Path(folder) / AUDIT_FILE
        self.machine = machine
        self.last = 0
        self.pending = curio.Event()
        self.lines = 0
        # Index of every STRIDE-th entry and the byte at which its line begins.
        self.places: list[tuple[int, int]] = []
        self.file = self._open()

    def close(self) -> None:
        """Close the file."""
        self.file.close()

    async def run(self) -> None:
        """Follow the state for good, in a task of its own so that a slow disk delays no answer."""
        while True:
            await self.follow()
            await self.pending.wait()
            self.pending.clear()

    async def wake(self) -> None:
        """Have `run` look for new entries."""
        await self.pending.set()

    async def follow(self) -> None:
        """Append what was applied since the last call.

        Raises:
            StorageError: The file cannot be written or synced; the process must end.
        """
        entries = self._unwritten()
        if not entries:
            return
        try:
            for entry in entries:
                self._append(entry)
            self.file.flush()
            await curio.run_in_thread(os.fsync, self.file.fileno())
        except OSError as error:
            raise exceptions.StorageError(str(error), "write audit", str(self.path)) from error

    def read(self, after: int, limit: int) -> list[statedata.AuditEntry]:
        """Return the first entries after a log index.

        Raises:
            StorageError: The file cannot be read.
        """
        found: list[statedata.AuditEntry] = []
        try:
            with open(self.path, "rb") as file:
                file.seek(self._place_before(after))
                for line in file:
                    if len(found) == limit or not line.endswith(b"\n"):
                        break
                    entry = _decode(line)
                    if entry.index > after:
                        found.append(entry)
        except (OSError, msgspec.MsgspecError) as error:
            raise exceptions.StorageError(str(error), "read audit", str(self.path)) from error
        return found

    def _unwritten(self) -> list[statedata.AuditEntry]:
        held = self.machine.data.audit
        first = len(held)
        while first > 0 and held[first - 1].index > self.last:
            first -= 1
        entries = held[first:]
        if first == 0 and len(held) >= state.AUDIT_ENTRIES and self.last < held[0].index - 1:
            return [self._gap(held[0]), *entries]
        return entries

    def _gap(self, following: statedata.AuditEntry) -> statedata.AuditEntry:
        # This host was away while entries came and went; the others have them.
        return statedata.AuditEntry(
            following.index - 1,
            following.at_ms,
            "",
            GAP_ACTION,
            "",
            "",
            detail=f"entries after index {self.last} may be missing here: ask another control host",
        )

    def _append(self, entry: statedata.AuditEntry) -> None:
        self._note(entry.index, self.file.tell())
        self.file.write(msgspec.json.encode(entry) + b"\n")

    def _note(self, index: int, offset: int) -> None:
        if self.lines % STRIDE == 0:
            self.places.append((index, offset))
        self.lines += 1
        self.last = index

    def _place_before(self, after: int) -> int:
        offset = 0
        for index, place in self.places:
            if index > after:
                break
            offset = place
        return offset

    def _open(self):
        try:
            file = open(self.path, "a+b")
            file.seek(0)
            good = 0
            for line in file:
                if not line.endswith(b"\n"):
                    break
                self._note(_decode(line).index, good)
                good += len(line)
            # The last line is torn when the process ended while writing it.
            file.truncate(good)
            file.seek(good)
        except (OSError, msgspec.MsgspecError) as error:
            raise exceptions.StorageError(str(error), "open audit", str(self.path)) from error
        return file
