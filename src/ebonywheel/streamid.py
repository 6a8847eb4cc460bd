"""Signed generation ids, from which any entry host finds the backend server of a generation."""

import base64
import hashlib
import hmac

import msgspec

from ebonywheel import exceptions

SIGNATURE_BYTES = 12
# Indexes travel between hosts in 64 bits.
MAX_INDEX_DIGITS = 15


class StreamId(msgspec.Struct, array_like=True, frozen=True):
    """Backend server, service and customer of a generation.

    Attributes:
        loan: Id of the slot's loan; names the generation at the backend server.
    """

    server: str
    incarnation: int
    loan: str
    service: str
    customer: str


def encode(stream_id: StreamId, secret: bytes) -> str:
    """Return the id as signed text for the caller."""
    body = msgspec.msgpack.encode(stream_id)
    return base64.urlsafe_b64encode(_sign(body, secret) + body).rstrip(b"=").decode()


def decode(encoded: str, secret: bytes) -> StreamId:
    """Verify and decode an id.

    Raises:
        HttpError: The id is malformed or its signature is wrong.
    """
    try:
        data = base64.urlsafe_b64decode(encoded + "=" * (-len(encoded) % 4))
    except ValueError as error:
        raise _unknown_id_error(encoded) from error
    signature, body = data[:SIGNATURE_BYTES], data[SIGNATURE_BYTES:]
    if not hmac.compare_digest(signature, _sign(body, secret)):
        raise _unknown_id_error(encoded)
    return msgspec.msgpack.decode(body, type=StreamId)


def split_event_id(event_id: str) -> tuple[str, int]:
    """Split an event id into generation id and token index.

    Raises:
        HttpError: The event id is malformed.
    """
    generation, _, index = event_id.rpartition(":")
    if not generation:
        raise exceptions.HttpError("malformed event id", "read Last-Event-ID")
    return generation, parse_index(index)


def parse_index(text: str) -> int:
    """Return the index of a token.

    Raises:
        HttpError: It is malformed.
    """
    if not (text.isascii() and text.isdecimal()) or len(text) > MAX_INDEX_DIGITS:
        raise exceptions.HttpError("malformed event id", "read Last-Event-ID")
    return int(text)


def _sign(body: bytes, secret: bytes) -> bytes:
    return hmac.new(secret, b"generation" + body, hashlib.sha256).digest()[:SIGNATURE_BYTES]


def _unknown_id_error(encoded: str) -> exceptions.HttpError:
    return exceptions.HttpError("unknown generation", "decode generation id", encoded[:16], 404)
