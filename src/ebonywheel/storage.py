"""Durable state of a control host: identity, term and vote, log and snapshot in one folder.

After a failed write or sync, nothing more is written or acknowledged: it is unknown whether the
data reached the disk, even if a later sync succeeds. A full disk is different: what it refused is
known not to be stored, so the write fails alone and later ones are tried.
"""

import pathlib
import secrets
import struct
import typing

import curio
import msgspec

from ebonywheel import durable, exceptions, logfile, messages

IDENTITY_FILE = "identity"
VOTE_FILE = "vote"
LOG_FILE = "log"
SNAPSHOT_FILE = "snapshot"
COMMIT_FILE = "commit"
LOCK_FILE = "lock"
MEMBER_ID_BYTES = 8
# Log index and term; the state follows.
SNAPSHOT_HEADER = struct.Struct("!QQ")
# Limit of the log records that are kept although the snapshot covers them.
MAX_TRAILING_BYTES = 4 * 1024 * 1024


class Identity(msgspec.Struct):
    """The host and the cluster that a data folder belongs to.

    Attributes:
        host: Name of the host that created the folder.
        member: Random member id, created with the folder.
        formed: Members of the cluster's first configuration, or empty before it is formed.
    """

    host: str
    member: str
    formed: list[messages.MemberInfo] = []


class Vote(msgspec.Struct):
    """The current term and the member voted for in it, or an empty string."""

    term: int = 0
    voted_for: str = ""


class Snapshot(msgspec.Struct):
    """The replicated state up to and including a log index."""

    index: int = 0
    term: int = 0
    state: bytes = b""


class LogPosition(msgspec.Struct):
    """The index and term of a log entry; index 0 is before the first entry."""

    index: int = 0
    term: int = 0


