"""Load driver: streams generations through entry hosts and prints what the readers saw."""

import argparse
import random

import curio
import msgspec
from hdrh import histogram

from ebonywheel import exceptions, http, program, sse

HIGHEST_US = 600_000_000
CONNECT_TIMEOUT_S = 5.0
READ_TIMEOUT_S = 60.0


class Figures(msgspec.Struct):
    """What a run measured; times in milliseconds.

    Attributes:
        finished: Generations that ended properly.
        refused: Requests refused as not run.
        failed: Generations that broke off.
        out_of_order: Tokens that were missing, doubled or out of order.
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


class Driver:
    """One run of load."""

    def __init__(self, parsed: argparse.Namespace):
        self.parsed = parsed
        self.random = random.Random(parsed.seed)
        self.gaps = histogram.HdrHistogram(1, HIGHEST_US, 3)
        self.firsts = histogram.HdrHistogram(1, HIGHEST_US, 3)
        self.finished = 0
        self.refused = 0
        self.failed = 0
        self.out_of_order = 0
        self.tokens = 0

    async def run(self) -> Figures:
        """Run the load and return the figures."""
        started = await curio.clock()
        async with curio.TaskGroup() as group:
            for number in range(self.parsed.streams):
                await group.spawn(self._reader, number)
        seconds = await curio.clock() - started
        return self._figures(seconds)

    async def _reader(self, number: int) -> None:
        for _ in range(self.parsed.rounds):
            address = self.parsed.entries[number % len(self.parsed.entries)]
            try:
                await self._read_one(address)
            except exceptions.UpstreamError:
                self.failed += 1

    async def _read_one(self, address: str) -> None:
        connection = http.ClientConnection(address)
        headers = [("authorization", f"Bearer {self.parsed.key}")]
        body = msgspec.json.encode(
            {"prompt": "plan " * self.parsed.prompt_words, "length": self._length()}
        )
        asked = await curio.clock()
        try:
            await connection.connect(CONNECT_TIMEOUT_S)
            target = f"/v1/services/{self.parsed.service}"
            await connection.request("POST", target, headers, body, CONNECT_TIMEOUT_S)
            head = await connection.response(READ_TIMEOUT_S)
            if head.status != 200:
                self.refused += 1
                return
            await self._read_tokens(connection, asked)
        finally:
            await connection.close()

    async def _read_tokens(self, connection: http.ClientConnection, asked: float) -> None:
        decoder = sse.Decoder()
        last, expected, ended = asked, 0, False
        async for chunk in connection.chunks(READ_TIMEOUT_S):
            now = await curio.clock()
            for event in decoder.feed(chunk):
                if event.name == "end":
                    ended = True
                elif event.event_id:
                    held = self.gaps if expected else self.firsts
                    held.record_value(max(1, int((now - last) * 1e6)))
                    last = now
                    index = int(event.event_id.rpartition(":")[2])
                    self.out_of_order += index != expected
                    expected += 1
                    self.tokens += 1
        if ended:
            self.finished += 1
        else:
            self.failed += 1

    def _length(self) -> int:
        return self.random.randint(self.parsed.least_tokens, self.parsed.most_tokens)

    def _figures(self, seconds: float) -> Figures:
        def value(held: histogram.HdrHistogram, percentile: float) -> float:
            return held.get_value_at_percentile(percentile) / 1000

        return Figures(
            self.finished,
            self.refused,
            self.failed,
            self.out_of_order,
            self.tokens,
            round(seconds, 2),
            round(self.tokens / seconds, 1),
            value(self.firsts, 50),
            value(self.firsts, 95),
            value(self.firsts, 99),
            value(self.gaps, 50),
            value(self.gaps, 99),
            value(self.gaps, 99.9),
        )


def add_arguments(parser: argparse.ArgumentParser) -> None:
    """Add the driver's options."""
    parser.add_argument("--entries", nargs="+", required=True, help="entry hosts' ip:port")
    parser.add_argument("--key", required=True, help="customer key")
    parser.add_argument("--service", default="plan")
    parser.add_argument("--streams", type=int, default=8, help="readers at the same time")
    parser.add_argument("--rounds", type=int, default=1, help="generations of each reader")
    parser.add_argument("--least-tokens", type=int, default=16)
    parser.add_argument("--most-tokens", type=int, default=64)
    parser.add_argument("--prompt-words", type=int, default=20)
    parser.add_argument("--seed", type=int, default=1)


def main(parsed: argparse.Namespace) -> int:
    """Run the load, print the figures as JSON and return the exit code."""
    figures = curio.run(Driver(parsed).run)
    print(msgspec.json.format(msgspec.json.encode(figures)).decode())
    broken = figures.failed or figures.out_of_order
    return program.EXIT_FAULT if broken else program.EXIT_OK
