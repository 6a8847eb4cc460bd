"""Deadlines of requests: the caller's own, bounded by the service's timeout."""

from ebonywheel import clock, exceptions, http

TIMEOUT_HEADER = "x-timeout-ms"
MS_PER_S = 1000


class Deadline:
    """A point in time on the monotonic clock."""

    def __init__(self, time_source: clock.Clock, timeout_s: float):
        self.clock = time_source
        self.at = time_source.monotonic() + timeout_s

    def left(self) -> float:
        """Return the seconds left, never below zero."""
        return max(0.0, self.at - self.clock.monotonic())

    def passed(self) -> bool:
        """Return whether it has passed."""
        return self.left() <= 0


def of_request(request: http.Request, time_source: clock.Clock, limit_s: float) -> Deadline:
    """Return a request's deadline.

    Args:
        request: May carry its caller's timeout in the header ``x-timeout-ms``.
        time_source: The monotonic clock.
        limit_s: The service's timeout.

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
