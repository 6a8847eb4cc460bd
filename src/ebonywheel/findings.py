"""What a check of a valid configuration finds doubtful."""

import msgspec


class Finding(msgspec.Struct, frozen=True):
    """An entry that can never be used, or that contradicts another one.

    Attributes:
        place: Key of the entry, such as ``services.plan.timeout_s``.
        text: What is wrong with it.
        expected: What would make sense.
        found: What stands there.
    """

    place: str
    text: str
    expected: str = ""
    found: str = ""

    def line(self) -> str:
        """Return the finding as a line of text."""
        details = f": expected {self.expected}, found {self.found}" if self.expected else ""
        return f"{self.place}: {self.text}{details}"
