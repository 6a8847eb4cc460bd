"""Slots of one backend server, lent by its home entry host.

What a server can bear is one number at one time. Each request in flight holds a slot. A record
leaves the count only when the borrower gave the slot back, the server confirmed a cancellation,
or a load report of the server proves that the work is gone; never by time alone.
"""

import msgspec

from ebonywheel import documents, exceptions, messages

LOAN_S = 1.0
HOLDING_STALE_S = 5.0

# The interval of reports grows with the slots in use, so that the bytes of a host hardly do.
LEAST_HOLDINGS_S = 0.5
HOLDINGS_PER_SLOT_S = 0.015
MOST_HOLDINGS_S = 2.0

ORPHAN_KEPT_S = 15.0

# How long a generation whose reader hung up is kept for the reader to come back.
RECONNECT_S = 5.0
RELEASED_KEPT_S = 30.0

# How long a server's report may be under way besides the age that it states.
REPORT_TRANSIT_S = 1.0

# A warm server whose step takes this much longer than usual, in consecutive reports, is cold.
CLIFF_FACTOR = 3.0
CLIFF_REPORTS = 3
BASELINE_DECAY = 0.05

# Each cliff raises the baseline, so that a server that stays slower is not held cold for good.
BASELINE_RAISE = 1.5

OUTCOME_FINISHED = "finished"
OUTCOME_FAILED = "failed"
OUTCOME_DETACHED = "detached"


class LoanRecord(msgspec.Struct):
    """One loan.

    Attributes:
        lent_at: When it was granted or first heard of, on the home's monotonic clock.
        seen_at: When the borrower last reported it in use, or None before the first time.
        released_at: When it was given back, or None.
        lent_here: False when it was lent by a former home.
        abandoned: True when nobody reads it any more though it may still run.
        detached_at: When its reader hung up, or None.
    """

    holding: messages.Holding
    host: str
    lent_at: float
    seen_at: float | None = None
    released_at: float | None = None
    lent_here: bool = True
    abandoned: bool = False
    detached_at: float | None = None

    def orphaned(self, now: float) -> bool:
        """Return whether no borrower stands up for it."""
        if self.abandoned or self.detached_at is not None:
            return True
        if self.seen_at is None:
            return now >= self.lent_at + LOAN_S + HOLDING_STALE_S
        return now >= self.seen_at + HOLDING_STALE_S

    def reclaimable(self, now: float) -> bool:
        """Return whether its work at the server should be cancelled."""
        if self.detached_at is not None:
            return now >= self.detached_at + RECONNECT_S
        if self.abandoned or self.seen_at is None:
            return self.orphaned(now)
        return now >= self.seen_at + ORPHAN_KEPT_S

    def was_running(self, at: float) -> bool:
        """Return whether it may have been in flight at a time in the past."""
        return self.lent_at <= at and (self.released_at is None or at <= self.released_at)


