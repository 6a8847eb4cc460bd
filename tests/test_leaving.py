"""Where an entry host tries a request, by the loads of the servers that it knows."""

import collections
import random

import pytest

from ebonywheel import kernel, messages, settings
from ebonywheel.gateway import balance, crossing, leaving, routes

SERVICE = routes.Service("plan", engine=routes.Engine(24, 30_000))
HOME = balance.Location("puget-a", "puget")
CHARGES = crossing.Charges(0.05, 0.2)
TARGET_S = 1.5


def candidate(name, data_centre, **state):
    record = messages.DirectoryRecord(name, 1, data_centre=data_centre, slots=24, service="plan")
    region = data_centre.partition("-")[0]
    return balance.Candidate(record, balance.ServerState(**state), 0.1, region)


@pytest.fixture
def host():
    random.seed(3)
    own = settings.HostSettings("entry-1", "puget-a", "127.0.0.1:1", "127.0.0.1:2", "")
    return leaving.Leaving(kernel.Kernel("entry", own, b""), HOME, CHARGES)


def tried(host, candidates, max_load=float("inf"), count=100):
    """Return how often each data centre is tried first and how often any other after it."""
    first, later = collections.Counter(), collections.Counter()
    for _ in range(count):
        requirements = balance.Requirements(
            SERVICE, 3_000, max_load=max_load, target_latency_s=TARGET_S, lot=random.random()
        )
        names = [each.data_centre for each in host.narrow(requirements, candidates, 0.0)]
        first[names[0]] += 1
        later.update(names[1:])
    return first, later


def test_nobody_leaves_a_home_where_nobody_waits(host):
    first, _ = tried(host, [candidate("home", "puget-a"), candidate("far", "yakima-a")])
    assert first == {"puget-a": 100}


def test_some_leave_a_home_with_a_queue(host):
    busy = candidate("home", "puget-a", other_unread=7_000)
    first, _ = tried(host, [busy, candidate("far", "yakima-a")])
    assert 30 < first["yakima-a"] < 80


def test_a_home_whose_servers_are_left_alone_is_not_tried(host):
    reset = candidate("home", "puget-a", avoided_until=float("inf"))
    first, later = tried(host, [reset, candidate("far", "yakima-a")])
    assert first == {"yakima-a": 100}
    assert later == {"": 100}


def test_requests_that_may_wait_stay_at_a_full_home_while_leaving_does_not_pay(host):
    """Room far away is kept for its own callers: there the load is over what others may use."""
    home = candidate("home", "puget-a", tokens=27_600)
    far = candidate("far", "yakima-a", tokens=26_700)
    first, later = tried(host, [home, far], max_load=1.0)
    assert first == {"puget-a": 100}
    assert not later


def test_requests_without_room_at_home_leave_where_that_pays(host):
    home = candidate("home", "puget-a", tokens=30_000)
    first, later = tried(host, [home, candidate("far", "yakima-a")], max_load=1.0)
    assert first["yakima-a"] + later["yakima-a"] == 100


def test_a_far_server_costs_the_time_of_its_connections(host):
    busy = candidate("home", "puget-a", other_unread=2_100, connect_s=0.002)
    far = candidate("far", "yakima-a", connect_s=0.5)
    first, _ = tried(host, [busy, far])
    assert first == {"puget-a": 100}
