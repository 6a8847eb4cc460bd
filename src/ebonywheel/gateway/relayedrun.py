"""Generations that an entry host relays, and copies of them at other servers."""

import curio
import msgspec

from ebonywheel import messages
from ebonywheel.gateway import events, inflight, paces, sender


class Copy(msgspec.Struct):
    """A copy of a run at another server.

    Attributes:
        record: The server that holds the copy.
        source: Address of the server that made the copy; identifies it together with the handle.
        reservation: Memory reserved for the copy at the server that holds it.
        in_service_at: When that server was in service, before the copy was asked for; monotonic
            seconds.
    """

    record: messages.DirectoryRecord
    source: str
    handle: str
    reservation: inflight.Reservation
    in_service_at: float = float("-inf")


class Run:
    """A generation that this host relays.

    Attributes:
        context: The request.
        record: The server that runs it now.
        reply: The server's answer, while it is read.
        splitter: Splits the answer into events; holds the id of the last one.
        closed: True once the caller has its answer or will get no more of it.
        broken: True from a break of the server's answer until the run goes on elsewhere.
        stopped: True once the server is known not to work on it any more.
        copy: The newest copy of the run, None when there is none.
        windows: How it kept its target for pauses at the server that runs it now.
        move_finished: Set when the hand-over ends, even if it failed; None without one.
    """

    __slots__ = (
        "context",
        "record",
        "reply",
        "splitter",
        "closed",
        "broken",
        "stopped",
        "copy",
        "windows",
        "move_finished",
    )

    def __init__(self, context: inflight.RequestContext, reply: sender.Reply):
        self.context = context
        self.record = reply.record
        self.reply = reply
        self.splitter = events.make_splitter(context.request.method, reply.head.headers)
        self.closed = False
        self.broken = False
        self.stopped = False
        self.copy: Copy | None = None
        self.windows = paces.StreamWindows()
        self.move_finished: curio.Event | None = None

    def is_at(self, record: messages.DirectoryRecord) -> bool:
        """Return whether it is open, and not resumed by another server than this one."""
        return not self.closed and self.record is record

    def goes_on_at(self, record: messages.DirectoryRecord) -> bool:
        """Return whether it is at a server and has not broken off there."""
        return self.is_at(record) and not self.broken

    def continue_with(self, reply: sender.Reply) -> None:
        """Go on with the answer of the server that has resumed the run."""
        self.record = reply.record
        self.reply = reply
        self.broken = False
        self.stopped = False
        self.move_finished = None
        self.windows = paces.StreamWindows()
        self.splitter.buffer.clear()

    def replace_copy(self, copy: Copy | None) -> None:
        """Replace the run's copy, and release the memory of the old one."""
        if self.copy is not None:
            self.copy.reservation.release()
        self.copy = copy

    def attempt(self) -> str:
        """Return the id of the run's request."""
        return self.context.request.attempt

    def observe_pace(self, server_paces: paces.Paces, waiting_since: float) -> None:
        """Record how fast its server produced events, which this host waits for since a time."""
        reply = self.reply
        if reply.tokens_to_read:
            server_paces.observe_first_event(self.record, reply.tokens_to_read, reply.sent_at)
            reply.tokens_to_read = 0
        target_s = self.context.route.max_gap_s
        if target_s:
            server_paces.observe_events(self.record, self.windows, target_s, waiting_since)
