"""Tests of orders to backend servers: an older order never undoes a newer one."""

import time

import msgspec
import pytest

from cluster import Cluster, StandIn, example, request, start_stand_in, wait_for

ENGINES = """
[engines.loose]
cold_slots = 2
warm_slots = 12
fencing = false
order_life_s = 1.0

[weights]
loads_per_minute = 10

[services.plan]"""
LOAD_SPACING_S = 6.0
# Engine and command line options of each backend server.
SERVERS = {"strict": ("planner", []), "loose": ("loose", ["--ignores-fencing"])}


@pytest.fixture
def cluster(tmp_path):
    with Cluster(tmp_path).start() as started:
        started.wait_for_leader()
        text = example("cooperative").replace("\n[services.plan]", ENGINES)
        assert started.apply(text).status == 200
        started.servers = {}
        for name, (engine, options) in SERVERS.items():
            server = StandIn(name, "engine", "puget")
            started.servers[name] = start_stand_in(started, server, "--engine", engine, *options)
        wait_for(lambda: reported_servers(started) >= set(SERVERS), "reports of both servers")
        time.sleep(LOAD_SPACING_S)
        yield started


def reported_servers(cluster):
    hosts = cluster.read("status").json()["entry_hosts"]
    return {server["server"] for host in hosts for server in host["load"].get("servers", [])}


def issue_order(cluster, server, kind, argument, host=None, environment="production"):
    command = {
        "type": "IssueOrder",
        "environment": environment,
        "server": server,
        "kind": kind,
        "argument": argument,
    }
    return cluster.operate(command, host)


def last_order(cluster, server):
    answer = request(cluster.servers[server].address, "GET", "/incarnation")
    return answer.json()["last_order"]


def order_result(cluster, server, host=None):
    for order in cluster.read("status", host).json()["orders"]:
        if order["server"] == f"production/{server}":
            return order["result"]
    return ""


def find_leader(cluster, host=None):
    name = cluster.wait_for_leader(host)
    return next(control for control in cluster.controls if control.name == name)


class TestIssue:
    def test_order_is_delivered_recorded_and_audited(self, cluster):
        sequences = {}
        for server in SERVERS:
            sequences[server] = issue_order(cluster, server, "change_role", "prefill").json()[
                "sequence"
            ]
        for server, sequence in sequences.items():
            wait_for(
                lambda server=server: order_result(cluster, server) == "accepted", "the result"
            )
            assert last_order(cluster, server) == sequence
        entries = cluster.read("audit").json()
        targets = [entry["target"] for entry in entries if entry["action"] == "EndOrder"]
        assert f"production/strict order {sequences['strict']}: accepted" in targets

    @pytest.mark.parametrize(
        ("server", "kind", "argument", "environment"),
        [
            ("strict", "explode", "x", "production"),
            ("strict", "load_model", "bad name", "production"),
            ("a/b", "load_model", "m", "production"),
            ("strict", "load_model", "m", "nowhere"),
        ],
    )
    def test_bad_order_is_refused(self, cluster, server, kind, argument, environment):
        answer = issue_order(cluster, server, kind, argument, environment=environment)
        assert (answer.status, answer.json()["code"]) == (422, "order")

    def test_loads_respect_the_rate_limit(self, cluster):
        issue_order(cluster, "strict", "load_model", "a")
        wait_for(lambda: order_result(cluster, "strict") == "accepted", "the first load")
        first_at = time.monotonic()
        issue_order(cluster, "strict", "load_model", "b")
        time.sleep(LOAD_SPACING_S / 2)
        assert order_result(cluster, "strict") != "accepted"
        wait_for(lambda: order_result(cluster, "strict") == "accepted", "the second load")
        assert time.monotonic() - first_at > LOAD_SPACING_S * 0.8


class TestOldLeader:
    @pytest.mark.parametrize("server", SERVERS)
    def test_its_unsent_order_does_not_undo_a_newer_one(self, cluster, server):
        issue_order(cluster, "strict", "load_model", "uses-up-the-limit")
        wait_for(lambda: order_result(cluster, "strict") == "accepted", "the first load")
        old_leader = find_leader(cluster)
        older = issue_order(cluster, server, "load_model", "older", old_leader).json()["sequence"]
        old_leader.process.freeze()
        other_host = next(host for host in cluster.controls if host is not old_leader)
        wait_for(
            lambda: cluster.leader_name(other_host) not in ("", old_leader.name), "another leader"
        )
        newer = issue_order(cluster, server, "change_role", "newer", other_host).json()["sequence"]
        assert newer > older
        wait_for(lambda: last_order(cluster, server) == newer, "the newer order")
        time.sleep(LOAD_SPACING_S)
        old_leader.process.thaw()
        deadline = time.monotonic() + 2.5
        while time.monotonic() < deadline:
            assert last_order(cluster, server) == newer
            time.sleep(0.02)

    def test_newest_order_is_sent_again_after_an_older_one_arrives(self, cluster):
        newer = issue_order(cluster, "loose", "change_role", "newer").json()["sequence"]
        wait_for(lambda: order_result(cluster, "loose") == "accepted", "the newer order")
        late = {"kind": "change_role", "argument": "older", "sequence": newer - 1}
        address = cluster.servers["loose"].address
        assert request(address, "POST", "/orders", body=msgspec.json.encode(late)).status == 200
        wait_for(lambda: last_order(cluster, "loose") == newer, "the newer order again")
