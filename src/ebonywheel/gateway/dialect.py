"""What the gateway needs to know of the language that callers and backend servers speak."""

import typing

import msgspec

from ebonywheel import http, httpclient


class Prompt(msgspec.Struct, frozen=True):
    """What a request for a generation says of its size.

    Attributes:
        tokens: Length of the prompt.
        most_tokens: Longest answer that it asks for.
        expected_tokens: The caller's estimate of the answer's length, 0 where it gives none.
    """

    tokens: int = 0
    most_tokens: int = 0
    expected_tokens: int = 0


class CallerRequest(msgspec.Struct):
    """A caller's request as the gateway sees it.

    Attributes:
        attempt: Id of this attempt of the caller, unique.
        host: Host that it is for.
        target: Path and query as sent.
        path: Path alone.
        key: The caller's key, empty where it sent none.
        patience_s: How long the caller will wait, None where it does not say.
        headers: Headers to pass on.
        prompt: Size of the generation, None for other requests.
    """

    attempt: str
    method: str
    host: str
    target: str
    path: str
    key: str
    patience_s: float | None
    headers: http.Headers
    body: bytes
    prompt: Prompt | None = None


class Resume(msgspec.Struct, frozen=True):
    """Where a run goes on.

    Attributes:
        source: Address of the server that made, or received, the copy.
        handle: Names the copy there.
        last_event: Id of the last event that the caller has, empty when it has none.
    """

    source: str
    handle: str
    last_event: str


class Sending(msgspec.Struct, frozen=True):
    """What the gateway adds when it sends a request to a server.

    Attributes:
        server: Id of the server that is meant.
        customer: Name of the customer, empty where there is none.
        left_s: How long an answer is waited for.
        urgency: Rank among the requests at the server; 0 goes first, None for no preference.
        resume: Where a run goes on, None for a new one.
    """

    server: str
    customer: str
    left_s: float
    urgency: int | None = None
    resume: Resume | None = None


class ServerLoad(msgspec.Struct, frozen=True):
    """What a server says of its load in an answer."""

    running: int
    waiting: int
    slots: int


class Answer(msgspec.Struct):
    """What the head of a server's answer tells.

    Attributes:
        attempt: Id of the request that it answers, empty where it does not say.
        not_run: True when the server promises that the request did not and will not run.
        load: Load of the server, None where it does not say.
        keep_s: How long the server keeps the idle connection, None where it does not say.
        headers: Headers to pass on.
    """

    status: int
    attempt: str
    not_run: bool
    load: ServerLoad | None
    keep_s: float | None
    headers: http.Headers


class EngineRun(msgspec.Struct, frozen=True):
    """A run at an engine, as its report tells.

    Attributes:
        attempt: Id of the request.
        tokens: Tokens in memory.
        events: Events made so far.
    """

    attempt: str
    tokens: int
    events: int


class EngineReport(msgspec.Struct):
    """State of a model engine some hundred milliseconds ago.

    Attributes:
        used_tokens: Memory that cannot be given up.
        memory_tokens: All of its memory.
        leaves_s: Seconds until it ends, None where that is not known.
    """

    running: int
    waiting: int
    used_tokens: int
    memory_tokens: int
    leaves_s: float | None
    runs: list[EngineRun]


class EngineCall(msgspec.Struct, frozen=True):
    """A call to an engine's own interface."""

    method: str
    target: str
    body: bytes = b""


class CopyResult(msgspec.Struct, frozen=True):
    """What became of a copy.

    Attributes:
        done: True when the copy is complete at its destination.
        handle: Names the copy, empty where there is none.
        finished: True when no such run exists any more.
    """

    done: bool
    handle: str
    finished: bool


class Dialect(typing.Protocol):
    """Translates between the wire and the gateway's types."""

    def attempt_of(self, request: http.Request) -> str:
        """Return the id of a caller's attempt, empty where it has none."""

    def decode_request(self, request: http.Request) -> CallerRequest:
        """Read a caller's request.

        Raises:
            HttpError: It lacks what is needed, or a value is malformed.
        """

    def encode_headers(self, request: CallerRequest, sending: Sending) -> http.Headers:
        """Return the headers for a server."""

    def decode_answer(self, head: httpclient.ResponseHead) -> Answer:
        """Read the head of a server's answer."""

    def refusal_headers(self, retry_after_s: float | None) -> http.Headers:
        """Return the headers of a refusal."""

    def report_call(self) -> EngineCall:
        """Return the call that asks an engine for its state."""

    def decode_report(self, status: int, body: bytes) -> EngineReport | None:
        """Read an engine's state; None where it cannot be read."""

    def copy_call(self, attempt: str, destination: str, stop: bool) -> EngineCall:
        """Return the call that copies a run to another engine.

        Args:
            attempt: Id of the run's request.
            destination: Address of the other engine.
            stop: True to stop the run first.
        """

    def decode_copy(self, status: int, body: bytes) -> CopyResult:
        """Read what became of a copy."""

    def drop_copy_call(self, handle: str) -> EngineCall:
        """Return the call that frees a copy."""
