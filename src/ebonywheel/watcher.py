"""Watches of all control hosts: one task for each, which keeps the host's view up to date."""

import typing

import curio

from ebonywheel import exceptions, kernel, link, messages

# Half of the shortest bound on news (cold starts, 1 s), so that a lost answer costs no more.
WAIT_MS = 500
# Beyond the wait: two one-way delays of 12 ms and a busy control host.
ANSWER_S = 1.0
# After a whole loss of power the control hosts are back some tenths of a second after others.
RETRY_S = 0.1
# How long a control host that is no longer a member is still asked.
FORGET_S = 20.0


class View(typing.Protocol):
    """What is kept up to date."""

    def request(self) -> messages.WatchRequest:
        """Return a watch with all but the position filled in."""

    async def update(self, reply: messages.WatchReply, connection: link.Link) -> None:
        """Take in an answer; more may be asked on the same connection."""


class Position:
    """How far one control host has been followed."""

    __slots__ = ("epoch", "seen", "listed_at", "connected")

    def __init__(self, listed_at: float):
        self.epoch = 0
        self.seen = 0
        self.listed_at = listed_at
        self.connected = False


class Watcher:
    """Keeps a watch open at each control host.

    Attributes:
        positions: Followed control hosts by link address.
    """

    def __init__(self, core: kernel.Kernel, view: View, own_address: str = ""):
        self.core = core
        self.view = view
        self.own_address = own_address
        self.positions: dict[str, Position] = {}

    async def follow(self, addresses: typing.Iterable[str]) -> None:
        """Follow the control hosts at these link addresses, too."""
        now = self.core.clock.monotonic()
        for address in addresses:
            if address == self.own_address:
                continue
            held = self.positions.get(address)
            if held is not None:
                held.listed_at = now
                continue
            self.positions[address] = Position(now)
            await self.core.spawn(self._run(address, self.positions[address]), essential=True)

    def connected(self) -> int:
        """Return how many control hosts answer."""
        return sum(position.connected for position in self.positions.values())

    async def _run(self, address: str, position: Position) -> None:
        connection = link.Link(self.core, f"control:{address}", address)
        try:
            while self._wanted(position):
                await self._watch_once(connection, position)
        finally:
            self.positions.pop(address, None)
            await connection.close()

    def _wanted(self, position: Position) -> bool:
        listed = self.core.clock.monotonic() - position.listed_at < FORGET_S
        return listed or not self.connected()

    def all_connected(self) -> bool:
        """Return whether every followed control host answers."""
        return self.connected() == len(self.positions)

    async def _watch_once(self, connection: link.Link, position: Position) -> None:
        request = self.view.request()
        request.epoch = position.epoch
        request.seen = position.seen
        request.wait_ms = WAIT_MS
        # What an unreachable control host learns comes by way of the others.
        request.relayed = not self.all_connected()
        try:
            reply = await connection.call(request, WAIT_MS / 1000 + ANSWER_S)
            await self.view.update(reply, connection)
        except exceptions.LinkError as error:
            self._note(position, False, connection.name, str(error))
            await connection.close()
            await curio.sleep(RETRY_S)
            return
        self._note(position, True, connection.name, "")
        position.epoch = reply.epoch
        position.seen = reply.seen
        await self.follow(reply.members)

    def _note(self, position: Position, connected: bool, name: str, error: str) -> None:
        if connected != position.connected:
            event = "control_regained" if connected else "control_lost"
            self.core.log.info(event, peer=name, error=error)
        position.connected = connected
