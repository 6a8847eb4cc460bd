"""Explains what happened to one request, from the log lines of any number of processes."""

import collections.abc
import pathlib
import typing

import msgspec

from ebonywheel import exceptions

REQUEST_EVENT = "request"
START_EVENT = "started"
WAIT_EVENT = "waited"
# Server and routing changes this long before a request began may have caused its outcome.
CONTEXT_WINDOW_MS = 10_000
MOVE_EVENTS = ("run_copied", "run_resumed", "move_failed", "copy_failed")
NOT_STOPPED_EVENT = "run_not_stopped"
CONTEXT_EVENTS = (
    "server_changed",
    "server_crashed",
    "moves_planned",
    "routing_in_force",
    "data_centres_out",
)

LogLine = dict[str, typing.Any]

# Prefixes of a request's outcome and the cause each stands for; the first that matches counts.
CAUSE_BY_PREFIX = (
    ("refused: no routing content yet", "this host had no routing content yet"),
    ("refused: this host ends", "this host was about to end"),
    (
        "refused: quarantined",
        "servers crashed under requests with a part of its prompt, or under it",
    ),
    (
        "refused: servers are at their limits",
        "all servers left had stated a limit that was used up",
    ),
    ("refused: no server with room", "every engine was full or had too many prompts to read"),
    ("refused: no server", "no server of the service was in service"),
    ("refused: refused by", "the servers refused it as not run"),
    ("refused", "it was refused as not run"),
    ("404", "no route had its host and path"),
    ("401", "no customer held its key"),
    ("400", "the request was malformed"),
    ("413", "its body was over the limit"),
    ("502: no answer in time", "its server did not answer in time"),
    ("502", "its server ended or broke off after the request was sent"),
    ("504", "its time ran out"),
    ("timeout", "its time ran out"),
    ("caller left", "its caller left"),
    ("fault", "a fault in this program"),
)


class Explanation(msgspec.Struct):
    """Cause of a request's outcome and the log lines that show it.

    Attributes:
        request: Id of the request.
        cause: One sentence; without the request's final line, what is missing.
        lines: Lines of the request and its context, by time; the lines of the host that took the
            request come last.
        passed_over: File and number of each line that could not be read.
    """

    request: str
    cause: str
    lines: list[LogLine]
    passed_over: list[str] = []


class LogContent(msgspec.Struct):
    """What was read from some log files.

    Attributes:
        lines: Their JSON lines.
        passed_over: File and number of each line that looks like one but cannot be decoded.
    """

    lines: list[LogLine] = []
    passed_over: list[str] = []


def read_logs(paths: collections.abc.Iterable[str]) -> LogContent:
    """Read the JSON lines of log files; lines without an opening brace are other output.

    Raises:
        SettingsError: A file cannot be read.
    """
    content = LogContent()
    for path in paths:
        try:
            text = pathlib.Path(path).read_text("utf-8", "replace")
        except OSError as error:
            raise exceptions.SettingsError(error.strerror or "", "read log", path) from error
        for number, text_line in enumerate(text.splitlines(), start=1):
            start = text_line.find("{")
            if start < 0:
                continue
            try:
                content.lines.append(msgspec.json.decode(text_line[start:], type=LogLine))
            except msgspec.DecodeError:
                content.passed_over.append(f"{path}:{number}")
    return content


def explain(request: str, lines: collections.abc.Iterable[LogLine]) -> Explanation:
    """Explain the outcome of a request.

    Args:
        request: Id of the request.
        lines: Log lines of the processes that may have handled it.
    """
    all_lines = list(lines)
    request_lines = [line for line in all_lines if line.get("request") == request]
    final_lines = [line for line in request_lines if line.get("event") == REQUEST_EVENT]
    if not final_lines:
        return Explanation(request, _explain_missing(all_lines, request_lines), request_lines)
    final_line = final_lines[-1]
    context = [line for line in all_lines if _is_context(line, final_line, request_lines)]
    # Hosts' clocks may differ, so lines are not merged by time: those of the host that took the
    # request come last.
    ordered = sorted(
        context + request_lines,
        key=lambda line: (line.get("node") == final_line.get("node"), line["at_ms"]),
    )
    return Explanation(request, _find_cause(final_line, request_lines, context), ordered)


