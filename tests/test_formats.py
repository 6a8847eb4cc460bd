"""Bytes that earlier landings wrote, recorded by `scripts/record_formats.py` with their code."""

import json
import pathlib
import tomllib
import typing

import msgspec
import pytest

from ebonywheel import auditlog, codec, commands, messages, statedata, storage

ROOT = pathlib.Path(__file__).resolve().parent.parent
FOLDER = ROOT / "tests" / "formats"


SAMPLES = frozenset({"message", "command", "outcome", "snapshot"})
FILE_STRUCTS = {
    storage.IDENTITY_FILE: storage.Identity,
    storage.VOTE_FILE: storage.Vote,
    storage.COMMIT_FILE: storage.LogPosition,
    auditlog.AUDIT_FILE: statedata.AuditEntry,
}


def entries(*kinds):
    for path in sorted(FOLDER.glob("*.jsonl")):
        for line in path.read_text().splitlines():
            entry = json.loads(line)
            if entry["kind"] not in kinds:
                continue
            yield pytest.param(entry, id=f"{path.stem}-{entry['kind']}-{entry['name']}")


def decode(kind, data):
    if kind == "message":
        header = codec.decode_header(data[: codec.HEADER.size])
        return codec.decode_body(header, data[codec.HEADER.size :])
    if kind == "command":
        return commands.decode(data)
    if kind == "outcome":
        return commands.decode_outcome(data)
    return msgspec.msgpack.decode(data, type=statedata.StateData)


def without_new_fields(value, recorded):
    """Return a decoded value without the fields that the recording build did not have."""
    if isinstance(recorded, dict) and isinstance(value, dict):
        return {
            key: without_new_fields(value[key], recorded[key]) for key in recorded if key in value
        }
    if isinstance(recorded, list) and len(value) == len(recorded):
        return [without_new_fields(*pair) for pair in zip(value, recorded, strict=True)]
    return value


# Guards against a type number, a tag, an order of fields or a default that changes, so that hosts
# of two builds read different things.
@pytest.mark.parametrize("entry", list(entries(*SAMPLES)))
def test_what_an_earlier_landing_wrote_is_read_as_it_meant(entry):
    decoded = decode(entry["kind"], bytes.fromhex(entry["encoded"]))
    assert type(decoded).__name__ == entry["name"]
    value = msgspec.to_builtins(decoded, str_keys=True)
    assert without_new_fields(value, entry["value"]) == entry["value"]


def check_defaults(entry, decoded):
    value = msgspec.to_builtins(decoded, str_keys=True)
    # Whole, as nothing in it was recorded that a later build may add to.
    assert {key: value[key] for key in entry["value"]} == entry["value"]


def nested_structs(annotation, found):
    """Add the classes that a type is made of, itself included, by their names."""
    for argument in typing.get_args(annotation):
        nested_structs(argument, found)
    is_struct = isinstance(annotation, type) and issubclass(annotation, msgspec.Struct)
    if is_struct and annotation.__name__ not in found:
        found[annotation.__name__] = annotation
        for hint in typing.get_type_hints(annotation, include_extras=True).values():
            nested_structs(hint, found)
    return found


# Guards against a default of a part of a command or a snapshot that changes, so that replicas that
# run different builds read different things.
@pytest.mark.parametrize("entry", list(entries("part")))
def test_a_part_without_optional_fields_is_read_as_it_meant(entry):
    roots = commands.AnyCommand | commands.AnyOutcome | statedata.StateData
    struct = nested_structs(roots, {})[entry["name"]]
    decoded = msgspec.msgpack.decode(bytes.fromhex(entry["encoded"]), type=struct)
    check_defaults(entry, decoded)


# Guards against a default of a message, or of a part of one, that changes.
@pytest.mark.parametrize("entry", list(entries("wire defaults")))
def test_a_message_without_fields_is_read_as_it_meant(entry):
    struct = nested_structs(tuple[*messages.MESSAGES], {})[entry["name"]]
    wire_codec = codec._struct_codec(struct)
    with wire_codec.schema.from_bytes(bytes.fromhex(entry["encoded"])) as reader:
        check_defaults(entry, wire_codec.read(reader))


# Guards against fields of a message that change their order, name or type.
@pytest.mark.parametrize("entry", list(entries("layout")))
def test_fields_of_messages_are_only_added_at_the_end(entry):
    text = (ROOT / "src" / "ebonywheel" / "wire.capnp").read_text()
    _, found, rest = text.partition(f"struct {entry['name']} {{")
    lines = rest.partition("}")[0].splitlines()
    fields = [line.strip(" ;") for line in lines if "@" in line]
    assert found and fields[: len(entry["value"])] == entry["value"]


# Guards against a default of a file in a data folder that changes.
@pytest.mark.parametrize("entry", list(entries("file defaults")))
def test_a_file_without_optional_fields_is_read_as_it_meant(entry):
    struct = FILE_STRUCTS[entry["name"]]
    check_defaults(entry, msgspec.json.decode(bytes.fromhex(entry["encoded"]), type=struct))


# Guards against a control host that cannot open, or misreads, the data folder of an earlier build.
@pytest.mark.parametrize("entry", list(entries("disk")))
def test_the_data_folder_of_an_earlier_landing_is_read_as_it_meant(entry, tmp_path):
    for name, content in entry["encoded"].items():
        (tmp_path / name).write_bytes(bytes.fromhex(content))
    store = storage.Storage(str(tmp_path), entry["name"])
    snapshot = store.load_snapshot()
    log = [store.entry(index) for index in range(store.base.index + 1, store.last_index() + 1)]
    held = {
        "identity": msgspec.to_builtins(store.identity),
        "vote": msgspec.to_builtins(store.vote),
        "committed": msgspec.to_builtins(store.committed),
        "log": [[each.index, each.term, each.data.hex()] for each in log],
        "snapshot": [snapshot.index, snapshot.term, snapshot.state.hex()],
    }
    store.close()
    trail = auditlog.AuditLog(str(tmp_path), state_machine=None)
    held["audit"] = msgspec.to_builtins(trail.read(0, limit=10))
    trail.close()
    assert without_new_fields(held, entry["value"]) == entry["value"]


def test_every_landing_is_recorded_in_all_kinds():
    for path in FOLDER.glob("*.jsonl"):
        kinds = {json.loads(line)["kind"] for line in path.read_text().splitlines()}
        assert kinds == SAMPLES | {"part", "wire defaults", "layout", "file defaults", "disk"}


def test_the_build_in_production_is_recorded():
    production = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())["production"]
    assert any(production.startswith(path.stem) for path in FOLDER.glob("*.jsonl"))
