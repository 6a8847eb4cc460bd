"""Copies of running generations at other engines, without a network."""

import types

import curio
import msgspec
import pytest

from ebonywheel import clock, directory, exceptions, messages
from ebonywheel.gateway import balance, copies, dialect, inflight, liveness, relayedrun

SOURCE = messages.DirectoryRecord("source", address="10.0.0.1:80")
DESTINATION = messages.DirectoryRecord("destination", address="10.0.0.2:80")
DONE = dialect.CopyResult(True, "new", False)
NO_ROOM = dialect.CopyResult(False, "kept at the source", False)
IN_PROGRESS = dialect.CopyResult(False, "", False)
NO_SUCH_RUN = dialect.CopyResult(False, "", True)
SILENT = exceptions.UpstreamError("no answer in time", "wait", SOURCE.address, True, timed_out=True)
REFUSED = exceptions.UpstreamError("connection refused", "connect", SOURCE.address)
REFUSED.__cause__ = ConnectionRefusedError()
UNREACHED = exceptions.UpstreamError("no connection in time", "connect", timed_out=True)


class Sender:
    """Gives the scripted results of calls, after doing something to the run meanwhile.

    Attributes:
        in_service: Whether the servers are in service.
        dropped: Handles of the copies that were dropped.
    """

    def __init__(self, results, meanwhile=lambda: None):
        self.results = list(results)
        self.meanwhile = meanwhile
        self.dropped = []
        self.state = balance.ServerState()
        self.in_service = True
        self.view = types.SimpleNamespace(
            state_of=lambda record: self.state,
            remains_in_service=lambda record: self.in_service,
            directory=directory.Directory(clock.SystemClock()),
        )
        self.dialect = types.SimpleNamespace(
            copy_call=lambda attempt, address, stop: "copy",
            decode_copy=lambda status, body: body,
            drop_copy_call=lambda handle: handle,
        )

    async def call_engine(self, record, call, timeout_s):
        if call != "copy":
            self.dropped.append(call)
            return 200, b""
        self.meanwhile()
        result = self.results.pop(0) if len(self.results) > 1 else self.results[0]
        if isinstance(result, exceptions.UpstreamError):
            raise result
        return 200, result


def make_copies(sender, time_source=None):
    ignore = types.SimpleNamespace(info=lambda *a, **f: None, warning=lambda *a, **f: None)
    time_source = time_source or clock.ManualClock()
    return copies.Copies(types.SimpleNamespace(clock=time_source, log=ignore), sender)


def make_run(sender):
    request = types.SimpleNamespace(
        method="POST", attempt="attempt", prompt=dialect.Prompt(3_000, 800)
    )
    deadline_at = max(clock.ManualClock().now, clock.SystemClock().monotonic()) + 10
    context = types.SimpleNamespace(request=request, deadline_at=deadline_at)
    reply = types.SimpleNamespace(record=SOURCE, head=types.SimpleNamespace(headers=[]))
    run = relayedrun.Run(context, reply)
    reservation = inflight.Reservation(sender.state, 1, requests=0)
    run.replace_copy(relayedrun.Copy(DESTINATION, SOURCE.address, "old", reservation))
    return run


def end(run):
    run.closed = True


def resume_elsewhere(run):
    run.record = DESTINATION


def break_off(run):
    run.broken = True


# Guards against a run that continues from a state that another server has left behind.
@pytest.mark.parametrize(
    ("meanwhile", "used"),
    [(end, False), (resume_elsewhere, False), (break_off, True), (lambda run: None, True)],
)
def test_a_copy_is_used_only_while_its_run_is_where_it_was_copied_from(meanwhile, used):
    sender = Sender([DONE], lambda: meanwhile(run))
    run = make_run(sender)
    curio.run(make_copies(sender).make, run, DESTINATION, False)
    assert run.copy.handle == ("new" if used else "old")
    assert sender.dropped == ([] if used else ["new"])
    assert sender.state.tokens == (run.copy.reservation.tokens)


def report(sender, record, age_s, **fields):
    """Let a server have reported some time ago."""
    record = msgspec.structs.replace(record, age_ms=int(age_s * 1000), **fields)
    sender.view.directory.observe(record)


