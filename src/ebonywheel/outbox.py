"""What is written to a caller: at once as far as it reads, the rest as it takes it.

A source is not held up by a caller that reads slowly, up to a bound of unsent bytes. A caller that
takes nothing for too long loses its connection.
"""

import curio

from ebonywheel import exceptions, heldmemory, sockets, turns

# Unsent bytes of one answer, beyond which its source has to wait.
MAX_UNSENT_BYTES = 256 * 1024
WRITE_BYTES = 64 * 1024
# A caller that takes nothing for this long is given up.
WRITE_TIMEOUT_S = 60.0
# The same once its source waits for it: a backend server cuts off an answer that stays unread.
FULL_TIMEOUT_S = 4.0


class Outbox:
    """Writes to one caller.

    Attributes:
        sock: Its connection.
        unsent: Bytes that it has not taken.
        held: Counts them.
        failure: Why no more can be written, None while it can.
    """

    __slots__ = (
        "sock",
        "peer",
        "unsent",
        "held",
        "failure",
        "write_timeout_s",
        "full_timeout_s",
        "_writer",
        "_changed",
        "_full",
    )

    def __init__(self, sock: sockets.Socket, peer: str, account: heldmemory.Account):
        self.sock = sock
        self.peer = peer
        self.unsent = bytearray()
        self.held = account.hold()
        self.failure: exceptions.HttpError | None = None
        self.write_timeout_s = WRITE_TIMEOUT_S
        self.full_timeout_s = FULL_TIMEOUT_S
        self._writer: curio.Task | None = None
        self._changed = curio.Condition()
        self._full = False

    async def write(self, data: bytes) -> None:
        """Write data, or keep it until the caller reads; wait while too much is unsent.

        Raises:
            HttpError: The connection broke, or the caller does not read.
        """
        within_account = await self._put(data)
        if not within_account:
            await self._wait_below(0)
        elif len(self.unsent) > MAX_UNSENT_BYTES:
            await self._wait_below(MAX_UNSENT_BYTES)

    async def write_all(self, data: bytes) -> None:
        """Write data, and wait until the caller's connection has taken all; raises like `write`."""
        if self.unsent:
            await self._put(data)
            await self._wait_below(0)
            return
        rest = memoryview(data)[await self._write_now(data) :]
        if not rest:
            return
        self.held.force(len(rest))
        self.held.wait(self._on_shed)
        try:
            while rest:
                sent = await self._write_part(rest)
                rest = rest[sent:]
                self.held.force(-sent)
                self.held.progress(sent)
        finally:
            self.held.release()

    async def close(self) -> None:
        """Give up what is unsent."""
        if self._writer is not None:
            await self._writer.cancel()
        self.held.release()

    async def _put(self, data: bytes) -> bool:
        """Write what the connection takes and keep the rest; return whether there is room for it.

        What is kept without room, or over the bound, belongs to a source that waits.
        """
        if self.failure is not None:
            raise self.failure
        sent = 0 if self.unsent else await self._write_now(data)
        if sent == len(data):
            return True
        within_account = self.held.grow(len(data) - sent)
        if not within_account:
            self.held.force(len(data) - sent)
        self.unsent += memoryview(data)[sent:]
        if self._writer is None:
            self.held.wait(self._on_shed)
            self._writer = await curio.spawn(self._write_unsent, daemon=True)
        return within_account

    async def _write_now(self, data: bytes) -> int:
        """Write what the connection takes at once; return how much."""
        if self.failure is not None:
            raise self.failure
        if turns.current.is_over(self.sock):
            await turns.give_way()
        try:
            return self.sock.send_now(data)
        except OSError as error:
            raise exceptions.HttpError(str(error), "write", self.peer) from error

    async def _wait_below(self, size: int) -> None:
        """Wait until no more than this is unsent; raises like `write`."""
        self._full = True
        async with self._changed:
            while len(self.unsent) > size and self.failure is None:
                await self._changed.wait()
        self._full = False
        if self.failure is not None:
            raise self.failure

    async def _write_unsent(self) -> None:
        try:
            while self.unsent:
                sent = await self._write_part(self.unsent[:WRITE_BYTES])
                del self.unsent[:sent]
                self.held.force(-sent)
                self.held.progress(sent)
                await self._notify()
        except exceptions.HttpError as error:
            self.failure = error
        finally:
            self._writer = None
            self.held.stop_waiting()
        await self._notify()

    async def _write_part(self, data: bytearray | memoryview) -> int:
        """Write some of the data; return how much."""
        waited_s = 0.0
        while True:
            limit_s = self.full_timeout_s if self._full else self.write_timeout_s
            pause_s = min(limit_s, self.full_timeout_s)
            try:
                async with curio.timeout_after(pause_s):
                    return await self.sock.send(data)
            except curio.TaskTimeout as error:
                waited_s += pause_s
                if waited_s < limit_s:
                    continue
                raise self._unread_error() from error
            except OSError as error:
                if self.held.shed_reason:
                    raise self._unread_error() from error
                raise exceptions.HttpError(str(error), "write", self.peer) from error

    def _unread_error(self) -> exceptions.HttpError:
        return exceptions.HttpError("caller does not read the response", "write", self.peer)

    def _on_shed(self) -> None:
        """End the connection, as its memory is needed for others."""
        self.failure = self._unread_error()
        self.sock.shut_down_now()

    async def _notify(self) -> None:
        async with self._changed:
            await self._changed.notify_all()
