"""Errors of the system, each carrying the step and the peer at which it arose."""


class EbonywheelError(Exception):
    """Base of all errors of this package.

    Attributes:
        text: What went wrong, in one sentence.
        step: The step that failed, such as ``connect`` or ``decode frame``.
        peer: The other end, file or component concerned, or an empty string.
    """

    code = "internal"

    def __init__(self, text: str, step: str = "", peer: str = ""):
        super().__init__(text)
        self.text = text
        self.step = step
        self.peer = peer

    def __str__(self) -> str:
        where = ", ".join(part for part in (self.step, self.peer) if part)
        return f"{self.text} ({where})" if where else self.text


class SettingsError(EbonywheelError):
    """A settings file is missing, unreadable or holds a wrong value."""

    code = "settings"


class DocumentError(EbonywheelError):
    """An environment document is malformed or refers to something that is not there."""

    code = "document"


class LinkError(EbonywheelError):
    """A message exchange with another process of the system failed."""

    code = "link"


class FrameError(LinkError):
    """A frame has a wrong length, version or type, or its body cannot be decoded."""

    code = "frame"


class HandshakeError(LinkError):
    """A peer could not prove that it holds the shared secret."""

    code = "handshake"


class LinkTimeout(LinkError):
    """A peer did not answer in time; whether it acted on the message is unknown."""

    code = "timeout"


class RemoteError(LinkError):
    """A peer answered a message with an error of its own.

    Attributes:
        remote_code: The code of the error at the peer.
    """

    code = "remote"

    def __init__(self, text: str, step: str = "", peer: str = "", remote_code: str = "internal"):
        super().__init__(text, step, peer)
        self.remote_code = remote_code


class HttpError(EbonywheelError):
    """An HTTP exchange failed.

    Attributes:
        status: The HTTP status to answer with.
    """

    code = "http"

    def __init__(self, text: str, step: str = "", peer: str = "", status: int = 400):
        super().__init__(text, step, peer)
        self.status = status


class UpstreamError(EbonywheelError):
    """An exchange with a backend server failed.

    Attributes:
        sent: True when any byte of the request may have reached the backend server.
        timed_out: True when the server was only too slow.
    """

    code = "upstream"

    def __init__(
        self,
        text: str,
        step: str = "",
        peer: str = "",
        sent: bool = False,
        timed_out: bool = False,
    ):
        super().__init__(text, step, peer)
        self.sent = sent
        self.timed_out = timed_out


class NotRunError(EbonywheelError):
    """The request was refused before any part of it could reach a backend server.

    Attributes:
        status: The HTTP status to answer with.
        retry_after: Seconds after which a new try may succeed, or None.
    """

    code = "not_run"

    def __init__(
        self,
        text: str,
        step: str = "",
        peer: str = "",
        status: int = 503,
        retry_after: float | None = None,
    ):
        super().__init__(text, step, peer)
        self.status = status
        self.retry_after = retry_after


class UnknownOutcomeError(EbonywheelError):
    """Whether the operation took effect cannot be known now."""

    code = "unknown"


class StorageError(EbonywheelError):
    """Durable state could not be read or written."""

    code = "storage"


class CorruptLogError(StorageError):
    """A record before the last one fails its checksum."""

    code = "corrupt_log"


class NotLeaderError(EbonywheelError):
    """This control host cannot decide now.

    Attributes:
        leader: Host name of the leader, or an empty string when not known.
    """

    code = "not_leader"

    def __init__(self, text: str, step: str = "", peer: str = "", leader: str = ""):
        super().__init__(text, step, peer)
        self.leader = leader
