"""What the operators' command line prints for people."""

import datetime
import typing

from ebonywheel import commands, documentdiff, explain

Rows = list[list[typing.Any]]


def outcome(value: commands.AnyOutcome) -> str:
    """Return one line for a command's outcome."""
    match value:
        case commands.Accepted(revision=0):
            return f"accepted at index {value.index}"
        case commands.Accepted():
            return f"accepted: revision {value.previous} -> {value.revision}"
        case commands.Conflict():
            return (
                f"conflict: revision {value.revision} is in force, changed by {value.winner} "
                f"(operation {value.operation})"
            )
        case commands.Refused():
            return f"refused: {value.text} ({value.code})"
        case commands.OrderIssued():
            return f"order issued with fencing number {value.sequence}"
    return type(value).__name__


def explanation(value: explain.Explanation) -> str:
    """Return a request's time line and cause."""
    rows = []
    for line in value.lines:
        rest = {
            name: held
            for name, held in line.items()
            if name not in ("at_ms", "node", "event", "level", "part", "request")
        }
        fields = " ".join(f"{name}={held}" for name, held in rest.items())
        rows.append(f"{_time(line['at_ms'])} {line.get('node', '-')} {line['event']} {fields}")
    return "\n".join([*rows, f"cause: {value.cause}"])


def _time(at_ms: int) -> str:
    moment = datetime.datetime.fromtimestamp(at_ms / 1000, datetime.UTC)
    return moment.strftime("%H:%M:%S.%f")[:-3]


def difference(entries: list[documentdiff.EntryChange], text: list[str]) -> str:
    """Return what a change of a document does, by entry and as text."""
    if not entries and not text:
        return "no difference"
    return "\n".join([*documentdiff.format_changes(entries), "", *text])


def status(value: dict[str, typing.Any]) -> str:
    """Return the status screen."""
    parts = [f"leader {value['leader'] or '-'}  term {value['term']}  index {value['index']}"]
    parts.append(members(value["members"]))
    environments: Rows = [["ENVIRONMENT", "REVISION", "CHANGED BY", "OUT", "SUSPECTS"]]
    for name, held in sorted(value["environments"].items()):
        out = ",".join(held["out"]) or "-"
        row = [name, held["revision"], held["changed_by"], out, held["quarantined"]]
        environments.append(row)
    parts.append(table(environments))
    parts.extend(_hosts(value["entry_hosts"]))
    if value["orders"]:
        parts.append(_orders(value["orders"]))
    return "\n\n".join(parts)


def _orders(value: list[dict[str, typing.Any]]) -> str:
    rows: Rows = [["BACKEND SERVER", "ORDER", "KIND", "ARGUMENT", "ISSUED", "RESULT"]]
    for held in value:
        issued = local_time(held["at_ms"])
        fields = [held[name] for name in ("server", "sequence", "kind", "argument")]
        rows.append([*fields, issued, held["result"]])
    return table(rows)


def members(value: list[dict[str, typing.Any]]) -> str:
    """Return the table of control hosts."""
    rows: Rows = [["CONTROL HOST", "DATA CENTRE", "MEMBER", "VOTES", "LINK"]]
    for held in value:
        votes = "yes" if held["voter"] else "learner"
        rows.append([held["host"], held["data_centre"], held["member"], votes, held["link"]])
    return table(rows)


def audit(value: list[dict[str, typing.Any]]) -> str:
    """Return the audit trail."""
    rows: Rows = [["INDEX", "TIME", "WHO", "WHAT", "TARGET", "FROM", "TO", "OUTCOME"]]
    for entry in value:
        rows.append(
            [
                entry["index"],
                local_time(entry["at_ms"]),
                entry["actor"],
                entry["action"],
                entry["target"],
                entry["base"] or "-",
                entry["revision"] or "-",
                " ".join(part for part in (entry["outcome"], entry["detail"]) if part),
            ]
        )
    return table(rows)


def quarantine(value: dict[str, dict[str, typing.Any]]) -> str:
    """Return the table of suspected requests."""
    rows: Rows = [["FINGERPRINT", "CUSTOMER", "DEATHS", "QUARANTINED", "UNTIL"]]
    for fingerprint, held in sorted(value.items()):
        quarantined = "yes" if held["quarantined"] else "no"
        until = local_time(held["until_ms"])
        rows.append([fingerprint, held["customer"], held["deaths"], quarantined, until])
    return table(rows)


def table(rows: Rows) -> str:
    """Return rows as aligned columns."""
    texts = [[str(cell) for cell in row] for row in rows]
    widths = [max(map(len, column)) for column in zip(*texts, strict=True)]
    lines = []
    for row in texts:
        cells = [cell.ljust(width) for cell, width in zip(row, widths, strict=True)]
        lines.append("  ".join(cells).rstrip())
    return "\n".join(lines)


def local_time(at_ms: int) -> str:
    """Return a replicated time for people."""
    return datetime.datetime.fromtimestamp(at_ms / 1000).isoformat(" ", "seconds")


def _hosts(hosts: list[dict[str, typing.Any]]) -> list[str]:
    entries: Rows = [
        ["ENTRY HOST", "DATA CENTRE", "ENVIRONMENT", "REVISION", "BUSY", "WAITING", "SEEN MS"]
    ]
    servers: Rows = [["BACKEND SERVER", "ENGINE", "DATA CENTRE", "STATE", "SLOTS", "COLD", "HOME"]]
    for host in hosts:
        load = host["load"]
        entries.append(
            [
                host["host"],
                host["data_centre"],
                host["environment"],
                load.get("revision", "-"),
                load.get("busy", "-"),
                load.get("waiting", "-"),
                host["seen_ms"],
            ]
        )
        for server in load.get("servers", []):
            used = f"{server['used']}/{server['limit']}"
            cold = "cold" if server["cold"] else "warm"
            servers.append(
                [
                    server["server"],
                    server["engine"],
                    server["data_centre"],
                    server["state"],
                    used,
                    cold,
                    host["host"],
                ]
            )
    return [table(entries), table(servers)]
