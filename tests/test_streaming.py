"""Relaying of a stream whose server sends bytes but no events."""

import types

import curio
import pytest

from ebonywheel import exceptions, messages
from ebonywheel.gateway import crashes, events, relayedrun, streaming

STALL_S = 1.0
INTERVAL_S = 0.05


class ScriptedConnection:
    """Yields parts of a stream at a fixed interval, then its end."""

    close_delimited = False

    def __init__(self, parts):
        self.parts = list(parts)

    async def read_chunk(self, timeout_s):
        try:
            async with curio.timeout_after(timeout_s):
                await curio.sleep(INTERVAL_S)
        except curio.TaskTimeout as error:
            raise exceptions.UpstreamError("silent", "read", timed_out=True) from error
        return self.parts.pop(0) if self.parts else None


class Exchange:
    """Collects what the caller gets."""

    def __init__(self):
        self.written = b""

    async def write(self, data):
        self.written += data


class Context:
    """The parts of a request's state that relaying uses; the deadline is far away."""

    def __init__(self, clock):
        self.request = types.SimpleNamespace(method="POST", attempt="a")
        self.route = types.SimpleNamespace(max_gap_s=0.0)
        self.deadline_at = clock.monotonic() + 60.0
        self.first_event_at = 0.0
        self.last_event_at = 0.0

    def record_events(self, now):
        self.first_event_at = self.first_event_at or now
        self.last_event_at = now


class CrashReporter:
    """Takes notice of nothing."""

    async def record_progress(self, context):
        return


class Sender:
    """Takes every server that ends an answer for alive."""

    view = types.SimpleNamespace(paces=None)

    def record_heard(self, reply):
        return

    async def confirm_end(self, reply):
        return

    def record_events(self, reply):
        return

    async def abandon(self, reply, error=None):
        return


def relay(monkeypatch, parts):
    """Relay a stream of these parts and return what the caller got of it."""
    from ebonywheel import clock

    monkeypatch.setattr(streaming, "STALL_TIMEOUT_S", STALL_S)
    core = types.SimpleNamespace(clock=clock.SystemClock())
    sender = Sender()
    forwarder = streaming.StreamForwarder(core, sender, None, CrashReporter(), None)
    reply = types.SimpleNamespace(
        record=messages.DirectoryRecord("s", address="10.0.0.1:80"),
        head=types.SimpleNamespace(headers=[("content-type", "text/event-stream")]),
        connection=ScriptedConnection(parts),
        tokens_to_read=0,
    )
    exchange = Exchange()
    curio.run(forwarder._relay_events, exchange, relayedrun.Run(Context(core.clock), reply))
    return exchange.written


def test_a_stalled_stream_ends_although_bytes_arrive_now_and_then(monkeypatch):
    with pytest.raises(exceptions.UpstreamError) as caught:
        relay(monkeypatch, [b"id: 1\n\n"] + [b":"] * 1000)
    assert caught.value.timed_out


def test_a_slow_but_sound_stream_is_relayed_to_its_end(monkeypatch):
    parts = [b"id: 1\n\n"] + [b"id: 2\n", b":", b":", b"\n\n"] * 10
    assert relay(monkeypatch, parts) == b"".join(parts)


def test_a_stream_may_wait_for_its_first_event_until_the_deadline(monkeypatch):
    parts = [b":\n"] * 30 + [b"id: 1\n\n"]
    assert relay(monkeypatch, parts) == b"".join(parts)


