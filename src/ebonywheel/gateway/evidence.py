"""What this host sees of a roll-out: answers, failures and delays, per route and side."""

import collections.abc

from ebonywheel import messages, rolloutdelays

# Routes that are counted by name; requests on further ones are counted under an empty name.
MAX_ROUTES = 32
# Key of the counts that also tell what concerns the whole service.
_SERVICE = ("", False)
MS_PER_S = 1000


class Counts:
    """Counts of one route at the servers of the target, or at all others.

    Attributes:
        requests: Requests that were sent.
        answers: Those observed that have ended, or whose answer has begun if it is a stream.
        failures: Those of `answers` that failed by the server's fault.
        delays: Delays of `answers` by bucket.
        waiting: Those observed that have no answer yet.
    """

    __slots__ = ("requests", "answers", "failures", "delays", "waiting")

    def __init__(self):
        self.requests = 0
        self.answers = 0
        self.failures = 0
        self.delays = rolloutdelays.empty()
        self.waiting: set[Observation] = set()


class Observation:
    """One request that was sent to a server during a roll-out.

    Attributes:
        counts: Counts that it belongs to.
        sent_at: When it was sent, monotonic seconds.
        answered: True once it counts as answered, or no more.
        failed: True once it counts as failed, or no more.
    """

    __slots__ = ("counts", "sent_at", "answered", "failed")

    def __init__(self, counts: Counts, sent_at: float):
        self.counts = counts
        self.sent_at = sent_at
        self.answered = False
        self.failed = False
        counts.waiting.add(self)

    def record_answer(self, now: float) -> None:
        """Count it as answered; further calls do nothing."""
        if self.answered:
            return
        self.answered = True
        self.counts.waiting.discard(self)
        self.counts.answers += 1
        self.counts.delays[self.bucket(now)] += 1

    def record_failure(self, now: float) -> None:
        """Count it as failed by the server's fault; further calls do nothing."""
        self.record_answer(now)
        if not self.failed:
            self.failed = True
            self.counts.failures += 1

    def withdraw(self) -> None:
        """Count no answer to it, as its server has not run it."""
        self.answered = self.failed = True
        self.counts.waiting.discard(self)

    def bucket(self, now: float) -> int:
        """Return the bucket of the time since it was sent."""
        return rolloutdelays.bucket_of((now - self.sent_at) * MS_PER_S)


class Evidence:
    """What this process has seen of one roll-out.

    Attributes:
        index: Log index of the order.
        counts: Counts by route and whether they belong to servers of the target.
    """

    __slots__ = ("index", "counts")

    def __init__(self, index: int):
        self.index = index
        self.counts: dict[tuple[str, bool], Counts] = {_SERVICE: Counts()}

    def count_request(self, route: str, on_target: bool) -> Counts:
        """Count a request that is sent, and return the counts that it belongs to."""
        key = (route, on_target)
        if key not in self.counts and len(self.counts) >= 2 * MAX_ROUTES:
            key = ("", on_target)
        counts = self.counts.get(key)
        if counts is None:
            counts = self.counts[key] = Counts()
        counts.requests += 1
        return counts

    def report(
        self, now: float, in_flight_old: int
    ) -> collections.abc.Iterator[messages.RolloutEvidence]:
        """Yield all counts.

        Args:
            now: Monotonic seconds.
            in_flight_old: Requests of this host at servers of other versions at present.
        """
        for key, counts in self.counts.items():
            waiting = rolloutdelays.empty()
            for observation in counts.waiting:
                waiting[observation.bucket(now)] += 1
            yield messages.RolloutEvidence(
                self.index,
                *key,
                counts.requests,
                counts.answers,
                counts.failures,
                list(counts.delays),
                waiting,
                in_flight_old if key == _SERVICE else 0,
            )
