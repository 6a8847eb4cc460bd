"""Measure what idle control and entry processes cost against the number of entry hosts.

For each size starts 3 control hosts and the entry hosts, lets them settle, and reads processor time
and memory from /proc and the bytes of links from /metrics. Prints JSON with slopes for each further
entry host; ends within 90 s.
"""

import argparse
import json
import os
import pathlib
import re
import sys
import tempfile
import time

ROOT = pathlib.Path(__file__).resolve().parent.parent
sys.path[:0] = [str(ROOT / "src"), str(ROOT / "tests")]

import cluster as clusters  # noqa: E402

SIZES = (7, 14, 28, 56)
WINDOW_S = 8.0
SETTLE_S = 3.0
TICKS_PER_S = os.sysconf("SC_CLK_TCK")
PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")
ROLES = ("leader", "follower", "entry")
BYTES_LINE = re.compile(r"^\w*link_bytes_(?:in|out)\w*(?:\{[^}]*\})? (\d+)", re.MULTILINE)


def processor_s(pid: int) -> float:
    """Return the processor time a process has used."""
    fields = pathlib.Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / TICKS_PER_S


def resident_mb(pid: int) -> float:
    """Return the resident memory of a process."""
    return int(pathlib.Path(f"/proc/{pid}/statm").read_text().split()[1]) * PAGE_BYTES / 1e6


def link_bytes(host: clusters.Host) -> int:
    """Return the bytes that a process's links have carried, in both directions."""
    text = clusters.request(host.http, "GET", "/metrics").body.decode()
    return sum(int(value) for value in BYTES_LINE.findall(text))


def sample(hosts: list[clusters.Host]) -> dict[str, tuple[float, int]]:
    """Return processor time and bytes of each host."""
    return {host.name: (processor_s(host.process.popen.pid), link_bytes(host)) for host in hosts}


def measure(folder: pathlib.Path, entries: int) -> dict[str, dict[str, float]]:
    """Return the figures of each role at one size."""
    folder.mkdir()
    with clusters.Cluster(folder, entries=entries).start() as cluster:
        leader = cluster.wait_for_leader()
        assert cluster.apply(clusters.example("cooperative")).status == 200
        clusters.wait_for(lambda: joined(cluster) == entries, "all entry hosts", 30.0)
        time.sleep(SETTLE_S)
        hosts = [*cluster.controls, *cluster.entries]
        started = time.monotonic()
        before = sample(hosts)
        time.sleep(WINDOW_S)
        after = sample(hosts)
        elapsed_s = time.monotonic() - started
        of_role: dict[str, list[dict[str, float]]] = {role: [] for role in ROLES}
        for host in hosts:
            role = "entry" if host in cluster.entries else "follower"
            role = "leader" if host.name == leader else role
            spent, carried = (
                b - a for a, b in zip(before[host.name], after[host.name], strict=True)
            )
            of_role[role].append(
                {
                    "core_percent": 100 * spent / elapsed_s,
                    "resident_mb": resident_mb(host.process.popen.pid),
                    "kb_per_s": carried / elapsed_s / 1000,
                }
            )
    return {role: mean(figures) for role, figures in of_role.items()}


def joined(cluster: clusters.Cluster) -> int:
    """Return how many entry hosts the leader has heard."""
    answer = cluster.read("status")
    return len(answer.json()["entry_hosts"]) if answer.status == 200 else 0


def mean(figures: list[dict[str, float]]) -> dict[str, float]:
    """Return the mean of each figure."""
    return {
        name: round(sum(held[name] for held in figures) / len(figures), 3) for name in figures[0]
    }


def slope(sizes: list[int], values: list[float]) -> float:
    """Return the least-squares slope of values over sizes."""
    middle = sum(sizes) / len(sizes)
    level = sum(values) / len(values)
    rise = sum((x - middle) * (y - level) for x, y in zip(sizes, values, strict=True))
    return round(rise / sum((x - middle) ** 2 for x in sizes), 5)


def main() -> None:
    """Run the program."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--sizes", type=int, nargs="+", default=SIZES)
    parsed = parser.parse_args()
    with tempfile.TemporaryDirectory() as folder:
        found = {size: measure(pathlib.Path(folder) / str(size), size) for size in parsed.sizes}
    slopes = {
        role: {
            name: slope(list(found), [found[size][role][name] for size in found])
            for name in ("core_percent", "resident_mb", "kb_per_s")
        }
        for role in ROLES
    }
    print(json.dumps({"sizes": found, "slope_per_entry_host": slopes}, indent=2))


if __name__ == "__main__":
    main()
