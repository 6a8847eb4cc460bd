"""Asking for permits to send requests to limited or brittle servers, and suspect requests.

All hosts together send requests that may crash servers one at a time, so that the control hosts can
decide on each before the next.
"""

import curio

from ebonywheel import exceptions, kernel, messages, permits, watcher
from ebonywheel.gateway import balance, view

# A permit that arrives this late is not used: the leader may have granted others since.
VALID_S = 0.5
# When the leader is asked again after it did not answer.
RETRY_S = 1.0
MIN_WAIT_S = 0.02
MAX_WAIT_S = 1.0
# Requests per second that a server gets if it states less: its answers tell when the limit changes.
MIN_LIMIT_PER_S = 0.05
MS_PER_S = 1000
# Suspect requests that all hosts together send in a second, of those with one fingerprint. A crash
# is decided on within a few tenths of a second.
TRIALS_PER_S = 2.0
# Longest wait for a permit to send a suspect request.
MAX_TRIAL_WAIT_S = 1.0
# Begins the names of fingerprints where servers' ids stand otherwise.
TRIAL_PREFIX = "trial:"


class PermitClient:
    """Obtains permits from the leader, or from this host's part of the limit without one.

    Attributes:
        leaderless_until: Until when no leader is asked, as none answered; monotonic seconds.
    """

    def __init__(
        self, core: kernel.Kernel, entry_view: view.EntryView, control_watcher: watcher.Watcher
    ):
        self.core = core
        self.view = entry_view
        self.watcher = control_watcher
        self.leaderless_until = 0.0

    async def acquire(self, record: messages.DirectoryRecord) -> bool:
        """Return whether a request may be sent to a server now.

        If not, the server's state tells until when it is not to be chosen.
        """
        state = self.view.state_of(record)
        request = self._make_request(record, state)
        if request is None:
            return True
        wait_s = await self._request_permit(request)
        if wait_s is None:
            wait_s = self._take_own_part(state, request.per_s)
        else:
            state.own_part_at = 0.0
        if not wait_s:
            return True
        self.core.metrics.count("permits_denied", service=record.service)
        wait_s = min(MAX_WAIT_S, max(MIN_WAIT_S, wait_s))
        state.denied_until = self.core.clock.monotonic() + wait_s
        return False

    def _make_request(
        self, record: messages.DirectoryRecord, state: balance.ServerState
    ) -> messages.PermitRequest | None:
        """Return what to ask for, None when the server needs no permit."""
        pace = self.view.notices.pace_of(record)
        if state.limit_per_s is None and pace is None:
            return None
        request = messages.PermitRequest(record.server, record.born_ms)
        if pace is not None:
            request.per_s, request.burst = pace.per_s, pace.burst
        if state.limit_per_s is not None and (pace is None or state.limit_per_s < pace.per_s):
            request.per_s = max(MIN_LIMIT_PER_S, state.limit_per_s)
            request.burst = min(request.burst, permits.default_burst(request.per_s))
        return request

    async def acquire_trial(self, fingerprint: bytes) -> bool:
        """Wait until a suspect request may be sent; return False if that takes too long.

        It may when another one has succeeded meanwhile. Without a leader no crash can be decided
        on, and requests are sent as if not suspect.
        """
        request = messages.PermitRequest(TRIAL_PREFIX + fingerprint.hex(), 0, TRIALS_PER_S)
        async with curio.ignore_after(MAX_TRIAL_WAIT_S):
            while self.view.quarantine.is_suspect(fingerprint):
                wait_s = await self._request_permit(request)
                if not wait_s:
                    break
                await curio.sleep(max(MIN_WAIT_S, wait_s))
            return True
        return False

    async def _request_permit(self, request: messages.PermitRequest) -> float | None:
        """Return how long to wait for a permit, 0 if it is granted, None if no leader answers."""
        asked_at = self.core.clock.monotonic()
        if asked_at < self.leaderless_until:
            return None
        try:
            async with curio.timeout_after(permits.TIMEOUT_S):
                reply = await self.watcher.call(request, permits.TIMEOUT_S)
        except (exceptions.LinkError, curio.TaskTimeout) as error:
            self.leaderless_until = self.core.clock.monotonic() + RETRY_S
            self.core.log.warning("permit_unanswered", server=request.server, error=error)
            return None
        late = self.core.clock.monotonic() - asked_at > VALID_S
        if reply.granted and late:
            return MIN_WAIT_S
        return reply.wait_ms / MS_PER_S

    def _take_own_part(self, state: balance.ServerState, per_s: float) -> float:
        """Use an equal part of the limit; return how long to wait for it, 0 for not at all.

        It is earned from the first use on, so that hosts do not send a burst together.
        """
        now = self.core.clock.monotonic()
        interval_s = self.view.share.hosts / per_s
        if not state.own_part_at:
            state.own_part_at = now + interval_s
        if now < state.own_part_at:
            return state.own_part_at - now
        state.own_part_at = now + interval_s
        return 0.0
