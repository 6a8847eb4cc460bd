"""A disk that loses power: a model of writes, syncs and names beside the real files of one folder.

`PowerDisks.intercept` replaces the file calls of `durable`, `logfile` and `auditlog`. A write or a
change of a file's length is durable once the file was synced, a name once its folder was. After a
power loss, each later write is present, missing or torn, and each later name kept or lost,
independently of the others.
"""

import contextlib
import errno
import io
import os
import pathlib
import shutil

from ebonywheel import auditlog, durable, logfile

SECTOR_BYTES = 512


class PowerLoss(Exception):
    """The process ended; no file call after it takes effect."""


class FileModel:
    """One file: what is durable, and the later changes in order.

    Attributes:
        synced: Content that the last sync covered.
        changes: Later changes: the offset and the data of a write, or a new length and None.
    """

    def __init__(self, content=b""):
        self.synced = bytes(content)
        self.changes = []

    def sync(self, count):
        content = bytearray(self.synced)
        for offset, data in self.changes[:count]:
            if data is None:
                set_length(content, offset)
            else:
                put(content, offset, data)
        self.synced = bytes(content)
        del self.changes[:count]


class PowerDisk:
    """The data folder of a host, and the folder above it.

    Attributes:
        steps_left: Number of further changes and syncs until the process ends, or None.
        room: Number of further bytes that find room, or None.
        fails_syncs: Whether a sync fails.
        during_sync: Called once while the next file is synced, or None.
        ignored_syncs: Base names of files (and "" for folders) whose syncs do nothing.
        error: Raised by all calls after the process has ended.
        ended_at: Call at which the process ended, and the name of its file.
    """

    def __init__(self, folder, rng):
        self.folder = pathlib.Path(folder)
        self.rng = rng
        # Versions of each name since its folder was synced, the durable one first.
        self.names = {}
        self.open_files = {}
        self.folders = {}
        self.steps_left = None
        self.ended = False
        self.room = None
        self.fails_syncs = False
        self.during_sync = None
        self.ignored_syncs = set()
        self.error = PowerLoss
        self.ended_at = None

    # -- calls of the process --------------------------------------------------------------

    def open(self, path, mode="r", buffering=-1):
        path = pathlib.Path(path)
        if "r" not in mode or "+" in mode:
            self._note_folder()
        exists = path.exists()
        if mode == "wb" or not exists:
            self._step("open", path)
        raw = ModelledFile(path, mode, self)
        if not exists:
            raw.model = FileModel()
            self.names.setdefault(path, [None]).append(raw.model)
        raw.model = self.names[path][-1]
        if mode == "wb" and exists:
            raw.model.changes.append((0, None))
        self.open_files[raw.fileno()] = raw
        if buffering == 0 or mode == "wb":
            return raw
        return io.BufferedReader(raw) if mode == "rb" else io.BufferedRandom(raw)

    def write(self, descriptor, data):
        file = self.open_files[descriptor]
        self._step("write", file.path)
        if self.room is not None:
            if not self.room:
                raise OSError(errno.ENOSPC, os.strerror(errno.ENOSPC))
            data = data[: self.room]
            self.room -= len(data)
        offset = os.lseek(descriptor, 0, os.SEEK_END if "a" in file.opened_as else os.SEEK_CUR)
        file.model.changes.append((offset, bytes(data)))
        return os.write(descriptor, data)

    def truncate(self, file, size):
        self._step("truncate", file.path)
        file.model.changes.append((size, None))

    def replace(self, source, target):
        self._step("replace", target)
        os.replace(source, target)
        self.names.setdefault(target, [None]).append(self.names[source][-1])
        self.names[source].append(None)

    def fsync(self, descriptor):
        folder = self.folders.get(descriptor)
        path = folder or self.open_files[descriptor].path
        name = "" if folder else path.name
        self._step("fsync", path)
        if self.fails_syncs:
            raise OSError(errno.EIO, os.strerror(errno.EIO))
        if folder:
            self.sync_names(folder)
            return
        model = self.open_files[descriptor].model
        count = len(model.changes)
        during_sync, self.during_sync = self.during_sync, None
        if during_sync:
            during_sync()
        self._step("end of fsync", path)
        if name not in self.ignored_syncs:
            model.sync(count)

    def open_folder(self, path, flags):
        descriptor = os.open(path, flags)
        self.folders[descriptor] = pathlib.Path(path)
        return descriptor

    def close_folder(self, descriptor):
        self.folders.pop(descriptor, None)
        os.close(descriptor)

    def sync_names(self, folder):
        """Make the names in a folder durable."""
        if "" in self.ignored_syncs:
            return
        for path, versions in list(self.names.items()):
            if path.parent == folder:
                del versions[:-1]

    def _note_folder(self):
        self.names.setdefault(self.folder, [None, "folder"])

    def _step(self, call, path):
        if self.ended:
            raise self.error
        if self.steps_left is not None:
            self.steps_left -= 1
            if self.steps_left < 0:
                self.ended = True
                self.ended_at = (call, path.name)
                raise self.error

    # -- ends of the process ---------------------------------------------------------------

    def kill(self):
        """End the process; its files remain as they were."""
        for file in list(self.open_files.values()):
            file.close()
        for descriptor in list(self.folders):
            self.close_folder(descriptor)
        self.open_files.clear()
        self.ended = False
        self.steps_left = self.room = self.during_sync = None
        self.fails_syncs = False

    def lose_power(self, kind=None):
        """Leave one of the disks that a power loss may leave; all later changes may be gone."""
        self.kill()
        if not self.names:
            return
        kind = kind or self.rng.choice(["all gone", "all kept", "mixed", "mixed", "mixed"])
        contents = {}
        for path, versions in self.names.items():
            file = self._choose_version(kind, versions)
            if file not in (None, "folder") and path.parent == self.folder:
                contents[path] = self._choose_content(kind, file)
        has_folder = self._choose_version(kind, self.names.get(self.folder, [None]))
        self.names.clear()
        shutil.rmtree(self.folder, ignore_errors=True)
        if not has_folder:
            return
        self.folder.mkdir()
        self.names[self.folder] = ["folder"]
        for path, content in contents.items():
            path.write_bytes(content)
            self.names[path] = [FileModel(content)]

    def lose_all(self):
        """Leave no folder, as a new disk."""
        self.kill()
        self.names.clear()
        shutil.rmtree(self.folder, ignore_errors=True)

    def _choose_version(self, kind, versions):
        if kind == "all gone":
            return versions[0]
        return versions[-1] if kind == "all kept" else self.rng.choice(versions)

    def _choose_content(self, kind, file):
        content = bytearray(file.synced)
        for offset, data in file.changes:
            fate = {"all gone": "missing", "all kept": "present"}.get(kind)
            fate = fate or self.rng.choice(["present", "missing", "torn"])
            if data is None:
                if fate == "present":
                    set_length(content, offset)
            elif fate == "present":
                put(content, offset, data)
            elif fate == "torn":
                self._put_torn(content, offset, data)
        return bytes(content)

    def _put_torn(self, content, offset, data):
        """Put a beginning of the data, or some of its sectors, with or without its full length."""
        if self.rng.random() < 0.5:
            put(content, offset, data[: self.rng.randrange(len(data) + 1)])
        else:
            position = 0
            while position < len(data):
                end = position + SECTOR_BYTES - (offset + position) % SECTOR_BYTES
                if self.rng.random() < 0.5:
                    put(content, offset + position, data[position:end])
                position = end
        if self.rng.random() < 0.5 and len(content) < offset + len(data):
            set_length(content, offset + len(data))


