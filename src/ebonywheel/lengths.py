"""Estimates of how long a generation will be, given the tokens it has so far.

Lengths are counted in histograms with buckets that grow by a constant factor: one for each
service, and one for each customer of a service. A customer's estimate is blended with its
service's, and the service's with a broad prior; their weight shrinks as observations come in. Old
observations lose weight: all counts are halved whenever a histogram is full.
"""

import array
import bisect
import collections
import math
import typing

import msgspec

# Upper edges of the first and the last bucket.
SHORTEST_TOKENS = 4
LONGEST_TOKENS = 65_536
BUCKETS_PER_DOUBLING = 2
# Total weight at which a histogram is full.
MAX_TOTAL_WEIGHT = 512.0
# Weight of the service's estimate and of the prior, in finished generations.
SERVICE_WEIGHT = 8.0
PRIOR_WEIGHT = 2.0
# The prior is a log-normal distribution.
PRIOR_MEDIAN_TOKENS = 128
PRIOR_SIGMA = 1.5
# An estimate is refreshed on each of the first REFRESH_ALWAYS_COUNT observations, then on one
# in REFRESH_EVERY.
REFRESH_ALWAYS_COUNT = 64
REFRESH_EVERY = 16
MAX_HISTOGRAMS = 16_384
MAX_CACHED_SURVIVALS = 1024
# Least probability to divide by.
MIN_SURVIVAL = 1e-9

# Decode steps ahead at which memory is forecast; a generation adds one token a step.
HORIZON = (
    *range(0, 256, 32),
    *range(256, 512, 64),
    *range(512, 1024, 128),
    *range(1024, 4097, 512),
)
# Probabilities over the horizon are cached for ranges of token counts that grow by this factor.
CACHE_RANGE_FACTOR = 1.1


def _bucket_edges() -> list[int]:
    count = BUCKETS_PER_DOUBLING * int(math.log2(LONGEST_TOKENS / SHORTEST_TOKENS)) + 1
    return [round(SHORTEST_TOKENS * 2 ** (n / BUCKETS_PER_DOUBLING)) for n in range(count)]


# Upper edge of each bucket, in tokens; bucket 0 holds lengths up to `SHORTEST_TOKENS`.
EDGES = _bucket_edges()


class LengthDistribution(typing.Protocol):
    """Distribution of the length of one generation."""

    def over_horizon(self, so_far: int) -> typing.Sequence[float]:
        """Return the probability to continue past each step of `HORIZON`, given `so_far` tokens."""


class Estimator(typing.Protocol):
    """Estimates the lengths of generations.

    `expected_tokens` is the known length of the generation, or 0; only `KnownLengths` uses it.
    """

    def survival(self, service: str, customer: str, expected_tokens: int) -> LengthDistribution:
        """Return the distribution of the length of a customer's generation."""

    def expected(self, service: str, customer: str, expected_tokens: int) -> float:
        """Return the expected length of a new generation, in tokens."""

    def observe(self, service: str, customer: str, tokens: int) -> None:
        """Learn the length of a finished generation."""


class Histogram:
    """Histogram of lengths in which old observations lose weight.

    Attributes:
        counts: Weight of each bucket.
        total: Sum of all weights.
        version: Number of observations so far.
    """

    __slots__ = ("counts", "total", "version")

    def __init__(self):
        self.counts = array.array("f", bytes(4 * len(EDGES)))
        self.total = 0.0
        self.version = 0

    def add(self, tokens: int) -> None:
        """Count one length."""
        if self.total >= MAX_TOTAL_WEIGHT:
            self.counts = array.array("f", (count / 2 for count in self.counts))
            self.total /= 2
        bucket = min(bisect.bisect_left(EDGES, tokens), len(EDGES) - 1)
        self.counts[bucket] += 1
        self.total += 1
        self.version += 1


class Survival:
    """Probability of a length above a number of tokens, interpolated linearly inside buckets.

    Attributes:
        above: Probability of a length above the lower edge of each bucket; the last entry is for
            the upper edge of the last bucket.
        version: Version of the histograms that it was made from.
        rows: Cached results of `over_horizon`, by the logarithm of `so_far` to the base
            `CACHE_RANGE_FACTOR`.
    """

    __slots__ = ("above", "version", "rows")

    def __init__(self, shares: list[float], version: int):
        self.version = version
        self.rows: dict[int, list[float]] = {}
        above = 1.0
        self.above = [1.0]
        for share in shares:
            above -= share
            self.above.append(max(above, 0.0))

    def __call__(self, tokens: float) -> float:
        """Return the probability of a length above `tokens`."""
        if tokens >= LONGEST_TOKENS:
            return 0.0
        bucket = bisect.bisect_left(EDGES, tokens)
        low = EDGES[bucket - 1] if bucket else 0
        fraction = (tokens - low) / (EDGES[bucket] - low)
        return self.above[bucket] + fraction * (self.above[bucket + 1] - self.above[bucket])

    def over_horizon(self, so_far: int) -> list[float]:
        """Return the probability to continue past each step of `HORIZON`, given `so_far` tokens."""
        index = int(math.log(so_far + 1) / math.log(CACHE_RANGE_FACTOR))
        probabilities = self.rows.get(index)
        if probabilities is None:
            reached = max(self(so_far), MIN_SURVIVAL)
            probabilities = self.rows[index] = [
                min(1.0, self(so_far + step) / reached) for step in HORIZON
            ]
        return probabilities


