#!/usr/bin/env python3
"""Restart all entry and control hosts in turn under load and print what was lost as JSON.

Callers stand behind a balancer that learns of readiness a moment late; they ask elsewhere only
what was "not run" and resume their streams. Each round restarts every host once.
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
# The processes that are started must be of this tree too.
os.environ["PYTHONPATH"] = str(ROOT / "src")

import callload  # noqa: E402
import cluster  # noqa: E402

GRACE_S = 0.6


def ready(host: cluster.Host) -> bool:
    """Return whether an entry host would be sent new work."""
    try:
        return cluster.request(host.http, "GET", "/readyz").status == 200
    except OSError:
        return False


def measure(rounds: int, threads: int, folder: pathlib.Path) -> dict:
    """Run the rounds and return the figures."""
    with cluster.Cluster(folder, entry=f"drain_grace_s = {GRACE_S}").start() as made:
        made.wait_for_leader()
        made.apply(cluster.example("cooperative"))
        cluster.start_fleet(made, 6, 3)
        callers = callload.Callers(made.entries, threads).start()
        began = time.monotonic()
        codes = []
        for _ in range(rounds):
            for host in made.entries:
                codes.append(callload.restart(made, host, made.start_entry))
                cluster.wait_for(lambda host=host: ready(host), "ready again")
            for host in made.controls:
                codes.append(callload.restart(made, host, made.start_control))
                made.wait_for_leader()
        elapsed = time.monotonic() - began
        callers.end()
        return {
            "rounds": rounds,
            "restarts": len(codes),
            "exit_codes": sorted(set(codes)),
            "seconds": round(elapsed, 1),
            "done": callers.done,
            "asked_elsewhere": callers.retried,
            "lost": [f"{one.kind} {one.what}" for one in callers.lost],
            "bookings_run_twice": sum(1 for run in callers.bookings.values() if run > 1),
        }


def main() -> None:
    """Parse arguments, measure and print."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--rounds", type=int, default=3, help="times every host is restarted")
    parser.add_argument("--threads", type=int, default=6, help="callers at once")
    parsed = parser.parse_args()
    with tempfile.TemporaryDirectory() as folder:
        print(json.dumps(measure(parsed.rounds, parsed.threads, pathlib.Path(folder)), indent=2))


if __name__ == "__main__":
    main()
