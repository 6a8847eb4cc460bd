"""Comparison of routing policies in one run of the policy experiment, as a table or JSON."""

import argparse

import msgspec

from ebonywheel import experiment, figures, memorygate, participants, program, registry, workload

BASELINE = "least_outstanding"
ORACLE = "oracle"
ORACLE_MARGIN = 0.0
ORACLE_HEADROOM = 0.02
BURST_FACTOR = 6.0
BURST_START_S = 70.0
BURST_END_S = 110.0
MOVE_OUT_S = 60.0
MOVE_BACK_S = 100.0
MOVED_REGION = 1
SCENARIOS = ("steady", "burst", "move")
LOADS = (0.7, 1.0, 1.3)


class Comparison(msgspec.Struct):
    """The figures of all variants under one scenario, with the same arrivals.

    Attributes:
        load: Offered tokens as a part of what the engines decode with their memory just full.
        seeds: Seeds of the arrivals; the figures are means over these.
        figures: By name of the variant.
        ratios: The same as ratios to least outstanding; None where that is zero.
    """

    setup: str
    scenario: str
    load: float
    seeds: list[int]
    figures: dict[str, dict[str, float]]
    ratios: dict[str, dict[str, float | None]]


def variants(names: list[str]) -> list[participants.Variant]:
    """Return the variants with these names: routing policies and the oracle."""
    registry.load_plugins()
    found = []
    for name in names:
        if name == ORACLE:
            policy = registry.plugins.find("policy", "length_aware")
            found.append(participants.Variant(name, policy, True, ORACLE_MARGIN, ORACLE_HEADROOM))
        else:
            policy = registry.plugins.find("policy", name)
            found.append(participants.Variant(name, policy, False, memorygate.MARGIN))
    return found


def scenario(name: str, load: float, setup: workload.Setup, parsed: argparse.Namespace):
    """Return a scenario by its name."""
    made = participants.Scenario(
        name, load, parsed.seconds, parsed.warm_up_s, warm_slots=parsed.warm_slots
    )
    if name == "burst":
        customer = setup.customers[1].name
        made.burst = workload.Burst(customer, BURST_START_S, BURST_END_S, BURST_FACTOR)
    elif name == "move":
        made.move = participants.Move(MOVED_REGION, MOVE_OUT_S, MOVE_BACK_S)
    return made


def compare(
    setup: workload.Setup,
    made: participants.Scenario,
    tried: list[participants.Variant],
    seeds: list[int],
) -> Comparison:
    """Run all variants under one scenario."""
    found = {}
    for variant in tried:
        runs = [experiment.Run(setup, made, variant, seed).run() for seed in seeds]
        found[variant.name] = _mean(runs)
    base = found.get(BASELINE, {})
    ratios = {
        name: {key: _ratio(value, base.get(key)) for key, value in values.items()}
        for name, values in found.items()
    }
    return Comparison(setup.name, made.name, made.load, seeds, found, ratios)


def table(comparison: Comparison) -> str:
    """Return a comparison as text: each figure, and in brackets its ratio to the baseline."""
    names = list(comparison.figures)
    seeds = ", ".join(map(str, comparison.seeds))
    lines = [
        f"{comparison.setup}, {comparison.scenario}, load {comparison.load:g}, seeds {seeds}",
        " " * 20 + "".join(f"{name:>26}" for name in names),
    ]
    for key in next(iter(comparison.figures.values())):
        cells = [
            _cell(comparison.figures[name][key], comparison.ratios[name][key]) for name in names
        ]
        lines.append(f"{key:20}" + "".join(f"{cell:>26}" for cell in cells))
    return "\n".join(lines)


def add_arguments(parser: argparse.ArgumentParser) -> None:
    """Add the experiment's options."""
    known = ["round_robin", "least_outstanding", "two_choices", "length_aware", ORACLE]
    parser.add_argument("--policies", nargs="+", default=known, help="policies, or `oracle`")
    parser.add_argument("--setups", nargs="+", choices=list(workload.SETUPS), default=None)
    parser.add_argument("--scenarios", nargs="+", choices=SCENARIOS, default=["steady"])
    parser.add_argument("--loads", nargs="+", type=float, default=list(LOADS))
    parser.add_argument("--seeds", nargs="+", type=int, default=[1, 2, 3])
    parser.add_argument("--seconds", type=float, default=180.0, help="virtual time of arrivals")
    parser.add_argument("--warm-up-s", type=float, default=40.0, help="time not measured")
    parser.add_argument("--warm-slots", type=int, default=32, help="slots of a warm server")
    parser.add_argument("--json", action="store_true", help="print JSON in place of tables")


def main(parsed: argparse.Namespace) -> int:
    """Run the experiment, print the figures and return the exit code."""
    tried = variants(parsed.policies)
    for name in parsed.setups or list(workload.SETUPS):
        setup = workload.SETUPS[name]
        for kind in parsed.scenarios:
            for load in parsed.loads:
                made = scenario(kind, load, setup, parsed)
                found = compare(setup, made, tried, parsed.seeds)
                text = msgspec.json.encode(found).decode() if parsed.json else table(found)
                print(text, flush=True)
    return program.EXIT_OK


def _mean(runs: list[figures.Figures]) -> dict[str, float]:
    names = [name for name in figures.Figures.__struct_fields__ if name != "name"]
    return {name: round(sum(getattr(run, name) for run in runs) / len(runs), 3) for name in names}


def _ratio(value: float, base: float | None) -> float | None:
    return round(value / base, 3) if base else None


def _cell(value: float, ratio: float | None) -> str:
    return f"{value:g}" + (f" ({ratio:.2f})" if ratio is not None else "")
