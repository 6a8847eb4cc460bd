"""Entry host's client of the control hosts: lease, configuration updates and commands."""

import typing

import curio
import msgspec

from ebonywheel import commands, configuration, exceptions, kernel, link, messages, settings

RENEW_INTERVAL_S = 0.25
LEASE_CALL_TIMEOUT_S = 1.0
SUBMIT_CALL_TIMEOUT_S = 3.0
SUBMIT_RETRY_DELAY_S = 0.1
# After the nearest control host failed, it is tried again at this interval.
NEAREST_RETRY_INTERVAL_S = 60.0

# Error codes which guarantee that a command was not proposed.
NOT_PROPOSED_CODES = frozenset({"not_leader", "not_run"})


class Feed:
    """An entry host's connection to the control hosts.

    Attributes:
        incarnation: Number that differs at each start of this process.
        current: The configuration in use; its index never decreases.
        lease_until: Monotonic time in seconds at which the lease ends.
        draining: Whether this host is leaving the roster and takes no new work.
        left_roster: Set once a control host has confirmed that this host left.
        encode_load: Returns the load summary that each lease request carries.
        change_listeners: Called after each configuration update.
        links: Links to the control hosts, those of the own data centre first.
        link_index: Index of the link in use.
        retry_nearest_at: Monotonic time in seconds of the next attempt at the nearest one.
    """

    def __init__(self, core: kernel.Kernel, entry_settings: settings.EntrySettings):
        self.core = core
        self.settings = entry_settings
        self.incarnation = int(core.clock.wall() * 1e6)
        self.store = configuration.ConfigurationStore(entry_settings.environment)
        self.current = self.store.current
        self.lease_until = float("-inf")
        self.draining = False
        self.left_roster = curio.Event()
        self.encode_load: typing.Callable[[], bytes] = lambda: b"{}"
        self.change_listeners: list[
            typing.Callable[[configuration.Configuration], typing.Awaitable[None]]
        ] = []
        delay_s = entry_settings.link_delay_ms / 1000
        self.links = [
            link.Link(core, f"control:{peer.name}", peer.link, delay_s)
            for peer in _sort_nearest_first(entry_settings.control, core.host.data_centre)
        ]
        self.link_index = 0
        self.retry_nearest_at = float("-inf")

    async def start(self) -> None:
        """Start renewing the lease."""
        await self.core.spawn(self._renew(), essential=True)

    def holds_lease(self) -> bool:
        """Return whether this host may accept new work."""
        return self.core.clock.monotonic() < self.lease_until and not self.draining

    def require_lease(self) -> configuration.Configuration:
        """Return the current configuration.

        Raises:
            NotRunError: This host holds no lease, so its configuration may be outdated.
        """
        if not self.holds_lease():
            raise exceptions.NotRunError(
                "this host holds no lease on the configuration",
                "check lease",
                self.core.host.name,
                retry_after=1,
            )
        return self.current

    def require_in_service(self, data_centre: str, step: str) -> None:
        """Check, just before work is sent, that a data centre is in service.

        Raises:
            NotRunError: It is out of service, or this host holds no lease.
        """
        if data_centre in self.require_lease().out:
            raise exceptions.NotRunError(
                "data centre is out of service", step, data_centre, retry_after=1
            )

    async def submit(self, command: commands.AnyCommand, timeout_s: float) -> commands.AnyOutcome:
        """Propose a command and resend it until there is an outcome.

        The command must be safe to resend: it carries an operation id, or is idempotent.

        Raises:
            NotRunError: The command was not proposed.
            UnknownOutcomeError: It may have been applied, or may still be.
        """
        deadline = self.core.clock.monotonic() + timeout_s
        not_proposed = True
        while True:
            try:
                reply = await self._submit_once(command, deadline)
                return commands.decode_outcome(reply.outcome)
            except exceptions.LinkError as error:
                not_proposed = not_proposed and _was_not_proposed(error)
                last_error = error
            if self.core.clock.monotonic() + SUBMIT_RETRY_DELAY_S >= deadline:
                break
            self._use_next_link()
            await curio.sleep(SUBMIT_RETRY_DELAY_S)
        if not_proposed:
            raise exceptions.NotRunError(last_error.text, "submit", last_error.peer, retry_after=1)
        raise exceptions.UnknownOutcomeError(last_error.text, "submit", last_error.peer)

    async def leave(self) -> None:
        """Give up the lease and wait until this host has left the roster."""
        self.draining = True
        await self.left_roster.wait()

    async def _submit_once(
        self, command: commands.AnyCommand, deadline: float
    ) -> messages.SubmitReply:
        remaining_s = max(deadline - self.core.clock.monotonic(), SUBMIT_RETRY_DELAY_S)
        connection = self.links[self.link_index]
        return await connection.call(
            commands.submit_message(command), min(remaining_s, SUBMIT_CALL_TIMEOUT_S)
        )

    async def _renew(self) -> None:
        while True:
            requested_at = self.core.clock.monotonic()
            self._retry_nearest_link(requested_at)
            try:
                await self._renew_once(requested_at)
            except exceptions.LinkError as error:
                self.core.metrics.count("lease_errors", code=error.code)
                self._use_next_link()
            await curio.sleep(
                max(0.0, requested_at + RENEW_INTERVAL_S - self.core.clock.monotonic())
            )

    async def _renew_once(self, requested_at: float) -> None:
        host = self.core.host
        request = messages.LeaseRequest(
            host.name,
            self.incarnation,
            host.data_centre,
            host.link,
            self.settings.environment,
            self.current.index,
            self.draining,
            self.encode_load(),
        )
        grant = await self.links[self.link_index].call(request, LEASE_CALL_TIMEOUT_S)
        if request.draining:
            await self.left_roster.set()
            return
        await self._apply_grant(grant, requested_at)

    async def _apply_grant(self, grant: messages.LeaseGrant, requested_at: float) -> None:
        if grant.index < self.current.index:
            raise exceptions.LinkError("grant is older than the configuration in use", "take grant")
        previous = self.current
        try:
            self.current = self.store.update(grant.index, grant.items, grant.full)
        except (msgspec.MsgspecError, ValueError) as error:
            # The lease is not extended: this host then refuses work instead of serving an
            # outdated revision.
            raise exceptions.LinkError(str(error), "read configuration") from error
        # The lease starts at the request, on this host's own monotonic clock.
        self.lease_until = max(self.lease_until, requested_at + grant.duration_ms / 1000)
        if self.current.revision != previous.revision:
            self.core.log.info("configuration", revision=self.current.revision)
        if grant.items or grant.full:
            for notify in self.change_listeners:
                await notify(self.current)

    def _retry_nearest_link(self, now: float) -> None:
        if self.link_index != 0 and now >= self.retry_nearest_at:
            self.link_index = 0
            self.retry_nearest_at = now + NEAREST_RETRY_INTERVAL_S

    def _use_next_link(self) -> None:
        if self.link_index == 0:
            self.retry_nearest_at = self.core.clock.monotonic() + NEAREST_RETRY_INTERVAL_S
        self.link_index = (self.link_index + 1) % len(self.links)


def _sort_nearest_first(peers: list[settings.Peer], data_centre: str) -> list[settings.Peer]:
    return sorted(peers, key=lambda peer: peer.data_centre != data_centre)


def _was_not_proposed(error: exceptions.LinkError) -> bool:
    if isinstance(error, exceptions.RemoteError):
        return error.remote_code in NOT_PROPOSED_CODES
    return error.step == "connect"
