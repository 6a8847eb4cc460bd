"""Errors of invalid documents: file, line, key, expected and found value."""

import enum
import re
import tomllib
import typing

import msgspec

from ebonywheel import configuration, documents, exceptions

_PATH_PART = re.compile(r"\.([A-Za-z0-9_]+)|\[(\d+)\]")
# Values of these keys are not printed: they may be secrets that were entered by mistake.
SECRET_KEYS = frozenset({"key_sha256"})


def add_details(text: str, error: exceptions.DocumentError) -> exceptions.DocumentError:
    """Return the error with the entry's key and the value that was found.

    If the text is not TOML, the error gives the line and column of the syntax error.
    """
    try:
        raw = tomllib.loads(text)
    except tomllib.TOMLDecodeError as syntax_error:
        return exceptions.DocumentError(str(syntax_error), "read TOML", error.peer)
    for name, entry_type in configuration.document_types().items():
        problem = _find_section_problem(raw, name, entry_type)
        if problem:
            return exceptions.DocumentError(problem, error.step, error.peer)
    return error


def find_line(text: str, key: str) -> int:
    """Return the line of a key such as ``services.plan.kind``, or 0 when it is not found."""
    parts = key.replace("`", "").split(".")
    for depth in range(len(parts), 0, -1):
        header = ".".join(parts[:depth])
        lines = text.splitlines()
        for number, line in enumerate(lines, start=1):
            table = line.strip().strip("[]").replace('"', "")
            if line.lstrip().startswith("[") and table == header:
                return _find_key_line(lines, number, parts[depth:])
    return _find_key_line(text.splitlines(), 0, parts[:1])


def _find_key_line(lines: list[str], start: int, parts: list[str]) -> int:
    if parts:
        key = parts[0].partition("[")[0]
        for number, line in enumerate(lines[start:], start=start + 1):
            if line.lstrip().startswith("["):
                break
            if line.partition("=")[0].strip().strip('"') == key:
                return number
    return start


def _find_section_problem(raw: dict[str, typing.Any], section: str, entry_type: typing.Any) -> str:
    content = raw.get(section)
    if content is None:
        return ""
    if section in configuration.DOCUMENT_TABLES:
        return _find_entry_problem(content, section, entry_type)
    if not isinstance(content, dict):
        return f"Expected a table, got {content!r} - at `{section}`"
    for name, value in content.items():
        problem = _find_entry_problem(value, f"{section}.{name}", entry_type)
        if problem:
            return problem
    return ""


def _find_entry_problem(value: typing.Any, key: str, entry_type: typing.Any) -> str:
    try:
        msgspec.convert(value, type=entry_type)
    except msgspec.ValidationError as error:
        text, _, path = str(error).partition(" - at `$")
        path = path.removesuffix("`")
        expected = _allowed_values(entry_type, path)
        if expected:
            text = f"Expected one of: {expected}"
        return f"{text}{_describe_found(value, path)} - at `{key}{path}`"
    return ""


def _describe_found(value: typing.Any, path: str) -> str:
    for name, position in _PATH_PART.findall(path):
        try:
            value = value[name] if name else value[int(position)]
        except (KeyError, IndexError, TypeError):
            return ""
    if any(name in SECRET_KEYS for name, _ in _PATH_PART.findall(path)):
        return f", got a text of {len(str(value))} characters"
    return "" if isinstance(value, dict) else f", got {value!r}"


def _allowed_values(value_type: typing.Any, path: str) -> str:
    for name, _ in _PATH_PART.findall(path):
        if not name:
            continue
        hints = typing.get_type_hints(value_type) if isinstance(value_type, type) else {}
        value_type = hints.get(name)
        if typing.get_origin(value_type) is list:
            value_type = typing.get_args(value_type)[0]
    if isinstance(value_type, type) and issubclass(value_type, enum.Enum):
        return ", ".join(member.value for member in value_type)
    if typing.get_origin(value_type) is typing.Literal:
        return ", ".join(map(str, typing.get_args(value_type)))
    return ""


def parse(text: str, path: str) -> documents.Document:
    """Parse and check a document file's text.

    Raises:
        DocumentError: The document is invalid; the error names file, line, key, and the expected
            and found values.
    """
    checked = documents.parse(text, path)
    if checked.is_ok():
        return checked.unwrap()
    error = add_details(text, checked.unwrap_err())
    key = error.text.rpartition(" - at `")[2].rstrip("`")
    line = find_line(text, key.removeprefix("$.")) if " - at `" in error.text else 0
    location = f"{path}:{line}" if line else path
    raise exceptions.DocumentError(error.text, error.step, location)
