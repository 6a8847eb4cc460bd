"""Suspicion and quarantine of requests that crash the backend servers that run them.

The crash of a server is reported with the requests that were in flight, which become suspects. A
request is retried, or its caller answered, only after the suspicion is in force at every entry
host, so that any host recognizes a resend.
"""

import typing

import curio
import msgspec

from ebonywheel import commands, engineclient, exceptions, feed, kernel, messages

STATUS_QUARANTINED = 422
MS_PER_S = 1000
REPORT_TIMEOUT_S = 5.0
MAX_REPORT_TRIES = 3
PROBE_TIMEOUT_S = 1.0
MAX_PROBES = 3
PROBE_PAUSE_S = 0.05
IN_FORCE_POLL_S = 0.1

# After this time no entry host holds a lease on an older configuration index.
MAX_LEASE_S = 3.0

Probe = typing.Callable[[messages.ServerState], typing.Awaitable[bool]]


class EntryHostStatus(msgspec.Struct):
    """The decoded part of an entry host's status.

    Attributes:
        have: Configuration index in force at the host.
    """

    host: str
    have: int


class StatusView(msgspec.Struct):
    """The decoded part of the answer to a status query."""

    entry_hosts: list[EntryHostStatus]


class PoisonTracker:
    """Checks requests against the suspects in force and reports crashes of backend servers.

    Attributes:
        probe: Returns whether a backend server's incarnation has certainly ended.
    """

    def __init__(self, core: kernel.Kernel, config_feed: feed.Feed):
        self.core = core
        self.feed = config_feed
        self.probe: Probe = engineclient.incarnation_has_ended

    def admit(self, digest: bytes) -> bool:
        """Check a request and return whether it must run alone.

        Raises:
            NotRunError: The request is quarantined.
        """
        suspicion = self.feed.require_lease().suspects.get(digest)
        if suspicion is None or suspicion.until_ms < self.core.clock.wall() * MS_PER_S:
            return False
        if suspicion.quarantined:
            raise exceptions.NotRunError(
                "the request is quarantined: backend servers died running it",
                "check quarantine",
                suspicion.customer,
                STATUS_QUARANTINED,
            )
        return True

    async def report_death(
        self, state: messages.ServerState, running: list[messages.Holding]
    ) -> None:
        """Report a backend server that died with requests in flight; called at its home.

        A server that announced that it was leaving was reclaimed, so no request is suspected.
        """
        if state.state != "leaving":
            await self.core.spawn(self._report_crash(state, running))

    async def report_if_dead(
        self,
        state: messages.ServerState,
        holding: messages.Holding,
        error: exceptions.UpstreamError,
    ) -> bool:
        """Probe a backend server at which a request failed; return whether it is dead.

        If it is, report the request and wait until the suspicion is in force at every entry host.
        The request may then be retried or its caller answered.
        """
        if not error.sent or not await self._is_dead(state):
            return False
        self.core.metrics.count("server_deaths_seen")
        if state.state != "leaving":
            await self._report_crash(state, [holding])
        return True

    async def clear_if_alone(self, digest: bytes, alone: bool) -> None:
        """Clear the suspicion of a request that finished while it ran alone."""
        if alone:
            command = commands.ClearSuspect(
                actor=self.core.host.name,
                environment=self.feed.settings.environment,
                fingerprint=digest,
            )
            await self.core.spawn(self._submit(command))

    async def _is_dead(self, state: messages.ServerState) -> bool:
        async with curio.ignore_after(PROBE_TIMEOUT_S):
            for _ in range(MAX_PROBES):
                if await self.probe(state):
                    return True
                # The kernel may accept connections for a moment while the process ends.
                await curio.sleep(PROBE_PAUSE_S)
        return False

    async def _report_crash(
        self, state: messages.ServerState, running: list[messages.Holding]
    ) -> None:
        suspects = {
            holding.fingerprint: commands.Suspect(holding.fingerprint, holding.customer)
            for holding in running
            if holding.fingerprint
        }
        if not suspects:
            return
        command = commands.ReportCrash(
            actor=self.core.host.name,
            environment=state.environment,
            server=state.server,
            incarnation=state.incarnation,
            suspects=list(suspects.values()),
            alone=len(running) == 1 and running[0].alone,
        )
        if await self._submit(command):
            await self._wait_until_in_force()

    async def _submit(self, command: commands.AnyCommand) -> bool:
        for _ in range(MAX_REPORT_TRIES):
            try:
                await self.feed.submit(command, REPORT_TIMEOUT_S)
                return True
            except (exceptions.NotRunError, exceptions.UnknownOutcomeError):
                self.core.metrics.count("suspicion_retries")
        return False

    async def _wait_until_in_force(self) -> None:
        index = None
        async with curio.ignore_after(MAX_LEASE_S):
            while True:
                reply = await self._read_status()
                if reply is not None:
                    index = index or reply[0]
                    if self._is_in_force(index, reply[1]):
                        return
                await curio.sleep(IN_FORCE_POLL_S)

    async def _read_status(self) -> tuple[int, StatusView] | None:
        connection = self.feed.links[self.feed.link_index]
        try:
            reply = await connection.call(messages.Query("status", b"{}"))
        except exceptions.LinkError:
            return None
        return reply.index, msgspec.json.decode(reply.content, type=StatusView)

    def _is_in_force(self, index: int, status: StatusView) -> bool:
        indexes = {host.host: host.have for host in status.entry_hosts}
        if self.feed.current.index < index:
            return False
        return all(indexes.get(name, 0) >= index for name in self.feed.current.roster)
