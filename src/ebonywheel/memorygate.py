"""Admission by memory: whether a backend server has room for one more generation."""

from ebonywheel import messages, slots


class MemoryGate:
    """Decides for a home entry host, beside the number of slots."""

    def check(self, ledger: slots.SlotLedger, request: messages.Borrow, now: float) -> None:
        """Check that there is room.

        Raises:
            NotRunError: The request would probably fill the memory in the middle of a decode.
        """

    def expected_blocks(self, ledger: slots.SlotLedger, now: float) -> int:
        """Return the blocks that the work in flight is expected to need at its most."""
        return 0

    def released(
        self, ledger: slots.SlotLedger, holding: messages.Holding, message: messages.Release
    ) -> None:
        """Learn from a request that ended."""
