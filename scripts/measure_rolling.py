#!/usr/bin/env python3
"""Restart all entry and control hosts in turn under load and print the lost requests as JSON.

Callers send through a load balancer that learns of readiness with a delay. They send a request to
another host only if it was "not run", and resume broken streams. Each round restarts every host
once.
"""

import argparse
import json
import os
import pathlib
import sys
import tempfile
import time

ROOT = pathlib.Path(__file__).resolve().parent.parent
sys.path[:0] = [str(ROOT / "src"), str(ROOT / "tests")]
# The started processes must import the package from this source tree too.
os.environ["PYTHONPATH"] = str(ROOT / "src")

import callload  # noqa: E402
import cluster  # noqa: E402

DRAIN_GRACE_S = 0.6


def is_ready(host: cluster.Host) -> bool:
    """Return whether an entry host reports that it takes new requests."""
    try:
        return cluster.request(host.http, "GET", "/readyz").status == 200
    except OSError:
        return False


def measure(rounds: int, threads: int, folder: pathlib.Path) -> dict:
    """Run the rounds and return the figures."""
    with cluster.Cluster(
        folder, entry=f"drain_grace_s = {DRAIN_GRACE_S}"
    ).start() as running_cluster:
        running_cluster.wait_for_leader()
        running_cluster.apply(cluster.example("cooperative"))
        cluster.start_fleet(running_cluster, 6, 3)
        callers = callload.Callers(running_cluster.entries, threads).start()
        started_at = time.monotonic()
        exit_codes = []
        for _ in range(rounds):
            for host in running_cluster.entries:
                exit_codes.append(
                    callload.restart(running_cluster, host, running_cluster.start_entry)
                )
                cluster.wait_for(lambda host=host: is_ready(host), "ready again")
            for host in running_cluster.controls:
                exit_codes.append(
                    callload.restart(running_cluster, host, running_cluster.start_control)
                )
                running_cluster.wait_for_leader()
        elapsed_s = time.monotonic() - started_at
        callers.end()
        return {
            "rounds": rounds,
            "restarts": len(exit_codes),
            "exit_codes": sorted(set(exit_codes)),
            "seconds": round(elapsed_s, 1),
            "done": callers.done,
            "asked_elsewhere": callers.retried,
            "lost": [f"{lost.kind} {lost.what}" for lost in callers.lost],
            "bookings_run_twice": sum(1 for run in callers.bookings.values() if run > 1),
        }


def main() -> None:
    """Parse arguments, measure and print."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--rounds", type=int, default=3, help="times every host is restarted")
    parser.add_argument("--threads", type=int, default=6, help="callers at once")
    arguments = parser.parse_args()
    with tempfile.TemporaryDirectory() as folder:
        print(
            json.dumps(measure(arguments.rounds, arguments.threads, pathlib.Path(folder)), indent=2)
        )


if __name__ == "__main__":
    main()
