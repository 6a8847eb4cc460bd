"""Load driver: streams generations through entry hosts and prints performance figures.

With ``--rate`` the load is an open loop: requests are sent at random times at that rate, however
long the answers take. Without it, a fixed number of readers each read one generation after another.
"""

import argparse
import random

import curio
import msgspec
from hdrh import histogram

from ebonywheel import exceptions, figures, httpclient, program, sse, workload

MAX_TRACKABLE_US = 600_000_000
CONNECT_TIMEOUT_S = 5.0
READ_TIMEOUT_S = 60.0
MAX_ATTEMPTS = 20
RETRY_DELAY_S = 0.2
STATUS_OK = 200
STATUS_NOT_RUN = 503


class Figures(msgspec.Struct):
    """The figures of a run.

    Attributes:
        finished: Generations that ended normally.
        refused: Requests refused as "not run".
        failed: Requests that ended in an error or were given up.
        out_of_order: Tokens whose index was not the next one: after a lost token, repeated or out
            of order.
        seconds: Duration of the run.
        first_token_p50: Median time to the first token in ms; `_p95` and `_p99` are percentiles.
        gap_p50: Median time between two tokens in ms; `_p99` and `_p999` are percentiles.
        resumes: Attempts to resume a broken stream.
        stall_s: Sum of the parts of the gaps between tokens beyond `figures.STALL_THRESHOLD_S`.
        first_token_p95_by_key: 95th percentile of the time to the first token, in ms, by customer
            key, in the order of the option ``--key``.
    """

    finished: int
    refused: int
    failed: int
    out_of_order: int
    tokens: int
    seconds: float
    tokens_per_s: float
    first_token_p50: float
    first_token_p95: float
    first_token_p99: float
    gap_p50: float
    gap_p99: float
    gap_p999: float
    resumes: int = 0
    stall_s: float = 0.0
    first_token_p95_by_key: list[float] = []


class GenerationRequest(msgspec.Struct):
    """One request.

    Attributes:
        key_number: Index of the customer's key in the option ``--key``.
        first_entry: Index of the entry host to try first, modulo their number.
        length: Number of tokens to generate.
    """

    key_number: int
    first_entry: int
    prompt: str
    length: int


class StreamState(msgspec.Struct):
    """What a reader has received of one generation.

    Attributes:
        last_token_at: When the last token arrived; before the first one, when the request began.
        generation: ID of the generation; empty until an entry host accepted the request.
        next_index: Index of the next token.
        final_event: Name of the final event; empty until it arrived.
    """

    request: GenerationRequest
    last_token_at: float
    generation: str = ""
    next_index: int = 0
    final_event: str = ""


