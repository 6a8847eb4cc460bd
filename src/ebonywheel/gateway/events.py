"""Splitting of server-sent event streams into whole events, without decoding their data."""

EVENT_END = b"\n\n"


class EventSplitter:
    """Splits a byte stream into whole events.

    Attributes:
        buffer: Bytes after the last whole event.
        last_id: Last id that a whole event had, empty when there was none.
        count: Number of whole events so far.
    """

    __slots__ = ("buffer", "last_id", "count")

    def __init__(self, last_id: str = ""):
        self.buffer = b""
        self.last_id = last_id
        self.count = 0

    def feed(self, data: bytes) -> bytes:
        """Add received bytes and return the bytes of all events that are now complete."""
        received = self.buffer + data
        end = received.rfind(EVENT_END)
        if end < 0:
            self.buffer = received
            return b""
        complete, self.buffer = received[: end + len(EVENT_END)], received[end + len(EVENT_END) :]
        self._record_events(complete)
        return complete

    def _record_events(self, complete: bytes) -> None:
        events = [event for event in complete.split(EVENT_END) if event]
        self.count += len(events)
        for event in reversed(events):
            event_id = _find_id(event)
            if event_id:
                self.last_id = event_id
                return


def _find_id(event: bytes) -> str:
    for line in event.split(b"\n"):
        if line.startswith(b"id:"):
            return line[3:].strip().decode("latin-1")
    return ""
