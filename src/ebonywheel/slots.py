"""Accounting of one backend server's slots, which its home entry host lends.

At any time, a server has a limit on the requests in flight, each of which holds a slot. A slot
becomes free only when its borrower releases it, the server confirms a cancellation, or a load
report of the server proves that the work has ended; never by time alone.
"""

import msgspec

from ebonywheel import documents, exceptions, messages

# Time in which a borrowed slot must be put to use.
LOAN_DURATION_S = 1.0
# Time without a borrower's report after which its request counts as orphaned.
HOLDING_STALE_S = 5.0

# The interval between reports grows with the slots in use, so that the bytes that a host sends
# hardly grow.
MIN_HOLDINGS_INTERVAL_S = 0.5
HOLDINGS_INTERVAL_S_PER_SLOT = 0.015
MAX_HOLDINGS_INTERVAL_S = 2.0

# Time without a borrower's report after which its request is cancelled at the server.
ORPHAN_GRACE_S = 15.0

# How long a generation whose caller disconnected is kept, so that the caller can reconnect.
RECONNECT_GRACE_S = 5.0
# How long the record of a released loan is kept, so that late messages cannot reopen the loan.
RELEASED_RETENTION_S = 30.0

# Longest transit time of a server's load report, which its stated age does not include.
REPORT_TRANSIT_S = 1.0

# A server whose step time reaches this multiple of its usual step time, in this many consecutive
# reports, is treated as cold.
SLOWDOWN_FACTOR = 3.0
SLOWDOWN_REPORTS = 3
BASELINE_SMOOTHING = 0.05

# Each detected slowdown raises the baseline, so that a server that stays slower can become warm
# again.
BASELINE_RAISE_FACTOR = 1.5

OUTCOME_FINISHED = "finished"
OUTCOME_FAILED = "failed"
OUTCOME_DETACHED = "detached"


class LoanRecord(msgspec.Struct):
    """One loan of a slot. All times are on the home's monotonic clock.

    Attributes:
        holding: The request for which the slot was lent.
        host: Entry host that borrowed the slot.
        lent_at: When the slot was lent, or when this home first learned of the loan.
        reported_at: When the borrower last reported the slot in use, or None.
        released_at: When the slot became free, or None.
        lent_by_this_home: False if a former home lent the slot.
        abandoned: True if the borrower has given up the request but it may still run.
        detached_at: When the caller disconnected, or None.
    """

    holding: messages.Holding
    host: str
    lent_at: float
    reported_at: float | None = None
    released_at: float | None = None
    lent_by_this_home: bool = True
    abandoned: bool = False
    detached_at: float | None = None

    def is_orphaned(self, now: float) -> bool:
        """Return whether no borrower claims the request any more."""
        if self.abandoned or self.detached_at is not None:
            return True
        if self.reported_at is None:
            return now >= self.lent_at + LOAN_DURATION_S + HOLDING_STALE_S
        return now >= self.reported_at + HOLDING_STALE_S

    def is_reclaimable(self, now: float) -> bool:
        """Return whether the request should be cancelled at the server."""
        if self.detached_at is not None:
            return now >= self.detached_at + RECONNECT_GRACE_S
        if self.abandoned or self.reported_at is None:
            return self.is_orphaned(now)
        return now >= self.reported_at + ORPHAN_GRACE_S

    def may_have_run_at(self, at: float) -> bool:
        """Return whether the request may have been in flight at a past time."""
        return self.lent_at <= at and (self.released_at is None or at <= self.released_at)


