"""Backend servers as they report themselves, merged from any number of control hosts.

Reports travel by several ways and may overtake each other. Which of two is newer follows from the
reports alone, so that every host comes to the same view in whatever order they arrive.
"""

import typing

import msgspec

from ebonywheel import clock, logs, messages

# A record that was neither renewed nor asked for so long is of no use to anyone.
FORGET_S = 60.0
# How long a leave waits for the record it belongs to, when it comes first: two report periods.
EARLY_LEAVE_S = 5.0


class Held(msgspec.Struct):
    """A record with where and when it came in.

    Attributes:
        received_at: When its report was received by a control host, monotonic seconds here.
        direct: True when the backend server reported it to this host.
        position: Grows with each change of the directory.
    """

    record: messages.DirectoryRecord
    received_at: float
    direct: bool
    position: int


class Directory:
    """The newest record of each backend server.

    Attributes:
        held: Records by server id, in the order of their last change.
        position: Position of the newest change.
    """

    def __init__(self, source: clock.Clock):
        self.clock = source
        self.held: dict[str, Held] = {}
        self.position = 0
        self.early_leaves: dict[str, float] = {}

    def observe(self, record: messages.DirectoryRecord, direct: bool = False) -> bool:
        """Take in a record; return whether it tells anything but that the server still lives."""
        before = self.held.get(record.server)
        if before is not None and not _is_newer(record, before.record):
            return False
        now = self.clock.monotonic()
        if self.early_leaves.get(record.server, 0.0) > now:
            record = msgspec.structs.replace(record, gone=True)
        self._put(record, now - record.age_ms / 1000, direct)
        return before is None or _differs(record, before.record)

    def leave(self, server: str) -> bool:
        """Note that a server, in its incarnation known here, has left for good."""
        before = self.held.get(server)
        if before is None:
            self.early_leaves[server] = self.clock.monotonic() + EARLY_LEAVE_S
            return False
        if before.record.gone:
            return False
        record = msgspec.structs.replace(before.record, gone=True, age_ms=0)
        self._put(record, self.clock.monotonic(), True)
        return True

    def changes(self, seen: int, relayed: bool) -> list[messages.DirectoryRecord]:
        """Return the records changed after a position, oldest first.

        Args:
            seen: The position.
            relayed: Also return what other control hosts received.
        """
        found = []
        for held in reversed(self.held.values()):
            if held.position <= seen:
                break
            if held.direct or relayed:
                found.append(msgspec.structs.replace(held.record, age_ms=self._age_ms(held)))
        return found[::-1]

    def live(self) -> typing.Iterator[Held]:
        """Yield the servers that have not left."""
        return (held for held in self.held.values() if not held.record.gone)

    def age_s(self, server: str) -> float:
        """Return the seconds since a server's last report, infinite when there is none."""
        held = self.held.get(server)
        return float("inf") if held is None else self.clock.monotonic() - held.received_at

    def prune(self) -> None:
        """Forget servers that were silent for `FORGET_S`."""
        now = self.clock.monotonic()
        for server in [
            server for server, held in self.held.items() if now - held.received_at > FORGET_S
        ]:
            del self.held[server]
        self.early_leaves = {name: end for name, end in self.early_leaves.items() if end > now}

    def _put(self, record: messages.DirectoryRecord, received_at: float, direct: bool) -> None:
        self.position += 1
        self.held.pop(record.server, None)
        self.held[record.server] = Held(record, received_at, direct, self.position)

    def _age_ms(self, held: Held) -> int:
        return max(0, int((self.clock.monotonic() - held.received_at) * 1000))


def log_change(log: logs.StateLog, record: messages.DirectoryRecord) -> None:
    """Log what a host now believes of a backend server."""
    log.info(
        "server_changed",
        server=record.server,
        service=record.service,
        address=record.address,
        gone=record.gone,
        draining=record.draining,
        born_ms=record.born_ms,
        sequence=record.sequence,
        age_ms=record.age_ms,
    )


def _is_newer(record: messages.DirectoryRecord, other: messages.DirectoryRecord) -> bool:
    return _order(record) > _order(other)


def _order(record: messages.DirectoryRecord) -> tuple[int, bool, int]:
    # An incarnation that left stays gone, however late its other reports arrive.
    return (record.born_ms, record.gone, record.sequence)


def _differs(record: messages.DirectoryRecord, other: messages.DirectoryRecord) -> bool:
    return _content(record) != _content(other)


def _content(record: messages.DirectoryRecord) -> tuple[object, ...]:
    return (
        record.born_ms,
        record.gone,
        record.draining,
        record.service,
        record.address,
        record.data_centre,
        record.slots,
        record.version,
        record.cold_ms > 0,
    )
