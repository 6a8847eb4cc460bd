"""Watching of all control hosts, with one task for each, to keep a host's view up to date."""

import typing

import curio
import msgspec

from ebonywheel import exceptions, kernel, link, messages

# How long a control host may wait for a change before it answers a watch request. Half of the
# strictest bound on learning of changes (1 s, for cold starts), so that one lost answer does not
# exceed the bound.
WAIT_MS = 500
# The same at the nearest control host, which also tells this host of the others' load. Shorter, as
# hosts that choose servers by old loads choose the same ones; longer at the other control hosts, as
# traffic between data centres is paid for.
NEAREST_WAIT_MS = 100
# Time allowed for an answer beyond the wait: two one-way delays of 12 ms and a busy control host.
ANSWER_MARGIN_S = 1.0
# Time for the answers when all control hosts are asked at once: two one-way delays and a busy host.
REFRESH_TIMEOUT_S = 0.2
# Pause after a failed watch request. After a power failure of all hosts, control hosts restart some
# tenths of a second after the others.
RETRY_S = 0.1
# How long to keep watching a control host that is no longer listed as a member.
FORGET_S = 20.0


class View(typing.Protocol):
    """State that a watcher keeps up to date."""

    def watch_request(self, nearest: bool) -> messages.WatchRequest:
        """Return a watch request, to the nearest control host or another one.

        The watcher fills in the position.
        """

    def distance(self, data_centre: str) -> float:
        """Return the distance to a data centre, on any scale."""

    async def update(
        self,
        request: messages.WatchRequest,
        reply: messages.WatchReply,
        connection: link.Link,
        asked_at: float,
    ) -> None:
        """Apply the answer to a request that was sent at `asked_at`, monotonic seconds.

        Further requests may be made over its connection.
        """


class WatchPosition:
    """Position in the changes of one control host.

    Attributes:
        epoch: Epoch of the control host's positions.
        seen: Last position received.
        last_listed_at: When a member list last named the host, monotonic seconds.
        connected: Whether it answered the last watch.
        distance: Distance to it, infinite before the first connection.
        uses_number: Number of its last reply with the others' load, 0 for none.
        connection: Link to it, None before the first watch.
    """

    __slots__ = (
        "epoch",
        "seen",
        "last_listed_at",
        "connected",
        "distance",
        "uses_number",
        "connection",
    )

    def __init__(self, last_listed_at: float):
        self.epoch = 0
        self.seen = 0
        self.last_listed_at = last_listed_at
        self.connected = False
        self.distance = float("inf")
        self.uses_number = 0
        self.connection: link.Link | None = None


