"""Counters, gauges and latency histograms, and their exposition at /metrics."""

import collections
import os
import time
import typing

from hdrh import histogram

MIN_DURATION_US = 1
MAX_DURATION_US = 3_600_000_000
SIGNIFICANT_DIGITS = 2
PERCENTILES = (50.0, 95.0, 99.0, 99.9)
PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")

Labels = tuple[tuple[str, str], ...]


class Metrics:
    """All metrics of one process, by name and labels."""

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
        """Register a gauge by the function that returns its current value."""
        self.gauges[name] = read

    def observe(self, name: str, seconds: float, **labels: str) -> None:
        """Record a duration in seconds, clamped to the histogram's range."""
        key = (name, tuple(sorted(labels.items())))
        durations = self.histograms.get(key)
        if durations is None:
            durations = histogram.HdrHistogram(MIN_DURATION_US, MAX_DURATION_US, SIGNIFICANT_DIGITS)
            self.histograms[key] = durations
        durations.record_value(min(max(int(seconds * 1e6), MIN_DURATION_US), MAX_DURATION_US))

    def render(self) -> str:
        """Return all metrics in the Prometheus text format."""
        lines = []
        for (name, labels), amount in sorted(self.counters.items()):
            lines.append(f"ebonywheel_{name}_total{_format_labels(labels)} {amount}")
        for name, read in sorted(self.gauges.items()):
            lines.append(f"ebonywheel_{name} {read():g}")
        for (name, labels), durations in sorted(self.histograms.items()):
            lines.extend(_summary_lines(name, labels, durations))
        return "\n".join(lines) + "\n"


def _resident_bytes() -> float:
    with open("/proc/self/statm", encoding="ascii") as file:
        return int(file.read().split()[1]) * PAGE_BYTES


def _summary_lines(name: str, labels: Labels, durations: histogram.HdrHistogram) -> list[str]:
    metric = f"ebonywheel_{name}_seconds"
    lines = []
    for percentile in PERCENTILES:
        value = durations.get_value_at_percentile(percentile) / 1e6
        quantile_labels = (*labels, ("quantile", f"{percentile / 100:g}"))
        lines.append(f"{metric}{_format_labels(quantile_labels)} {value:g}")
    total = durations.get_total_count()
    lines.append(
        f"{metric}_sum{_format_labels(labels)} {durations.get_mean_value() * total / 1e6:g}"
    )
    lines.append(f"{metric}_count{_format_labels(labels)} {total}")
    return lines


def _format_labels(labels: Labels) -> str:
    if not labels:
        return ""
    return "{" + ",".join(f'{key}="{_escape_label(value)}"' for key, value in labels) + "}"


def _escape_label(value: str) -> str:
    return value.replace("\\", "\\\\").replace('"', '\\"').replace("\n", "\\n")
