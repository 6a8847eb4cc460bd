"""Server-sent events: encoder and incremental decoder."""

import msgspec


class Event(msgspec.Struct):
    """A server-sent event, or a comment, which has only `comment` set."""

    event_id: str = ""
    name: str = ""
    data: str = ""
    comment: bool = False


def encode(event_id: str, data: bytes, name: str = "") -> bytes:
    """Encode one event. `data` must be a single line."""
    name_line = f"event: {name}\n" if name else ""
    id_line = f"id: {event_id}\n" if event_id else ""
    return f"{name_line}{id_line}data: ".encode() + data + b"\n\n"


class LineEnds:
    """Replaces each CR LF and CR of a byte stream, which end a line as well, with LF.

    Attributes:
        after_cr: Whether the last byte was a CR.
    """

    def __init__(self):
        self.after_cr = False

    def replace(self, data: bytes) -> bytes:
        """Return the next part of the stream with LF as the only end of a line."""
        if self.after_cr:
            data = data.removeprefix(b"\n")
            self.after_cr = False
        if b"\r" not in data:
            return data
        self.after_cr = data.endswith(b"\r")
        return data.replace(b"\r\n", b"\n").replace(b"\r", b"\n")


class Decoder:
    """Splits a byte stream into events."""

    def __init__(self):
        self.buffer = b""
        self.line_ends = LineEnds()

    def feed(self, data: bytes) -> list[Event]:
        """Add received bytes and return the events that they complete."""
        *blocks, self.buffer = (self.buffer + self.line_ends.replace(data)).split(b"\n\n")
        return [_decode(block) for block in blocks if block]


def _decode(block: bytes) -> Event:
    event = Event()
    for line in block.decode("utf-8", "replace").split("\n"):
        field, _, value = line.partition(":")
        value = value.removeprefix(" ")
        if not field:
            event.comment = True
        elif field == "id":
            event.event_id = value
        elif field == "event":
            event.name = value
        elif field == "data":
            event.data = f"{event.data}\n{value}" if event.data else value
    return event
