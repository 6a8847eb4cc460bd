"""Catching up with a running generation before it is stopped and handed over, without a network.

Guards against long pauses when several servers that leave share the links of their neighbours: the
copy after the stop queues behind the copies of other runs, and the caller gets nothing meanwhile.
"""

import types

import curio
import pytest

from ebonywheel import clock, messages
from ebonywheel.gateway import balance, dialect, moves, relayedrun

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


class Permits:
    """Permits no request to one server."""

    def __init__(self, denied):
        self.denied = denied

    async def acquire(self, record):
        return record is not self.denied


# Guards against runs that are continued at a server beyond the limit that it states.
def test_a_run_moves_to_a_server_that_takes_another_request(monkeypatch):
    limited = messages.DirectoryRecord("limited", address="10.0.0.3:80")
    offered = [limited, DESTINATION]
    copied_to = []

    def choose(run, excluded, move):
        return next(
            types.SimpleNamespace(record=each) for each in offered if each.server not in excluded
        )

    async def copy(run, record, stop):
        copied_to.append(record.server)
        return dialect.CopyResult(True, "h", False)

    mover = Mover([])
    mover.streams = types.SimpleNamespace(permits=Permits(limited))
    monkeypatch.setattr(mover, "_choose_destination", choose)
    monkeypatch.setattr(mover, "_copy", copy)
    move = types.SimpleNamespace(start_s=0.0, hand_over_s=0.0)
    curio.run(mover._copy_and_hand_over, make_run(), move, mover.core.clock.monotonic())
    assert set(copied_to) == {"destination"}


class Sender:
    """Answers a copy call after doing something to the run meanwhile."""

    def __init__(self, meanwhile):
        self.meanwhile = meanwhile
        self.view = types.SimpleNamespace(state_of=lambda record: self.state)
        self.state = balance.ServerState()
        self.dialect = types.SimpleNamespace(
            copy_call=lambda attempt, address, stop: dialect.EngineCall("POST", "/copy"),
            decode_copy=lambda status, body: dialect.CopyResult(True, "h", False),
        )

    async def call_engine(self, record, call, timeout_s):
        self.meanwhile()
        return 200, b""


class Streams:
    """Records the copies that are dropped."""

    def __init__(self):
        self.dropped = []

    async def drop_copy(self, attempt, record, copy):
        self.dropped.append(copy.handle)


class Run:
    """A run at the source whose newest copy is recorded."""

    def __init__(self):
        prompt = dialect.Prompt(3_000, 800)
        self.context = types.SimpleNamespace(request=types.SimpleNamespace(prompt=prompt))
        self.record = SOURCE
        self.closed = False
        self.copies = []
        self.splitter = types.SimpleNamespace(count=5)

    def attempt(self):
        return "attempt"

    def replace_copy(self, copy):
        self.copies.append(copy.handle)

    def resume_elsewhere(self):
        self.record = DESTINATION

    def end(self):
        self.closed = True

    def go_on(self):
        return None


@pytest.mark.parametrize("meanwhile", ["resume_elsewhere", "end", "go_on"])
def test_a_copy_is_used_only_while_its_run_is_where_it_was_copied_from(meanwhile):
    """Otherwise the run would continue from a state that another server has left behind."""
    run = Run()
    sender, streams = Sender(getattr(run, meanwhile)), Streams()
    log = types.SimpleNamespace(info=lambda event, **fields: None)
    core = types.SimpleNamespace(clock=clock.ManualClock(), log=log)
    curio.run(moves.Mover(core, sender, streams)._copy, run, DESTINATION, False)
    used = meanwhile == "go_on"
    assert (run.copies, streams.dropped) == ((["h"], []) if used else ([], ["h"]))
    assert bool(sender.state.tokens) == used


# Guards against an answer that is no event stream and is stopped in its middle, which its framing
# then calls whole, or goes on with the bytes of another run.
@pytest.mark.parametrize(
    ("content_type", "moved"), [("text/event-stream", True), ("application/json", False)]
)
def test_only_event_streams_are_moved(content_type, moved):
    service = types.SimpleNamespace(engine=types.SimpleNamespace(supports_moves=True))
    context = types.SimpleNamespace(
        service=service, request=types.SimpleNamespace(method="POST", attempt="a")
    )
    head = types.SimpleNamespace(headers=[("content-type", content_type)])
    run = relayedrun.Run(context, types.SimpleNamespace(record=SOURCE, head=head))
    mover = Mover([])
    mover.streams = types.SimpleNamespace(runs={SOURCE.server: {"a": run}})
    assert mover._movable_runs(SOURCE.server) == ([run] if moved else [])
