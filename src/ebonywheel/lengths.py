"""Estimates of how long a generation goes on, given the tokens it has so far.

Lengths are counted in histograms with buckets that grow by a constant factor: one for each
service, and one for each customer of a service. A customer's estimate leans on its service's as
long as it has few finished generations, and a new service's on a broad prior. Old observations
fade: all counts are halved whenever a histogram is full.
"""

import array
import bisect
import collections
import math
import typing

import msgspec

SHORTEST_TOKENS = 4
LONGEST_TOKENS = 65_536
BUCKETS_PER_DOUBLING = 2
FULL_COUNT = 512.0
# Finished generations that a service's estimate, and the prior, count for.
SERVICE_WEIGHT = 8.0
PRIOR_WEIGHT = 2.0
PRIOR_MEDIAN_TOKENS = 128
PRIOR_SIGMA = 1.5
# Estimates follow each observation up to a few, then each of a number of observations.
FEW_COUNT = 64
REFRESH_EVERY = 16
MOST_HISTOGRAMS = 16_384
MOST_CACHED = 1024
MIN_SURVIVAL = 1e-9

# Steps ahead at which the memory is forecast.
HORIZON = (
    *range(0, 256, 32),
    *range(256, 512, 64),
    *range(512, 1024, 128),
    *range(1024, 4097, 512),
)
# Rows of a forecast are kept for token counts this far apart, relative to the count.
ROW_STEP = 1.1


def _edges() -> list[int]:
    count = BUCKETS_PER_DOUBLING * int(math.log2(LONGEST_TOKENS / SHORTEST_TOKENS)) + 1
    return [round(SHORTEST_TOKENS * 2 ** (n / BUCKETS_PER_DOUBLING)) for n in range(count)]


# Upper edge of each bucket, in tokens; bucket 0 holds lengths up to `SHORTEST_TOKENS`.
EDGES = _edges()


class Forecast(typing.Protocol):
    """Tells how probably one generation goes on."""

    def row(self, so_far: int) -> typing.Sequence[float]:
        """Return the probability to go on after each step of `HORIZON`, given `so_far` tokens."""


class Estimator(typing.Protocol):
    """Tells how probably generations go on."""

    def survival(self, service: str, customer: str, expected_tokens: int) -> Forecast:
        """Return the forecast for a generation of a customer."""

    def expected(self, service: str, customer: str, expected_tokens: int) -> float:
        """Return the expected length of a new generation, in tokens."""

    def observe(self, service: str, customer: str, tokens: int) -> None:
        """Learn the length of a finished generation."""


class Histogram:
    """Lengths in buckets, fading with age.

    Attributes:
        counts: Weight of each bucket.
        total: Sum of all weights.
        version: Grows with each observation.
    """

    __slots__ = ("counts", "total", "version")

    def __init__(self):
        self.counts = array.array("f", bytes(4 * len(EDGES)))
        self.total = 0.0
        self.version = 0

    def add(self, tokens: int) -> None:
        """Count one length."""
        if self.total >= FULL_COUNT:
            self.counts = array.array("f", (count / 2 for count in self.counts))
            self.total /= 2
        bucket = min(bisect.bisect_left(EDGES, tokens), len(EDGES) - 1)
        self.counts[bucket] += 1
        self.total += 1
        self.version += 1


class Survival:
    """Probability of a length above a number of tokens, linear inside buckets."""

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
        part = (tokens - low) / (EDGES[bucket] - low)
        return self.above[bucket] + part * (self.above[bucket + 1] - self.above[bucket])

    def row(self, so_far: int) -> list[float]:
        """Return the probability to go on after each step of `HORIZON`, given `so_far` tokens."""
        number = int(math.log(so_far + 1) / math.log(ROW_STEP))
        held = self.rows.get(number)
        if held is None:
            at = max(self(so_far), MIN_SURVIVAL)
            held = self.rows[number] = [min(1.0, self(so_far + step) / at) for step in HORIZON]
        return held


