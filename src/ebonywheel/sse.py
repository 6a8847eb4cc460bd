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


class Decoder:
    """Splits a byte stream into events."""

    def __init__(self):
        self.buffer = b""

    def feed(self, data: bytes) -> list[Event]:
        """Add received bytes and return the events that they complete."""
        *blocks, self.buffer = (self.buffer + data).split(b"\n\n")
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
