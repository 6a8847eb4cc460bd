"""Routing policies: in which order to try the backend servers for a request."""

import random
import typing

import msgspec

from ebonywheel import messages, registry, rendezvous


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
    """A backend server that could take the request."""

    view: messages.ServerView
    region: str

    def free(self) -> int:
        """Return the slots free as its home last said."""
        return self.view.limit - self.view.used


class Policy(typing.Protocol):
    """Orders candidates, best first."""

    def rank(self, job: Job, candidates: list[Candidate]) -> list[Candidate]:
        """Return the candidates in the order in which to try them."""


@registry.plugins.register("policy", "round_robin")
class RoundRobin:
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
class LeastOutstanding:
    """The one with the fewest requests in flight."""

    def rank(self, job: Job, candidates: list[Candidate]) -> list[Candidate]:
        """Return the candidates by requests in flight."""
        return sorted(candidates, key=lambda candidate: candidate.view.used)


@registry.plugins.register("policy", "two_choices")
class TwoChoices:
    """The better of two picked at random, then the rest."""

    def __init__(self, seed: int | None = None):
        self.random = random.Random(seed)

    def rank(self, job: Job, candidates: list[Candidate]) -> list[Candidate]:
        """Return the candidates in random order with the better of the first two in front."""
        ordered = list(candidates)
        self.random.shuffle(ordered)
        head = sorted(ordered[:2], key=lambda candidate: candidate.view.used)
        return head + ordered[2:]


@registry.plugins.register("policy", "length_aware")
class LengthAware:
    """Near servers with free slots first; among them prefix affinity decides."""

    def rank(self, job: Job, candidates: list[Candidate]) -> list[Candidate]:
        """Return the candidates by region, room and affinity."""

        def order(candidate: Candidate) -> tuple:
            affinity = rendezvous.score(job.prefix, candidate.view.state.server)
            load = candidate.view.used / max(candidate.view.limit, 1)
            return (
                candidate.region != job.region,
                candidate.free() <= 0,
                round(load, 1),
                -affinity,
            )

        return sorted(candidates, key=order)
