"""Tests of the policy experiment: targets of the default policy against least outstanding."""

import pytest

from ebonywheel import comparison, experiment, participants, workload

SEED = 1
MAX_STALL_RATIO = 0.1
MAX_PREEMPTION_RATIO = 0.1
BASELINE, DEFAULT = comparison.find_variants(["least_outstanding", "length_aware"])


def simulate(setup, variant, load=1.0, seconds=90.0, **options):
    scenario = participants.Scenario("test", load, seconds, 40.0, **options)
    return experiment.Simulation(workload.SETUPS[setup], scenario, variant, SEED).run()


class TestLoad:
    @pytest.mark.parametrize("setup", sorted(workload.SETUPS))
    def test_default_policy_has_a_tenth_of_the_stalls_and_preemptions_and_no_less_goodput(
        self, setup
    ):
        baseline, default = simulate(setup, BASELINE), simulate(setup, DEFAULT)
        assert baseline.preemptions > 0 and baseline.stall_s > 0
        assert default.stall_s <= MAX_STALL_RATIO * baseline.stall_s
        assert default.preemptions <= MAX_PREEMPTION_RATIO * baseline.preemptions
        assert default.goodput >= baseline.goodput

    def test_same_seed_gives_the_same_figures(self):
        assert simulate("cooperative", DEFAULT, 0.7, 60.0) == simulate(
            "cooperative", DEFAULT, 0.7, 60.0
        )


class TestMove:
    def test_no_request_fails_while_a_data_centre_is_taken_out_and_brought_back_cold(self):
        move = participants.DataCentreMove(1, 45.0, 65.0)
        result = simulate("kommunalforbund", DEFAULT, 0.5, 100.0, move=move)
        assert (result.refused, result.failed, result.fell_over) == (0, 0, 0)
