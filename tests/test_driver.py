"""Tests of the load driver against real processes: open loop, customers, resumed streams."""

import subprocess
import sys

import msgspec
import pytest

from cluster import Cluster, example, start_fleet, wait_for

KEYS = ["cascade-press-demo-key", "tieton-farm-demo-key"]


@pytest.fixture(scope="module")
def cluster(tmp_path_factory):
    with Cluster(tmp_path_factory.mktemp("driver")).start() as started_cluster:
        started_cluster.wait_for_leader()
        assert started_cluster.apply(example("cooperative")).status == 200
        started_cluster.fleet = start_fleet(started_cluster)
        yield started_cluster


def start_drive(cluster, *options):
    command = [sys.executable, "-m", "ebonywheel.load", "drive", "--key", *KEYS]
    command += ["--entries", *(host.http for host in cluster.entries), *options]
    return subprocess.Popen(command, stdout=subprocess.PIPE)


def finish_drive(process):
    output, _ = process.communicate(timeout=60)
    return msgspec.json.decode(output), process.returncode


def six_slots_used(cluster):
    hosts = cluster.read("status").json()["entry_hosts"]
    servers = [server for host in hosts for server in host["load"].get("servers", [])]
    return sum(server["used"] for server in servers) >= 6


class TestDriver:
    def test_open_loop_of_several_customers_with_heavy_tailed_lengths(self, cluster):
        options = "--rate 12 --seconds 2 --heavy-tailed --most-tokens 80 --weights 3 1".split()
        figures, exit_code = finish_drive(start_drive(cluster, *options))
        assert (exit_code, figures["failed"], figures["out_of_order"]) == (0, 0, 0)
        assert figures["finished"] + figures["refused"] >= 12
        assert len(figures["first_token_p95_by_key"]) == 2

    def test_streams_broken_by_a_killed_entry_host_are_resumed_through_others(self, cluster):
        options = "--streams 6 --least-tokens 200 --most-tokens 250".split()
        process = start_drive(cluster, *options)
        wait_for(lambda: six_slots_used(cluster), "six generations in flight")
        killed_entry = cluster.entries[2]
        killed_entry.process.kill()
        figures, exit_code = finish_drive(process)
        cluster.start_entry(killed_entry)
        assert (exit_code, figures["finished"], figures["out_of_order"]) == (0, 6, 0)
        assert figures["resumes"] >= 1
