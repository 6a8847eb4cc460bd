"""The program ``ebonywheel``: operators check, apply and promote documents and read the state."""

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
    documents,
    exceptions,
    explain,
    memberchange,
    program,
    screens,
    settings,
)

DEFAULT_SETTINGS = "operator.toml"
DEFAULT_WAIT_S = 30.0
IN_FORCE_POLL_S = 0.1
# After this long without any, no entry host of the environment is about to join.
NO_HOST_S = 5.0
# Actions that ask no control host and need no settings.
OFFLINE_ACTIONS = ("check", "explain")


def _parser() -> argparse.ArgumentParser:
    parser = program.parser("ebonywheel", "Drive the system by documents and data centres.")
    parser.add_argument("--settings", default=DEFAULT_SETTINGS, help="operator's settings file")
    parser.add_argument("--json", action="store_true", help="print JSON")
    actions = parser.add_subparsers(dest="action", required=True)
    check = actions.add_parser("check", help="check documents offline, or without any the settings")
    check.add_argument("documents", nargs="*")
    diff = actions.add_parser("diff", help="show what applying or promoting would change")
    diff.add_argument("source", help="document file, or environment with --promote")
    diff.add_argument("--promote", metavar="TARGET", help="environment to promote to")
    apply = _changing(actions, "apply", "put a document in force")
    apply.add_argument("document")
    promote = _changing(actions, "promote", "put one environment's document in force in another")
    promote.add_argument("source")
    promote.add_argument("target")
    promote.add_argument("--source-revision", type=int, help="default: the one in force")
    for name, text in (
        ("take-out", "take a data centre out of service"),
        ("bring-back", "bring a data centre back"),
    ):
        moving = _changing(actions, name, text)
        moving.add_argument("environment")
        moving.add_argument("data_centre")
    order = _changing(actions, "order", "order a backend server to load or change something")
    order.add_argument("environment")
    order.add_argument("server")
    order.add_argument("kind")
    order.add_argument("argument")
    actions.add_parser("status", help="show the whole system in one screen")
    audit = actions.add_parser("audit", help="show the audit trail")
    audit.add_argument("--after", type=int, help="entries after this index, 0 for the oldest")
    audit.add_argument("--limit", type=int, default=200, help="most entries")
    quarantine = _changing(actions, "quarantine", "list or release quarantined requests")
    quarantine.add_argument("environment")
    quarantine.add_argument("--release", metavar="FINGERPRINT")
    explained = actions.add_parser("explain", help="tell what happened to a request, from logs")
    explained.add_argument("request", help="id of the request")
    explained.add_argument("logs", nargs="+", help="log files of any processes")
    members = _changing(actions, "members", "list, add or remove control hosts")
    members.add_argument("change", nargs="?", choices=["add", "promote", "remove", "replace"])
    members.add_argument("target", nargs="?", help="http address to add; host name otherwise")
    members.add_argument("--by", metavar="ADDRESS", help="http address of the replacement")
    return parser


def _changing(actions, name: str, text: str) -> argparse.ArgumentParser:
    made = actions.add_parser(name, help=text)
    made.add_argument("--base", type=int, help="revision that the change is based on")
    made.add_argument("--wait", action="store_true", help="wait until it is in force everywhere")
    made.add_argument("--wait-s", type=float, default=DEFAULT_WAIT_S, help="longest wait")
    made.add_argument("--operation", help="operation id, to settle an unknown outcome")
    return made


