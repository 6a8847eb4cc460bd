"""Command line of the soak."""

import argparse
import json
import os
import pathlib
import signal
import sys
import tempfile

from soak import world

EXIT_BROKEN = 1


def main(arguments=None):
    """Run a soak, write its report and return the exit code."""
    parser = argparse.ArgumentParser(prog="soak", description="Randomized fault soak.")
    parser.add_argument("--seed", type=int, default=1, help="first seed (%(default)s)")
    parser.add_argument("--seeds", type=int, default=1, help="how many seeds (%(default)s)")
    parser.add_argument("--minutes", type=float, default=0.5, help="for each seed (%(default)s)")
    parser.add_argument("--processes", type=int, default=6, help="control and entry hosts")
    parser.add_argument("--folder", help="keeps settings, data and logs; a new one by default")
    parser.add_argument("--report", help="file for the report, in JSON")
    parsed = parser.parse_args(arguments)
    # Ends with clean-up, so that no process of the soak is left.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(EXIT_BROKEN))
    folder = pathlib.Path(parsed.folder or tempfile.mkdtemp(prefix="soak-"))
    reports = []
    for seed in range(parsed.seed, parsed.seed + parsed.seeds):
        reports.append(run(folder / f"seed-{seed}", seed, parsed.minutes, parsed.processes))
        print(summary(reports[-1]), flush=True)
    if parsed.report:
        pathlib.Path(parsed.report).write_text(json.dumps(reports, indent=1))
    return EXIT_BROKEN if any(report["broken"] for report in reports) else 0


def run(folder, seed, minutes, processes):
    """Run one seed and return its report."""
    folder.mkdir(parents=True)
    soak = world.World(folder, seed, processes)
    try:
        soak.start()
        soak.run(60 * minutes)
    finally:
        soak.close()
    return {
        "seed": seed,
        "minutes": minutes,
        "processes": processes,
        "folder": str(folder),
        "load": round(os.getloadavg()[0], 1),
        "served": soak.ledger.served(),
        "outcomes": dict(sorted(soak.ledger.outcomes.items())),
        "actions": soak.actions,
        "broken": [breach.report(folder) for breach in soak.ledger.breaches],
    }


def summary(report):
    """Return a report as lines for a terminal."""
    head = (
        f"seed {report['seed']}: {len(report['broken'])} broken, {report['served']} served, "
        f"{len(report['actions'])} faults, load {report['load']}, logs in {report['folder']}"
    )
    lines = [
        f"  {b['at_s']} s {b['promise']}: {b['request']} {b['detail']}" for b in report["broken"]
    ]
    return "\n".join([head, *lines])


if __name__ == "__main__":
    sys.exit(main())
