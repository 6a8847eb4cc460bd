"""Closing of connections whose callers may still send, and have not read their last answer.

Closing a socket with unread input makes the kernel reset the connection, which can destroy an
answer that the caller has not read yet.
"""

import socket

import curio

from ebonywheel import sockets

LINGER_S = 3.0
# The same once the server has stopped accepting.
LAST_LINGER_S = 1.0
# A caller that goes on sending its body is read for as long as it could be this large.
LINGER_BYTES = 16 * 1024 * 1024
READ_BYTES = 65536
# Further connections are closed at once.
MAX_LINGERING = 256
# A socket that receives nothing more stays open for this long.
DEAF_LINGER_S = 0.25


class Lingering:
    """Discards input of connections before they are closed.

    Attributes:
        count: Number of connections that may still deliver their last answer.
    """

    def __init__(self):
        self.count = 0

    async def linger(self, sock: sockets.Socket, timeout_s: float, deaf: bool) -> None:
        """Stop sending, and discard input for a limited time or until the caller closes.

        Args:
            sock: The caller's socket.
            timeout_s: Longest time.
            deaf: Whether the socket was told to receive nothing more.
        """
        if self.count >= MAX_LINGERING:
            return
        self.count += 1
        try:
            await sock.shutdown(socket.SHUT_WR)
            if deaf:
                await curio.sleep(DEAF_LINGER_S)
            async with curio.ignore_after(timeout_s):
                await self._discard(sock)
        except OSError:
            return
        finally:
            self.count -= 1

    async def _discard(self, sock: sockets.Socket) -> None:
        discarded = 0
        while discarded < LINGER_BYTES and (data := await sock.recv(READ_BYTES)):
            discarded += len(data)
