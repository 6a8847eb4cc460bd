"""Generation ids: signed, so that any entry host can find the backend server that runs one."""

import base64
import hashlib
import hmac

import msgspec

from ebonywheel import exceptions

SIGNATURE_BYTES = 12


class StreamId(msgspec.Struct, array_like=True, frozen=True):
    """Where a generation runs and whose it is.

    Attributes:
        loan: Name of the generation at the backend server, and of its slot.
    """

    server: str
    incarnation: int
    loan: str
    service: str
    customer: str


def encode(stream: StreamId, secret: bytes) -> str:
    """Return the id as text for the caller."""
    body = msgspec.msgpack.encode(stream)
    return base64.urlsafe_b64encode(_sign(body, secret) + body).rstrip(b"=").decode()


def decode(text: str, secret: bytes) -> StreamId:
    """Check and decode an id.

    Raises:
        HttpError: The id was not made by this system.
    """
    try:
        data = base64.urlsafe_b64decode(text + "=" * (-len(text) % 4))
    except ValueError as error:
        raise _unknown(text) from error
    signature, body = data[:SIGNATURE_BYTES], data[SIGNATURE_BYTES:]
    if not hmac.compare_digest(signature, _sign(body, secret)):
        raise _unknown(text)
    return msgspec.msgpack.decode(body, type=StreamId)


def split_event_id(event_id: str) -> tuple[str, int]:
    """Split the id of an event into generation id and index.

    Raises:
        HttpError: It is not an event id.
    """
    generation, _, index = event_id.rpartition(":")
    if not generation or not index.isdecimal():
        raise exceptions.HttpError("malformed event id", "read Last-Event-ID")
    return generation, int(index)


def _sign(body: bytes, secret: bytes) -> bytes:
    return hmac.new(secret, b"generation" + body, hashlib.sha256).digest()[:SIGNATURE_BYTES]


def _unknown(text: str) -> exceptions.HttpError:
    return exceptions.HttpError("unknown generation", "decode generation id", text[:16], 404)
