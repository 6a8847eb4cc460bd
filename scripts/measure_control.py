#!/usr/bin/env python3
"""Measure the replicated state of the control hosts and print the figures as JSON.

Starts three control hosts on loopback addresses with default settings. Ends within 90 s.
"""

import argparse
import os
import pathlib
import sys
import tempfile
import time
import uuid

import curio
import msgspec

ROOT = pathlib.Path(__file__).resolve().parent.parent
sys.path[:0] = [str(ROOT / "src"), str(ROOT / "tests")]

import cluster  # noqa: E402
from ebonywheel import (  # noqa: E402
    commands,
    exceptions,
    idempotency,
    kernel,
    link,
    messages,
    registry,
    settings,
    state,
    statedata,
    storage,
)

PROPOSER_COUNTS = (1, 8, 64)
PROPOSE_DURATION_S = 3.0
LEADER_KILLS = 20
LEADER_KILLS_LIMIT_S = 55.0
SUBMIT_TIMEOUT_S = 0.25
RETRY_DELAY_S = 0.005
LOG_ENTRY_COUNTS = (2_000, 20_000, 100_000)
STATE_RECORD_COUNTS = (1_000, 10_000, 100_000)


def main() -> None:
    """Run the chosen parts and print their figures."""
    parser = argparse.ArgumentParser("measure_control.py", description=__doc__)
    parser.add_argument("parts", nargs="*", help=f"any of {', '.join(PARTS)} (default: all)")
    parser.add_argument(
        "--folder", help="parent of the data folders (default: the temporary folder)"
    )
    arguments = parser.parse_args()
    registry.load_plugins()
    figures = {"cores": os.cpu_count(), "load_1m": os.getloadavg()[0]}
    for name in arguments.parts or PARTS:
        with tempfile.TemporaryDirectory(dir=arguments.folder, prefix="measure-") as folder:
            figures[name] = PARTS[name](pathlib.Path(folder))
    print(msgspec.json.format(msgspec.json.encode(figures)).decode())


def measure_changes(folder: pathlib.Path) -> list[dict]:
    """Measure changes per second; the leader acknowledges each after a quorum has synced it."""
    with cluster.Cluster(folder, entries=0).start() as running_cluster:
        name = running_cluster.wait_for_leader()
        leader = next(host for host in running_cluster.controls if host.name == name)
        return [curio.run(_measure_proposers, leader.link, count) for count in PROPOSER_COUNTS]


def measure_elections(folder: pathlib.Path) -> dict:
    """Measure the seconds from a kill of the leader until the others accept a change."""
    outages_s = []
    deadline = time.monotonic() + LEADER_KILLS_LIMIT_S
    with cluster.Cluster(folder, entries=0).start() as running_cluster:
        running_cluster.wait_for_leader()
        while len(outages_s) < LEADER_KILLS and time.monotonic() < deadline:
            name = running_cluster.wait_for_leader()
            leader = next(host for host in running_cluster.controls if host.name == name)
            others = [host.link for host in running_cluster.controls if host is not leader]
            leader.process.kill()
            outages_s.append(curio.run(_time_until_accepted, others))
            running_cluster.start_control(leader)
    return {"kills": len(outages_s), **_quantiles(outages_s)}


def measure_recovery(folder: pathlib.Path) -> list[dict]:
    """Measure the seconds to open and apply logs of several lengths."""
    figures = []
    for count in LOG_ENTRY_COUNTS:
        log_folder = str(folder / str(count))
        curio.run(_write_log, log_folder, count)
        started_at = time.monotonic()
        store = storage.Storage(log_folder, "measured")
        opened_at = time.monotonic()
        replicated_state = _new_state()
        for entry in store.log.entries:
            replicated_state.apply(entry)
        applied_at = time.monotonic()
        size = store.log.size
        store.close()
        figures.append(
            {
                "entries": count,
                "bytes": size,
                "open_s": round(opened_at - started_at, 4),
                "apply_s": round(applied_at - opened_at, 4),
            }
        )
    return figures


