"""How fast and how reliably backend servers answer, as known to an entry host.

Each host sees a few answers of each server only, so the hosts put together what they saw through
the control hosts. A server that resets the requests of several hosts is left alone by all of them
at once; they try it again at different times, so that it is not overrun when it recovers.
"""

import collections.abc
import random

import msgspec

from ebonywheel import directory, kernel, messages, serverpaces
from ebonywheel.gateway import balance, dialect

# Resets by at least this many hosts tell of the server rather than of one host's way to it.
RESETTING_HOSTS = 2
# How long after the last reset a server is left alone, and over which further time hosts return.
AVOID_S = 2.0
RETURN_SPREAD_S = 2.0
# Time within which a changed figure is named in watch requests: twice the longest wait of a watch
# at a control host that is not the nearest, so that one lost request does not lose it.
TELL_FOR_S = 1.2
# A stream is looked at in windows of this length, each of which has kept its target or not.
WINDOW_S = 1.0
# Pauses longer than this share of the target count as over it: the caller sees the delay of the
# way as well.
LATE_SHARE = 0.95


class Own(msgspec.Struct):
    """What this host saw of a server.

    Attributes:
        reset_at: When a request was reset last without an answer since, monotonic seconds.
        told: The sums as told last.
        told_at: When they were told first, monotonic seconds.
        observed_at: When anything was observed last, monotonic seconds.
        told_reset: Whether a reset was told with them.
    """

    sums: serverpaces.Sums
    reset_at: float = float("-inf")
    told: serverpaces.Sums | None = None
    told_at: float = float("-inf")
    observed_at: float = 0.0
    told_reset: bool = False


class StreamWindows:
    """The windows of one stream at one server.

    Attributes:
        began_at: When the window began, monotonic seconds; 0 before the first event.
        last_at: When events arrived last, monotonic seconds.
        longest_s: Longest pause of the window.
    """

    __slots__ = ("began_at", "last_at", "longest_s")

    def __init__(self):
        self.began_at = self.last_at = self.longest_s = 0.0

    def record(self, target_s: float, waiting_since: float, now: float) -> bool | None:
        """Record events that arrived.

        Args:
            target_s: Target for the longest pause.
            waiting_since: When this host began to wait for them, monotonic seconds: a caller that
                reads slowly makes no pause of the server.
            now: Monotonic seconds.

        Returns:
            Whether the window that ends with them was late; None while it goes on.
        """
        if not self.began_at:
            self.began_at = self.last_at = now
            return None
        self.longest_s = max(self.longest_s, now - max(self.last_at, waiting_since))
        self.last_at = now
        if now - self.began_at < WINDOW_S:
            return None
        late = self.longest_s > LATE_SHARE * target_s
        self.began_at, self.longest_s = now, 0.0
        return late