class LengthHistograms:
    """Learns lengths by service and customer.

    Attributes:
        max_customers: Number of customer histograms beyond which the least recently used is
            dropped.
        services: Histogram of each service.
        customers: Histogram of each service and customer, least recently used first.
        cached: Distributions made from the histograms, by service and customer.
    """

    def __init__(self, max_customers: int = MAX_HISTOGRAMS):
        self.max_customers = max_customers
        self.services: dict[str, Histogram] = {}
        self.customers: collections.OrderedDict[tuple[str, str], Histogram] = (
            collections.OrderedDict()
        )
        self.cached: dict[tuple[str, str], Survival] = {}

    def observe(self, service: str, customer: str, tokens: int) -> None:
        """Learn the length of a finished generation."""
        self.services.setdefault(service, Histogram()).add(tokens)
        key = (service, customer)
        histogram = self.customers.setdefault(key, Histogram())
        self.customers.move_to_end(key)
        histogram.add(tokens)
        while len(self.customers) > self.max_customers:
            dropped_key, _ = self.customers.popitem(last=False)
            self.cached.pop(dropped_key, None)

    def survival(self, service: str, customer: str, expected_tokens: int = 0) -> Survival:
        """Return the distribution of the length of a customer's generation."""
        key = (service, customer)
        by_customer = self.customers.get(key)
        by_service = self.services.get(service)
        version = _refresh_version(by_customer) + _refresh_version(by_service)
        survival = self.cached.get(key)
        if survival is not None and survival.version == version:
            return survival
        shares = _PRIOR
        if by_service is not None:
            shares = _blend(by_service, shares, PRIOR_WEIGHT)
        if by_customer is not None:
            shares = _blend(by_customer, shares, SERVICE_WEIGHT)
        survival = Survival(shares, version)
        if len(self.cached) >= MAX_CACHED_SURVIVALS:
            self.cached.clear()
        self.cached[key] = survival
        return survival

    def expected(self, service: str, customer: str, expected_tokens: int = 0) -> float:
        """Return the expected length of a new generation, in tokens."""
        return expected_remaining(self.survival(service, customer), 0)


class KnownLength(msgspec.Struct):
    """Distribution of a length that is known beforehand, in tokens."""

    length: int

    def over_horizon(self, so_far: int) -> list[float]:
        """Return 1 for each step of `HORIZON` before the end and 0 after it."""
        remaining = max(self.length - so_far, 1)
        return [1.0 if step < remaining else 0.0 for step in HORIZON]


class KnownLengths:
    """An oracle that takes the length from each request, as a reference for comparisons."""

    def survival(self, service: str, customer: str, expected_tokens: int) -> KnownLength:
        """Return the distribution of a length that is known."""
        return KnownLength(expected_tokens)

    def expected(self, service: str, customer: str, expected_tokens: int) -> float:
        """Return the known length."""
        return expected_tokens

    def observe(self, service: str, customer: str, tokens: int) -> None:
        """Do nothing, as there is nothing to learn."""


def expected_remaining(survival: typing.Callable[[float], float], so_far: float) -> float:
    """Return the expected number of further tokens of a generation that has reached `so_far`.

    This is the integral of the survival function, by the trapezoidal rule.
    """
    reached = survival(so_far)
    if reached <= 0.0:
        return 0.0
    low, total = so_far, 0.0
    above_low = reached
    for edge in EDGES[bisect.bisect_right(EDGES, so_far) :]:
        above_edge = survival(edge)
        total += (edge - low) * (above_low + above_edge) / 2
        low, above_low = edge, above_edge
    return total / reached


def _refresh_version(histogram: Histogram | None) -> int:
    """Return a number that grows whenever estimates from a histogram should be refreshed."""
    if histogram is None:
        return 0
    return min(histogram.version, REFRESH_ALWAYS_COUNT) + histogram.version // REFRESH_EVERY


def _blend(histogram: Histogram, prior: list[float], prior_weight: float) -> list[float]:
    """Return the share of each bucket, with the prior counted as `prior_weight` observations."""
    weight = histogram.total + prior_weight
    return [
        (count + prior_weight * share) / weight
        for count, share in zip(histogram.counts, prior, strict=True)
    ]


def _prior_shares() -> list[float]:
    """Return the share of each bucket in the prior."""

    def cumulative(tokens: float) -> float:
        score = math.log(tokens / PRIOR_MEDIAN_TOKENS) / PRIOR_SIGMA
        return 0.5 * (1 + math.erf(score / math.sqrt(2)))

    below = [0.0, *(cumulative(edge) for edge in EDGES[:-1]), 1.0]
    return [upper - lower for lower, upper in zip(below, below[1:], strict=False)]


_PRIOR = _prior_shares()
