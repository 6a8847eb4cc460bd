"""The load driver against real processes: open loop, several customers, resumed streams."""

import subprocess
import sys

import msgspec
import pytest

from cluster import Cluster, example, start_fleet, wait_for

KEYS = ["cascade-press-demo-key", "tieton-farm-demo-key"]


@pytest.fixture(scope="module")
def cluster(tmp_path_factory):
    with Cluster(tmp_path_factory.mktemp("driver")).start() as made:
        made.wait_for_leader()
        assert made.apply(example("cooperative")).status == 200
        made.fleet = start_fleet(made)
        yield made


def start_drive(cluster, *options):
    command = [sys.executable, "-m", "ebonywheel.load", "drive", "--key", *KEYS]
    command += ["--entries", *(host.http for host in cluster.entries), *options]
    return subprocess.Popen(command, stdout=subprocess.PIPE)


def figures_of(drive):
    output, _ = drive.communicate(timeout=60)
    return msgspec.json.decode(output), drive.returncode


def six_running(cluster):
    hosts = cluster.read("status").json()["entry_hosts"]
    servers = [server for host in hosts for server in host["load"].get("servers", [])]
    return sum(server["used"] for server in servers) >= 6


class TestDriver:
    def test_open_loop_of_several_customers_with_heavy_tailed_lengths(self, cluster):
        options = "--rate 12 --seconds 2 --heavy-tailed --most-tokens 80 --weights 3 1".split()
        found, code = figures_of(start_drive(cluster, *options))
        assert (code, found["failed"], found["out_of_order"]) == (0, 0, 0)
        assert found["finished"] + found["refused"] >= 12
        assert len(found["first_token_p95_by_key"]) == 2

    def test_streams_broken_by_a_killed_entry_host_are_resumed_through_others(self, cluster):
        options = "--streams 6 --least-tokens 200 --most-tokens 250".split()
        drive = start_drive(cluster, *options)
        wait_for(lambda: six_running(cluster), "six generations in flight")
        victim = cluster.entries[2]
        victim.process.kill()
        found, code = figures_of(drive)
        cluster.start_entry(victim)
        assert (code, found["finished"], found["out_of_order"]) == (0, 6, 0)
        assert found["resumes"] >= 1
