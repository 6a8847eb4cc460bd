"""A request's cause is told from log lines, or what is missing."""

import json

import pytest

from ebonywheel import exceptions, explain, operator


def line(event, at_ms, **fields):
    return {"at_ms": at_ms, "node": "e1", "event": event, "part": "entry", **fields}


def request(outcome, **fields):
    return line("request", 5_000, request="r1", took_ms=2_000, outcome=outcome, **fields)


def cause(*lines):
    return explain.explain("r1", lines).cause


class TestCauses:
    @pytest.mark.parametrize(
        ("outcome", "text"),
        [
            ("refused: no routing content yet (route, r1)", "no routing content"),
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
    def test_of_requests_that_were_not_served(self, outcome, text):
        assert text in cause(request(outcome))

    def test_a_servers_failure_is_told_from_an_answer(self):
        assert "answered 500" in cause(request("answered", status=500))
        late = cause(request("answered", status=200, first_ms=2_100, gap_ms=40))
        assert "2100 ms" in late

    def test_a_stream_broken_by_a_server_that_left_alone(self):
        told = cause(
            line("server_changed", 3_500, server="s1", gone=False, draining=True),
            line("moves_planned", 3_501, server="s1", near_room=0),
            request("broken: closed", servers="s1"),
        )
        assert "s1 left" in told and "neighbour" in told

    def test_a_stream_whose_move_failed(self):
        told = cause(
            line("server_changed", 3_500, server="s1", gone=True, draining=False),
            line("run_copied", 4_000, request="r1", source="s1", status=503),
            request("broken: closed", servers="s1"),
        )
        assert "could not be moved" in told and "503" in told

    def test_a_stream_whose_server_died_without_a_word(self):
        assert "without having told" in cause(request("broken: closed", servers="s1"))

    def test_a_caller_that_left_without_a_first_event(self):
        told = cause(request("caller left", servers="s1", first_ms=0))
        assert "s1 had sent nothing" in told and "2000 ms" in told
        assert "nothing" not in cause(request("caller left", servers="s1", first_ms=300))

    def test_what_concerns_other_servers_is_left_out(self):
        found = explain.explain(
            "r1",
            [
                line("server_changed", 3_500, server="s2", gone=True, draining=False),
                request("broken: closed", servers="s1"),
            ],
        )
        assert [each["event"] for each in found.lines] == ["request"]


class TestMissing:
    def test_a_request_that_no_line_names(self):
        told = cause(line("request", 1, request="r2", outcome="answered", left_out=9))
        assert "no line names" in told and "9 lines" in told

    def test_a_request_whose_host_started_anew(self):
        """Pattern: a host loses power with streams on it; its last line never comes."""
        chosen = line("server_chosen", 1_000, request="r1", server="s1")
        told = cause(chosen, line("started", 9_000), line("started", 9_500, node="e2"))
        assert "e1 ended" in told and "s1" in told

    def test_a_request_whose_process_ended(self):
        assert "last line is missing" in cause(line("run_copied", 1, request="r1", source="s"))


class TestCommand:
    def test_reads_several_logs_and_prints_the_cause(self, tmp_path, capsys, monkeypatch):
        first = tmp_path / "first"
        first.write_text("12.5 e1 " + json.dumps(request("timeout")) + "\nnot json {\n")
        second = tmp_path / "second"
        second.write_text(json.dumps(line("started", 1)) + "\n")
        monkeypatch.setattr("sys.argv", ["ebonywheel", "explain", "r1", str(first), str(second)])
        with pytest.raises(SystemExit) as ended:
            operator.main()
        assert ended.value.code == 0
        assert "cause: its time ran out" in capsys.readouterr().out

    def test_a_log_that_cannot_be_read_is_named(self, tmp_path):
        with pytest.raises(exceptions.SettingsError, match=".") as error:
            list(explain.read_lines([str(tmp_path / "none")]))
        assert "none" in str(error.value)
