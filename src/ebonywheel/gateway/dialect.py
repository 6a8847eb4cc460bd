"""Interface between the gateway and the wire protocol of callers and backend servers."""

import typing

import msgspec

from ebonywheel import http, httpclient

# Expected length of an answer without an estimate, as a share of the longest one allowed.
DEFAULT_ANSWER_SHARE = 0.5
# Generations with a shorter answer than this finish within a server's shutdown notice.
LONG_RUNNING_TOKENS = 64


class Prompt(msgspec.Struct, frozen=True):
    """The prompt of a generation, as its request states it.

    Attributes:
        tokens: Length of the prompt.
        max_tokens: Longest answer that the caller accepts, 0 when not stated.
        estimated_tokens: The caller's estimate of the answer's length, 0 when not stated.
        shared_parts: Ids of the parts that other prompts may have too, in order: all but the last.
    """

    tokens: int = 0
    max_tokens: int = 0
    estimated_tokens: int = 0
    shared_parts: tuple[str, ...] = ()

    def is_long_running(self) -> bool:
        """Return whether the generation is expected to outlast a server's shutdown notice."""
        return self.expected_answer_tokens() >= LONG_RUNNING_TOKENS

    def expected_answer_tokens(self) -> int:
        """Return the expected length of the answer, in tokens."""
        answer = self.estimated_tokens or int(self.max_tokens * DEFAULT_ANSWER_SHARE)
        return min(answer, self.max_tokens) if self.max_tokens else answer

    def expected_memory_tokens(self) -> int:
        """Return the memory that the generation is expected to need at its end, in tokens."""
        return self.tokens + self.expected_answer_tokens()


class CallerRequest(msgspec.Struct):
    """A decoded request of a caller.

    Attributes:
        attempt: Unique id of this attempt of the caller.
        host: Value of the Host header.
        target: Path and query as sent.
        path: Path without the query.
        key: The caller's API key, empty when it sent none.
        caller_timeout_s: How long the caller will wait, None when not stated.
        headers: Headers to forward.
        prompt: Sizes of the generation, None for other requests.
    """

    attempt: str
    method: str
    host: str
    target: str
    path: str
    key: str
    caller_timeout_s: float | None
    headers: http.Headers
    body: bytes
    prompt: Prompt | None = None


class Resume(msgspec.Struct, frozen=True):
    """Point from which another server continues a run.

    Attributes:
        source: Address of the server that made the copy.
        handle: Id of the copy, as that server assigned it.
        last_event: Id of the last event that the caller received, empty when there was none.
    """

    source: str
    handle: str
    last_event: str


class Sending(msgspec.Struct, frozen=True):
    """What the gateway adds to a request for a server.

    Attributes:
        server: Id of the intended server.
        customer: Name of the customer, empty when there is none.
        remaining_s: Seconds left until the caller's deadline.
        urgency: Priority at the server; 0 is served first, None for no preference.
        resume: Where to continue a run, None for a new one.
    """

    server: str
    customer: str
    remaining_s: float
    urgency: int | None = None
    resume: Resume | None = None


class ServerLoad(msgspec.Struct, frozen=True):
    """Load of a server, as stated in an answer: running and waiting requests, and its slots.

    Attributes:
        stretch: How long work takes at this moment, 1.0 for the usual time; None when not stated.
    """

    running: int
    waiting: int
    slots: int
    stretch: float | None = None


class AnswerHead(msgspec.Struct):
    """Decoded head of a server's answer.

    Attributes:
        attempt: Id of the request that it answers, empty when not stated.
        not_run: True when the server guarantees that the request did not and will not run.
        load: Load of the server, None when not stated.
        keep_alive_s: How long the server keeps the idle connection open, None when not stated.
        headers: Headers to forward.
        limit_per_s: Requests per second that the server takes from all hosts together, None when it
            states no limit.
        leaving: True when the server is about to leave and wants no new requests.
        pause_s: How long the server, which has no room, wants no requests from this host; None when
            not stated.
        rejections_per_s: The server fails if it has to reject more requests a second than this for
            want of room; None when not stated.
        length: Stated length of the body, None when not stated.
    """

    status: int
    attempt: str
    not_run: bool
    load: ServerLoad | None
    keep_alive_s: float | None
    headers: http.Headers
    limit_per_s: float | None = None
    leaving: bool = False
    pause_s: float | None = None
    rejections_per_s: float | None = None
    length: str | None = None


class EngineRun(msgspec.Struct, frozen=True):
    """A run at an engine, as listed in the engine's report.

    Attributes:
        attempt: Id of the request.
        tokens: Tokens that it holds in memory.
        events: Events produced so far.
    """

    attempt: str
    tokens: int
    events: int


class EngineReport(msgspec.Struct):
    """Reported state of a model engine; a report lags by some hundred milliseconds.

    Attributes:
        used_tokens: Memory in use that cannot be reclaimed, in tokens.
        memory_tokens: Size of its memory, in tokens.
        shutdown_in_s: Seconds until it shuts down, None when not known.
    """

    running: int
    waiting: int
    used_tokens: int
    memory_tokens: int
    shutdown_in_s: float | None
    runs: list[EngineRun]


class EngineCall(msgspec.Struct, frozen=True):
    """A request to an engine's management interface."""

    method: str
    target: str
    body: bytes = b""


class CopyResult(msgspec.Struct, frozen=True):
    """Result of copying a run.

    Attributes:
        complete: True when the copy is complete at its destination.
        handle: Id of the copy, empty when there is none.
        run_not_found: True when the source has no such run.
    """

    complete: bool
    handle: str
    run_not_found: bool

    def ends_run(self) -> bool:
        """Return whether a call that was to stop the run did, or found it ended.

        A run that was stopped, but for whose copy there was no room, has a handle at its source.
        """
        return self.complete or self.run_not_found or bool(self.handle)


class Dialect(typing.Protocol):
    """Translates between the wire protocol and the gateway's types."""

    def attempt_id(self, request: http.Request) -> str:
        """Return the id of a caller's attempt, empty when there is none."""

    def decode_request(self, request: http.Request) -> CallerRequest:
        """Decode a caller's request.

        Raises:
            HttpError: A required value is missing or a value is malformed.
        """

    def encode_headers(self, request: CallerRequest, sending: Sending) -> http.Headers:
        """Return the headers of a request to a server."""

    def decode_answer(self, head: httpclient.ResponseHead) -> AnswerHead:
        """Decode the head of a server's answer."""

    def refusal_headers(self, retry_after_s: float | None) -> http.Headers:
        """Return the headers of a refusal."""

    def report_call(self) -> EngineCall:
        """Return the call that fetches an engine's report."""

    def decode_report(self, status: int, body: bytes) -> EngineReport | None:
        """Decode an engine's report; return None when it cannot be decoded."""

    def copy_call(self, attempt: str, destination: str, stop: bool) -> EngineCall:
        """Return the call that copies a run to another engine.

        Args:
            attempt: Id of the run's request.
            destination: Address of the other engine.
            stop: True to stop the run before copying it.
        """

    def decode_copy(self, status: int, body: bytes) -> CopyResult:
        """Decode the answer to a copy call."""

    def drop_copy_call(self, handle: str) -> EngineCall:
        """Return the call that deletes a copy."""
