"""The body of a request while it is received, counted in an account before it is kept."""

from ebonywheel import exceptions, heldmemory

# Room for a body without a length is taken in steps of this.
STEP_BYTES = 64 * 1024
# Progress of a body without a length, and of a small one as a share of it.
UNKNOWN_PROGRESS_BYTES = 512
PROGRESS_SHARE = 0.05
STATUS_TOO_LARGE = 413
STATUS_NO_ROOM = 503
RETRY_AFTER_S = 1


class RequestBody:
    """A body of which a part has arrived.

    Attributes:
        content: What has arrived.
        held: Counts it.
        limit: Largest size.
        length: Its stated length, None without one.
        peer: Address of its caller.
    """

    __slots__ = ("content", "held", "limit", "length", "peer", "_room")

    def __init__(self, held: heldmemory.Holding, limit: int, length: int | None, peer: str):
        self.content = bytearray()
        self.held = held
        self.limit = limit
        self.length = length
        self.peer = peer
        self._room = 0

    def reserve(self) -> None:
        """Take room for a body of stated length.

        Raises:
            HttpError: It is too large.
            NotRunError: There is no room.
        """
        if self.length is not None and not self._room:
            self._check_size(self.length)
            self._take_room(self.length)

    def progress_bytes(self) -> int:
        """Return how much has to arrive for the caller to make progress: less of a small body."""
        if self.length is None:
            return UNKNOWN_PROGRESS_BYTES
        return min(heldmemory.PROGRESS_BYTES, max(1, int(PROGRESS_SHARE * self.length)))

    def restrict(self, limit: int) -> None:
        """Lower the largest size; raises `HttpError` if the body is larger."""
        self.limit = min(self.limit, limit)
        self._check_size(max(self.length or 0, len(self.content)))

    def add(self, data: bytes | bytearray) -> None:
        """Keep a part that has arrived; raises like `reserve`."""
        size = len(self.content) + len(data)
        self._check_size(size)
        if size > self._room:
            self._take_room(max(STEP_BYTES, size - self._room))
        self.content += data

    def take(self) -> bytes:
        """Return the whole body."""
        body = bytes(self.content)
        self.held.force(len(body) - self._room)
        self._room = len(body)
        self.content = bytearray()
        return body

    def _check_size(self, size: int) -> None:
        if size > self.limit:
            raise exceptions.HttpError(
                f"body over {self.limit} bytes", "read body", self.peer, STATUS_TOO_LARGE
            )

    def _take_room(self, size: int) -> None:
        if not self.held.grow(size):
            raise no_room_error(self.peer)
        self._room += size


def no_room_error(peer: str) -> exceptions.NotRunError:
    """Return the error for a request that finds no room in this process's memory."""
    return exceptions.NotRunError(
        "no room for the request", "read", peer, STATUS_NO_ROOM, RETRY_AFTER_S
    )
