"""TCP socket options of all connections."""

import socket

import curio
import msgspec


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


def set_tcp_options(sock: curio.io.Socket, keep_alive: KeepAlive = KEEP_ALIVE) -> None:
    """Send small writes at once, and detect peers that vanish without closing the connection."""
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, keep_alive.idle_s)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, keep_alive.interval_s)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, keep_alive.probes)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, keep_alive.user_timeout_ms)
