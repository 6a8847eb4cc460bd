"""Errors of the system, each with the step that failed and the peer concerned."""


class EbonywheelError(Exception):
    """Base class of all errors of this package.

    Attributes:
        text: Description of the failure, in one sentence.
        step: The step that failed, such as ``connect`` or ``decode frame``.
        peer: The remote process, file or component concerned, or an empty string.
    """

    code = "internal"

    def __init__(self, text: str, step: str = "", peer: str = ""):
        super().__init__(text)
        self.text = text
        self.step = step
        self.peer = peer

    def __str__(self) -> str:
        context = ", ".join(part for part in (self.step, self.peer) if part)
        return f"{self.text} ({context})" if context else self.text


class SettingsError(EbonywheelError):
    """A settings file is missing, unreadable or has an invalid value."""

    code = "settings"


class DocumentError(EbonywheelError):
    """An environment document is malformed or refers to an entry that does not exist."""

    code = "document"


class LinkError(EbonywheelError):
    """A message exchange with another process of the system failed."""

    code = "link"


class FrameError(LinkError):
    """A frame has a wrong length, version or type, or its body cannot be decoded."""

    code = "frame"


class UnknownMessageError(FrameError):
    """A frame holds a message that this build does not know.

    Attributes:
        length: Length of its body in bytes.
        exchange: Number of the exchange that it belongs to.
        wants_answer: Whether the sender waits for an answer.
    """

    code = "unknown_message"

    def __init__(self, text: str, length: int, exchange: int, wants_answer: bool):
        super().__init__(text, "decode frame")
        self.length = length
        self.exchange = exchange
        self.wants_answer = wants_answer


class HandshakeError(LinkError):
    """A peer did not prove that it has the shared secret."""

    code = "handshake"


class LinkTimeout(LinkError):
    """A peer did not answer in time; it is unknown whether it acted on the message."""

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
        sent: Whether any byte of the request may have reached the backend server.
        timed_out: Whether the failure was a timeout.
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
        retry_after: Seconds after which a retry may succeed, or None.
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


class ElsewhereError(NotRunError):
    """This host cannot serve the request, but another entry host may."""

    code = "elsewhere"


class UnknownOutcomeError(EbonywheelError):
    """It is unknown whether the operation took effect."""

    code = "unknown"


class StorageError(EbonywheelError):
    """Durable state could not be read or written."""

    code = "storage"


class DiskFullError(StorageError):
    """A write found no room on the disk; nothing of it was stored, and it may be tried again."""

    code = "disk_full"


class CorruptLogError(StorageError):
    """A log record other than the last one fails its checksum."""

    code = "corrupt_log"


class UnreadableEntryError(StorageError):
    """A log entry is intact but holds a command that this build does not know."""

    code = "unreadable_entry"


class NotLeaderError(EbonywheelError):
    """This control host cannot decide now, for example because it is not the leader.

    Attributes:
        leader: Host name of the leader, or an empty string when not known.
    """

    code = "not_leader"

    def __init__(self, text: str, step: str = "", peer: str = "", leader: str = ""):
        super().__init__(text, step, peer)
        self.leader = leader
