"""Deadlines of requests: the caller's timeout, limited by the service's."""

from ebonywheel import clock, exceptions, http

TIMEOUT_HEADER = "x-timeout-ms"
MS_PER_S = 1000


class Deadline:
    """A point in time on the monotonic clock.

    Attributes:
        at: The time on the clock, in seconds.
    """

    def __init__(self, time_source: clock.Clock, timeout_s: float):
        self.clock = time_source
        self.at = time_source.monotonic() + timeout_s

    def left(self) -> float:
        """Return the seconds left, never below zero."""
        return max(0.0, self.at - self.clock.monotonic())

    def passed(self) -> bool:
        """Return whether the deadline has passed."""
        return self.left() <= 0


def of_request(request: http.Request, time_source: clock.Clock, limit_s: float) -> Deadline:
    """Return a request's deadline.

    Args:
        request: The request; its header ``x-timeout-ms``, if any, holds the caller's timeout.
        time_source: The clock to use.
        limit_s: The service's timeout, used if the caller's is longer or missing.

    Raises:
        HttpError: The header is not a positive whole number.
    """
    text = request.headers.get(TIMEOUT_HEADER)
    if text is None:
        return Deadline(time_source, limit_s)
    if not (text.isascii() and text.isdecimal()) or len(text) > 12 or int(text) == 0:
        raise exceptions.HttpError(
            f"{TIMEOUT_HEADER} must be a positive whole number", "read deadline", request.peer
        )
    return Deadline(time_source, min(limit_s, int(text) / MS_PER_S))
