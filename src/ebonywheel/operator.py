"""The ``ebonywheel`` command, with which operators change the system and read its state."""

import argparse
import difflib
import shlex
import sys
import time
import typing
import uuid

import curio
import msgspec

from ebonywheel import (
    adminclient,
    commands,
    documentcheck,
    documentdiff,
    documentlint,
    documents,
    exceptions,
    explain,
    memberchange,
    operatorrollouts,
    program,
    screens,
    settings,
)

DEFAULT_SETTINGS = "operator.toml"
DEFAULT_WAIT_S = 30.0
IN_FORCE_POLL_S = 0.1
# How long ``--wait`` waits for a first entry host of the environment to join.
FIRST_HOST_WAIT_S = 5.0
# Actions that contact no control host, so the settings are not loaded for them.
OFFLINE_ACTIONS = ("check", "explain")


def _build_parser() -> argparse.ArgumentParser:
    parser = program.parser(
        "ebonywheel", "Apply documents, move traffic off data centres and show the state."
    )
    parser.add_argument("--settings", default=DEFAULT_SETTINGS, help="operator's settings file")
    parser.add_argument("--json", action="store_true", help="print JSON")
    actions = parser.add_subparsers(dest="action", required=True)
    check = actions.add_parser(
        "check", help="check documents offline, or the settings if no document is given"
    )
    check.add_argument("documents", nargs="*")
    check.add_argument(
        "--in-force", action="store_true", help="show what differs from the version in force, too"
    )
    diff = actions.add_parser("diff", help="show what applying or promoting would change")
    diff.add_argument("source", help="document file, or environment with --promote")
    diff.add_argument("--promote", metavar="TARGET", help="environment to promote to")
    apply = _add_change_parser(actions, "apply", "put a document in force")
    apply.add_argument("document")
    promote = _add_change_parser(
        actions, "promote", "put one environment's document in force in another"
    )
    promote.add_argument("source")
    promote.add_argument("target")
    promote.add_argument(
        "--source-revision", type=int, help="revision to promote (default: the one in force)"
    )
    for name, text in (
        ("take-out", "take a data centre out of service"),
        ("bring-back", "bring a data centre back"),
    ):
        change = _add_change_parser(actions, name, text)
        change.add_argument("environment")
        change.add_argument("data_centre")
    order = _add_change_parser(actions, "order", "send an order to a backend server")
    order.add_argument("environment")
    order.add_argument("server")
    order.add_argument("kind")
    order.add_argument("argument")
    operatorrollouts.add_parser(actions)
    actions.add_parser("status", help="show the whole system in one screen")
    audit = actions.add_parser("audit", help="show the audit trail")
    audit.add_argument("--after", type=int, help="entries after this index, 0 for the oldest")
    audit.add_argument("--limit", type=int, default=200, help="maximum number of entries")
    quarantine = _add_change_parser(actions, "quarantine", "list or release quarantined requests")
    quarantine.add_argument("environment")
    quarantine.add_argument("--release", metavar="FINGERPRINT")
    explain_action = actions.add_parser(
        "explain", help="explain what happened to a request, from logs"
    )
    explain_action.add_argument("request", help="id of the request")
    explain_action.add_argument("logs", nargs="+", help="log files of any processes")
    member_action = _add_change_parser(actions, "members", "list, add or remove control hosts")
    member_action.add_argument("change", nargs="?", choices=["add", "promote", "remove", "replace"])
    member_action.add_argument(
        "target", nargs="?", help="HTTP address to add, else name of the control host"
    )
    member_action.add_argument("--by", metavar="ADDRESS", help="HTTP address of the replacement")
    return parser


def _add_change_parser(actions, name: str, text: str) -> argparse.ArgumentParser:
    parser = actions.add_parser(name, help=text)
    parser.add_argument("--base", type=int, help="revision that the change is based on")
    parser.add_argument(
        "--wait", action="store_true", help="wait until the change is in force on every entry host"
    )
    parser.add_argument(
        "--wait-s", type=float, default=DEFAULT_WAIT_S, help="maximum seconds to wait"
    )
    parser.add_argument("--operation", help="operation id to send again after an unknown outcome")
    return parser