class SlotLedger:
    """Tracks the loans of one backend server's slots, for one incarnation of the server.

    Attributes:
        load: The server's latest load report.
        load_taken_at: When that report was taken, on the home's monotonic clock.
        limit: Requests that the server may have in flight now.
        finished_since_raise: Requests finished since the limit was last raised.
        records: Current and recently ended loans, by loan.
        foreign: Requests in flight on slots lent by a former home, or None if not known yet.
        foreign_counted_at: When the report from which `foreign` was counted was taken.
        baseline_step_us: Usual step time while warm, or None.
        slow_reports: Consecutive reports with a slow step so far.
        cooled_at: When the limit was last reset to that of a cold server, without a restart.
    """

    def __init__(
        self, state: messages.ServerState, engine: documents.Engine, foreign: int | None = 0
    ):
        self.state = state
        self.engine = engine
        self.load = messages.ServerLoad()
        self.load_taken_at = float("-inf")
        self.limit = engine.cold_slots
        self.finished_since_raise = 0
        self.records: dict[str, LoanRecord] = {}
        self.foreign = foreign
        self.foreign_counted_at = float("-inf")
        self.baseline_step_us: float | None = None
        self.slow_reports = 0
        self.cooled_at = float("-inf")

    def lend(self, request: messages.Borrow, now: float) -> messages.Loan:
        """Lend one slot.

        Raises:
            NotRunError: No slot can be lent, the loan was already released, or the server has
                another incarnation.
        """
        if request.incarnation != self.state.incarnation:
            raise exceptions.NotRunError(
                "server has another incarnation", "lend", self.state.server
            )
        record = self.records.get(request.loan)
        if record is None:
            self._check_free(request, now)
            self.records[request.loan] = LoanRecord(_holding_of_borrow(request), request.host, now)
        elif record.released_at is not None:
            raise exceptions.NotRunError("the loan was already released", "lend", self.state.server)
        return messages.Loan(
            request.loan, self.state.server, self.state.incarnation, int(LOAN_DURATION_S * 1000)
        )

    def used(self, now: float) -> int:
        """Return the number of slots in use or lent; never less than the requests in flight."""
        own = orphans = foreign = 0
        for record in self.records.values():
            if record.released_at is not None:
                continue
            if not record.lent_by_this_home:
                foreign += 1
            elif (
                record.is_orphaned(now)
                and record.lent_at + LOAN_DURATION_S < self._earliest_load_time()
            ):
                orphans += 1
            else:
                own += 1
        # These orphans are older than the report, so it counts all of them that still run.
        orphans = min(orphans, self._reported_in_flight())
        return own + orphans + max(self.foreign or 0, foreign, self._unaccounted_in_flight())

    def report(self, load: messages.ServerLoad, now: float) -> None:
        """Process a load report of the server; ignore it if a newer one is known."""
        taken_at = now - load.age_ms / 1000
        other_incarnation = load.incarnation not in (0, self.state.incarnation)
        if other_incarnation or taken_at < self.load_taken_at:
            return
        self.load = load
        self.load_taken_at = taken_at
        if self.foreign is not None:
            self.foreign = min(self.foreign, self._reported_in_flight())
        self._detect_slowdown(load, now)
        if self._reported_in_flight() == 0:
            self._end_orphans(now)

    def count_foreign(self, since: float) -> None:
        """Count the requests on former homes' slots, from the first report taken after a time.

        Args:
            since: When the last loan of a former home has expired.
        """
        if self.foreign is None and self._earliest_load_time() >= since:
            self.foreign = self._reported_in_flight()
            self.foreign_counted_at = self.load_taken_at

    def record_holding(self, host: str, holding: messages.Holding, now: float) -> None:
        """Record that a borrower has a slot in use."""
        record = self.records.get(holding.loan)
        if record is None:
            record = LoanRecord(holding, host, now, lent_by_this_home=False)
            self.records[holding.loan] = record
        if record.released_at is not None:
            return
        if not holding.prompt_tokens:
            # A borrower that resumed the stream does not know the request's sizes.
            holding.prompt_tokens = record.holding.prompt_tokens
            holding.max_tokens = record.holding.max_tokens
            holding.expected_tokens = record.holding.expected_tokens
        record.holding = holding
        record.host = host
        record.reported_at = now
        record.abandoned = False
        record.detached_at = None

    def release(self, message: messages.Release, now: float) -> LoanRecord | None:
        """Process the release of a slot.

        Returns:
            The loan's record, or None if the loan was unknown or already released, or if the
            request may still run.
        """
        record = self.records.get(message.loan)
        if record is None:
            self.records[message.loan] = self._record_of_unknown_loan(message, now)
            return None
        if record.released_at is not None:
            return None
        if message.outcome == OUTCOME_FAILED:
            record.abandoned = True
            return None
        if message.outcome == OUTCOME_DETACHED:
            # If another entry host has resumed the stream, its next report clears this.
            record.detached_at = now
            return None
        self._end_record(record, now)
        if message.outcome == OUTCOME_FINISHED and record.lent_at >= self.cooled_at:
            self._count_finished()
        return record

    def mark_cancelled(self, loan: str, now: float) -> None:
        """Record that the server confirmed the cancellation of an orphaned request."""
        record = self.records.get(loan)
        if record is not None and record.released_at is None and record.is_orphaned(now):
            self._end_record(record, now)

    def reclaimable_loans(self, now: float) -> list[str]:
        """Return the loans whose requests should be cancelled at the server."""
        return [
            loan
            for loan, record in self.records.items()
            if record.released_at is None and record.is_reclaimable(now)
        ]

    def running(self) -> list[messages.Holding]:
        """Return the requests that may be in flight."""
        return [record.holding for record in self.records.values() if record.released_at is None]

    def released_records(self) -> dict[str, LoanRecord]:
        """Return the records of loans whose slots are free again."""
        return {
            loan: record for loan, record in self.records.items() if record.released_at is not None
        }

    def drop_released(self, now: float) -> None:
        """Drop the records of loans that were released long ago."""
        for loan, record in list(self.records.items()):
            if record.released_at is not None and now > record.released_at + RELEASED_RETENTION_S:
                del self.records[loan]

    def is_warm(self) -> bool:
        """Return whether the limit has reached the engine's full number of slots."""
        return self.limit >= self.engine.warm_slots

    def reset_to_cold(self, now: float) -> None:
        """Reset the limit to that of a cold server; finished requests raise it again."""
        self.limit = self.engine.cold_slots
        self.finished_since_raise = 0
        self.slow_reports = 0
        self.cooled_at = now

    def _record_of_unknown_loan(self, message: messages.Release, now: float) -> LoanRecord:
        # A request that may still run holds a slot. Otherwise the borrow request may still be in
        # transit, and must be refused when it arrives.
        record = LoanRecord(_holding_of_release(message), "", now, lent_by_this_home=False)
        if message.outcome in (OUTCOME_FAILED, OUTCOME_DETACHED):
            record.abandoned = True
        else:
            record.released_at = now
        return record

    def _end_record(self, record: LoanRecord, now: float) -> None:
        record.released_at = now
        # A request still reported in use after `foreign` was counted was part of that count.
        reported_after_count = (
            record.reported_at is not None
            and record.reported_at >= self.foreign_counted_at + REPORT_TRANSIT_S
        )
        if not record.lent_by_this_home and reported_after_count and self.foreign:
            self.foreign -= 1

    def _count_finished(self) -> None:
        self.finished_since_raise += 1
        if self.finished_since_raise >= self.engine.warm_after and not self.is_warm():
            self.finished_since_raise = 0
            self.limit += 1

    def _detect_slowdown(self, load: messages.ServerLoad, now: float) -> None:
        if load.running == 0 or load.step_us == 0 or self.limit <= self.engine.cold_slots:
            return
        if self.baseline_step_us is None:
            self.baseline_step_us = float(load.step_us)
        if load.step_us < SLOWDOWN_FACTOR * self.baseline_step_us:
            self.slow_reports = 0
            self.baseline_step_us += BASELINE_SMOOTHING * (load.step_us - self.baseline_step_us)
            return
        self.slow_reports += 1
        if self.slow_reports >= SLOWDOWN_REPORTS:
            self.baseline_step_us *= BASELINE_RAISE_FACTOR
            self.reset_to_cold(now)

    def _reported_in_flight(self) -> int:
        return self.load.running + self.load.waiting

    def _earliest_load_time(self) -> float:
        return self.load_taken_at - REPORT_TRANSIT_S

    def _unaccounted_in_flight(self) -> int:
        known = sum(
            1 for record in self.records.values() if record.may_have_run_at(self.load_taken_at)
        )
        return max(0, self._reported_in_flight() - known)

    def _end_orphans(self, now: float) -> None:
        for record in self.records.values():
            expired_before_report = record.lent_at + LOAN_DURATION_S < self._earliest_load_time()
            if expired_before_report and record.released_at is None and record.is_orphaned(now):
                self._end_record(record, now)

    def _check_free(self, request: messages.Borrow, now: float) -> None:
        if self.foreign is None:
            raise exceptions.NotRunError("work in flight not known yet", "lend", self.state.server)
        open_records = [record for record in self.records.values() if record.released_at is None]
        if any(record.holding.alone for record in open_records):
            raise exceptions.NotRunError("a suspect runs alone", "lend", self.state.server)
        used = self.used(now)
        if used >= self.limit or (request.alone and used > 0):
            raise exceptions.NotRunError("no slot free", "lend", self.state.server)


def _holding_of_borrow(request: messages.Borrow) -> messages.Holding:
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


def _holding_of_release(message: messages.Release) -> messages.Holding:
    return messages.Holding(message.loan, message.server, message.incarnation)


def holdings_interval_s(count: int) -> float:
    """Return the interval between reports of a host with this many slots in use, in seconds."""
    return min(
        max(MIN_HOLDINGS_INTERVAL_S, HOLDINGS_INTERVAL_S_PER_SLOT * count), MAX_HOLDINGS_INTERVAL_S
    )
