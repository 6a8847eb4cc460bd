"""Bounds of roll-outs in the settings, on the platform and elsewhere."""

import msgspec
import pytest

from ebonywheel import rollouts, settings
from ebonywheel_platform import boot

BOOT = {
    "node-name": "control-1",
    "ip": "127.0.0.1",
    "zone": "puget-a",
    "internal-ports": [17200, 17215],
    "seeds": ["127.0.0.1:18748"],
    "listen": {"control": "127.0.0.1:18748"},
    "data-dir": "data",
}


def control_settings(**bounds):
    read = msgspec.convert({**BOOT, "bounds": bounds}, boot.BootSettings)
    assert list(boot.find_problems(read)) == []
    return boot.control_settings(read).rollout


def test_the_platform_states_its_bounds():
    stated = {"exposure-share": 0.2, "exposure-slack": 30, "rollback-ms": 2000}
    assert control_settings(**stated) == settings.RolloutSettings(0.2, 30.0, 2.0)


def test_bounds_that_are_left_out_or_no_time_are_the_usual_ones():
    assert control_settings() == settings.RolloutSettings()
    assert control_settings(**{"rollback-ms": 0}) == settings.RolloutSettings()


@pytest.mark.parametrize(("key", "value"), [("exposure-share", 1.5), ("exposure-slack", -1)])
def test_a_bound_that_is_none_is_named(key, value):
    read = msgspec.convert({**BOOT, "bounds": {key: value}}, boot.BootSettings)
    assert [key in text for text in boot.find_problems(read)] == [True]


# A lease leaves time for the evidence and the verdict.
def test_a_share_is_leased_for_less_than_a_bad_version_may_get_requests():
    assert rollouts.lease_ms(settings.RolloutSettings(rollback_s=5.0)) == 2000
    assert rollouts.lease_ms(settings.RolloutSettings(rollback_s=2.0)) == 800
