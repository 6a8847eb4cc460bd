"""Fuzz test of non-repeatable calls over real processes under faults.

Each key runs at most once and has one answer, and a call reported as "not run" did not run. CI runs
one seed for a bounded time. A longer run by hand:

    EBONYWHEEL_FUZZ_S=300 EBONYWHEEL_FUZZ_SEED=7 scripts/test -s tests/test_fuzz_calls.py
"""

import os

from callfuzz import CallFuzz

SECONDS = float(os.environ.get("EBONYWHEEL_FUZZ_S", "11"))
SEED = int(os.environ.get("EBONYWHEEL_FUZZ_SEED", "3"))


class TestCalls:
    def test_each_key_runs_at_most_once_and_has_one_answer(self, tmp_path):
        fuzz = CallFuzz(tmp_path, SEED)
        try:
            fuzz.start().run(SECONDS).check()
            print(fuzz.summary())
        finally:
            fuzz.close()
