"""Catching up with a running generation before it is stopped and handed over, without a network.

Guards against long pauses when several servers that leave share the links of their neighbours: the
copy after the stop queues behind the copies of other runs, and the caller gets nothing meanwhile.
"""

import types

import curio
import pytest

from ebonywheel import clock, messages
from ebonywheel.gateway import dialect, moves

SOURCE = messages.DirectoryRecord("source", address="10.0.0.1:80")
DESTINATION = messages.DirectoryRecord("destination", address="10.0.0.2:80")


class Mover(moves.Mover):
    """Copies take the scripted times on a manual clock."""

    def __init__(self, durations_s, complete=True):
        sender = types.SimpleNamespace(view=None, dialect=None)
        super().__init__(types.SimpleNamespace(clock=clock.ManualClock()), sender, None)
        self.durations_s = list(durations_s)
        self.complete = complete
        self.stops = []

    async def _copy(self, run, record, stop):
        self.core.clock.advance(self.durations_s.pop(0))
        self.stops.append(stop)
        return dialect.CopyResult(self.complete, "h", False)


def make_run(closed=False, record=SOURCE):
    return types.SimpleNamespace(closed=closed, record=record)


@pytest.mark.parametrize(
    ("durations_s", "copies"),
    [([0.01], 1), ([0.3, 0.2, 0.02], 3), ([0.3, 0.05], 2), ([0.3] * 10, 3)],
    ids=["links free", "busy at first", "busy once", "always busy"],
)
def test_copies_are_repeated_until_the_links_are_free(durations_s, copies):
    mover = Mover(durations_s)
    curio.run(mover._catch_up, make_run(), DESTINATION)
    assert mover.stops == [False] * copies


def test_a_refused_copy_is_not_repeated():
    mover = Mover([0.3, 0.3], complete=False)
    curio.run(mover._catch_up, make_run(), DESTINATION)
    assert len(mover.stops) == 1


def test_a_run_that_has_ended_is_not_copied():
    mover = Mover([])
    curio.run(mover._catch_up, make_run(closed=True), DESTINATION)
    assert mover.stops == []
