"""A short seeded run of the fault soak, and seeds that failed before."""

import pytest

import soak.__main__

# Shortest run in which most kinds of faults strike.
MINUTES = 0.35


# 131: SIGHUP right after the start of all control hosts ended them.
@pytest.mark.parametrize("seed", [1, 131])
def test_no_promise_is_broken(tmp_path, seed):
    report = soak.__main__.run(tmp_path / "soak", seed, MINUTES, processes=5)
    assert report["broken"] == []
    assert report["served"] > 50
