"""Performance figures of the policy experiment."""

import collections

import msgspec
from hdrh import histogram

from ebonywheel import workload

MAX_TRACKABLE_US = 3_600_000_000
# The part of a gap between tokens beyond this threshold counts as stall time.
STALL_THRESHOLD_S = 0.1
MAX_SMOOTH_STALL_S = 1.0  # more stall time excludes a generation from goodput
BYTES_PER_PROMPT_TOKEN = 4
BYTES_PER_TOKEN_EVENT = 140
# A customer whose weight in the workload is below this counts as small.
SMALL_CUSTOMER_WEIGHT = 10


class Figures(msgspec.Struct):
    """The figures of one simulated run.

    Attributes:
        name: Name of the variant.
        generations: Generations that finished.
        stall_s: Stall time per 1,000 finished generations.
        preemptions: Preemptions per 1,000 finished generations.
        gap_p50_ms: Median time between two tokens; `_p99` and `_p999` are percentiles.
        first_p50_ms: Median time to the first token; `_p95` and `_p99` are percentiles.
        tokens_per_s: Tokens decoded per second.
        goodput: Tokens per second of the generations that finished within the measured period
            with at most `MAX_SMOOTH_STALL_S` of stall time.
        refused: Requests refused as "not run".
        failed: Generations lost in engine crashes.
        fell_over: Engine crashes, those of the warm-up included.
        cross_region_kb: Kilobytes sent between regions.
        small_wait_p95_ms: 95th percentile of the time to the first token of small customers.
        large_wait_p95_ms: 95th percentile of the time to the first token of large customers.
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
    """Collects the figures of a run between the end of the warm-up and the end of the arrivals.

    Attributes:
        start_s: End of the warm-up.
        end_s: End of the arrivals.
        token_gaps: Times between two tokens, in microseconds.
        first_token_waits: Times to the first token, in microseconds.
        small_customer_waits: Those of small customers.
        large_customer_waits: Those of large customers.
    """

    def __init__(self, start_s: float, end_s: float):
        self.start_s = start_s
        self.end_s = end_s
        self.token_gaps = _new_histogram()
        self.first_token_waits = _new_histogram()
        self.small_customer_waits = _new_histogram()
        self.large_customer_waits = _new_histogram()
        self.total_stall_s = 0.0
        self.counts: collections.Counter[str] = collections.Counter()
        self.preemptions = 0
        self.cross_region_bytes = 0

    def record_arrival(self, arrival: workload.Arrival) -> None:
        """Count an arrived request."""
        self.counts["arrived"] += self._in_measured_period(arrival.at_s)

    def record_refusal(self, arrival: workload.Arrival, now: float) -> None:
        """Count a request refused as "not run"."""
        self.counts["refused"] += self._in_measured_period(arrival.at_s)

    def record_start(self, arrival: workload.Arrival, remote: bool) -> None:
        """Count the prompt bytes of a request sent to a server in another region."""
        if remote and self._in_measured_period(arrival.at_s):
            self.cross_region_bytes += arrival.prompt_tokens * BYTES_PER_PROMPT_TOKEN

    def record_first_token(self, arrival: workload.Arrival, now: float) -> None:
        """Record the time to a generation's first token."""
        if not self._in_measured_period(arrival.at_s):
            return
        wait_us = _microseconds(now - arrival.at_s)
        self.first_token_waits.record_value(wait_us)
        is_small = arrival.customer.weight < SMALL_CUSTOMER_WEIGHT
        (self.small_customer_waits if is_small else self.large_customer_waits).record_value(wait_us)

    def record_gap(self, now: float, seconds: float, count: int) -> None:
        """Record the same time between two tokens for `count` generations."""
        if self._in_measured_period(now):
            self.token_gaps.record_value(_microseconds(seconds), count)
            self.total_stall_s += max(0.0, seconds - STALL_THRESHOLD_S) * count

    def record_decoded(self, now: float, tokens: int) -> None:
        """Count decoded tokens."""
        self.counts["tokens"] += tokens * self._in_measured_period(now)

    def record_preemption(self, now: float) -> None:
        """Count a preemption."""
        self.preemptions += self._in_measured_period(now)

    def record_crash(self) -> None:
        """Count an engine crash."""
        self.counts["fell_over"] += 1

    def record_end(
        self,
        arrival: workload.Arrival,
        now: float,
        tokens: int,
        outcome: str,
        remote: bool,
        stall_s: float,
    ) -> None:
        """Count the end of a generation, and the bytes of its events if from another region."""
        if self._in_measured_period(now):
            self.counts[outcome] += 1
            if outcome == "finished" and stall_s <= MAX_SMOOTH_STALL_S:
                self.counts["good"] += tokens
        if remote and self._in_measured_period(arrival.at_s):
            self.cross_region_bytes += tokens * BYTES_PER_TOKEN_EVENT

    def result(self, name: str) -> Figures:
        """Return the figures under the name of the variant."""
        finished = max(self.counts["finished"], 1)
        return Figures(
            name,
            self.counts["finished"],
            round(self.total_stall_s * 1000 / finished, 2),
            round(self.preemptions * 1000 / finished, 1),
            _percentile_ms(self.token_gaps, 50),
            _percentile_ms(self.token_gaps, 99),
            _percentile_ms(self.token_gaps, 99.9),
            _percentile_ms(self.first_token_waits, 50),
            _percentile_ms(self.first_token_waits, 95),
            _percentile_ms(self.first_token_waits, 99),
            round(self.counts["tokens"] / (self.end_s - self.start_s), 1),
            round(self.counts["good"] / (self.end_s - self.start_s), 1),
            self.counts["refused"],
            self.counts["failed"],
            self.counts["fell_over"],
            round(self.cross_region_bytes / 1000, 1),
            _percentile_ms(self.small_customer_waits, 95),
            _percentile_ms(self.large_customer_waits, 95),
        )

    def _in_measured_period(self, at: float) -> bool:
        return self.start_s <= at < self.end_s


def _new_histogram() -> histogram.HdrHistogram:
    return histogram.HdrHistogram(1, MAX_TRACKABLE_US, 3)


def _microseconds(seconds: float) -> int:
    return max(1, int(seconds * 1e6))


def _percentile_ms(recorded: histogram.HdrHistogram, percentile: float) -> float:
    if not recorded.get_total_count():
        return 0.0
    return round(recorded.get_value_at_percentile(percentile) / 1000, 1)
