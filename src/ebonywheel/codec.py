"""Encode messages as frames: a fixed header and a Cap'n Proto body."""

import importlib.resources
import struct
import typing

import capnp
import msgspec

from ebonywheel import exceptions, messages

VERSION = 1
MAX_BODY_BYTES = 8 * 1024 * 1024

# How much a small body may unfold to: a list may claim any number of empty elements.
TRAVERSAL_FACTOR = 4
TRAVERSAL_SPARE_WORDS = 1024
WORD_BYTES = 8

FLAG_REQUEST = 0
FLAG_REPLY = 1
FLAG_ONE_WAY = 2

# Body length, version, flag, message type, exchange number.
HEADER = struct.Struct("!IBBHQ")


class Header(msgspec.Struct):
    """Decoded header of a frame."""

    length: int
    version: int
    flag: int
    kind: int
    exchange: int


class _FieldCodec:
    """Conversion of one field between a message object and its Cap'n Proto struct."""

    __slots__ = ("name", "wire_name", "item", "is_list")

    def __init__(self, name: str, hint: typing.Any):
        self.name = name
        self.wire_name = wire_name(name)
        self.is_list = typing.get_origin(hint) is list
        item = typing.get_args(hint)[0] if self.is_list else hint
        self.item = _struct_codec(item) if issubclass(item, msgspec.Struct) else None


class _StructCodec:
    """Conversion of one message class, with the schema looked up once."""

    __slots__ = ("cls", "schema", "fields")

    def __init__(self, cls: type[msgspec.Struct]):
        self.cls = cls
        self.schema = getattr(_schema, cls.__name__)
        hints = typing.get_type_hints(cls)
        self.fields = [_FieldCodec(name, hints[name]) for name in cls.__struct_fields__]

    def fill(self, message: msgspec.Struct, builder: typing.Any) -> None:
        for field in self.fields:
            value = getattr(message, field.name)
            if field.is_list:
                _fill_list(field, value, builder.init(field.wire_name, len(value)))
            elif field.item is not None:
                field.item.fill(value, getattr(builder, field.wire_name))
            else:
                setattr(builder, field.wire_name, value)

    def read(self, reader: typing.Any) -> msgspec.Struct:
        values = {}
        for field in self.fields:
            value = getattr(reader, field.wire_name)
            if field.is_list:
                value = [field.item.read(item) if field.item else item for item in value]
            elif field.item is not None:
                value = field.item.read(value)
            values[field.name] = value
        return self.cls(**values)


def _fill_list(field: _FieldCodec, values: list, builder: typing.Any) -> None:
    for position, value in enumerate(values):
        if field.item is not None:
            field.item.fill(value, builder[position])
        else:
            builder[position] = value


def wire_name(name: str) -> str:
    """Return the Cap'n Proto field name of a Python field name."""
    head, *rest = name.split("_")
    return head + "".join(part.capitalize() for part in rest)


def _struct_codec(cls: type[msgspec.Struct]) -> _StructCodec:
    codec = _codecs.get(cls)
    if codec is None:
        codec = _codecs[cls] = _StructCodec(cls)
    return codec


def _load_schema() -> typing.Any:
    with importlib.resources.as_file(importlib.resources.files("ebonywheel")) as folder:
        return capnp.load(str(folder / "wire.capnp"))


_schema = _load_schema()
_codecs: dict[type[msgspec.Struct], _StructCodec] = {}
_kinds = {cls: number for number, cls in enumerate(messages.MESSAGES, start=1)}
_by_kind = {number: _struct_codec(cls) for cls, number in _kinds.items()}


def kind_of(cls: type[msgspec.Struct]) -> int:
    """Return the type number of a message class."""
    return _kinds[cls]


def encode(message: msgspec.Struct, exchange: int, flag: int) -> bytes:
    """Return the whole frame for a message.

    Raises:
        FrameError: The body is larger than `MAX_BODY_BYTES`.
    """
    codec = _struct_codec(type(message))
    builder = codec.schema.new_message()
    codec.fill(message, builder)
    body = builder.to_bytes()
    if len(body) > MAX_BODY_BYTES:
        raise exceptions.FrameError(
            f"{type(message).__name__} of {len(body)} bytes is over {MAX_BODY_BYTES}",
            "encode frame",
        )
    return HEADER.pack(len(body), VERSION, flag, _kinds[type(message)], exchange) + body


def decode_header(data: bytes) -> Header:
    """Decode and check a frame's header.

    Raises:
        FrameError: The version, flag, type or length is not acceptable.
    """
    header = Header(*HEADER.unpack(data))
    if header.version != VERSION:
        raise exceptions.FrameError(
            f"frame version {header.version}, expected {VERSION}", "decode frame"
        )
    if header.length > MAX_BODY_BYTES:
        raise exceptions.FrameError(
            f"frame of {header.length} bytes is over {MAX_BODY_BYTES}", "decode frame"
        )
    if header.kind not in _by_kind:
        raise exceptions.FrameError(f"unknown message type {header.kind}", "decode frame")
    if header.flag not in (FLAG_REQUEST, FLAG_REPLY, FLAG_ONE_WAY):
        raise exceptions.FrameError(f"unknown frame flag {header.flag}", "decode frame")
    return header


def decode_body(header: Header, body: bytes) -> msgspec.Struct:
    """Decode a frame's body.

    Raises:
        FrameError: The body is not a valid message of the header's type.
    """
    codec = _by_kind[header.kind]
    try:
        words = TRAVERSAL_FACTOR * len(body) // WORD_BYTES + TRAVERSAL_SPARE_WORDS
        with codec.schema.from_bytes(body, traversal_limit_in_words=words) as reader:
            return codec.read(reader)
    except (capnp.KjException, UnicodeDecodeError, ValueError) as error:
        raise exceptions.FrameError(
            f"undecodable {codec.cls.__name__}: {str(error).splitlines()[0]}", "decode frame"
        ) from error
