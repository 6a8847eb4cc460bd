"""Sequential tests of whether one version of a service answers worse than the others do now.

Each test is a cumulative sum of log likelihood ratios that starts again at zero (CUSUM), so that a
version that turns bad late is found as fast as one that was bad from the start. The rate of bad
answers of the other versions at the same time is the null hypothesis; so a service that is ill
in all versions raises it.
"""

import math

import msgspec

from ebonywheel import rolloutdelays, rolloutevidence

# Rate of failures that callers take for normal, where the other versions have fewer.
USUAL_FAILURES = 0.02
# Failures on top of the others' that callers do not bear, as a part of all answers.
UNBEARABLE_EXCESS = 0.18
MAX_RATE = 0.97
# Answers of the others that are assumed to be usual, so that few of them prove little.
PRIOR_ANSWERS = 10.0
# Callers do not bear it either if this part of the answers takes four times as long.
SLOW_PART = 0.25
SLOW_BUCKETS = 4
# A single slow answer proves no more than this, whatever it is due to.
MAX_DELAY_WEIGHT = 2.0
# A wait that proves less than this proves nothing: requests that were answered sooner speak against
# it, and they are not seen together with those that wait.
MIN_WAIT_WEIGHT = 1.0
# Delays in any bucket that are assumed besides those that were seen, as a part of all.
ANY_DELAY_PART = 0.02
# Fewer answers of the others than this tell nothing about what is slow.
MIN_REFERENCE = 8.0


class Reference:
    """Recent answers of the other versions on one route; older ones count less.

    Attributes:
        answers: Their number.
        failures: Number of those that failed.
        delays: Their delays by bucket.
    """

    __slots__ = ("answers", "failures", "delays")

    def __init__(self):
        self.answers = 0.0
        self.failures = 0.0
        self.delays = [0.0] * rolloutdelays.BUCKET_COUNT

    def add(self, counts: rolloutevidence.Counts, kept: float) -> None:
        """Add answers; `kept` is the part of the earlier ones that still counts."""
        self.answers = self.answers * kept + counts.answers
        self.failures = self.failures * kept + counts.failures
        self.delays = [
            old * kept + new for old, new in zip(self.delays, counts.delays, strict=True)
        ]

    def failure_rate(self) -> float:
        """Return the rate of failures to expect."""
        prior = PRIOR_ANSWERS * USUAL_FAILURES
        return max(USUAL_FAILURES, (self.failures + prior) / (self.answers + PRIOR_ANSWERS))


class Weights(msgspec.Struct, frozen=True):
    """What a bad and a good answer add to a test, given the rate of bad ones to expect."""

    bad: float
    good: float


class DelayWeights(msgspec.Struct, frozen=True):
    """What delays add to a test, by bucket.

    Attributes:
        answers: For answers with a delay.
        waiting: For requests that have waited for a time, and still do.
    """

    answers: list[float]
    waiting: list[float]


def failure_weights(expected_rate: float) -> Weights:
    """Return the log likelihood ratios of an unbearable rate against an expected one."""
    expected = min(expected_rate, MAX_RATE - 0.01)
    unbearable = min(expected + UNBEARABLE_EXCESS, MAX_RATE)
    return Weights(math.log(unbearable / expected), math.log((1.0 - unbearable) / (1.0 - expected)))


def delay_weights(
    usual: Reference, latest: Reference, others_waiting: list[int]
) -> DelayWeights | None:
    """Return the log likelihood ratios of a version that is often slow, None if unknown.

    Args:
        usual: Answers of the other versions over some time.
        latest: Those of this moment: what is slow for all versions is no version's fault.
        others_waiting: Requests at other versions without an answer now, by how long they wait.
    """
    if sum(usual.delays) < MIN_REFERENCE:
        return None
    parts = _delay_parts(usual.delays)
    weights = _delay_weights(parts)
    # The slow answers of this moment are those that are still to come.
    recent = [
        delays + waiting * (weight > 0.0)
        for delays, waiting, weight in zip(
            latest.delays, others_waiting, weights.waiting, strict=True
        )
    ]
    if sum(recent) < 0.5 * MIN_REFERENCE:
        return weights
    recent_parts = _delay_parts(recent)
    return _delay_weights(
        [0.5 * (one + other) for one, other in zip(parts, recent_parts, strict=True)]
    )


def _delay_parts(delays: list[float]) -> list[float]:
    """Return the parts of answers to expect in each bucket of delays."""
    counts = [0.0, *delays, 0.0]
    # Smoothed over neighbours, as a bucket with few answers tells little by itself.
    smooth = [
        0.25 * below + 0.5 * own + 0.25 * above
        for below, own, above in zip(counts, counts[1:], counts[2:], strict=False)
    ]
    total = sum(smooth)
    any_part = ANY_DELAY_PART / len(smooth)
    return [any_part + (1.0 - ANY_DELAY_PART) * count / total for count in smooth]


def _delay_weights(parts: list[float]) -> DelayWeights:
    tails = [sum(parts[bucket:]) for bucket in range(len(parts))]
    faster = [0.0] * SLOW_BUCKETS + parts[:-SLOW_BUCKETS]
    # What would be slower than the last bucket is in it.
    faster[-1] += sum(parts[-SLOW_BUCKETS:])
    faster_tails = [1.0] * SLOW_BUCKETS + tails[:-SLOW_BUCKETS]
    return DelayWeights(
        [_slow_ratio(slow, usual) for slow, usual in zip(faster, parts, strict=True)],
        [_wait_ratio(slow, usual) for slow, usual in zip(faster_tails, tails, strict=True)],
    )


def _slow_ratio(slow: float, usual: float) -> float:
    ratio = (1.0 - SLOW_PART) + SLOW_PART * slow / usual
    return min(MAX_DELAY_WEIGHT, math.log(ratio))


def _wait_ratio(slow: float, usual: float) -> float:
    ratio = _slow_ratio(slow, usual)
    return ratio if ratio >= MIN_WAIT_WEIGHT else 0.0


class SequentialTest:
    """One test.

    Attributes:
        value: The sum since its last restart at zero.
        extra: What answers that have not come yet add at present.
    """

    __slots__ = ("value", "extra")

    def __init__(self):
        self.value = 0.0
        self.extra = 0.0

    def add(self, increment: float, extra: float = 0.0) -> None:
        """Add the log likelihood ratio of new answers, and replace that of those to come."""
        self.value = max(0.0, self.value + increment)
        self.extra = extra

    def level(self) -> float:
        """Return the evidence for a bad version; 0 for none."""
        return self.value + self.extra
