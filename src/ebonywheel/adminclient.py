"""Client side of the operators' interface: tries control hosts until one answers."""

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
RETRY_S = 0.2
MAX_ANSWER_BYTES = 16 * 1024 * 1024
RUN_NOT_RUN = "not run"


class AdminClient:
    """Sends operators' commands and reads state, resending where that is safe."""

    def __init__(self, loaded: settings.OperatorSettings):
        self.settings = loaded
        token = settings.read_secret(loaded.token_file).decode()
        self.headers = [
            ("authorization", f"Operator {loaded.operator}:{token}"),
            ("content-type", http.JSON),
        ]

    async def operate(self, command: commands.Command) -> commands.AnyOutcome:
        """Send a command until it has an outcome.

        Raises:
            NotRunError: It was certainly not taken.
            UnknownOutcomeError: It may have taken effect; a resend with the same operation id
                settles it.
        """
        body = msgspec.json.encode(command)
        answer = await self._until_answered("POST", "/v1/operations", body)
        try:
            return msgspec.json.decode(answer, type=commands.AnyOutcome)
        except msgspec.MsgspecError as error:
            raise exceptions.HttpError(str(error), "decode outcome") from error

    async def read(self, query: str, **argument: str) -> typing.Any:
        """Return the answer to a query.

        Raises:
            NotRunError: No control host could answer.
            HttpError: The query is wrong.
        """
        target = f"/v1/state/{query}?{urllib.parse.urlencode(argument)}"
        try:
            return msgspec.json.decode(await self._until_answered("GET", target, b""))
        except exceptions.UnknownOutcomeError as error:
            raise exceptions.NotRunError(error.text, f"read {query}", error.peer) from error

    async def identity(self, address: str) -> typing.Any:
        """Return the identity of one control host."""
        status, body = await self._ask(address, "GET", "/v1/identity", b"")
        if status != 200:
            raise exceptions.HttpError(f"answered {status}", "read identity", address)
        return msgspec.json.decode(body)

    async def _until_answered(self, method: str, target: str, body: bytes) -> bytes:
        deadline = time.monotonic() + self.settings.timeout_s
        sent = False
        attempt = 0
        while True:
            address = self.settings.control[attempt % len(self.settings.control)]
            attempt += 1
            try:
                return await self._answer(address, method, target, body)
            except exceptions.UpstreamError as error:
                sent = sent or error.sent
                last = error
            if time.monotonic() + RETRY_S >= deadline:
                break
            await curio.sleep(RETRY_S)
        if sent:
            raise exceptions.UnknownOutcomeError(last.text, last.step, last.peer)
        raise exceptions.NotRunError(last.text, last.step, last.peer)

    async def _answer(self, address: str, method: str, target: str, body: bytes) -> bytes:
        status, content = await self._ask(address, method, target, body)
        if status < 500 and status not in (400, 401, 404):
            return content
        try:
            problem = msgspec.json.decode(content, type=http.ErrorBody)
        except msgspec.MsgspecError as error:
            raise exceptions.UpstreamError(f"answered {status}", "wait", address, True) from error
        if status < 500:
            raise exceptions.HttpError(problem.text, problem.step, problem.peer or address, status)
        raise exceptions.UpstreamError(
            problem.text, problem.step, problem.peer or address, problem.run != RUN_NOT_RUN
        )

    async def _ask(self, address: str, method: str, target: str, body: bytes) -> tuple[int, bytes]:
        connection = httpclient.ClientConnection(address)
        try:
            await connection.connect(CONNECT_TIMEOUT_S)
            await connection.request(method, target, self.headers, body, self.settings.timeout_s)
            head = await connection.response(self.settings.timeout_s)
            return head.status, await connection.body(self.settings.timeout_s, MAX_ANSWER_BYTES)
        finally:
            await connection.close()


def parse_document(path: str) -> documents.Document:
    """Read and check a document file.

    Raises:
        DocumentError: It is unreadable or wrong.
    """
    return documentcheck.parse(read_text(path), path)


def read_text(path: str) -> str:
    """Read a document file.

    Raises:
        DocumentError: It is unreadable.
    """
    try:
        with open(path, encoding="utf-8") as file:
            return file.read()
    except (OSError, UnicodeDecodeError) as error:
        raise exceptions.DocumentError(str(error), "read document", path) from error


def outcome_exit_code(outcome: commands.AnyOutcome) -> int:
    """Return the exit code for an outcome."""
    match outcome:
        case commands.Conflict():
            return program.EXIT_CONFLICT
        case commands.Refused():
            return program.EXIT_BAD_INPUT
    return program.EXIT_OK
