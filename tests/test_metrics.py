"""Figures of a process and their exposition."""

from ebonywheel import metrics


class TestRender:
    def test_counters_gauges_and_histograms_are_shown(self):
        held = metrics.Metrics()
        held.count("requests", service="plan")
        held.count("requests", 2, service="plan")
        held.gauge("open", lambda: 3)
        for milliseconds in range(1, 101):
            held.observe("gap", milliseconds / 1000)
        text = held.render()
        assert 'ebonywheel_requests_total{service="plan"} 3' in text
        assert "ebonywheel_open 3" in text
        assert "ebonywheel_gap_seconds_count 100" in text
        median = next(line for line in text.splitlines() if 'quantile="0.5"' in line)
        assert 0.049 <= float(median.rpartition(" ")[2]) <= 0.051

    def test_label_values_cannot_break_the_format(self):
        held = metrics.Metrics()
        held.count("requests", service='a"} 1\nebonywheel_forged 9')
        lines = [line for line in held.render().splitlines() if "requests" in line]
        assert len(lines) == 1

    def test_out_of_range_durations_are_kept_at_the_edges(self):
        held = metrics.Metrics()
        held.observe("gap", 0.0)
        held.observe("gap", 1e9)
        assert "ebonywheel_gap_seconds_count 2" in held.render()
