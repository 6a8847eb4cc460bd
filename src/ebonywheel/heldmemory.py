"""Accounts of the memory that a process holds for its peers.

Whatever a peer can make the process keep is counted here before it is kept. What finds no room is
refused, unless peers that make no progress can be shed for it.
"""

import collections.abc
import math
import os
import pathlib

from ebonywheel import clock, logs, metrics

# Share of the machine's memory that may be held for callers, and for operators' calls besides. The
# rest is for the process itself and for copies that exist for a moment.
CALLERS_SHARE = 7 / 32
OPERATORS_SHARE = 1 / 32
# Fits the largest document of an operator, with some connections.
OPERATORS_MIN_BYTES = 6 * 1024 * 1024
# Larger holdings leave a part of the account to others.
SMALL_BYTES = 64 * 1024
LARGE_SHARE = 3 / 4
# Part of the account that one caller address, customer or route may take.
GROUP_SHARE = 1 / 2
LARGE = "large"
# A peer makes progress when it sends or takes this much.
PROGRESS_BYTES = 4 * 1024
# Peers without progress for this long may be shed to make room.
STALL_S = 1.0
NO_ROOM, TOO_SLOW = "no room", "too slow"
LOG_INTERVAL_S = 1.0
CGROUP_LIMIT = pathlib.Path("/sys/fs/cgroup/memory.max")
PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")


def machine_bytes() -> int:
    """Return the memory of this machine, or of the part of it that this process may use."""
    machine = os.sysconf("SC_PHYS_PAGES") * PAGE_BYTES
    try:
        return min(machine, int(CGROUP_LIMIT.read_text()))
    except (OSError, ValueError):
        return machine


class Holding:
    """What is held for one peer.

    Attributes:
        size: Bytes counted.
        groups: Names of the shares that it counts in.
        shed_reason: Why it was shed, empty if it was not.
        marked_at: When its peer last made progress, monotonic seconds.
        max_wait_s: Time without progress after which it is shed in any case.
        progress_bytes: What its peer has to send or take to make progress.
    """

    __slots__ = (
        "account",
        "size",
        "groups",
        "shed_reason",
        "marked_at",
        "max_wait_s",
        "progress_bytes",
        "_on_shed",
        "_unmarked",
    )

    def __init__(self, account: "Account", groups: tuple[str, ...]):
        self.account = account
        self.size = 0
        self.groups = groups
        self.shed_reason = ""
        self.marked_at = 0.0
        self.max_wait_s = math.inf
        self.progress_bytes = PROGRESS_BYTES
        self._on_shed: collections.abc.Callable[[], None] | None = None
        self._unmarked = 0

    def grow(self, size: int) -> bool:
        """Hold more; return False if there is no room, or this has been shed."""
        return not self.shed_reason and self.account.grow(self, size)

    def force(self, size: int) -> None:
        """Hold more, or less, whatever room there is."""
        self.account.add(self, size)

    def join(self, group: str) -> None:
        """Count in another share from now on."""
        if group not in self.groups:
            self.groups += (group,)
            self.account.groups[group] = self.account.groups.get(group, 0) + self.size

    def release(self) -> None:
        """Hold nothing any more."""
        self.stop_waiting()
        self.account.add(self, -self.size)

    def wait(
        self,
        on_shed: collections.abc.Callable[[], None],
        max_wait_s: float = math.inf,
        progress_bytes: int = PROGRESS_BYTES,
    ) -> None:
        """Let this be shed while its peer makes no progress.

        Args:
            on_shed: Called when it is shed; makes its owner let go of it.
            max_wait_s: Time without progress after which it is shed in any case.
            progress_bytes: What the peer has to send or take to make progress.
        """
        self.max_wait_s = max_wait_s
        self.progress_bytes = progress_bytes
        self._on_shed = on_shed
        self._unmarked = 0
        self._mark()

    def progress(self, size: int) -> None:
        """Record that the peer has sent or taken some bytes."""
        self._unmarked += size
        if self._unmarked >= self.progress_bytes and self._on_shed is not None:
            self._unmarked = 0
            self._mark()

    def stop_waiting(self) -> None:
        """Let this be shed no more."""
        if self._on_shed is not None:
            self._on_shed = None
            self.account.waiting.pop(self, None)

    def shed(self, reason: str) -> None:
        """Make the owner let go of this."""
        on_shed = self._on_shed
        self.shed_reason = reason
        self.release()
        if on_shed is not None:
            on_shed()

    def _mark(self) -> None:
        self.marked_at = self.account.clock.monotonic()
        self.account.waiting.pop(self, None)
        self.account.waiting[self] = None


