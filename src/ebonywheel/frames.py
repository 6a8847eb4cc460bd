"""Reads and writes whole frames on one socket."""

import socket

import curio
import msgspec

from ebonywheel import codec, exceptions, kernel, turns

SEND_TIMEOUT_S = 5.0
READ_BYTES = 65536
MAX_HANDSHAKE_BYTES = 4096


class FrameStream:
    """Reads and writes frames on one socket.

    Attributes:
        name: Name of the peer for errors.
        delay_s: Delay before each write, to simulate a slow link.
        frames_read: Number of whole frames read so far.
        broken: True once a write stopped within a frame, so that nothing more may be written.
    """

    def __init__(self, core: kernel.Kernel, sock: curio.io.Socket, name: str, delay_s: float = 0.0):
        self.core = core
        self.sock = sock
        self.name = name
        self.delay_s = delay_s
        self.buffer = bytearray()
        self.write_lock = curio.Lock()
        self.frames_read = 0
        self.broken = False

    async def write(self, frame: bytes) -> None:
        """Write one whole frame.

        Raises:
            LinkError: The connection failed or the peer does not read.
        """
        if self.delay_s:
            await curio.sleep(self.delay_s)
        try:
            async with curio.timeout_after(SEND_TIMEOUT_S):
                async with self.write_lock:
                    await self._send_frame(frame)
        except curio.TaskTimeout as error:
            raise exceptions.LinkTimeout("peer does not read", "write", self.name) from error
        except OSError as error:
            raise exceptions.LinkError(str(error), "write", self.name) from error
        self.core.metrics.count("link_bytes_out", len(frame))

    async def _send_frame(self, frame: bytes) -> None:
        try:
            await self.sock.sendall(frame)
        except curio.CancelledError:
            # Part of the frame may have been sent; the peer would misread anything after it.
            self.broken = True
            await self.shutdown()
            raise

    async def read(self) -> tuple[codec.Header, msgspec.Struct]:
        """Read one whole frame.

        Raises:
            UnknownMessageError: This build does not know the message; further frames can be read.
            FrameError: The frame is malformed.
            LinkError: The connection failed or was closed.
        """
        if turns.current.is_over(self.sock):
            await turns.give_way()
        try:
            header = codec.decode_header(await self._read_bytes(codec.HEADER.size))
        except exceptions.UnknownMessageError as error:
            await self._read_bytes(error.length)
            raise
        return await self._read_body(header)

    async def read_handshake(self, expected: type[msgspec.Struct]) -> msgspec.Struct:
        """Read a small message of the expected class from a peer that is not authenticated yet.

        Raises:
            FrameError: The frame is malformed.
            HandshakeError: The message is of another class or too large.
            LinkError: The connection failed or was closed.
        """
        header = codec.decode_header(await self._read_bytes(codec.HEADER.size))
        if header.type_number != codec.type_number(expected) or header.length > MAX_HANDSHAKE_BYTES:
            raise exceptions.HandshakeError(f"expected {expected.__name__}", "handshake", self.name)
        return (await self._read_body(header))[1]

    async def _read_body(self, header: codec.Header) -> tuple[codec.Header, msgspec.Struct]:
        body = await self._read_bytes(header.length)
        self.frames_read += 1
        return header, codec.decode_body(header, body)

    async def shutdown(self) -> None:
        """Shut the socket down; the task that reads from it then closes it."""
        try:
            await self.sock.shutdown(socket.SHUT_RDWR)
        except OSError:
            return

    async def _read_bytes(self, size: int) -> bytes:
        while len(self.buffer) < size:
            try:
                data = await self.sock.recv(READ_BYTES)
            except OSError as error:
                raise exceptions.LinkError(str(error), "read", self.name) from error
            if not data:
                raise exceptions.LinkError("connection closed", "read", self.name)
            self.core.metrics.count("link_bytes_in", len(data))
            self.buffer += data
        content = bytes(self.buffer[:size])
        del self.buffer[:size]
        return content
