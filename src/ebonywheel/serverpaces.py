"""How fast and how reliably backend servers answer, as sums over the answers that all hosts got.

Each entry host adds up what it saw of a server; old answers count less and less. Sums of several
hosts can be added, so that a control host keeps the latest sums of each host and tells the totals.
"""

import math

import msgspec

from ebonywheel import clock, directory, messages

# Time after which what was seen of a server's speed counts half: servers that share their machines
# change it several times a second, and keep their kind as long as they run.
SPEED_HALF_LIFE_S = 15.0
# The same for failures, which begin and end within seconds.
FAILURE_HALF_LIFE_S = 4.0
# Sums that nobody renewed for this time are forgotten.
HOLD_S = 60.0
# A reset counts for this time, unless the host has had an answer since.
RESET_S = 5.0
# Sums are told again when they have grown by this share, and resets at once.
TOLD_GROWTH = 0.2
# Between two tellings of one server's sums, unless a request was reset.
TELL_INTERVAL_S = 1.0
# Time after which sums are told again if anything was seen since: a failure that takes the place of
# a good answer makes them no larger.
RETELL_S = 3.0
# A larger sum is beyond all traffic, and comes from a faulty host.
MAX_SUM = 1e12
MS_PER_S = 1000


class Sums(msgspec.Struct):
    """What was seen of a server, with old answers decayed.

    Attributes:
        answers: Whole answers and failures.
        failures: Those that failed.
        work_s: Time of whole answers that are no streams, in seconds.
        works: Number of those answers.
        windows: Seconds of streams with a target for pauses.
        late_windows: Those with a pause over the target.
        read_tokens: Prompt tokens read, of a stream and of those in front of it.
        read_s: Time to the first event, in seconds.
        stretch: What answers stated of the time that work takes, 1 for the usual time.
        stretches: Number of those answers.
        updated_at: Time to which the sums have decayed, monotonic seconds.
    """

    answers: float = 0.0
    failures: float = 0.0
    work_s: float = 0.0
    works: float = 0.0
    windows: float = 0.0
    late_windows: float = 0.0
    read_tokens: float = 0.0
    read_s: float = 0.0
    stretch: float = 0.0
    stretches: float = 0.0
    updated_at: float = 0.0

    def decay(self, now: float) -> None:
        """Let the sums decay to a time."""
        age_s = max(0.0, now - self.updated_at)
        for name, half_life_s in SUMMED.items():
            setattr(self, name, getattr(self, name) * 0.5 ** (age_s / half_life_s))
        self.updated_at = now

    def add(self, other: "Sums", now: float) -> None:
        """Add other sums, decayed to a time; these must have decayed to it."""
        age_s = max(0.0, now - other.updated_at)
        for name, half_life_s in SUMMED.items():
            added = getattr(other, name) * 0.5 ** (age_s / half_life_s)
            setattr(self, name, getattr(self, name) + added)

    def summary(self) -> str:
        """Return the sums on which the choice of a server for a stream rests, for the log."""
        read_ms = 1e6 * self.read_s / self.read_tokens if self.read_tokens else 0.0
        stretch = self.stretch / self.stretches if self.stretches else 0.0
        return (
            f"late {self.late_windows:.1f}/{self.windows:.1f} s, "
            f"{read_ms:.0f} ms for 1000 tokens, stretch {stretch:.2f}"
        )

    def weight(self) -> float:
        """Return how much was seen."""
        return self.answers + self.windows + self.works


# Half-life of each sum, in seconds.
SUMMED = {
    name: FAILURE_HALF_LIFE_S if name in ("answers", "failures") else SPEED_HALF_LIFE_S
    for name in Sums.__struct_fields__
    if name != "updated_at"
}


def decode(item: messages.ServerPace, now: float) -> Sums:
    """Return the sums of a message; malformed ones count as nothing seen."""
    values = [getattr(item, name) for name in SUMMED]
    if not all(0.0 <= value < MAX_SUM for value in values):
        return Sums(updated_at=now)
    return Sums(*values, updated_at=now)


class HostPace(msgspec.Struct):
    """What one entry host reported of a server.

    Attributes:
        reset_at: When a request of the host was reset last without an answer since, monotonic
            seconds; negative infinity for never.
    """

    sums: Sums
    reset_at: float


class Pace(msgspec.Struct):
    """What all entry hosts reported of a server.

    Attributes:
        by_host: Reports by host.
        total: Their total as it is told.
        news_at: When it was made, monotonic seconds.
        changed: Whether there were reports since.
        urgent: Whether one of them told of a reset, or that its host had an answer since.
    """

    by_host: dict[str, HostPace] = {}
    total: messages.ServerPace = msgspec.field(default_factory=messages.ServerPace)
    news_at: float = float("-inf")
    changed: bool = False
    urgent: bool = False


class ServerPaces:
    """Latest sums of each server, by id and start of its process, from all entry hosts."""

    def __init__(self, time_source: clock.Clock):
        self.clock = time_source
        self.entries: dict[directory.IncarnationKey, Pace] = {}

    def merge(self, host: str, items: list[messages.ServerPace]) -> None:
        """Take over what an entry host reported; the same report again changes nothing."""
        now = self.clock.monotonic()
        for item in items:
            entry = self.entries.setdefault((item.server, item.born_ms), Pace())
            known = entry.by_host.get(host)
            reset_at = now - item.reset_age_ms / MS_PER_S if item.reset_hosts else float("-inf")
            sums = decode(item, now)
            if known is not None and math.isinf(known.reset_at) == math.isinf(reset_at):
                if known.sums == msgspec.structs.replace(sums, updated_at=known.sums.updated_at):
                    continue
            entry.by_host[host] = HostPace(sums, reset_at)
            entry.changed = True
            had_reset = known is not None and not math.isinf(known.reset_at)
            entry.urgent = entry.urgent or had_reset or not math.isinf(reset_at)

    def changes(self, since: float) -> list[messages.ServerPace]:
        """Return the totals of the servers of which there was news at a time or later.

        A total is made once for all askers, at most once a second unless a request was reset.
        """
        now = self.clock.monotonic()
        for key, entry in self.entries.items():
            due = entry.urgent or now - entry.news_at >= TELL_INTERVAL_S
            if entry.changed and due:
                entry.total = self._total(key, entry, now)
                entry.news_at = now
                entry.changed = entry.urgent = False
        return [entry.total for entry in self.entries.values() if entry.news_at >= since]

    def _total(self, key: directory.IncarnationKey, entry: Pace, now: float) -> messages.ServerPace:
        total = Sums(updated_at=now)
        for reported in entry.by_host.values():
            total.add(reported.sums, now)
        resets = [
            reported.reset_at
            for reported in entry.by_host.values()
            if now - reported.reset_at < RESET_S
        ]
        age_ms = int((now - max(resets)) * MS_PER_S) if resets else 0
        return encode(key, total, len(resets), age_ms)

    def prune(self) -> None:
        """Forget what is too old."""
        oldest = self.clock.monotonic() - HOLD_S
        for key in list(self.entries):
            entry = self.entries[key]
            entry.by_host = {
                host: reported
                for host, reported in entry.by_host.items()
                if reported.sums.updated_at > oldest
            }
            if not entry.by_host:
                del self.entries[key]


def encode(
    key: directory.IncarnationKey, sums: Sums, reset_hosts: int, reset_age_ms: int
) -> messages.ServerPace:
    """Return sums as a message."""
    values = {name: getattr(sums, name) for name in SUMMED}
    return messages.ServerPace(
        key[0], key[1], reset_hosts=reset_hosts, reset_age_ms=reset_age_ms, **values
    )
