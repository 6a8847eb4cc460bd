"""Which of several servers keep a request's targets, by what all entry hosts saw of them.

Servers differ in speed, and so does the loss that a request suffers there: on a slow server the
pauses of a stream exceed its target while a fast one keeps it. What was seen of one server counts
against the typical figures of all that are compared, which stand for a server while little is
known of it. Where servers are alike, or nothing is known, no choice changes.
"""

import math

from ebonywheel import serverpaces
from ebonywheel.gateway import dialect, routes

# Seconds of streams, answers and prompt tokens at a server that count as much as the typical
# figures of all servers.
PRIOR_WINDOWS = 4.0
PRIOR_WORKS = 4.0
PRIOR_READ_TOKENS = 12_000.0
PRIOR_STRETCHES = 3.0
# Weight of the time that work takes as stated in many answers, and of the typical time, in units of
# `PRIOR_READ_TOKENS` read.
STATED_WEIGHT = 1.5
PRIOR_PACE_WEIGHT = 0.25
# Ratios of speeds nearer to 1 than this, by their natural logarithm, may be chance.
CHANCE_LOG_RATIO = 0.2
MAX_RATIO = 3.0
# Servers whose paces differ by less, by their natural logarithm, stand for each other.
ALIKE_LOG_RATIO = 0.4
# Share of the target for the first event within which a server is expected to read the prompt, if
# servers differ: reading takes longer while its machine has a slow time.
PREFERRED_WAIT_SHARE = 0.6
# Servers whose streams are late more often than those of the best one by this share miss the
# target: one caller in five is worse off there.
MISSED_SHARE = 0.2
# Standard deviations by which the late shares of servers must vary more than by chance.
CHANCE_DEVIATIONS = 2.0
# Servers whose paces differ by more, by their natural logarithm, are of different kinds.
FAR_LOG_RATIO = 0.7
# Successes that count with the answers seen of a server, so that one failure says little.
PRIOR_ANSWERS = 4.0
# Cost of a server that makes a stream late for certain, beside one that never does, as a share of a
# server's capacity: others take it first, up to their whole room.
LATE_COST = 1.0
# Cost of a server that keeps a target which others miss, for requests without that target: they
# leave it to those that have it while others are not much busier.
YIELD_COST = 0.15
# Length of the streams by which servers are compared for requests without a target for pauses.
TYPICAL_STREAM_S = 4.0
# Tokens of an answer a second and run, as an engine with a usual load generates them.
ANSWER_TOKENS_PER_S = 150.0