@pytest.fixture
def short_times(monkeypatch):
    """Let a server count as ended after some tenths of a second."""
    monkeypatch.setattr(copies, "STOP_TIMEOUT_S", 0.6)
    monkeypatch.setattr(copies, "CONNECT_RETRY_S", 0.02)
    monkeypatch.setattr(liveness, "MIN_FAILING_S", 0.1)
    monkeypatch.setattr(liveness, "MAX_UNHEARD_S", 0.2)
    monkeypatch.setattr(balance, "MAX_REPORT_AGE_S", 0.3)


# Guards against a run that goes on at its copy while the engine before works on it.
@pytest.mark.parametrize(
    ("results", "stopped", "handle"),
    [
        ([DONE], True, "new"),
        ([NO_ROOM], True, "old"),
        ([NO_SUCH_RUN], True, "old"),
        ([IN_PROGRESS, IN_PROGRESS, DONE], True, "new"),
        ([SILENT, NO_SUCH_RUN], True, "old"),
        ([REFUSED, REFUSED, DONE], True, "new"),
        ([UNREACHED, UNREACHED, DONE], True, "new"),
        ([REFUSED], True, "old"),
        ([SILENT, UNREACHED], True, "old"),
        ([SILENT], False, "old"),
        ([IN_PROGRESS], False, "old"),
    ],
    ids=[
        "stopped",
        "stopped without a copy",
        "ended before",
        "copied at first",
        "silent at first",
        "at its limit at first",
        "a lost packet at first",
        "crashed",
        "out of reach",
        "silent",
        "never",
    ],
)
def test_a_run_that_broke_off_is_stopped(short_times, results, stopped, handle):
    sender = Sender(results)
    report(sender, SOURCE, 60.0)
    report(sender, DESTINATION, 0.0)
    run = make_run(sender)
    made = make_copies(sender, clock.SystemClock())
    assert curio.run(made.stop, run) == stopped
    assert run.copy.handle == handle
    assert sender.state.tokens == run.copy.reservation.tokens


# Guards against a run that goes on at its copy while the engine before, which refuses connections
# at its limit, works on it.
@pytest.mark.parametrize("sign", ["events of other runs", "reports"])
def test_a_run_at_a_server_that_refuses_connections_but_shows_life_is_not_resumed(
    short_times, sign
):
    def show_life():
        if sign == "reports":
            report(sender, SOURCE, 0.0, sequence=sender.view.directory.position + 1)
        else:
            sender.state.heard_at = clock.SystemClock().monotonic()

    sender = Sender([REFUSED], show_life)
    report(sender, SOURCE, 60.0 if sign != "reports" else 0.0)
    report(sender, DESTINATION, 0.0)
    run = make_run(sender)
    assert not curio.run(make_copies(sender, clock.SystemClock()).stop, run)


# Guards against a second call to an engine that has stopped the run in a planned hand-over.
def test_a_run_that_was_handed_over_is_not_stopped_again():
    sender = Sender([DONE])
    run = make_run(sender)
    made = make_copies(sender)
    curio.run(made.make, run, DESTINATION, True)
    sender.results = [IN_PROGRESS]
    assert curio.run(made.stop, run)


# Guards against runs that are stopped and then broken off, as the data centre of their copy was
# taken out while they were handed over.
@pytest.mark.parametrize(
    ("out_for_s", "usable"),
    [(0.0, True), (copies.MAX_OUT_OF_SERVICE_S, True), (copies.MAX_OUT_OF_SERVICE_S + 0.1, False)],
)
def test_a_copy_is_usable_just_after_its_server_went_out_of_service(out_for_s, usable):
    sender = Sender([DONE])
    run = make_run(sender)
    made = make_copies(sender)
    curio.run(made.make, run, DESTINATION, False)
    assert made.is_usable(run.copy)
    sender.in_service = False
    made.core.clock.advance(out_for_s)
    curio.run(made.make, run, DESTINATION, True)
    assert made.is_usable(run.copy) == usable


def test_a_copy_at_a_server_that_was_out_of_service_is_not_usable():
    sender = Sender([DONE])
    sender.in_service = False
    run = make_run(sender)
    run.replace_copy(None)
    made = make_copies(sender)
    curio.run(made.make, run, DESTINATION, True)
    assert not made.is_usable(run.copy)