def measure_snapshots(folder: pathlib.Path) -> list[dict]:
    """Measure a snapshot's size, and encoding, saving and restoring it, for several state sizes."""
    figures = []
    for count in STATE_RECORD_COUNTS:
        replicated_state = _new_state()
        for number in range(count):
            record = statedata.CallRecord(
                b"d" * 32, str(uuid.uuid4()), "entry-1", 1, number, _call_outcome()
            )
            replicated_state.data.calls[f"production/press/rota/{uuid.uuid4()}"] = record
        store = storage.Storage(str(folder / str(count)), "measured")
        started_at = time.monotonic()
        content = replicated_state.snapshot()
        encoded_at = time.monotonic()
        curio.run(store.save_snapshot, storage.Snapshot(1, 1, content), 0)
        saved_at = time.monotonic()
        replicated_state.restore(1, 1, content)
        restored_at = time.monotonic()
        store.close()
        figures.append(
            {
                "call_records": count,
                "bytes": len(content),
                "encode_s": round(encoded_at - started_at, 4),
                "save_in_thread_s": round(saved_at - encoded_at, 4),
                "restore_s": round(restored_at - saved_at, 4),
            }
        )
    return figures


PARTS = {
    "changes": measure_changes,
    "elections": measure_elections,
    "recovery": measure_recovery,
    "snapshots": measure_snapshots,
}


async def _measure_proposers(address: str, count: int) -> dict:
    latencies_s: list[float] = []
    failures: list[exceptions.LinkError] = []
    deadline = time.monotonic() + PROPOSE_DURATION_S
    async with _new_kernel() as running_kernel:
        connection = link.Link(running_kernel, "leader", address)
        async with curio.TaskGroup() as group:
            for _ in range(count):
                await group.spawn(_propose_until, connection, deadline, latencies_s, failures)
        await connection.close()
    rate = round(len(latencies_s) / PROPOSE_DURATION_S, 1)
    counts = {"proposers": count, "changes_per_s": rate, "failures": len(failures)}
    return {**counts, **_quantiles(latencies_s)}


async def _propose_until(
    connection: link.Link,
    deadline: float,
    latencies_s: list[float],
    failures: list[exceptions.LinkError],
) -> None:
    while time.monotonic() < deadline:
        started_at = time.monotonic()
        try:
            await connection.call(commands.submit_message(_begin_call()))
        except exceptions.LinkError as error:
            failures.append(error)
            await curio.sleep(RETRY_DELAY_S)
            continue
        latencies_s.append(time.monotonic() - started_at)


async def _time_until_accepted(addresses: list[str]) -> float:
    started_at = time.monotonic()
    async with _new_kernel() as running_kernel:
        links = [link.Link(running_kernel, address, address) for address in addresses]
        while True:
            for connection in links:
                try:
                    await connection.call(commands.submit_message(_begin_call()), SUBMIT_TIMEOUT_S)
                    return time.monotonic() - started_at
                except exceptions.LinkError:
                    await curio.sleep(RETRY_DELAY_S)


async def _write_log(folder: str, count: int) -> None:
    store = storage.Storage(folder, "measured")
    store.vote.term = 1
    await store.save_vote()
    entries = [
        messages.LogEntry(index, 1, commands.encode(_begin_call())) for index in range(1, count + 1)
    ]
    store.append(entries)
    await store.sync()
    store.close()


def _new_kernel() -> kernel.Kernel:
    host = settings.HostSettings("measure", "puget", "127.0.0.1:1", "127.0.0.1:1", "")
    return kernel.Kernel("entry", host, cluster.SECRET.encode())


def _new_state() -> state.State:
    return state.State(commands.Limits(86_400_000, 3_600_000))


def _begin_call() -> commands.BeginCall:
    now_ms = int(time.time() * 1000)
    return commands.BeginCall(
        operation=str(uuid.uuid4()),
        actor="measure",
        at_ms=now_ms,
        environment="production",
        customer="press",
        service="rota",
        key=idempotency.make(now_ms, uuid.uuid4().int >> 54),
        digest=b"d" * 32,
        host="entry-1",
        incarnation=1,
    )


def _call_outcome() -> commands.CallOutcome:
    return commands.CallOutcome("answered", 200, "application/json", b'{"run":1}')


def _quantiles(seconds: list[float]) -> dict:
    ordered = sorted(seconds) or [float("nan")]
    ranks = {"p50_s": 0.5, "p99_s": 0.99, "max_s": 1.0}
    return {
        name: round(ordered[min(len(ordered) - 1, int(rank * len(ordered)))], 4)
        for name, rank in ranks.items()
    }


if __name__ == "__main__":
    main()
