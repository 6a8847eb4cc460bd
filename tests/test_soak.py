"""A short seeded run of the fault soak, and seeds that failed before."""

import types

import pytest

import soak.__main__
from soak import promises, sums

# Shortest run in which most kinds of faults strike.
MINUTES = 0.35


# Guards against a breach that is no breach, as a caller looks at it after its host's fault is over.
def test_a_fault_counts_at_the_time_at_which_an_answer_broke_off(monkeypatch):
    clock = types.SimpleNamespace(now=100.0)
    monkeypatch.setattr(sums.time, "monotonic", lambda: clock.now)
    node = types.SimpleNamespace(name="entry-1", role="entry")
    disturbances = sums.Disturbances()
    for action in (disturbances.begin, disturbances.begin, disturbances.end, disturbances.end):
        clock.now += 1.0
        action(node)
    ended_at = clock.now + sums.STABLE_WINDOW_S
    clock.now += 60.0
    assert disturbances.has_no_fault("entry-1")
    faulty = [at for at in range(90, 120) if not disturbances.has_no_fault("entry-1", at + 0.5)]
    assert faulty == list(range(101, int(ended_at)))


class LoggedHost:
    """An entry host of which only its log is known."""

    role = "entry"

    def __init__(self, name, **entries):
        self.name = name
        self.entries = entries

    def events(self, name):
        return [{"request": "c1-1", **entry} for entry in self.entries.get(name, [])]


# Guards against a breach that is no breach, as the host that was asked left out its line of the
# request among those of a flood, while the host that it relayed the request to was killed.
@pytest.mark.parametrize(
    ("request_lines", "choices", "owed"),
    [
        ([{"relayed_by": "entry-2"}], [], False),
        ([], [{}], False),
        ([], [], True),
        ([{"relayed_by": ""}], [{}], True),
    ],
    ids=[
        "logged by the asked host",
        "logged by the relaying host",
        "not relayed",
        "chosen for, but served by the asked host",
    ],
)
def test_a_relay_that_was_killed_is_found_in_any_log(request_lines, choices, owed):
    asked = LoggedHost("entry-1", request=request_lines, server_chosen=[{}])
    relaying = LoggedHost("entry-2", server_chosen=choices)
    ledger = promises.Ledger()
    ledger.arrived("c1-1", types.SimpleNamespace(is_sound=lambda at=None: True))
    ledger.disturbances.begin(relaying)
    now = sums.time.monotonic()
    assert ledger.is_owed_answer("c1-1", asked, False, now, [asked, relaying]) is owed


# 131: SIGHUP right after the start of all control hosts ended them.
@pytest.mark.parametrize("seed", [1, 131])
def test_no_promise_is_broken(tmp_path, seed):
    report = soak.__main__.run(tmp_path / "soak", seed, MINUTES, processes=5)
    assert report["broken"] == []
    assert report["served"] > 50
