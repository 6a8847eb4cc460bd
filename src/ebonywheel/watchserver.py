"""Answers of a control host to watch requests: backend servers, routing, and other hosts' load.

Entry hosts and the other control hosts keep one watch request open at each control host. A change
that affects where requests may go is answered at once; renewed reports wait for the request's wait
time to pass.
"""

import secrets

import curio
import msgspec

from ebonywheel import directory, kernel, messages, replica, state

MAX_WAIT_MS = 2000
# Work in flight reported longer ago is ignored, as its host is gone or partitioned: watches are
# renewed far more often.
USES_MAX_AGE_S = 3.0
PRUNE_INTERVAL_S = 5.0
EPOCH_BITS = 48


class HostUses(msgspec.Struct):
    """Work in flight that an entry host reported last, and when, monotonic seconds."""

    received_at: float
    uses: list[messages.ServerUse]


class WatchServer:
    """Answers watch requests.

    Attributes:
        directory: Backend servers known here.
        uses: Work in flight by entry host.
        epoch: Random id of this process's positions, which start anew after a restart.
        wake_count: Number of times that waiting watches were woken.
        changed: Notified each time that they are woken.
    """

    def __init__(self, core: kernel.Kernel, consensus: replica.Replica, state_machine: state.State):
        self.core = core
        self.replica = consensus
        self.state_machine = state_machine
        self.directory = directory.Directory(core.clock)
        self.uses: dict[str, HostUses] = {}
        self.epoch = secrets.randbits(EPOCH_BITS) + 1
        self.wake_count = 0
        self.changed = curio.Condition()

    async def start(self) -> None:
        """Start pruning outdated entries, and waking watches when the replicated state changes."""
        self.replica.on_applied.append(self._wake_after_applied)
        await self.core.spawn(self._prune(), essential=True)

    async def observe(self, record: messages.DirectoryRecord, direct: bool) -> None:
        """Merge a record from a backend server (`direct`) or another control host."""
        if self.directory.observe(record, direct):
            directory.log_change(self.core.log, record)
            if direct:
                await self.wake()

    async def leave(self, server: str) -> None:
        """Mark a backend server as gone for good."""
        if self.directory.leave(server):
            self.core.log.info("server_left", server=server)
            await self.wake()

    async def wake(self) -> None:
        """End the wait of all watches."""
        self.wake_count += 1
        async with self.changed:
            await self.changed.notify_all()

    async def watch(self, request: messages.WatchRequest) -> messages.WatchReply:
        """Answer one watch request, after a wait when nothing has changed."""
        now = self.core.clock.monotonic()
        if request.uses_wanted or request.uses_reported:
            self.uses[request.host] = HostUses(now, request.uses)
        if request.epoch == self.epoch and not self._has_newer_routing(request):
            await self._wait(request)
        return self._reply(request)

    async def _wait(self, request: messages.WatchRequest) -> None:
        initial_count = self.wake_count
        async with curio.ignore_after(min(request.wait_ms, MAX_WAIT_MS) / 1000):
            async with self.changed:
                while self.wake_count == initial_count:
                    await self.changed.wait()

    def _has_newer_routing(self, request: messages.WatchRequest) -> bool:
        routing = self.state_machine.data.routing
        return routing.index > request.routing_index or routing.out_index > request.out_index

    def _reply(self, request: messages.WatchRequest) -> messages.WatchReply:
        routing = self.state_machine.data.routing
        seen = request.seen if request.epoch == self.epoch else 0
        records = self.directory.changes(seen, request.relayed or seen == 0)
        recent_uses = self._recent_uses()
        return messages.WatchReply(
            self.epoch,
            self.directory.position,
            records,
            routing.index,
            routing.version,
            routing.out_index,
            routing.out,
            [member.link for member in self.replica.members],
            len(recent_uses),
            self._sum_uses(request.host, recent_uses) if request.uses_wanted else [],
        )

    def routing(self) -> messages.RoutingReply:
        """Return the routing content in force here."""
        current = self.state_machine.data.routing
        return messages.RoutingReply(current.index, current.version, current.content)

    def _recent_uses(self) -> dict[str, HostUses]:
        oldest = self.core.clock.monotonic() - USES_MAX_AGE_S
        return {
            host: host_uses
            for host, host_uses in self.uses.items()
            if host_uses.received_at >= oldest
        }

    def _sum_uses(
        self, asking_host: str, recent_uses: dict[str, HostUses]
    ) -> list[messages.ServerUse]:
        sums: dict[str, messages.ServerUse] = {}
        for host, host_uses in recent_uses.items():
            if host == asking_host:
                continue
            for use in host_uses.uses:
                total = sums.setdefault(use.server, messages.ServerUse(use.server))
                total.requests += use.requests
                total.tokens += use.tokens
                total.unread += use.unread
        return list(sums.values())

    async def _wake_after_applied(self) -> None:
        await self.wake()

    async def _prune(self) -> None:
        while True:
            await curio.sleep(PRUNE_INTERVAL_S)
            self.directory.prune()
            self.uses = self._recent_uses()
