"""The build in production and this one side by side, while hosts are replaced one after the other.

`scripts/upgrade` does the same by hand, from any landing and with all kinds of trouble.
"""

import warnings

import pytest

from upgrade import builds, replacement

EARLIER_BUILD = builds.production()
# Fewer and shorter pauses than by hand.
TROUBLE_PAUSE_S = 0.3


@pytest.fixture(scope="module")
def earlier_program(tmp_path_factory):
    """Return the earlier build's program, None if the clone lacks its history."""
    return builds.program(EARLIER_BUILD, tmp_path_factory.mktemp("earlier"))


def check_replacement(folder, earlier_program, order, **options):
    """Replace all hosts, or say that the clone lacks the history for it."""
    if earlier_program is None:
        warnings.warn(f"not tested: the clone lacks {EARLIER_BUILD}", stacklevel=1)
        return
    run = replacement.Replacement(folder, earlier_program, order, **options).run()
    assert run.failures == []
    assert run.callers.outcomes[200] > 0 and run.operator.times


# Guards against hosts of an earlier build that end or stop following beside hosts of this one.
@pytest.mark.parametrize("order", replacement.ORDERS)
@pytest.mark.parametrize("leader", ["first"])
def test_hosts_are_replaced_one_after_the_other(tmp_path, earlier_program, order, leader):
    check_replacement(tmp_path, earlier_program, order, leader=leader)


# Guards against what this build writes that hosts of the earlier one cannot read when it is back.
def test_hosts_are_replaced_and_put_back(tmp_path, earlier_program):
    check_replacement(tmp_path, earlier_program, "in turn", leader="last", trouble="back")


# Guards against hosts that cannot start, or lose what was acknowledged, after a replacement that
# was cut short by SIGKILL, once before and once after the new build began.
def test_hosts_are_killed_in_the_middle_of_their_replacement(tmp_path, earlier_program):
    options = {"trouble": "killed", "pause_s": TROUBLE_PAUSE_S}
    check_replacement(tmp_path, earlier_program, "in turn", leader="first", **options)
