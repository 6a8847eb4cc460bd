"""Grants leases to entry hosts, confirmed by the leader, along with configuration changes.

A follower relays for the entry hosts that ask it: it gathers their requests for a short time and
asks the leader once for all of them, so the leader's work grows with the number of control hosts,
not of entry hosts.
"""

import curio
import msgspec

from ebonywheel import commands, configuration, exceptions, kernel, messages, replica, state

GATHER_WINDOW_S = 0.01
CATCH_UP_TIMEOUT_S = 1.0
EXPIRY_CHECK_S = 0.25
EXPIRY_MARGIN_S = 0.5
NO_TERM = -1
ROSTER_KEY_PART = "/roster/"


class LeaseHolder(msgspec.Struct):
    """An entry host whose lease this leader confirmed.

    Attributes:
        request: Its last lease request.
        seen_at: When that request arrived, in seconds of the monotonic clock.
    """

    request: messages.LeaseRequest
    seen_at: float


class FeedServer:
    """Grants leases to entry hosts.

    Attributes:
        lease_holders: Entry hosts whose leases this leader confirmed, by name.
        batch: Requests gathered for the next message to the leader, or None.
        applied_condition: Notified after log entries are applied.
        led_term: Term of the current leadership, or `NO_TERM` to start over at the next check.
        led_since: Start of the current leadership, in seconds of the monotonic clock.
        roster: Entry hosts of all environments by configuration key.
        roster_index: Log index up to which `roster` is complete.
    """

    def __init__(
        self,
        core: kernel.Kernel,
        consensus: replica.Replica,
        state_machine: state.State,
        lease_s: float,
    ):
        self.core = core
        self.consensus = consensus
        self.state_machine = state_machine
        self.lease_s = lease_s
        self.lease_holders: dict[str, LeaseHolder] = {}
        self.batch: _Batch | None = None
        self.applied_condition = curio.Condition()
        self.led_term = NO_TERM
        self.led_since = 0.0
        self.roster: dict[str, configuration.RosterEntry] = {}
        self.roster_index = 0
        consensus.on_applied.append(self._notify_applied)

    async def start(self) -> None:
        """Start removing entry hosts whose leases expire."""
        await self.core.spawn(self._run_expiry(), essential=True)

    async def grant(self, request: messages.LeaseRequest) -> messages.LeaseGrant:
        """Grant a lease to an entry host, with the configuration changes that it lacks.

        Raises:
            NotLeaderError: No quorum-backed leader could be asked.
            LinkError: The leader did not answer.
        """
        confirmed = await self._confirm_in_batch(request)
        if request.host in confirmed.refused:
            raise exceptions.NotLeaderError(
                "not in the roster, or a newer process uses this name", "grant lease", request.host
            )
        await self._wait_applied(confirmed.index)
        full = request.have == 0 or request.have < self.state_machine.data.complete_from
        have = 0 if full else request.have
        items = self.state_machine.changed_since(have, request.environment)
        return messages.LeaseGrant(self.state_machine.applied, confirmed.duration_ms, items, full)

    async def confirm(self, request: messages.ConfirmRequest) -> messages.ConfirmReply:
        """Confirm gathered leases, as the leader.

        Raises:
            NotLeaderError: This host holds no quorum-backed lease.
        """
        self.consensus.require_lease("confirm lease")
        self._reset_on_new_term()
        refused = await self._register_all(request.leases)
        # Check the lease last: `commit_index` then covers all changes accepted before this check.
        self.consensus.require_lease("confirm lease")
        return messages.ConfirmReply(self.consensus.commit_index, int(self.lease_s * 1000), refused)

    async def _confirm_in_batch(self, request: messages.LeaseRequest) -> messages.ConfirmReply:
        if self.batch is None:
            self.batch = _Batch()
            await self.core.spawn(self._send_batch(self.batch))
        batch = self.batch
        batch.leases.append(request)
        return await batch.reply.unwrap()

    async def _send_batch(self, batch: "_Batch") -> None:
        await curio.sleep(GATHER_WINDOW_S)
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
                async with self.applied_condition:
                    while self.state_machine.applied < index:
                        await self.applied_condition.wait()
        except curio.TaskTimeout as error:
            raise exceptions.NotLeaderError("lagging behind the leader", "grant lease") from error

    async def _notify_applied(self) -> None:
        async with self.applied_condition:
            await self.applied_condition.notify_all()

    # -- roster, maintained by the leader --------------------------------------------------

    async def _register_all(self, leases: list[messages.LeaseRequest]) -> list[str]:
        refused = []
        async with curio.TaskGroup() as group:
            for lease in leases:
                if lease.draining or not self._in_roster(lease):
                    await group.spawn(self._register, lease, refused)
                else:
                    self._mark_seen(lease)
        return refused

    async def _register(self, lease: messages.LeaseRequest, refused: list[str]) -> None:
        try:
            if lease.draining:
                await self._propose_leave(lease.host, lease.incarnation)
                return
            await self._propose_join(lease)
        except exceptions.EbonywheelError:
            self.core.metrics.count("roster_errors")
        if self._in_roster(lease):
            self._mark_seen(lease)
        else:
            refused.append(lease.host)

    async def _propose_join(self, lease: messages.LeaseRequest) -> None:
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

    def _mark_seen(self, lease: messages.LeaseRequest) -> None:
        self.lease_holders[lease.host] = LeaseHolder(lease, self.core.clock.monotonic())

    def _in_roster(self, lease: messages.LeaseRequest) -> bool:
        key = configuration.roster_key(lease.environment, lease.host)
        expected = configuration.RosterEntry(
            lease.host, lease.incarnation, lease.data_centre, lease.address
        )
        return self.state_machine.data.get_value(key) == msgspec.json.encode(expected)

    async def _propose_leave(self, host: str, incarnation: int) -> None:
        holder = self.lease_holders.get(host)
        if holder is not None and holder.request.incarnation == incarnation:
            del self.lease_holders[host]
        await self.consensus.propose(
            commands.LeaveRoster(actor=self.core.host.name, host=host, incarnation=incarnation)
        )

    def _reset_on_new_term(self) -> None:
        # Entries of an earlier leadership are outdated: leases may since be renewed elsewhere.
        term = self.consensus.store.vote.term
        if self.led_term != term:
            self.led_term = term
            self.led_since = self.core.clock.monotonic()
            self.lease_holders = {}

    async def _run_expiry(self) -> None:
        checked_at = self.core.clock.monotonic()
        while True:
            await curio.sleep(EXPIRY_CHECK_S)
            now = self.core.clock.monotonic()
            # A process that was paused has missed the hosts' requests, so start over.
            if not self.consensus.has_lease() or now > checked_at + EXPIRY_MARGIN_S:
                self.led_term = NO_TERM
            else:
                self._reset_on_new_term()
                await self._expire_silent_hosts(now - self.lease_s - EXPIRY_MARGIN_S)
            checked_at = self.core.clock.monotonic()

    async def _expire_silent_hosts(self, oldest_seen_at: float) -> None:
        async with curio.TaskGroup() as group:
            for entry in self.refresh_roster().values():
                holder = self.lease_holders.get(entry.host)
                seen_at = self.led_since if holder is None else holder.seen_at
                if seen_at < oldest_seen_at:
                    await group.spawn(self._expire_host, entry)

    async def _expire_host(self, entry: configuration.RosterEntry) -> None:
        self.core.log.warning("entry_host_gone", host=entry.host)
        try:
            await self._propose_leave(entry.host, entry.incarnation)
        except exceptions.EbonywheelError:
            self.core.metrics.count("roster_errors")

    def refresh_roster(self) -> dict[str, configuration.RosterEntry]:
        """Update and return the entry hosts of all environments, by configuration key."""
        data = self.state_machine.data
        if self.roster_index < data.complete_from:
            self.roster = {}
            self.roster_index = 0
        for key, item in data.changed_since(self.roster_index).items():
            if ROSTER_KEY_PART not in key:
                continue
            if item.removed:
                self.roster.pop(key, None)
            else:
                self.roster[key] = msgspec.json.decode(item.value, type=configuration.RosterEntry)
        self.roster_index = self.state_machine.applied
        return self.roster


class _Batch:
    """Lease requests that go to the leader in one message, and its reply."""

    __slots__ = ("leases", "reply")

    def __init__(self):
        self.leases: list[messages.LeaseRequest] = []
        self.reply = curio.Result()
