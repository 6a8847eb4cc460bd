"""Spacing of the starts at one engine over all hosts, so that its prompts can be read in time.

Hosts learn of each other's requests after some tenths of a second. An engine that is new, or the
only one with a place, would get the requests of all hosts in that time. The leader grants starts at
the rate at which the engine reads prompts. Without a leader the hosts go by their views, and
requests that have waited at moments drawn at random.
"""

import random
import typing

import curio

from ebonywheel import clock, messages
from ebonywheel.gateway import balance, inflight, places

# Begins the names of engines where ids of limited servers stand otherwise. Prompts of different
# priorities are counted apart, as an engine reads the more urgent ones first.
PREFIX = "read"
MAX_WAIT_S = 2.0
# Pause before another engine is asked for.
DENIED_PAUSE_S = 0.001


class Grants(typing.Protocol):
    """Asks the leader."""

    async def request(self, request: messages.PermitRequest) -> float | None:
        """Return how long to wait for a permit, 0 if it is granted, None if no leader answers."""


class Pacing:
    """How one request is held back.

    Attributes:
        denied: True once a start has been denied.
        waited: True once it found no place, or a start was denied: others wait, too.
        go_at: When it goes by this host's view if no leader answers, monotonic seconds; 0 before
            none did.
    """

    __slots__ = ("denied", "waited", "go_at")

    def __init__(self):
        self.denied = False
        self.waited = False
        self.go_at = 0.0


class ReadingPace:
    """Obtains starts from the leader.

    Attributes:
        denied_until: When a start may be granted next, by priority and server, monotonic seconds.
    """

    def __init__(self, time_source: clock.Clock, grants: Grants):
        self.clock = time_source
        self.grants = grants
        self.denied_until: dict[tuple[int, str], float] = {}

    def denied(self, context: inflight.RequestContext) -> frozenset[str]:
        """Return the ids of the servers that take no request of this priority just now."""
        now = self.clock.monotonic()
        if any(until <= now for until in self.denied_until.values()):
            self.denied_until = {
                key: until for key, until in self.denied_until.items() if until > now
            }
        priority = context.route.priority
        return frozenset(server for level, server in self.denied_until if level == priority)

    async def acquire(
        self, context: inflight.RequestContext, candidate: balance.Candidate, pacing: Pacing
    ) -> bool:
        """Return whether a generation may start at a server now; pause if not."""
        pause_s = await self._ask(context, candidate, pacing)
        if pause_s > 0:
            pacing.denied = True
            await curio.sleep(pause_s)
        return pause_s <= 0

    async def _ask(
        self, context: inflight.RequestContext, candidate: balance.Candidate, pacing: Pacing
    ) -> float:
        """Return how long to pause before the next choice, 0 if a generation may start."""
        record = candidate.record
        priority = context.route.priority
        own_s = places.read_s(max(1, context.request.prompt.tokens))
        queued_s = places.FIRST_UNREAD_SHARE * context.route.target_latency_s
        wait_s = await self.grants.request(
            messages.PermitRequest(
                f"{PREFIX}{priority}:{record.server}",
                record.born_ms,
                1.0 / own_s,
                max(1.0, queued_s / own_s),
            )
        )
        now = self.clock.monotonic()
        if wait_s is None and not pacing.waited:
            return 0.0
        if wait_s is None:
            # Others lost the leader at the same moment: they go one after the other, and see each
            # other's starts.
            pacing.go_at = pacing.go_at or now + random.uniform(0.0, queued_s)
            return pacing.go_at - now
        if wait_s:
            until = now + min(wait_s, MAX_WAIT_S)
            self.denied_until[priority, record.server] = until
            return DENIED_PAUSE_S
        return 0.0
