"""What backend servers say of themselves in their answers, beside their limits.

A server may say that it leaves, that it wants nothing from this host for a while, or that it fails
if it has to reject too many requests.
"""

import msgspec

from ebonywheel import kernel, messages
from ebonywheel.gateway import balance, dialect

# A service counts as brittle for this long after an answer that said so: its servers say so in all
# of their answers, and one that has just started has not answered yet.
BRITTLE_S = 5.0
# Share of the rejections that brittle servers bear which the hosts together use.
USABLE_REJECTIONS_SHARE = 0.5
# Share of a brittle server's slots that the hosts together use.
USABLE_SLOTS_SHARE = 0.6
# Weight of the latest answer in the time that answers of a service take.
ANSWER_TIME_SMOOTHING = 0.1
# Longest time for which a host leaves a brittle server alone after a rejection.
MAX_REJECTION_PAUSE_S = 10.0
# A longer pause than this is taken for a mistake.
MAX_PAUSE_S = 3600.0


class Brittleness(msgspec.Struct, frozen=True):
    """What the last answer of a service's servers said of the rejections that they bear.

    Attributes:
        rejections_per_s: Rejections a second that one server bears.
        until: When it no longer counts, monotonic seconds.
    """

    rejections_per_s: float
    until: float


class Pace(msgspec.Struct, frozen=True):
    """How fast all hosts together send to a server whose slots they must not exceed.

    Attributes:
        per_s: Requests a second.
        burst: Requests at once after a pause.
    """

    per_s: float
    burst: float


class Notices:
    """Takes notices from answers over into the states of servers.

    Attributes:
        brittle: Brittleness by service name.
        answer_s: Smoothed time from sending a request to the end of its answer, in seconds, by
            service name.
    """

    def __init__(self, core: kernel.Kernel):
        self.core = core
        self.brittle: dict[str, Brittleness] = {}
        self.answer_s: dict[str, float] = {}

    def observe_answer(
        self,
        record: messages.DirectoryRecord,
        state: balance.ServerState,
        head: dialect.AnswerHead,
        entry_hosts: int,
    ) -> None:
        """Take over what the head of an answer says."""
        now = self.core.clock.monotonic()
        if head.leaving and not state.leaving:
            state.leaving = True
            self.core.log.info("server_leaves", server=record.server)
        if head.rejections_per_s is not None:
            if record.service not in self.brittle:
                self.core.log.warning(
                    "servers_brittle", service=record.service, rejections=head.rejections_per_s
                )
            self.brittle[record.service] = Brittleness(head.rejections_per_s, now + BRITTLE_S)
        if head.pause_s is not None:
            self._pause(state, now + min(head.pause_s, MAX_PAUSE_S))
        if head.not_run and self.is_brittle(record.service):
            self._pause(state, now + self._rejection_pause_s(record.service, entry_hosts))

    def record_answer_time(self, service: str, seconds: float) -> None:
        """Record how long a whole answer took that was no rejection."""
        previous = self.answer_s.get(service, seconds)
        self.answer_s[service] = previous + ANSWER_TIME_SMOOTHING * (seconds - previous)

    def pace_of(self, record: messages.DirectoryRecord) -> Pace | None:
        """Return how fast to send to a server; None unless it is brittle and answers were seen.

        Within the time that one answer takes, the pace and the burst together send no more than
        the server has slots, so that it rejects little however many hosts send.
        """
        answer_s = self.answer_s.get(record.service, 0.0)
        if not answer_s or not self.is_brittle(record.service):
            return None
        slots = max(1, record.slots)
        return Pace(USABLE_SLOTS_SHARE * slots / answer_s, (1.0 - USABLE_SLOTS_SHARE) * slots)

    def _pause(self, state: balance.ServerState, until: float) -> None:
        state.paused_until = max(state.paused_until, until)

    def _rejection_pause_s(self, service: str, entry_hosts: int) -> float:
        """Return the pause that keeps the rejections by one server within what it bears.

        Each host may cause one in this time.
        """
        rejections_per_s = USABLE_REJECTIONS_SHARE * self.brittle[service].rejections_per_s
        if rejections_per_s * MAX_REJECTION_PAUSE_S <= entry_hosts:
            return MAX_REJECTION_PAUSE_S
        return entry_hosts / rejections_per_s

    def is_brittle(self, service: str) -> bool:
        """Return whether the servers of a service fail if they reject too many requests."""
        brittleness = self.brittle.get(service)
        return brittleness is not None and self.core.clock.monotonic() < brittleness.until

    def prune(self) -> None:
        """Forget services that are not brittle any more."""
        for service in [service for service in self.brittle if not self.is_brittle(service)]:
            del self.brittle[service]
            self.core.log.info("servers_not_brittle", service=service)
