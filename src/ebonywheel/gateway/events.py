"""Event streams cut into whole events, without decoding their data."""

END = b"\n\n"


class EventCutter:
    """Cuts a byte stream into whole events.

    Attributes:
        last_id: Id of the last whole event, empty when none had one.
        count: Whole events so far.
    """

    __slots__ = ("buffer", "last_id", "count")

    def __init__(self, last_id: str = ""):
        self.buffer = b""
        self.last_id = last_id
        self.count = 0

    def feed(self, data: bytes) -> bytes:
        """Take in bytes and return the whole events that they complete, as they came."""
        joined = self.buffer + data
        end = joined.rfind(END)
        if end < 0:
            self.buffer = joined
            return b""
        whole, self.buffer = joined[: end + len(END)], joined[end + len(END) :]
        self._note(whole)
        return whole

    def _note(self, whole: bytes) -> None:
        events = [block for block in whole.split(END) if block]
        self.count += len(events)
        for block in reversed(events):
            found = _find_id(block)
            if found:
                self.last_id = found
                return


def _find_id(block: bytes) -> str:
    for line in block.split(b"\n"):
        if line.startswith(b"id:"):
            return line[3:].strip().decode("latin-1")
    return ""
