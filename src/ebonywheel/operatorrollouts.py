"""The operators' command ``ebonywheel rollout``: starts, shows and cancels roll-outs."""

import argparse
import math
import typing

import curio

from ebonywheel import adminclient, commands, exceptions, program, rolloutstate, screens

POLL_S = 0.5
MS_PER_S = 1000
Printer = typing.Callable[[typing.Any, typing.Callable[[typing.Any], str]], int]


def add_parser(actions: typing.Any) -> None:
    """Add the parsers of the command and what it does."""
    parser = actions.add_parser("rollout", help="move a service's traffic to a version")
    changes = parser.add_subparsers(dest="change", required=True)
    start = changes.add_parser("start", help="order a roll-out")
    start.add_argument("service")
    start.add_argument("version")
    start.add_argument("--within-s", type=float, required=True, help="seconds to the deadline")
    start.add_argument("--follow", action="store_true", help="show its state until it has ended")
    status = changes.add_parser("status", help="show the latest roll-out of a service, or of all")
    status.add_argument("service", nargs="?")
    status.add_argument("--follow", action="store_true", help="show its state until it has ended")
    cancel = changes.add_parser("cancel", help="roll a running roll-out back")
    cancel.add_argument("service")
    cancel.add_argument("--rollout", type=int, help="its index, as shown by status")
    for change in (start, cancel):
        change.add_argument("--operation", help="operation id to send again")


class RolloutAction:
    """Runs the command of one command line.

    Attributes:
        arguments: Parsed command line.
        client: Client of the control hosts.
        operation: Operation id of the change.
        print_result: Prints a result as JSON or text and returns the exit code.
        rollout: Log index of the order that is cancelled, 0 for none.
    """

    def __init__(
        self,
        arguments: argparse.Namespace,
        client: adminclient.AdminClient,
        operation: str,
        print_result: Printer,
    ):
        self.arguments = arguments
        self.client = client
        self.operation = operation
        self.print_result = print_result
        self.rollout = 0

    async def run(self) -> int:
        """Run the command and return the exit code.

        Raises:
            DocumentError: An argument is wrong.
            UnknownOutcomeError: The change may have taken effect.
        """
        match self.arguments.change:
            case "start":
                return await self._start()
            case "cancel":
                return await self._cancel()
        return await self._status()

    def resend_options(self) -> dict[str, str]:
        """Return the options with which the same change is sent again."""
        options = {"--operation": self.operation}
        if self.rollout:
            options["--rollout"] = str(self.rollout)
        return options

    async def _start(self) -> int:
        seconds = self.arguments.within_s
        longest_s = rolloutstate.MAX_DURATION_MS / MS_PER_S
        if not (math.isfinite(seconds) and 0 < seconds <= longest_s):
            raise exceptions.DocumentError(
                f"--within-s: expected a number above 0, up to {longest_s:g}", "check", str(seconds)
            )
        command = commands.StartRollout(
            operation=self.operation,
            service=self.arguments.service,
            target=self.arguments.version,
            duration_ms=max(rolloutstate.MIN_DURATION_MS, round(seconds * MS_PER_S)),
        )
        outcome = await self.client.submit(command)
        self.print_result(outcome, _outcome_text)
        if isinstance(outcome, commands.Accepted) and self.arguments.follow:
            return await self._follow()
        return adminclient.outcome_exit_code(outcome)

    async def _cancel(self) -> int:
        self.rollout = self.arguments.rollout or 0
        if not self.rollout:
            self.rollout = (await self._read_one())["index"]
        command = commands.EndRollout(
            operation=self.operation,
            service=self.arguments.service,
            rollout=self.rollout,
            completed=False,
            reason="cancelled by an operator",
        )
        outcome = await self.client.submit(command)
        self.print_result(outcome, _outcome_text)
        return adminclient.outcome_exit_code(outcome)

    async def _status(self) -> int:
        if self.arguments.service is None:
            return self.print_result(await self.client.read("rollouts"), screens.rollouts)
        if self.arguments.follow:
            return await self._follow()
        return self.print_result([await self._read_one()], screens.rollouts)

    async def _follow(self) -> int:
        """Print each change until the roll-out has ended; return 1 if it was rolled back."""
        shown = None
        while True:
            status = await self._read_one()
            current = (status["phase"], status["share"], status["reason"])
            if current != shown:
                self.print_result([status], screens.rollouts)
            shown = current
            if status["phase"] in rolloutstate.ENDED:
                completed = status["phase"] == rolloutstate.COMPLETED
                return program.EXIT_OK if completed else program.EXIT_FAULT
            await curio.sleep(POLL_S)

    async def _read_one(self) -> dict[str, typing.Any]:
        service = self.arguments.service
        found = await self.client.read("rollouts", service=service)
        if not found:
            raise exceptions.DocumentError("no roll-out of this service", "read", service)
        return found[0]


def _outcome_text(outcome: commands.AnyOutcome) -> str:
    if isinstance(outcome, commands.Conflict):
        return (
            f"conflict: roll-out {outcome.revision} of the service is running, ordered by "
            f"{outcome.winner} (operation {outcome.operation or '-'})"
        )
    return screens.outcome(outcome)