class Speeds:
    """Speeds of servers that are compared for a request.

    Attributes:
        late_share: Share of the windows of their streams that are late.
        read_s: Seconds that they take to read a prompt token, 0 when not known.
        work_s: Seconds of an answer that is no stream, 0 when not known.
        stretch: What they state of the time that work takes, 0 when not known.
        stream_s: Expected length of the request's stream, 0 without a target for its pauses.
        seen: What was seen of those with streams, with the logarithm of their pace.
        lowest: Lowest chance that a stream is late at one of them.
        highest: Highest such chance.
        differ: Whether some keep the target for pauses and others miss it.
        reading_differs: Whether some read prompts faster than others.
    """

    __slots__ = (
        "late_share",
        "read_s",
        "work_s",
        "stretch",
        "stream_s",
        "seen",
        "lowest",
        "highest",
        "differ",
        "reading_differs",
    )

    def __init__(self, seen: list[serverpaces.Sums], stream_s: float = 0.0):
        total = serverpaces.Sums()
        for sums in seen:
            for name in serverpaces.SUMMED:
                setattr(total, name, getattr(total, name) + getattr(sums, name))
        self.late_share = _ratio(total.late_windows, total.windows)
        self.read_s = _ratio(total.read_s, total.read_tokens)
        self.work_s = _ratio(total.work_s, total.works)
        self.stretch = _ratio(total.stretch, total.stretches)
        self.stream_s = stream_s
        self.reading_differs = any(self.reading_ratio(sums) != 1.0 for sums in seen)
        self.seen: list[tuple[float, serverpaces.Sums]] = []
        self.lowest = self.highest = 0.0
        self.differ = False
        if 0.0 < self.late_share < 1.0:
            self.seen = [(self._log_pace(sums), sums) for sums in seen if sums.windows]
            chances = [self.late_chance(sums) for sums in seen]
            self.lowest, self.highest = min(chances), max(chances)
            self.differ = self.highest - self.lowest > MISSED_SHARE and self._is_proven()

    def _is_proven(self) -> bool:
        """Return whether paces are far apart, or late shares vary by more than by chance."""
        paces = [log_pace for log_pace, _ in self.seen]
        if max(paces) - min(paces) > FAR_LOG_RATIO:
            return True
        share = self.late_share
        variance = share * (1.0 - share)
        squares = sum(
            (sums.late_windows - share * sums.windows) ** 2 / sums.windows for _, sums in self.seen
        )
        # The sum follows a chi-square distribution where servers are alike.
        count = len(self.seen)
        if squares / variance > count + CHANCE_DEVIATIONS * math.sqrt(2.0 * count):
            return True
        slower = [sums for log_pace, sums in self.seen if log_pace > 0.0]
        faster = [sums for log_pace, sums in self.seen if log_pace <= 0.0]
        if not slower or not faster:
            return False
        slower_windows = sum(sums.windows for sums in slower)
        faster_windows = sum(sums.windows for sums in faster)
        slower_share = sum(sums.late_windows for sums in slower) / slower_windows
        faster_share = sum(sums.late_windows for sums in faster) / faster_windows
        deviation = math.sqrt(variance * (1.0 / slower_windows + 1.0 / faster_windows))
        return slower_share - faster_share > CHANCE_DEVIATIONS * deviation

    def _log_pace(self, sums: serverpaces.Sums) -> float:
        """Return the logarithm of the time that a server takes for work, 0 for the typical time.

        What it states of itself counts as a few prompts that were read, and no more.
        """
        weight = total = 0.0
        if self.read_s:
            weight = sums.read_tokens / PRIOR_READ_TOKENS
            total = weight * math.log(_bounded(_ratio(sums.read_s, sums.read_tokens) / self.read_s))
        if self.stretch and sums.stretches:
            stated = STATED_WEIGHT * sums.stretches / (sums.stretches + PRIOR_STRETCHES)
            weight += stated
            total += stated * math.log(_bounded(sums.stretch / sums.stretches / self.stretch))
        return total / (weight + PRIOR_PACE_WEIGHT)

    def _expected_late_share(self, sums: serverpaces.Sums) -> float:
        """Return the late share of servers about as fast: all have slow times alike."""
        log_pace = self._log_pace(sums)
        windows = PRIOR_WINDOWS
        late = PRIOR_WINDOWS * self.late_share
        for other_log_pace, other in self.seen:
            weight = 1.0 - abs(other_log_pace - log_pace) / ALIKE_LOG_RATIO
            if weight > 0.0:
                windows += weight * other.windows
                late += weight * other.late_windows
        return late / windows

    def late_cost(self, sums: serverpaces.Sums, tokens: int, target_s: float) -> float:
        """Return the cost of missing targets, or of taking room that others need.

        Args:
            sums: What was seen of the server.
            tokens: Prompt tokens that it would have to read before the first event.
            target_s: Target for the first event, 0 for none.
        """
        first = self._first_event_late(sums, tokens, target_s)
        if not self.differ:
            return LATE_COST * first
        if self.stream_s:
            in_time = (1.0 - first) * (1.0 - self.late_chance(sums) + self.lowest)
            return LATE_COST * (1.0 - in_time)
        return LATE_COST * first + YIELD_COST * (self.highest - self.late_chance(sums))

    def _first_event_late(self, sums: serverpaces.Sums, tokens: int, target_s: float) -> float:
        """Return the chance that the first event is late; 0 where servers read alike."""
        if not target_s or not self.reading_differs:
            return 0.0
        share = tokens * self.read_s * self.reading_ratio(sums) / target_s
        return min(
            1.0, max(0.0, (share - PREFERRED_WAIT_SHARE) / (2.0 - 2.0 * PREFERRED_WAIT_SHARE))
        )

    def keeping(self, servers: list[tuple[int, serverpaces.Sums]]) -> list[int]:
        """Return the servers at which a stream is late hardly more often than at the best.

        Args:
            servers: Number of each server, with what was seen of it.
        """
        chances = [self.late_chance(sums) for _, sums in servers]
        limit = min(chances, default=0.0) + MISSED_SHARE
        return [
            number for (number, _), chance in zip(servers, chances, strict=True) if chance <= limit
        ]

    def late_chance(self, sums: serverpaces.Sums) -> float:
        """Return the chance that a stream is late at a server.

        Where little was seen of it, servers about as fast stand for it.
        """
        if not self.late_share:
            return 0.0
        prior = PRIOR_WINDOWS * self._expected_late_share(sums)
        share = min(1.0, (sums.late_windows + prior) / (sums.windows + PRIOR_WINDOWS))
        return 1.0 - (1.0 - share) ** (self.stream_s or TYPICAL_STREAM_S)

    def reading_ratio(self, sums: serverpaces.Sums) -> float:
        """Return the time that a server takes to read a prompt, 1 for the typical time."""
        return _beyond_chance(self._raw_reading_ratio(sums)) if self.read_s else 1.0

    def _raw_reading_ratio(self, sums: serverpaces.Sums) -> float:
        prior_s = PRIOR_READ_TOKENS * self.read_s
        per_token_s = (sums.read_s + prior_s) / (sums.read_tokens + PRIOR_READ_TOKENS)
        return _bounded(per_token_s / self.read_s)

    def tokens_in_time(self, sums: serverpaces.Sums, target_s: float) -> float:
        """Return how many tokens a server reads well within a target for the first event."""
        if not self.read_s:
            return math.inf
        return PREFERRED_WAIT_SHARE * target_s / (self.read_s * self.reading_ratio(sums))

    def working_ratio(self, sums: serverpaces.Sums) -> float:
        """Return the time that a server takes for an answer, 1 for the typical time.

        What a server states of itself stands for it until its answers were seen.
        """
        if not self.work_s:
            return 1.0
        stated = 1.0
        if self.stretch:
            stretch = (sums.stretch + PRIOR_STRETCHES * self.stretch) / (
                sums.stretches + PRIOR_STRETCHES
            )
            stated = _beyond_chance(stretch / self.stretch)
        work_s = (sums.work_s + PRIOR_WORKS * self.work_s * stated) / (sums.works + PRIOR_WORKS)
        return _beyond_chance(work_s / self.work_s)


