"""What happened to one request, from the log lines of any number of processes."""

import collections.abc
import pathlib
import typing

import msgspec

from ebonywheel import exceptions

REQUEST_EVENT = "request"
START_EVENT = "started"
# Changes of servers and routing count as context this long before the request began.
CONTEXT_MS = 10_000
MOVE_EVENTS = ("run_copied", "run_resumed", "move_failed", "copy_failed")
CONTEXT_EVENTS = ("server_changed", "moves_planned", "routing_in_force", "data_centres_out")

Line = dict[str, typing.Any]

# Beginnings of a request's outcome or reason, and what each means.
CAUSES = (
    ("refused: no routing content yet", "this host had no routing content yet"),
    ("refused: this host ends", "this host was about to end"),
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
    """What is known of one request.

    Attributes:
        cause: One sentence, or what is missing.
        lines: The lines that tell it, in order; those of one process stand in its own order.
    """

    request: str
    cause: str
    lines: list[Line]


def read_lines(paths: collections.abc.Iterable[str]) -> collections.abc.Iterator[Line]:
    """Yield the JSON lines of logs; other lines are passed over.

    Raises:
        SettingsError: A file cannot be read.
    """
    for path in paths:
        try:
            text = pathlib.Path(path).read_text("utf-8", "replace")
        except OSError as error:
            raise exceptions.SettingsError(error.strerror or "", "read log", path) from error
        for raw in text.splitlines():
            start = raw.find("{")
            if start < 0:
                continue
            try:
                yield msgspec.json.decode(raw[start:], type=Line)
            except msgspec.DecodeError:
                continue


def explain(request: str, lines: collections.abc.Iterable[Line]) -> Explanation:
    """Return what happened to a request."""
    held = list(lines)
    own = [line for line in held if line.get("request") == request]
    ends = [line for line in own if line.get("event") == REQUEST_EVENT]
    if not ends:
        return Explanation(request, _why_missing(held, own), own)
    end = ends[-1]
    context = [line for line in held if _is_context(line, end, own)]
    # Clocks of hosts may differ, so order is by host first, the one that took the request last.
    ordered = sorted(
        context + own, key=lambda line: (line.get("node") == end.get("node"), line["at_ms"])
    )
    return Explanation(request, _cause(end, own, context), ordered)


def _why_missing(held: list[Line], own: list[Line]) -> str:
    if not own:
        left_out = sum(line.get("left_out", 0) for line in held)
        return f"no line names the request; {left_out} lines were left out in these logs"
    last = own[-1]
    for line in held:
        anew = line.get("event") == START_EVENT and line["at_ms"] > last["at_ms"]
        if anew and line.get("node") == last.get("node"):
            servers = " ".join(sorted(_servers(own)))
            return f"host {last['node']} ended while it relayed the answer of {servers}"
    return "its last line is missing: the process ended before, or the line was left out"


def _is_context(line: Line, end: Line, own: list[Line]) -> bool:
    if line.get("event") not in CONTEXT_EVENTS or line.get("node") != end.get("node"):
        return False
    began = end["at_ms"] - end.get("took_ms", 0)
    if not began - CONTEXT_MS <= line["at_ms"] <= end["at_ms"]:
        return False
    return "server" not in line or line["server"] in _servers(own)


def _servers(own: list[Line]) -> set[str]:
    found: set[str] = set()
    for line in own:
        found.update(str(line.get("servers", "")).split())
        found.update(str(line[name]) for name in ("server", "source", "before") if name in line)
    return found


def _cause(end: Line, own: list[Line], context: list[Line]) -> str:
    outcome = str(end.get("outcome", ""))
    if outcome.startswith("broken"):
        return _why_broken(own, context)
    if outcome == "answered":
        return _why_answered(end)
    if outcome == "caller left" and end.get("servers") and not end.get("first_ms"):
        waited = f"its caller left after {end.get('took_ms', 0)} ms"
        return f"{waited}; server {end['servers']} had sent nothing"
    for beginning, text in CAUSES:
        if outcome.startswith(beginning):
            return text
    return f"outcome {outcome!r}"


def _why_broken(own: list[Line], context: list[Line]) -> str:
    leaving = [line for line in context if line.get("gone") or line.get("draining")]
    copies = [line for line in own if line["event"] in MOVE_EVENTS]
    if not leaving:
        return "its server broke off without having told that it leaves"
    server = leaving[-1]["server"]
    if copies:
        tried = ", ".join(f"{line['event']} {line.get('status', '')}".strip() for line in copies)
        return f"its server {server} left and the run could not be moved in time ({tried})"
    plans = [line for line in context if line["event"] == "moves_planned"]
    if plans and not plans[-1]["near_room"]:
        return f"its server {server} left, without a neighbour that had room for the run"
    return f"its server {server} left before the run's turn to be moved"


def _why_answered(end: Line) -> str:
    status = end.get("status", 0)
    if status >= 500:
        return f"its server answered {status}"
    slow = f"first part after {end['first_ms']} ms, longest pause {end['gap_ms']} ms"
    if end.get("first_ms"):
        return f"answered with {status}; {slow}"
    return f"answered with {status} after {end.get('took_ms', 0)} ms"
