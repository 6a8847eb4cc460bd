"""A control host's answers to watches: backend servers, routing, and what other hosts have in use.

Entry hosts and the other control hosts keep one watch open at each control host. News that change
where requests may go end the wait at once; mere renewals wait for the watch's time to run out.
"""

import secrets

import curio
import msgspec

from ebonywheel import directory, kernel, messages, replica, state

MAX_WAIT_MS = 2000
# Uses older than this come from a host that is gone or cut off; watches are renewed far sooner.
USES_FRESH_S = 3.0
PRUNE_S = 5.0
EPOCH_BITS = 48


class HostUses(msgspec.Struct):
    """What one entry host last reported to have in flight."""

    at: float
    uses: list[messages.ServerUse]


class WatchServer:
    """Answers watches.

    Attributes:
        directory: Backend servers known here.
        uses: Work in flight by entry host.
    """

    def __init__(self, core: kernel.Kernel, consensus: replica.Replica, machine: state.State):
        self.core = core
        self.replica = consensus
        self.machine = machine
        self.directory = directory.Directory(core.clock)
        self.uses: dict[str, HostUses] = {}
        self.epoch = secrets.randbits(EPOCH_BITS) + 1
        self.news = 0
        self.changed = curio.Condition()

    async def start(self) -> None:
        """Start forgetting what is outdated, and wake watches when routing changes."""
        self.replica.on_applied.append(self._wake_for_routing)
        await self.core.spawn(self._prune(), essential=True)

    async def observe(self, record: messages.DirectoryRecord, direct: bool) -> None:
        """Take in a record from a backend server or another control host."""
        if self.directory.observe(record, direct):
            directory.log_change(self.core.log, record)
            if direct:
                await self.wake()

    async def leave(self, server: str) -> None:
        """Take in that a backend server has left for good."""
        if self.directory.leave(server):
            self.core.log.info("server_left", server=server)
            await self.wake()

    async def wake(self) -> None:
        """End the wait of all watches."""
        self.news += 1
        async with self.changed:
            await self.changed.notify_all()

    async def watch(self, request: messages.WatchRequest) -> messages.WatchReply:
        """Answer one watch."""
        now = self.core.clock.monotonic()
        if request.uses_wanted:
            self.uses[request.host] = HostUses(now, request.uses)
        if request.epoch == self.epoch and not self._has_news(request):
            await self._wait(request)
        return self._reply(request)

    async def _wait(self, request: messages.WatchRequest) -> None:
        news = self.news
        async with curio.ignore_after(min(request.wait_ms, MAX_WAIT_MS) / 1000):
            async with self.changed:
                while self.news == news:
                    await self.changed.wait()

    def _has_news(self, request: messages.WatchRequest) -> bool:
        routing = self.machine.data.routing
        return routing.index > request.routing_index or routing.out_index > request.out_index

    def _reply(self, request: messages.WatchRequest) -> messages.WatchReply:
        routing = self.machine.data.routing
        seen = request.seen if request.epoch == self.epoch else 0
        records = self.directory.changes(seen, request.relayed or seen == 0)
        hosts = self._fresh_hosts()
        return messages.WatchReply(
            self.epoch,
            self.directory.position,
            records,
            routing.index,
            routing.version,
            routing.out_index,
            routing.out,
            [member.link for member in self.replica.members],
            len(hosts),
            self._sum_uses(request.host, hosts) if request.uses_wanted else [],
        )

    def routing(self) -> messages.RoutingReply:
        """Return the routing content in force here."""
        held = self.machine.data.routing
        return messages.RoutingReply(held.index, held.version, held.content)

    def _fresh_hosts(self) -> dict[str, HostUses]:
        since = self.core.clock.monotonic() - USES_FRESH_S
        return {host: held for host, held in self.uses.items() if held.at >= since}

    def _sum_uses(self, asker: str, hosts: dict[str, HostUses]) -> list[messages.ServerUse]:
        sums: dict[str, messages.ServerUse] = {}
        for host, held in hosts.items():
            if host == asker:
                continue
            for use in held.uses:
                total = sums.setdefault(use.server, messages.ServerUse(use.server))
                total.requests += use.requests
                total.tokens += use.tokens
                total.unread += use.unread
        return list(sums.values())

    async def _wake_for_routing(self) -> None:
        await self.wake()

    async def _prune(self) -> None:
        while True:
            await curio.sleep(PRUNE_S)
            self.directory.prune()
            self.uses = self._fresh_hosts()
