"""Code shared by all programs: command line, settings check, logging and exit codes."""

import argparse
import collections.abc
import os
import sys
import typing

import result

import ebonywheel
from ebonywheel import exceptions, kernel, logs, memorycare, settings, signals, turns

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

ProgramFunction = typing.Callable[[kernel.Kernel, typing.Any], collections.abc.Awaitable[None]]


def parser(name: str, description: str) -> argparse.ArgumentParser:
    """Return an argument parser with the options that all programs share."""
    argument_parser = argparse.ArgumentParser(name, description=description, epilog=EXIT_CODES_TEXT)
    argument_parser.add_argument(
        "--version", action="version", version=f"{name} {ebonywheel.__version__}"
    )
    return argument_parser


def server_main(
    name: str, description: str, settings_type: type[typing.Any], serve: ProgramFunction
) -> collections.abc.Callable[[], typing.NoReturn]:
    """Return the main function of a program that runs until it is asked to end.

    Args:
        name: Program name.
        description: One sentence for --help.
        settings_type: Settings class.
        serve: Coroutine function that runs the program with its kernel and settings.
    """

    def main() -> typing.NoReturn:
        command_line = parser(name, description)
        command_line.add_argument("action", choices=["run", "check"], help="run, or only check")
        command_line.add_argument("settings", help="settings file in TOML")
        parsed = command_line.parse_args()
        match settings.load(parsed.settings, settings_type):
            case result.Err(error):
                exit_with(error)
            case result.Ok(loaded):
                if parsed.action == "check":
                    print(f"{parsed.settings}: settings are valid")
                    sys.exit(EXIT_OK)
                sys.exit(_read_secret_and_run(name.removeprefix("ebonywheel-"), loaded, serve))

    return main


def exit_with(error: exceptions.EbonywheelError) -> typing.NoReturn:
    """Print an error and end the program with its exit code."""
    print(f"error: {error}", file=sys.stderr)
    sys.exit(exit_code(error))


def exit_code(error: exceptions.EbonywheelError) -> int:
    """Return the exit code that tells scripts the outcome of the operation."""
    match error:
        case exceptions.SettingsError() | exceptions.DocumentError():
            return EXIT_BAD_INPUT
        case exceptions.NotRunError() | exceptions.NotLeaderError():
            return EXIT_NOT_RUN
        case exceptions.UnknownOutcomeError():
            return EXIT_UNKNOWN
        case _:
            return EXIT_FAULT


def _read_secret_and_run(role: str, loaded: typing.Any, serve: ProgramFunction) -> int:
    try:
        secret = settings.read_secret(loaded.host.secret_file)
    except exceptions.SettingsError as error:
        exit_with(error)
    return run_server(role, loaded.host, secret, loaded, serve)


def run_server(
    role: str,
    host: settings.HostSettings,
    secret: bytes,
    loaded: typing.Any,
    serve: ProgramFunction,
) -> int:
    """Run a program until it is asked to end, and return its exit code.

    Args:
        role: Program name without its ``ebonywheel-`` prefix.
        host: Identity of the host.
        secret: Secret that the system's processes share.
        loaded: Settings, passed to `serve`.
        serve: Coroutine function that runs the program.
    """
    with logs.handler(host.log_level).applicationbound():
        try:
            monitor = turns.Monitor(host.max_loop_held_ms / 1000)
            return turns.run(monitor, _supervise, monitor, role, host, secret, loaded, serve)
        except exceptions.EbonywheelError as error:
            print(f"error: {error}", file=sys.stderr)
            return exit_code(error)


async def _supervise(
    monitor: turns.Monitor,
    role: str,
    host: settings.HostSettings,
    secret: bytes,
    loaded: typing.Any,
    serve: ProgramFunction,
) -> int:
    async with kernel.Kernel(role, host, secret) as core:
        monitor.attach(core.metrics, core.log)
        await core.spawn(memorycare.MemoryCare(core).run(), essential=True)
        await core.spawn(signals.watch(core, signals.install(core)), essential=True)
        core.log.info("started", host=core.host.name, pid=os.getpid(), http=core.host.http)
        await core.spawn(_run_to_end(core, loaded, serve), essential=True)
        await core.stopped.wait()
        core.log.info("stopped", host=core.host.name)
        return EXIT_OK if core.failure is None else exit_code_of_failure(core.failure)


async def _run_to_end(core: kernel.Kernel, loaded: typing.Any, serve: ProgramFunction) -> None:
    await serve(core, loaded)
    await core.stopped.set()


def exit_code_of_failure(error: BaseException) -> int:
    """Return the exit code for the error that ended a process."""
    if isinstance(error, exceptions.EbonywheelError):
        return exit_code(error)
    return EXIT_FAULT
