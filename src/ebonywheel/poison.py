"""Requests that crash the backend servers that run them: suspicion, isolation, quarantine.

A death is reported with the requests that were in flight. Only when the suspicion is in force at
every entry host is a caller told, or a retry made, so that the request is known again wherever it
comes next.
"""

import hashlib
import typing

import curio
import msgspec

from ebonywheel import commands, engineclient, exceptions, feed, kernel, messages

STATUS_QUARANTINED = 422
MS_PER_S = 1000
REPORT_TIMEOUT_S = 5.0
REPORT_TRIES = 3
PROBE_TIMEOUT_S = 1.0
PROBES = 3
PROBE_PAUSE_S = 0.05
IN_FORCE_POLL_S = 0.1

# No lease under an older index is left after this time.
MAX_LEASE_S = 3.0

Probe = typing.Callable[[messages.ServerState], typing.Awaitable[bool]]


def fingerprint(customer: str, service: str, body: bytes) -> bytes:
    """Return the digest by which a request is known again when it is resent."""
    return hashlib.blake2b(
        b"\0".join((customer.encode(), service.encode(), body)), digest_size=16
    ).digest()


class HostIndex(msgspec.Struct):
    """The part of an entry host's status that matters here."""

    host: str
    have: int


class HostIndexes(msgspec.Struct):
    """The part of the status view that matters here."""

    entry_hosts: list[HostIndex]


class Poison:
    """What an entry host knows and reports of suspected requests.

    Attributes:
        probe: Returns whether a backend server's incarnation is gone for certain.
    """

    def __init__(self, core: kernel.Kernel, source: feed.Feed):
        self.core = core
        self.feed = source
        self.probe: Probe = engineclient.gone

    def admit(self, digest: bytes) -> bool:
        """Return whether the request must run alone.

        Raises:
            NotRunError: The request is quarantined.
        """
        held = self.feed.require_lease().suspects.get(digest)
        if held is None or held.until_ms < self.core.clock.wall() * MS_PER_S:
            return False
        if held.quarantined:
            raise exceptions.NotRunError(
                "the request is quarantined: backend servers died running it",
                "check quarantine",
                held.customer,
                STATUS_QUARANTINED,
            )
        return True

    async def died(self, state: messages.ServerState, running: list[messages.Holding]) -> None:
        """Report, from its home, a backend server that died with requests in flight.

        A server that announced that it was leaving was reclaimed; its end is nobody's fault.
        """
        if state.state != "leaving":
            await self.core.spawn(self._report(state, running))

    async def broke(
        self,
        state: messages.ServerState,
        holding: messages.Holding,
        error: exceptions.UpstreamError,
    ) -> bool:
        """Look into a request that failed at a backend server; return whether that is dead.

        When it is, returns only once the suspicion is in force everywhere, so that the request
        may then be retried or its caller told.
        """
        if not error.sent or not await self._is_dead(state):
            return False
        self.core.metrics.count("server_deaths_seen")
        if state.state != "leaving":
            await self._report(state, [holding])
        return True

    async def finished(self, digest: bytes, alone: bool) -> None:
        """Note a request that ran to its end; one that ran alone is no longer suspect."""
        if alone:
            command = commands.ClearSuspect(
                actor=self.core.host.name,
                environment=self.feed.settings.environment,
                fingerprint=digest,
            )
            await self.core.spawn(self._submit(command))

    async def _is_dead(self, state: messages.ServerState) -> bool:
        async with curio.ignore_after(PROBE_TIMEOUT_S):
            for _ in range(PROBES):
                if await self.probe(state):
                    return True
                # The kernel may accept for a moment more while the process ends.
                await curio.sleep(PROBE_PAUSE_S)
        return False

    async def _report(self, state: messages.ServerState, running: list[messages.Holding]) -> None:
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
            await self._wait_in_force()

    async def _submit(self, command: commands.AnyCommand) -> bool:
        for _ in range(REPORT_TRIES):
            try:
                await self.feed.submit(command, REPORT_TIMEOUT_S)
                return True
            except (exceptions.NotRunError, exceptions.UnknownOutcomeError):
                self.core.metrics.count("suspicion_retries")
        return False

    async def _wait_in_force(self) -> None:
        index = None
        async with curio.ignore_after(MAX_LEASE_S):
            while True:
                reply = await self._read_hosts()
                if reply is not None:
                    index = index or reply[0]
                    if self._all_have(index, reply[1]):
                        return
                await curio.sleep(IN_FORCE_POLL_S)

    async def _read_hosts(self) -> tuple[int, HostIndexes] | None:
        connection = self.feed.links[self.feed.preferred]
        try:
            reply = await connection.call(messages.Query("status", b"{}"))
        except exceptions.LinkError:
            return None
        return reply.index, msgspec.json.decode(reply.content, type=HostIndexes)

    def _all_have(self, index: int, hosts: HostIndexes) -> bool:
        have = {host.host: host.have for host in hosts.entry_hosts}
        if self.feed.current.index < index:
            return False
        return all(have.get(name, 0) >= index for name in self.feed.current.roster)
