"""Differences between two documents, entry by entry."""

import msgspec

from ebonywheel import configuration, documentcheck, documents

HIDDEN_VALUE = "(hidden)"


class EntryChange(msgspec.Struct):
    """An entry that was added, removed or changed.

    Attributes:
        change: ``added``, ``removed`` or ``changed``.
        place: Key of the entry, such as ``services.plan``.
        fields: Old and new value of each changed field.
    """

    change: str
    place: str
    fields: dict[str, list[str]] = {}


def compare(old: documents.Document | None, new: documents.Document) -> list[EntryChange]:
    """Return the entries in which two documents differ."""
    return compare_entries({} if old is None else _entries(old), _entries(new))


def compare_entries(before: dict[str, object], after: dict[str, object]) -> list[EntryChange]:
    """Return the entries, by key, that differ between two configurations."""
    changes = []
    for place in sorted(before.keys() | after.keys()):
        if place not in before:
            changes.append(EntryChange("added", place))
        elif place not in after:
            changes.append(EntryChange("removed", place))
        elif before[place] != after[place]:
            fields = _changed_fields(before[place], after[place])
            changes.append(EntryChange("changed", place, fields))
    return changes


def format_changes(changes: list[EntryChange]) -> list[str]:
    """Return a line of text for each change."""
    formatted = []
    for change in changes:
        details = [f"{name}: {old} -> {new}" for name, (old, new) in change.fields.items()]
        formatted.append(" ".join([f"{change.change:8}{change.place}", *details]))
    return formatted


def _entries(document: documents.Document) -> dict[str, object]:
    entries: dict[str, object] = {}
    for section in configuration.DOCUMENT_SECTIONS:
        for name, value in getattr(document, section).items():
            entries[f"{section}.{name}"] = msgspec.to_builtins(value)
    for table in configuration.DOCUMENT_TABLES:
        entries[table] = msgspec.to_builtins(getattr(document, table))
    return entries


def _changed_fields(old: object, new: object) -> dict[str, list[str]]:
    if not isinstance(old, dict) or not isinstance(new, dict):
        return {"value": [str(old), str(new)]}
    fields = {}
    for name in sorted(old.keys() | new.keys()):
        if old.get(name) != new.get(name):
            hidden = name in documentcheck.SECRET_KEYS
            pair = (old.get(name), new.get(name))
            fields[name] = [HIDDEN_VALUE if hidden else str(value) for value in pair]
    return fields
