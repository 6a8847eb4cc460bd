"""Print samples of all that hosts write for each other, encoded by the build on Python's path.

The output is kept in tests/formats, one file for each landing, and later builds must read it.
"""

import importlib.resources
import json
import pathlib
import tempfile
import types
import typing

import curio
import msgspec

from ebonywheel import auditlog, codec, commands, messages, statedata, storage

EXCHANGE = 1
# A Cap'n Proto message whose root has no fields, so that all are read as their defaults.
EMPTY_BODY = bytes.fromhex("0000000001000000" + "00" * 8)
HOST = "control-1"
MEMBER = "0123456789abcdef"
TERM = 3


def sample(annotation: typing.Any, name: str) -> typing.Any:
    """Return a value of a type that differs from its defaults.

    Raises:
        TypeError: The type is not known here.
    """
    origin, arguments = typing.get_origin(annotation), typing.get_args(annotation)
    if origin is typing.Annotated:
        return sample(arguments[0], name)
    if origin is typing.Literal:
        return arguments[-1]
    if origin in (typing.Union, types.UnionType):
        return sample(next(each for each in arguments if each is not type(None)), name)
    if origin is tuple:
        return tuple(sample(each, name) for each in arguments if each is not Ellipsis)
    if origin in (list, set, frozenset):
        return origin([sample(arguments[0], name)])
    if origin is dict:
        return {sample(arguments[0], name): sample(arguments[1], name)}
    if isinstance(annotation, type) and issubclass(annotation, msgspec.Struct):
        return fill(annotation)
    plain = {bool: True, int: 7, float: 1.5, str: f"a {name}", bytes: name.encode()}
    if annotation not in plain:
        raise TypeError(f"no sample of {annotation} for {name}")
    return plain[annotation]


def fill(struct: type[msgspec.Struct]) -> msgspec.Struct:
    """Return an instance with a sample in each field."""
    hints = typing.get_type_hints(struct, include_extras=True)
    return struct(**{name: sample(hints[name], name) for name in struct.__struct_fields__})


def minimal(struct: type[msgspec.Struct]) -> bytes:
    """Return the encoding of an instance without the fields that have defaults."""
    required = {"type": struct.__name__}
    for field in msgspec.structs.fields(struct):
        if field.required:
            required[field.encode_name] = sample(field.type, field.name)
    return msgspec.msgpack.encode(required)


def record(kind: str, name: str, encoded: bytes, decoded: typing.Any) -> dict[str, typing.Any]:
    """Return one entry of the record."""
    value = msgspec.to_builtins(decoded, str_keys=True)
    return {"kind": kind, "name": name, "encoded": encoded.hex(), "value": value}


def nested_structs(annotation: typing.Any, found: dict[str, type[msgspec.Struct]]) -> None:
    """Add the classes that a type is made of, itself included, by their names."""
    for argument in typing.get_args(annotation):
        nested_structs(argument, found)
    if not isinstance(annotation, type) or not issubclass(annotation, msgspec.Struct):
        return
    if annotation.__name__ in found:
        return
    found[annotation.__name__] = annotation
    for hint in typing.get_type_hints(annotation, include_extras=True).values():
        nested_structs(hint, found)


def default_entries() -> list[dict[str, typing.Any]]:
    """Return what parts of commands and snapshots, and messages, are without optional fields."""
    parts: dict[str, type[msgspec.Struct]] = {}
    for root in (commands.AnyCommand, commands.AnyOutcome, statedata.StateData):
        nested_structs(root, parts)
    tagged = (*typing.get_args(commands.AnyCommand), *typing.get_args(commands.AnyOutcome))
    entries = []
    for name, struct in parts.items():
        if struct not in tagged:
            encoded = minimal(struct)
            decoded = msgspec.msgpack.decode(encoded, type=struct)
            entries.append(record("part", name, encoded, decoded))
    wire: dict[str, type[msgspec.Struct]] = {}
    for message in messages.MESSAGES:
        nested_structs(message, wire)
    for name, struct in wire.items():
        wire_codec = codec._struct_codec(struct)
        with wire_codec.schema.from_bytes(EMPTY_BODY) as reader:
            entries.append(record("wire defaults", name, EMPTY_BODY, wire_codec.read(reader)))
    return entries


