"""Durable files: atomic replacement, checksums, syncs and file locks."""

import contextlib
import errno
import fcntl
import os
import pathlib
import struct
import typing
import zlib

from ebonywheel import exceptions

TEMPORARY_SUFFIX = ".tmp"
CHECKSUM = struct.Struct("!I")
NO_SPACE_ERRORS = frozenset({errno.ENOSPC, errno.EDQUOT})


class NoSpaceError(OSError):
    """The disk took no more bytes.

    Unlike a failed sync, it leaves no doubt about what was stored before.
    """


def fsync(descriptor: int) -> None:
    """Flush an open file to the disk."""
    os.fsync(descriptor)


def write(descriptor: int, data: memoryview) -> int:
    """Write bytes to an open file and return how many of them were written."""
    return os.write(descriptor, data)


def replace(path: pathlib.Path, *parts: bytes) -> None:
    """Replace a file's content atomically and durably; after a crash it is the old or the new one.

    Raises:
        NoSpaceError: The disk is full; the old content is in place.
        OSError: The new content could not be written or synced.
    """
    temporary = path.with_name(path.name + TEMPORARY_SUFFIX)
    with _no_space_detected():
        file = open(temporary, "wb", buffering=0)
    with file:
        for part in parts:
            write_all(file.fileno(), part)
        fsync(file.fileno())
    with _no_space_detected():
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
        NoSpaceError: The disk is full; some of the bytes may have been written.
        OSError: The bytes could not all be written.
    """
    view = memoryview(data)
    while view:
        with _no_space_detected():
            view = view[write(descriptor, view) :]


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


@contextlib.contextmanager
def _no_space_detected() -> typing.Iterator[None]:
    """Raise `NoSpaceError` in place of the error that says the disk is full."""
    try:
        yield
    except OSError as error:
        if error.errno in NO_SPACE_ERRORS:
            raise NoSpaceError(error.errno, error.strerror) from error
        raise
