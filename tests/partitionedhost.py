"""Runs a program whose way to the backend servers a test can cut, which loopback cannot do.

Usage: ``python partitionedhost.py FILE PROGRAM ARGUMENT...``, with one of `MODES` in the file.
Stand-in servers listen on `SERVERS_IP`, the hosts of a test system on other addresses.
"""

import pathlib
import runpy
import sys
import time
import weakref

import curio

SERVERS_IP = "127.0.0.1"
# No cut; connections fall silent and new ones hang; connections are reset and new ones hang;
# connections live on and new ones are refused; connections are reset and new ones refused.
MODES = ("", "hang", "reset", "refuse", "reset and refuse")
POLL_S = 0.02


class Partition:
    """The partition as its control file tells.

    Attributes:
        file: The control file.
        held: Writes that a cut holds up, in order.
    """

    def __init__(self, file):
        self.file = pathlib.Path(file)
        self.held = []
        self.read_at = 0.0
        self.content = ""

    def mode(self):
        """Return the mode, at most `POLL_S` old."""
        now = time.monotonic()
        if now - self.read_at > POLL_S:
            self.read_at = now
            self.content = self.file.read_text()
        return self.content

    async def wait(self, *modes):
        """Wait until none of these modes holds."""
        while self.mode() in modes:
            await curio.sleep(POLL_S)

    async def deliver_held(self, send):
        """Deliver the writes that were held up once the cut has healed."""
        await self.wait("hang")
        held, self.held = self.held, []
        for sock, data in held:
            try:
                await send(sock, data)
            except OSError:
                continue


def install(partition):
    """Let sockets to backend servers meet the partition."""
    socket_class = curio.io.Socket
    connect, recv = socket_class.connect, socket_class.recv
    send, sendall = socket_class.send, socket_class.sendall
    server_sockets = weakref.WeakSet()

    async def patched_connect(self, address):
        if address[0] != SERVERS_IP:
            return await connect(self, address)
        await partition.wait("hang", "reset")
        if partition.mode() in ("refuse", "reset and refuse"):
            raise ConnectionRefusedError("refused by the partition")
        await connect(self, address)
        server_sockets.add(self)

    async def patched_recv(self, maxsize, flags=0):
        while self in server_sockets:
            if partition.mode() in ("reset", "reset and refuse"):
                raise ConnectionResetError("reset by the partition")
            await partition.wait("hang")
            async with curio.ignore_after(POLL_S):
                return await recv(self, maxsize, flags)
        return await recv(self, maxsize, flags)

    async def hold(sock, data):
        if not partition.held:
            await curio.spawn(partition.deliver_held, sendall, daemon=True)
        partition.held.append((sock, bytes(data)))

    async def patched_sendall(self, data, flags=0):
        if self in server_sockets and partition.mode() == "hang":
            await hold(self, data)
            return
        await sendall(self, data, flags)

    async def patched_send(self, data, flags=0):
        if self in server_sockets and partition.mode() == "hang":
            await hold(self, data)
            return len(data)
        return await send(self, data, flags)

    socket_class.connect, socket_class.recv = patched_connect, patched_recv
    socket_class.send, socket_class.sendall = patched_send, patched_sendall


if __name__ == "__main__":
    control_file, program, *arguments = sys.argv[1:]
    install(Partition(control_file))
    sys.argv = [program, *arguments]
    runpy.run_path(program, run_name="__main__")
