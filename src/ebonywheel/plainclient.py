"""HTTP client of the plain services: each call has its own connection."""

import msgspec

from ebonywheel import deadlines, documents, exceptions, http, httpclient, messages

CONNECT_TIMEOUT_S = 1.0
WRITE_TIMEOUT_S = 5.0
MAX_ANSWER_BYTES = 1024 * 1024
INCARNATION_HEADER = "x-incarnation"
STATUS_OTHER_INCARNATION = 409
DEFAULT_CONTENT_TYPE = "application/octet-stream"


class Answer(msgspec.Struct):
    """A plain service's complete response."""

    status: int
    content_type: str
    body: bytes


class PlainClient:
    """A connection to a plain service for one call.

    Attributes:
        refused: True once the service refused the call as meant for another incarnation.
    """

    def __init__(self, state: messages.ServerState):
        self.state = state
        self.connection = httpclient.ClientConnection(state.address)
        self.refused = False

    @property
    def sent(self) -> bool:
        """Whether the call may have run: bytes were sent and the service did not refuse it."""
        return self.connection.sent and not self.refused

    async def connect(self, deadline: deadlines.Deadline) -> None:
        """Open the connection.

        Raises:
            UpstreamError: The service cannot be reached.
        """
        await self.connection.connect(min(CONNECT_TIMEOUT_S, deadline.left()))

    async def exchange(
        self, call: documents.Call, request: http.Request, deadline: deadlines.Deadline
    ) -> Answer:
        """Send the call and read the complete response, whatever its status.

        Raises:
            UpstreamError: There is no complete response; `sent` tells whether the call may have
                run.
        """
        target = f"{call.path}?{request.raw_query}" if request.raw_query else call.path
        await self.connection.request(
            call.method,
            target,
            self._headers(request, deadline),
            request.body,
            min(WRITE_TIMEOUT_S, deadline.left()),
        )
        head = await self.connection.response(deadline.left())
        self._check_incarnation(head)
        body = await self.connection.body(deadline.left(), MAX_ANSWER_BYTES)
        return Answer(head.status, _content_type(head.headers, DEFAULT_CONTENT_TYPE), body)

    async def close(self) -> None:
        """Close the connection."""
        await self.connection.close()

    def _headers(self, request: http.Request, deadline: deadlines.Deadline) -> http.Headers:
        left_ms = max(1, int(deadline.left() * deadlines.MS_PER_S))
        return [
            (INCARNATION_HEADER, str(self.state.incarnation)),
            (deadlines.TIMEOUT_HEADER, str(left_ms)),
            ("content-type", _content_type(request.headers, http.JSON)),
        ]

    def _check_incarnation(self, head: httpclient.ResponseHead) -> None:
        # A 409 that names another incarnation means that the call did not run. Any other 409 is
        # the service's own response.
        actual = head.headers.get(INCARNATION_HEADER, "")
        if head.status == STATUS_OTHER_INCARNATION and actual.isdecimal():
            if int(actual) != self.state.incarnation:
                self.refused = True
                raise exceptions.UpstreamError(
                    "another incarnation responded", "wait", self.state.server
                )


def _content_type(headers: dict[str, str], default: str) -> str:
    value = headers.get("content-type", default)
    return default if http.CONTROL_BYTE.search(value) else value
