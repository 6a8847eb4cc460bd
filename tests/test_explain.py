"""Explaining a request's outcome from log lines, also where some are missing."""

import json

import pytest

from ebonywheel import exceptions, explain, operator


def log_line(event, at_ms, **fields):
    return {"at_ms": at_ms, "node": "e1", "event": event, "part": "entry", **fields}


def final_line(outcome, **fields):
    return log_line("request", 5_000, request="r1", took_ms=2_000, outcome=outcome, **fields)


def cause(*lines):
    return explain.explain("r1", lines).cause


class TestCauses:
    @pytest.mark.parametrize(
        ("outcome", "text"),
        [
            ("refused: no routing content yet (route, r1)", "no routing content"),
            ("refused: quarantined: such requests crash servers (forward, r1)", "servers crashed"),
            ("refused: servers are at their limits (forward, r1)", "limit that was used up"),
            ("refused: no server with room (forward, r1)", "full"),
            ("refused: no server (forward, r1)", "no server of the service"),
            ("refused: this host ends (route, r1)", "about to end"),
            ("502: no answer in time (wait, 10.0.0.1:1)", "did not answer in time"),
            ("502: connection ended (wait, 10.0.0.1:1)", "ended or broke off"),
            ("404: no route (route, r1)", "no route"),
            ("401: unknown key (identify, r1)", "no customer"),
            ("timeout", "time ran out"),
            ("caller left", "caller left"),
        ],
    )
    def test_unserved_request(self, outcome, text):
        assert text in cause(final_line(outcome))

    def test_failure_of_the_server_differs_from_a_slow_answer(self):
        assert "answered 500" in cause(final_line("answered", status=500))
        slow = cause(final_line("answered", status=200, first_ms=2_100, gap_ms=40))
        assert "2100 ms" in slow

    def test_request_that_waited_in_vain_or_until_it_had_a_place(self):
        wait = log_line("waited", 4_000, request="r1", waited_ms=900, forecast_ms=350, waiting=2)
        text = cause(wait, final_line("refused: no server with room (forward, r1)"))
        assert "900 ms" in text and "350 ms foretold" in text and "2 others" in text
        answered = final_line("answered", status=200, first_ms=2_100, gap_ms=40)
        assert "place for 900 ms" in cause(wait, answered)

    def test_stream_broken_by_a_leaving_server_without_a_neighbour(self):
        text = cause(
            log_line("server_changed", 3_500, server="s1", gone=False, draining=True),
            log_line("moves_planned", 3_501, server="s1", near_room=0),
            final_line("broken: closed", servers="s1"),
        )
        assert "s1 left" in text and "neighbour" in text

    def test_stream_whose_move_failed(self):
        text = cause(
            log_line("server_changed", 3_500, server="s1", gone=True, draining=False),
            log_line("run_copied", 4_000, request="r1", source="s1", status=503),
            final_line("broken: closed", servers="s1"),
        )
        assert "could not be moved" in text and "503" in text

    def test_stream_whose_server_did_not_stop_its_run(self):
        text = cause(
            log_line("server_changed", 3_500, server="s1", gone=False, draining=True),
            log_line("run_not_stopped", 8_000, request="r1", server="s1", refused=True),
            final_line("broken: closed", servers="s1"),
        )
        assert "s1 did not confirm" in text

    def test_stream_whose_server_crashed(self):
        crash = log_line("server_crashed", 3_500, server="s1", requests=2, at_beginning=1)
        assert "s1 crashed" in cause(crash, final_line("broken: closed", servers="s1"))

    def test_stream_whose_server_broke_off_without_notice(self):
        assert "without having told" in cause(final_line("broken: closed", servers="s1"))

    def test_caller_that_left_before_the_first_event(self):
        text = cause(final_line("caller left", servers="s1", first_ms=0))
        assert "s1 had sent nothing" in text and "2000 ms" in text
        assert "nothing" not in cause(final_line("caller left", servers="s1", first_ms=300))

    def test_lines_of_other_servers_are_left_out(self):
        explanation = explain.explain(
            "r1",
            [
                log_line("server_changed", 3_500, server="s2", gone=True, draining=False),
                final_line("broken: closed", servers="s1"),
            ],
        )
        assert [line["event"] for line in explanation.lines] == ["request"]


class TestMissingLines:
    def test_request_that_no_line_names(self):
        text = cause(log_line("request", 1, request="r2", outcome="answered", left_out=9))
        assert "no line names" in text and "9 lines" in text

    def test_request_whose_host_restarted(self):
        """A host that loses power while it streams never logs the final line of its requests."""
        server_chosen = log_line("server_chosen", 1_000, request="r1", server="s1")
        text = cause(
            server_chosen, log_line("started", 9_000), log_line("started", 9_500, node="e2")
        )
        assert "e1 ended" in text and "s1" in text

    def test_request_whose_process_ended(self):
        assert "last line is missing" in cause(log_line("run_copied", 1, request="r1", source="s"))


class TestCommand:
    def test_reads_several_logs_and_prints_the_cause(self, tmp_path, capsys, monkeypatch):
        first = tmp_path / "first"
        first.write_text("12.5 e1 " + json.dumps(final_line("timeout")) + "\nnot json {\n")
        second = tmp_path / "second"
        second.write_text(json.dumps(log_line("started", 1)) + "\n")
        monkeypatch.setattr("sys.argv", ["ebonywheel", "explain", "r1", str(first), str(second)])
        with pytest.raises(SystemExit) as exit_info:
            operator.main()
        assert exit_info.value.code == 0
        assert "cause: its time ran out" in capsys.readouterr().out

    # Guards against a line that was torn when its process was killed, and is lost without a word.
    def test_a_line_that_cannot_be_read_is_named(self, tmp_path, capsys, monkeypatch):
        log = tmp_path / "log"
        final = json.dumps(final_line("timeout"))
        log.write_text(f"other output\n{final[:40]}{final}\n{final}\n{final[:40]}")
        monkeypatch.setattr("sys.argv", ["ebonywheel", "explain", "r1", str(log)])
        with pytest.raises(SystemExit) as exit_info:
            operator.main()
        printed = capsys.readouterr().out
        assert exit_info.value.code == 0 and "cause: its time ran out" in printed
        assert [line for line in printed.splitlines() if "not readable" in line] == [
            f"passed over, not readable: {log}:{number}" for number in (2, 4)
        ]

    def test_unreadable_log_is_named(self, tmp_path):
        with pytest.raises(exceptions.SettingsError, match=".") as error_info:
            explain.read_logs([str(tmp_path / "none")])
        assert "none" in str(error_info.value)