class Driver:
    """One run of the load driver."""

    def __init__(self, parsed: argparse.Namespace):
        self.parsed = parsed
        self.random = random.Random(parsed.seed)
        self.token_gaps = _new_histogram()
        self.first_token_waits = _new_histogram()
        self.first_token_waits_by_key = [_new_histogram() for _ in parsed.key]
        self.finished = 0
        self.refused = 0
        self.failed = 0
        self.out_of_order = 0
        self.resumes = 0
        self.stall_s = 0.0
        self.tokens = 0
        self.length_profile = workload.ServiceProfile(
            parsed.service,
            1.0,
            parsed.median_tokens,
            parsed.sigma,
            parsed.tail,
            parsed.tail_from,
            parsed.tail_alpha,
            parsed.most_tokens,
            (0, 0),
        )

    async def run(self) -> Figures:
        """Run the load and return the figures."""
        started = await curio.clock()
        async with curio.TaskGroup() as group:
            if self.parsed.rate:
                await self._run_open_loop(group)
            else:
                for number in range(self.parsed.streams):
                    await group.spawn(self._run_reader, number)
        seconds = await curio.clock() - started
        return self._figures(seconds)

    async def _run_open_loop(self, group: curio.TaskGroup) -> None:
        send_at = started = await curio.clock()
        number = 0
        while True:
            send_at += self.random.expovariate(self.parsed.rate)
            if send_at >= started + self.parsed.seconds:
                return
            await curio.sleep(max(0.0, send_at - await curio.clock()))
            await group.spawn(self._run_request, self._make_request(number))
            number += 1

    async def _run_reader(self, number: int) -> None:
        for _ in range(self.parsed.rounds):
            await self._run_request(self._make_request(number))

    def _make_request(self, first_entry: int) -> GenerationRequest:
        key_numbers = range(len(self.parsed.key))
        key_number = self.random.choices(
            key_numbers, self.parsed.weights or [1.0] * len(key_numbers)
        )[0]
        prompt = f"template {key_number} " + "plan " * self.parsed.prompt_words
        return GenerationRequest(key_number, first_entry, prompt, self._draw_length())

    def _draw_length(self) -> int:
        if self.parsed.heavy_tailed:
            return workload.draw_length(self.length_profile, 1.0, self.random)
        return self.random.randint(self.parsed.least_tokens, self.parsed.most_tokens)

    async def _run_request(self, request: GenerationRequest) -> None:
        stream = StreamState(request, await curio.clock())
        for attempt in range(MAX_ATTEMPTS):
            entries = self.parsed.entries
            address = entries[(request.first_entry + attempt) % len(entries)]
            try:
                if await self._attempt(address, stream):
                    return
            except exceptions.UpstreamError as error:
                if not stream.generation and error.step != "connect":
                    break
            self.resumes += bool(stream.generation)
            await curio.sleep(RETRY_DELAY_S)
        self.failed += 1

    async def _attempt(self, address: str, stream: StreamState) -> bool:
        """Send the request or resume its stream; return False if a further attempt is needed."""
        connection = httpclient.ClientConnection(address)
        try:
            await connection.connect(CONNECT_TIMEOUT_S)
            await self._send(connection, stream)
            head = await connection.response(READ_TIMEOUT_S)
            if head.status == STATUS_OK:
                stream.generation = head.headers.get("x-generation", stream.generation)
                await self._read_tokens(connection, stream)
            elif stream.generation and head.status == STATUS_NOT_RUN:
                return False
            elif head.status == STATUS_NOT_RUN:
                self.refused += 1
                return True
            else:
                stream.final_event = "error"
        finally:
            await connection.close()
        if not stream.final_event:
            return False
        self.finished += stream.final_event == "end"
        self.failed += stream.final_event != "end"
        return True

    async def _send(self, connection: httpclient.ClientConnection, stream: StreamState) -> None:
        headers = [("authorization", f"Bearer {self.parsed.key[stream.request.key_number]}")]
        if stream.generation:
            last_event_id = f"{stream.generation}:{stream.next_index - 1}"
            headers.append(("last-event-id", last_event_id))
            target = f"/v1/generations/{stream.generation}"
            await connection.request("GET", target, headers, b"", CONNECT_TIMEOUT_S)
            return
        body = msgspec.json.encode(
            {"prompt": stream.request.prompt, "length": stream.request.length}
        )
        target = f"/v1/services/{self.parsed.service}"
        await connection.request("POST", target, headers, body, CONNECT_TIMEOUT_S)

    async def _read_tokens(
        self, connection: httpclient.ClientConnection, stream: StreamState
    ) -> None:
        decoder = sse.Decoder()
        async for chunk in connection.chunks(READ_TIMEOUT_S):
            now = await curio.clock()
            for event in decoder.feed(chunk):
                if event.name in ("end", "error"):
                    stream.final_event = event.name
                elif event.event_id:
                    self._record_token(stream, int(event.event_id.rpartition(":")[2]), now)

    def _record_token(self, stream: StreamState, index: int, now: float) -> None:
        elapsed_s = now - stream.last_token_at
        if stream.next_index:
            self.token_gaps.record_value(_microseconds(elapsed_s))
            self.stall_s += max(0.0, elapsed_s - figures.STALL_THRESHOLD_S)
        else:
            self.first_token_waits.record_value(_microseconds(elapsed_s))
            self.first_token_waits_by_key[stream.request.key_number].record_value(
                _microseconds(elapsed_s)
            )
        stream.last_token_at = now
        self.out_of_order += index != stream.next_index
        stream.next_index = index + 1
        self.tokens += 1

    def _figures(self, seconds: float) -> Figures:
        return Figures(
            self.finished,
            self.refused,
            self.failed,
            self.out_of_order,
            self.tokens,
            round(seconds, 2),
            round(self.tokens / seconds, 1),
            _percentile_ms(self.first_token_waits, 50),
            _percentile_ms(self.first_token_waits, 95),
            _percentile_ms(self.first_token_waits, 99),
            _percentile_ms(self.token_gaps, 50),
            _percentile_ms(self.token_gaps, 99),
            _percentile_ms(self.token_gaps, 99.9),
            self.resumes,
            round(self.stall_s, 3),
            [_percentile_ms(recorded, 95) for recorded in self.first_token_waits_by_key],
        )


def add_arguments(parser: argparse.ArgumentParser) -> None:
    """Add the driver's options."""
    parser.add_argument("--entries", nargs="+", required=True, help="entry hosts' ip:port")
    parser.add_argument("--key", nargs="+", required=True, help="customers' keys")
    parser.add_argument("--weights", nargs="+", type=float, help="share of the requests by key")
    parser.add_argument("--service", default="plan")
    parser.add_argument("--rate", type=float, default=0.0, help="requests a second (open loop)")
    parser.add_argument("--seconds", type=float, default=30.0, help="length of an open loop")
    parser.add_argument("--streams", type=int, default=8, help="readers at the same time")
    parser.add_argument("--rounds", type=int, default=1, help="generations of each reader")
    parser.add_argument("--least-tokens", type=int, default=16)
    parser.add_argument("--most-tokens", type=int, default=64)
    parser.add_argument("--heavy-tailed", action="store_true", help="lognormal with Pareto tail")
    parser.add_argument("--median-tokens", type=float, default=100.0)
    parser.add_argument("--sigma", type=float, default=0.9, help="spread of the lognormal body")
    parser.add_argument("--tail", type=float, default=0.05, help="share of the Pareto tail")
    parser.add_argument("--tail-from", type=int, default=400, help="tokens where the tail starts")
    parser.add_argument("--tail-alpha", type=float, default=1.2)
    parser.add_argument("--prompt-words", type=int, default=20)
    parser.add_argument("--seed", type=int, default=1)


def main(parsed: argparse.Namespace) -> int:
    """Run the load, print the figures as JSON and return the exit code."""
    if parsed.weights and len(parsed.weights) != len(parsed.key):
        raise exceptions.SettingsError("one weight for each key", "check arguments", "--weights")
    result = curio.run(Driver(parsed).run)
    print(msgspec.json.format(msgspec.json.encode(result)).decode())
    has_faults = result.failed or result.out_of_order
    return program.EXIT_FAULT if has_faults else program.EXIT_OK


def _new_histogram() -> histogram.HdrHistogram:
    return histogram.HdrHistogram(1, MAX_TRACKABLE_US, 3)


def _microseconds(seconds: float) -> int:
    return max(1, int(seconds * 1e6))


def _percentile_ms(recorded: histogram.HdrHistogram, percentile: float) -> float:
    return recorded.get_value_at_percentile(percentile) / 1000
