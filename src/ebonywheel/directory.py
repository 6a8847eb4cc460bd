"""Directory of backend servers, merged from the reports that all control hosts received.

Reports travel by several paths and may arrive out of order. Their contents alone determine which of
two is newer, so every host reaches the same view in any order of arrival.
"""

import typing

import msgspec

from ebonywheel import clock, logs, messages

# Records that were not renewed for this long are of no use any more and are removed.
FORGET_S = 60.0
# How long a leave is kept for an incarnation that is not known here yet: two report periods.
LEAVE_KEPT_S = 5.0
MAX_LEAVES_KEPT = 4096
# Id and start time of a server, in Unix milliseconds: it may start anew under the same id.
IncarnationKey = tuple[str, int]


class DirectoryEntry(msgspec.Struct):
    """A server's record, with when and how this host received it.

    Attributes:
        received_at: When a control host received the report, in monotonic seconds of this host.
        known_since: When this host first heard of the server's incarnation, monotonic seconds.
        direct: True when the backend server reported to this host.
        position: Position of the entry's last record; positions grow with each record.
        changed_position: Position of its last record that was more than a renewal.
        withdrawn_position: Position at which the server was withdrawn, as it began to drain or
            left; 0 while it takes requests.
    """

    record: messages.DirectoryRecord
    received_at: float
    known_since: float
    direct: bool
    position: int
    changed_position: int
    withdrawn_position: int


class Leave(msgspec.Struct, frozen=True):
    """A leave, which names no incarnation.

    Attributes:
        at: When it arrived at the earliest, monotonic seconds.
        born_ms: The incarnation that was known then, None for none.
    """

    at: float
    born_ms: int | None

    def concerns(self, record: messages.DirectoryRecord, reported_at: float) -> bool:
        """Return whether it is the leave of an incarnation that was not known when it arrived.

        An incarnation that had reported before is the one that leaves, as the one that was known
        had ended then. Without a known one it is the first that is heard of.
        """
        if self.born_ms is None:
            return True
        return record.born_ms > self.born_ms and reported_at < self.at


