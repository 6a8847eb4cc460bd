"""Encode and decode messages as frames: a fixed header and a Cap'n Proto body."""

import importlib.resources
import struct
import typing

import capnp
import msgspec

from ebonywheel import exceptions, messages

VERSION = 1
MAX_BODY_BYTES = 8 * 1024 * 1024

# Decoding reads at most this many times the words of a body, plus a base: a list in a small body
# may claim any number of elements of size zero.
TRAVERSAL_FACTOR = 4
TRAVERSAL_BASE_WORDS = 1024
WORD_BYTES = 8

FLAG_REQUEST = 0
FLAG_REPLY = 1
FLAG_ONE_WAY = 2

# Body length, version, flag, type number, exchange number.
HEADER = struct.Struct("!IBBHQ")


class Header(msgspec.Struct):
    """Decoded header of a frame.

    Attributes:
        length: Length of the body in bytes.
        type_number: Position of the message class in `messages.MESSAGES`, from 1.
        exchange: Number that a request and its answer share; 0 in handshakes and one-way messages.
    """

    length: int
    version: int
    flag: int
    type_number: int
    exchange: int


class _FieldCodec:
    """Converts one field between a message object and its Cap'n Proto struct."""

    __slots__ = ("name", "wire_name", "item", "is_list")

    def __init__(self, name: str, hint: typing.Any):
        self.name = name
        self.wire_name = wire_name(name)
        self.is_list = typing.get_origin(hint) is list
        item = typing.get_args(hint)[0] if self.is_list else hint
        self.item = _struct_codec(item) if issubclass(item, msgspec.Struct) else None


class _StructCodec:
    """Converts one message class; looks its schema up only once."""

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
    """Return the Cap'n Proto name of a field."""
    first, *rest = name.split("_")
    return first + "".join(word.capitalize() for word in rest)


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
_type_numbers = {cls: number for number, cls in enumerate(messages.MESSAGES, start=1)}
_codecs_by_number = {number: _struct_codec(cls) for cls, number in _type_numbers.items()}


def type_number(cls: type[msgspec.Struct]) -> int:
    """Return the type number of a message class."""
    return _type_numbers[cls]


def encode(message: msgspec.Struct, exchange: int, flag: int) -> bytes:
    """Return the frame of a message.

    Raises:
        FrameError: The body is larger than `MAX_BODY_BYTES`, or a value does not fit its field.
    """
    codec = _struct_codec(type(message))
    builder = codec.schema.new_message()
    try:
        codec.fill(message, builder)
    except (OverflowError, UnicodeEncodeError, capnp.KjException) as error:
        raise exceptions.FrameError(
            f"cannot encode {type(message).__name__}: {str(error).splitlines()[0]}", "encode frame"
        ) from error
    body = builder.to_bytes()
    if len(body) > MAX_BODY_BYTES:
        raise exceptions.FrameError(
            f"{type(message).__name__} of {len(body)} bytes is over {MAX_BODY_BYTES}",
            "encode frame",
        )
    return HEADER.pack(len(body), VERSION, flag, _type_numbers[type(message)], exchange) + body


def decode_header(data: bytes) -> Header:
    """Decode and check a frame's header.

    Raises:
        UnknownMessageError: A newer build may know the type of the message.
        FrameError: The version, flag, type or length is invalid.
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
    if header.flag not in (FLAG_REQUEST, FLAG_REPLY, FLAG_ONE_WAY):
        raise exceptions.FrameError(f"unknown frame flag {header.flag}", "decode frame")
    if header.type_number not in _codecs_by_number:
        raise exceptions.UnknownMessageError(
            f"unknown message type {header.type_number}",
            header.length,
            header.exchange,
            header.flag == FLAG_REQUEST,
        )
    return header


def decode_body(header: Header, body: bytes) -> msgspec.Struct:
    """Decode a frame's body.

    Raises:
        FrameError: The body is not a valid message of the header's type.
    """
    codec = _codecs_by_number[header.type_number]
    try:
        words = TRAVERSAL_FACTOR * len(body) // WORD_BYTES + TRAVERSAL_BASE_WORDS
        with codec.schema.from_bytes(body, traversal_limit_in_words=words) as reader:
            return codec.read(reader)
    except (capnp.KjException, UnicodeDecodeError, ValueError) as error:
        raise exceptions.FrameError(
            f"cannot decode {codec.cls.__name__}: {str(error).splitlines()[0]}", "decode frame"
        ) from error