def layout_entries() -> list[dict[str, typing.Any]]:
    """Return the fields of each struct of the wire protocol, in order."""
    text = (importlib.resources.files("ebonywheel") / "wire.capnp").read_text()
    entries = []
    for block in text.split("struct ")[1:]:
        name, _, body = block.partition(" {")
        fields = [line.strip(" ;") for line in body.partition("}")[0].splitlines() if "@" in line]
        entries.append({"kind": "layout", "name": name, "encoded": "", "value": fields})
    return entries


def disk_entry() -> dict[str, typing.Any]:
    """Return the files of a control host's data folder and what they hold."""
    audit = [fill(statedata.AuditEntry), statedata.AuditEntry(8, 9, "an actor", "Noop", "", "")]
    logged = [
        messages.LogEntry(index, TERM, commands.encode(command))
        for index, command in enumerate((fill(commands.Noop), fill(commands.AddMember)), start=1)
    ]
    state = msgspec.msgpack.encode(fill(statedata.StateData))
    members = [fill(messages.MemberInfo)]
    with tempfile.TemporaryDirectory() as folder:
        store = storage.Storage(folder, HOST)
        store.identity.member = MEMBER
        # Names of builds up to 1ed5e51, and of later ones.
        save_members = getattr(store, "save_formed", None) or store.save_first_configuration
        save_members(members)
        store.vote = storage.Vote(TERM, MEMBER)
        curio.run(store.save_vote())
        store.append(logged)
        curio.run(store.sync())
        curio.run(store.save_snapshot(storage.Snapshot(1, TERM, state), 1))
        curio.run(store.save_commit(2))
        store.close()
        source = types.SimpleNamespace(data=types.SimpleNamespace(audit=audit))
        trail = auditlog.AuditLog(folder, source)
        curio.run(getattr(trail, "follow", None) or trail.write_new_entries)
        trail.close()
        files = {
            path.name: path.read_bytes().hex()
            for path in sorted(pathlib.Path(folder).iterdir())
            if path.name != storage.LOCK_FILE
        }
    value = {
        "identity": {"host": HOST, "member": MEMBER, "formed": msgspec.to_builtins(members)},
        "vote": {"term": TERM, "voted_for": MEMBER},
        "committed": {"index": 2, "term": TERM},
        "log": [[entry.index, entry.term, entry.data.hex()] for entry in logged],
        "snapshot": [1, TERM, state.hex()],
        "audit": msgspec.to_builtins(audit),
    }
    return {"kind": "disk", "name": HOST, "encoded": files, "value": value}


def file_default_entries() -> list[dict[str, typing.Any]]:
    """Return what JSON files are without optional fields."""
    position = getattr(storage, "LogPosition", None) or storage.Mark
    entries = []
    for name, struct in (
        (storage.IDENTITY_FILE, storage.Identity),
        (storage.VOTE_FILE, storage.Vote),
        (storage.COMMIT_FILE, position),
        (auditlog.AUDIT_FILE, statedata.AuditEntry),
    ):
        encoded = msgspec.json.encode(msgspec.msgpack.decode(minimal(struct)))
        decoded = msgspec.json.decode(encoded, type=struct)
        entries.append(record("file defaults", name, encoded, decoded))
    return entries


def main() -> None:
    """Print the record, one JSON object a line."""
    entries = []
    for struct in messages.MESSAGES:
        message = fill(struct)
        frame = codec.encode(message, EXCHANGE, codec.FLAG_REQUEST)
        entries.append(record("message", struct.__name__, frame, message))
    for kind, union, decode in (
        ("command", commands.AnyCommand, commands.decode),
        ("outcome", commands.AnyOutcome, commands.decode_outcome),
    ):
        for struct in typing.get_args(union):
            for encoded in (commands.encode(fill(struct)), minimal(struct)):
                entries.append(record(kind, struct.__name__, encoded, decode(encoded)))
    data = fill(statedata.StateData)
    entries.append(record("snapshot", "StateData", msgspec.msgpack.encode(data), data))
    entries += default_entries() + layout_entries() + file_default_entries() + [disk_entry()]
    for entry in entries:
        print(json.dumps(entry, separators=(",", ":")))


if __name__ == "__main__":
    main()
