"""Admission by memory: whether a backend server has room for one more generation.

The home entry host forecasts how much memory the generations in flight will need some steps
ahead: each holds its prompt and tokens for as long as it probably goes on. The sum is taken as
normally distributed; a new generation is admitted when the sum, with a margin of some standard
deviations, stays below the server's blocks at every step of the horizon.
"""

import math
import typing

import msgspec

from ebonywheel import exceptions, lengths, messages, slots

# Standard deviations of margin over the expected memory.
MARGIN = 2.0
# Share of the blocks that only requests of the highest level in use may take.
RESERVED_SHARE = 0.05
# How long a forecast is good for when nothing was released.
FRESH_S = 0.05
# Time of a step until the server has reported one.
DEFAULT_STEP_S = 0.02
RETRY_AFTER_S = 1.0


class Forecast:
    """Memory needed at each step of the horizon, in tokens."""

    __slots__ = ("means", "variances", "count")

    def __init__(self):
        self.means = [0.0] * len(lengths.HORIZON)
        self.variances = [0.0] * len(lengths.HORIZON)
        self.count = 0

    def add(self, held: float, row: typing.Sequence[float], most: float = math.inf) -> None:
        """Add a generation.

        Args:
            held: Tokens of memory that it holds now.
            row: Probability that it goes on, at each step of the horizon.
            most: Further tokens after which it ends at the latest.
        """
        self.count += 1
        for number, share in enumerate(row):
            if share <= 0.0 or lengths.HORIZON[number] > most:
                return
            size = held + lengths.HORIZON[number]
            mean = share * size
            self.means[number] += mean
            self.variances[number] += mean * (size - mean)

    def with_one(self, held: float, row: typing.Sequence[float], most: float) -> "Forecast":
        """Return a copy with one more generation."""
        copy = Forecast()
        copy.means = self.means.copy()
        copy.variances = self.variances.copy()
        copy.count = self.count
        copy.add(held, row, most)
        return copy

    def peak(self, margin: float) -> float:
        """Return the most memory needed within the horizon, in tokens."""
        return max(
            mean + margin * math.sqrt(max(variance, 0.0))
            for mean, variance in zip(self.means, self.variances, strict=True)
        )


class Kept(msgspec.Struct):
    """The forecast of a server as it was made or last changed."""

    ledger: slots.SlotLedger
    made_at: float
    forecast: Forecast


class MemoryGate:
    """Decides for a home entry host, beside the number of slots.

    Attributes:
        lengths: Estimates of lengths, learnt from the requests that end.
        margin: Standard deviations of margin.
        headroom: Share of the blocks that no forecast may take.
        kept: Forecasts made a moment ago, by server.
        top_level: Highest priority level asked for so far.
    """

    def __init__(
        self,
        estimator: lengths.Estimator | None = None,
        margin: float = MARGIN,
        headroom: float = 0.0,
    ):
        self.lengths = estimator or lengths.LengthHistograms()
        self.margin = margin
        self.headroom = headroom
        self.kept: dict[str, Kept] = {}
        self.top_level = 0

    def check(self, ledger: slots.SlotLedger, request: messages.Borrow, now: float) -> None:
        """Check that there is room.

        Raises:
            NotRunError: The request would probably fill the memory in the middle of a decode.
        """
        state = ledger.state
        self.top_level = max(self.top_level, request.priority)
        if not state.total_blocks or request.loan in ledger.records:
            return
        kept = self._keep(ledger, now)
        row = self.lengths.survival(request.service, request.customer, request.expected_tokens).row(
            0
        )
        most = request.max_tokens or math.inf
        forecast = kept.forecast.with_one(request.prompt_tokens + _padding(state), row, most)
        room = state.total_blocks * state.block_tokens * (1 - self.headroom)
        if request.priority < self.top_level:
            room *= 1 - RESERVED_SHARE
        if kept.forecast.count and forecast.peak(self.margin) > room:
            raise exceptions.NotRunError(
                "no memory free", "lend", state.server, retry_after=RETRY_AFTER_S
            )
        kept.forecast = forecast

    def released(
        self, ledger: slots.SlotLedger, holding: messages.Holding, message: messages.Release
    ) -> None:
        """Learn from a request that ended."""
        self.kept.pop(ledger.state.server, None)
        if ledger.state.total_blocks and message.outcome == "finished" and message.tokens > 0:
            self.lengths.observe(holding.service, holding.customer, message.tokens)

    def expected_blocks(self, ledger: slots.SlotLedger, now: float) -> int:
        """Return the blocks that the work in flight is expected to need at its most."""
        state = ledger.state
        if not state.total_blocks:
            return 0
        peak = self._keep(ledger, now).forecast.peak(self.margin)
        return math.ceil(peak / state.block_tokens)

    def _keep(self, ledger: slots.SlotLedger, now: float) -> Kept:
        """Return the forecast for a server, made anew unless that was a moment ago."""
        kept = self.kept.get(ledger.state.server)
        if kept is None or kept.ledger is not ledger or now >= kept.made_at + FRESH_S:
            kept = Kept(ledger, now, self._forecast(ledger, now))
            self.kept[ledger.state.server] = kept
        return kept

    def _forecast(self, ledger: slots.SlotLedger, now: float) -> Forecast:
        forecast = Forecast()
        padding = _padding(ledger.state)
        step_s = ledger.load.step_us / 1e6 or DEFAULT_STEP_S
        for record in ledger.records.values():
            if record.released_at is not None:
                continue
            holding = record.holding
            since = record.lent_at if record.seen_at is None else record.seen_at
            passed = min(max(now - since, 0.0), slots.HOLDING_STALE_S)
            tokens = holding.tokens + int(passed / step_s)
            row = self.lengths.survival(
                holding.service, holding.customer, holding.expected_tokens
            ).row(tokens)
            most = holding.max_tokens - tokens if holding.max_tokens else math.inf
            forecast.add(holding.prompt_tokens + tokens + padding, row, max(most, 0))
        self._add_unaccounted(forecast, ledger, now)
        return forecast

    def _add_unaccounted(self, forecast: Forecast, ledger: slots.SlotLedger, now: float) -> None:
        """Add the work that the server reports and no borrower accounts for."""
        unaccounted = ledger.used(now) - forecast.count
        if unaccounted <= 0:
            return
        reported = max(ledger.load.running + ledger.load.waiting, 1)
        each = ledger.load.used_blocks * ledger.state.block_tokens / reported
        row = self.lengths.survival("", "", 0).row(int(each))
        for _ in range(unaccounted):
            forecast.add(each, row)


def _padding(state: messages.ServerState) -> float:
    """Return the tokens of memory that a generation wastes on average in its last block."""
    return state.block_tokens / 2
