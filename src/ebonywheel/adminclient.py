"""Client of the operators' HTTP interface; tries control hosts in turn until one answers."""

import time
import typing
import urllib.parse

import curio
import msgspec

from ebonywheel import (
    commands,
    documentcheck,
    documents,
    exceptions,
    http,
    httpclient,
    program,
    settings,
)

CONNECT_TIMEOUT_S = 1.0
RETRY_DELAY_S = 0.2
MAX_ANSWER_BYTES = 16 * 1024 * 1024
# Control hosts take no larger request.
MAX_DOCUMENT_CHARS = 4 * 1024 * 1024
NOT_RUN = "not run"


class AdminClient:
    """Sends operators' commands and reads state, with retries until the settings' timeout.

    Retries are safe: a command keeps its operation id, and so takes effect at most once.

    Attributes:
        settings: Control hosts, timeout and the operator's name.
        headers: Header fields of every request.
    """

    def __init__(self, operator_settings: settings.OperatorSettings):
        self.settings = operator_settings
        token = settings.read_secret(operator_settings.token_file).decode()
        self.headers = [
            ("authorization", f"Operator {operator_settings.operator}:{token}"),
            ("content-type", http.JSON),
        ]

    async def submit(self, command: commands.Command) -> commands.AnyOutcome:
        """Send a command until it has an outcome.

        Raises:
            NotRunError: No control host executed it.
            UnknownOutcomeError: It may have taken effect; sending it again with the same
                operation id tells whether it has.
            HttpError: It was rejected as invalid, or its outcome could not be decoded.
        """
        body = msgspec.json.encode(command)
        content = await self._request_with_retries("POST", "/v1/operations", body)
        try:
            return msgspec.json.decode(content, type=commands.AnyOutcome)
        except msgspec.MsgspecError as error:
            raise exceptions.HttpError(str(error), "decode outcome") from error

    async def read(self, query: str, **arguments: str) -> typing.Any:
        """Return the decoded result of a query.

        Raises:
            NotRunError: No control host answered in time.
            HttpError: The query is invalid.
        """
        target = f"/v1/state/{query}?{urllib.parse.urlencode(arguments)}"
        try:
            return msgspec.json.decode(await self._request_with_retries("GET", target, b""))
        except exceptions.UnknownOutcomeError as error:
            raise exceptions.NotRunError(error.text, f"read {query}", error.peer) from error

    async def identity(self, address: str) -> typing.Any:
        """Return the identity of the control host at an HTTP address.

        Raises:
            HttpError: It answered with another status than 200.
            UpstreamError: It could not be reached or sent no whole answer.
        """
        status, body = await self._request(address, "GET", "/v1/identity", b"")
        if status != 200:
            raise exceptions.HttpError(f"answered {status}", "read identity", address)
        return msgspec.json.decode(body)

    async def _request_with_retries(self, method: str, target: str, body: bytes) -> bytes:
        deadline = time.monotonic() + self.settings.timeout_s
        maybe_run = False
        attempt = 0
        while True:
            address = self.settings.control[attempt % len(self.settings.control)]
            attempt += 1
            try:
                return await self._request_checked(address, method, target, body)
            except exceptions.UpstreamError as error:
                maybe_run = maybe_run or error.sent
                last_error = error
            if time.monotonic() + RETRY_DELAY_S >= deadline:
                break
            await curio.sleep(RETRY_DELAY_S)
        if maybe_run:
            raise exceptions.UnknownOutcomeError(last_error.text, last_error.step, last_error.peer)
        raise exceptions.NotRunError(last_error.text, last_error.step, last_error.peer)

    async def _request_checked(self, address: str, method: str, target: str, body: bytes) -> bytes:
        status, content = await self._request(address, method, target, body)
        if status < 500 and status not in (400, 401, 404):
            return content
        try:
            error_body = msgspec.json.decode(content, type=http.ErrorBody)
        except msgspec.MsgspecError as error:
            raise exceptions.UpstreamError(f"answered {status}", "wait", address, True) from error
        if status < 500:
            raise exceptions.HttpError(
                error_body.text, error_body.step, error_body.peer or address, status
            )
        raise exceptions.UpstreamError(
            error_body.text, error_body.step, error_body.peer or address, error_body.run != NOT_RUN
        )

    async def _request(
        self, address: str, method: str, target: str, body: bytes
    ) -> tuple[int, bytes]:
        connection = httpclient.ClientConnection(address)
        try:
            await connection.connect(CONNECT_TIMEOUT_S)
            await connection.request(method, target, self.headers, body, self.settings.timeout_s)
            head = await connection.response(self.settings.timeout_s)
            return head.status, await connection.body(self.settings.timeout_s, MAX_ANSWER_BYTES)
        finally:
            await connection.close()


def parse_document(path: str) -> documents.Document:
    """Return the checked document of a file.

    Raises:
        DocumentError: The file cannot be read or is invalid.
    """
    return documentcheck.parse(read_text(path), path)


def read_text(path: str) -> str:
    """Return the text of a document file.

    Raises:
        DocumentError: The file cannot be read.
    """
    try:
        with open(path, encoding="utf-8") as file:
            text = file.read(MAX_DOCUMENT_CHARS + 1)
    except (OSError, UnicodeDecodeError) as error:
        raise exceptions.DocumentError(str(error), "read document", path) from error
    if len(text) > MAX_DOCUMENT_CHARS:
        raise exceptions.DocumentError(
            f"over {MAX_DOCUMENT_CHARS} characters", "read document", path
        )
    return text


def outcome_exit_code(outcome: commands.AnyOutcome) -> int:
    """Return the exit code for an outcome."""
    match outcome:
        case commands.Conflict():
            return program.EXIT_CONFLICT
        case commands.Refused():
            return program.EXIT_BAD_INPUT
    return program.EXIT_OK
