"""TCP sockets whose operations give way to other tasks, and the options of all connections."""

import contextlib
import socket
import typing

import curio
import curio.io
import msgspec

from ebonywheel import turns

# Unsent bytes below which a connection takes more. Linux waits for a third of the send buffer
# otherwise, which a caller that reads slowly but steadily may not free for many seconds.
MAX_NOT_SENT_BYTES = 64 * 1024


class KeepAlive(msgspec.Struct, frozen=True):
    """When the kernel takes a silent peer for dead.

    Attributes:
        idle_s: Silence after which it probes the peer.
        interval_s: Time between probes.
        probes: Probes without an answer after which it gives up, if `user_timeout_ms` allows.
        user_timeout_ms: Silence, or time without an acknowledgement, after which it gives up. With
            this option set, Linux goes by it instead of the number of probes.
    """

    idle_s: int
    interval_s: int
    probes: int
    user_timeout_ms: int


KEEP_ALIVE = KeepAlive(15, 5, 3, 30_000)
# For connections that stand idle between requests, one of which must not be sent into a dead one.
# Two lost probes are tolerated no longer than a request may wait.
SHORT_KEEP_ALIVE = KeepAlive(1, 1, 2, 3_000)


_turn = turns.current


class Socket(curio.io.Socket):
    """A socket whose task gives way once its turn is over, however ready the peer is.

    A task gives way before an operation, never after one: a timeout loses nothing that was read.
    """

    def recv(self, maxsize: int, flags: int = 0) -> typing.Awaitable[bytes]:
        """Receive some bytes; none at the end of the connection."""
        receiving = curio.io.Socket.recv(self, maxsize, flags)
        return _after_others(receiving) if _turn.is_over(self) else receiving

    def send(self, data: bytes | memoryview, flags: int = 0) -> typing.Awaitable[int]:
        """Send some of the data; return the number of bytes sent."""
        sending = curio.io.Socket.send(self, data, flags)
        return _after_others(sending) if _turn.is_over(self) else sending

    async def sendall(self, data: bytes, flags: int = 0) -> None:
        """Send all of the data."""
        unsent = memoryview(data)
        while unsent:
            unsent = unsent[await self.send(unsent, flags) :]

    def send_now(self, data: bytes | memoryview) -> int:
        """Send what the kernel takes at once; return the number of bytes sent."""
        try:
            return self._socket.send(data)
        except (BlockingIOError, InterruptedError):
            return 0

    def stop_receiving_now(self) -> None:
        """Receive nothing more; who waits to receive gets the end of the connection."""
        with contextlib.suppress(OSError):
            self._socket.shutdown(socket.SHUT_RD)

    def shut_down_now(self) -> None:
        """Neither send nor receive any more; who waits to do so is woken."""
        with contextlib.suppress(OSError):
            self._socket.shutdown(socket.SHUT_RDWR)

    async def accept(self) -> tuple["Socket", tuple[str, int]]:
        """Accept a connection; return its socket and the address of the peer."""
        if _turn.is_over(self):
            await turns.give_way()
        return await super().accept()


async def _after_others(operation: typing.Coroutine) -> typing.Any:
    """Give way to other tasks, then do an operation."""
    try:
        await turns.give_way()
    except BaseException:
        operation.close()
        raise
    return await operation


def wrap(sock: curio.io.Socket) -> Socket:
    """Return a socket of this module in place of one of curio's."""
    with sock.blocking() as raw:
        return Socket(raw)


async def open_connection(host: str, port: int) -> Socket:
    """Connect to a server; raises like `curio.open_connection`."""
    return wrap(await curio.open_connection(host, port))


def listen(host: str, port: int, backlog: int) -> Socket:
    """Return a socket that listens at an address.

    Raises:
        OSError: The address cannot be bound.
    """
    return wrap(curio.tcp_server_socket(host, port, backlog=backlog))


def take_small_parts(sock: curio.io.Socket) -> None:
    """Have a connection take more as soon as its peer has read some, where the system can."""
    with contextlib.suppress(OSError):
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NOTSENT_LOWAT, MAX_NOT_SENT_BYTES)


def set_tcp_options(sock: curio.io.Socket, keep_alive: KeepAlive = KEEP_ALIVE) -> None:
    """Send small writes at once, and detect peers that vanish without closing the connection."""
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, keep_alive.idle_s)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, keep_alive.interval_s)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, keep_alive.probes)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, keep_alive.user_timeout_ms)
