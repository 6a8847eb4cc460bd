"""Command line of the replacements."""

import argparse
import itertools
import json
import os
import pathlib
import signal
import sys
import tempfile

from upgrade import builds, replacement

EXIT_BROKEN = 1
MAX_SHOWN = 6
# Requests that took longer are counted as having waited.
WAITED_S = 0.5


class Interruption:
    """Ends the program with clean-up, so that no process of a replacement is left.

    Attributes:
        run: The replacement in progress, or None.
        requested: Whether a signal came.
    """

    def __init__(self):
        self.run = None
        self.requested = False

    def interrupt(self, *_):
        """Handle a signal; a clean-up that has begun is not interrupted."""
        self.requested = True
        if self.run is None or not self.run.closed.is_set():
            sys.exit(EXIT_BROKEN)


def main(arguments=None):
    """Run a replacement for each combination, print a row for each and return the exit code."""
    parser = argparse.ArgumentParser(prog="upgrade", description="Replaces hosts in turn.")
    parser.add_argument(
        "--build", action="append", help=f"commit, or {builds.THIS!r}; all landings by default"
    )
    parser.add_argument("--to", default=builds.THIS, help="the later build (%(default)s)")
    parser.add_argument("--order", action="append", choices=replacement.ORDERS)
    parser.add_argument("--leader", action="append", choices=replacement.LEADERS)
    parser.add_argument("--trouble", action="append", choices=replacement.TROUBLES)
    parser.add_argument("--feature", action="append", choices=[*replacement.FEATURES, "none"])
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--entries", type=int, default=3, help="entry hosts (%(default)s)")
    parser.add_argument("--requests-per-s", type=float, default=20.0)
    parser.add_argument("--folder", help="keeps builds, data and logs; a new one by default")
    parser.add_argument("--report", help="file to which each row is added, one JSON object a line")
    parsed = parser.parse_args(arguments)
    interruption = Interruption()
    signal.signal(signal.SIGTERM, interruption.interrupt)
    folder = pathlib.Path(parsed.folder or tempfile.mkdtemp(prefix="upgrade-"))
    broken = False
    for number, (build, order, leader, trouble) in enumerate(
        itertools.product(
            parsed.build or builds.LANDINGS,
            parsed.order or replacement.ORDERS,
            parsed.leader or ["first", "last"],
            parsed.trouble or ["none"],
        )
    ):
        program = builds.program(build, folder / build)
        later = builds.program(parsed.to, folder / "later")
        if program is None or later is None:
            print(f"{build} to {parsed.to}: not run, the clone lacks it", flush=True)
            broken = True
            continue
        features = [each for each in parsed.feature or ["crashes"] if each != "none"]
        run_folder = folder / f"run-{number}"
        run_folder.mkdir(parents=True)
        row = {
            "build": build,
            "to": parsed.to,
            "order": order,
            "leader": leader,
            "trouble": trouble,
        }
        row.update(features=features, seed=parsed.seed, entries=parsed.entries)
        run = replacement.Replacement(
            run_folder,
            program,
            order,
            later=later,
            leader=leader,
            trouble=trouble,
            features=features,
            seed=parsed.seed,
            entries=parsed.entries,
            requests_per_s=parsed.requests_per_s,
        )
        interruption.run = run
        try:
            run.run()
        except Exception as error:
            run.failures.append(f"not completed: {error!r}")
        row.update(_figures(run), logs=str(run_folder))
        broken = broken or bool(run.failures)
        print(_summary(row), flush=True)
        if parsed.report:
            with open(parsed.report, "a") as report:
                report.write(json.dumps(row) + "\n")
        if interruption.requested:
            break
    return EXIT_BROKEN if broken else 0


def _figures(run):
    """Return what a replacement measured and what it broke."""
    outcomes = run.callers.outcomes if run.callers else {}
    apart = run.callers.outcomes_apart if run.callers else {}
    reasons = run.callers.reasons if run.callers else {}
    times = sorted(run.callers.times) if run.callers else []
    changes = sorted(run.operator.times) if run.operator else []
    return {
        "load": round(os.getloadavg()[0]),
        "seconds": round(run.seconds, 1),
        "outcomes": {str(status): count for status, count in outcomes.items()},
        "cut_host": {f"{run.build_name(key[0])}: {key[1]}": n for key, n in apart.items()},
        "reasons": [[run.build_name(key[0]), *key[1:], n] for key, n in reasons.items()],
        "waited": sum(time > WAITED_S for time in times),
        "request_ms": _quantiles(times),
        "change_ms": _quantiles(changes),
        "ends": len(run.ends),
        "events": [[*key, count] for key, count in run.events.items()],
        "failures": run.failures,
    }


def _quantiles(seconds):
    """Return median, 99th percentile and maximum of sorted times, in milliseconds."""
    if not seconds:
        return []
    positions = (len(seconds) // 2, int(len(seconds) * 0.99), len(seconds) - 1)
    return [round(1000 * seconds[position]) for position in positions]


def _summary(row):
    """Return a row as lines for a terminal."""
    names = (
        f"{row['build']} to {row['to']}",
        row["order"],
        f"leader {row['leader']}",
        row["trouble"],
    )
    lines = [
        f"{' | '.join(names)} | {','.join(row['features'])}: {len(row['failures'])} broken, "
        f"{row['outcomes']}, {row['seconds']} s, changes {row['change_ms']} ms, "
        f"load {row['load']}, {row['logs']}"
    ]
    if row["cut_host"]:
        lines.append(f"  cut host: {row['cut_host']}")
    lines += [f"  {failure[:240]}" for failure in row["failures"][:MAX_SHOWN]]
    lines += [f"  refused: {reason}" for reason in row["reasons"][:MAX_SHOWN]]
    lines += [f"  logged: {event}" for event in row["events"]]
    return "\n".join(lines)


if __name__ == "__main__":
    sys.exit(main())
