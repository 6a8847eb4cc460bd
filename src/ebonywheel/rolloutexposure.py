"""How much of a service's traffic an unproved version may get, and when all of it may go there.

The bound holds whatever the verdict on the version turns out to be: the requests that are sent to
it while it is proved, and those of the shift up to the deadline, are paid from the same allowance.
"""

import msgspec

from ebonywheel import settings

# Part of the stated slack that is used: the rest covers what was sent and not reported yet.
USABLE_SLACK = 0.8
# Part of the whole allowance that is spent on proving, within bounds; the shift is paid from the
# rest, which is to last for `SHIFT_PART` of the time.
MIN_PROVING_PART = 0.15
MAX_PROVING_PART = 0.6
SHIFT_PART = 0.12
# More than this leaves too little traffic at the other versions to compare with.
MAX_PROVING_SHARE = 0.5
# Share before the first answers have come, relative to what is allowed.
FIRST_SHARE_PART = 0.5
FIRST_ANSWERS = 10
# A shift lasts as long as the allowance permits, within these bounds.
MIN_SHIFT_S = 0.6
MAX_SHIFT_S = 60.0
MAX_SHIFT_PART = 0.25
# The end is decided this long before the deadline: a part of the time, within bounds.
END_MARGIN_PART = 0.04
MIN_END_MARGIN_S = 0.2
MAX_END_MARGIN_S = 1.0
# A shift this long before the deadline costs little, and leaves the time to complete it.
SHORTEST_SHIFT_S = 0.5


class Traffic(msgspec.Struct):
    """Requests of a service since the order.

    Attributes:
        to_target: Those that were sent to the target.
        total: Those that were sent to any version.
        per_s: Their present rate.
    """

    to_target: int = 0
    total: int = 0
    per_s: float = 0.0


class Exposure:
    """Plans the exposure of one roll-out.

    Attributes:
        bounds: What callers bear.
        duration_s: Time from the order to the deadline.
    """

    __slots__ = ("bounds", "duration_s")

    def __init__(self, bounds: settings.RolloutSettings, duration_s: float):
        self.bounds = bounds
        self.duration_s = duration_s

    def end_margin_s(self) -> float:
        """Return how long before the deadline the roll-out is to have ended."""
        margin_s = self.duration_s * END_MARGIN_PART
        return min(MAX_END_MARGIN_S, max(MIN_END_MARGIN_S, margin_s))

    def last_shift_s(self) -> float:
        """Return when a shift should begin at the latest, in seconds before the deadline."""
        return MIN_SHIFT_S + self.end_margin_s()

    def allowance(self, requests: float) -> float:
        """Return how many of a number of requests the target may get."""
        return self.bounds.exposure_share * requests + USABLE_SLACK * self.bounds.exposure_slack

    def is_time_to_shift(self, traffic: Traffic, left_s: float) -> bool:
        """Return whether all requests from now to the deadline may go to the target."""
        longest_s = min(MAX_SHIFT_S, MAX_SHIFT_PART * self.duration_s)
        if left_s > max(longest_s, self.last_shift_s()):
            return False
        free = self.allowance(traffic.total) - traffic.to_target
        # Each request to the target raises the allowance as well.
        cost = traffic.per_s * left_s * (1.0 - self.bounds.exposure_share)
        return cost <= free or left_s <= SHORTEST_SHIFT_S

    def proving_share(self, traffic: Traffic, left_s: float, answers: int) -> float:
        """Return the share of the new requests that may go to the target while it is proved.

        Args:
            traffic: The requests so far.
            left_s: Seconds to the deadline.
            answers: Answers of the target so far.
        """
        whole = self.allowance(traffic.total + traffic.per_s * left_s)
        shift_s = max(SHIFT_PART * self.duration_s, self.last_shift_s())
        shift = traffic.per_s * shift_s * (1.0 - self.bounds.exposure_share)
        part = max(MIN_PROVING_PART, min(MAX_PROVING_PART, 1.0 - shift / max(whole, 1.0)))
        # Not more than the requests so far allow either, as those to come may not come.
        free = min(part * whole, self.allowance(traffic.total)) - traffic.to_target
        if free <= 0.0:
            return 0.0
        to_come = traffic.per_s * max(left_s - self.last_shift_s(), MIN_SHIFT_S)
        share = min(MAX_PROVING_SHARE, free / to_come) if to_come > 0.0 else MAX_PROVING_SHARE
        return share * (1.0 if answers >= FIRST_ANSWERS else FIRST_SHARE_PART)
