"""Whether a backend server that accepts no connection still runs.

A refused, reset or timed-out connection does not show that a server has ended. One at its limit of
connections refuses further ones and works on, and a single packet may be lost. What it still sends
over other connections, and its reports to the control hosts, show that it runs.
"""

import msgspec

from ebonywheel import exceptions, kernel, messages
from ebonywheel.gateway import balance, view

# Attempts to connect have to fail for this long, so that more than one packet was lost.
MIN_FAILING_S = 1.0
# A server with open streams sends something within this time, unless it preempts all of them.
MAX_UNHEARD_S = 2.0


class FailedAttempts(msgspec.Struct):
    """Attempts in a row to connect to a server that failed.

    Attributes:
        since: When the first of them failed, monotonic seconds; None if the last one succeeded.
        refused: Whether one of them was refused or reset, so that this host reaches the server's.
    """

    since: float | None = None
    refused: bool = False

    def record(self, error: exceptions.UpstreamError, now: float) -> None:
        """Record a failed call; it is no failed attempt if its connection was accepted."""
        if error.step != "connect":
            self.clear()
            return
        self.since = now if self.since is None else self.since
        self.refused = self.refused or isinstance(error.__cause__, ConnectionError)

    def clear(self) -> None:
        """Record that a connection was accepted."""
        self.since = None
        self.refused = False


class Liveness:
    """Judges whether servers have ended, by all that this host knows of them."""

    def __init__(self, core: kernel.Kernel, entry_view: view.EntryView):
        self.core = core
        self.view = entry_view

    def has_ended(self, record: messages.DirectoryRecord, attempts: FailedAttempts) -> bool:
        """Return whether a server has ended, or is out of this host's reach."""
        now = self.core.clock.monotonic()
        if attempts.since is None:
            return False
        if self._is_replaced(record):
            return True
        if now - attempts.since < MIN_FAILING_S:
            return False
        if now - self.view.state_of(record).heard_at < MAX_UNHEARD_S:
            return False
        return not attempts.refused or self._has_stopped_reporting(record)

    def describe(
        self, record: messages.DirectoryRecord, attempts: FailedAttempts
    ) -> dict[str, object]:
        """Return the evidence on a server as fields of a log line, times in ms."""
        now = self.core.clock.monotonic()
        failing_s = 0.0 if attempts.since is None else now - attempts.since
        entry = self.view.directory.entries.get(record.server)
        return {
            "failing_ms": int(failing_s * 1000),
            "refused": attempts.refused,
            "unheard_ms": int((now - self.view.state_of(record).heard_at) * 1000),
            "report_age_ms": None if entry is None else int((now - entry.received_at) * 1000),
            "gone": entry is None or entry.record.gone,
            "replaced": self._is_replaced(record),
        }

    def _is_replaced(self, record: messages.DirectoryRecord) -> bool:
        """Return whether its address, or its id, belongs to a process that started later."""
        entry = self.view.directory.entries.get(record.server)
        restarted = entry is not None and entry.record.born_ms > record.born_ms
        return restarted or self.view.directory.is_replaced(record)

    def _has_stopped_reporting(self, record: messages.DirectoryRecord) -> bool:
        entry = self.view.directory.entries.get(record.server)
        if entry is None:
            return self._hears_reports(record.server)
        if entry.record.gone:
            # A server that drains leaves as it ends; one that does not may go on for a while.
            return entry.record.draining
        silent = self.view.directory.age_s(record.server) >= balance.MAX_REPORT_AGE_S
        return silent and self._hears_reports(record.server)

    def _hears_reports(self, server: str) -> bool:
        """Return whether any other server's reports reach this host."""
        return any(
            entry.record.server != server
            and self.view.directory.age_s(entry.record.server) < balance.MAX_REPORT_AGE_S
            for entry in self.view.directory.live()
        )
