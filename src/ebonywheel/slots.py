"""Slots of one backend server, lent by its home entry host.

What a server can bear is one number at one time. Each request in flight holds a slot; a loan that
was not used in time comes back. Work that no borrower accounts for any more is still counted
for as long as the server itself reports it.
"""

import msgspec

from ebonywheel import documents, exceptions, messages

LOAN_S = 1.0
HOLDING_STALE_S = 5.0
RELEASED_KEPT_S = 5.0


class LoanRecord(msgspec.Struct):
    """One loan.

    Attributes:
        lent_at: When it was granted, on the home's monotonic clock.
        seen_at: When the borrower last reported it in use, or None before the first time.
        released_at: When it was given back, or None.
    """

    holding: messages.Holding
    host: str
    lent_at: float
    seen_at: float | None = None
    released_at: float | None = None

    def counts(self, now: float) -> bool:
        """Return whether it takes a slot now."""
        if self.released_at is not None:
            return False
        if self.seen_at is None:
            return now < self.lent_at + LOAN_S + HOLDING_STALE_S
        return now < self.seen_at + HOLDING_STALE_S

    def was_running(self, at: float) -> bool:
        """Return whether it may have been in flight at a time in the past."""
        return self.lent_at <= at and (self.released_at is None or at <= self.released_at)


class SlotLedger:
    """Counts one backend server's slots, for one incarnation of it.

    Attributes:
        limit: Slots it can bear now.
        finished: Requests finished since the limit last grew.
    """

    def __init__(self, state: messages.ServerState, engine: documents.Engine):
        self.state = state
        self.engine = engine
        self.load = messages.ServerLoad()
        self.load_at = float("-inf")
        self.limit = engine.cold_slots
        self.finished = 0
        self.records: dict[str, LoanRecord] = {}

    def lend(self, request: messages.Borrow, now: float) -> messages.Loan:
        """Lend one slot.

        Raises:
            NotRunError: There is none free, or the incarnation is another.
        """
        if request.incarnation != self.state.incarnation:
            raise exceptions.NotRunError("another incarnation", "lend", self.state.server)
        held = self.records.get(request.loan)
        if held is None:
            self._check_free(request, now)
            self.records[request.loan] = LoanRecord(_holding(request), request.host, now)
        return messages.Loan(
            request.loan, self.state.server, self.state.incarnation, int(LOAN_S * 1000)
        )

    def used(self, now: float) -> int:
        """Return the slots in use or lent."""
        known = sum(1 for record in self.records.values() if record.counts(now))
        return known + self._unaccounted()

    def report(self, load: messages.ServerLoad, now: float) -> None:
        """Take in the server's own load report."""
        self.load = load
        self.load_at = now - load.age_ms / 1000

    def hold(self, host: str, holding: messages.Holding, now: float) -> None:
        """Note that a borrower has a slot in use."""
        record = self.records.get(holding.loan)
        if record is None:
            record = self.records[holding.loan] = LoanRecord(holding, host, now)
        if record.released_at is not None:
            return
        if not holding.prompt_tokens:
            # The borrower resumed the stream and does not know what it was asked.
            holding.prompt_tokens = record.holding.prompt_tokens
            holding.max_tokens = record.holding.max_tokens
            holding.expected_tokens = record.holding.expected_tokens
        record.holding = holding
        record.host = host
        record.seen_at = now

    def release(self, request: messages.Release, now: float) -> LoanRecord | None:
        """Take a slot back; return its record, or None when it was not out."""
        record = self.records.get(request.loan)
        if record is None or record.released_at is not None:
            return None
        record.released_at = now
        if request.outcome == "finished":
            self._earn()
        return record

    def running(self) -> list[messages.Holding]:
        """Return the requests that may be in flight."""
        return [record.holding for record in self.records.values() if record.released_at is None]

    def forget(self, now: float) -> None:
        """Drop records that no longer matter."""
        for loan, record in list(self.records.items()):
            old = record.released_at is not None and now > record.released_at + RELEASED_KEPT_S
            if old or (record.released_at is None and not record.counts(now)):
                del self.records[loan]

    def warm(self) -> bool:
        """Return whether the server has earned its full number of slots."""
        return self.limit >= self.engine.warm_slots

    def _earn(self) -> None:
        self.finished += 1
        if self.finished >= self.engine.warm_after and not self.warm():
            self.finished = 0
            self.limit += 1

    def _unaccounted(self) -> int:
        known = sum(1 for record in self.records.values() if record.was_running(self.load_at))
        return max(0, self.load.running + self.load.waiting - known)

    def _check_free(self, request: messages.Borrow, now: float) -> None:
        if any(record.holding.alone for record in self.records.values() if record.counts(now)):
            raise exceptions.NotRunError("a suspect runs alone", "lend", self.state.server)
        used = self.used(now)
        if used >= self.limit or (request.alone and used > 0):
            raise exceptions.NotRunError("no slot free", "lend", self.state.server)


def _holding(request: messages.Borrow) -> messages.Holding:
    return messages.Holding(
        request.loan,
        request.server,
        request.incarnation,
        request.service,
        request.customer,
        request.prompt_tokens,
        0,
        request.fingerprint,
        request.alone,
        request.max_tokens,
        request.expected_tokens,
    )