def test_an_event_without_end_breaks_the_stream(monkeypatch):
    part = b"x" * (events.MAX_EVENT_BYTES // 2)
    with pytest.raises(exceptions.UpstreamError):
        relay(monkeypatch, [b"id: 1\n\n"] + [part] * 1000)


class StalledConnection:
    """Has sent the head of an answer and sends none of its body."""

    async def body(self, timeout_s, limit):
        await curio.sleep(timeout_s)
        raise exceptions.UpstreamError("no complete response in time", "read", timed_out=True)


# Guards against a request that outlasts its deadline, and keeps a stopping host from ending, as its
# server stalls in an answer that is no stream.
def test_an_answer_that_is_no_stream_ends_with_the_deadline():
    from ebonywheel import clock

    async def scenario():
        core = types.SimpleNamespace(clock=clock.SystemClock())
        forwarder = streaming.StreamForwarder(core, Sender(), None, CrashReporter(), None)
        reply = types.SimpleNamespace(connection=StalledConnection())
        context = Context(core.clock)
        context.deadline_at = core.clock.monotonic() + STALL_S
        async with curio.timeout_after(10 * STALL_S):
            await forwarder._relay_complete(Exchange(), context, reply)

    with pytest.raises(exceptions.UpstreamError):
        curio.run(scenario)


class LeavingExchange:
    """A caller that leaves before its answer begins."""

    async def start(self, status, headers):
        raise exceptions.HttpError("caller left", "write", "caller")


# Guards against a request that counts as in flight for ever.
def test_an_answer_whose_caller_left_before_its_head_is_given_up(monkeypatch):
    from ebonywheel import clock

    core = types.SimpleNamespace(clock=clock.SystemClock())
    sender = Sender()
    forwarder = streaming.StreamForwarder(core, sender, None, CrashReporter(), None)
    reply = types.SimpleNamespace(
        record=messages.DirectoryRecord("s"), head=types.SimpleNamespace(status=200, headers=[])
    )
    abandoned = []

    async def start_run(context):
        return reply

    async def abandon(reply, error=None):
        abandoned.append(reply)

    monkeypatch.setattr(forwarder, "_start_run", start_run)
    monkeypatch.setattr(sender, "abandon", abandon, raising=False)
    with pytest.raises(exceptions.HttpError):
        curio.run(forwarder.forward, LeavingExchange(), Context(core.clock))
    assert abandoned == [reply]


class Copies:
    """A copy that may, or may not, be gone on at."""

    def __init__(self, usable):
        self.usable = usable

    async def stop(self, run):
        return True

    def is_usable(self, copy):
        return self.usable


def resume(monkeypatch, usable, admitted=True, stopped=False, handed_over=False, answered_s=0.0):
    """Relay a run that breaks off, its copy's server being out of service.

    Args:
        usable: Whether its copy may be gone on at.
        admitted: Whether requests like it may be sent to servers.
        stopped: Whether its server has said that it stopped it.
        handed_over: Whether that was asked of it for a hand-over.
        answered_s: For how long its answer had gone on.

    Returns:
        The servers that it went on at, and those that it was reported at as late.
    """
    from ebonywheel import clock

    copied_to = messages.DirectoryRecord("copy", address="10.0.0.2:80")
    view = types.SimpleNamespace(remains_in_service=lambda record: False)
    resumed, late = [], []

    async def nothing(*arguments):
        return True

    async def admit(context):
        return admitted

    async def send(context, record, resume):
        resumed.append(record.server)
        head = types.SimpleNamespace(status=streaming.STATUS_OK)
        return types.SimpleNamespace(record=record, head=head)

    async def relay_events(exchange, run):
        if not resumed:
            raise exceptions.UpstreamError("broke off", "read", "server", True)

    async def report_late(run):
        late.append(run.record.server)

    async def scenario():
        core = types.SimpleNamespace(
            clock=clock.SystemClock(), log=types.SimpleNamespace(info=lambda *a, **f: None)
        )
        sender = types.SimpleNamespace(view=view, abandon=nothing, finish=nothing)
        reporter = crashes.CrashReporter(
            core, types.SimpleNamespace(pool=None, view=view), None, None
        )
        reporter.admit, reporter.record_success = admit, nothing
        forwarder = streaming.StreamForwarder(core, sender, None, reporter, None)
        forwarder.copies = Copies(usable)
        forwarder.on_late_run.append(report_late)
        for name, fake in [
            ("_send", send),
            ("_relay_events", relay_events),
            ("_record_broken", nothing),
        ]:
            monkeypatch.setattr(forwarder, name, fake)
        context = Context(core.clock)
        context.request.attempt = "a"
        if answered_s:
            context.first_event_at = core.clock.monotonic() - answered_s
        head = types.SimpleNamespace(headers=[("content-type", "text/event-stream")])
        server = messages.DirectoryRecord("server", address="10.0.0.1:80")
        run = relayedrun.Run(context, types.SimpleNamespace(record=server, head=head))
        reservation = types.SimpleNamespace(release=lambda: None)
        run.replace_copy(relayedrun.Copy(copied_to, server.address, "h", reservation))
        run.stopped = stopped
        if handed_over:
            run.move_finished = curio.Event()
            await run.move_finished.set()
        await forwarder._relay(Exchange(), run)

    curio.run(scenario)
    return resumed, late


# Guards against a run that was stopped for a hand-over, and with which nobody goes on then.
def test_a_run_goes_on_at_a_usable_copy_and_is_moved_from_there(monkeypatch):
    assert resume(monkeypatch, usable=True) == (["copy"], ["copy"])


def test_a_run_does_not_go_on_at_a_copy_that_is_not_usable(monkeypatch):
    with pytest.raises(exceptions.UpstreamError):
        resume(monkeypatch, usable=False)


# Guards against a sound run that is stopped for a hand-over, and then refused as equal ones are
# suspected of crashing servers.
def test_a_run_that_was_stopped_for_a_hand_over_goes_on_though_suspect(monkeypatch):
    resumed, _ = resume(monkeypatch, True, admitted=False, stopped=True, handed_over=True)
    assert resumed == ["copy"]


def test_a_run_whose_server_survived_it_goes_on_though_suspect(monkeypatch):
    survived_s = crashes.SURVIVED_S + 0.1
    resumed, _ = resume(monkeypatch, True, admitted=False, stopped=True, answered_s=survived_s)
    assert resumed == ["copy"]


@pytest.mark.parametrize(
    ("stopped", "handed_over", "answered_s"),
    [(True, False, 0.1), (False, False, 5.0), (False, True, 5.0)],
    ids=["it has just begun", "its server has crashed", "its server has crashed meanwhile"],
)
def test_a_suspect_run_that_may_have_crashed_its_server_ends(
    monkeypatch, stopped, handed_over, answered_s
):
    with pytest.raises(exceptions.UpstreamError):
        resume(monkeypatch, True, False, stopped, handed_over, answered_s)
