"""Formats the results of the operators' command as text."""

import datetime
import typing

from ebonywheel import commands, documentdiff, documentlint, explain

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
    """Return a request's log lines and the cause of its outcome."""
    rows = []
    for line in value.lines:
        fields = {
            name: field
            for name, field in line.items()
            if name not in ("at_ms", "node", "event", "level", "part", "request")
        }
        fields_text = " ".join(f"{name}={field}" for name, field in fields.items())
        rows.append(
            f"{_utc_time(line['at_ms'])} {line.get('node', '-')} {line['event']} {fields_text}"
        )
    rows += [f"passed over, not readable: {place}" for place in value.passed_over]
    return "\n".join([*rows, f"cause: {value.cause}"])


def _utc_time(at_ms: int) -> str:
    moment = datetime.datetime.fromtimestamp(at_ms / 1000, datetime.UTC)
    return moment.strftime("%H:%M:%S.%f")[:-3]


def difference(entries: list[documentdiff.EntryChange], diff_lines: list[str]) -> str:
    """Return the changes of a document, by entry and as a unified diff.

    Args:
        entries: Changed entries.
        diff_lines: Lines of the unified diff.
    """
    if not entries and not diff_lines:
        return "no difference"
    return "\n".join([*documentdiff.format_changes(entries), "", *diff_lines])


def checked_document(checked: documentlint.CheckedDocument) -> str:
    """Return the result of the check of one document."""
    if checked.error:
        return f"error: {checked.error}"
    lines = [f"{checked.path}: document is valid"]
    lines += [f"warning: {finding.line()}" for finding in checked.doubts]
    if checked.revision is not None:
        lines.append(f"against revision {checked.revision}: {len(checked.changes)} entries differ")
        lines += documentdiff.format_changes(checked.changes)
    return "\n".join(lines)


def status(state: dict[str, typing.Any]) -> str:
    """Return the status screen."""
    sections = [f"leader {state['leader'] or '-'}  term {state['term']}  index {state['index']}"]
    sections.append(members(state["members"]))
    environments: Rows = [["ENVIRONMENT", "REVISION", "CHANGED BY", "OUT", "SUSPECTS"]]
    for name, record in sorted(state["environments"].items()):
        out = ",".join(record["out"]) or "-"
        row = [name, record["revision"], record["changed_by"], out, record["quarantined"]]
        environments.append(row)
    sections.append(table(environments))
    sections.extend(_entry_host_tables(state["entry_hosts"]))
    if state["orders"]:
        sections.append(_order_table(state["orders"]))
    return "\n\n".join(sections)


def _order_table(orders: list[dict[str, typing.Any]]) -> str:
    rows: Rows = [["BACKEND SERVER", "ORDER", "KIND", "ARGUMENT", "ISSUED", "RESULT"]]
    for order in orders:
        issued = _local_time(order["at_ms"])
        fields = [order[name] for name in ("server", "sequence", "kind", "argument")]
        rows.append([*fields, issued, order["result"]])
    return table(rows)


def members(records: list[dict[str, typing.Any]]) -> str:
    """Return the table of control hosts."""
    rows: Rows = [["CONTROL HOST", "DATA CENTRE", "MEMBER", "VOTES", "LINK"]]
    for member in records:
        votes = "yes" if member["voter"] else "learner"
        rows.append(
            [member["host"], member["data_centre"], member["member"], votes, member["link"]]
        )
    return table(rows)


def audit(entries: list[dict[str, typing.Any]]) -> str:
    """Return the table of audit entries."""
    rows: Rows = [["INDEX", "TIME", "WHO", "WHAT", "TARGET", "FROM", "TO", "OUTCOME"]]
    for entry in entries:
        rows.append(
            [
                entry["index"],
                _local_time(entry["at_ms"]),
                entry["actor"],
                entry["action"],
                entry["target"],
                entry["base"] or "-",
                entry["revision"] or "-",
                " ".join(part for part in (entry["outcome"], entry["detail"]) if part),
            ]
        )
    return table(rows)


def quarantine(suspects: dict[str, dict[str, typing.Any]]) -> str:
    """Return the table of requests suspected of crashing backend servers."""
    rows: Rows = [["FINGERPRINT", "CUSTOMER", "DEATHS", "QUARANTINED", "UNTIL"]]
    for fingerprint, suspect in sorted(suspects.items()):
        quarantined = "yes" if suspect["quarantined"] else "no"
        until = _local_time(suspect["until_ms"])
        rows.append([fingerprint, suspect["customer"], suspect["deaths"], quarantined, until])
    return table(rows)


def rollouts(records: list[dict[str, typing.Any]]) -> str:
    """Return one line for each service's latest roll-out."""
    rows: Rows = [
        ["SERVICE", "ROLL-OUT", "TO", "PHASE", "SHARE", "LEFT S", "SEEN", "FAILED", "OTHERS"]
        + ["FAILED", "OLD RUNS", "WHY"]
    ]
    for record in records:
        seen, others = record["target_seen"], record["others_seen"]
        row = [record[name] for name in ("service", "index", "target", "phase")]
        row += [f"{record['share']:.3f}", f"{record['left_ms'] / 1000:.1f}"]
        row += [seen["answers"], seen["failures"], others["answers"], others["failures"]]
        rows.append([*row, record["in_flight_old"], record["reason"]])
    return table(rows)


def table(rows: Rows) -> str:
    """Return rows as text in aligned columns."""
    text_rows = [[str(cell) for cell in row] for row in rows]
    widths = [max(map(len, column)) for column in zip(*text_rows, strict=True)]
    lines = []
    for row in text_rows:
        cells = [cell.ljust(width) for cell, width in zip(row, widths, strict=True)]
        lines.append("  ".join(cells).rstrip())
    return "\n".join(lines)


def _local_time(at_ms: int) -> str:
    """Return a time in milliseconds since the epoch as local date and time."""
    return datetime.datetime.fromtimestamp(at_ms / 1000).isoformat(" ", "seconds")


def _entry_host_tables(hosts: list[dict[str, typing.Any]]) -> list[str]:
    host_rows: Rows = [
        ["ENTRY HOST", "DATA CENTRE", "ENVIRONMENT", "REVISION", "BUSY", "WAITING", "SEEN MS"]
    ]
    server_rows: Rows = [
        ["BACKEND SERVER", "ENGINE", "DATA CENTRE", "STATE", "SLOTS", "COLD", "HOME"]
    ]
    for host in hosts:
        load = host["load"]
        host_rows.append(
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
            slots = f"{server['used']}/{server['limit']}"
            warmth = "cold" if server["cold"] else "warm"
            server_rows.append(
                [
                    server["server"],
                    server["engine"],
                    server["data_centre"],
                    server["state"],
                    slots,
                    warmth,
                    host["host"],
                ]
            )
    return [table(host_rows), table(server_rows)]
