"""Keeps one backend server of a home free for a suspect request, which must run alone.

On a busy server there is always other work, so that a suspect would never get its turn. While a
suspect asks, one server at a time takes no other new work until it is empty.
"""

from ebonywheel import exceptions, messages

KEPT_S = 3.0


class Isolation:
    """The server that is kept free, if any.

    Attributes:
        server: Its name.
        until: Monotonic time until which it is kept, unless the suspect asks again.
    """

    def __init__(self):
        self.server = ""
        self.until = float("-inf")

    def check(self, request: messages.Borrow, used: int, now: float) -> None:
        """Check a request for a slot, and keep the server free where a suspect needs it.

        Raises:
            NotRunError: The server is kept free for a suspect.
        """
        if not request.alone:
            if request.server == self.server and now < self.until:
                raise exceptions.NotRunError("kept free for a suspect", "lend", request.server)
        elif used == 0:
            self._end(request.server)
        elif now >= self.until or request.server == self.server:
            self.server = request.server
            self.until = now + KEPT_S

    def _end(self, server: str) -> None:
        if server == self.server:
            self.until = float("-inf")
