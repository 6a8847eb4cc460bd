"""Rendezvous hashing: hosts with the same list of members choose the same one for a key.

When a member is added or removed, only the keys that it gains or loses change their member.
"""

import collections.abc
import hashlib


def score(key: str, member: str) -> int:
    """Return a member's score for a key."""
    digest = hashlib.blake2b(f"{key}\0{member}".encode(), digest_size=8).digest()
    return int.from_bytes(digest, "big")


def choose(key: str, members: collections.abc.Iterable[str]) -> str:
    """Return the member with the highest score, or an empty string if there are none."""
    return max(members, key=lambda member: score(key, member), default="")