class Directory:
    """The newest record of each backend server.

    Attributes:
        entries: Entries by server id, in the order of their last change.
        position: Position of the newest change.
        leaves: The latest leaves by server id, oldest first.
    """

    def __init__(self, time_source: clock.Clock):
        self.clock = time_source
        self.entries: dict[str, DirectoryEntry] = {}
        self.position = 0
        self.leaves: dict[str, Leave] = {}

    def observe(self, record: messages.DirectoryRecord, direct: bool = False) -> bool:
        """Merge a record; return whether it changes more than the time of the last report."""
        previous = self.entries.get(record.server)
        if previous is not None and not _is_newer(record, previous.record):
            return False
        record = self._with_known_software(record)
        now = self.clock.monotonic()
        reported_at = now - record.age_ms / 1000
        if not record.gone and self._has_left(record, reported_at, now):
            # Only this host knows, so it tells the others.
            record = msgspec.structs.replace(record, gone=True)
            direct = True
        changed = previous is None or _has_changed(record, previous.record)
        self._store(record, reported_at, direct, changed)
        return changed

    def _has_left(self, record: messages.DirectoryRecord, reported_at: float, now: float) -> bool:
        leave = self.leaves.get(record.server)
        if leave is None or now - leave.at > LEAVE_KEPT_S:
            return False
        return leave.concerns(record, reported_at)

    def _with_known_software(self, record: messages.DirectoryRecord) -> messages.DirectoryRecord:
        """Return a record with the software's version that an earlier build did not pass on."""
        entry = self.entries.get(record.server)
        if record.software or entry is None or entry.record.born_ms != record.born_ms:
            return record
        return msgspec.structs.replace(record, software=entry.record.software)

    def leave(self, server: str, arrived_at: float) -> bool:
        """Mark the known incarnation of a server as gone; return whether that is a change.

        Args:
            server: Id of the server.
            arrived_at: When the leave may have arrived, monotonic seconds.
        """
        previous = self.entries.get(server)
        born_ms = None if previous is None else previous.record.born_ms
        self._keep_leave(server, Leave(arrived_at, born_ms))
        if previous is None or previous.record.gone:
            return False
        record = msgspec.structs.replace(previous.record, gone=True, age_ms=0)
        self._store(record, self.clock.monotonic(), direct=True, changed=True)
        return True

    def changes(
        self, seen: int, relayed: bool, changes_only: bool = False
    ) -> list[messages.DirectoryRecord]:
        """Return the records received after a position, oldest first.

        Args:
            seen: The position.
            relayed: Whether to include records that other control hosts received. Withdrawals are
                always included, as the host that received one may be lost.
            changes_only: Whether to leave out records that were only renewed since.
        """
        records = []
        for entry in reversed(self.entries.values()):
            if entry.position <= seen:
                break
            renewed_only = entry.changed_position <= seen
            told = entry.direct or relayed or entry.withdrawn_position > seen
            if told and not (changes_only and renewed_only):
                records.append(msgspec.structs.replace(entry.record, age_ms=self._age_ms(entry)))
        return records[::-1]

    def live(self) -> typing.Iterator[DirectoryEntry]:
        """Yield the servers that have not left."""
        return (entry for entry in self.entries.values() if not entry.record.gone)

    def is_replaced(self, record: messages.DirectoryRecord) -> bool:
        """Return whether a newer incarnation or another server has taken a server's address."""
        return any(
            entry.record.address == record.address and entry.record.born_ms > record.born_ms
            for entry in self.live()
        )

    def known_since(self, server: str) -> float:
        """Return when this host first heard of a server's incarnation; infinite ago if never."""
        entry = self.entries.get(server)
        return float("-inf") if entry is None else entry.known_since

    def age_s(self, server: str) -> float:
        """Return the seconds since a server's last report, infinite when there is none."""
        entry = self.entries.get(server)
        return float("inf") if entry is None else self.clock.monotonic() - entry.received_at

    def oldest_age_s(self) -> float:
        """Return the seconds since the last report of the server that was silent for longest."""
        now = self.clock.monotonic()
        return max((now - entry.received_at for entry in self.live()), default=0.0)

    def prune(self) -> None:
        """Forget servers that were silent for `FORGET_S`."""
        now = self.clock.monotonic()
        for server in [
            server for server, entry in self.entries.items() if now - entry.received_at > FORGET_S
        ]:
            del self.entries[server]
        self.leaves = {
            server: leave for server, leave in self.leaves.items() if now - leave.at <= LEAVE_KEPT_S
        }

    def _keep_leave(self, server: str, leave: Leave) -> None:
        self.leaves.pop(server, None)
        self.leaves[server] = leave
        if len(self.leaves) > MAX_LEAVES_KEPT:
            del self.leaves[next(iter(self.leaves))]

    def _store(
        self, record: messages.DirectoryRecord, received_at: float, direct: bool, changed: bool
    ) -> None:
        self.position += 1
        previous = self.entries.pop(record.server, None)
        changed_position = self.position if changed else previous.changed_position
        same = previous is not None and previous.record.born_ms == record.born_ms
        known_since = previous.known_since if same else self.clock.monotonic()
        withdrawn_position = 0
        if record.gone or record.draining:
            withdrawn_before = same and previous.withdrawn_position
            withdrawn_position = withdrawn_before or self.position
        self.entries[record.server] = DirectoryEntry(
            record,
            received_at,
            known_since,
            direct,
            self.position,
            changed_position,
            withdrawn_position,
        )

    def _age_ms(self, entry: DirectoryEntry) -> int:
        return max(0, int((self.clock.monotonic() - entry.received_at) * 1000))


def restricts(record: messages.DirectoryRecord, previous: messages.DirectoryRecord | None) -> bool:
    """Return whether a record takes work away from a server that hosts may be sending to.

    Such news must reach all hosts at once. Other news, of a new server or one that has warmed up,
    may wait for a host's next request.
    """
    if previous is None or previous.gone:
        return False
    if record.born_ms != previous.born_ms or record.address != previous.address:
        return True
    leaves = (record.gone or record.draining) and not previous.draining
    return leaves or (record.cold_ms > 0 and previous.cold_ms == 0)


def log_change(log: logs.EventLogger, record: messages.DirectoryRecord) -> None:
    """Log the new record of a backend server."""
    log.info(
        "server_changed",
        server=record.server,
        service=record.service,
        address=record.address,
        software=record.software,
        gone=record.gone,
        draining=record.draining,
        born_ms=record.born_ms,
        sequence=record.sequence,
        age_ms=record.age_ms,
    )


def _is_newer(record: messages.DirectoryRecord, previous: messages.DirectoryRecord) -> bool:
    return _version_key(record) > _version_key(previous)


def _version_key(record: messages.DirectoryRecord) -> tuple[int, bool, int]:
    # An incarnation that left stays gone, even if further reports of it arrive later.
    return (record.born_ms, record.gone, record.sequence)


def _has_changed(record: messages.DirectoryRecord, previous: messages.DirectoryRecord) -> bool:
    return _compared_fields(record) != _compared_fields(previous)


def _compared_fields(record: messages.DirectoryRecord) -> tuple[object, ...]:
    return (
        record.born_ms,
        record.gone,
        record.draining,
        record.service,
        record.address,
        record.data_centre,
        record.slots,
        record.version,
        record.software,
        record.cold_ms > 0,
    )
