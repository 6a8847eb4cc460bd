"""What all programs share: command line, settings check, logging and exit codes."""

import argparse
import collections.abc
import os
import sys
import typing

import curio
import result

import ebonywheel
from ebonywheel import exceptions, kernel, logs, settings, signals

EXIT_OK = 0
EXIT_FAULT = 1
EXIT_USAGE = 2
EXIT_BAD_INPUT = 3
EXIT_CONFLICT = 4
EXIT_NOT_RUN = 5
EXIT_UNKNOWN = 6

EXIT_CODES_TEXT = (
    "exit codes: 0 done, 1 internal fault, 2 wrong usage, 3 bad settings or input, "
    "4 conflict, 5 not run, 6 outcome unknown"
)

Body = typing.Callable[[kernel.Kernel, typing.Any], collections.abc.Awaitable[None]]


def parser(name: str, description: str) -> argparse.ArgumentParser:
    """Return an argument parser with the options that all programs share."""
    made = argparse.ArgumentParser(name, description=description, epilog=EXIT_CODES_TEXT)
    made.add_argument("--version", action="version", version=f"{name} {ebonywheel.__version__}")
    return made


def server_main(
    name: str, description: str, kind: type[typing.Any], body: Body
) -> collections.abc.Callable[[], typing.NoReturn]:
    """Return the main function of a program that runs until it is asked to end.

    Args:
        name: Program name.
        description: One sentence for --help.
        kind: Settings class.
        body: Coroutine function that runs the program with its kernel and settings.
    """

    def main() -> typing.NoReturn:
        arguments = parser(name, description)
        arguments.add_argument("action", choices=["run", "check"], help="run, or only check")
        arguments.add_argument("settings", help="settings file in TOML")
        parsed = arguments.parse_args()
        match settings.load(parsed.settings, kind):
            case result.Err(error):
                exit_with(error)
            case result.Ok(loaded):
                if parsed.action == "check":
                    print(f"{parsed.settings}: settings are valid")
                    sys.exit(EXIT_OK)
                sys.exit(_run(name.removeprefix("ebonywheel-"), loaded, body))

    return main


def exit_with(error: exceptions.EbonywheelError) -> typing.NoReturn:
    """Print an error and end the program with its exit code."""
    print(f"error: {error}", file=sys.stderr)
    sys.exit(exit_code(error))


def exit_code(error: exceptions.EbonywheelError) -> int:
    """Return the exit code that tells scripts what became of the operation."""
    match error:
        case exceptions.SettingsError() | exceptions.DocumentError():
            return EXIT_BAD_INPUT
        case exceptions.NotRunError() | exceptions.NotLeaderError():
            return EXIT_NOT_RUN
        case exceptions.UnknownOutcomeError():
            return EXIT_UNKNOWN
        case _:
            return EXIT_FAULT


def _run(role: str, loaded: typing.Any, body: Body) -> int:
    try:
        secret = settings.read_secret(loaded.host.secret_file)
    except exceptions.SettingsError as error:
        exit_with(error)
    return run_server(role, loaded.host, secret, loaded, body)


def run_server(
    role: str, host: settings.HostSettings, secret: bytes, loaded: typing.Any, body: Body
) -> int:
    """Run a program until it is asked to end, and return its exit code.

    Args:
        role: Name of the role, for the kernel.
        host: Identity of the host.
        secret: Secret that the system's processes share.
        loaded: Settings, handed to the body.
        body: Coroutine function that runs the program.
    """
    with logs.handler(host.log_level).applicationbound():
        try:
            return curio.run(_supervise, role, host, secret, loaded, body)
        except exceptions.EbonywheelError as error:
            print(f"error: {error}", file=sys.stderr)
            return exit_code(error)


async def _supervise(
    role: str, host: settings.HostSettings, secret: bytes, loaded: typing.Any, body: Body
) -> int:
    async with kernel.Kernel(role, host, secret) as core:
        await core.spawn(signals.watch(core), essential=True)
        core.log.info("started", host=core.host.name, pid=os.getpid(), http=core.host.http)
        await core.spawn(_run_body(core, loaded, body), essential=True)
        await core.stopped.wait()
        core.log.info("stopped", host=core.host.name)
        return EXIT_OK if core.failed is None else exit_code_of_fault(core.failed)


async def _run_body(core: kernel.Kernel, loaded: typing.Any, body: Body) -> None:
    await body(core, loaded)
    await core.stopped.set()


def exit_code_of_fault(error: BaseException) -> int:
    """Return the exit code for the fault that ended a process."""
    if isinstance(error, exceptions.EbonywheelError):
        return exit_code(error)
    return EXIT_FAULT
