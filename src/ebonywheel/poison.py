"""Requests that crash the backend servers that run them: suspicion, isolation, quarantine."""

import hashlib

from ebonywheel import exceptions, feed, kernel, messages

STATUS_QUARANTINED = 422


def fingerprint(customer: str, service: str, body: bytes) -> bytes:
    """Return the digest by which a request is known again when it is resent."""
    return hashlib.blake2b(
        b"\0".join((customer.encode(), service.encode(), body)), digest_size=16
    ).digest()


class Poison:
    """What an entry host knows and reports of suspected requests."""

    def __init__(self, core: kernel.Kernel, source: feed.Feed):
        self.core = core
        self.feed = source

    def admit(self, digest: bytes) -> bool:
        """Return whether the request must run alone.

        Raises:
            NotRunError: The request is quarantined.
        """
        held = self.feed.require_lease().suspects.get(digest)
        if held is None:
            return False
        if held.quarantined:
            raise exceptions.NotRunError(
                "the request is quarantined: backend servers died running it",
                "check quarantine",
                held.customer,
                STATUS_QUARANTINED,
            )
        return True

    async def died(self, state: messages.ServerState, running: list[messages.Holding]) -> None:
        """Report, from its home, a backend server that died with requests in flight."""

    async def finished(self, digest: bytes, alone: bool) -> None:
        """Note a request that ran to its end."""
