"""Print samples of all that hosts write for each other, encoded by the build on Python's path.

The output is kept in tests/formats, one file for each landing, and later builds must read it.
"""

import json
import types
import typing

import msgspec

from ebonywheel import codec, commands, messages, statedata

EXCHANGE = 1


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
    for entry in entries:
        print(json.dumps(entry, separators=(",", ":")))


if __name__ == "__main__":
    main()
