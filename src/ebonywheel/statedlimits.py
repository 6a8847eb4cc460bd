"""What backend servers stated about their limits, merged from the answers that all hosts got."""

import msgspec

from ebonywheel import clock, directory, messages

# A limit that no newer answer confirms is forgotten after this time.
HOLD_S = 60.0
# That a limit is still stated is passed on at this interval, a change of it at once.
CONFIRM_INTERVAL_S = 10.0
MS_PER_S = 1000


class StatedLimit(msgspec.Struct):
    """What a server's latest answer stated.

    Attributes:
        per_s: Requests per second that it takes from all entry hosts together, None for no limit.
        answered_at: When the answer arrived, monotonic seconds.
        news_at: When this host learned of the change, or of a confirmation to be passed on,
            monotonic seconds.
    """

    per_s: float | None
    answered_at: float
    news_at: float


class StatedLimits:
    """The latest known statement of each server, by id and start of its process."""

    def __init__(self, time_source: clock.Clock):
        self.clock = time_source
        self.entries: dict[directory.IncarnationKey, StatedLimit] = {}

    def observe(
        self, key: directory.IncarnationKey, per_s: float | None, answered_at: float
    ) -> None:
        """Take a statement over if it is newer."""
        known = self.entries.get(key)
        if known is not None and answered_at <= known.answered_at:
            return
        news_at = self.clock.monotonic()
        if known is not None and known.per_s == per_s:
            if news_at - known.news_at < CONFIRM_INTERVAL_S:
                news_at = known.news_at
        self.entries[key] = StatedLimit(per_s, answered_at, news_at)

    def merge(self, items: list[messages.ServerLimit]) -> None:
        """Take over newer statements that another host received."""
        now = self.clock.monotonic()
        for item in items:
            key = (item.server, item.born_ms)
            per_s = item.per_s if item.stated else None
            self.observe(key, per_s, now - item.age_ms / MS_PER_S)

    def changes(self, since: float) -> list[messages.ServerLimit]:
        """Return the statements that were news to this host at a time or later."""
        now = self.clock.monotonic()
        return [
            messages.ServerLimit(
                server,
                born_ms,
                entry.per_s is not None,
                entry.per_s or 0.0,
                max(0, int((now - entry.answered_at) * MS_PER_S)),
            )
            for (server, born_ms), entry in self.entries.items()
            if entry.news_at >= since and now - entry.answered_at < HOLD_S
        ]

    def limit_of(self, key: directory.IncarnationKey) -> float | None:
        """Return a server's limit in requests per second, None for no limit."""
        entry = self.entries.get(key)
        if entry is None or self.clock.monotonic() - entry.answered_at >= HOLD_S:
            return None
        return entry.per_s

    def prune(self) -> None:
        """Forget statements that are too old."""
        oldest = self.clock.monotonic() - HOLD_S
        self.entries = {
            key: entry for key, entry in self.entries.items() if entry.answered_at > oldest
        }
