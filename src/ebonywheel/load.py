"""The program ``ebonywheel-load``: stand-ins for backend servers, and a load driver."""

import argparse
import sys
import typing

import curio
import msgspec

from ebonywheel import (
    comparison,
    driver,
    enginemodel,
    exceptions,
    kernel,
    logs,
    program,
    settings,
    signals,
    standin,
    standinengine,
    standinplain,
)

# The kernel requires a link secret; stand-ins open no links, so it protects nothing.
STAND_IN_SECRET = b"stand-ins share nothing"


def _parser() -> argparse.ArgumentParser:
    parser = program.parser("ebonywheel-load", "Stand-ins for backend servers and a load driver.")
    kinds = parser.add_subparsers(dest="kind", required=True)
    engine = kinds.add_parser("engine", help="stand-in for a model engine")
    _add_stand_in(engine, "planner")
    for name, default in msgspec.structs.asdict(enginemodel.ModelSettings()).items():
        engine.add_argument(_option_name(name), type=type(default), default=default)
    engine.add_argument("--ignores-fencing", action="store_true")
    _add_stand_in(kinds.add_parser("plain", help="stand-in for a plain service"), "booker")
    driver.add_arguments(kinds.add_parser("drive", help="drive load and print figures"))
    comparison.add_arguments(kinds.add_parser("experiment", help="compare routing policies"))
    return parser


def _add_stand_in(parser: argparse.ArgumentParser, default_engine: str) -> None:
    parser.add_argument("--name", required=True)
    parser.add_argument("--environment", default="production")
    parser.add_argument("--data-centre", required=True)
    parser.add_argument("--address", required=True, help="ip:port to serve at")
    parser.add_argument("--engine", default=default_engine, help="entry under `engines`")
    parser.add_argument("--entries", nargs="+", required=True, help="entry hosts' ip:port")
    parser.add_argument("--secret-file", required=True, help="secret to announce with")
    parser.add_argument("--report-lag-s", type=float, default=0.5)
    parser.add_argument("--seed", type=int, default=1)


def _option_name(name: str) -> str:
    return "--" + name.replace("_", "-")


def main() -> typing.NoReturn:
    """Run the program."""
    parsed = _parser().parse_args()
    try:
        if parsed.kind == "drive":
            sys.exit(driver.main(parsed))
        if parsed.kind == "experiment":
            sys.exit(comparison.main(parsed))
        with logs.handler("INFO").applicationbound():
            curio.run(_run_stand_in, parsed)
    except exceptions.EbonywheelError as error:
        program.exit_with(error)
    sys.exit(program.EXIT_OK)


async def _run_stand_in(parsed: argparse.Namespace) -> None:
    stand_in_settings = standin.StandInSettings(
        parsed.name,
        parsed.environment,
        parsed.data_centre,
        parsed.address,
        parsed.engine,
        parsed.entries,
        settings.read_secret(parsed.secret_file).decode(),
        parsed.report_lag_s,
        parsed.seed,
    )
    host_settings = settings.HostSettings(
        parsed.name, parsed.data_centre, parsed.address, parsed.address, ""
    )
    async with kernel.Kernel("load", host_settings, STAND_IN_SECRET) as core:
        await core.spawn(signals.watch(core, signals.install(core)), essential=True)
        await _create_stand_in(core, stand_in_settings, parsed).start()
        await core.draining.wait()


def _create_stand_in(
    core: kernel.Kernel, stand_in_settings: standin.StandInSettings, parsed: argparse.Namespace
) -> standin.Announcer:
    if parsed.kind == "plain":
        return standinplain.StandInPlain(core, stand_in_settings)
    field_names = enginemodel.ModelSettings.__struct_fields__
    model = enginemodel.ModelSettings(**{name: getattr(parsed, name) for name in field_names})
    return standinengine.StandInEngine(core, stand_in_settings, model, not parsed.ignores_fencing)


if __name__ == "__main__":
    main()
