"""The policy experiment: the aims of the default policy against least outstanding."""

import pytest

from ebonywheel import comparison, experiment, participants, workload

SEED = 1
STALL_AIM = 0.1
PREEMPTION_AIM = 0.1
BASE, OURS = comparison.variants(["least_outstanding", "length_aware"])


def run(setup, variant, load=1.0, seconds=90.0, **options):
    made = participants.Scenario("test", load, seconds, 40.0, **options)
    return experiment.Run(workload.SETUPS[setup], made, variant, SEED).run()


class TestLoad:
    @pytest.mark.parametrize("setup", sorted(workload.SETUPS))
    def test_a_tenth_of_the_stalls_and_preemptions_at_no_loss_of_goodput(self, setup):
        base, ours = run(setup, BASE), run(setup, OURS)
        assert base.preemptions > 0 and base.stall_s > 0
        assert ours.stall_s <= STALL_AIM * base.stall_s
        assert ours.preemptions <= PREEMPTION_AIM * base.preemptions
        assert ours.goodput >= base.goodput

    def test_same_seed_gives_the_same_figures(self):
        assert run("cooperative", OURS, 0.7, 60.0) == run("cooperative", OURS, 0.7, 60.0)


class TestMove:
    def test_no_request_fails_while_a_data_centre_leaves_and_returns_cold(self):
        move = participants.Move(1, 45.0, 65.0)
        found = run("kommunalforbund", OURS, 0.5, 100.0, move=move)
        assert (found.refused, found.failed, found.fell_over) == (0, 0, 0)
