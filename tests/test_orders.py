"""Orders to backend servers: numbered before they are sent, and never taken back by older ones."""

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
KINDS = {"strict": ("planner", []), "loose": ("loose", ["--ignores-fencing"])}


@pytest.fixture
def cluster(tmp_path):
    with Cluster(tmp_path).start() as made:
        made.wait_for_leader()
        text = example("cooperative").replace("\n[services.plan]", ENGINES)
        assert made.apply(text).status == 200
        made.fleet = {}
        for name, (engine, options) in KINDS.items():
            server = StandIn(name, "engine", "puget")
            made.fleet[name] = start_stand_in(made, server, "--engine", engine, *options)
        wait_for(lambda: reported(made) >= set(KINDS), "reports of both servers")
        time.sleep(LOAD_SPACING_S)
        yield made


def reported(cluster):
    hosts = cluster.read("status").json()["entry_hosts"]
    return {server["server"] for host in hosts for server in host["load"].get("servers", [])}


def issue(cluster, server, kind, argument, host=None, environment="production"):
    command = {
        "type": "IssueOrder",
        "environment": environment,
        "server": server,
        "kind": kind,
        "argument": argument,
    }
    return cluster.operate(command, host)


def last_order(cluster, server):
    answer = request(cluster.fleet[server].address, "GET", "/incarnation")
    return answer.json()["last_order"]


def result(cluster, server, host=None):
    for order in cluster.read("status", host).json()["orders"]:
        if order["server"] == f"production/{server}":
            return order["result"]
    return ""


def leader(cluster, host=None):
    name = cluster.wait_for_leader(host)
    return next(control for control in cluster.controls if control.name == name)


class TestIssue:
    def test_order_is_carried_out_recorded_and_audited(self, cluster):
        sequences = {}
        for server in KINDS:
            sequences[server] = issue(cluster, server, "change_role", "prefill").json()["sequence"]
        for server, sequence in sequences.items():
            wait_for(lambda server=server: result(cluster, server) == "accepted", "the result")
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
        answer = issue(cluster, server, kind, argument, environment=environment)
        assert (answer.status, answer.json()["code"]) == (422, "order")

    def test_loads_keep_the_weight_stores_limit(self, cluster):
        issue(cluster, "strict", "load_model", "a")
        wait_for(lambda: result(cluster, "strict") == "accepted", "the first load")
        first_at = time.monotonic()
        issue(cluster, "strict", "load_model", "b")
        time.sleep(LOAD_SPACING_S / 2)
        assert result(cluster, "strict") != "accepted"
        wait_for(lambda: result(cluster, "strict") == "accepted", "the second load")
        assert time.monotonic() - first_at > LOAD_SPACING_S * 0.8


class TestOldLeader:
    @pytest.mark.parametrize("server", KINDS)
    def test_order_in_its_hand_does_not_undo_a_newer_one(self, cluster, server):
        issue(cluster, "strict", "load_model", "uses-up-the-limit")
        wait_for(lambda: result(cluster, "strict") == "accepted", "the first load")
        old = leader(cluster)
        older = issue(cluster, server, "load_model", "older", old).json()["sequence"]
        old.process.freeze()
        other = next(control for control in cluster.controls if control is not old)
        wait_for(lambda: cluster.leader_name(other) not in ("", old.name), "another leader")
        newer = issue(cluster, server, "change_role", "newer", other).json()["sequence"]
        assert newer > older
        wait_for(lambda: last_order(cluster, server) == newer, "the newer order")
        time.sleep(LOAD_SPACING_S)
        old.process.thaw()
        deadline = time.monotonic() + 2.5
        while time.monotonic() < deadline:
            assert last_order(cluster, server) == newer
            time.sleep(0.02)

    def test_older_order_that_was_under_way_is_undone(self, cluster):
        newer = issue(cluster, "loose", "change_role", "newer").json()["sequence"]
        wait_for(lambda: result(cluster, "loose") == "accepted", "the newer order")
        late = {"kind": "change_role", "argument": "older", "sequence": newer - 1}
        address = cluster.fleet["loose"].address
        assert request(address, "POST", "/orders", body=msgspec.json.encode(late)).status == 200
        wait_for(lambda: last_order(cluster, "loose") == newer, "the newer order again")
