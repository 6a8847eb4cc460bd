#!/usr/bin/env python3
"""Measure calls to a plain service with and without a durable intent and print JSON.

Starts three control hosts, three entry hosts and three plain services on loopback, with a one-way
delay on each link between the system's processes. Ends by itself within 60 s.
"""

import argparse
import json
import os
import pathlib
import sys
import tempfile
import threading
import time

import msgspec

ROOT = pathlib.Path(__file__).resolve().parent.parent
sys.path[:0] = [str(ROOT / "src"), str(ROOT / "tests")]
# The processes that are started must be of this tree too.
os.environ["PYTHONPATH"] = str(ROOT / "src")

import callload  # noqa: E402
import cluster  # noqa: E402
from ebonywheel import commands, idempotency, messages, registry, state  # noqa: E402

LEDGER_KEYS = 10_000
ANSWER_BYTES = 50


class Callers:
    """Threads that make one kind of call as fast as they are answered."""

    def __init__(self, hosts: list[cluster.Host], threads: int, once: bool):
        self.hosts = hosts
        self.once = once
        self.times: list[float] = []
        self.failed = 0
        self.until = 0.0
        self.threads = [threading.Thread(target=self._work, args=(n,)) for n in range(threads)]

    def run(self, seconds: float) -> dict:
        """Run for a time and return the figures."""
        self.until = time.monotonic() + seconds
        for thread in self.threads:
            thread.start()
        for thread in self.threads:
            thread.join()
        self.times.sort()
        return {
            "calls_per_s": round(len(self.times) / seconds, 1),
            "p50_ms": round(self._at(0.50) * 1e3, 1),
            "p99_ms": round(self._at(0.99) * 1e3, 1),
            "calls": len(self.times),
            "failed": self.failed,
        }

    def _at(self, part: float) -> float:
        return self.times[min(len(self.times) - 1, int(part * len(self.times)))]

    def _work(self, number: int) -> None:
        host = self.hosts[number % len(self.hosts)]
        turn = 0
        while time.monotonic() < self.until:
            turn += 1
            began = time.monotonic()
            if self._call(host, f"{number}-{turn}"):
                self.times.append(time.monotonic() - began)
            else:
                self.failed += 1

    def _call(self, host: cluster.Host, slot: str) -> bool:
        path, headers, body, method = "/rota", callload.BEARER, b"", "GET"
        if self.once:
            path, method, body = "/slots", "POST", msgspec.json.encode({"slot": slot})
            headers = [*headers, ("idempotency-key", callload.new_key())]
        target = f"/v1/services/rota/calls{path}"
        return cluster.request(host.http, method, target, headers, body).status == 200


def measure_calls(delay_ms: float, seconds: float, folder: pathlib.Path) -> dict:
    """Return calls a second and latencies, alone and with many callers at once."""
    limit = f"link_delay_ms = {delay_ms}"
    with cluster.Cluster(folder, entry=limit, control=limit).start() as made:
        made.wait_for_leader()
        made.apply(cluster.example("cooperative"))
        cluster.start_fleet(made, 0, 3)
        # Warm the services up, so that slots do not limit what is measured.
        Callers(made.entries, 12, False).run(seconds)
        figures = {}
        for threads in (1, 12):
            for name, once in (("repeatable", False), ("durable_intent", True)):
                figures[f"{name}_{threads}"] = Callers(made.entries, threads, once).run(seconds)
        return figures


def measure_ledger() -> dict:
    """Return the ledger's size for each key, in memory and in a snapshot."""
    registry.load_plugins()
    machine = state.State(commands.Limits(86_400_000, 1000))
    now_ms = int(time.time() * 1000)
    before = machine.snapshot()
    resident = resident_bytes()
    began = time.monotonic()
    for number in range(LEDGER_KEYS):
        for command in call_commands(idempotency.make(now_ms, number), number):
            command.at_ms = now_ms
            index = machine.applied + 1
            machine.apply(messages.LogEntry(index, 1, commands.encode(command)))
    elapsed = time.monotonic() - began
    log = sum(len(commands.encode(one)) for one in call_commands(idempotency.make(now_ms, 1), 1))
    return {
        "log_bytes_a_key": log,
        "snapshot_bytes_a_key": round((len(machine.snapshot()) - len(before)) / LEDGER_KEYS),
        "memory_bytes_per_10k_keys": resident_bytes() - resident,
        "apply_us_a_key": round(elapsed / LEDGER_KEYS * 1e6, 1),
    }


def call_commands(key: str, number: int) -> list[commands.Command]:
    """Return the commands of one call, as the entry host sends them."""
    where = {"environment": "production", "customer": "cascade-press", "service": "rota"}
    operation = f"00000000-0000-4000-8000-{number:012d}"
    join = commands.JoinRoster(
        host="entry-1", incarnation=1, data_centre="puget", address="", environment="production"
    )
    begin = commands.BeginCall(
        operation=operation, key=key, digest=bytes(32), host="entry-1", incarnation=1, **where
    )
    outcome = commands.CallOutcome("answered", 200, "application/json", b"x" * ANSWER_BYTES)
    end = commands.EndCall(key=key, begun_by=operation, outcome=outcome, **where)
    return [join, begin, end] if number == 0 else [begin, end]


def resident_bytes() -> int:
    """Return this process's resident memory."""
    pages = int(pathlib.Path("/proc/self/statm").read_text().split()[1])
    return pages * 4096


def main() -> None:
    """Parse arguments, measure and print."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--delay-ms", type=float, default=12.0, help="one-way delay of links")
    parser.add_argument("--seconds", type=float, default=6.0, help="length of each part")
    parsed = parser.parse_args()
    figures = {"link_delay_ms": parsed.delay_ms, "ledger": measure_ledger()}
    with tempfile.TemporaryDirectory() as folder:
        figures["calls"] = measure_calls(parsed.delay_ms, parsed.seconds, pathlib.Path(folder))
    print(json.dumps(figures, indent=2))


if __name__ == "__main__":
    main()