class Operator:
    """Carries out one command line."""

    def __init__(self, parsed: argparse.Namespace):
        self.parsed = parsed
        self.client: adminclient.AdminClient | None = None
        self.operation = getattr(parsed, "operation", None) or str(uuid.uuid4())

    async def run(self) -> int:
        """Carry out the action and return the exit code."""
        action = self.parsed.action.replace("-", "_")
        if action not in OFFLINE_ACTIONS:
            self.client = adminclient.AdminClient(load_settings(self.parsed.settings))
        return await getattr(self, f"_{action}")()

    async def _check(self) -> int:
        wrong = 0
        if not self.parsed.documents:
            load_settings(self.parsed.settings)
            print(f"{self.parsed.settings}: settings are valid")
        for path in self.parsed.documents:
            try:
                adminclient.parse_document(path)
            except exceptions.DocumentError as error:
                wrong += 1
                print(f"error: {error}", file=sys.stderr)
            else:
                print(f"{path}: document is valid")
        return program.EXIT_BAD_INPUT if wrong else program.EXIT_OK

    async def _explain(self) -> int:
        lines = explain.read_lines(self.parsed.logs)
        found = explain.explain(self.parsed.request, lines)
        return self._show(found, screens.explanation)

    async def _diff(self) -> int:
        if self.parsed.promote:
            held = await self._environment(self.parsed.source)
            target = self.parsed.promote
            new = documents.rename_environment(held["text"], target)
            document = documentcheck.parse(new, self.parsed.source)
        else:
            document = adminclient.parse_document(self.parsed.source)
            new = adminclient.read_text(self.parsed.source)
            target = document.environment
        held = await self._environment(target)
        old = documentcheck.parse(held["text"], target) if held["text"] else None
        changes = documentdiff.compare(old, document)
        found = Difference(target, held["revision"], changes)
        text = difflib.unified_diff(
            held["text"].splitlines(),
            new.splitlines(),
            f"{target} revision {held['revision']}",
            f"{target} proposed",
            lineterm="",
        )
        return self._show(found, lambda value: screens.difference(value.entries, list(text)))

    async def _apply(self) -> int:
        document = adminclient.parse_document(self.parsed.document)
        environment = document.environment
        return await self._send(
            commands.ApplyDocument(
                operation=self.operation,
                environment=environment,
                base=await self._base(environment),
                text=adminclient.read_text(self.parsed.document),
            )
        )

    async def _promote(self) -> int:
        source_revision = self.parsed.source_revision
        if source_revision is None:
            source_revision = (await self._environment(self.parsed.source))["revision"]
        return await self._send(
            commands.PromoteDocument(
                operation=self.operation,
                source=self.parsed.source,
                target=self.parsed.target,
                source_revision=source_revision,
                base=await self._base(self.parsed.target),
            )
        )

    async def _take_out(self) -> int:
        return await self._move(out=True)

    async def _bring_back(self) -> int:
        return await self._move(out=False)

    async def _move(self, out: bool) -> int:
        environment = self.parsed.environment
        return await self._send(
            commands.SetDataCentre(
                operation=self.operation,
                environment=environment,
                data_centre=self.parsed.data_centre,
                out=out,
                base=await self._base(environment),
            )
        )

    async def _order(self) -> int:
        return await self._send(
            commands.IssueOrder(
                operation=self.operation,
                environment=self.parsed.environment,
                server=self.parsed.server,
                kind=self.parsed.kind,
                argument=self.parsed.argument,
            )
        )

    async def _status(self) -> int:
        return self._show(await self.client.read("status"), screens.status)

    async def _audit(self) -> int:
        argument = {"limit": str(self.parsed.limit)}
        if self.parsed.after is not None:
            argument["after"] = str(self.parsed.after)
        entries = await self.client.read("audit", **argument)
        return self._show(entries, screens.audit)

    async def _quarantine(self) -> int:
        environment = self.parsed.environment
        if self.parsed.release is None:
            held = await self.client.read("quarantine", environment=environment)
            return self._show(held, screens.quarantine)
        try:
            fingerprint = bytes.fromhex(self.parsed.release)
        except ValueError as error:
            raise exceptions.DocumentError(
                "fingerprint must be hexadecimal", "check", self.parsed.release
            ) from error
        return await self._send(
            commands.ReleaseQuarantine(
                operation=self.operation, environment=environment, fingerprint=fingerprint
            )
        )

    async def _members(self) -> int:
        change, target = self.parsed.change, self.parsed.target
        if change is None:
            return self._show(await self.client.read("members"), screens.members)
        if target is None:
            raise exceptions.SettingsError("a host is required", "members", change)
        flow = memberchange.MemberChange(
            self.client, self.operation, self.parsed.wait_s, self._tell
        )
        try:
            if change == "replace":
                if self.parsed.by is None:
                    raise exceptions.SettingsError("--by ADDRESS is required", "members", change)
                return self._show_outcome(await flow.replace(target, self.parsed.by))
            return self._show_outcome(await getattr(flow, change)(target))
        except exceptions.UnknownOutcomeError as error:
            return self._unknown(error, {"--operation": self.operation})

    async def _environment(self, name: str) -> dict[str, typing.Any]:
        try:
            return await self.client.read("document", environment=name)
        except exceptions.HttpError as error:
            if error.status != 404:
                raise
            return {"revision": 0, "text": ""}

    async def _base(self, environment: str) -> int:
        if self.parsed.base is not None:
            return self.parsed.base
        return (await self._environment(environment))["revision"]

    async def _send(self, command: commands.Command) -> int:
        try:
            outcome = await self.client.operate(command)
        except exceptions.UnknownOutcomeError as error:
            return self._unknown(error, _settling_options(command))
        code = self._show_outcome(outcome)
        if isinstance(outcome, commands.Accepted) and getattr(self.parsed, "wait", False):
            environment = getattr(command, "target", None) or command.environment
            return await self._wait_in_force(environment, outcome.index)
        return code

    def _show_outcome(self, outcome: commands.AnyOutcome) -> int:
        self._show(outcome, screens.outcome)
        return adminclient.outcome_exit_code(outcome)

    def _unknown(self, error: exceptions.UnknownOutcomeError, options: dict[str, str]) -> int:
        words = ["ebonywheel", *sys.argv[1:]]
        for name, value in options.items():
            if name not in words:
                words += [name, value]
        print(f"outcome unknown: {error}\nto settle it: {shlex.join(words)}", file=sys.stderr)
        return program.EXIT_UNKNOWN

    async def _wait_in_force(self, environment: str, index: int) -> int:
        started = time.monotonic()
        shown = ""
        while time.monotonic() < started + self.parsed.wait_s:
            behind, count = await self._behind(environment, index)
            if not count and time.monotonic() >= started + NO_HOST_S:
                self._tell(f"no entry host serves {environment}: in force for each that will")
                return program.EXIT_OK
            if count and not behind:
                elapsed_s = time.monotonic() - started
                self._tell(f"in force on all {count} entry hosts after {elapsed_s:.2f} s")
                return program.EXIT_OK
            text = f"in force on {count - len(behind)} of {count} entry hosts"
            if text != shown:
                self._tell(text)
            shown = text
            await curio.sleep(IN_FORCE_POLL_S)
        self._tell(f"accepted, not seen in force on: {', '.join(behind)}")
        return program.EXIT_FAULT

    async def _behind(self, environment: str, index: int) -> tuple[list[str], int]:
        hosts = (await self.client.read("status"))["entry_hosts"]
        serving = [host for host in hosts if host["environment"] == environment]
        behind = [host["host"] for host in serving if host["have"] < index]
        return behind, len(serving)

    def _tell(self, text: str) -> None:
        print(text, file=sys.stderr)

    def _show(self, value: typing.Any, render: typing.Callable[[typing.Any], str]) -> int:
        if self.parsed.json:
            print(msgspec.json.encode(value).decode())
        else:
            print(render(value))
        return program.EXIT_OK


class Difference(msgspec.Struct):
    """What applying or promoting would change."""

    environment: str
    revision: int
    entries: list[documentdiff.EntryChange]


def _settling_options(command: commands.Command) -> dict[str, str]:
    options = {"--operation": command.operation}
    for field, name in (("base", "--base"), ("source_revision", "--source-revision")):
        value = getattr(command, field, None)
        if value is not None:
            options[name] = str(value)
    return options


def load_settings(path: str) -> settings.OperatorSettings:
    """Return the operator's settings.

    Raises:
        SettingsError: They are missing or wrong.
    """
    loaded = settings.load(path, settings.OperatorSettings)
    if loaded.is_err():
        raise loaded.unwrap_err()
    return loaded.unwrap()


def main() -> typing.NoReturn:
    """Run the program."""
    parsed = _parser().parse_args()
    try:
        sys.exit(curio.run(Operator(parsed).run))
    except exceptions.EbonywheelError as error:
        program.exit_with(error)


if __name__ == "__main__":
    main()
