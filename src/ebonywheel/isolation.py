"""Reserves a backend server of a home for a suspect request, which must run alone.

A busy server is never empty, so a suspect would wait forever. While a suspect asks for a slot, one
server at a time is given no other new work until it is empty.
"""

from ebonywheel import exceptions, messages

RESERVATION_S = 3.0


class Isolation:
    """The reservation of at most one server.

    Attributes:
        server: Name of the server reserved last.
        reserved_until: Monotonic time at which the reservation expires, unless a suspect asks
            for the server again.
    """

    def __init__(self):
        self.server = ""
        self.reserved_until = float("-inf")

    def check_or_reserve(self, request: messages.Borrow, used: int, now: float) -> None:
        """Check a request for a slot; reserve the server when a suspect finds it busy.

        Args:
            request: The request for a slot.
            used: Slots in use at the server.
            now: Monotonic time.

        Raises:
            NotRunError: The server is reserved for a suspect.
        """
        if not request.alone:
            if request.server == self.server and now < self.reserved_until:
                raise exceptions.NotRunError(
                    "server is reserved for a suspect request", "lend", request.server
                )
        elif used == 0:
            self._release(request.server)
        elif now >= self.reserved_until or request.server == self.server:
            self.server = request.server
            self.reserved_until = now + RESERVATION_S

    def _release(self, server: str) -> None:
        if server == self.server:
            self.reserved_until = float("-inf")
