"""Routing policies: in which order to try the backend servers for a request."""

import random
import typing

import msgspec

from ebonywheel import messages, registry, rendezvous

# How much more of a server may be taken than of the least loaded one for affinity to count.
AFFINITY_SLACK = 0.1


class Job(msgspec.Struct):
    """What a policy may know of a request.

    Attributes:
        service: Name of the service.
        customer: Name of the customer.
        prompt_tokens: Estimated length of the prompt.
        prefix: Digest of the prompt's first part, to find it in a cache.
        region: Region of the entry host.
        expected_tokens: Length when it is known, for the oracle; 0 otherwise.
        fingerprint: Digest of the request, to attribute a crash.
        alone: True when nothing else may run on the backend server beside it.
        max_tokens: Longest answer asked for, 0 when unknown.
        priority: Level of the customer's priority.
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
        view: What its home last said.
        recent: Slots that this host borrowed less those it gave back since the view came.
        recent_blocks: Blocks of memory that go with these.
    """

    view: messages.ServerView
    region: str
    recent: int = 0
    recent_blocks: float = 0.0

    def used(self) -> int:
        """Return the slots in use, as far as this host can know."""
        return self.view.used + self.recent

    def free(self) -> int:
        """Return the slots free, as far as this host can know."""
        return self.view.limit - self.used()

    def pressure(self) -> float:
        """Return which part of its slots or memory is taken, whichever is more."""
        taken = self.used() / max(self.view.limit, 1)
        blocks = self.view.state.total_blocks
        if not blocks:
            return taken
        return max(taken, (self.view.expected_blocks + self.recent_blocks) / blocks)


class Policy(typing.Protocol):
    """Orders candidates, best first.

    Attributes:
        fair: Whether waiting requests are served by priority and customer share, and not first
            come first served.
        by_memory: Whether homes should admit by memory beside slots.
        by_region: Whether other regions are kept for when the own one is exhausted.
    """

    fair: bool
    by_memory: bool
    by_region: bool

    def rank(self, job: Job, candidates: list[Candidate]) -> list[Candidate]:
        """Return the candidates in the order in which to try them."""


class SlotsOnly:
    """What the policies have in common that count slots and nothing else."""

    fair = False
    by_memory = False
    by_region = False


@registry.plugins.register("policy", "round_robin")
class RoundRobin(SlotsOnly):
    """Each one in turn."""

    def __init__(self):
        self.turn = 0

    def rank(self, job: Job, candidates: list[Candidate]) -> list[Candidate]:
        """Return the candidates by name, starting one further each time."""
        ordered = sorted(candidates, key=lambda candidate: candidate.view.state.server)
        self.turn += 1
        start = self.turn % len(ordered) if ordered else 0
        return ordered[start:] + ordered[:start]


@registry.plugins.register("policy", "least_outstanding")
class LeastOutstanding(SlotsOnly):
    """The one with the fewest requests in flight."""

    def rank(self, job: Job, candidates: list[Candidate]) -> list[Candidate]:
        """Return the candidates by requests in flight."""
        return sorted(candidates, key=Candidate.used)


@registry.plugins.register("policy", "two_choices")
class TwoChoices(SlotsOnly):
    """The better of two picked at random, then the rest."""

    def __init__(self, seed: int | None = None):
        self.random = random.Random(seed)

    def rank(self, job: Job, candidates: list[Candidate]) -> list[Candidate]:
        """Return the candidates in random order with the better of the first two in front."""
        ordered = list(candidates)
        self.random.shuffle(ordered)
        head = sorted(ordered[:2], key=Candidate.used)
        return head + ordered[2:]


@registry.plugins.register("policy", "length_aware")
class LengthAware:
    """By expected memory; among servers about equally loaded, by prefix affinity."""

    fair = True
    by_memory = True
    by_region = True

    def rank(self, job: Job, candidates: list[Candidate]) -> list[Candidate]:
        """Return the candidates by region, expected memory and affinity."""
        least: dict[str, float] = {}
        for candidate in candidates:
            pressure = candidate.pressure()
            least[candidate.region] = min(pressure, least.get(candidate.region, pressure))

        def order(candidate: Candidate) -> tuple:
            pressure = candidate.pressure()
            away = candidate.region != job.region
            if pressure > least[candidate.region] + AFFINITY_SLACK:
                return (away, 1, pressure, 0)
            cached = job.prefix in candidate.view.prefixes
            affinity = rendezvous.score(job.prefix, candidate.view.state.server)
            return (away, 0, not cached, -affinity)

        return sorted(candidates, key=order)