class ActionRunner:
    """Runs the action of one command line.

    Attributes:
        arguments: Parsed command line.
        client: Client of the control hosts; None for offline actions.
        operation: Operation id of the change, given or new.
    """

    def __init__(self, arguments: argparse.Namespace):
        self.arguments = arguments
        self.client: adminclient.AdminClient | None = None
        self.operation = getattr(arguments, "operation", None) or str(uuid.uuid4())

    async def run(self) -> int:
        """Run the action and return the exit code."""
        action = self.arguments.action.replace("-", "_")
        if action not in OFFLINE_ACTIONS:
            self.client = adminclient.AdminClient(load_settings(self.arguments.settings))
        return await getattr(self, f"_{action}")()

    async def _check(self) -> int:
        if not self.arguments.documents:
            load_settings(self.arguments.settings)
            print(f"{self.arguments.settings}: settings are valid")
        if self.arguments.in_force:
            self.client = adminclient.AdminClient(load_settings(self.arguments.settings))
        checked = [await self._check_document(path) for path in self.arguments.documents]
        if checked and self.arguments.json:
            print(msgspec.json.encode(checked).decode())
        elif checked:
            for document in checked:
                stream = sys.stderr if document.error else sys.stdout
                print(screens.checked_document(document), file=stream)
        invalid = any(document.error for document in checked)
        return program.EXIT_BAD_INPUT if invalid else program.EXIT_OK

    async def _check_document(self, path: str) -> documentlint.CheckedDocument:
        try:
            document = adminclient.parse_document(path)
        except exceptions.DocumentError as error:
            return documentlint.CheckedDocument(path, str(error))
        checked = documentlint.CheckedDocument(path, "", documentlint.find(document))
        if self.client is not None:
            current = await self._read_document(document.environment)
            old = None
            if current["text"]:
                old = documentcheck.parse(current["text"], document.environment)
            checked.revision = current["revision"]
            checked.changes = documentdiff.compare(old, document)
        return checked

    async def _explain(self) -> int:
        content = explain.read_logs(self.arguments.logs)
        explanation = explain.explain(self.arguments.request, content.lines)
        explanation.passed_over = content.passed_over
        return self._print_result(explanation, screens.explanation)

    async def _diff(self) -> int:
        if self.arguments.promote:
            source = await self._read_document(self.arguments.source)
            target = self.arguments.promote
            new_text = documents.rename_environment(source["text"], target)
            document = documentcheck.parse(new_text, self.arguments.source)
        else:
            document = adminclient.parse_document(self.arguments.source)
            new_text = adminclient.read_text(self.arguments.source)
            target = document.environment
        current = await self._read_document(target)
        old = documentcheck.parse(current["text"], target) if current["text"] else None
        changes = documentdiff.compare(old, document)
        difference = Difference(target, current["revision"], changes)
        diff_lines = difflib.unified_diff(
            current["text"].splitlines(),
            new_text.splitlines(),
            f"{target} revision {current['revision']}",
            f"{target} proposed",
            lineterm="",
        )
        return self._print_result(
            difference, lambda value: screens.difference(value.entries, list(diff_lines))
        )

    async def _apply(self) -> int:
        document = adminclient.parse_document(self.arguments.document)
        environment = document.environment
        return await self._send(
            commands.ApplyDocument(
                operation=self.operation,
                environment=environment,
                base=await self._base_revision(environment),
                text=adminclient.read_text(self.arguments.document),
            )
        )

    async def _promote(self) -> int:
        source_revision = self.arguments.source_revision
        if source_revision is None:
            source_revision = (await self._read_document(self.arguments.source))["revision"]
        return await self._send(
            commands.PromoteDocument(
                operation=self.operation,
                source=self.arguments.source,
                target=self.arguments.target,
                source_revision=source_revision,
                base=await self._base_revision(self.arguments.target),
            )
        )

    async def _take_out(self) -> int:
        return await self._set_data_centre(out=True)

    async def _bring_back(self) -> int:
        return await self._set_data_centre(out=False)

    async def _set_data_centre(self, out: bool) -> int:
        environment = self.arguments.environment
        return await self._send(
            commands.SetDataCentre(
                operation=self.operation,
                environment=environment,
                data_centre=self.arguments.data_centre,
                out=out,
                base=await self._base_revision(environment),
            )
        )

    async def _order(self) -> int:
        return await self._send(
            commands.IssueOrder(
                operation=self.operation,
                environment=self.arguments.environment,
                server=self.arguments.server,
                kind=self.arguments.kind,
                argument=self.arguments.argument,
            )
        )

    async def _status(self) -> int:
        return self._print_result(await self.client.read("status"), screens.status)

    async def _rollout(self) -> int:
        action = operatorrollouts.RolloutAction(
            self.arguments, self.client, self.operation, self._print_result
        )
        try:
            return await action.run()
        except exceptions.UnknownOutcomeError as error:
            return self._print_unknown_outcome(error, action.resend_options())

    async def _audit(self) -> int:
        argument = {"limit": str(self.arguments.limit)}
        if self.arguments.after is not None:
            argument["after"] = str(self.arguments.after)
        entries = await self.client.read("audit", **argument)
        return self._print_result(entries, screens.audit)

    async def _quarantine(self) -> int:
        environment = self.arguments.environment
        if self.arguments.release is None:
            suspects = await self.client.read("quarantine", environment=environment)
            return self._print_result(suspects, screens.quarantine)
        try:
            fingerprint = bytes.fromhex(self.arguments.release)
        except ValueError as error:
            raise exceptions.DocumentError(
                "fingerprint must be hexadecimal", "check", self.arguments.release
            ) from error
        return await self._send(
            commands.ReleaseQuarantine(
                operation=self.operation, environment=environment, fingerprint=fingerprint
            )
        )

    async def _members(self) -> int:
        change, target = self.arguments.change, self.arguments.target
        if change is None:
            return self._print_result(await self.client.read("members"), screens.members)
        if target is None:
            raise exceptions.SettingsError(
                "a host name or HTTP address is required", "members", change
            )
        member_change = memberchange.MemberChange(
            self.client, self.operation, self.arguments.wait_s, self._print_progress
        )
        try:
            if change == "replace":
                if self.arguments.by is None:
                    raise exceptions.SettingsError("--by ADDRESS is required", "members", change)
                return self._print_outcome(await member_change.replace(target, self.arguments.by))
            return self._print_outcome(await getattr(member_change, change)(target))
        except exceptions.UnknownOutcomeError as error:
            return self._print_unknown_outcome(error, {"--operation": self.operation})

    async def _read_document(self, environment: str) -> dict[str, typing.Any]:
        try:
            return await self.client.read("document", environment=environment)
        except exceptions.HttpError as error:
            if error.status != 404:
                raise
            return {"revision": 0, "text": ""}

    async def _base_revision(self, environment: str) -> int:
        if self.arguments.base is not None:
            return self.arguments.base
        return (await self._read_document(environment))["revision"]

    async def _send(self, command: commands.Command) -> int:
        try:
            outcome = await self.client.submit(command)
        except exceptions.UnknownOutcomeError as error:
            return self._print_unknown_outcome(error, _resend_options(command))
        exit_code = self._print_outcome(outcome)
        if isinstance(outcome, commands.Accepted) and getattr(self.arguments, "wait", False):
            environment = getattr(command, "target", None) or command.environment
            return await self._wait_in_force(environment, outcome.index)
        return exit_code

    def _print_outcome(self, outcome: commands.AnyOutcome) -> int:
        self._print_result(outcome, screens.outcome)
        return adminclient.outcome_exit_code(outcome)

    def _print_unknown_outcome(
        self, error: exceptions.UnknownOutcomeError, options: dict[str, str]
    ) -> int:
        command_line = ["ebonywheel", *sys.argv[1:]]
        for name, value in options.items():
            if name not in command_line:
                command_line += [name, value]
        print(
            f"outcome unknown: {error}\nto settle it: {shlex.join(command_line)}", file=sys.stderr
        )
        return program.EXIT_UNKNOWN

    async def _wait_in_force(self, environment: str, index: int) -> int:
        started_at = time.monotonic()
        last_progress = ""
        while time.monotonic() < started_at + self.arguments.wait_s:
            behind, count = await self._hosts_behind(environment, index)
            if not count and time.monotonic() >= started_at + FIRST_HOST_WAIT_S:
                self._print_progress(
                    f"no entry host serves {environment}: in force for each that will"
                )
                return program.EXIT_OK
            if count and not behind:
                elapsed_s = time.monotonic() - started_at
                self._print_progress(f"in force on all {count} entry hosts after {elapsed_s:.2f} s")
                return program.EXIT_OK
            progress = f"in force on {count - len(behind)} of {count} entry hosts"
            if progress != last_progress:
                self._print_progress(progress)
            last_progress = progress
            await curio.sleep(IN_FORCE_POLL_S)
        self._print_progress(f"accepted, not seen in force on: {', '.join(behind)}")
        return program.EXIT_FAULT

    async def _hosts_behind(self, environment: str, index: int) -> tuple[list[str], int]:
        """Return the entry hosts that have not applied an index yet, and the count of all."""
        hosts = (await self.client.read("status"))["entry_hosts"]
        serving = [host for host in hosts if host["environment"] == environment]
        behind = [host["host"] for host in serving if host["have"] < index]
        return behind, len(serving)

    def _print_progress(self, text: str) -> None:
        print(text, file=sys.stderr)

    def _print_result(self, value: typing.Any, render: typing.Callable[[typing.Any], str]) -> int:
        if self.arguments.json:
            print(msgspec.json.encode(value).decode())
        else:
            print(render(value))
        return program.EXIT_OK


class Difference(msgspec.Struct):
    """What applying or promoting a document would change.

    Attributes:
        environment: Environment that would change.
        revision: Its revision in force, 0 without a document.
        entries: Changed entries of the document.
    """

    environment: str
    revision: int
    entries: list[documentdiff.EntryChange]


def _resend_options(command: commands.Command) -> dict[str, str]:
    """Return the options with which the same command is sent again."""
    options = {"--operation": command.operation}
    for field, name in (("base", "--base"), ("source_revision", "--source-revision")):
        value = getattr(command, field, None)
        if value is not None:
            options[name] = str(value)
    return options


def load_settings(path: str) -> settings.OperatorSettings:
    """Load the operator's settings.

    Raises:
        SettingsError: The file is missing or invalid.
    """
    result = settings.load(path, settings.OperatorSettings)
    if result.is_err():
        raise result.unwrap_err()
    return result.unwrap()


def main() -> typing.NoReturn:
    """Run the program."""
    arguments = _build_parser().parse_args()
    try:
        sys.exit(curio.run(ActionRunner(arguments).run))
    except exceptions.EbonywheelError as error:
        program.exit_with(error)


if __name__ == "__main__":
    main()
