"""Load driver: streams generations through entry hosts and prints what the readers saw.

With ``--rate`` requests come at random times at that rate, however long the answers take;
without it a fixed number of readers each read one generation after the other.
"""

import argparse
import random

import curio
import msgspec
from hdrh import histogram

from ebonywheel import exceptions, figures, httpclient, program, sse, workload

HIGHEST_US = 600_000_000
CONNECT_TIMEOUT_S = 5.0
READ_TIMEOUT_S = 60.0
MOST_RESUMES = 20
RESUME_PAUSE_S = 0.2
STATUS_OK = 200
STATUS_NOT_RUN = 503


class Figures(msgspec.Struct):
    """What a run measured; times in milliseconds but for those in seconds.

    Attributes:
        finished: Generations that ended properly.
        refused: Requests refused as not run.
        failed: Generations that broke off.
        out_of_order: Tokens that were missing, doubled or out of order.
        resumes: Broken streams that were taken up again.
        stall_s: Sum of what gaps between tokens were too long.
        first_token_p95_by_key: Time to the first token for each customer key, in the order given.
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


class Ask(msgspec.Struct):
    """One request.

    Attributes:
        customer: Number of the customer's key.
        entry: Number of the entry host to begin with.
    """

    customer: int
    entry: int
    prompt: str
    length: int


class Reading(msgspec.Struct):
    """What a reader has of one generation.

    Attributes:
        last_at: When the last token came, or the request was sent.
        expected: Index of the next token.
        final: Name of the final event, once it came.
    """

    ask: Ask
    last_at: float
    generation: str = ""
    expected: int = 0
    final: str = ""


class Driver:
    """One run of load."""

    def __init__(self, parsed: argparse.Namespace):
        self.parsed = parsed
        self.random = random.Random(parsed.seed)
        self.gaps = _histogram()
        self.firsts = _histogram()
        self.firsts_by_key = [_histogram() for _ in parsed.key]
        self.finished = 0
        self.refused = 0
        self.failed = 0
        self.out_of_order = 0
        self.resumes = 0
        self.stall_s = 0.0
        self.tokens = 0
        self.shape = workload.ServiceShape(
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
                await self._arrivals(group)
            else:
                for number in range(self.parsed.streams):
                    await group.spawn(self._reader, number)
        seconds = await curio.clock() - started
        return self._figures(seconds)

    async def _arrivals(self, group: curio.TaskGroup) -> None:
        at = started = await curio.clock()
        number = 0
        while True:
            at += self.random.expovariate(self.parsed.rate)
            if at >= started + self.parsed.seconds:
                return
            await curio.sleep(max(0.0, at - await curio.clock()))
            await group.spawn(self._read_one, self._ask(number))
            number += 1

    async def _reader(self, number: int) -> None:
        for _ in range(self.parsed.rounds):
            await self._read_one(self._ask(number))

    def _ask(self, number: int) -> Ask:
        keys = range(len(self.parsed.key))
        customer = self.random.choices(keys, self.parsed.weights or [1.0] * len(keys))[0]
        prompt = f"template {customer} " + "plan " * self.parsed.prompt_words
        return Ask(customer, number, prompt, self._length())

    def _length(self) -> int:
        if self.parsed.heavy_tailed:
            return workload.draw_length(self.shape, 1.0, self.random)
        return self.random.randint(self.parsed.least_tokens, self.parsed.most_tokens)

    async def _read_one(self, ask: Ask) -> None:
        reading = Reading(ask, await curio.clock())
        for attempt in range(MOST_RESUMES):
            entries = self.parsed.entries
            address = entries[(ask.entry + attempt) % len(entries)]
            try:
                if await self._attempt(address, reading):
                    return
            except exceptions.UpstreamError as error:
                if not reading.generation and error.step != "connect":
                    break
            self.resumes += bool(reading.generation)
            await curio.sleep(RESUME_PAUSE_S)
        self.failed += 1

    async def _attempt(self, address: str, reading: Reading) -> bool:
        """Send the request, or take its stream up again; return whether that was the end of it."""
        connection = httpclient.ClientConnection(address)
        try:
            await connection.connect(CONNECT_TIMEOUT_S)
            await self._send(connection, reading)
            head = await connection.response(READ_TIMEOUT_S)
            if head.status == STATUS_OK:
                reading.generation = head.headers.get("x-generation", reading.generation)
                await self._read_tokens(connection, reading)
            elif reading.generation and head.status == STATUS_NOT_RUN:
                return False
            elif head.status == STATUS_NOT_RUN:
                self.refused += 1
                return True
            else:
                reading.final = "error"
        finally:
            await connection.close()
        if not reading.final:
            return False
        self.finished += reading.final == "end"
        self.failed += reading.final != "end"
        return True

    async def _send(self, connection: httpclient.ClientConnection, reading: Reading) -> None:
        headers = [("authorization", f"Bearer {self.parsed.key[reading.ask.customer]}")]
        if reading.generation:
            last = f"{reading.generation}:{reading.expected - 1}"
            headers.append(("last-event-id", last))
            target = f"/v1/generations/{reading.generation}"
            await connection.request("GET", target, headers, b"", CONNECT_TIMEOUT_S)
            return
        body = msgspec.json.encode({"prompt": reading.ask.prompt, "length": reading.ask.length})
        target = f"/v1/services/{self.parsed.service}"
        await connection.request("POST", target, headers, body, CONNECT_TIMEOUT_S)

    async def _read_tokens(self, connection: httpclient.ClientConnection, reading: Reading) -> None:
        decoder = sse.Decoder()
        async for chunk in connection.chunks(READ_TIMEOUT_S):
            now = await curio.clock()
            for event in decoder.feed(chunk):
                if event.name in ("end", "error"):
                    reading.final = event.name
                elif event.event_id:
                    self._take(reading, int(event.event_id.rpartition(":")[2]), now)

    def _take(self, reading: Reading, index: int, now: float) -> None:
        passed = now - reading.last_at
        if reading.expected:
            self.gaps.record_value(_us(passed))
            self.stall_s += max(0.0, passed - figures.STALL_S)
        else:
            self.firsts.record_value(_us(passed))
            self.firsts_by_key[reading.ask.customer].record_value(_us(passed))
        reading.last_at = now
        self.out_of_order += index != reading.expected
        reading.expected = index + 1
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
            _ms(self.firsts, 50),
            _ms(self.firsts, 95),
            _ms(self.firsts, 99),
            _ms(self.gaps, 50),
            _ms(self.gaps, 99),
            _ms(self.gaps, 99.9),
            self.resumes,
            round(self.stall_s, 3),
            [_ms(held, 95) for held in self.firsts_by_key],
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
    found = curio.run(Driver(parsed).run)
    print(msgspec.json.format(msgspec.json.encode(found)).decode())
    broken = found.failed or found.out_of_order
    return program.EXIT_FAULT if broken else program.EXIT_OK


def _histogram() -> histogram.HdrHistogram:
    return histogram.HdrHistogram(1, HIGHEST_US, 3)


def _us(seconds: float) -> int:
    return max(1, int(seconds * 1e6))


def _ms(held: histogram.HdrHistogram, percentile: float) -> float:
    return held.get_value_at_percentile(percentile) / 1000
