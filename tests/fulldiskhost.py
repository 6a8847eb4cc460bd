"""Runs a program whose disk a test can fill, without filling a real one.

Usage: ``python fulldiskhost.py FILE PROGRAM ARGUMENT...``. While FILE exists, each write of durable
data, each new file and each rename finds no room.
"""

import errno
import os
import pathlib
import runpy
import sys

from ebonywheel import durable


def install(full_file):
    """Have `durable` find no room while a file exists."""
    write, replace = durable.write, os.replace

    def check():
        if full_file.exists():
            raise OSError(errno.ENOSPC, os.strerror(errno.ENOSPC))

    def write_with_room(descriptor, data):
        check()
        return write(descriptor, data)

    def replace_with_room(source, target):
        check()
        replace(source, target)

    durable.write = write_with_room
    os.replace = replace_with_room


if __name__ == "__main__":
    install(pathlib.Path(sys.argv[1]))
    sys.argv = sys.argv[2:]
    sys.path.insert(0, str(pathlib.Path(sys.argv[0]).parent))
    runpy.run_path(sys.argv[0], run_name="__main__")