class ModelledFile(io.FileIO):
    """An open file whose changes of length are recorded."""

    def __init__(self, path, mode, disk):
        super().__init__(path, mode)
        self.path = path
        self.opened_as = mode
        self.disk = disk
        self.model = None

    def truncate(self, size=None):
        size = self.tell() if size is None else size
        if size != os.fstat(self.fileno()).st_size:
            self.disk.truncate(self, size)
        return super().truncate(size)

    def close(self):
        if not self.closed:
            self.disk.open_files.pop(self.fileno(), None)
        super().close()


class PowerDisks:
    """The disks of several hosts in one process.

    Attributes:
        disks: Each disk, by its folder.
        loss_kind: What `cut_power` leaves, or None for a random choice.
    """

    def __init__(self, rng):
        self.rng = rng
        self.loss_kind = None
        self.disks = {}

    @contextlib.contextmanager
    def intercept(self):
        """Replace the file calls of the modules that write durable files."""
        calls = FileCalls(self)
        with contextlib.ExitStack() as stack:
            for module in (durable, logfile, auditlog):
                stack.callback(setattr, module, "os", module.os)
                module.os = calls
                module.open = self.open
                stack.callback(delattr, module, "open")
            yield

    def disk(self, folder):
        """Return the disk of a folder."""
        folder = pathlib.Path(folder)
        if folder not in self.disks:
            self.disks[folder] = PowerDisk(folder, self.rng)
        return self.disks[folder]

    def open(self, path, mode="r", buffering=-1):
        return self.disk(pathlib.Path(path).parent).open(path, mode, buffering)

    def write(self, descriptor, data):
        return self._disk_of(descriptor).write(descriptor, data)

    def fsync(self, descriptor):
        disk = self._disk_of(descriptor)
        folder = disk.folders.get(descriptor)
        disk.fsync(descriptor)
        for other in list(self.disks.values()):
            if folder == other.folder.parent:
                other.sync_names(folder)

    def replace(self, source, target):
        self.disk(source.parent).replace(source, target)

    def open_folder(self, path, flags):
        folder = pathlib.Path(path)
        above = (disk for disk in self.disks.values() if disk.folder.parent == folder)
        return (self.disks.get(folder) or next(above)).open_folder(path, flags)

    def close_folder(self, descriptor):
        self._disk_of(descriptor).close_folder(descriptor)

    def cut_power(self, folder):
        self.disk(folder).lose_power(self.loss_kind)

    def _disk_of(self, descriptor):
        for disk in list(self.disks.values()):
            if descriptor in disk.open_files or descriptor in disk.folders:
                return disk
        # The power loss closed the file.
        raise OSError(errno.EBADF, os.strerror(errno.EBADF))


class FileCalls:
    """The module `os` with the file calls of some disks."""

    def __init__(self, disks):
        self.write = disks.write
        self.fsync = disks.fsync
        self.replace = disks.replace
        self.open = disks.open_folder
        self.close = disks.close_folder

    def __getattr__(self, name):
        return getattr(os, name)


def put(content, offset, data):
    """Put data at an offset; a gap before it reads as zeros."""
    if data and len(content) < offset:
        set_length(content, offset)
    content[offset : offset + len(data)] = data


def set_length(content, length):
    del content[length:]
    content.extend(bytes(length - len(content)))
