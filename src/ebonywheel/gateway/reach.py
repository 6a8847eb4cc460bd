"""Which backend servers this host can reach.

Servers that run, and report, may be out of reach of single hosts. A server counts as unreachable
from a failed connection until a new one can be opened. A host counts as cut off when several
servers in a row could not be reached and none has sent anything for a while.
"""

import random

import curio

from ebonywheel import directory, exceptions, kernel, messages
from ebonywheel.gateway import balance, pool, view

CHECK_INTERVAL_S = 0.25
# A request that waits for longer while its server sends nothing at all has the server probed. Sound
# servers may be silent for about a second.
SILENCE_S = 1.0
# As long as for any other new connection.
PROBE_TIMEOUT_S = pool.CONNECT_TIMEOUT_S
# Servers that fail in a row, with none heard in between, before this host counts as cut off; all of
# them where there are fewer.
CUT_OFF_FAILURES = 3
# Other servers that are probed after one could not be reached, unless any was heard this recently.
PROBED_OTHERS = 3
HEARD_S = 1.0
# At the end of a cut all servers are probed within this time.
PROBE_SPREAD_S = 0.5


class Reach:
    """Keeps the reachability in the states of the servers, and in the view.

    Attributes:
        heard_at: When any server sent something or accepted a connection last, monotonic seconds.
        failed: Servers that could not be reached since then.
        probing: Servers that are being probed.
    """

    def __init__(self, core: kernel.Kernel, entry_view: view.EntryView, server_pool: pool.Pool):
        self.core = core
        self.view = entry_view
        self.pool = server_pool
        self.heard_at = 0.0
        self.failed: set[directory.IncarnationKey] = set()
        self.probing: set[directory.IncarnationKey] = set()
        server_pool.observer = self

    async def run(self) -> None:
        """Probe servers that are silent, and unreachable ones whose backoff has passed."""
        while True:
            await curio.sleep(CHECK_INTERVAL_S)
            await self.check()

    async def check(self) -> None:
        """Start the probes that are due."""
        now = self.core.clock.monotonic()
        for entry in list(self.view.directory.live()):
            state = self.view.states.get((entry.record.server, entry.record.born_ms))
            if state is None or self.view.directory.age_s(entry.record.server) > (
                balance.MAX_REPORT_AGE_S
            ):
                continue
            retry = state.unreachable and now >= state.backoff_until
            if retry or state.silent_s(now) > SILENCE_S:
                await self._start_probe(entry.record)

    def heard(self, state: balance.ServerState) -> None:
        """Record that a server has sent something."""
        state.heard_at = self.heard_at = self.core.clock.monotonic()
        self.failed.clear()
        if self.view.cut_off:
            self._end_cut()

    async def connected(self, record: messages.DirectoryRecord, seconds: float) -> None:
        """Record that a server has accepted a connection after a time."""
        state = self.view.state_of(record)
        state.record_connected(seconds)
        if state.unreachable:
            state.unreachable = False
            state.backoff_until = 0.0
            self.core.log.info("server_reached", server=record.server)
        self.heard(state)

    async def connect_failed(
        self, record: messages.DirectoryRecord, error: exceptions.UpstreamError
    ) -> None:
        """Record that a connection to a server could not be opened, and probe others."""
        now = self.core.clock.monotonic()
        state = self.view.state_of(record)
        state.record_unreachable(now)
        if not state.unreachable:
            state.unreachable = True
            self.core.log.warning("server_unreachable", server=record.server, error=error)
        self.failed.add((record.server, record.born_ms))
        if self.view.cut_off:
            return
        if now - self.heard_at <= HEARD_S:
            return
        others = self._fresh_servers()
        # A crashed server reports no more; that it cannot be reached says nothing of this host.
        failed = self.failed.intersection(map(_key, others)) if others else self.failed
        if len(failed) >= min(CUT_OFF_FAILURES, len(others)):
            self._begin_cut()
        else:
            untried = [other for other in others if _key(other) not in self.failed]
            for other in random.sample(untried, min(PROBED_OTHERS, len(untried))):
                await self._start_probe(other)

    async def connection_died(self, record: messages.DirectoryRecord) -> None:
        """Probe a server to which an idle connection has died."""
        await self._start_probe(record)

    def _fresh_servers(self) -> list[messages.DirectoryRecord]:
        """Return the servers that have reported lately, so that they run."""
        return [
            entry.record
            for entry in self.view.directory.live()
            if self.view.directory.age_s(entry.record.server) < balance.MAX_REPORT_AGE_S
        ]

    def _begin_cut(self) -> None:
        """Take all servers known so far for unreachable; probe them at different times."""
        now = self.core.clock.monotonic()
        self.view.cut_off = True
        for state in self.view.states.values():
            if not state.unreachable:
                state.unreachable = True
                state.backoff_until = now + random.uniform(0.0, balance.MAX_BACKOFF_S)
        self.core.metrics.count("cut_off")
        self.core.log.warning("cut_off_from_servers", failed=len(self.failed))

    def _end_cut(self) -> None:
        """Probe all servers soon; those that have crashed meanwhile stay unreachable."""
        now = self.core.clock.monotonic()
        self.view.cut_off = False
        for state in self.view.states.values():
            if state.unreachable:
                state.backoff_until = now + random.uniform(0.0, PROBE_SPREAD_S)
        self.core.log.info("servers_reached_again")

    async def _start_probe(self, record: messages.DirectoryRecord) -> None:
        key = _key(record)
        if key not in self.probing:
            self.probing.add(key)
            await self.core.spawn(self._probe(record))

    async def _probe(self, record: messages.DirectoryRecord) -> None:
        try:
            error = await self.pool.probe(record, PROBE_TIMEOUT_S)
            outcome = "reached" if error is None else "failed"
            self.core.metrics.count("server_probes", service=record.service, outcome=outcome)
        finally:
            self.probing.discard(_key(record))


def _key(record: messages.DirectoryRecord) -> directory.IncarnationKey:
    return (record.server, record.born_ms)
