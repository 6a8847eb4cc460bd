#!/usr/bin/env python3
"""Measure both errors of the quarantine in seeded runs and print them as JSON.

In one process, with the real callers' side and the real replicated state over scripted services:
three entry hosts, eight servers, innocent requests, one request that ends each server that runs it
and whose caller resends it through any entry host, and servers that die for other reasons. The
lease is shortened to 0.1 s so that a run takes about a second.
"""

import argparse
import collections
import contextlib
import json
import pathlib
import random
import sys
import uuid

import curio

ROOT = pathlib.Path(__file__).resolve().parent.parent
sys.path[:0] = [str(ROOT / "src"), str(ROOT / "tests")]

import callbench  # noqa: E402
from ebonywheel import exceptions, messages, placement, poison  # noqa: E402

SERVERS = 8
SLOTS = 3
HOSTS = ("a", "b", "c")
INNOCENTS = 40
OTHER_DEATHS = 2
POISON_TRIES = 8
INNOCENT_TRIES = 40
RUN_S = 0.5
SYNC_S = 0.02
RESTART_S = 0.05
LEASE_S = 0.1
POLL_S = 0.005


class MortalService(callbench.FakeService):
    """A service that a poison request ends, or that is killed."""

    def __init__(self, world: "World", number: int):
        super().__init__()
        self.world = world
        self.known = self.state(f"server-{number}")
        self.held: dict[str, messages.Holding] = {}
        self.tasks: set[curio.Task] = set()
        self.alive = True

    async def start(self) -> curio.Task:
        """Start accepting."""
        task = await super().start()
        self.tasks.add(task)
        return task

    async def _serve(self, client: curio.io.Socket) -> None:
        task = await curio.current_task()
        self.tasks.add(task)
        try:
            async with client:
                with contextlib.suppress(OSError):
                    await self._answer(client)
        finally:
            self.tasks.discard(task)

    async def _answer(self, client: curio.io.Socket) -> None:
        data = await client.recv(65536)
        if not data:
            return
        target = data.split(b" ")[1]
        if b"poison" in target:
            self.world.poison_deaths += 1
            await curio.spawn(self.die(), daemon=True)
            return
        await curio.sleep(int(target.rpartition(b"=")[2]) / 1000)
        await client.sendall(callbench.ANSWER)

    async def die(self) -> None:
        """End at once with everything in flight; the home notices, and another one starts."""
        if not self.alive:
            return
        self.alive = False
        self.world.bench.dead.add(self.address)
        running = list(self.held.values())
        for task in list(self.tasks):
            await task.cancel(blocking=False)
        await self.sock.close()
        await curio.sleep(self.world.random.uniform(0.0, 0.03))
        host = self.world.bench.host(self.world.random.choice(HOSTS))
        await host.poison.report_death(self.known, running)
        await curio.sleep(RESTART_S)
        await self.world.add_server()


class SlotPlacer:
    """Lends slots as homes do: a suspect has its server for itself."""

    def __init__(self, world: "World"):
        self.world = world

    async def place(self, job, timeout_s: float, avoid: frozenset = frozenset()):
        """Return a slot within the time."""
        for _ in range(max(1, int(timeout_s / POLL_S))):
            free = [one for one in self.world.servers if self._may(one, job, avoid)]
            if free:
                return self._take(self.world.random.choice(free), job)
            await curio.sleep(POLL_S)
        raise exceptions.NotRunError("no slot came free in time", "place", retry_after=1)

    def _may(self, server: MortalService, job, avoid: frozenset) -> bool:
        if not server.alive or server.known.server in avoid:
            return False
        if job.alone:
            return not server.held
        if any(holding.alone for holding in server.held.values()):
            return False
        return len(server.held) < SLOTS

    def _take(self, server: MortalService, job) -> placement.Placement:
        known = server.known
        holding = messages.Holding(str(uuid.uuid4()), known.server, known.incarnation)
        holding.fingerprint, holding.customer = job.fingerprint, job.customer
        holding.alone = job.alone
        self.world.isolated += job.alone
        server.held[holding.loan] = holding
        return placement.Placement(messages.ServerView(known), holding)


class SlotFleet(callbench.FakeFleet):
    """Takes slots back."""

    def __init__(self, world: "World"):
        super().__init__()
        self.world = world

    async def release(self, holding: messages.Holding, outcome: str) -> None:
        """Take one slot back."""
        for server in self.world.servers:
            server.held.pop(holding.loan, None)