class SlotLedger:
    """Counts one backend server's slots, for one incarnation of it.

    Attributes:
        limit: Slots it can bear now.
        finished: Requests finished since the limit last grew.
        foreign: Requests in flight that were lent by a former home, or None when not known yet.
        baseline_us: Usual step time while warm, or None.
        chilled_at: When it last turned cold without a restart.
    """

    def __init__(
        self, state: messages.ServerState, engine: documents.Engine, foreign: int | None = 0
    ):
        self.state = state
        self.engine = engine
        self.load = messages.ServerLoad()
        self.load_at = float("-inf")
        self.limit = engine.cold_slots
        self.finished = 0
        self.records: dict[str, LoanRecord] = {}
        self.foreign = foreign
        self.foreign_at = float("-inf")
        self.baseline_us: float | None = None
        self.slow_reports = 0
        self.chilled_at = float("-inf")

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
        elif held.released_at is not None:
            raise exceptions.NotRunError("the loan was given back", "lend", self.state.server)
        return messages.Loan(
            request.loan, self.state.server, self.state.incarnation, int(LOAN_S * 1000)
        )

    def used(self, now: float) -> int:
        """Return the slots in use or lent; never less than what is in flight."""
        own = orphans = foreign = 0
        for record in self.records.values():
            if record.released_at is not None:
                continue
            if not record.lent_here:
                foreign += 1
            elif record.orphaned(now) and record.lent_at + LOAN_S < self._reported_at():
                orphans += 1
            else:
                own += 1
        # Orphans that were there before the report was taken are part of what it counts.
        orphans = min(orphans, self._reported())
        return own + orphans + max(self.foreign or 0, foreign, self._unaccounted())

    def report(self, load: messages.ServerLoad, now: float) -> None:
        """Take in the server's own load report."""
        taken_at = now - load.age_ms / 1000
        other = load.incarnation not in (0, self.state.incarnation)
        if other or taken_at < self.load_at:
            return
        self.load = load
        self.load_at = taken_at
        if self.foreign is not None:
            self.foreign = min(self.foreign, self._reported())
        self._watch_step(load, now)
        if self._reported() == 0:
            self._drop_orphans(now)

    def count_foreign(self, since: float) -> None:
        """Learn what former homes lent, once a report was taken after their last loan ended."""
        if self.foreign is None and self._reported_at() >= since:
            self.foreign = self._reported()
            self.foreign_at = self.load_at

    def hold(self, host: str, holding: messages.Holding, now: float) -> None:
        """Note that a borrower has a slot in use."""
        record = self.records.get(holding.loan)
        if record is None:
            record = LoanRecord(holding, host, now, lent_here=False)
            self.records[holding.loan] = record
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
        record.abandoned = False
        record.detached_at = None

    def release(self, request: messages.Release, now: float) -> LoanRecord | None:
        """Take a slot back; return its record, or None when it was not out or may still run."""
        record = self.records.get(request.loan)
        if record is None:
            self.records[request.loan] = self._unheard_of(request, now)
            return None
        if record.released_at is not None:
            return None
        if request.outcome == OUTCOME_FAILED:
            record.abandoned = True
            return None
        if request.outcome == OUTCOME_DETACHED:
            # Should another entry host have taken the stream over, its next report says so.
            record.detached_at = now
            return None
        self._end(record, now)
        if request.outcome == OUTCOME_FINISHED and record.lent_at >= self.chilled_at:
            self._earn()
        return record

    def cancelled(self, loan: str, now: float) -> None:
        """Note that the server confirmed the cancellation of an orphan."""
        record = self.records.get(loan)
        if record is not None and record.released_at is None and record.orphaned(now):
            self._end(record, now)

    def reclaimable(self, now: float) -> list[str]:
        """Return the loans whose work should be cancelled at the server."""
        return [
            loan
            for loan, record in self.records.items()
            if record.released_at is None and record.reclaimable(now)
        ]

    def running(self) -> list[messages.Holding]:
        """Return the requests that may be in flight."""
        return [record.holding for record in self.records.values() if record.released_at is None]

    def given_back(self) -> dict[str, LoanRecord]:
        """Return the records of loans that have ended."""
        return {
            loan: record for loan, record in self.records.items() if record.released_at is not None
        }

    def forget(self, now: float) -> None:
        """Drop records that no longer matter."""
        for loan, record in list(self.records.items()):
            if record.released_at is not None and now > record.released_at + RELEASED_KEPT_S:
                del self.records[loan]

    def warm(self) -> bool:
        """Return whether the server has earned its full number of slots."""
        return self.limit >= self.engine.warm_slots

    def chill(self, now: float) -> None:
        """Take the limit back to that of a cold server; it must be earned again."""
        self.limit = self.engine.cold_slots
        self.finished = 0
        self.slow_reports = 0
        self.chilled_at = now

    def _unheard_of(self, request: messages.Release, now: float) -> LoanRecord:
        # Work that may still run counts; otherwise the loan itself may still be under way to
        # here, and must not be lent after this.
        record = LoanRecord(_released(request), "", now, lent_here=False)
        if request.outcome in (OUTCOME_FAILED, OUTCOME_DETACHED):
            record.abandoned = True
        else:
            record.released_at = now
        return record

    def _end(self, record: LoanRecord, now: float) -> None:
        record.released_at = now
        seen = record.seen_at is not None and record.seen_at >= self.foreign_at + REPORT_TRANSIT_S
        if not record.lent_here and seen and self.foreign:
            self.foreign -= 1

    def _earn(self) -> None:
        self.finished += 1
        if self.finished >= self.engine.warm_after and not self.warm():
            self.finished = 0
            self.limit += 1

    def _watch_step(self, load: messages.ServerLoad, now: float) -> None:
        if load.running == 0 or load.step_us == 0 or self.limit <= self.engine.cold_slots:
            return
        if self.baseline_us is None:
            self.baseline_us = float(load.step_us)
        if load.step_us < CLIFF_FACTOR * self.baseline_us:
            self.slow_reports = 0
            self.baseline_us += BASELINE_DECAY * (load.step_us - self.baseline_us)
            return
        self.slow_reports += 1
        if self.slow_reports >= CLIFF_REPORTS:
            self.baseline_us *= BASELINE_RAISE
            self.chill(now)

    def _reported(self) -> int:
        return self.load.running + self.load.waiting

    def _reported_at(self) -> float:
        return self.load_at - REPORT_TRANSIT_S

    def _unaccounted(self) -> int:
        known = sum(1 for record in self.records.values() if record.was_running(self.load_at))
        return max(0, self._reported() - known)

    def _drop_orphans(self, now: float) -> None:
        for record in self.records.values():
            gone = record.lent_at + LOAN_S < self._reported_at()
            if gone and record.released_at is None and record.orphaned(now):
                self._end(record, now)

    def _check_free(self, request: messages.Borrow, now: float) -> None:
        if self.foreign is None:
            raise exceptions.NotRunError("work in flight not known yet", "lend", self.state.server)
        out = [record for record in self.records.values() if record.released_at is None]
        if any(record.holding.alone for record in out):
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


def _released(request: messages.Release) -> messages.Holding:
    return messages.Holding(request.loan, request.server, request.incarnation)


def holdings_interval_s(count: int) -> float:
    """Return how often a host with this many slots in use reports them, in seconds."""
    return min(max(LEAST_HOLDINGS_S, HOLDINGS_PER_SLOT_S * count), MOST_HOLDINGS_S)
