"""Figures of one run of the policy experiment."""

import collections

import msgspec
from hdrh import histogram

from ebonywheel import workload

HIGHEST_US = 3_600_000_000
# What a gap is too long by counts as stall time.
STALL_S = 0.1
SMOOTH_STALL_S = 1.0
BYTES_PER_TOKEN = 4
EVENT_BYTES = 140
SMALL_CUSTOMER_WEIGHT = 10


class Figures(msgspec.Struct):
    """What one run measured.

    Attributes:
        stall_s: Stall time of 1,000 generations.
        preemptions: Preemptions of 1,000 generations.
        gap_p50_ms: Median time between tokens; the others likewise.
        first_p50_ms: Median time to the first token; the others likewise.
        tokens_per_s: Tokens decoded in a second.
        goodput: Tokens in a second of generations that ended within the run and whose reader saw
            no more than `SMOOTH_STALL_S` of stall time.
        refused: Requests told "not run".
        failed: Generations lost, and engines that fell over.
        cross_region_kb: Kilobytes between regions.
        small_wait_p95_ms: Time to the first token of small customers, 95th percentile.
        large_wait_p95_ms: The same of large ones.
    """

    name: str
    generations: int
    stall_s: float
    preemptions: float
    gap_p50_ms: float
    gap_p99_ms: float
    gap_p999_ms: float
    first_p50_ms: float
    first_p95_ms: float
    first_p99_ms: float
    tokens_per_s: float
    goodput: float
    refused: int
    failed: int
    fell_over: int
    cross_region_kb: float
    small_wait_p95_ms: float
    large_wait_p95_ms: float


class Recorder:
    """Counts what happens between the end of the warm-up and the end of the arrivals."""

    def __init__(self, start_s: float, end_s: float):
        self.start_s = start_s
        self.end_s = end_s
        self.gaps = _histogram()
        self.firsts = _histogram()
        self.small = _histogram()
        self.large = _histogram()
        self.stall_s = 0.0
        self.counts: collections.Counter[str] = collections.Counter()
        self.preemptions = 0
        self.cross_bytes = 0

    def arrived(self, arrival: workload.Arrival) -> None:
        """Note a request."""
        self.counts["arrived"] += self._within(arrival.at)

    def refused(self, arrival: workload.Arrival, now: float) -> None:
        """Note a request told "not run"."""
        self.counts["refused"] += self._within(arrival.at)

    def started(self, arrival: workload.Arrival, remote: bool) -> None:
        """Note a request sent to a server."""
        if remote and self._within(arrival.at):
            self.cross_bytes += arrival.prompt_tokens * BYTES_PER_TOKEN

    def first_token(self, arrival: workload.Arrival, now: float) -> None:
        """Note a generation's first token."""
        if not self._within(arrival.at):
            return
        wait = _us(now - arrival.at)
        self.firsts.record_value(wait)
        small = arrival.customer.weight < SMALL_CUSTOMER_WEIGHT
        (self.small if small else self.large).record_value(wait)

    def gap(self, now: float, seconds: float, count: int) -> None:
        """Note times between tokens."""
        if self._within(now):
            self.gaps.record_value(_us(seconds), count)
            self.stall_s += max(0.0, seconds - STALL_S) * count

    def decoded(self, now: float, tokens: int) -> None:
        """Note tokens decoded."""
        self.counts["tokens"] += tokens * self._within(now)

    def preempted(self, now: float) -> None:
        """Note a preemption."""
        self.preemptions += self._within(now)

    def fell_over(self) -> None:
        """Note that an engine fell over."""
        self.counts["fell_over"] += 1

    def ended(
        self,
        arrival: workload.Arrival,
        now: float,
        tokens: int,
        outcome: str,
        remote: bool,
        stall_s: float,
    ) -> None:
        """Note the end of a generation."""
        if self._within(now):
            self.counts[outcome] += 1
            if outcome == "finished" and stall_s <= SMOOTH_STALL_S:
                self.counts["good"] += tokens
        if remote and self._within(arrival.at):
            self.cross_bytes += tokens * EVENT_BYTES

    def result(self, name: str) -> Figures:
        """Return the figures."""
        finished = max(self.counts["finished"], 1)
        return Figures(
            name,
            self.counts["finished"],
            round(self.stall_s * 1000 / finished, 2),
            round(self.preemptions * 1000 / finished, 1),
            _ms(self.gaps, 50),
            _ms(self.gaps, 99),
            _ms(self.gaps, 99.9),
            _ms(self.firsts, 50),
            _ms(self.firsts, 95),
            _ms(self.firsts, 99),
            round(self.counts["tokens"] / (self.end_s - self.start_s), 1),
            round(self.counts["good"] / (self.end_s - self.start_s), 1),
            self.counts["refused"],
            self.counts["failed"],
            self.counts["fell_over"],
            round(self.cross_bytes / 1000, 1),
            _ms(self.small, 95),
            _ms(self.large, 95),
        )

    def _within(self, at: float) -> bool:
        return self.start_s <= at < self.end_s


def _histogram() -> histogram.HdrHistogram:
    return histogram.HdrHistogram(1, HIGHEST_US, 3)


def _us(seconds: float) -> int:
    return max(1, int(seconds * 1e6))


def _ms(held: histogram.HdrHistogram, percentile: float) -> float:
    if not held.get_total_count():
        return 0.0
    return round(held.get_value_at_percentile(percentile) / 1000, 1)
