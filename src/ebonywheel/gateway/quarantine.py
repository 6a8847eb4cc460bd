"""What an entry host knows of requests that crash backend servers, and of those that may do so.

A fingerprint is a digest of something that requests may have in common.
"""

import msgspec

from ebonywheel import fingerprints, messages
from ebonywheel.gateway import dialect

MS_PER_S = 1000
# What a control host has said in answer to a report holds this long, unless all are told later.
REFUSED_BY_REPORT_S = 2.0


def request_fingerprints(
    customer: str, service: str, request: dialect.CallerRequest
) -> tuple[bytes, ...]:
    """Return the fingerprints of a request, the most general first.

    These are the parts of its prompt that others may have, and the whole request, which its caller
    may send again.
    """
    parts = () if request.prompt is None else request.prompt.shared_parts
    whole = fingerprints.fingerprint(
        customer.encode(),
        service.encode(),
        request.method.encode(),
        request.target.encode(),
        request.body,
    )
    return (
        *(fingerprints.fingerprint(service.encode(), part.encode()) for part in parts),
        whole,
    )


class Suspect(msgspec.Struct, frozen=True):
    """A suspect fingerprint.

    Attributes:
        crashed_at: When a server crashed, monotonic seconds; a later success contradicts.
        refused_until: Until when requests with it are refused, monotonic seconds; not after
            `crashed_at` if it is only suspected.
    """

    crashed_at: float
    refused_until: float


class Quarantine:
    """The suspect fingerprints, as last received from any control host.

    Attributes:
        index: Log index of their last change; never decreases.
        suspects: Suspect fingerprints, quarantined ones among them.
        refused_by_report: Fingerprints that a report of this host has had quarantined, of which
            the control hosts may not have told all hosts yet.
        contradicted: Those of which this host has reported a success.
    """

    __slots__ = ("index", "suspects", "refused_by_report", "contradicted")

    def __init__(self):
        self.index = 0
        self.suspects: dict[bytes, Suspect] = {}
        self.refused_by_report: dict[bytes, Suspect] = {}
        self.contradicted: set[bytes] = set()

    def update(self, index: int, suspects: list[messages.SuspectFingerprint], now: float) -> bool:
        """Replace the suspects unless they are outdated; return whether they were replaced."""
        if index <= self.index:
            return False
        self.index = index
        self.suspects = {
            item.fingerprint: Suspect(
                now - item.crashed_ms / MS_PER_S,
                now + item.refused_ms / MS_PER_S if item.refused_ms else float("-inf"),
            )
            for item in suspects
        }
        self.contradicted.clear()
        return True

    def refuse(self, quarantined: list[bytes], crashed_at: float, now: float) -> None:
        """Refuse requests with fingerprints that the answer to a report says are quarantined."""
        self.refused_by_report = {
            fingerprint: suspect
            for fingerprint, suspect in self.refused_by_report.items()
            if suspect.refused_until > now
        }
        for fingerprint in quarantined:
            self.refused_by_report[fingerprint] = Suspect(crashed_at, now + REFUSED_BY_REPORT_S)

    def is_empty(self) -> bool:
        """Return whether no request is suspected or refused."""
        return not (self.suspects or self.refused_by_report)

    def is_suspect(self, fingerprint: bytes) -> bool:
        """Return whether requests with a fingerprint may crash servers, but are not refused."""
        suspect = self.suspects.get(fingerprint)
        if suspect is None or fingerprint in self.contradicted:
            return False
        return suspect.refused_until < suspect.crashed_at

    def remaining_s(self, of_request: tuple[bytes, ...], now: float) -> float:
        """Return how long a request with these fingerprints is refused, 0 if it is not."""
        refused_until = (
            suspects[fingerprint].refused_until
            for suspects in (self.suspects, self.refused_by_report)
            for fingerprint in of_request
            if fingerprint in suspects
        )
        return max(0.0, max(refused_until, default=now) - now)

    def take_contradicted(
        self, of_request: tuple[bytes, ...], answer_began_at: float
    ) -> list[bytes]:
        """Return the suspects that a success contradicts, each only once for an update."""
        found = [
            fingerprint
            for fingerprint in of_request
            if fingerprint in self.suspects
            and fingerprint not in self.contradicted
            and answer_began_at > self.suspects[fingerprint].crashed_at
        ]
        self.contradicted.update(found)
        return found
