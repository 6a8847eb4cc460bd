"""Explains a wrong document: file, line or key, what was expected and what was found."""

import enum
import re
import tomllib
import typing

import msgspec

from ebonywheel import configuration, documents, exceptions

_PATH_PART = re.compile(r"\.([A-Za-z0-9_]+)|\[(\d+)\]")
# Values under these keys may be secrets that were entered by mistake.
SECRET_KEYS = frozenset({"key_sha256"})


def explain(text: str, error: exceptions.DocumentError) -> exceptions.DocumentError:
    """Return the error with the entry's key, its line and the value that was found."""
    try:
        raw = tomllib.loads(text)
    except tomllib.TOMLDecodeError as malformed:
        return exceptions.DocumentError(str(malformed), "read TOML", error.peer)
    for section, kind in configuration.document_types().items():
        problem = _find_problem(raw, section, kind)
        if problem:
            return exceptions.DocumentError(problem, error.step, error.peer)
    return error


def line_of(text: str, place: str) -> int:
    """Return the line of a key such as ``services.plan.kind``, or 0 when it is not found."""
    parts = place.replace("`", "").split(".")
    for depth in range(len(parts), 0, -1):
        header = ".".join(parts[:depth])
        lines = text.splitlines()
        for number, line in enumerate(lines, start=1):
            bare = line.strip().strip("[]").replace('"', "")
            if line.lstrip().startswith("[") and bare == header:
                return _line_of_key(lines, number, parts[depth:])
    return _line_of_key(text.splitlines(), 0, parts[:1])


def _line_of_key(lines: list[str], start: int, rest: list[str]) -> int:
    if rest:
        key = rest[0].partition("[")[0]
        for number, line in enumerate(lines[start:], start=start + 1):
            if line.lstrip().startswith("["):
                break
            if line.partition("=")[0].strip().strip('"') == key:
                return number
    return start


def _find_problem(raw: dict[str, typing.Any], section: str, kind: typing.Any) -> str:
    held = raw.get(section)
    if held is None:
        return ""
    if section in configuration.DOCUMENT_TABLES:
        return _find_entry_problem(held, section, kind)
    if not isinstance(held, dict):
        return f"Expected a table, got {held!r} - at `{section}`"
    for name, value in held.items():
        problem = _find_entry_problem(value, f"{section}.{name}", kind)
        if problem:
            return problem
    return ""


def _find_entry_problem(value: typing.Any, place: str, kind: typing.Any) -> str:
    try:
        msgspec.convert(value, type=kind)
    except msgspec.ValidationError as error:
        text, _, path = str(error).partition(" - at `$")
        path = path.removesuffix("`")
        expected = _choices(kind, path)
        if expected:
            text = f"Expected one of: {expected}"
        return f"{text}{_found(value, path)} - at `{place}{path}`"
    return ""


def _found(value: typing.Any, path: str) -> str:
    for name, position in _PATH_PART.findall(path):
        try:
            value = value[name] if name else value[int(position)]
        except (KeyError, IndexError, TypeError):
            return ""
    if any(name in SECRET_KEYS for name, _ in _PATH_PART.findall(path)):
        return f", got a text of {len(str(value))} characters"
    return "" if isinstance(value, dict) else f", got {value!r}"


def _choices(kind: typing.Any, path: str) -> str:
    for name, _ in _PATH_PART.findall(path):
        if not name:
            continue
        hints = typing.get_type_hints(kind) if isinstance(kind, type) else {}
        kind = hints.get(name)
        if typing.get_origin(kind) is list:
            kind = typing.get_args(kind)[0]
    if isinstance(kind, type) and issubclass(kind, enum.Enum):
        return ", ".join(member.value for member in kind)
    if typing.get_origin(kind) is typing.Literal:
        return ", ".join(map(str, typing.get_args(kind)))
    return ""


def parse(text: str, path: str) -> documents.Document:
    """Parse and check a document file's text.

    Raises:
        DocumentError: It is wrong; the error names file, line, key, expected and found.
    """
    checked = documents.parse(text, path)
    if checked.is_ok():
        return checked.unwrap()
    error = explain(text, checked.unwrap_err())
    place = error.text.rpartition(" - at `")[2].rstrip("`")
    line = line_of(text, place.removeprefix("$.")) if " - at `" in error.text else 0
    where = f"{path}:{line}" if line else path
    raise exceptions.DocumentError(error.text, error.step, where)
