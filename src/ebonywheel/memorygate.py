"""Admission by memory: whether a backend server has room for one more generation.

The home entry host forecasts how much memory the generations in flight will need over the next
steps: each holds its prompt and tokens until it ends. Their sum is taken as normally distributed. A
new generation is admitted when the expected sum plus a margin of some standard deviations fits into
the server's blocks at every step of the horizon.
"""

import math
import typing

import msgspec

from ebonywheel import exceptions, lengths, messages, slots

# Standard deviations of margin over the expected memory.
MARGIN = 2.0
# Fraction of the blocks that only requests of the highest priority seen so far may take.
RESERVED_FRACTION = 0.05
# Age at which a forecast is made anew, even if nothing was released.
FORECAST_MAX_AGE_S = 0.05
# Duration of a decode step until the server has reported one.
DEFAULT_STEP_S = 0.02
RETRY_AFTER_S = 1.0


class Forecast:
    """Memory needed at each step of the horizon, in tokens.

    Attributes:
        means: Expected memory at each step.
        variances: Variance of the memory at each step.
        count: Number of generations.
    """

    __slots__ = ("means", "variances", "count")

    def __init__(self):
        self.means = [0.0] * len(lengths.HORIZON)
        self.variances = [0.0] * len(lengths.HORIZON)
        self.count = 0

    def add(
        self, held_tokens: float, survival: typing.Sequence[float], max_remaining: float = math.inf
    ) -> None:
        """Add a generation.

        Args:
            held_tokens: Tokens of memory that it holds now.
            survival: Probability that it is still running, at each step of the horizon.
            max_remaining: Further tokens after which it ends at the latest.
        """
        self.count += 1
        for index, probability in enumerate(survival):
            if probability <= 0.0 or lengths.HORIZON[index] > max_remaining:
                return
            size = held_tokens + lengths.HORIZON[index]
            mean = probability * size
            self.means[index] += mean
            self.variances[index] += mean * (size - mean)

    def with_generation(
        self, held_tokens: float, survival: typing.Sequence[float], max_remaining: float
    ) -> "Forecast":
        """Return a copy with one more generation."""
        copy = Forecast()
        copy.means = self.means.copy()
        copy.variances = self.variances.copy()
        copy.count = self.count
        copy.add(held_tokens, survival, max_remaining)
        return copy

    def peak(self, margin: float) -> float:
        """Return the most memory needed within the horizon, in tokens.

        Args:
            margin: Standard deviations to add to the expected memory.
        """
        return max(
            mean + margin * math.sqrt(max(variance, 0.0))
            for mean, variance in zip(self.means, self.variances, strict=True)
        )


class CachedForecast(msgspec.Struct):
    """The forecast of a server, with what was admitted since it was made.

    Attributes:
        ledger: The slot ledger that it was made from.
        made_at: Time at which it was made, on the monotonic clock.
    """

    ledger: slots.SlotLedger
    made_at: float
    forecast: Forecast


class MemoryGate:
    """Decides for a home entry host whether a request is admitted, in addition to the slot limit.

    Attributes:
        lengths: Estimates of lengths, learnt from the requests that end.
        margin: Standard deviations added to the expected memory.
        headroom: Fraction of the blocks that is always left free.
        forecasts: Recent forecasts, by server.
        highest_priority: Highest priority requested so far.
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
        self.forecasts: dict[str, CachedForecast] = {}
        self.highest_priority = 0

    def check(self, ledger: slots.SlotLedger, request: messages.Borrow, now: float) -> None:
        """Check that a server has memory for a request, and count it as admitted.

        Raises:
            NotRunError: With the request, the server would probably run out of memory during a
                decode.
        """
        state = ledger.state
        self.highest_priority = max(self.highest_priority, request.priority)
        if not state.total_blocks or request.loan in ledger.records:
            return
        cached = self._cached_forecast(ledger, now)
        survival = self.lengths.survival(
            request.service, request.customer, request.expected_tokens
        ).over_horizon(0)
        max_remaining = request.max_tokens or math.inf
        forecast = cached.forecast.with_generation(
            request.prompt_tokens + _padding(state), survival, max_remaining
        )
        capacity_tokens = state.total_blocks * state.block_tokens * (1 - self.headroom)
        if request.priority < self.highest_priority:
            capacity_tokens *= 1 - RESERVED_FRACTION
        if cached.forecast.count and forecast.peak(self.margin) > capacity_tokens:
            raise exceptions.NotRunError(
                "no memory free", "lend", state.server, retry_after=RETRY_AFTER_S
            )
        cached.forecast = forecast

    def record_release(
        self, ledger: slots.SlotLedger, holding: messages.Holding, message: messages.Release
    ) -> None:
        """Drop the server's forecast, and learn the length of the request if it finished."""
        self.forecasts.pop(ledger.state.server, None)
        if ledger.state.total_blocks and message.outcome == "finished" and message.tokens > 0:
            self.lengths.observe(holding.service, holding.customer, message.tokens)

    def expected_blocks(self, ledger: slots.SlotLedger, now: float) -> int:
        """Return the most blocks that the work in flight is expected to need, margin included."""
        state = ledger.state
        if not state.total_blocks:
            return 0
        peak = self._cached_forecast(ledger, now).forecast.peak(self.margin)
        return math.ceil(peak / state.block_tokens)

    def _cached_forecast(self, ledger: slots.SlotLedger, now: float) -> CachedForecast:
        """Return the forecast for a server, made anew if it is too old or of another ledger."""
        cached = self.forecasts.get(ledger.state.server)
        if (
            cached is None
            or cached.ledger is not ledger
            or now >= cached.made_at + FORECAST_MAX_AGE_S
        ):
            cached = CachedForecast(ledger, now, self._make_forecast(ledger, now))
            self.forecasts[ledger.state.server] = cached
        return cached

    def _make_forecast(self, ledger: slots.SlotLedger, now: float) -> Forecast:
        forecast = Forecast()
        padding = _padding(ledger.state)
        step_s = ledger.load.step_us / 1e6 or DEFAULT_STEP_S
        for record in ledger.records.values():
            if record.released_at is not None:
                continue
            holding = record.holding
            counted_at = record.lent_at if record.reported_at is None else record.reported_at
            elapsed_s = min(max(now - counted_at, 0.0), slots.HOLDING_STALE_S)
            tokens = holding.tokens + int(elapsed_s / step_s)
            survival = self.lengths.survival(
                holding.service, holding.customer, holding.expected_tokens
            ).over_horizon(tokens)
            max_remaining = holding.max_tokens - tokens if holding.max_tokens else math.inf
            forecast.add(holding.prompt_tokens + tokens + padding, survival, max(max_remaining, 0))
        self._add_unaccounted(forecast, ledger, now)
        return forecast

    def _add_unaccounted(self, forecast: Forecast, ledger: slots.SlotLedger, now: float) -> None:
        """Add the work that the server reports beyond the loans on record, at its average size."""
        unaccounted = ledger.used(now) - forecast.count
        if unaccounted <= 0:
            return
        reported = max(ledger.load.running + ledger.load.waiting, 1)
        average_tokens = ledger.load.used_blocks * ledger.state.block_tokens / reported
        survival = self.lengths.survival("", "", 0).over_horizon(int(average_tokens))
        for _ in range(unaccounted):
            forecast.add(average_tokens, survival)


def _padding(state: messages.ServerState) -> float:
    """Return the tokens of memory that are unused, on average, in a generation's last block."""
    return state.block_tokens / 2
