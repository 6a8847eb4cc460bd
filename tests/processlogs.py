"""Reads what processes that may still run have written: whole lines only."""

import json
import pathlib


def whole_lines(path):
    """Return the lines of a file that end in a line break; the last one may not be whole yet."""
    content = pathlib.Path(path).read_bytes()
    return content[: content.rfind(b"\n") + 1].decode().split("\n")[:-1]


def entries(path):
    """Return the entries of a log with JSON lines; other lines are passed over.

    Raises:
        ValueError: A whole line starts like an entry but is none.
    """
    return [json.loads(line) for line in whole_lines(path) if line.startswith("{")]
