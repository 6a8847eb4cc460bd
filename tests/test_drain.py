"""Graceful shutdown of real processes: running work is finished, moved or reported as unknown."""

import signal
import threading
import time

import pytest

from callload import BEARER, Callers, new_key, restart
from cluster import Client, Cluster, Reader, example, request, start_fleet, wait_for

GRACE_S = 0.6
BOOKING_PATH = "/v1/services/rota/calls/slots"


def start_cluster(folder):
    cluster = Cluster(folder, entry=f"drain_grace_s = {GRACE_S}").start()
    cluster.wait_for_leader()
    assert cluster.apply(example("cooperative")).status == 200
    cluster.fleet = start_fleet(cluster, 3, 2)
    wait_for(lambda: all(is_ready(host) for host in cluster.entries), "ready entry hosts")
    return cluster


def is_ready(host):
    try:
        return request(host.http, "GET", "/readyz").status == 200
    except OSError:
        return False


def book_slot(host, key, slot, delay_s=0.0):
    body = b'{"slot":"%b","delay_s":%f}' % (slot.encode(), delay_s)
    return request(host.http, "POST", BOOKING_PATH, [*BEARER, ("idempotency-key", key)], body)


class BackgroundCall(threading.Thread):
    """Calls a function in a thread and keeps its result."""

    def __init__(self, function, *arguments):
        super().__init__(daemon=True)
        self.function = function
        self.arguments = arguments
        self.result = None
        self.start()

    def run(self):
        self.result = self.function(*self.arguments)

    def wait_for_result(self):
        self.join(30.0)
        return self.result


def count_runs(cluster, slot):
    plain_servers = [server for server in cluster.fleet if server.kind == "plain"]
    return sum(
        request(server.address, "GET", "/runs").json().get(slot, 0) for server in plain_servers
    )


@pytest.fixture(scope="module")
def cluster(tmp_path_factory):
    with start_cluster(tmp_path_factory.mktemp("drain")) as running_cluster:
        yield running_cluster


class TestDrain:
    def test_drain_finishes_running_work_and_refuses_new_work(self, cluster):
        entry = cluster.entries[0]
        key = new_key()
        client = Client(entry.http)
        client.send("GET", "/healthz")
        assert client.answer().status == 200
        booking = BackgroundCall(book_slot, entry, key, "slow", 3.0)
        reader = Reader(entry.http)
        assert reader.ask(300) == 200
        reader.read(3)

        entry.process.signal(signal.SIGTERM)
        wait_for(lambda: request(entry.http, "GET", "/readyz").status == 503, "not ready", 0.4)
        # The load balancer still sends requests for a while, so new work is accepted in the grace
        # period, on existing and new connections.
        assert book_slot(entry, new_key(), "in-grace").status == 200
        client.conn.start_next_cycle()
        client.send("GET", "/healthz")
        answer = client.answer()
        assert (answer.status, answer.headers["connection"]) == (200, "close")

        time.sleep(GRACE_S + 0.2)
        refused = book_slot(entry, new_key(), "after-grace")
        assert (refused.status, refused.json()["run"]) == (503, "not run")
        assert refused.headers["connection"] == "close"
        assert count_runs(cluster, "after-grace") == 0
        resumed = request(entry.http, "GET", "/v1/generations/any", BEARER)
        assert (resumed.status, resumed.json()["run"]) == (503, "not run")

        answer = booking.wait_for_result()
        assert (answer.status, answer.json()["run"]) == (200, 1)
        assert reader.read().indexes == list(range(300))
        assert entry.process.popen.wait(20) == 0
        assert book_slot(cluster.entries[1], key, "slow", 3.0).body == answer.body
        assert count_runs(cluster, "slow") == 1
        cluster.start_entry(entry)
        wait_for(lambda: is_ready(entry), "ready again")

    def test_second_interrupt_exits_at_once(self, cluster):
        entry = cluster.entries[1]
        reader = Reader(entry.http)
        reader.ask(2000)
        reader.read(2)
        entry.process.signal(signal.SIGINT)
        time.sleep(0.2)
        entry.process.signal(signal.SIGINT)
        assert entry.process.popen.wait(2.0) == 130
        cluster.start_entry(entry)
        wait_for(lambda: is_ready(entry), "ready again")

    # Guards against a SIGTERM that comes again and ends a host with its streams and calls.
    def test_repeated_signals_cut_nothing(self, cluster):
        entry = cluster.entries[1]
        reader = Reader(entry.http)
        reader.ask(100)
        reader.read(2)
        booking = BackgroundCall(book_slot, entry, new_key(), "repeated", 1.0)
        wait_for(lambda: count_runs(cluster, "repeated") == 1, "the run")
        for number in (signal.SIGTERM, signal.SIGHUP, signal.SIGTERM, signal.SIGINT):
            entry.process.signal(number)
            time.sleep(0.1)
        assert booking.wait_for_result().status == 200
        assert reader.read().indexes == list(range(100))
        assert reader.final == "end"
        entry.process.signal(signal.SIGTERM)
        assert entry.process.popen.wait(20) == 0
        cluster.start_entry(entry)
        wait_for(lambda: is_ready(entry), "ready again")

    def test_repeated_signals_let_a_control_host_end(self, cluster):
        leader = cluster.wait_for_leader()
        host = next(host for host in cluster.controls if host.name == leader)
        for _ in range(4):
            host.process.signal(signal.SIGTERM)
            time.sleep(0.02)
        assert host.process.popen.wait(20) == 0
        cluster.start_control(host)
        cluster.wait_for_leader()


class TestDrainLimit:
    def test_limit_moves_streams_and_reports_calls_as_unknown(self, cluster):
        entry, other_entry = cluster.entries[0], cluster.entries[1]
        entry_options = cluster.options["entry"]
        cluster.options["entry"] = f"{entry_options}\ndrain_limit_s = 1.0"
        restart(cluster, entry, cluster.start_entry)
        cluster.options["entry"] = entry_options
        wait_for(lambda: is_ready(entry), "ready again")
        key = new_key()
        booking = BackgroundCall(book_slot, entry, key, "too-slow", 4.0)
        reader = Reader(entry.http)
        reader.ask(250)
        reader.read(3)
        started_at = time.monotonic()
        assert entry.process.terminate() == 0
        assert time.monotonic() - started_at < 8.0
        reader.read()
        assert reader.final == "moved"
        assert reader.resume(other_entry.http) == 200
        assert reader.read().indexes == list(range(250))
        assert reader.final == "end"
        answer = booking.wait_for_result()
        assert (answer.status, answer.json()["run"]) == (504, "unknown")
        assert "shutting down" in answer.json()["text"]
        repeated_answer = book_slot(other_entry, key, "too-slow", 4.0)
        assert (repeated_answer.status, repeated_answer.json()["run"]) == (504, "unknown")
        assert count_runs(cluster, "too-slow") <= 1
        cluster.start_entry(entry)
        wait_for(lambda: is_ready(entry), "ready again")


class TestRollingRestart:
    def test_restarting_each_host_under_load_loses_no_request(self, cluster):
        callers = Callers(cluster.entries, threads=4, seed=7).start()
        exit_codes = []
        for host in cluster.entries:
            exit_codes.append(restart(cluster, host, cluster.start_entry))
            wait_for(lambda host=host: is_ready(host), "ready again")
        for host in cluster.controls:
            exit_codes.append(restart(cluster, host, cluster.start_control))
            cluster.wait_for_leader()
        callers.end()
        assert exit_codes == [0] * 6
        assert callers.lost == []
        assert set(callers.bookings.values()) <= {1}
        assert min(callers.done.values()) > 0