class Paces:
    """Keeps what all hosts saw of each server in the state of the server.

    Attributes:
        state_of: Returns the state of a server's incarnation.
        own: What this host saw.
    """

    def __init__(
        self,
        core: kernel.Kernel,
        state_of: collections.abc.Callable[[directory.IncarnationKey], balance.ServerState],
    ):
        self.core = core
        self.state_of = state_of
        self.own: dict[directory.IncarnationKey, Own] = {}

    # -- observation -------------------------------------------------------------------------

    def observe_head(self, record: messages.DirectoryRecord, head: dialect.AnswerHead) -> None:
        """Take over what the head of an answer states of the time that work takes."""
        if head.load is not None and head.load.stretch is not None:
            sums = self._own(record).sums
            sums.stretch += head.load.stretch
            sums.stretches += 1

    def observe_answer(
        self, record: messages.DirectoryRecord, failed: bool, work_s: float | None
    ) -> None:
        """Record a whole answer.

        Args:
            record: The server.
            failed: Whether the answer says that the server failed.
            work_s: How long it took, in seconds; None for streams.
        """
        own = self._own(record)
        own.reset_at = float("-inf")
        own.sums.answers += 1
        own.sums.failures += failed
        if work_s is not None and not failed:
            own.sums.works += 1
            own.sums.work_s += work_s

    def observe_failure(self, record: messages.DirectoryRecord, reset: bool) -> None:
        """Record that no answer came, or no whole one: in time, or until the server's reset."""
        own = self._own(record)
        own.sums.answers += 1
        own.sums.failures += 1
        if reset:
            own.reset_at = self.core.clock.monotonic()

    def observe_events(
        self,
        record: messages.DirectoryRecord,
        windows: StreamWindows,
        target_s: float,
        waiting_since: float,
    ) -> None:
        """Record events of a stream with a target for its pauses; see `StreamWindows.record`."""
        late = windows.record(target_s, waiting_since, self.core.clock.monotonic())
        if late is not None:
            sums = self._own(record).sums
            sums.windows += 1
            sums.late_windows += late

    def observe_first_event(
        self, record: messages.DirectoryRecord, tokens: int, sent_at: float
    ) -> None:
        """Record that a server has read prompts, of a stream and in front of it, since a time."""
        sums = self._own(record).sums
        sums.read_tokens += tokens
        sums.read_s += self.core.clock.monotonic() - sent_at

    def _own(self, record: messages.DirectoryRecord) -> Own:
        now = self.core.clock.monotonic()
        key = (record.server, record.born_ms)
        own = self.own.get(key)
        if own is None:
            own = self.own[key] = Own(serverpaces.Sums(updated_at=now))
        own.sums.decay(now)
        own.observed_at = now
        return own

    # -- exchange ----------------------------------------------------------------------------

    def reports(self) -> list[messages.ServerPace]:
        """Return what is new to the control hosts of what this host saw."""
        now = self.core.clock.monotonic()
        items = []
        for key, own in self.own.items():
            reset = now - own.reset_at < serverpaces.RESET_S
            if self._is_due(own, reset, now):
                own.sums.decay(now)
                own.told = msgspec.structs.replace(own.sums)
                own.told_at = now
                own.told_reset = reset
            if own.told is not None and now - own.told_at < TELL_FOR_S:
                age_ms = int((now - own.reset_at) * serverpaces.MS_PER_S) if reset else 0
                items.append(serverpaces.encode(key, own.told, int(reset), age_ms))
        return items

    def _is_due(self, own: Own, reset: bool, now: float) -> bool:
        if own.told is None or reset != own.told_reset or own.reset_at > own.told_at:
            return True
        told_s = now - own.told_at
        if told_s < serverpaces.TELL_INTERVAL_S or own.observed_at <= own.told_at:
            return False
        if told_s >= serverpaces.RETELL_S:
            return True
        # What was told has decayed since at the control hosts.
        told = msgspec.structs.replace(own.told)
        told.decay(now)
        growth = own.sums.weight() - told.weight()
        return growth > serverpaces.TOLD_GROWTH * told.weight()

    def merge(self, items: list[messages.ServerPace]) -> None:
        """Take over what all hosts saw."""
        now = self.core.clock.monotonic()
        for item in items:
            state = self.state_of((item.server, item.born_ms))
            state.seen = serverpaces.decode(item, now)
            if item.reset_hosts >= RESETTING_HOSTS:
                self._avoid(item, state, now - item.reset_age_ms / serverpaces.MS_PER_S)

    def _avoid(
        self, item: messages.ServerPace, state: balance.ServerState, reset_at: float
    ) -> None:
        if reset_at + AVOID_S <= state.avoided_until:
            return
        now = self.core.clock.monotonic()
        if state.avoided_until <= now:
            self.core.log.warning("server_resets", server=item.server, hosts=item.reset_hosts)
            self.core.metrics.count("servers_avoided")
        state.avoided_until = reset_at + AVOID_S + random.uniform(0.0, RETURN_SPREAD_S)

    def prune(self) -> None:
        """Forget servers of which nothing was seen for long."""
        oldest = self.core.clock.monotonic() - serverpaces.HOLD_S
        self.own = {key: own for key, own in self.own.items() if own.sums.updated_at > oldest}