def stream_s(prompt: dialect.Prompt, route: routes.Route, events: int = 0) -> float:
    """Return the expected length of a stream, 0 when its route sets no target for pauses.

    Args:
        prompt: Its prompt.
        route: Its route.
        events: Events that it has had, each of which counts as a token at least.
    """
    if not route.max_gap_s:
        return 0.0
    return max(0, prompt.expected_answer_tokens() - events) / ANSWER_TOKENS_PER_S


def failure_rate(sums: serverpaces.Sums, now: float) -> float:
    """Return the share of a server's answers to all hosts that failed, a low estimate.

    It decays, as nobody hears news of a server to which nobody sends.
    """
    age_s = max(0.0, now - sums.updated_at)
    decay = 0.5 ** (age_s / serverpaces.FAILURE_HALF_LIFE_S)
    return sums.failures * decay / (sums.answers * decay + PRIOR_ANSWERS)


def _ratio(amount: float, count: float) -> float:
    return amount / count if count > 0 else 0.0


def _beyond_chance(ratio: float) -> float:
    """Return a ratio of speeds, 1 where it may be chance."""
    if abs(math.log(max(ratio, 1e-9))) < CHANCE_LOG_RATIO:
        return 1.0
    return _bounded(ratio)


def _bounded(ratio: float) -> float:
    return min(MAX_RATIO, max(1.0 / MAX_RATIO, ratio))
