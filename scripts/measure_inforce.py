"""Measure how soon an accepted change is in force on seven entry hosts, also after leader kills.

Starts 3 control and 7 entry hosts with a delay of 12 ms on each link, changes a customer's key
repeatedly and polls every entry host for the key that it accepts. Prints JSON; ends within 90 s.
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

ENTRY_HOSTS = 7
LINK_DELAY_SETTING = "link_delay_ms = 12"
DEMO_DIGEST = documents.key_digest("cascade-press-demo-key")
POLL_S = 0.01
CHANGE_WAIT_S = 10.0
LIMIT_S = 75.0
# The service that is asked for does not exist: 404 shows that the customer's key was accepted.
KEY_ACCEPTED_STATUS = 404


class ChangeTimes:
    """Times of one change, on the monotonic clock in seconds.

    Attributes:
        asked_at: When the change was first sent.
        accepted_at: When a control host accepted it.
        in_force_at: For each entry host, when it first accepted the new key.
        last_old_at: For each entry host, when it last accepted the old key.
    """

    def __init__(self, asked_at: float, accepted_at: float):
        self.asked_at = asked_at
        self.accepted_at = accepted_at
        self.in_force_at: list[float] = []
        self.last_old_at: list[float] = []


class Measurement:
    """Makes changes in one cluster and times them.

    Attributes:
        cluster: Running cluster.
        revision: Revision of the last change.
        deadline: When the measurement must end, on the monotonic clock.
    """

    def __init__(self, cluster: clusters.Cluster):
        self.cluster = cluster
        self.revision = 0
        self.deadline = time.monotonic() + LIMIT_S

    def change(self) -> ChangeTimes:
        """Put the next revision in force and watch every entry host."""
        self.revision += 1
        change = ChangeTimes(time.monotonic(), 0.0)
        threads = [
            threading.Thread(target=self._poll_until_in_force, args=(host.http, change))
            for host in self.cluster.entries
        ]
        for thread in threads:
            thread.start()
        self._apply_until_accepted()
        change.accepted_at = time.monotonic()
        for thread in threads:
            thread.join()
        return change

    def kill_leader(self) -> clusters.Host:
        """Kill the leader and return it."""
        for observer in self.cluster.controls:
            name = self.cluster.leader_name(observer)
            for host in self.cluster.controls:
                if host.name == name:
                    host.process.kill()
                    return host
        raise AssertionError("no leader")

    def time_left(self) -> float:
        """Return the seconds until the measurement must end."""
        return self.deadline - time.monotonic()

    def _apply_until_accepted(self) -> None:
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

    def _poll_until_in_force(self, address: str, change: ChangeTimes) -> None:
        last_old_at = change.asked_at
        while time.monotonic() < change.asked_at + 2 * CHANGE_WAIT_S:
            if self._accepts_key(address, self.revision):
                change.in_force_at.append(time.monotonic())
                change.last_old_at.append(last_old_at)
                return
            if self._accepts_key(address, self.revision - 1):
                last_old_at = time.monotonic()
            time.sleep(POLL_S)

    def _accepts_key(self, address: str, revision: int) -> bool:
        headers = [("authorization", f"Bearer key-{revision}")]
        with contextlib.suppress(OSError, ValueError):
            answer = clusters.request(address, "POST", "/v1/services/none", headers, b"{}", 2.0)
            return answer.status == KEY_ACCEPTED_STATUS
        return False


def summarize(seconds: list[float]) -> dict[str, float | int]:
    """Return count, median, 99th percentile and maximum of seconds, in milliseconds."""
    ordered = sorted(seconds)
    if not ordered:
        return {"count": 0}
    ranks = {"p50": 0.5, "p99": 0.99}
    quantiles = {
        name: ordered[min(len(ordered) - 1, int(rank * len(ordered)))]
        for name, rank in ranks.items()
    }
    quantiles["max"] = ordered[-1]
    return {"count": len(ordered)} | {
        f"{name}_ms": round(value * 1000) for name, value in quantiles.items()
    }


def report(changes: list[ChangeTimes]) -> dict[str, dict[str, float | int]]:
    """Return the figures of several changes."""
    in_force = [at - change.accepted_at for change in changes for at in change.in_force_at]
    old_in_use = [
        max(0.0, at - change.accepted_at) for change in changes for at in change.last_old_at
    ]
    return {
        "accepted_after_asking": summarize(
            [change.accepted_at - change.asked_at for change in changes]
        ),
        "in_force_after_acceptance_each_host": summarize(in_force),
        "in_force_after_asking_all_hosts": summarize(
            [max(change.in_force_at) - change.asked_at for change in changes if change.in_force_at]
        ),
        "old_revision_last_used_after_acceptance": summarize(old_in_use),
        "hosts_not_in_force": sum(ENTRY_HOSTS - len(change.in_force_at) for change in changes),
    }


def measure(folder: pathlib.Path, changes: int, kills: int) -> dict:
    """Run all changes, without and with leader kills, and return their figures."""
    with clusters.Cluster(
        folder, entries=ENTRY_HOSTS, control=LINK_DELAY_SETTING, entry=LINK_DELAY_SETTING
    ).start() as cluster:
        cluster.wait_for_leader()
        measurement = Measurement(cluster)
        measurement.change()
        quiet = []
        while len(quiet) < changes and measurement.time_left() > LIMIT_S / 2:
            quiet.append(measurement.change())
        leader_killed = []
        while len(leader_killed) < kills and measurement.time_left() > CHANGE_WAIT_S:
            killed_host = measurement.kill_leader()
            leader_killed.append(measurement.change())
            cluster.start_control(killed_host)
            time.sleep(1.0)
        return {"quiet": report(quiet), "leader_killed": report(leader_killed)}


def main() -> None:
    """Parse arguments, measure and print."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--changes", type=int, default=60)
    parser.add_argument("--kills", type=int, default=8)
    arguments = parser.parse_args()
    with tempfile.TemporaryDirectory() as folder:
        print(
            json.dumps(measure(pathlib.Path(folder), arguments.changes, arguments.kills), indent=2)
        )


if __name__ == "__main__":
    main()
