"""Comparison of routing policies in the policy experiment, as a table or JSON."""

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
TAKE_OUT_S = 60.0
BRING_BACK_S = 100.0
MOVED_REGION = 1  # its data centre is taken out in the scenario "move"
SCENARIOS = ("steady", "burst", "move")
LOADS = (0.7, 1.0, 1.3)


class Comparison(msgspec.Struct):
    """The figures of all variants under one scenario, with the same arrivals.

    Attributes:
        load: Offered load as a multiple of `workload.full_memory_rate`.
        seeds: Seeds of the arrivals; the figures are means over the seeds.
        figures: Figures by name, by variant.
        ratios: Figures divided by those of the baseline; None where the baseline's is zero or
            missing.
    """

    setup: str
    scenario: str
    load: float
    seeds: list[int]
    figures: dict[str, dict[str, float]]
    ratios: dict[str, dict[str, float | None]]


def find_variants(names: list[str]) -> list[participants.Variant]:
    """Return the variants of these names: routing policies, or the oracle.

    The oracle is the policy `length_aware` with known answer lengths.
    """
    registry.load_plugins()
    variants = []
    for name in names:
        if name == ORACLE:
            policy = registry.plugins.find("policy", "length_aware")
            variants.append(
                participants.Variant(name, policy, True, ORACLE_MARGIN, ORACLE_HEADROOM)
            )
        else:
            policy = registry.plugins.find("policy", name)
            variants.append(participants.Variant(name, policy, False, memorygate.MARGIN))
    return variants


def make_scenario(name: str, load: float, setup: workload.Setup, parsed: argparse.Namespace):
    """Return the scenario of this name."""
    scenario = participants.Scenario(
        name, load, parsed.seconds, parsed.warm_up_s, warm_slots=parsed.warm_slots
    )
    if name == "burst":
        customer = setup.customers[1].name
        scenario.burst = workload.Burst(customer, BURST_START_S, BURST_END_S, BURST_FACTOR)
    elif name == "move":
        scenario.move = participants.DataCentreMove(MOVED_REGION, TAKE_OUT_S, BRING_BACK_S)
    return scenario


def compare(
    setup: workload.Setup,
    scenario: participants.Scenario,
    variants: list[participants.Variant],
    seeds: list[int],
) -> Comparison:
    """Run all variants under one scenario with each seed and return their mean figures."""
    figures_by_variant = {}
    for variant in variants:
        runs = [experiment.Simulation(setup, scenario, variant, seed).run() for seed in seeds]
        figures_by_variant[variant.name] = _mean_figures(runs)
    baseline = figures_by_variant.get(BASELINE, {})
    ratios = {
        name: {key: _ratio(value, baseline.get(key)) for key, value in values.items()}
        for name, values in figures_by_variant.items()
    }
    return Comparison(setup.name, scenario.name, scenario.load, seeds, figures_by_variant, ratios)


def format_table(comparison: Comparison) -> str:
    """Return a comparison as a text table, with the ratio to the baseline in brackets."""
    names = list(comparison.figures)
    seeds = ", ".join(map(str, comparison.seeds))
    lines = [
        f"{comparison.setup}, {comparison.scenario}, load {comparison.load:g}, seeds {seeds}",
        " " * 20 + "".join(f"{name:>26}" for name in names),
    ]
    for key in next(iter(comparison.figures.values())):
        cells = [
            _format_cell(comparison.figures[name][key], comparison.ratios[name][key])
            for name in names
        ]
        lines.append(f"{key:20}" + "".join(f"{cell:>26}" for cell in cells))
    return "\n".join(lines)


def add_arguments(parser: argparse.ArgumentParser) -> None:
    """Add the experiment's options."""
    policy_names = ["round_robin", "least_outstanding", "two_choices", "length_aware", ORACLE]
    parser.add_argument("--policies", nargs="+", default=policy_names, help="policies, or `oracle`")
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
    variants = find_variants(parsed.policies)
    for name in parsed.setups or list(workload.SETUPS):
        setup = workload.SETUPS[name]
        for scenario_name in parsed.scenarios:
            for load in parsed.loads:
                scenario = make_scenario(scenario_name, load, setup, parsed)
                comparison = compare(setup, scenario, variants, parsed.seeds)
                text = (
                    msgspec.json.encode(comparison).decode()
                    if parsed.json
                    else format_table(comparison)
                )
                print(text, flush=True)
    return program.EXIT_OK


def _mean_figures(runs: list[figures.Figures]) -> dict[str, float]:
    names = [name for name in figures.Figures.__struct_fields__ if name != "name"]
    return {name: round(sum(getattr(run, name) for run in runs) / len(runs), 3) for name in names}


def _ratio(value: float, baseline: float | None) -> float | None:
    return round(value / baseline, 3) if baseline else None


def _format_cell(value: float, ratio: float | None) -> str:
    return f"{value:g}" + (f" ({ratio:.2f})" if ratio is not None else "")