def _explain_missing(all_lines: list[LogLine], request_lines: list[LogLine]) -> str:
    if not request_lines:
        left_out = sum(line.get("left_out", 0) for line in all_lines)
        return f"no line names the request; {left_out} lines were left out in these logs"
    last_line = request_lines[-1]
    for line in all_lines:
        restarted = line.get("event") == START_EVENT and line["at_ms"] > last_line["at_ms"]
        if restarted and line.get("node") == last_line.get("node"):
            servers = " ".join(sorted(_servers_named(request_lines)))
            return f"host {last_line['node']} ended while it relayed the answer of {servers}"
    return "its last line is missing: the process ended before, or the line was left out"


def _is_context(line: LogLine, final_line: LogLine, request_lines: list[LogLine]) -> bool:
    if line.get("event") not in CONTEXT_EVENTS or line.get("node") != final_line.get("node"):
        return False
    began_ms = final_line["at_ms"] - final_line.get("took_ms", 0)
    if not began_ms - CONTEXT_WINDOW_MS <= line["at_ms"] <= final_line["at_ms"]:
        return False
    return "server" not in line or line["server"] in _servers_named(request_lines)


def _servers_named(request_lines: list[LogLine]) -> set[str]:
    names: set[str] = set()
    for line in request_lines:
        names.update(str(line.get("servers", "")).split())
        names.update(str(line[field]) for field in ("server", "source", "before") if field in line)
    return names


def _find_cause(final_line: LogLine, request_lines: list[LogLine], context: list[LogLine]) -> str:
    outcome = str(final_line.get("outcome", ""))
    if outcome.startswith("broken"):
        return _explain_broken(request_lines, context)
    waits = [line for line in request_lines if line.get("event") == WAIT_EVENT]
    if outcome == "answered":
        waited_ms = sum(line.get("waited_ms", 0) for line in waits)
        waited = f"; it waited for a place for {waited_ms} ms" if waited_ms else ""
        return _explain_answered(final_line) + waited
    if waits and outcome.startswith("refused: no server with room"):
        return _explain_wait(waits)
    if outcome == "caller left" and final_line.get("servers") and not final_line.get("first_ms"):
        waited = f"its caller left after {final_line.get('took_ms', 0)} ms"
        return f"{waited}; server {final_line['servers']} had sent nothing"
    for prefix, text in CAUSE_BY_PREFIX:
        if outcome.startswith(prefix):
            return text
    return f"outcome {outcome!r}"


def _explain_broken(request_lines: list[LogLine], context: list[LogLine]) -> str:
    not_stopped = [line for line in request_lines if line["event"] == NOT_STOPPED_EVENT]
    if not_stopped:
        return (
            f"its server {not_stopped[-1]['server']} did not confirm that it stopped the run, "
            "and may have worked on"
        )
    departures = [line for line in context if line.get("gone") or line.get("draining")]
    moves = [line for line in request_lines if line["event"] in MOVE_EVENTS]
    crashes = [line for line in context if line["event"] == "server_crashed"]
    if crashes:
        return f"its server {crashes[-1]['server']} crashed"
    if not departures:
        return "its server broke off without having told that it leaves"
    server = departures[-1]["server"]
    if moves:
        tried = ", ".join(f"{line['event']} {line.get('status', '')}".strip() for line in moves)
        return f"its server {server} left and the run could not be moved in time ({tried})"
    plans = [line for line in context if line["event"] == "moves_planned"]
    if plans and not plans[-1]["near_room"]:
        return f"its server {server} left, without a neighbour that had room for the run"
    return f"its server {server} left before the run's turn to be moved"


def _explain_wait(waits: list[LogLine]) -> str:
    waited_ms = sum(line.get("waited_ms", 0) for line in waits)
    last = waits[-1]
    forecast_ms = last.get("forecast_ms", -1)
    foretold = "without a forecast" if forecast_ms < 0 else f"with {forecast_ms} ms foretold"
    return (
        "every engine was full or had too many prompts to read: "
        f"it waited for {waited_ms} ms, {foretold}, among {last.get('waiting', 0)} others"
    )


def _explain_answered(final_line: LogLine) -> str:
    status = final_line.get("status", 0)
    if status >= 500:
        return f"its server answered {status}"
    pace = f"first part after {final_line['first_ms']} ms, longest pause {final_line['gap_ms']} ms"
    if final_line.get("first_ms"):
        return f"answered with {status}; {pace}"
    return f"answered with {status} after {final_line.get('took_ms', 0)} ms"
