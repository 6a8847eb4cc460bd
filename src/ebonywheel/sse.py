"""Server-sent events: encode them, and decode them from chunks as they come."""

import msgspec


class Event(msgspec.Struct):
    """One server-sent event; a comment has only `comment` set."""

    event_id: str = ""
    name: str = ""
    data: str = ""
    comment: bool = False


def encode(event_id: str, data: bytes, name: str = "") -> bytes:
    """Return one event. `data` must be a single line."""
    head = f"event: {name}\n" if name else ""
    identity = f"id: {event_id}\n" if event_id else ""
    return f"{head}{identity}data: ".encode() + data + b"\n\n"


class Decoder:
    """Cuts a byte stream into events."""

    def __init__(self):
        self.buffer = b""

    def feed(self, data: bytes) -> list[Event]:
        """Take in bytes and return the events completed by them."""
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
