"""Splitting of server-sent event streams into whole events, without decoding their data."""

import re
import typing

from ebonywheel import exceptions, http

EVENT_END = b"\n\n"
# A line ends with LF, CR or CR LF. A CR LF that arrives in two parts may leave its LF to the next
# event, where it is a blank line, which means nothing there.
ANY_EVENT_END = re.compile(rb"(?:\r\n|\n|\r(?!\n))(?:\r\n|\n|\r)")
MAX_EVENT_END_BYTES = 4
# An event of a generation holds some tokens; a server that sends more without the end of an event
# is in trouble.
MAX_EVENT_BYTES = 1024 * 1024


class Splitter(typing.Protocol):
    """Splits a body into parts that are passed on whole.

    Attributes:
        buffer: Bytes after the last whole part.
        last_id: Last id that a part had, empty when there was none.
        count: Number of whole parts so far.
    """

    buffer: bytearray
    last_id: str
    count: int

    def feed(self, data: bytes) -> bytes:
        """Add received bytes and return the bytes of all parts that are now complete."""

    def is_whole(self, framed: bool) -> bool:
        """Return whether the body may end here.

        Args:
            framed: Whether a length or chunks told its end.
        """


class RawBody:
    """Passes on a body that is no event stream as it arrives."""

    __slots__ = ("buffer", "last_id", "count")

    def __init__(self):
        self.buffer = bytearray()
        self.last_id = ""
        self.count = 0

    def feed(self, data: bytes) -> bytes:
        """Return received bytes."""
        self.count += 1
        return data

    def is_whole(self, framed: bool) -> bool:
        """Return True; only the framing of the body tells its end."""
        return True


class EventSplitter:
    """Splits a byte stream into whole events.

    Attributes:
        buffer: Bytes after the last whole event.
        last_id: Last id that a whole event had, empty when there was none.
        count: Number of whole events so far, without comments.
        type_stated: Whether the answer says that it is an event stream.
        has_cr: Whether a CR has arrived.
    """

    __slots__ = ("buffer", "last_id", "count", "type_stated", "has_cr")

    def __init__(self, type_stated: bool = True):
        self.buffer = bytearray()
        self.last_id = ""
        self.count = 0
        self.type_stated = type_stated
        self.has_cr = False

    def feed(self, data: bytes) -> bytes:
        """Add received bytes and return the bytes of all events that are now complete.

        Raises:
            UpstreamError: An event is longer than `MAX_EVENT_BYTES`.
        """
        # The end of an event may be split between the old and the new bytes.
        search_start = max(0, len(self.buffer) - MAX_EVENT_END_BYTES + 1)
        self.buffer += data
        self.has_cr = self.has_cr or b"\r" in data
        end = self._find_last_end(search_start)
        if end < 0:
            self._check_length()
            return b""
        complete = bytes(self.buffer[:end])
        del self.buffer[:end]
        self._record_events(_normalize(complete) if self.has_cr else complete)
        return complete

    def is_whole(self, framed: bool) -> bool:
        """Return whether there was an event and the stream does not end inside another.

        A framed body that states no type and holds no event is of another kind.
        """
        if not self.count:
            return framed and not self.type_stated
        rest = _normalize(bytes(self.buffer))
        return not rest or (rest.endswith(b"\n") and not _has_field(rest))

    def _find_last_end(self, start: int) -> int:
        """Return the end of the last event that ends after a position, -1 when there is none."""
        if not self.has_cr:
            found = self.buffer.rfind(EVENT_END, start)
            return found if found < 0 else found + len(EVENT_END)
        end = -1
        for match in ANY_EVENT_END.finditer(self.buffer, start):
            end = match.end()
        return end

    def _check_length(self) -> None:
        if len(self.buffer) > MAX_EVENT_BYTES:
            raise exceptions.UpstreamError(
                f"event over {MAX_EVENT_BYTES} bytes", "split events", sent=True
            )

    def _record_events(self, complete: bytes) -> None:
        events = [event for event in complete.split(EVENT_END) if event and _has_field(event)]
        self.count += len(events)
        for event in reversed(events):
            event_id = _find_id(event)
            if event_id:
                self.last_id = event_id
                return


def make_splitter(method: str, headers: http.Headers) -> Splitter:
    """Return the splitter for an answer to a request for a stream.

    An answer that does not state its type counts as an event stream, as its route says so.
    """
    fields = dict(headers)
    media_type = fields.get("content-type", http.EVENT_STREAM).partition(";")[0].strip().lower()
    encoding = fields.get("content-encoding", "identity").strip().lower()
    if method == "HEAD" or media_type != http.EVENT_STREAM or encoding != "identity":
        return RawBody()
    return EventSplitter("content-type" in fields)


def _normalize(data: bytes) -> bytes:
    """Return data with LF as the only end of a line."""
    return data.replace(b"\r\n", b"\n").replace(b"\r", b"\n")


def _has_field(block: bytes) -> bool:
    """Return whether any line is neither blank nor a comment."""
    if block[:1] not in (b"", b"\n", b":"):
        return True
    return any(line and not line.startswith(b":") for line in block.split(b"\n"))


def _find_id(event: bytes) -> str:
    for line in event.split(b"\n"):
        if line.startswith(b"id:"):
            return line[3:].strip().decode("latin-1")
    return ""