class Watcher:
    """Keeps a watch request open at each control host.

    Attributes:
        own_address: Link address of this host, which is not watched; empty for none.
        positions: Watch positions by link address of the control host.
    """

    def __init__(self, core: kernel.Kernel, view: View, own_address: str = ""):
        self.core = core
        self.view = view
        self.own_address = own_address
        self.positions: dict[str, WatchPosition] = {}

    async def follow(self, addresses: typing.Iterable[str]) -> None:
        """Watch the control hosts at these link addresses, as well as those watched already."""
        now = self.core.clock.monotonic()
        for address in addresses:
            if address == self.own_address:
                continue
            position = self.positions.get(address)
            if position is not None:
                position.last_listed_at = now
                continue
            self.positions[address] = WatchPosition(now)
            await self.core.spawn(self._watch(address, self.positions[address]), essential=True)

    def connected_count(self) -> int:
        """Return how many control hosts answered their last watch."""
        return sum(position.connected for position in self.positions.values())

    async def call(self, message: msgspec.Struct, timeout_s: float) -> msgspec.Struct:
        """Call the nearest control host, or the next one where that fails; return the answer.

        Args:
            message: A request that may safely be made more than once.
            timeout_s: Longest time to wait for each answer.

        Raises:
            LinkError: No control host is connected, or each call failed.
        """
        error = exceptions.LinkError(
            "no control host is connected", f"call {type(message).__name__}"
        )
        for position in sorted(self.positions.values(), key=lambda position: position.distance):
            if not position.connected:
                continue
            try:
                return await position.connection.call(message, timeout_s)
            except exceptions.LinkError as caught:
                error = caught
        raise error

    async def refresh(self) -> bool:
        """Ask all control hosts for what they have received, and apply it.

        Returns:
            Whether all of them answered within `REFRESH_TIMEOUT_S`.
        """
        asked = list(self.positions.values())
        answered = 0
        async with curio.ignore_after(REFRESH_TIMEOUT_S), curio.TaskGroup() as group:
            for position in asked:
                if position.connected:
                    await group.spawn(self._refresh(position))
            async for task in group:
                answered += task.result
        return answered == len(asked)

    async def _refresh(self, position: WatchPosition) -> bool:
        request = self.view.watch_request(nearest=False)
        request.epoch, request.seen = position.epoch, position.seen
        asked_at = self.core.clock.monotonic()
        try:
            reply = await position.connection.call(request, ANSWER_MARGIN_S)
            await self.view.update(request, reply, position.connection, asked_at)
        except Exception as error:
            # Its watch meets the same error, and deals with it.
            name = position.connection.name
            self.core.log.info("refresh_failed", peer=name, error=repr(error))
            return False
        return True

    async def _watch(self, address: str, position: WatchPosition) -> None:
        connection = position.connection = link.Link(self.core, f"control:{address}", address)
        try:
            while self._should_watch(position):
                await self._watch_once(connection, position)
        finally:
            self.positions.pop(address, None)
            await connection.close()

    def _should_watch(self, position: WatchPosition) -> bool:
        recently_listed = self.core.clock.monotonic() - position.last_listed_at < FORGET_S
        return recently_listed or not self.connected_count()

    def all_connected(self) -> bool:
        """Return whether every watched control host answered its last watch."""
        return self.connected_count() == len(self.positions)

    async def _watch_once(self, connection: link.Link, position: WatchPosition) -> None:
        nearest = self._is_nearest(position)
        request = self.view.watch_request(nearest)
        request.epoch = position.epoch
        request.seen = position.seen
        request.wait_ms = NEAREST_WAIT_MS if nearest else WAIT_MS
        request.uses_number = position.uses_number
        # While a control host is unreachable, the others relay the records that it received.
        request.relayed = request.relayed or not self.all_connected()
        asked_at = self.core.clock.monotonic()
        try:
            reply = await connection.call(request, request.wait_ms / 1000 + ANSWER_MARGIN_S)
            await self.view.update(request, reply, connection, asked_at)
        except Exception as error:
            if not isinstance(error, exceptions.LinkError):
                # The other control hosts are still followed.
                self.core.metrics.count("unusable_watch_replies")
                self.core.log.error("watch_reply_unusable", peer=connection.name, error=repr(error))
            self._set_connected(position, False, connection.name, str(error))
            position.uses_number = 0
            await connection.close()
            await curio.sleep(RETRY_S)
            return
        self._set_connected(position, True, connection.name, "")
        position.distance = self.view.distance(connection.peer.data_centre)
        if request.uses_wanted:
            # What this host knows of the load now comes from this reply, not from the others'.
            for other in self.positions.values():
                other.uses_number = 0
            position.uses_number = reply.uses_number
        position.epoch = reply.epoch
        position.seen = reply.seen
        await self.follow(reply.members)

    def _is_nearest(self, position: WatchPosition) -> bool:
        """Return whether no connected control host is nearer; the lowest address decides a tie."""
        connected = [
            (other.distance, address)
            for address, other in self.positions.items()
            if other.connected
        ]
        return not connected or self.positions[min(connected)[1]] is position

    def _set_connected(
        self, position: WatchPosition, connected: bool, name: str, error: str
    ) -> None:
        if connected != position.connected:
            event = "control_regained" if connected else "control_lost"
            self.core.log.info(event, peer=name, error=error)
        position.connected = connected