class Account:
    """Memory held for some kind of peers, up to a bound.

    Attributes:
        name: Names it in metrics and logs.
        limit: Bound in bytes.
        held: Bytes held.
        peak: Most bytes held since `take_peak`.
        groups: Bytes held by share.
        waiting: Holdings that wait for their peers, the one without progress for longest first.
    """

    def __init__(
        self,
        name: str,
        limit: int,
        time_source: clock.Clock,
        process_metrics: metrics.Metrics,
        log: logs.EventLogger,
    ):
        self.name = name
        self.limit = limit
        self.clock = time_source
        self.metrics = process_metrics
        self.log = log
        self.held = 0
        self.peak = 0
        self.groups: dict[str, int] = {}
        self.waiting: dict[Holding, None] = {}
        self.short_count = 0
        self.logged_at = float("-inf")
        process_metrics.gauge(f"held_{name}_bytes", lambda: self.held)
        process_metrics.gauge(f"held_{name}_limit_bytes", lambda: self.limit)

    def hold(self, *groups: str) -> Holding:
        """Return a holding of nothing that counts in some shares."""
        return Holding(self, groups)

    def grow(self, holding: Holding, size: int) -> bool:
        """Add to a holding, for which others may be shed; return False if there is no room."""
        if holding.size + size > SMALL_BYTES:
            holding.join(LARGE)
        short = self._short_groups(holding, size)
        if short and not self._make_room(holding, size, short):
            self._record_shortage("refused")
            return False
        self.add(holding, size)
        return True

    def add(self, holding: Holding, size: int) -> None:
        """Add to a holding whatever room there is."""
        holding.size += size
        self.held += size
        self.peak = max(self.peak, self.held)
        for group in holding.groups:
            held = self.groups.get(group, 0) + size
            if held > 0:
                self.groups[group] = held
            else:
                self.groups.pop(group, None)

    def take_peak(self) -> int:
        """Return the most bytes held since the last call."""
        peak, self.peak = self.peak, self.held
        return peak

    def shed_slow(self) -> None:
        """Shed all whose peers have made no progress for as long as they may."""
        now = self.clock.monotonic()
        for holding in list(self.waiting):
            if now - holding.marked_at >= holding.max_wait_s:
                self.metrics.count("held_slow", account=self.name)
                holding.shed(TOO_SLOW)

    def shed_one(self) -> bool:
        """Shed who has made no progress for longest; return False if nobody is slow."""
        for holding in list(self.waiting):
            if self.clock.monotonic() - holding.marked_at < STALL_S:
                return False
            holding.shed(NO_ROOM)
            self._record_shortage("shed")
            return True
        return False

    def _short_groups(self, holding: Holding, size: int) -> list[str]:
        """Return the shares without room, with an empty name for the whole account."""
        short = [] if self.held + size <= self.limit else [""]
        for group in holding.groups:
            others = self.groups.get(group, 0) - holding.size
            # A large document passes beside small calls of the same address.
            if others > SMALL_BYTES and others + holding.size + size > self._share(group):
                short.append(group)
        return short

    def _share(self, group: str) -> float:
        """Return the most that a share may take, in bytes."""
        return self.limit * (LARGE_SHARE if group == LARGE else GROUP_SHARE)

    def _could_make_room(
        self, holding: Holding, size: int, short: list[str], victims: list[Holding]
    ) -> bool:
        """Return whether shedding these gives the room that is short, lest it be done in vain."""
        for group in short:
            inside = [victim for victim in victims if not group or group in victim.groups]
            held = self.groups.get(group, 0) if group else self.held
            others = held - holding.size - sum(victim.size for victim in inside)
            limit = self._share(group) if group else self.limit
            is_free = bool(group) and others <= SMALL_BYTES
            if not is_free and others + holding.size + size > limit:
                return False
        return True

    def _make_room(self, holding: Holding, size: int, short: list[str]) -> bool:
        """Shed holdings that take the room which is short; return whether there is room now."""
        now = self.clock.monotonic()
        stalled = [
            victim
            for victim in self.waiting
            if now - victim.marked_at >= STALL_S and victim is not holding and victim.size
        ]
        if not self._could_make_room(holding, size, short, stalled):
            return False
        for victim in stalled:
            if "" in short or any(group in victim.groups for group in short):
                victim.shed(NO_ROOM)
                self._record_shortage("shed")
                short = self._short_groups(holding, size)
                if not short:
                    return True
        return False

    def _record_shortage(self, outcome: str) -> None:
        self.metrics.count("held_short", account=self.name, outcome=outcome)
        self.short_count += 1
        now = self.clock.monotonic()
        if now - self.logged_at >= LOG_INTERVAL_S:
            self.log.warning(
                "memory_short",
                account=self.name,
                held=self.held,
                limit=self.limit,
                waiting=len(self.waiting),
                count=self.short_count,
            )
            self.logged_at = now
            self.short_count = 0
