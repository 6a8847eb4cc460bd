"""Rendezvous hashing: everybody with the same list picks the same member, moves are few."""

import collections.abc
import hashlib


def score(key: str, member: str) -> int:
    """Return a member's score for a key."""
    digest = hashlib.blake2b(f"{key}\0{member}".encode(), digest_size=8).digest()
    return int.from_bytes(digest, "big")


def choose(key: str, members: collections.abc.Iterable[str]) -> str:
    """Return the member with the highest score, or an empty string without members."""
    return max(members, key=lambda member: score(key, member), default="")
