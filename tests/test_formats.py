"""Bytes that earlier landings wrote, recorded by `scripts/record_formats.py` with their code."""

import json
import pathlib
import tomllib

import msgspec
import pytest

from ebonywheel import codec, commands, statedata

ROOT = pathlib.Path(__file__).resolve().parent.parent
FOLDER = ROOT / "tests" / "formats"


def entries():
    for path in sorted(FOLDER.glob("*.jsonl")):
        for line in path.read_text().splitlines():
            entry = json.loads(line)
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
@pytest.mark.parametrize("entry", list(entries()))
def test_what_an_earlier_landing_wrote_is_read_as_it_meant(entry):
    decoded = decode(entry["kind"], bytes.fromhex(entry["encoded"]))
    assert type(decoded).__name__ == entry["name"]
    value = msgspec.to_builtins(decoded, str_keys=True)
    assert without_new_fields(value, entry["value"]) == entry["value"]


def test_the_build_in_production_is_recorded():
    production = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())["production"]
    assert any(production.startswith(path.stem) for path in FOLDER.glob("*.jsonl"))
