"""The command ``ebonywheel rollout`` against real control hosts."""

import json
import re

import pytest

from cluster import Cluster
from test_operator import EXIT_BAD_INPUT, EXIT_CONFLICT, run, write_settings


@pytest.fixture(scope="module")
def cluster(tmp_path_factory):
    with Cluster(tmp_path_factory.mktemp("rollouts")).start() as running_cluster:
        running_cluster.wait_for_leader()
        yield running_cluster


def rollout(cluster, *arguments):
    return run(cluster, "rollout", *arguments)


def test_an_operator_starts_follows_and_cancels_a_roll_out(cluster):
    started = rollout(cluster, "start", "book", "v2", "--within-s", "600", "--operation", "op-1")
    assert started.returncode == 0, started.stderr
    again = rollout(cluster, "start", "book", "v2", "--within-s", "600", "--operation", "op-1")
    assert (again.returncode, again.stdout) == (0, started.stdout)
    other = run(
        cluster,
        *("rollout", "start", "book", "v3", "--within-s", "600"),
        settings=write_settings(cluster, [host.http for host in cluster.controls], "bo"),
    )
    assert other.returncode == EXIT_CONFLICT
    assert re.search(r"running, ordered by ann \(operation op-1\)", other.stdout)
    status = run(cluster, "--json", "rollout", "status", "book")
    found = json.loads(status.stdout)[0]
    assert (found["target"], found["phase"], found["actor"]) == ("v2", "proving", "ann")
    assert 500_000 < found["left_ms"] <= 600_000
    cancelled = rollout(cluster, "cancel", "book")
    assert cancelled.returncode == 0, cancelled.stderr
    table = rollout(cluster, "status")
    assert "rolled_back" in table.stdout and "cancelled by an operator" in table.stdout
    assert rollout(cluster, "status", "book", "--follow").returncode == 1
    assert rollout(cluster, "cancel", "book", "--operation", "op-2").returncode == 0
    audit = run(cluster, "--json", "audit").stdout
    assert "book to v2 in 600000 ms" in audit and "cancelled by an operator" in audit


@pytest.mark.parametrize("seconds", ["0", "-3", "nan", "1e9"])
def test_a_time_that_is_none_is_refused(cluster, seconds):
    answer = rollout(cluster, "start", "plan", "v2", f"--within-s={seconds}")
    assert answer.returncode == EXIT_BAD_INPUT
    assert "--within-s" in answer.stderr
    assert rollout(cluster, "status", "plan").returncode == EXIT_BAD_INPUT
