"""Pool of connections to backend servers, by incarnation of the server."""

import typing

import msgspec

from ebonywheel import clock, exceptions, httpclient, messages, sockets

# The kernel sends a lost first packet again only after 1 s; another server is faster.
CONNECT_TIMEOUT_S = 0.5
# A server closes an idle connection after the time that it states, in whole seconds. Reuse stops
# this much earlier, so that no request arrives while the server closes the connection.
KEEP_ALIVE_MARGIN_S = 0.5
# Keep-alive time of servers that state none.
DEFAULT_KEEP_ALIVE_S = 4.0


class IdleConnection(msgspec.Struct):
    """An idle connection to a server.

    Attributes:
        usable_until: When it stops being reusable, monotonic seconds.
    """

    record: messages.DirectoryRecord
    connection: httpclient.ClientConnection
    usable_until: float


class Observer(typing.Protocol):
    """Learns of new connections."""

    async def connected(self, record: messages.DirectoryRecord, seconds: float) -> None:
        """Record that a server has accepted a connection after a time."""

    async def connect_failed(
        self, record: messages.DirectoryRecord, error: exceptions.UpstreamError
    ) -> None:
        """Record that a connection to a server could not be opened."""

    async def connection_died(self, record: messages.DirectoryRecord) -> None:
        """Record that the kernel has given an idle connection to a server up."""


class Pool:
    """Pool of idle connections.

    Attributes:
        idle: Idle connections by id and start time of the server.
        opened: Number of connections opened so far.
        observer: Learns of new connections, None for none.
    """

    def __init__(self, time_source: clock.Clock):
        self.clock = time_source
        self.idle: dict[tuple[str, int], list[IdleConnection]] = {}
        self.opened = 0
        self.observer: Observer | None = None

    async def acquire(
        self, record: messages.DirectoryRecord, timeout_s: float
    ) -> httpclient.ClientConnection:
        """Return an idle connection to a server, or open a new one.

        Raises:
            UpstreamError: The server cannot be reached.
        """
        available = self.idle.get(_incarnation_key(record), [])
        while available:
            idle = available.pop()
            if idle.usable_until > self.clock.monotonic() and idle.connection.is_idle():
                idle.connection.start_next()
                return idle.connection
            await idle.connection.close()
        return await self.open(record, timeout_s)

    async def open(
        self, record: messages.DirectoryRecord, timeout_s: float
    ) -> httpclient.ClientConnection:
        """Open a new connection to a server, within `CONNECT_TIMEOUT_S` at most.

        Raises:
            UpstreamError: The server cannot be reached.
        """
        connection = httpclient.ClientConnection(
            record.address, allow_close_delimited=True, keep_alive=sockets.SHORT_KEEP_ALIVE
        )
        self.opened += 1
        began_at = self.clock.monotonic()
        try:
            await connection.connect(min(CONNECT_TIMEOUT_S, timeout_s))
        except exceptions.UpstreamError as error:
            if self.observer is not None:
                await self.observer.connect_failed(record, error)
            raise
        if self.observer is not None:
            await self.observer.connected(record, self.clock.monotonic() - began_at)
        return connection

    async def probe(
        self, record: messages.DirectoryRecord, timeout_s: float
    ) -> exceptions.UpstreamError | None:
        """Open a new connection to a server, which is kept for use; return why that failed."""
        try:
            connection = await self.open(record, timeout_s)
        except exceptions.UpstreamError as error:
            return error
        usable_until = self.clock.monotonic() + DEFAULT_KEEP_ALIVE_S - KEEP_ALIVE_MARGIN_S
        self._keep(record, connection, usable_until)
        return None

    async def release(
        self,
        record: messages.DirectoryRecord,
        connection: httpclient.ClientConnection,
        keep_alive_s: float | None,
    ) -> None:
        """Return a connection to the pool, or close it when it cannot be reused."""
        keep_alive_s = DEFAULT_KEEP_ALIVE_S if keep_alive_s is None else keep_alive_s
        if not connection.reusable() or keep_alive_s <= KEEP_ALIVE_MARGIN_S:
            await connection.close()
            return
        usable_until = self.clock.monotonic() + keep_alive_s - KEEP_ALIVE_MARGIN_S
        self._keep(record, connection, usable_until)

    def _keep(
        self,
        record: messages.DirectoryRecord,
        connection: httpclient.ClientConnection,
        usable_until: float,
    ) -> None:
        self.idle.setdefault(_incarnation_key(record), []).append(
            IdleConnection(record, connection, usable_until)
        )

    async def prune(self) -> None:
        """Close connections that are too old to be reused, or have ended."""
        now = self.clock.monotonic()
        ended: list[IdleConnection] = []
        for key, available in list(self.idle.items()):
            kept = []
            for idle in available:
                usable = idle.usable_until > now and idle.connection.is_idle()
                (kept if usable else ended).append(idle)
            self.idle[key] = kept
            if not kept:
                del self.idle[key]
        for idle in ended:
            if self.observer is not None and idle.connection.is_dead():
                await self.observer.connection_died(idle.record)
            await idle.connection.close()

    async def close(self) -> None:
        """Close all idle connections."""
        for available in self.idle.values():
            for idle in available:
                await idle.connection.close()
        self.idle.clear()


def _incarnation_key(record: messages.DirectoryRecord) -> tuple[str, int]:
    return (record.server, record.born_ms)
