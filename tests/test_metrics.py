"""Metrics of a process and their text format."""

from ebonywheel import metrics


class TestRender:
    def test_counters_gauges_and_histograms_are_rendered(self):
        process_metrics = metrics.Metrics()
        process_metrics.count("requests", service="plan")
        process_metrics.count("requests", 2, service="plan")
        process_metrics.gauge("open", lambda: 3)
        for milliseconds in range(1, 101):
            process_metrics.observe("gap", milliseconds / 1000)
        text = process_metrics.render()
        assert 'ebonywheel_requests_total{service="plan"} 3' in text
        assert "ebonywheel_open 3" in text
        assert "ebonywheel_gap_seconds_count 100" in text
        median = next(line for line in text.splitlines() if 'quantile="0.5"' in line)
        assert 0.049 <= float(median.rpartition(" ")[2]) <= 0.051

    def test_label_values_are_escaped(self):
        process_metrics = metrics.Metrics()
        process_metrics.count("requests", service='a"} 1\nebonywheel_forged 9')
        lines = [line for line in process_metrics.render().splitlines() if "requests" in line]
        assert len(lines) == 1

    def test_out_of_range_durations_are_clamped(self):
        process_metrics = metrics.Metrics()
        process_metrics.observe("gap", 0.0)
        process_metrics.observe("gap", 1e9)
        assert "ebonywheel_gap_seconds_count 2" in process_metrics.render()
