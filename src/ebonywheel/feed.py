"""The entry side of the configuration feed: hold a lease, follow changes, submit commands."""

import typing

import curio
import msgspec

from ebonywheel import commands, configuration, exceptions, kernel, link, messages, settings

POLL_S = 0.25
LEASE_CALL_TIMEOUT_S = 1.0
SUBMIT_CALL_TIMEOUT_S = 3.0
SUBMIT_RETRY_S = 0.1
# After a failure of the nearest control host it is tried again this often.
RETURN_S = 60.0

# Codes of answers that say for sure that a command was not proposed.
NOT_PROPOSED = frozenset({"not_leader", "not_run"})


class Feed:
    """An entry host's connection to the control hosts.

    Attributes:
        incarnation: Number that is new at each start of this process.
        current: The configuration in use; it only ever moves forward.
        draining: True once this host has left the roster for good.
        report: Returns the load summary sent with each request.
    """

    def __init__(self, core: kernel.Kernel, loaded: settings.EntrySettings):
        self.core = core
        self.settings = loaded
        self.incarnation = int(core.clock.wall() * 1e6)
        self.store = configuration.ConfigurationStore(loaded.environment)
        self.current = self.store.current
        self.lease_until = float("-inf")
        self.draining = False
        self.left = curio.Event()
        self.report: typing.Callable[[], bytes] = lambda: b"{}"
        self.on_change: list[
            typing.Callable[[configuration.Configuration], typing.Awaitable[None]]
        ] = []
        delay_s = loaded.link_delay_ms / 1000
        self.links = [
            link.Link(core, f"control:{peer.name}", peer.link, delay_s)
            for peer in _nearest_first(loaded.control, core.host.data_centre)
        ]
        self.preferred = 0
        self.return_at = float("-inf")

    async def start(self) -> None:
        """Start renewing the lease."""
        await self.core.spawn(self._renew(), essential=True)

    def holds_lease(self) -> bool:
        """Return whether this host may take new work now."""
        return self.core.clock.monotonic() < self.lease_until and not self.draining

    def require_lease(self) -> configuration.Configuration:
        """Return the configuration to serve under.

        Raises:
            NotRunError: This host cannot know what is in force.
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
        """Check, just before work is sent, that a data centre may be given new work.

        Raises:
            NotRunError: It is out of service, or this host cannot know.
        """
        if data_centre in self.require_lease().out:
            raise exceptions.NotRunError(
                "data centre is out of service", step, data_centre, retry_after=1
            )

    async def submit(self, command: commands.AnyCommand, timeout_s: float) -> commands.AnyOutcome:
        """Propose a command, resending it until there is an outcome.

        The command must be safe to resend: it carries an operation id, or applying it twice
        changes nothing.

        Raises:
            NotRunError: The command was certainly not proposed.
            UnknownOutcomeError: It may have taken effect or still do so.
        """
        deadline = self.core.clock.monotonic() + timeout_s
        certain = True
        while True:
            try:
                reply = await self._submit_once(command, deadline)
                return commands.decode_outcome(reply.outcome)
            except exceptions.LinkError as error:
                certain = certain and _not_proposed(error)
                last = error
            if self.core.clock.monotonic() + SUBMIT_RETRY_S >= deadline:
                break
            self._prefer_next()
            await curio.sleep(SUBMIT_RETRY_S)
        if certain:
            raise exceptions.NotRunError(last.text, "submit", last.peer, retry_after=1)
        raise exceptions.UnknownOutcomeError(last.text, "submit", last.peer)

    async def leave(self) -> None:
        """Give up the lease and leave the roster, when draining."""
        self.draining = True
        await self.left.wait()

    async def _submit_once(
        self, command: commands.AnyCommand, deadline: float
    ) -> messages.SubmitReply:
        left = max(deadline - self.core.clock.monotonic(), SUBMIT_RETRY_S)
        connection = self.links[self.preferred]
        return await connection.call(commands.submit(command), min(left, SUBMIT_CALL_TIMEOUT_S))

    async def _renew(self) -> None:
        while True:
            asked_at = self.core.clock.monotonic()
            self._prefer_nearest(asked_at)
            try:
                await self._renew_once(asked_at)
            except exceptions.LinkError as error:
                self.core.metrics.count("lease_errors", code=error.code)
                self._prefer_next()
            await curio.sleep(max(0.0, asked_at + POLL_S - self.core.clock.monotonic()))

    async def _renew_once(self, asked_at: float) -> None:
        host = self.core.host
        request = messages.LeaseRequest(
            host.name,
            self.incarnation,
            host.data_centre,
            host.link,
            self.settings.environment,
            self.current.index,
            self.draining,
            self.report(),
        )
        grant = await self.links[self.preferred].call(request, LEASE_CALL_TIMEOUT_S)
        if request.draining:
            await self.left.set()
            return
        await self._take(grant, asked_at)

    async def _take(self, grant: messages.LeaseGrant, asked_at: float) -> None:
        if grant.index < self.current.index:
            raise exceptions.LinkError("older than what is in use", "take grant")
        before = self.current
        try:
            self.current = self.store.update(grant.index, grant.items, grant.full)
        except (msgspec.MsgspecError, ValueError) as error:
            # Without the lease this host refuses work rather than serve on an older revision.
            raise exceptions.LinkError(str(error), "read configuration") from error
        # The lease counts from the asking, on this host's own monotonic clock.
        self.lease_until = max(self.lease_until, asked_at + grant.duration_ms / 1000)
        if self.current.revision != before.revision:
            self.core.log.info("configuration", revision=self.current.revision)
        if grant.items or grant.full:
            for notify in self.on_change:
                await notify(self.current)

    def _prefer_nearest(self, now: float) -> None:
        if self.preferred != 0 and now >= self.return_at:
            self.preferred = 0
            self.return_at = now + RETURN_S

    def _prefer_next(self) -> None:
        if self.preferred == 0:
            self.return_at = self.core.clock.monotonic() + RETURN_S
        self.preferred = (self.preferred + 1) % len(self.links)


def _nearest_first(peers: list[settings.Peer], data_centre: str) -> list[settings.Peer]:
    return sorted(peers, key=lambda peer: peer.data_centre != data_centre)


def _not_proposed(error: exceptions.LinkError) -> bool:
    if isinstance(error, exceptions.RemoteError):
        return error.remote_code in NOT_PROPOSED
    return error.step == "connect"
