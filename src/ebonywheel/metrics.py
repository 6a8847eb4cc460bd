"""Counters, gauges and latency histograms, and their exposition at /metrics."""

import collections
import os
import time
import typing

from hdrh import histogram

LOWEST_US = 1
HIGHEST_US = 3_600_000_000
SIGNIFICANT_DIGITS = 2
QUANTILES = (50.0, 95.0, 99.0, 99.9)
PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")

Labels = tuple[tuple[str, str], ...]


class Metrics:
    """All figures of one process, kept by name and labels."""

    def __init__(self):
        self.counters: collections.Counter[tuple[str, Labels]] = collections.Counter()
        self.gauges: dict[str, typing.Callable[[], float]] = {}
        self.histograms: dict[tuple[str, Labels], histogram.HdrHistogram] = {}
        self.gauge("process_cpu_seconds", time.process_time)
        self.gauge("process_resident_bytes", _resident_bytes)

    def count(self, name: str, amount: int = 1, **labels: str) -> None:
        """Add to a counter."""
        self.counters[name, tuple(sorted(labels.items()))] += amount

    def value(self, name: str, **labels: str) -> int:
        """Return a counter's value."""
        return self.counters[name, tuple(sorted(labels.items()))]

    def gauge(self, name: str, read: typing.Callable[[], float]) -> None:
        """Register a function that is read at each exposition."""
        self.gauges[name] = read

    def observe(self, name: str, seconds: float, **labels: str) -> None:
        """Record a duration in seconds."""
        key = (name, tuple(sorted(labels.items())))
        held = self.histograms.get(key)
        if held is None:
            held = histogram.HdrHistogram(LOWEST_US, HIGHEST_US, SIGNIFICANT_DIGITS)
            self.histograms[key] = held
        held.record_value(min(max(int(seconds * 1e6), LOWEST_US), HIGHEST_US))

    def render(self) -> str:
        """Return all figures in the Prometheus text format."""
        lines = []
        for (name, labels), amount in sorted(self.counters.items()):
            lines.append(f"ebonywheel_{name}_total{_labels(labels)} {amount}")
        for name, read in sorted(self.gauges.items()):
            lines.append(f"ebonywheel_{name} {read():g}")
        for (name, labels), held in sorted(self.histograms.items()):
            lines.extend(_summary(name, labels, held))
        return "\n".join(lines) + "\n"


def _resident_bytes() -> float:
    with open("/proc/self/statm", encoding="ascii") as file:
        return int(file.read().split()[1]) * PAGE_BYTES


def _summary(name: str, labels: Labels, held: histogram.HdrHistogram) -> list[str]:
    base = f"ebonywheel_{name}_seconds"
    lines = []
    for quantile in QUANTILES:
        value = held.get_value_at_percentile(quantile) / 1e6
        quantile_labels = (*labels, ("quantile", f"{quantile / 100:g}"))
        lines.append(f"{base}{_labels(quantile_labels)} {value:g}")
    total = held.get_total_count()
    lines.append(f"{base}_sum{_labels(labels)} {held.get_mean_value() * total / 1e6:g}")
    lines.append(f"{base}_count{_labels(labels)} {total}")
    return lines


def _labels(labels: Labels) -> str:
    if not labels:
        return ""
    return "{" + ",".join(f'{key}="{_escape(value)}"' for key, value in labels) + "}"


def _escape(value: str) -> str:
    return value.replace("\\", "\\\\").replace('"', '\\"').replace("\n", "\\n")
