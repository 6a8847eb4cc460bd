"""Splitting of server-sent event streams into whole events, without decoding their data."""

from ebonywheel import exceptions

EVENT_END = b"\n\n"
# An event of a generation holds some tokens; a server that sends more without the end of an event
# is in trouble.
MAX_EVENT_BYTES = 1024 * 1024


class EventSplitter:
    """Splits a byte stream into whole events.

    Attributes:
        buffer: Bytes after the last whole event.
        last_id: Last id that a whole event had, empty when there was none.
        count: Number of whole events so far.
    """

    __slots__ = ("buffer", "last_id", "count")

    def __init__(self, last_id: str = ""):
        self.buffer = bytearray()
        self.last_id = last_id
        self.count = 0

    def feed(self, data: bytes) -> bytes:
        """Add received bytes and return the bytes of all events that are now complete.

        Raises:
            UpstreamError: An event is longer than `MAX_EVENT_BYTES`.
        """
        # The end of an event may be split between the old and the new bytes.
        search_start = max(0, len(self.buffer) - len(EVENT_END) + 1)
        self.buffer += data
        end = self.buffer.rfind(EVENT_END, search_start)
        if end < 0:
            self._check_length()
            return b""
        complete = bytes(self.buffer[: end + len(EVENT_END)])
        del self.buffer[: end + len(EVENT_END)]
        self._record_events(complete)
        return complete

    def _check_length(self) -> None:
        if len(self.buffer) > MAX_EVENT_BYTES:
            raise exceptions.UpstreamError(
                f"event over {MAX_EVENT_BYTES} bytes", "split events", sent=True
            )

    def _record_events(self, complete: bytes) -> None:
        events = [event for event in complete.split(EVENT_END) if event.strip(b"\n")]
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