class LengthHistograms:
    """Learns lengths by service and customer; bounded by dropping the least recently used.

    Attributes:
        services: Histogram of each service.
        customers: Histogram of each service and customer, least recently used first.
    """

    def __init__(self, most: int = MOST_HISTOGRAMS):
        self.most = most
        self.services: dict[str, Histogram] = {}
        self.customers: collections.OrderedDict[tuple[str, str], Histogram] = (
            collections.OrderedDict()
        )
        self.cached: dict[tuple[str, str], Survival] = {}

    def observe(self, service: str, customer: str, tokens: int) -> None:
        """Learn the length of a finished generation."""
        self.services.setdefault(service, Histogram()).add(tokens)
        key = (service, customer)
        held = self.customers.setdefault(key, Histogram())
        self.customers.move_to_end(key)
        held.add(tokens)
        while len(self.customers) > self.most:
            dropped, _ = self.customers.popitem(last=False)
            self.cached.pop(dropped, None)

    def survival(self, service: str, customer: str, expected_tokens: int = 0) -> Survival:
        """Return the probability of a length above a number of tokens, as a function."""
        key = (service, customer)
        own = self.customers.get(key)
        whole = self.services.get(service)
        version = _coarse(own) + _coarse(whole)
        held = self.cached.get(key)
        if held is not None and held.version == version:
            return held
        shares = _PRIOR
        if whole is not None:
            shares = _blend(whole, shares, PRIOR_WEIGHT)
        if own is not None:
            shares = _blend(own, shares, SERVICE_WEIGHT)
        held = Survival(shares, version)
        if len(self.cached) >= MOST_CACHED:
            self.cached.clear()
        self.cached[key] = held
        return held

    def expected(self, service: str, customer: str, expected_tokens: int = 0) -> float:
        """Return the expected length of a new generation, in tokens."""
        return remaining(self.survival(service, customer), 0)


class KnownLength(msgspec.Struct):
    """Forecast of a generation whose length is known."""

    length: int

    def row(self, so_far: int) -> list[float]:
        """Return 1 for each step of `HORIZON` before the end and 0 after it."""
        left = max(self.length - so_far, 1)
        return [1.0 if step < left else 0.0 for step in HORIZON]


class KnownLengths:
    """An oracle: believes the length that comes with each request."""

    def survival(self, service: str, customer: str, expected_tokens: int) -> KnownLength:
        """Return a step function at the known length."""
        return KnownLength(expected_tokens)

    def expected(self, service: str, customer: str, expected_tokens: int) -> float:
        """Return the known length."""
        return expected_tokens

    def observe(self, service: str, customer: str, tokens: int) -> None:
        """Learn nothing."""


def remaining(survival: typing.Callable[[float], float], so_far: float) -> float:
    """Return the expected further tokens, given that `so_far` did not end the generation."""
    at = survival(so_far)
    if at <= 0.0:
        return 0.0
    low, total = so_far, 0.0
    before = at
    for edge in EDGES[bisect.bisect_right(EDGES, so_far) :]:
        above = survival(edge)
        total += (edge - low) * (before + above) / 2
        low, before = edge, above
    return total / at


def _coarse(histogram: Histogram | None) -> int:
    """Return a number that changes when estimates should be made anew, seldom once many count."""
    if histogram is None:
        return 0
    return min(histogram.version, FEW_COUNT) + histogram.version // REFRESH_EVERY


def _blend(histogram: Histogram, prior: list[float], prior_weight: float) -> list[float]:
    weight = histogram.total + prior_weight
    return [
        (count + prior_weight * share) / weight
        for count, share in zip(histogram.counts, prior, strict=True)
    ]


def _prior() -> list[float]:
    def below(tokens: float) -> float:
        score = math.log(tokens / PRIOR_MEDIAN_TOKENS) / PRIOR_SIGMA
        return 0.5 * (1 + math.erf(score / math.sqrt(2)))

    marks = [0.0, *(below(edge) for edge in EDGES[:-1]), 1.0]
    return [after - before for before, after in zip(marks, marks[1:], strict=False)]


_PRIOR = _prior()