class World:
    """One run."""

    def __init__(self, seed: int):
        self.random = random.Random(seed)
        self.bench = callbench.Bench(0)
        self.servers: list[MortalService] = []
        self.poison_deaths = 0
        self.unserved = 0
        self.isolated = 0
        self.tries: list[int] = []

    async def run(self, with_poison: bool) -> dict:
        """Run to the end and return what went wrong."""
        for _ in range(SERVERS):
            await self.add_server()
        placer, fleet = SlotPlacer(self), SlotFleet(self)
        for name in HOSTS:
            host = self.bench.host(name)
            host.calls.placer, host.calls.fleet = placer, fleet
            await curio.spawn(self._sync(host), daemon=True)
        tasks = [await curio.spawn(self._innocent(number)) for number in range(INNOCENTS)]
        for _ in range(OTHER_DEATHS):
            tasks.append(await curio.spawn(self._kill_one()))
        if with_poison:
            tasks.append(await curio.spawn(self._poison()))
        for task in tasks:
            await task.join()
        return self._result(with_poison)

    async def add_server(self) -> None:
        """Start one more server."""
        server = MortalService(self, len(self.servers))
        await server.start()
        self.servers.append(server)

    def _result(self, with_poison: bool) -> dict:
        host = self.bench.host(HOSTS[0])
        host.feed.sync()
        held = host.feed.current.suspects.values()
        quarantined = sum(1 for one in held if one.quarantined)
        guilty = int(with_poison and self.poison_quarantined)
        return {
            "poison_deaths": self.poison_deaths,
            "innocents_quarantined": quarantined - guilty,
            "innocents_unserved": self.unserved,
            "isolated": self.isolated,
            "tries": sum(self.tries),
            "most_tries": max(self.tries),
        }

    async def _sync(self, host: callbench.BenchHost) -> None:
        await curio.sleep(self.random.uniform(0, SYNC_S))
        while True:
            host.feed.sync()
            await curio.sleep(SYNC_S)

    async def _kill_one(self) -> None:
        await curio.sleep(self.random.uniform(0, RUN_S))
        busy = [one for one in self.servers if one.alive and one.held]
        alive = busy or [one for one in self.servers if one.alive]
        await self.random.choice(alive).die()

    async def _innocent(self, number: int) -> None:
        await curio.sleep(self.random.uniform(0, RUN_S))
        lasts_ms = self.random.choice([5, 20, 60, 120])
        path = f"/rota?innocent={number}&ms={lasts_ms}"
        for turn in range(INNOCENT_TRIES):
            if (await self._ask(path))[0] == "answered":
                self.tries.append(turn + 1)
                return
            await curio.sleep(0.01)
        self.unserved += 1
        self.tries.append(INNOCENT_TRIES)

    async def _poison(self) -> None:
        self.poison_quarantined = False
        await curio.sleep(self.random.uniform(0, RUN_S / 2))
        for _ in range(POISON_TRIES):
            _, error = await self._ask("/rota?poison=1")
            if getattr(error, "status", 0) == poison.STATUS_QUARANTINED:
                self.poison_quarantined = True

    async def _ask(self, path: str):
        host = self.bench.host(self.random.choice(HOSTS))
        return await host.call("", method="GET", path=path)


def measure(runs: int, with_poison: bool) -> dict:
    """Run the seeds and add the results up."""
    results = [curio.run(World(seed).run, with_poison) for seed in range(runs)]
    deaths = collections.Counter(result["poison_deaths"] for result in results)
    return {
        "runs": runs,
        "poison_deaths_a_run": dict(sorted(deaths.items())),
        "runs_over_two_deaths": sum(1 for one in results if one["poison_deaths"] > 2),
        "innocent_requests": runs * INNOCENTS,
        "other_deaths": runs * OTHER_DEATHS,
        "innocents_quarantined": sum(one["innocents_quarantined"] for one in results),
        "innocents_unserved": sum(one["innocents_unserved"] for one in results),
        "isolated_runs": sum(one["isolated"] for one in results),
        "tries_of_innocents": sum(one["tries"] for one in results),
        "most_tries_of_an_innocent": max(one["most_tries"] for one in results),
    }


def main() -> None:
    """Parse arguments, measure and print."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--runs", type=int, default=100, help="seeded runs of each kind")
    parsed = parser.parse_args()
    poison.MAX_LEASE_S = LEASE_S
    poison.IN_FORCE_POLL_S = SYNC_S / 2
    poison.PROBE_PAUSE_S = POLL_S
    figures = {
        "with_poison": measure(parsed.runs, True),
        "without_poison": measure(parsed.runs, False),
    }
    print(json.dumps(figures, indent=2))


if __name__ == "__main__":
    main()