class Storage:
    """The data folder of one control host.

    The log may begin before the snapshot's index, so that a peer that is a little behind can catch
    up without a snapshot.

    Attributes:
        identity: Owner of the folder.
        vote: Current term and vote; changes are durable only after `save_vote`.
        saved_vote: Term and vote as last saved.
        snapshot: Position of the latest snapshot.
        snapshot_bytes: Size of the state in the latest snapshot.
        base: Position just before the first entry of the log; its term is -1 if not known.
        synced_index: Highest log index that is durable.
        committed: Last saved position of a committed entry, or position 0.
        failure: The failed write or sync after which nothing is written any more, or None.
        disk_full: Whether the last write found no room.
    """

    def __init__(self, folder: str, host: str):
        self.folder = pathlib.Path(folder)
        self.folder.mkdir(parents=True, exist_ok=True)
        self.folder_lock = durable.lock(self.folder / LOCK_FILE)
        self.failure: exceptions.StorageError | None = None
        self.disk_full = False
        self.sync_lock = curio.Lock()
        self.vote_lock = curio.Lock()
        try:
            self._open(host)
        except OSError as error:
            self.folder_lock.close()
            raise exceptions.StorageError(str(error), "open", folder) from error
        except BaseException:
            self.folder_lock.close()
            raise

    # -- queries ---------------------------------------------------------------------------

    def last_index(self) -> int:
        """Return the index of the last entry."""
        return self.base.index + len(self.log.entries)

    def last_term(self) -> int:
        """Return the term of the last entry."""
        entries = self.log.entries
        return entries[-1].term if entries else self.snapshot.term

    def last_entry(self) -> messages.LogEntry | None:
        """Return the last entry in the log, or None if the log is empty."""
        return self.log.entries[-1] if self.log.entries else None

    def term_at(self, index: int) -> int | None:
        """Return the term of the entry at an index, or None if it is not known."""
        if index == self.snapshot.index:
            return self.snapshot.term
        if index == self.base.index:
            return self.base.term if self.base.term >= 0 else None
        position = index - self.base.index - 1
        if 0 <= position < len(self.log.entries):
            return self.log.entries[position].term
        return None

    def entry(self, index: int) -> messages.LogEntry:
        """Return the entry at an index.

        Raises:
            IndexError: The log does not hold the entry.
        """
        if index <= self.base.index:
            raise IndexError(f"entry {index} is before the log, which begins after {self.base}")
        return self.log.entries[index - self.base.index - 1]

    def entries_from(self, index: int, max_entries: int, max_bytes: int) -> list[messages.LogEntry]:
        """Return entries from an index on, within limits, but at least one if there is any."""
        position = index - self.base.index - 1
        entries: list[messages.LogEntry] = []
        size = 0
        for entry in self.log.entries[position : position + max_entries]:
            size += len(entry.data)
            if entries and size > max_bytes:
                break
            entries.append(entry)
        return entries

    # -- log -------------------------------------------------------------------------------

    def append(self, entries: list[messages.LogEntry]) -> None:
        """Append entries to the log; they are durable only after `sync`.

        Raises:
            DiskFullError: The disk is full; none of the entries was appended.
            StorageError: The log cannot be written; the process must end.
        """
        self.raise_if_failed()
        try:
            self.log.append(entries)
        except OSError as error:
            raise self._record_failure("append", error) from error
        self.disk_full = False

    def truncate(self, index: int) -> None:
        """Remove the entry at an index and all after it, durably.

        Raises:
            StorageError: The log cannot be written; the process must end.
        """
        self.raise_if_failed()
        self.synced_index = min(self.synced_index, index - 1)
        try:
            self.log.truncate(index - self.base.index - 1)
        except OSError as error:
            raise self._record_failure("truncate", error) from error

    async def sync(self) -> None:
        """Make all entries appended so far durable; concurrent callers share a sync.

        Raises:
            StorageError: The log could not be synced; the process must end.
        """
        self.raise_if_failed()
        appended = self.last_index()
        async with self.sync_lock:
            while self.synced_index < min(appended, self.last_index()):
                last_index, last_term = self.last_index(), self.last_term()
                await self._run_in_thread("sync log", self.log.sync)
                # Entries that were truncated during the sync must not count as durable.
                if self.term_at(last_index) == last_term:
                    self.synced_index = max(self.synced_index, last_index)

    # -- vote, identity, snapshot ----------------------------------------------------------

    async def save_vote(self) -> None:
        """Make the current term and vote durable, unless they are already.

        Raises:
            DiskFullError: The disk is full; the vote must not be acted on.
            StorageError: The vote could not be written; the process must end.
        """
        self.raise_if_failed()
        async with self.vote_lock:
            if self.vote == self.saved_vote:
                return
            vote = Vote(self.vote.term, self.vote.voted_for)
            await self._write_vote(vote)
            self.saved_vote = vote

    async def has_room(self) -> bool:
        """Return whether the disk takes writes; after a refused one, try by saving the vote again.

        Raises:
            StorageError: The disk failed otherwise; the process must end.
        """
        if not self.disk_full:
            return True
        async with self.vote_lock:
            try:
                await self._write_vote(self.saved_vote)
            except exceptions.DiskFullError:
                return False
        return True

    async def _write_vote(self, vote: Vote) -> None:
        await self._replace_file("write vote", VOTE_FILE, vote)

    async def save_commit(self, index: int) -> None:
        """Save the position of a committed entry, up to which a restart can apply the log at once.

        Raises:
            DiskFullError: The disk is full; the last saved position stays.
            StorageError: It could not be written; the process must end.
        """
        position = LogPosition(index, self.term_at(index) or 0)
        await self._replace_file("write commit", COMMIT_FILE, position)
        self.committed = position

    def save_first_configuration(self, members: list[messages.MemberInfo]) -> None:
        """Save the first configuration of the cluster.

        Raises:
            StorageError: It could not be written; the process must end.
        """
        self.raise_if_failed()
        self.identity.formed = members
        try:
            self._write_identity()
        except OSError as error:
            raise self._record_failure("write identity", error) from error

    async def save_snapshot(self, snapshot: Snapshot, trailing_entries: int) -> None:
        """Make a snapshot durable and discard the log entries that it covers.

        Args:
            snapshot: The snapshot; ignored unless it is newer than the saved one.
            trailing_entries: How many covered entries to keep for peers that are a little behind.

        Raises:
            DiskFullError: The disk is full; the last snapshot and the log stay as they are.
            StorageError: The snapshot could not be written; the process must end.
        """
        self.raise_if_failed()
        async with self.sync_lock:
            if snapshot.index <= self.snapshot.index:
                return
            await self._run_in_thread("write snapshot", _write_snapshot, self.folder, snapshot)
            log_agrees = self.term_at(snapshot.index) == snapshot.term
            self.snapshot = LogPosition(snapshot.index, snapshot.term)
            self.snapshot_bytes = len(snapshot.state)
            self.disk_full = False
            try:
                self._discard_covered(trailing_entries if log_agrees else None)
            except durable.NoSpaceError:
                # The log keeps entries that the snapshot covers, until the next snapshot.
                self.disk_full = True
            except OSError as error:
                raise self._record_failure("drop log", error) from error

    async def read_snapshot(self) -> Snapshot:
        """Read the saved snapshot in a thread.

        Raises:
            StorageError: It cannot be read.
        """
        async with curio.disable_cancellation():
            return await curio.run_in_thread(_read_snapshot, self.folder)

    def load_snapshot(self) -> Snapshot:
        """Read the saved snapshot without a thread, at the start of the process.

        Raises:
            StorageError: It cannot be read.
        """
        return _read_snapshot(self.folder)

    def raise_if_failed(self) -> None:
        """Raise the error of an earlier write or sync that failed, if any.

        Raises:
            StorageError: An earlier write or sync has failed.
        """
        if self.failure is not None:
            raise self.failure

    def close(self) -> None:
        """Close the log and unlock the folder for other processes."""
        self.log.close()
        self.folder_lock.close()

    # -- private ---------------------------------------------------------------------------

    def _open(self, host: str) -> None:
        is_new = not (self.folder / IDENTITY_FILE).exists()
        if is_new:
            self._check_holds_no_data()
            durable.replace(self.folder / LOG_FILE, b"")
            self.identity = Identity(host, secrets.token_hex(MEMBER_ID_BYTES))
            self._write_identity()
        # The process before may have ended between a change and its sync. What is read from here on
        # counts as durable.
        durable.sync_folder(self.folder)
        durable.sync_folder(self.folder.parent)
        self.identity = self._read_struct(IDENTITY_FILE, Identity)
        if self.identity.host != host:
            raise exceptions.StorageError(
                f"data folder belongs to host {self.identity.host!r}, not {host!r}",
                "open identity",
                str(self.folder),
            )
        self._open_log()
        self.vote = self._read_struct(VOTE_FILE, Vote) or Vote()
        self.saved_vote = Vote(self.vote.term, self.vote.voted_for)
        committed = self._read_saved_commit()
        # It only saves time, so one that the log does not hold is ignored.
        log_agrees = self.term_at(committed.index) == committed.term
        self.committed = committed if log_agrees else LogPosition()
        if self.vote.term < self.last_term():
            raise exceptions.StorageError(
                f"vote of term {self.vote.term} is older than the log's term {self.last_term()}",
                "open vote",
                str(self.folder),
            )

    def _read_saved_commit(self) -> LogPosition:
        """Read the saved commit position; a damaged one is ignored."""
        try:
            return self._read_struct(COMMIT_FILE, LogPosition) or LogPosition()
        except exceptions.StorageError:
            return LogPosition()

    def _check_holds_no_data(self) -> None:
        log = self.folder / LOG_FILE
        has_entries = log.exists() and log.stat().st_size > 0
        if has_entries or any((self.folder / name).exists() for name in (SNAPSHOT_FILE, VOTE_FILE)):
            raise exceptions.StorageError(
                "no identity file in a folder that holds data", "open identity", str(self.folder)
            )

    def _open_log(self) -> None:
        path = self.folder / LOG_FILE
        if not path.exists():
            raise exceptions.StorageError("no log file", "open log", str(path))
        snapshot = _read_snapshot(self.folder)
        self.snapshot = LogPosition(snapshot.index, snapshot.term)
        self.snapshot_bytes = len(snapshot.state)
        self.log = logfile.LogFile(path)
        entries = self.log.entries
        first = entries[0].index if entries else self.snapshot.index + 1
        if first > self.snapshot.index + 1:
            raise exceptions.CorruptLogError(
                f"log begins at entry {first}, but the snapshot ends at {self.snapshot.index}",
                "open log",
                str(path),
            )
        self.base = LogPosition(first - 1, -1)
        if first == self.snapshot.index + 1:
            self.base = LogPosition(self.snapshot.index, self.snapshot.term)
        self._check_holds_commit()
        self.log.recover()
        overlaps = self.base.index < self.snapshot.index
        if overlaps and self._term_in_log(self.snapshot.index) != self.snapshot.term:
            # The process ended after it saved a snapshot, before it discarded a conflicting log.
            self._discard_covered(None)
        self.synced_index = self.last_index()

    def _check_holds_commit(self) -> None:
        """Check that no committed entry is about to be removed as torn."""
        saved_index = self._read_saved_commit().index
        if self.log.has_partial_record and self.last_index() < saved_index:
            raise exceptions.CorruptLogError(
                f"bad record at byte {self.log.size}, before entry {saved_index}, which was "
                f"committed; {logfile.RECOVERY_HINT}",
                "open log",
                str(self.log.path),
            )

    def _term_in_log(self, index: int) -> int | None:
        position = index - self.base.index - 1
        if 0 <= position < len(self.log.entries):
            return self.log.entries[position].term
        return None

    def _discard_covered(self, trailing_entries: int | None) -> None:
        """Discard covered entries but the last `trailing_entries`, or the whole log if None."""
        entries = self.log.entries
        count = len(entries) if trailing_entries is None else self._discard_count(trailing_entries)
        base = self.base
        if count == len(entries):
            base = LogPosition(self.snapshot.index, self.snapshot.term)
        elif count:
            base = LogPosition(entries[count - 1].index, entries[count - 1].term)
        if count:
            self.log.discard_first(count)
        self.base = base
        if count:
            self.synced_index = self.last_index()

    def _discard_count(self, trailing_entries: int) -> int:
        """Return how many covered entries to discard to keep the others within the limits."""
        covered = self.snapshot.index - self.base.index
        count = max(0, covered - trailing_entries)
        covered_end = (
            self.log.offsets[covered] if covered < len(self.log.offsets) else self.log.size
        )
        while count < covered and covered_end - self.log.offsets[count] > MAX_TRAILING_BYTES:
            count += 1
        return count

    def _write_identity(self) -> None:
        durable.replace_with_checksum(
            self.folder / IDENTITY_FILE, msgspec.json.encode(self.identity)
        )

    def _read_struct(self, name: str, struct_type: type) -> typing.Any:
        path = self.folder / name
        body = durable.read_with_checksum(path)
        if body is None:
            return None
        try:
            return msgspec.json.decode(body, type=struct_type)
        except msgspec.DecodeError as error:
            raise exceptions.StorageError(str(error), "read", str(path)) from error

    async def _replace_file(self, step: str, name: str, content: msgspec.Struct) -> None:
        encoded = msgspec.json.encode(content)
        await self._run_in_thread(step, durable.replace_with_checksum, self.folder / name, encoded)
        self.disk_full = False

    async def _run_in_thread(
        self, step: str, function: typing.Callable, *arguments: typing.Any
    ) -> None:
        self.raise_if_failed()
        try:
            # A cancelled task would release its lock while the thread is still writing.
            async with curio.disable_cancellation():
                await curio.run_in_thread(function, *arguments)
        except OSError as error:
            raise self._record_failure(step, error) from error

    def _record_failure(self, step: str, error: OSError) -> exceptions.StorageError:
        if isinstance(error, durable.NoSpaceError):
            self.disk_full = True
            return exceptions.DiskFullError(str(error), step, str(self.folder))
        self.failure = exceptions.StorageError(str(error), step, str(self.folder))
        return self.failure


def _write_snapshot(folder: pathlib.Path, snapshot: Snapshot) -> None:
    header = SNAPSHOT_HEADER.pack(snapshot.index, snapshot.term)
    durable.replace_with_checksum(folder / SNAPSHOT_FILE, header, snapshot.state)


def _read_snapshot(folder: pathlib.Path) -> Snapshot:
    path = folder / SNAPSHOT_FILE
    body = durable.read_with_checksum(path)
    if body is None:
        return Snapshot()
    if len(body) < SNAPSHOT_HEADER.size:
        raise exceptions.StorageError("snapshot file is too short", "read snapshot", str(path))
    index, term = SNAPSHOT_HEADER.unpack_from(body)
    return Snapshot(index, term, bytes(body[SNAPSHOT_HEADER.size :]))
