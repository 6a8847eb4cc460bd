"""Durable files: atomic replacement, checksums, syncs and file locks."""

import fcntl
import os
import pathlib
import struct
import typing
import zlib

from ebonywheel import exceptions

TEMPORARY_SUFFIX = ".tmp"
CHECKSUM = struct.Struct("!I")


def fsync(descriptor: int) -> None:
    """Flush an open file to the disk."""
    os.fsync(descriptor)


def replace(path: pathlib.Path, *parts: bytes) -> None:
    """Replace a file's content atomically and durably; after a crash it is the old or the new one.

    Raises:
        OSError: The new content could not be written or synced.
    """
    temporary = path.with_name(path.name + TEMPORARY_SUFFIX)
    with open(temporary, "wb", buffering=0) as file:
        for part in parts:
            write_all(file.fileno(), part)
        fsync(file.fileno())
    os.replace(temporary, path)
    sync_folder(path.parent)


def replace_with_checksum(path: pathlib.Path, *parts: bytes) -> None:
    """Replace a file's content by a checksum and a body; the parts of the body are not copied.

    Raises:
        OSError: The new content could not be written or synced.
    """
    checksum = 0
    for part in parts:
        checksum = zlib.crc32(part, checksum)
    replace(path, CHECKSUM.pack(checksum), *parts)


def read_with_checksum(path: pathlib.Path) -> memoryview | None:
    """Return the body of a file with a checksum, or None if there is no such file.

    Raises:
        StorageError: The checksum does not match the body.
    """
    if not path.exists():
        return None
    data = path.read_bytes()
    body = memoryview(data)[CHECKSUM.size :]
    if len(data) < CHECKSUM.size or CHECKSUM.unpack_from(data)[0] != zlib.crc32(body):
        raise exceptions.StorageError("bad checksum", "read", str(path))
    return body


def write_all(descriptor: int, data: bytes | bytearray) -> None:
    """Write all bytes at the current position of a file.

    Raises:
        OSError: The bytes could not all be written.
    """
    view = memoryview(data)
    while view:
        view = view[os.write(descriptor, view) :]


def sync_folder(folder: pathlib.Path) -> None:
    """Sync a folder, so that files created or renamed in it keep their names after a crash."""
    descriptor = os.open(folder, os.O_RDONLY)
    try:
        fsync(descriptor)
    finally:
        os.close(descriptor)


def lock(path: pathlib.Path) -> typing.IO[bytes]:
    """Lock a file for this process until the returned object is closed.

    Raises:
        StorageError: Another process holds the lock.
    """
    file = open(path, "wb")
    try:
        fcntl.flock(file, fcntl.LOCK_EX | fcntl.LOCK_NB)
    except OSError as error:
        file.close()
        raise exceptions.StorageError("in use by another process", "lock", str(path)) from error
    return file
