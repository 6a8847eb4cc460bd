"""Measure how soon an accepted change is in force on seven entry hosts, also through leader kills.

Starts 3 control and 7 entry hosts with 12 ms on each link, changes a customer's key again and again
and asks every entry host which key it knows. Prints JSON; ends within 90 s.
"""

import argparse
import contextlib
import itertools
import json
import pathlib
import sys
import tempfile
import threading
import time
import uuid

ROOT = pathlib.Path(__file__).resolve().parent.parent
sys.path[:0] = [str(ROOT / "src"), str(ROOT / "tests")]

import cluster as clusters  # noqa: E402
from ebonywheel import documents  # noqa: E402

ENTRIES = 7
LINK_DELAY = "link_delay_ms = 12"
DEMO_DIGEST = documents.key_digest("cascade-press-demo-key")
POLL_S = 0.01
WAIT_S = 10.0
LIMIT_S = 75.0
KNOWN = 404


class Round:
    """What one change took, in seconds from the moment it was asked for."""

    def __init__(self, asked_at: float, accepted_at: float):
        self.asked_at = asked_at
        self.accepted_at = accepted_at
        self.in_force_at: list[float] = []
        self.last_old_at: list[float] = []


class Measurement:
    """Changes of one cluster."""

    def __init__(self, cluster: clusters.Cluster):
        self.cluster = cluster
        self.revision = 0
        self.deadline = time.monotonic() + LIMIT_S

    def change(self) -> Round:
        """Put the next revision in force and watch every entry host."""
        self.revision += 1
        watched = Round(time.monotonic(), 0.0)
        threads = [
            threading.Thread(target=self._watch, args=(host.http, watched))
            for host in self.cluster.entries
        ]
        for thread in threads:
            thread.start()
        self._accept()
        watched.accepted_at = time.monotonic()
        for thread in threads:
            thread.join()
        return watched

    def kill_leader(self) -> clusters.Host:
        """Kill the leader and return its host."""
        for asked in self.cluster.controls:
            name = self.cluster._leader(asked)
            for host in self.cluster.controls:
                if host.name == name:
                    host.process.kill()
                    return host
        raise AssertionError("no leader")

    def time_left(self) -> float:
        """Return the seconds until the measurement must end."""
        return self.deadline - time.monotonic()

    def _accept(self) -> None:
        digest = documents.key_digest(f"key-{self.revision}")
        command = {
            "type": "ApplyDocument",
            "operation": str(uuid.uuid4()),
            "environment": "production",
            "base": self.revision - 1,
            "text": clusters.example("cooperative").replace(DEMO_DIGEST, digest),
        }
        for host in itertools.cycle(self.cluster.controls):
            with contextlib.suppress(OSError, ValueError):
                if self.cluster.operate(command, host).status == 200:
                    return
            time.sleep(POLL_S)

    def _watch(self, address: str, watched: Round) -> None:
        last_old_at = watched.asked_at
        while time.monotonic() < watched.asked_at + 2 * WAIT_S:
            if self._knows(address, self.revision):
                watched.in_force_at.append(time.monotonic())
                watched.last_old_at.append(last_old_at)
                return
            if self._knows(address, self.revision - 1):
                last_old_at = time.monotonic()
            time.sleep(POLL_S)

    def _knows(self, address: str, revision: int) -> bool:
        headers = [("authorization", f"Bearer key-{revision}")]
        with contextlib.suppress(OSError, ValueError):
            answer = clusters.request(address, "POST", "/v1/services/none", headers, b"{}", 2.0)
            return answer.status == KNOWN
        return False


def summary(values: list[float]) -> dict[str, float | int]:
    """Return count, median, 99th percentile and maximum in milliseconds."""
    ordered = sorted(values)
    if not ordered:
        return {"count": 0}
    ranks = {"p50": 0.5, "p99": 0.99}
    found = {
        name: ordered[min(len(ordered) - 1, int(share * len(ordered)))]
        for name, share in ranks.items()
    }
    found["max"] = ordered[-1]
    return {"count": len(ordered)} | {f"{k}_ms": round(v * 1000) for k, v in found.items()}


def report(rounds: list[Round]) -> dict[str, dict[str, float | int]]:
    """Return the figures of some rounds."""
    in_force = [at - r.accepted_at for r in rounds for at in r.in_force_at]
    old = [max(0.0, at - r.accepted_at) for r in rounds for at in r.last_old_at]
    return {
        "accepted_after_asking": summary([r.accepted_at - r.asked_at for r in rounds]),
        "in_force_after_acceptance_each_host": summary(in_force),
        "in_force_after_asking_all_hosts": summary(
            [max(r.in_force_at) - r.asked_at for r in rounds if r.in_force_at]
        ),
        "old_revision_last_used_after_acceptance": summary(old),
        "hosts_not_in_force": sum(ENTRIES - len(r.in_force_at) for r in rounds),
    }


def measure(folder: pathlib.Path, changes: int, kills: int) -> dict:
    """Run all rounds."""
    with clusters.Cluster(
        folder, entries=ENTRIES, control=LINK_DELAY, entry=LINK_DELAY
    ).start() as cluster:
        cluster.wait_for_leader()
        running = Measurement(cluster)
        running.change()
        quiet = []
        while len(quiet) < changes and running.time_left() > LIMIT_S / 2:
            quiet.append(running.change())
        killed = []
        while len(killed) < kills and running.time_left() > WAIT_S:
            lost = running.kill_leader()
            killed.append(running.change())
            cluster.start_control(lost)
            time.sleep(1.0)
        return {"quiet": report(quiet), "leader_killed": report(killed)}


def main() -> None:
    """Run the program."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--changes", type=int, default=60)
    parser.add_argument("--kills", type=int, default=8)
    parsed = parser.parse_args()
    with tempfile.TemporaryDirectory() as folder:
        print(json.dumps(measure(pathlib.Path(folder), parsed.changes, parsed.kills), indent=2))


if __name__ == "__main__":
    main()
