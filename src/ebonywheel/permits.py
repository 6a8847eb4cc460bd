"""Permits to send requests to backend servers that have stated a limit.

Only the leader grants them, so that all entry hosts together stay within the limit.
"""

import typing

import msgspec

from ebonywheel import clock, directory, messages

# How long an entry host waits for a permit: two one-way delays between regions, twice, as the
# control host that it asks may have to ask the leader, and a busy control host.
TIMEOUT_S = 0.3
# Permits that may be granted at once after a pause, in seconds of the limit, and at least one.
BURST_S = 0.5
MIN_BURST = 1.0
MS_PER_S = 1000
# A server that nobody asked about for this long is forgotten.
FORGET_S = 60.0
MAX_SERVERS = 4096


class Bucket(msgspec.Struct):
    """Token bucket of one server; starts empty, as another leader may have granted before.

    Attributes:
        updated_at: When `tokens` was last updated, monotonic seconds.
    """

    updated_at: float
    tokens: float = 0.0


class Permits:
    """Grants permits, at the rate that each server states.

    Attributes:
        check_leading: Raises an error unless this host leads with a lease.
        buckets: Token buckets by id and start of the server's process, longest unused first.
    """

    def __init__(self, time_source: clock.Clock, check_leading: typing.Callable[[str], None]):
        self.clock = time_source
        self.check_leading = check_leading
        self.buckets: dict[directory.IncarnationKey, Bucket] = {}

    def grant(self, request: messages.PermitRequest) -> messages.PermitReply:
        """Grant a permit, or tell when one can be granted.

        Raises:
            NotLeaderError: This host is not the leader.
        """
        self.check_leading("grant permit")
        now = self.clock.monotonic()
        key = (request.server, request.born_ms)
        bucket = self.buckets.pop(key, None) or Bucket(now)
        self._forget_unused(now)
        self.buckets[key] = bucket
        if not request.per_s > 0:
            return messages.PermitReply(False, int(FORGET_S * MS_PER_S))
        burst = max(MIN_BURST, request.burst or default_burst(request.per_s))
        earned = (now - bucket.updated_at) * request.per_s
        bucket.tokens = min(burst, bucket.tokens + earned)
        bucket.updated_at = now
        if bucket.tokens < 1.0:
            wait_s = (1.0 - bucket.tokens) / request.per_s
            return messages.PermitReply(False, 1 + int(wait_s * MS_PER_S))
        bucket.tokens -= 1.0
        return messages.PermitReply(True)

    def _forget_unused(self, now: float) -> None:
        while self.buckets:
            key, bucket = next(iter(self.buckets.items()))
            if now - bucket.updated_at <= FORGET_S and len(self.buckets) < MAX_SERVERS:
                return
            del self.buckets[key]


def default_burst(per_s: float) -> float:
    """Return the permits that may be granted at once at a rate unless a request asks for fewer."""
    return max(MIN_BURST, BURST_S * per_s)
