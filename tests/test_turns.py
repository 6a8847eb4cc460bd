"""Bounded turns of tasks, and the record of those that held the event loop."""

import time
import types

import curio
import h11
import pytest

import netbench
from ebonywheel import (
    callerconnection,
    control,
    engineclient,
    httpclient,
    messages,
    metrics,
    sockets,
    turns,
)

BLOCK = b"x" * 65536


class Log:
    """Keeps the fields of each warning."""

    def __init__(self):
        self.warnings = []

    def warning(self, event, **fields):
        self.warnings.append((event, fields))


class Endless:
    """A raw socket that is always ready, and counts the operations on it."""

    def __init__(self, data=BLOCK):
        self.data = data
        self.operations = 0

    def setblocking(self, blocking):
        return

    def fileno(self):
        return -1

    def getpeername(self):
        return "10.0.0.9", 80

    def recv(self, size, flags=0):
        self.operations += 1
        return self.data

    def send(self, data, flags=0):
        self.operations += 1
        return min(len(data), 4096)

    def accept(self):
        self.operations += 1
        return Endless(), ("10.0.0.9", 80)


async def receive(sock):
    while True:
        await sock.recv(65536)


async def send(sock):
    while True:
        await sock.send(BLOCK)


async def send_all(sock):
    await sock.sendall(BLOCK * 100_000)


async def accept(sock):
    while True:
        await sock.accept()


# Guards against a loop whose operations are always ready: no timer would ever run.
@pytest.mark.parametrize("work", [receive, send, send_all, accept])
def test_a_loop_that_never_waits_ends_with_its_timeout(work):
    async def run():
        with pytest.raises(curio.TaskTimeout):
            async with curio.timeout_after(0.1):
                await work(sockets.Socket(Endless()))

    curio.run(run)


def test_tasks_that_never_wait_take_turns():
    raws = [Endless() for _ in range(6)]

    async def run():
        tasks = [await curio.spawn(receive, sockets.Socket(raw)) for raw in raws]
        late_s = 0.0
        for _ in range(10):
            due_at = time.perf_counter() + 0.02
            await curio.sleep(0.02)
            late_s = max(late_s, time.perf_counter() - due_at)
        for task in tasks:
            await task.cancel()
        return late_s

    late_s = curio.run(run, activations=[turns.Monitor(1.0)], selector=turns.Selector())
    counts = [raw.operations for raw in raws]
    assert late_s < 0.2
    assert max(counts) < 3 * min(counts)


# Guards against a deadline that passes while its task is ready to run, and is forgotten as the task
# leaves a timeout of its own without having waited.
def test_a_deadline_ends_a_loop_of_short_timeouts_that_never_waits():
    ended = []

    async def read(sock):
        while True:
            async with curio.timeout_after(10.0):
                await sock.recv(65536)
            if turns.current.is_over(sock):
                await turns.give_way()

    async def read_until_deadline():
        with pytest.raises(curio.TaskTimeout):
            async with curio.timeout_after(0.1):
                await read(sockets.Socket(Endless()))
        ended.append(1)

    async def run():
        tasks = [await curio.spawn(read_until_deadline) for _ in range(6)]
        await curio.sleep(1.0)
        for task in tasks:
            await task.cancel()

    curio.run(run, activations=[turns.Monitor(1.0)], selector=turns.Selector())
    assert len(ended) == 6


