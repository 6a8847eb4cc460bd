#!/usr/bin/env python3
"""Measure the durable control state on this machine and print the figures as JSON.

Starts three control hosts on loopback with the settings' defaults. Ends by itself within 90 s.
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

PROPOSERS = (1, 8, 64)
PROPOSE_S = 3.0
KILLS = 20
KILLS_LIMIT_S = 55.0
ASK_TIMEOUT_S = 0.25
ASK_AGAIN_S = 0.005
LOG_ENTRIES = (2_000, 20_000, 100_000)
STATE_RECORDS = (1_000, 10_000, 100_000)


def main() -> None:
    """Run the parts that were asked for."""
    parser = argparse.ArgumentParser("measure_control.py", description=__doc__)
    parser.add_argument("parts", nargs="*", help=f"of {', '.join(PARTS)}; all without any")
    parser.add_argument("--folder", help="where data folders go; a temporary folder otherwise")
    arguments = parser.parse_args()
    registry.load_plugins()
    figures = {"cores": os.cpu_count(), "load_1m": os.getloadavg()[0]}
    for name in arguments.parts or PARTS:
        with tempfile.TemporaryDirectory(dir=arguments.folder, prefix="measure-") as folder:
            figures[name] = PARTS[name](pathlib.Path(folder))
    print(msgspec.json.format(msgspec.json.encode(figures)).decode())


def measure_changes(folder: pathlib.Path) -> list[dict]:
    """Changes a second through the leader, each acknowledged after a quorum has synced it."""
    with cluster.Cluster(folder, entries=0).start() as made:
        name = made.wait_for_leader()
        leader = next(host for host in made.controls if host.name == name)
        return [curio.run(_propose_for, leader.link, count) for count in PROPOSERS]


def measure_elections(folder: pathlib.Path) -> dict:
    """Time from a kill of the leader until the others accept a change."""
    gaps = []
    limit = time.monotonic() + KILLS_LIMIT_S
    with cluster.Cluster(folder, entries=0).start() as made:
        made.wait_for_leader()
        while len(gaps) < KILLS and time.monotonic() < limit:
            name = made.wait_for_leader()
            leader = next(host for host in made.controls if host.name == name)
            others = [host.link for host in made.controls if host is not leader]
            leader.process.kill()
            gaps.append(curio.run(_time_until_accepted, others))
            made.start_control(leader)
    return {"kills": len(gaps), **_quantiles(gaps)}


def measure_recovery(folder: pathlib.Path) -> list[dict]:
    """Time to open a log and apply all of it, against its length."""
    found = []
    for count in LOG_ENTRIES:
        where = str(folder / str(count))
        curio.run(_write_log, where, count)
        started_at = time.monotonic()
        store = storage.Storage(where, "measured")
        opened_at = time.monotonic()
        machine = _machine()
        for entry in store.log.entries:
            machine.apply(entry)
        applied_at = time.monotonic()
        size = store.log.size
        store.close()
        found.append(
            {
                "entries": count,
                "bytes": size,
                "open_s": round(opened_at - started_at, 4),
                "apply_s": round(applied_at - opened_at, 4),
            }
        )
    return found


def measure_snapshots(folder: pathlib.Path) -> list[dict]:
    """Size of a snapshot and the times to encode, save and restore it, against the state."""
    found = []
    for count in STATE_RECORDS:
        machine = _machine()
        for number in range(count):
            record = statedata.CallRecord(
                b"d" * 32, str(uuid.uuid4()), "entry-1", 1, number, _outcome()
            )
            machine.data.calls[f"production/press/rota/{uuid.uuid4()}"] = record
        store = storage.Storage(str(folder / str(count)), "measured")
        started_at = time.monotonic()
        content = machine.snapshot()
        encoded_at = time.monotonic()
        curio.run(store.save_snapshot, storage.Snapshot(1, 1, content), 0)
        saved_at = time.monotonic()
        machine.restore(1, 1, content)
        restored_at = time.monotonic()
        store.close()
        found.append(
            {
                "call_records": count,
                "bytes": len(content),
                "encode_s": round(encoded_at - started_at, 4),
                "save_in_thread_s": round(saved_at - encoded_at, 4),
                "restore_s": round(restored_at - saved_at, 4),
            }
        )
    return found


PARTS = {
    "changes": measure_changes,
    "elections": measure_elections,
    "recovery": measure_recovery,
    "snapshots": measure_snapshots,
}


async def _propose_for(address: str, count: int) -> dict:
    times: list[float] = []
    failures: list[exceptions.LinkError] = []
    until = time.monotonic() + PROPOSE_S
    async with _kernel() as core:
        connection = link.Link(core, "leader", address)
        async with curio.TaskGroup() as group:
            for _ in range(count):
                await group.spawn(_propose_until, connection, until, times, failures)
        await connection.close()
    rate = round(len(times) / PROPOSE_S, 1)
    counts = {"proposers": count, "changes_per_s": rate, "failures": len(failures)}
    return {**counts, **_quantiles(times)}


async def _propose_until(
    connection: link.Link,
    until: float,
    times: list[float],
    failures: list[exceptions.LinkError],
) -> None:
    while time.monotonic() < until:
        started_at = time.monotonic()
        try:
            await connection.call(commands.submit_message(_call()))
        except exceptions.LinkError as error:
            failures.append(error)
            await curio.sleep(ASK_AGAIN_S)
            continue
        times.append(time.monotonic() - started_at)


async def _time_until_accepted(addresses: list[str]) -> float:
    started_at = time.monotonic()
    async with _kernel() as core:
        links = [link.Link(core, address, address) for address in addresses]
        while True:
            for connection in links:
                try:
                    await connection.call(commands.submit_message(_call()), ASK_TIMEOUT_S)
                    return time.monotonic() - started_at
                except exceptions.LinkError:
                    await curio.sleep(ASK_AGAIN_S)


async def _write_log(folder: str, count: int) -> None:
    store = storage.Storage(folder, "measured")
    store.vote.term = 1
    await store.save_vote()
    entries = [
        messages.LogEntry(index, 1, commands.encode(_call())) for index in range(1, count + 1)
    ]
    store.append(entries)
    await store.sync()
    store.close()


def _kernel() -> kernel.Kernel:
    host = settings.HostSettings("measure", "puget", "127.0.0.1:1", "127.0.0.1:1", "")
    return kernel.Kernel("entry", host, cluster.SECRET.encode())


def _machine() -> state.State:
    return state.State(commands.Limits(86_400_000, 3_600_000))


def _call() -> commands.BeginCall:
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


def _outcome() -> commands.CallOutcome:
    return commands.CallOutcome("answered", 200, "application/json", b'{"run":1}')


def _quantiles(seconds: list[float]) -> dict:
    ordered = sorted(seconds) or [float("nan")]
    picked = {"p50_s": 0.5, "p99_s": 0.99, "max_s": 1.0}
    return {
        name: round(ordered[min(len(ordered) - 1, int(share * len(ordered)))], 4)
        for name, share in picked.items()
    }


if __name__ == "__main__":
    main()
