"""The control side of entry hosts' leases: confirm through the leader, answer with differences.

A follower is the relay of the entry hosts that ask it: it gathers their requests for a moment and
asks the leader once for all of them, so the leader's work grows with control hosts, not with
entry hosts.
"""

import curio
import msgspec

from ebonywheel import commands, configuration, exceptions, kernel, messages, replica, state

GATHER_S = 0.01
CATCH_UP_TIMEOUT_S = 1.0
EXPIRY_CHECK_S = 0.25
EXPIRY_MARGIN_S = 0.5
NO_TERM = -1
ROSTER_PART = "/roster/"


class Lessee(msgspec.Struct):
    """What the leader knows of an entry host."""

    request: messages.LeaseRequest
    seen_at: float


class FeedServer:
    """Grants leases to entry hosts.

    Attributes:
        lessees: Entry hosts that this leader has confirmed, by name.
    """

    def __init__(
        self,
        core: kernel.Kernel,
        consensus: replica.Replica,
        machine: state.State,
        lease_s: float,
    ):
        self.core = core
        self.consensus = consensus
        self.machine = machine
        self.lease_s = lease_s
        self.lessees: dict[str, Lessee] = {}
        self.batch: _Batch | None = None
        self.applied = curio.Condition()
        self.led_term = NO_TERM
        self.led_since = 0.0
        self.roster: dict[str, configuration.RosterEntry] = {}
        self.roster_at = 0
        consensus.on_applied.append(self._wake)

    async def start(self) -> None:
        """Start the tasks."""
        await self.core.spawn(self._expire(), essential=True)

    async def grant(self, request: messages.LeaseRequest) -> messages.LeaseGrant:
        """Answer an entry host's request.

        Raises:
            NotLeaderError: No quorum-backed leader could be asked.
            LinkError: The leader did not answer.
        """
        confirmed = await self._confirm_gathered(request)
        if request.host in confirmed.refused:
            raise exceptions.NotLeaderError(
                "not in the roster, or a newer process uses this name", "grant lease", request.host
            )
        await self._wait_applied(confirmed.index)
        full = request.have == 0 or request.have < self.machine.data.complete_from
        have = 0 if full else request.have
        items = self.machine.changed_since(have, request.environment)
        return messages.LeaseGrant(self.machine.applied, confirmed.duration_ms, items, full)

    async def confirm(self, request: messages.ConfirmRequest) -> messages.ConfirmReply:
        """Answer a relay, as the leader.

        Raises:
            NotLeaderError: This host holds no quorum-backed lease.
        """
        self.consensus.require_lease("confirm lease")
        self._follow_term()
        refused = await self._register_all(request.leases)
        # The lease is checked last: whatever was accepted before this moment is in `commit`.
        self.consensus.require_lease("confirm lease")
        return messages.ConfirmReply(self.consensus.commit, int(self.lease_s * 1000), refused)

    async def _confirm_gathered(self, request: messages.LeaseRequest) -> messages.ConfirmReply:
        if self.batch is None:
            self.batch = _Batch()
            await self.core.spawn(self._send_batch(self.batch))
        batch = self.batch
        batch.leases.append(request)
        return await batch.reply.unwrap()

    async def _send_batch(self, batch: "_Batch") -> None:
        await curio.sleep(GATHER_S)
        self.batch = None
        request = messages.ConfirmRequest(batch.leases)
        try:
            if self.consensus.role is replica.Role.LEADER:
                reply = await self.confirm(request)
            else:
                reply = await self._ask_leader(request)
        except exceptions.EbonywheelError as error:
            await batch.reply.set_exception(error)
        else:
            await batch.reply.set_value(reply)

    async def _ask_leader(self, request: messages.ConfirmRequest) -> messages.ConfirmReply:
        leader = self.consensus.find_member(self.consensus.leader)
        if leader is None or leader.member == self.consensus.member:
            raise exceptions.NotLeaderError("no leader known", "confirm lease")
        return await self.consensus.link_to(leader.member).call(request)

    async def _wait_applied(self, index: int) -> None:
        try:
            async with curio.timeout_after(CATCH_UP_TIMEOUT_S):
                async with self.applied:
                    while self.machine.applied < index:
                        await self.applied.wait()
        except curio.TaskTimeout as error:
            raise exceptions.NotLeaderError("lagging behind the leader", "grant lease") from error

    async def _wake(self) -> None:
        async with self.applied:
            await self.applied.notify_all()

    # -- roster, kept by the leader --------------------------------------------------------

    async def _register_all(self, leases: list[messages.LeaseRequest]) -> list[str]:
        refused = []
        async with curio.TaskGroup() as group:
            for lease in leases:
                if lease.draining or not self._in_roster(lease):
                    await group.spawn(self._register, lease, refused)
                else:
                    self._hear(lease)
        return refused

    async def _register(self, lease: messages.LeaseRequest, refused: list[str]) -> None:
        try:
            if lease.draining:
                await self._leave(lease.host, lease.incarnation)
                return
            await self._join(lease)
        except exceptions.EbonywheelError:
            self.core.metrics.count("roster_errors")
        if self._in_roster(lease):
            self._hear(lease)
        else:
            refused.append(lease.host)

    async def _join(self, lease: messages.LeaseRequest) -> None:
        await self.consensus.propose(
            commands.JoinRoster(
                actor=lease.host,
                host=lease.host,
                incarnation=lease.incarnation,
                data_centre=lease.data_centre,
                address=lease.address,
                environment=lease.environment,
            )
        )

    def _hear(self, lease: messages.LeaseRequest) -> None:
        self.lessees[lease.host] = Lessee(lease, self.core.clock.monotonic())

    def _in_roster(self, lease: messages.LeaseRequest) -> bool:
        key = configuration.roster_key(lease.environment, lease.host)
        wanted = configuration.RosterEntry(
            lease.host, lease.incarnation, lease.data_centre, lease.address
        )
        return self.machine.data.present(key) == msgspec.json.encode(wanted)

    async def _leave(self, host: str, incarnation: int) -> None:
        held = self.lessees.get(host)
        if held is not None and held.request.incarnation == incarnation:
            del self.lessees[host]
        await self.consensus.propose(
            commands.LeaveRoster(actor=self.core.host.name, host=host, incarnation=incarnation)
        )

    def _follow_term(self) -> None:
        # What an earlier leadership knew of entry hosts says nothing about the time between.
        term = self.consensus.store.vote.term
        if self.led_term != term:
            self.led_term = term
            self.led_since = self.core.clock.monotonic()
            self.lessees = {}

    async def _expire(self) -> None:
        checked_at = self.core.clock.monotonic()
        while True:
            await curio.sleep(EXPIRY_CHECK_S)
            now = self.core.clock.monotonic()
            # A process that was frozen has heard nobody meanwhile.
            if not self.consensus.has_lease() or now > checked_at + EXPIRY_MARGIN_S:
                self.led_term = NO_TERM
            else:
                self._follow_term()
                await self._expire_silent(now - self.lease_s - EXPIRY_MARGIN_S)
            checked_at = self.core.clock.monotonic()

    async def _expire_silent(self, before: float) -> None:
        async with curio.TaskGroup() as group:
            for entry in self.follow_roster().values():
                lessee = self.lessees.get(entry.host)
                seen_at = self.led_since if lessee is None else lessee.seen_at
                if seen_at < before:
                    await group.spawn(self._expire_host, entry)

    async def _expire_host(self, entry: configuration.RosterEntry) -> None:
        self.core.log.warning("entry_host_gone", host=entry.host)
        try:
            await self._leave(entry.host, entry.incarnation)
        except exceptions.EbonywheelError:
            self.core.metrics.count("roster_errors")

    def follow_roster(self) -> dict[str, configuration.RosterEntry]:
        """Return the entry hosts of all environments by their configuration keys."""
        data = self.machine.data
        if self.roster_at < data.complete_from:
            self.roster = {}
            self.roster_at = 0
        for key, item in data.changed_since(self.roster_at).items():
            if ROSTER_PART not in key:
                continue
            if item.removed:
                self.roster.pop(key, None)
            else:
                self.roster[key] = msgspec.json.decode(item.value, type=configuration.RosterEntry)
        self.roster_at = self.machine.applied
        return self.roster


class _Batch:
    """Lease requests that one message to the leader answers."""

    __slots__ = ("leases", "reply")

    def __init__(self):
        self.leases: list[messages.LeaseRequest] = []
        self.reply = curio.Result()
