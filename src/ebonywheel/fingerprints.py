"""Fingerprints: digests of what requests may have in common, to recognize it in later ones."""

import hashlib

FINGERPRINT_BYTES = 16


def fingerprint(*fields: bytes) -> bytes:
    """Return the digest of some fields; none but the last may contain a zero byte."""
    return hashlib.blake2b(b"\0".join(fields), digest_size=FINGERPRINT_BYTES).digest()
