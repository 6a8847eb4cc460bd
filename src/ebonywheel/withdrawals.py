"""Which control hosts hold a backend server's withdrawal, before it is acknowledged.

A server that withdraws acts on the acknowledgement: it may report no more, and ends some seconds
later. If only the host that acknowledged the withdrawal knew of it, the loss of that host would
undo it. The watches of the other control hosts show what these hold, as each names the last
position that it has received.
"""

import curio

from ebonywheel import directory, exceptions, kernel, link, messages, replica

# With the time for asking the other control hosts, less than the second after which a server turns
# to another control host.
HOLD_TIMEOUT_S = 0.6


class Holders:
    """Positions up to which the other control hosts hold this host's records of servers.

    Attributes:
        positions: These positions, by host name.
        changed: Notified when one grows.
    """

    def __init__(self, core: kernel.Kernel, consensus: replica.Replica):
        self.core = core
        self.replica = consensus
        self.positions: dict[str, int] = {}
        self.changed = curio.Condition()

    async def observe(
        self, request: messages.WatchRequest, peer: link.PeerInfo, epoch: int
    ) -> None:
        """Take what a control host's watch request says that it holds.

        Args:
            request: The request.
            peer: Its sender.
            epoch: Epoch of this host's positions; a request of another one holds nothing.
        """
        if peer.role != "control":
            return
        members = {member.host for member in self.replica.members}
        self.positions = {host: at for host, at in self.positions.items() if host in members}
        if peer.host in members:
            self.positions[peer.host] = request.seen if request.epoch == epoch else 0
            async with self.changed:
                await self.changed.notify_all()

    def holding(self, position: int) -> list[str]:
        """Return the voting control hosts that hold the record at a position, this one included."""
        return [
            member.host
            for member in self.replica.members
            if member.voter
            and (
                member.host == self.core.host.name or self.positions.get(member.host, 0) >= position
            )
        ]

    def is_held(self, position: int) -> bool:
        """Return whether a majority of the voting control hosts hold the record at a position."""
        voters = sum(member.voter for member in self.replica.members)
        return 2 * len(self.holding(position)) > voters

    async def wait(self, entry: directory.DirectoryEntry) -> None:
        """Wait until a majority of the control hosts hold a server's withdrawal.

        Raises:
            UnknownOutcomeError: Too few of them hold it in time; it may still be passed on.
        """
        position = entry.withdrawn_position
        if self.is_held(position):
            return
        began_at = self.core.clock.monotonic()
        async with curio.ignore_after(HOLD_TIMEOUT_S):
            async with self.changed:
                while not self.is_held(position):
                    await self.changed.wait()
        held = self.is_held(position)
        self.core.log.info(
            "withdrawal_held" if held else "withdrawal_not_held",
            server=entry.record.server,
            position=position,
            holders=" ".join(self.holding(position)),
            took_ms=int((self.core.clock.monotonic() - began_at) * 1000),
        )
        if not held:
            self.core.metrics.count("withdrawals_not_held")
            raise exceptions.UnknownOutcomeError(
                "too few control hosts hold the withdrawal", "pass on", entry.record.server
            )
