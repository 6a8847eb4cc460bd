"""Measure processor time, memory and link traffic of idle hosts, by number of entry hosts.

For each size starts 3 control hosts and the entry hosts, lets them settle, and reads processor time
and memory from /proc and the bytes sent over links from /metrics. Prints JSON with the increase per
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

ENTRY_HOST_COUNTS = (7, 14, 28, 56)
WINDOW_S = 8.0
SETTLE_S = 3.0
TICKS_PER_S = os.sysconf("SC_CLK_TCK")
PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")
ROLES = ("leader", "follower", "entry")
LINK_BYTES_METRIC = re.compile(r"^\w*link_bytes_(?:in|out)\w*(?:\{[^}]*\})? (\d+)", re.MULTILINE)


def processor_time_s(pid: int) -> float:
    """Return the processor time that a process has used, in seconds."""
    fields = pathlib.Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / TICKS_PER_S


def resident_mb(pid: int) -> float:
    """Return the resident memory of a process in megabytes."""
    return int(pathlib.Path(f"/proc/{pid}/statm").read_text().split()[1]) * PAGE_BYTES / 1e6


def link_bytes(host: clusters.Host) -> int:
    """Return the bytes that a host has sent and received over its links."""
    text = clusters.request(host.http, "GET", "/metrics").body.decode()
    return sum(int(value) for value in LINK_BYTES_METRIC.findall(text))


def sample(hosts: list[clusters.Host]) -> dict[str, tuple[float, int]]:
    """Return the processor time and link bytes of each host, by name."""
    return {
        host.name: (processor_time_s(host.process.popen.pid), link_bytes(host)) for host in hosts
    }


def measure(folder: pathlib.Path, entries: int) -> dict[str, dict[str, float]]:
    """Return the mean figures of each role with a number of entry hosts."""
    folder.mkdir()
    with clusters.Cluster(folder, entries=entries).start() as cluster:
        leader = cluster.wait_for_leader()
        assert cluster.apply(clusters.example("cooperative")).status == 200
        clusters.wait_for(lambda: entry_host_count(cluster) == entries, "all entry hosts", 30.0)
        time.sleep(SETTLE_S)
        hosts = [*cluster.controls, *cluster.entries]
        started_at = time.monotonic()
        before = sample(hosts)
        time.sleep(WINDOW_S)
        after = sample(hosts)
        elapsed_s = time.monotonic() - started_at
        figures_by_role: dict[str, list[dict[str, float]]] = {role: [] for role in ROLES}
        for host in hosts:
            role = "entry" if host in cluster.entries else "follower"
            role = "leader" if host.name == leader else role
            spent_s, sent_bytes = (
                end - start for start, end in zip(before[host.name], after[host.name], strict=True)
            )
            figures_by_role[role].append(
                {
                    "core_percent": 100 * spent_s / elapsed_s,
                    "resident_mb": resident_mb(host.process.popen.pid),
                    "kb_per_s": sent_bytes / elapsed_s / 1000,
                }
            )
    return {role: mean(figures) for role, figures in figures_by_role.items()}


def entry_host_count(cluster: clusters.Cluster) -> int:
    """Return how many entry hosts the control hosts list."""
    answer = cluster.read("status")
    return len(answer.json()["entry_hosts"]) if answer.status == 200 else 0


def mean(figures: list[dict[str, float]]) -> dict[str, float]:
    """Return the mean of each named figure."""
    return {
        name: round(sum(figure[name] for figure in figures) / len(figures), 3)
        for name in figures[0]
    }


def slope(sizes: list[int], values: list[float]) -> float:
    """Return the least-squares slope of values over sizes."""
    mean_size = sum(sizes) / len(sizes)
    mean_value = sum(values) / len(values)
    covariance_sum = sum(
        (size - mean_size) * (value - mean_value) for size, value in zip(sizes, values, strict=True)
    )
    return round(covariance_sum / sum((size - mean_size) ** 2 for size in sizes), 5)


def main() -> None:
    """Parse arguments, measure and print."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--sizes", type=int, nargs="+", default=ENTRY_HOST_COUNTS)
    arguments = parser.parse_args()
    with tempfile.TemporaryDirectory() as folder:
        figures = {
            size: measure(pathlib.Path(folder) / str(size), size) for size in arguments.sizes
        }
    slopes = {
        role: {
            name: slope(list(figures), [figures[size][role][name] for size in figures])
            for name in ("core_percent", "resident_mb", "kb_per_s")
        }
        for role in ROLES
    }
    print(json.dumps({"sizes": figures, "slope_per_entry_host": slopes}, indent=2))


if __name__ == "__main__":
    main()
