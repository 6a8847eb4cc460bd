#!/usr/bin/env python3
"""Measure how often the quarantine misses poison or blocks innocent requests; print JSON.

Each seeded run combines, in this process, the real code of the entry hosts and of the replicated
state with fake services: three entry hosts, eight servers, innocent requests, servers that crash
for other reasons, and in half of the runs a poison request. That request crashes each server that
runs it, and its caller resends it through any entry host. The lease is shortened to 0.1 s so that
a run takes about a second.
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
SLOTS_PER_SERVER = 3
HOSTS = ("a", "b", "c")
INNOCENT_REQUESTS = 40
OTHER_DEATHS = 2
POISON_ATTEMPTS = 8
MAX_INNOCENT_ATTEMPTS = 40
RUN_S = 0.5
SYNC_INTERVAL_S = 0.02
RESTART_DELAY_S = 0.05
LEASE_S = 0.1
POLL_INTERVAL_S = 0.005


class CrashableService(callbench.FakeService):
    """A service that a poison request crashes, or that crashes for another reason.

    Attributes:
        server_state: State under which its home knows it.
        holdings: Holdings of the slots in use, by loan.
        tasks: Tasks that a crash cancels.
    """

    def __init__(self, trial: "Trial", number: int):
        super().__init__()
        self.trial = trial
        self.server_state = self.state(f"server-{number}")
        self.holdings: dict[str, messages.Holding] = {}
        self.tasks: set[curio.Task] = set()
        self.alive = True

    async def start(self) -> curio.Task:
        """Start accepting connections."""
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
            self.trial.poison_deaths += 1
            await curio.spawn(self.crash(), daemon=True)
            return
        await curio.sleep(int(target.rpartition(b"=")[2]) / 1000)
        await client.sendall(callbench.ANSWER)

    async def crash(self) -> None:
        """Drop all requests in flight, report the crash to a home, and start a replacement."""
        if not self.alive:
            return
        self.alive = False
        self.trial.bench.dead.add(self.address)
        running = list(self.holdings.values())
        for task in list(self.tasks):
            await task.cancel(blocking=False)
        await self.sock.close()
        await curio.sleep(self.trial.random.uniform(0.0, 0.03))
        host = self.trial.bench.host(self.trial.random.choice(HOSTS))
        await host.poison.report_death(self.server_state, running)
        await curio.sleep(RESTART_DELAY_S)
        await self.trial.add_server()


class SlotPlacer:
    """Lends slots as home hosts do: a suspect request gets a server of its own."""

    def __init__(self, trial: "Trial"):
        self.trial = trial

    async def place(self, job, timeout_s: float, avoid: frozenset = frozenset()):
        """Return a slot that becomes free within the timeout.

        Raises:
            NotRunError: No slot became free in time.
        """
        for _ in range(max(1, int(timeout_s / POLL_INTERVAL_S))):
            free = [server for server in self.trial.servers if self._may_lend(server, job, avoid)]
            if free:
                return self._lend(self.trial.random.choice(free), job)
            await curio.sleep(POLL_INTERVAL_S)
        raise exceptions.NotRunError("no slot came free in time", "place", retry_after=1)

    def _may_lend(self, server: CrashableService, job, avoid: frozenset) -> bool:
        if not server.alive or server.server_state.server in avoid:
            return False
        if job.alone:
            return not server.holdings
        if any(holding.alone for holding in server.holdings.values()):
            return False
        return len(server.holdings) < SLOTS_PER_SERVER

    def _lend(self, server: CrashableService, job) -> placement.Placement:
        server_state = server.server_state
        holding = messages.Holding(str(uuid.uuid4()), server_state.server, server_state.incarnation)
        holding.fingerprint, holding.customer = job.fingerprint, job.customer
        holding.alone = job.alone
        self.trial.isolated_runs += job.alone
        server.holdings[holding.loan] = holding
        return placement.Placement(messages.ServerView(server_state), holding)


class SlotFleet(callbench.FakeFleet):
    """Accepts the release of slots."""

    def __init__(self, trial: "Trial"):
        super().__init__()
        self.trial = trial

    async def release(self, holding: messages.Holding, outcome: str) -> None:
        """Free the slot of a holding."""
        for server in self.trial.servers:
            server.holdings.pop(holding.loan, None)


class Trial:
    """One seeded run.

    Attributes:
        poison_deaths: Number of servers that the poison request crashed.
        innocents_unserved: Number of innocent requests never answered.
        isolated_runs: How often a suspect request was given a server of its own.
        innocent_attempts: Attempts of each innocent request.
    """

    def __init__(self, seed: int):
        self.random = random.Random(seed)
        self.bench = callbench.Bench(0)
        self.servers: list[CrashableService] = []
        self.poison_deaths = 0
        self.innocents_unserved = 0
        self.isolated_runs = 0
        self.innocent_attempts: list[int] = []

    async def run(self, with_poison: bool) -> dict:
        """Run until all requests have ended and return the counts."""
        for _ in range(SERVERS):
            await self.add_server()
        placer, fleet = SlotPlacer(self), SlotFleet(self)
        for name in HOSTS:
            host = self.bench.host(name)
            host.calls.placer, host.calls.fleet = placer, fleet
            await curio.spawn(self._sync_periodically(host), daemon=True)
        tasks = [
            await curio.spawn(self._send_innocent(number)) for number in range(INNOCENT_REQUESTS)
        ]
        for _ in range(OTHER_DEATHS):
            tasks.append(await curio.spawn(self._crash_one()))
        if with_poison:
            tasks.append(await curio.spawn(self._send_poison()))
        for task in tasks:
            await task.join()
        return self._result(with_poison)

    async def add_server(self) -> None:
        """Start a new server."""
        server = CrashableService(self, len(self.servers))
        await server.start()
        self.servers.append(server)

    def _result(self, with_poison: bool) -> dict:
        host = self.bench.host(HOSTS[0])
        host.feed.sync()
        suspicions = host.feed.current.suspects.values()
        quarantined = sum(1 for suspicion in suspicions if suspicion.quarantined)
        poison_count = int(with_poison and self.poison_quarantined)
        return {
            "poison_deaths": self.poison_deaths,
            "innocents_quarantined": quarantined - poison_count,
            "innocents_unserved": self.innocents_unserved,
            "isolated": self.isolated_runs,
            "tries": sum(self.innocent_attempts),
            "most_tries": max(self.innocent_attempts),
        }

    async def _sync_periodically(self, host: callbench.BenchHost) -> None:
        await curio.sleep(self.random.uniform(0, SYNC_INTERVAL_S))
        while True:
            host.feed.sync()
            await curio.sleep(SYNC_INTERVAL_S)

    async def _crash_one(self) -> None:
        await curio.sleep(self.random.uniform(0, RUN_S))
        busy = [server for server in self.servers if server.alive and server.holdings]
        candidates = busy or [server for server in self.servers if server.alive]
        await self.random.choice(candidates).crash()

    async def _send_innocent(self, number: int) -> None:
        await curio.sleep(self.random.uniform(0, RUN_S))
        duration_ms = self.random.choice([5, 20, 60, 120])
        path = f"/rota?innocent={number}&ms={duration_ms}"
        for attempt in range(MAX_INNOCENT_ATTEMPTS):
            if (await self._call(path))[0] == "answered":
                self.innocent_attempts.append(attempt + 1)
                return
            await curio.sleep(0.01)
        self.innocents_unserved += 1
        self.innocent_attempts.append(MAX_INNOCENT_ATTEMPTS)

    async def _send_poison(self) -> None:
        self.poison_quarantined = False
        await curio.sleep(self.random.uniform(0, RUN_S / 2))
        for _ in range(POISON_ATTEMPTS):
            _, error = await self._call("/rota?poison=1")
            if getattr(error, "status", 0) == poison.STATUS_QUARANTINED:
                self.poison_quarantined = True

    async def _call(self, path: str):
        host = self.bench.host(self.random.choice(HOSTS))
        return await host.call("", method="GET", path=path)


def measure(runs: int, with_poison: bool) -> dict:
    """Run one trial for each seed and return the totals."""
    results = [curio.run(Trial(seed).run, with_poison) for seed in range(runs)]
    deaths = collections.Counter(result["poison_deaths"] for result in results)
    return {
        "runs": runs,
        "poison_deaths_a_run": dict(sorted(deaths.items())),
        "runs_over_two_deaths": sum(1 for result in results if result["poison_deaths"] > 2),
        "innocent_requests": runs * INNOCENT_REQUESTS,
        "other_deaths": runs * OTHER_DEATHS,
        "innocents_quarantined": sum(result["innocents_quarantined"] for result in results),
        "innocents_unserved": sum(result["innocents_unserved"] for result in results),
        "isolated_runs": sum(result["isolated"] for result in results),
        "tries_of_innocents": sum(result["tries"] for result in results),
        "most_tries_of_an_innocent": max(result["most_tries"] for result in results),
    }


def main() -> None:
    """Parse arguments, measure and print."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--runs", type=int, default=100, help="seeded runs of each kind")
    parsed = parser.parse_args()
    poison.MAX_LEASE_S = LEASE_S
    poison.IN_FORCE_POLL_S = SYNC_INTERVAL_S / 2
    poison.PROBE_PAUSE_S = POLL_INTERVAL_S
    figures = {
        "with_poison": measure(parsed.runs, True),
        "without_poison": measure(parsed.runs, False),
    }
    print(json.dumps(figures, indent=2))


if __name__ == "__main__":
    main()