# Guards against parsers that go through thousands of parts of one read without a pause.
@pytest.mark.parametrize("method", ["http", "httpclient"])
def test_small_parts_of_one_read_are_bounded_too(method):
    chunks = b"1\r\nz\r\n" * 10_000
    sock = sockets.Socket(Endless(chunks))
    cycles = []

    async def read():
        if method == "httpclient":
            connection = httpclient.ClientConnection("10.0.0.9:80")
            connection.sock = sock
            connection.conn.send(h11_request())
            connection.conn.receive_data(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
            await connection.response(1.0)
            await connection.body(10.0, 10_000)
        else:
            connection = callerconnection.CallerConnection(Server(), sock, "peer", None)
            connection.conn.receive_data(b"POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: ")
            connection.conn.receive_data(b"chunked\r\n\r\n")
            await connection.read_request()

    async def count_cycles():
        while True:
            cycles.append(1)
            await curio.sleep(0)

    async def run():
        counting = await curio.spawn(count_cycles)
        task = await curio.spawn(read)
        with pytest.raises(curio.TaskError):
            await task.join()
        await counting.cancel()

    curio.run(run, activations=[turns.Monitor(1.0)], selector=turns.Selector())
    assert len(cycles) >= 10_000 // turns.MAX_OPERATIONS


def h11_request():
    return h11.Request(method="GET", target="/", headers=[("host", "a")])


class Server:
    limits = callerconnection.ServerLimits(10_000)
    account = netbench.make_core().callers
    check_head = None


def test_an_engine_stream_parses_a_bounded_number_of_chunks_at_once():
    stream = engineclient.EngineStream(messages.ServerState())
    conn = stream.connection.conn
    conn.send(h11_request())
    conn.receive_data(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
    conn.next_event()
    conn.receive_data(b"1\r\nz\r\n" * 1_000)
    assert len(stream._received_data()) == engineclient.MAX_CHUNKS_AT_ONCE
    rest = 0
    while data := stream._received_data():
        rest += len(data)
    assert rest == 1_000 - engineclient.MAX_CHUNKS_AT_ONCE


class TestMonitor:
    def run(self, limit_s, held_s, times=1):
        """Hold the loop some times; return the metrics and the log."""
        monitor = turns.Monitor(limit_s)
        process_metrics, log = metrics.Metrics(), Log()
        monitor.attach(process_metrics, log)
        sock = sockets.Socket(Endless())

        async def hold():
            for _ in range(times):
                await sock.recv(1)
                time.sleep(held_s)
                await curio.sleep(0)

        async def run():
            await (await curio.spawn(hold)).join()

        turns.run(monitor, run)
        return process_metrics, log

    def test_a_turn_over_the_limit_is_logged_with_its_task_and_peer(self):
        process_metrics, log = self.run(0.02, 0.05)
        ((event, fields),) = log.warnings
        assert event == "loop_held"
        assert "hold" in fields["task"]
        assert (fields["peer"], fields["count"]) == ("10.0.0.9:80", 1)
        assert fields["held_ms"] >= 50
        assert process_metrics.value("loop_held_too_long") == 1

    def test_log_lines_are_bounded(self):
        process_metrics, log = self.run(0.001, 0.005, times=20)
        assert len(log.warnings) == 1
        assert process_metrics.value("loop_held_too_long") == 20

    def test_turns_under_the_limit_are_in_the_histogram_alone(self):
        process_metrics, log = self.run(1.0, 0.01)
        assert log.warnings == []
        assert "ebonywheel_loop_held_seconds_count 1" in process_metrics.render()


def test_a_program_may_set_shorter_turns(monkeypatch):
    now = [0.0]
    monkeypatch.setattr(turns.time, "perf_counter", lambda: now[0])
    turn = turns.Turn()
    turn.max_s = turns.MAX_TURN_S / 4
    now[0] = 0.9 * turn.max_s
    assert not any(turn.is_over() for _ in range(turns.CHECK_INTERVAL))
    now[0] = 1.1 * turn.max_s
    assert any(turn.is_over() for _ in range(turns.CHECK_INTERVAL))


# Guards against changes that wait at each control host for long turns of all callers.
def test_control_hosts_set_shorter_turns(monkeypatch):
    class FirstTaskError(Exception):
        pass

    def fail(*arguments, **options):
        raise FirstTaskError

    monkeypatch.setattr(turns, "current", turns.Turn())
    core = types.SimpleNamespace(spawn=fail)
    host = types.SimpleNamespace(core=core, pauses=types.SimpleNamespace(run=lambda: None))
    with pytest.raises(FirstTaskError):
        curio.run(control.ControlHost.start, host)
    assert turns.current.max_s == control.MAX_TURN_S < turns.MAX_TURN_S
