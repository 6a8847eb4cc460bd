"""Buckets in which delays of answers are counted while a service is rolled out.

Each bucket is wider than the one before by the same factor, so that answers that are several times
slower than others fall at least two buckets higher at any delay.
"""

import math

FIRST_EDGE_MS = 2.0
FACTOR = math.sqrt(2.0)
# The last bucket holds all that is above its lower edge: about 92 s.
BUCKET_COUNT = 33


def bucket_of(delay_ms: float) -> int:
    """Return the bucket of a delay in milliseconds."""
    if delay_ms < FIRST_EDGE_MS:
        return 0
    # The margin keeps a delay that is an edge above it, whatever the rounding.
    bucket = 1 + int(math.log(delay_ms / FIRST_EDGE_MS, FACTOR) + 1e-9)
    return min(bucket, BUCKET_COUNT - 1)


def lower_edge_ms(bucket: int) -> float:
    """Return the shortest delay that is counted in a bucket, in milliseconds."""
    return 0.0 if bucket <= 0 else FIRST_EDGE_MS * FACTOR ** (bucket - 1)


def empty() -> list[int]:
    """Return counts of no delays."""
    return [0] * BUCKET_COUNT
