#!/usr/bin/env python3
"""Measure calls to a plain service with and without a durable intent and print JSON.

A durable intent is the record by which a call with an idempotency key runs at most once. Starts
three control hosts, three entry hosts and three plain services on loopback addresses, with a
one-way delay on each link between the system's processes. Ends within 60 s.
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
# The started processes must import the package from this source tree too.
os.environ["PYTHONPATH"] = str(ROOT / "src")

import callload  # noqa: E402
import cluster  # noqa: E402
from ebonywheel import commands, idempotency, messages, registry, state  # noqa: E402

LEDGER_KEYS = 10_000
ANSWER_BYTES = 50


class Callers:
    """Threads that make calls, each as soon as its last one is answered.

    Attributes:
        hosts: Entry hosts, called by the threads in turn.
        idempotent: Whether calls carry an idempotency key.
        latencies_s: Seconds of each successful call.
        failed: Calls without a status of 200.
        deadline: When the threads stop, on the monotonic clock.
    """

    def __init__(self, hosts: list[cluster.Host], threads: int, idempotent: bool):
        self.hosts = hosts
        self.idempotent = idempotent
        self.latencies_s: list[float] = []
        self.failed = 0
        self.deadline = 0.0
        self.threads = [
            threading.Thread(target=self._make_calls, args=(n,)) for n in range(threads)
        ]

    def run(self, seconds: float) -> dict:
        """Run for a number of seconds and return the figures."""
        self.deadline = time.monotonic() + seconds
        for thread in self.threads:
            thread.start()
        for thread in self.threads:
            thread.join()
        self.latencies_s.sort()
        return {
            "calls_per_s": round(len(self.latencies_s) / seconds, 1),
            "p50_ms": round(self._quantile_s(0.50) * 1e3, 1),
            "p99_ms": round(self._quantile_s(0.99) * 1e3, 1),
            "calls": len(self.latencies_s),
            "failed": self.failed,
        }

    def _quantile_s(self, rank: float) -> float:
        return self.latencies_s[min(len(self.latencies_s) - 1, int(rank * len(self.latencies_s)))]

    def _make_calls(self, thread_number: int) -> None:
        host = self.hosts[thread_number % len(self.hosts)]
        call_number = 0
        while time.monotonic() < self.deadline:
            call_number += 1
            started_at = time.monotonic()
            if self._call(host, f"{thread_number}-{call_number}"):
                self.latencies_s.append(time.monotonic() - started_at)
            else:
                self.failed += 1

    def _call(self, host: cluster.Host, slot: str) -> bool:
        path, headers, body, method = "/rota", callload.BEARER, b"", "GET"
        if self.idempotent:
            path, method, body = "/slots", "POST", msgspec.json.encode({"slot": slot})
            headers = [*headers, ("idempotency-key", callload.new_key())]
        target = f"/v1/services/rota/calls{path}"
        return cluster.request(host.http, method, target, headers, body).status == 200


def measure_calls(delay_ms: float, seconds: float, folder: pathlib.Path) -> dict:
    """Return calls per second and latencies, with one caller and with twelve."""
    delay_setting = f"link_delay_ms = {delay_ms}"
    with cluster.Cluster(
        folder, entry=delay_setting, control=delay_setting
    ).start() as running_cluster:
        running_cluster.wait_for_leader()
        running_cluster.apply(cluster.example("cooperative"))
        cluster.start_fleet(running_cluster, 0, 3)
        # Warm the services up first: the few slots of a cold server would limit the figures.
        Callers(running_cluster.entries, 12, False).run(seconds)
        figures = {}
        for threads in (1, 12):
            for name, idempotent in (("repeatable", False), ("durable_intent", True)):
                figures[f"{name}_{threads}"] = Callers(
                    running_cluster.entries, threads, idempotent
                ).run(seconds)
        return figures


def measure_ledger() -> dict:
    """Return what an idempotency key costs: in the log, in a snapshot, in memory and in time."""
    registry.load_plugins()
    replicated_state = state.State(commands.Limits(86_400_000, 1000))
    now_ms = int(time.time() * 1000)
    snapshot_before = replicated_state.snapshot()
    resident_before = resident_bytes()
    started_at = time.monotonic()
    for number in range(LEDGER_KEYS):
        for command in call_commands(idempotency.make(now_ms, number), number):
            command.at_ms = now_ms
            index = replicated_state.applied + 1
            replicated_state.apply(messages.LogEntry(index, 1, commands.encode(command)))
    elapsed_s = time.monotonic() - started_at
    log_bytes = sum(
        len(commands.encode(command)) for command in call_commands(idempotency.make(now_ms, 1), 1)
    )
    return {
        "log_bytes_a_key": log_bytes,
        "snapshot_bytes_a_key": round(
            (len(replicated_state.snapshot()) - len(snapshot_before)) / LEDGER_KEYS
        ),
        "memory_bytes_per_10k_keys": resident_bytes() - resident_before,
        "apply_us_a_key": round(elapsed_s / LEDGER_KEYS * 1e6, 1),
    }


def call_commands(key: str, number: int) -> list[commands.Command]:
    """Return the commands that an entry host sends for one call.

    The first call also joins the entry host to the roster.
    """
    call_fields = {"environment": "production", "customer": "cascade-press", "service": "rota"}
    operation = f"00000000-0000-4000-8000-{number:012d}"
    join = commands.JoinRoster(
        host="entry-1", incarnation=1, data_centre="puget", address="", environment="production"
    )
    begin = commands.BeginCall(
        operation=operation, key=key, digest=bytes(32), host="entry-1", incarnation=1, **call_fields
    )
    outcome = commands.CallOutcome("answered", 200, "application/json", b"x" * ANSWER_BYTES)
    end = commands.EndCall(key=key, begun_by=operation, outcome=outcome, **call_fields)
    return [join, begin, end] if number == 0 else [begin, end]


def resident_bytes() -> int:
    """Return the resident memory of this process in bytes."""
    pages = int(pathlib.Path("/proc/self/statm").read_text().split()[1])
    return pages * 4096


def main() -> None:
    """Parse arguments, measure and print."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--delay-ms", type=float, default=12.0, help="one-way delay of links")
    parser.add_argument("--seconds", type=float, default=6.0, help="length of each part")
    arguments = parser.parse_args()
    figures = {"link_delay_ms": arguments.delay_ms, "ledger": measure_ledger()}
    with tempfile.TemporaryDirectory() as folder:
        figures["calls"] = measure_calls(
            arguments.delay_ms, arguments.seconds, pathlib.Path(folder)
        )
    print(json.dumps(figures, indent=2))


if __name__ == "__main__":
    main()
