"""Idempotency keys: UUIDs of version 7, whose timestamp gives the age of a key."""

import uuid

import result

from ebonywheel import exceptions

MAX_FUTURE_SKEW_MS = 60_000
UUID_VERSION = 7
TIMESTAMP_SHIFT = 80


def parse(text: str) -> result.Result[str, exceptions.NotRunError]:
    """Return a key in canonical form, or an error unless it is a UUID of version 7."""
    try:
        key = uuid.UUID(text)
    except ValueError:
        key = None
    if key is None or key.version != UUID_VERSION:
        return result.Err(
            exceptions.NotRunError(
                "Idempotency-Key must be a UUID of version 7", "check key", status=400
            )
        )
    return result.Ok(str(key))


def created_ms(key: str) -> int:
    """Return the timestamp of a canonical key, in milliseconds since the Unix epoch."""
    return uuid.UUID(key).int >> TIMESTAMP_SHIFT


def make(now_ms: int, random_bits: int) -> str:
    """Return a key with a timestamp, in milliseconds since the Unix epoch, and 74 random bits."""
    high = random_bits >> 62 & 0xFFF
    low = random_bits & ((1 << 62) - 1)
    number = (now_ms & ((1 << 48) - 1)) << TIMESTAMP_SHIFT
    number |= UUID_VERSION << 76 | high << 64 | 0b10 << 62 | low
    return str(uuid.UUID(int=number))
