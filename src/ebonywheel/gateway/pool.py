"""Connections to backend servers, kept and used again by incarnation of the server."""

import msgspec

from ebonywheel import clock, httpclient, messages

CONNECT_TIMEOUT_S = 1.0
# A server closes an idle connection at the time it states in whole seconds; a request must not
# meet that end on its way, so what is nearly due is not used again.
KEEP_MARGIN_S = 0.5
# Where a server does not say how long it keeps idle connections.
DEFAULT_KEEP_S = 4.0


class Idle(msgspec.Struct):
    """A connection that waits for its next request."""

    connection: httpclient.ClientConnection
    until: float


class Pool:
    """Idle connections by server.

    Attributes:
        opened: Connections opened so far.
    """

    def __init__(self, source: clock.Clock):
        self.clock = source
        self.idle: dict[tuple[str, int], list[Idle]] = {}
        self.opened = 0

    async def acquire(
        self, record: messages.DirectoryRecord, timeout_s: float
    ) -> httpclient.ClientConnection:
        """Return a connection to a server, an idle one where there is one.

        Raises:
            UpstreamError: The server cannot be reached.
        """
        waiting = self.idle.get(_key(record), [])
        while waiting:
            held = waiting.pop()
            if held.until > self.clock.monotonic() and held.connection.quiet():
                held.connection.start_next()
                return held.connection
            await held.connection.close()
        connection = httpclient.ClientConnection(record.address, ends_by_close=True)
        self.opened += 1
        await connection.connect(min(CONNECT_TIMEOUT_S, timeout_s))
        return connection

    async def release(
        self,
        record: messages.DirectoryRecord,
        connection: httpclient.ClientConnection,
        keep_s: float | None,
    ) -> None:
        """Keep a connection for the next request, or close it."""
        keep_s = DEFAULT_KEEP_S if keep_s is None else keep_s
        if not connection.reusable() or keep_s <= KEEP_MARGIN_S:
            await connection.close()
            return
        until = self.clock.monotonic() + keep_s - KEEP_MARGIN_S
        self.idle.setdefault(_key(record), []).append(Idle(connection, until))

    async def prune(self) -> None:
        """Close connections that are not used again in time."""
        now = self.clock.monotonic()
        for key in list(self.idle):
            kept = [held for held in self.idle[key] if held.until > now]
            outdated = [held for held in self.idle[key] if held.until <= now]
            self.idle[key] = kept
            if not kept:
                del self.idle[key]
            for held in outdated:
                await held.connection.close()

    async def close(self) -> None:
        """Close all idle connections."""
        for waiting in self.idle.values():
            for held in waiting:
                await held.connection.close()
        self.idle.clear()


def _key(record: messages.DirectoryRecord) -> tuple[str, int]:
    return (record.server, record.born_ms)
