"""What a change of a document does, entry by entry."""

import msgspec

from ebonywheel import configuration, documentcheck, documents

HIDDEN = "(hidden)"


class EntryChange(msgspec.Struct):
    """One entry that a change adds, removes or changes.

    Attributes:
        change: ``added``, ``removed`` or ``changed``.
        place: The entry, such as ``services.plan``.
        fields: Old and new value of each changed field.
    """

    change: str
    place: str
    fields: dict[str, list[str]] = {}


def compare(old: documents.Document | None, new: documents.Document) -> list[EntryChange]:
    """Return the entries in which two documents differ."""
    before = {} if old is None else _entries(old)
    after = _entries(new)
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


def lines(changes: list[EntryChange]) -> list[str]:
    """Return a line of text for each change."""
    found = []
    for held in changes:
        details = [f"{name}: {old} -> {new}" for name, (old, new) in held.fields.items()]
        found.append(" ".join([f"{held.change:8}{held.place}", *details]))
    return found


def _entries(document: documents.Document) -> dict[str, object]:
    found: dict[str, object] = {}
    for section in configuration.DOCUMENT_SECTIONS:
        for name, value in getattr(document, section).items():
            found[f"{section}.{name}"] = msgspec.to_builtins(value)
    for table in configuration.DOCUMENT_TABLES:
        found[table] = msgspec.to_builtins(getattr(document, table))
    return found


def _changed_fields(old: object, new: object) -> dict[str, list[str]]:
    if not isinstance(old, dict) or not isinstance(new, dict):
        return {"value": [str(old), str(new)]}
    fields = {}
    for name in sorted(old.keys() | new.keys()):
        if old.get(name) != new.get(name):
            hidden = name in documentcheck.SECRET_KEYS
            pair = (old.get(name), new.get(name))
            fields[name] = [HIDDEN if hidden else str(value) for value in pair]
    return fields
