"""Routing policies: in which order to try the backend servers for a request."""

import random
import typing

import msgspec

from ebonywheel import messages, registry, rendezvous

# Prefix affinity decides among servers whose pressure is at most this far above the region's least.
AFFINITY_SLACK = 0.1


class Job(msgspec.Struct):
    """A request as a routing policy sees it.

    Attributes:
        service: Name of the service.
        customer: Name of the customer.
        prompt_tokens: Estimated length of the prompt.
        prefix: Digest of the prompt's first part, to find servers that have it in their cache.
        region: Region of the entry host.
        expected_tokens: Length of the answer if it is known beforehand (used by
            `lengths.KnownLengths`), otherwise 0.
        fingerprint: Digest of the request, to attribute a crash.
        alone: True when nothing else may run on the backend server at the same time.
        max_tokens: Longest answer asked for, 0 when unknown.
        priority: Priority level; higher goes first.
    """

    service: str
    customer: str
    prompt_tokens: int
    prefix: str = ""
    region: str = ""
    expected_tokens: int = 0
    fingerprint: bytes = b""
    alone: bool = False
    max_tokens: int = 0
    priority: int = 0


class Candidate(msgspec.Struct):
    """A backend server that could take the request.

    Attributes:
        view: Its state as its home entry host last reported it.
        region: Region of its data centre.
        recent_slots: Slots that this host borrowed minus those it returned since the view arrived.
        recent_blocks: Blocks of memory that go with these.
    """

    view: messages.ServerView
    region: str
    recent_slots: int = 0
    recent_blocks: float = 0.0

    def used(self) -> int:
        """Return the slots in use, as far as this host can know."""
        return self.view.used + self.recent_slots

    def free(self) -> int:
        """Return the slots free, as far as this host can know."""
        return self.view.limit - self.used()

    def pressure(self) -> float:
        """Return the fraction in use of its slots or of its memory, whichever is larger."""
        slots_used = self.used() / max(self.view.limit, 1)
        total_blocks = self.view.state.total_blocks
        if not total_blocks:
            return slots_used
        return max(slots_used, (self.view.expected_blocks + self.recent_blocks) / total_blocks)


class Policy(typing.Protocol):
    """Orders candidates, best first.

    Attributes:
        fair: Whether waiting requests are served by priority and customer share, and not first
            come first served.
        by_memory: Whether homes admit requests by memory as well as by slots.
        by_region: Whether other regions are used only when the request's own is exhausted.
    """

    fair: bool
    by_memory: bool
    by_region: bool

    def rank(self, job: Job, candidates: list[Candidate]) -> list[Candidate]:
        """Return the candidates in the order in which to try them."""


class SlotsOnly:
    """Settings of the policies that look at slots only."""

    fair = False
    by_memory = False
    by_region = False


@registry.plugins.register("policy", "round_robin")
class RoundRobin(SlotsOnly):
    """Tries each server in turn."""

    def __init__(self):
        self.turn = 0

    def rank(self, job: Job, candidates: list[Candidate]) -> list[Candidate]:
        """Return the candidates by name, starting one position further each time."""
        ordered = sorted(candidates, key=lambda candidate: candidate.view.state.server)
        self.turn += 1
        start = self.turn % len(ordered) if ordered else 0
        return ordered[start:] + ordered[:start]


@registry.plugins.register("policy", "least_outstanding")
class LeastOutstanding(SlotsOnly):
    """Prefers the server with the fewest slots in use."""

    def rank(self, job: Job, candidates: list[Candidate]) -> list[Candidate]:
        """Return the candidates by slots in use, fewest first."""
        return sorted(candidates, key=Candidate.used)


@registry.plugins.register("policy", "two_choices")
class TwoChoices(SlotsOnly):
    """Prefers the less loaded of two servers picked at random (power of two choices)."""

    def __init__(self, seed: int | None = None):
        self.random = random.Random(seed)

    def rank(self, job: Job, candidates: list[Candidate]) -> list[Candidate]:
        """Return the candidates in random order, the first two sorted by slots in use."""
        ordered = list(candidates)
        self.random.shuffle(ordered)
        first_two = sorted(ordered[:2], key=Candidate.used)
        return first_two + ordered[2:]


@registry.plugins.register("policy", "length_aware")
class LengthAware:
    """Prefers the least expected memory, and prefix affinity among servers about equally loaded."""

    fair = True
    by_memory = True
    by_region = True

    def rank(self, job: Job, candidates: list[Candidate]) -> list[Candidate]:
        """Return the candidates by region, expected memory and affinity."""
        least_pressure: dict[str, float] = {}
        for candidate in candidates:
            pressure = candidate.pressure()
            least_pressure[candidate.region] = min(
                pressure, least_pressure.get(candidate.region, pressure)
            )

        def sort_key(candidate: Candidate) -> tuple:
            pressure = candidate.pressure()
            remote = candidate.region != job.region
            if pressure > least_pressure[candidate.region] + AFFINITY_SLACK:
                return (remote, 1, pressure, 0)
            cached = job.prefix in candidate.view.prefixes
            affinity = rendezvous.score(job.prefix, candidate.view.state.server)
            return (remote, 0, not cached, -affinity)

        return sorted(candidates, key=sort_key)
