"""Poison requests: suspected at all entry hosts, run alone, quarantined and released."""

import base64

import curio
import msgspec
import pytest

from callbench import Bench, run
from cluster import (
    Cluster,
    Reader,
    example,
    request,
    start_fleet,
    wait_for,
)
from ebonywheel import exceptions, messages, poison
from test_path import BEARER, new_key

BROKEN = exceptions.UpstreamError("broken", "wait", "booker-1", True)


def holding(fingerprint=b"bad", alone=False):
    created = messages.Holding("loan", "booker-1", 7, "rota", "orchard", fingerprint=fingerprint)
    created.alone = alone
    return created


def server(state="ready", name="booker-1", incarnation=7):
    created = messages.ServerState(name, incarnation, "trial", "puget", "127.0.0.1:9", "booker")
    created.state = state
    return created


async def two_hosts(bench: Bench):
    """Return two entry hosts with the same configuration, and a dead backend server."""
    first, second = bench.host("a"), bench.host("b")
    bench.dead.add("127.0.0.1:9")
    for host in (first, second):
        host.feed.sync()
    return first, second


class TestReport:
    def test_caller_waits_until_the_suspicion_is_in_force_everywhere(self):
        async def scenario(bench):
            first, second = await two_hosts(bench)
            task = await curio.spawn(first.poison.report_if_dead(server(), holding(), BROKEN))
            await curio.sleep(0.05)
            first.feed.sync()
            await curio.sleep(0.3)
            assert not task.terminated
            second.feed.sync()
            async with curio.timeout_after(0.5):
                assert await task.join()
            assert second.poison.admit(b"bad")

        run(scenario)

    def test_wait_for_a_lost_host_ends_after_the_longest_lease(self, monkeypatch):
        monkeypatch.setattr(poison, "MAX_LEASE_S", 0.2)

        async def scenario(bench):
            first, _ = await two_hosts(bench)
            async with curio.timeout_after(1.0):
                assert await first.poison.report_if_dead(server(), holding(), BROKEN)

        run(scenario)

    @pytest.mark.parametrize(
        ("state", "error", "server_dead"),
        [
            ("ready", exceptions.UpstreamError("x", "connect", "s", False), True),
            ("ready", BROKEN, False),
            ("leaving", BROKEN, True),
        ],
        ids=["nothing sent", "server lives", "reclaimed"],
    )
    def test_other_failures_raise_no_suspicion(self, state, error, server_dead):
        async def scenario(bench):
            first, _ = await two_hosts(bench)
            if not server_dead:
                bench.dead.clear()
            await first.poison.report_if_dead(server(state), holding(), error)
            await first.poison.report_death(server("leaving"), [holding()])
            await curio.sleep(0.05)
            assert first.feed.state_machine.data.crashes == {}

        run(scenario)

    def test_report_is_sent_again_when_its_answer_is_lost(self, monkeypatch):
        monkeypatch.setattr(poison, "MAX_LEASE_S", 0.1)

        async def scenario(bench):
            first, _ = await two_hosts(bench)
            first.feed.faults = ["dropped", "lost"]
            await first.poison.report_if_dead(server(), holding(), BROKEN)
            first.feed.sync()
            assert first.feed.current.suspects[b"bad"].deaths == 1

        run(scenario)

    def test_finishing_alone_clears_the_suspicion(self, monkeypatch):
        monkeypatch.setattr(poison, "MAX_LEASE_S", 0.1)

        async def scenario(bench):
            first, _ = await two_hosts(bench)
            await first.poison.report_if_dead(server(), holding(), BROKEN)
            first.feed.sync()
            await first.poison.clear_if_alone(b"bad", first.poison.admit(b"bad"))
            await curio.sleep(0.05)
            first.feed.sync()
            assert not first.poison.admit(b"bad")

        run(scenario)

    def test_quarantined_request_is_refused_until_the_quarantine_expires(self, monkeypatch):
        monkeypatch.setattr(poison, "MAX_LEASE_S", 0.1)

        async def scenario(bench):
            first, _ = await two_hosts(bench)
            await first.poison.report_if_dead(server(), holding(), BROKEN)
            await first.poison.report_if_dead(server(incarnation=8), holding(alone=True), BROKEN)
            first.feed.sync()
            with pytest.raises(exceptions.NotRunError) as caught:
                first.poison.admit(b"bad")
            assert caught.value.status == poison.STATUS_QUARANTINED
            suspicion = first.feed.current.suspects[b"bad"]
            first.feed.current.suspects[b"bad"] = msgspec.structs.replace(suspicion, until_ms=1)
            assert not first.poison.admit(b"bad")

        run(scenario)


@pytest.fixture(scope="module")
def cluster(tmp_path_factory):
    with Cluster(tmp_path_factory.mktemp("poison")).start() as started:
        started.wait_for_leader()
        assert started.apply(example("cooperative")).status == 200
        started.fleet = start_fleet(started, planners=5, bookers=3)
        yield started


def dead_servers(cluster, kind):
    return [
        server.name
        for server in cluster.fleet
        if server.kind == kind and not server.process.running()
    ]


def quarantined(cluster):
    suspects = cluster.read("quarantine?environment=production").json()
    return [fingerprint for fingerprint, suspect in suspects.items() if suspect["quarantined"]]


class TestCrashLimit:
    """A poison request crashes at most two servers, through whichever entry hosts it is resent."""

    def test_poison_generation(self, cluster):
        innocent = Reader(cluster.entries[1].http)
        assert innocent.ask(400, "an innocent plan") == 200
        innocent.read(2)
        for attempt in range(5):
            entry = cluster.entries[attempt % 3]
            reader = Reader(entry.http)
            reader.ask(20, "poison for engines")
            if attempt >= 2:
                assert reader.final == ""
        assert len(dead_servers(cluster, "engine")) == 2
        assert len(quarantined(cluster)) == 1
        answer = request(
            cluster.entries[2].http,
            "POST",
            "/v1/services/plan",
            BEARER,
            b'{"prompt":"poison for engines","length":20}',
        )
        assert (answer.status, answer.json()["run"]) == (422, "not run")
        repeated = Reader(cluster.entries[0].http)
        assert repeated.ask(40, "an innocent plan") == 200
        assert repeated.read().final == "end"

    def test_poison_call_that_is_not_repeatable(self, cluster):
        target, body = "/v1/services/rota/calls/slots", b'{"slot":"poison"}'
        answers = []
        for attempt in range(5):
            headers = [*BEARER, ("idempotency-key", new_key())]
            entry = cluster.entries[attempt % 3]
            answers.append(request(entry.http, "POST", target, headers, body))
        assert [answer.status for answer in answers] == [504, 504, 422, 422, 422]
        assert len(dead_servers(cluster, "plain")) == 2
        headers = [*BEARER, ("idempotency-key", new_key())]
        answer = request(cluster.entries[0].http, "POST", target, headers, b'{"slot":"fine"}')
        assert answer.status == 200

    def test_operator_releases_quarantined_requests(self, cluster):
        for fingerprint in quarantined(cluster):
            command = {"type": "ReleaseQuarantine", "environment": "production"}
            command["fingerprint"] = base64.b64encode(bytes.fromhex(fingerprint)).decode()
            assert cluster.operate(command).status == 200
        wait_for(lambda: not quarantined(cluster), "no quarantine", 5.0)
        actions = [entry["action"] for entry in cluster.read("audit").json()]
        assert "ReportCrash" in actions and "ReleaseQuarantine" in actions
