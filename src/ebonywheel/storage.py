"""Durable state of a control host: identity, term and vote, log and snapshot in one folder.

After a failed write or sync nothing more is written or acknowledged: whether the data reached the
disk is unknown from then on, also when a later sync succeeds.
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
# Log index and term, before the state.
SNAPSHOT_HEAD = struct.Struct("!QQ")
TRAILING_BYTES = 4 * 1024 * 1024


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


class Mark(msgspec.Struct):
    """A position in the log."""

    index: int = 0
    term: int = 0


class Storage:
    """The data folder of one control host.

    The log may begin before the snapshot's index, so that hosts that are a little behind need no
    snapshot.

    Attributes:
        identity: Owner of the folder.
        vote: Term and vote, durable after `save_vote`.
        snapshot: Position of the latest snapshot.
        snapshot_bytes: Size of the state in the latest snapshot.
        base: Position before the first entry of the log; its term is -1 when not known.
        synced: Highest log index that is durable.
        committed: Position that is known committed from an earlier run, or position 0.
        failed: The fault after which nothing is written any more, or None.
    """

    def __init__(self, folder: str, host: str):
        self.folder = pathlib.Path(folder)
        self.folder.mkdir(parents=True, exist_ok=True)
        self.lock = durable.lock(self.folder / LOCK_FILE)
        self.failed: exceptions.StorageError | None = None
        self.sync_lock = curio.Lock()
        self.vote_lock = curio.Lock()
        try:
            self._open(host)
        except OSError as error:
            self.lock.close()
            raise exceptions.StorageError(str(error), "open", folder) from error
        except BaseException:
            self.lock.close()
            raise

    # -- questions -------------------------------------------------------------------------

    def last_index(self) -> int:
        """Return the index of the last entry."""
        return self.base.index + len(self.log.entries)

    def last_term(self) -> int:
        """Return the term of the last entry."""
        entries = self.log.entries
        return entries[-1].term if entries else self.snapshot.term

    def last_entry(self) -> messages.LogEntry | None:
        """Return the last entry that the log still holds."""
        return self.log.entries[-1] if self.log.entries else None

    def term_at(self, index: int) -> int | None:
        """Return the term of an entry, or None where it is not known."""
        if index == self.snapshot.index:
            return self.snapshot.term
        if index == self.base.index:
            return self.base.term if self.base.term >= 0 else None
        position = index - self.base.index - 1
        if 0 <= position < len(self.log.entries):
            return self.log.entries[position].term
        return None

    def entry(self, index: int) -> messages.LogEntry:
        """Return an entry that the log holds.

        Raises:
            IndexError: The log does not hold it.
        """
        if index <= self.base.index:
            raise IndexError(f"entry {index} is before the log, which begins after {self.base}")
        return self.log.entries[index - self.base.index - 1]

    def entries_from(self, index: int, most: int, most_bytes: int) -> list[messages.LogEntry]:
        """Return entries from an index on: at least one, if there is one, and within limits."""
        position = index - self.base.index - 1
        found: list[messages.LogEntry] = []
        size = 0
        for entry in self.log.entries[position : position + most]:
            size += len(entry.data)
            if found and size > most_bytes:
                break
            found.append(entry)
        return found

    # -- log -------------------------------------------------------------------------------

    def append(self, entries: list[messages.LogEntry]) -> None:
        """Append entries to the log; durable only after `sync`.

        Raises:
            StorageError: The log cannot be written; the process must end.
        """
        self.check()
        try:
            self.log.append(entries)
        except OSError as error:
            raise self._fail("append", error) from error

    def truncate(self, index: int) -> None:
        """Drop the entry at an index and all after it, durably.

        Raises:
            StorageError: The log cannot be written; the process must end.
        """
        self.check()
        self.synced = min(self.synced, index - 1)
        try:
            self.log.cut(index - self.base.index - 1)
        except OSError as error:
            raise self._fail("truncate", error) from error

    async def sync(self) -> None:
        """Make all entries appended so far durable; callers share one sync.

        Raises:
            StorageError: The log could not be synced; the process must end.
        """
        self.check()
        wanted = self.last_index()
        async with self.sync_lock:
            while self.synced < min(wanted, self.last_index()):
                target, term = self.last_index(), self.last_term()
                await self._run("sync log", self.log.sync)
                # Entries cut away during the sync must not count as durable.
                if self.term_at(target) == term:
                    self.synced = max(self.synced, target)

    # -- vote, identity, snapshot ----------------------------------------------------------

    async def save_vote(self) -> None:
        """Make the current term and vote durable, if they are not yet.

        Raises:
            StorageError: They could not be written; the process must end.
        """
        self.check()
        async with self.vote_lock:
            if self.vote == self.saved_vote:
                return
            saving = Vote(self.vote.term, self.vote.voted_for)
            content = msgspec.json.encode(saving)
            await self._run("write vote", durable.replace_checked, self.folder / VOTE_FILE, content)
            self.saved_vote = saving

    async def save_commit(self, index: int) -> None:
        """Remember that an entry of the log is committed.

        Raises:
            StorageError: It could not be written; the process must end.
        """
        mark = Mark(index, self.term_at(index) or 0)
        content = msgspec.json.encode(mark)
        await self._run("write commit", durable.replace_checked, self.folder / COMMIT_FILE, content)
        self.committed = mark

    def save_formed(self, members: list[messages.MemberInfo]) -> None:
        """Record the first configuration of the cluster.

        Raises:
            StorageError: It could not be written; the process must end.
        """
        self.check()
        self.identity.formed = members
        try:
            self._write_identity()
        except OSError as error:
            raise self._fail("write identity", error) from error

    async def save_snapshot(self, snapshot: Snapshot, trailing: int) -> None:
        """Make a snapshot durable and drop the log entries that it covers.

        Args:
            snapshot: The snapshot; one that is older than the saved one is ignored.
            trailing: How many covered entries to keep for hosts that are a little behind.

        Raises:
            StorageError: It could not be written; the process must end.
        """
        self.check()
        async with self.sync_lock:
            if snapshot.index <= self.snapshot.index:
                return
            await self._run("write snapshot", _write_snapshot, self.folder, snapshot)
            matches = self.term_at(snapshot.index) == snapshot.term
            self.snapshot = Mark(snapshot.index, snapshot.term)
            self.snapshot_bytes = len(snapshot.state)
            try:
                self._drop_covered(trailing if matches else None)
            except OSError as error:
                raise self._fail("drop log", error) from error

    async def read_snapshot(self) -> Snapshot:
        """Read the saved snapshot.

        Raises:
            StorageError: It cannot be read.
        """
        async with curio.disable_cancellation():
            return await curio.run_in_thread(_read_snapshot, self.folder)

    def load_snapshot(self) -> Snapshot:
        """Read the saved snapshot at the start of the process.

        Raises:
            StorageError: It cannot be read.
        """
        return _read_snapshot(self.folder)

    def check(self) -> None:
        """Check that nothing has failed.

        Raises:
            StorageError: A write or sync has failed before.
        """
        if self.failed is not None:
            raise self.failed

    def close(self) -> None:
        """Close the log and let another process use the folder."""
        self.log.close()
        self.lock.close()

    # -- private ---------------------------------------------------------------------------

    def _open(self, host: str) -> None:
        fresh = not (self.folder / IDENTITY_FILE).exists()
        if fresh:
            self._check_unused()
            durable.replace(self.folder / LOG_FILE, b"")
            self.identity = Identity(host, secrets.token_hex(MEMBER_ID_BYTES))
            self._write_identity()
            durable.sync_folder(self.folder.parent)
        self.identity = self._read(IDENTITY_FILE, Identity)
        if self.identity.host != host:
            raise exceptions.StorageError(
                f"data folder belongs to host {self.identity.host!r}, not {host!r}",
                "open identity",
                str(self.folder),
            )
        self._open_log()
        self.vote = self._read(VOTE_FILE, Vote) or Vote()
        self.saved_vote = Vote(self.vote.term, self.vote.voted_for)
        self.committed = self._read_committed()
        if self.vote.term < self.last_term():
            raise exceptions.StorageError(
                f"vote of term {self.vote.term} is older than the log's term {self.last_term()}",
                "open vote",
                str(self.folder),
            )

    def _read_committed(self) -> Mark:
        """Read the saved commit position; it only saves time, so a damaged one counts as none."""
        try:
            held = self._read(COMMIT_FILE, Mark) or Mark()
        except exceptions.StorageError:
            return Mark()
        return held if self.term_at(held.index) == held.term else Mark()

    def _check_unused(self) -> None:
        log = self.folder / LOG_FILE
        used = log.exists() and log.stat().st_size > 0
        if used or any((self.folder / name).exists() for name in (SNAPSHOT_FILE, VOTE_FILE)):
            raise exceptions.StorageError("no identity", "open identity", str(self.folder))

    def _open_log(self) -> None:
        path = self.folder / LOG_FILE
        if not path.exists():
            raise exceptions.StorageError("no log", "open log", str(path))
        snapshot = _read_snapshot(self.folder)
        self.snapshot = Mark(snapshot.index, snapshot.term)
        self.snapshot_bytes = len(snapshot.state)
        self.log = logfile.LogFile(path)
        entries = self.log.entries
        first = entries[0].index if entries else self.snapshot.index + 1
        if first > self.snapshot.index + 1:
            raise exceptions.CorruptLogError(
                f"log begins at entry {first}, after snapshot {self.snapshot.index}",
                "open log",
                str(path),
            )
        self.base = Mark(first - 1, -1)
        if first == self.snapshot.index + 1:
            self.base = Mark(self.snapshot.index, self.snapshot.term)
        elif self._term_in_log(self.snapshot.index) != self.snapshot.term:
            # The process ended between saving a snapshot and dropping the log it replaced.
            self._drop_covered(None)
        self.synced = self.last_index()

    def _term_in_log(self, index: int) -> int | None:
        position = index - self.base.index - 1
        if 0 <= position < len(self.log.entries):
            return self.log.entries[position].term
        return None

    def _drop_covered(self, trailing: int | None) -> None:
        entries = self.log.entries
        count = len(entries) if trailing is None else self._covered(trailing)
        if count < len(entries):
            if count:
                self.base = Mark(entries[count - 1].index, entries[count - 1].term)
        else:
            self.base = Mark(self.snapshot.index, self.snapshot.term)
        if count:
            self.log.drop(count)
            self.synced = self.last_index()

    def _covered(self, trailing: int) -> int:
        """Return how many entries to drop so that few enough covered ones stay."""
        covered = self.snapshot.index - self.base.index
        count = max(0, covered - trailing)
        end = self.log.offsets[covered] if covered < len(self.log.offsets) else self.log.size
        while count < covered and end - self.log.offsets[count] > TRAILING_BYTES:
            count += 1
        return count

    def _write_identity(self) -> None:
        durable.replace_checked(self.folder / IDENTITY_FILE, msgspec.json.encode(self.identity))

    def _read(self, name: str, kind: type) -> typing.Any:
        path = self.folder / name
        body = durable.read_checked(path)
        if body is None:
            return None
        try:
            return msgspec.json.decode(body, type=kind)
        except msgspec.DecodeError as error:
            raise exceptions.StorageError(str(error), "read", str(path)) from error

    async def _run(self, step: str, function: typing.Callable, *arguments: typing.Any) -> None:
        self.check()
        try:
            # A cancelled task would release its lock while the thread still writes.
            async with curio.disable_cancellation():
                await curio.run_in_thread(function, *arguments)
        except OSError as error:
            raise self._fail(step, error) from error

    def _fail(self, step: str, error: OSError) -> exceptions.StorageError:
        self.failed = exceptions.StorageError(str(error), step, str(self.folder))
        return self.failed


def _write_snapshot(folder: pathlib.Path, snapshot: Snapshot) -> None:
    head = SNAPSHOT_HEAD.pack(snapshot.index, snapshot.term)
    durable.replace_checked(folder / SNAPSHOT_FILE, head, snapshot.state)


def _read_snapshot(folder: pathlib.Path) -> Snapshot:
    path = folder / SNAPSHOT_FILE
    body = durable.read_checked(path)
    if body is None:
        return Snapshot()
    if len(body) < SNAPSHOT_HEAD.size:
        raise exceptions.StorageError("too short", "read snapshot", str(path))
    index, term = SNAPSHOT_HEAD.unpack_from(body)
    return Snapshot(index, term, bytes(body[SNAPSHOT_HEAD.size :]))
