"""Roll-outs at real control hosts: orders, restarts, lost leaders, and verdicts on evidence.

A stand-in for all entry hosts watches the control hosts and reports made-up traffic.
"""

import json
import signal
import threading
import time

import curio
import pytest

import platformsystem
from ebonywheel import link, messages, rolloutdelays, watcher
from ebonywheel_platform import boot
from netbench import make_core

REQUESTS_PER_S = 80.0
FAST = rolloutdelays.bucket_of(50.0)


class StandIn:
    """Entry hosts as the control hosts see them.

    Attributes:
        bad: Whether half of the target's answers are failures.
        shares: Phase and share of each change that was heard of.
        sent_to_target: Requests to the target while it was proved.
    """

    def __init__(self, addresses):
        self.addresses = addresses
        self.bad = False
        self.shares = []
        self.sent_to_target = 0
        self.index = 0
        self.current = None
        self.lease_until = 0.0
        self.counts = {}
        self.credit = {True: 0.0, False: 0.0}
        self.last_at = time.monotonic()
        self.ended = threading.Event()
        self.thread = threading.Thread(target=lambda: curio.run(self.run))

    def __enter__(self):
        self.thread.start()
        return self

    def __exit__(self, *failure):
        self.ended.set()
        self.thread.join()

    async def run(self):
        async with make_core("entries", boot.LINK_SECRET) as core:
            await watcher.Watcher(core, self).follow(self.addresses)
            while not self.ended.is_set():
                await curio.sleep(0.05)

    def distance(self, data_centre):
        return 0.0

    def watch_request(self, nearest):
        self.send_traffic()
        evidence = [
            messages.RolloutEvidence(index, "a", on_target, *numbers)
            for (index, on_target), numbers in self.counts.items()
        ]
        request = messages.WatchRequest(host="entries", incarnation=1, evidence=evidence)
        request.rollouts_wanted, request.rollouts_index = True, self.index
        self.asked_at = time.monotonic()
        return request

    async def update(self, request, reply, connection: link.Link, asked_at=None):
        if reply.rollouts_index > self.index:
            self.index = reply.rollouts_index
            self.current = reply.rollouts[0]
            self.shares.append((self.current.phase, self.current.share))
        if reply.rollouts_lease_ms:
            self.lease_until = time.monotonic() + reply.rollouts_lease_ms / 1000 - 0.5

    def send_traffic(self):
        now = time.monotonic()
        passed, self.last_at = now - self.last_at, now
        if self.current is None or self.current.phase not in ("proving", "shifting"):
            return
        leased = now < self.lease_until
        share = self.current.share if leased else 0.0
        for on_target, part in ((True, share), (False, 1.0 - share)):
            self.credit[on_target] += REQUESTS_PER_S * part * passed
            while self.credit[on_target] >= 1.0:
                self.credit[on_target] -= 1.0
                self.count(on_target)

    def count(self, on_target):
        empty = [0, 0, 0, rolloutdelays.empty()]
        numbers = self.counts.setdefault((self.current.index, on_target), empty)
        numbers[0] += 1
        numbers[1] += 1
        numbers[2] += self.bad and on_target and numbers[0] % 2
        numbers[3][FAST] += 1
        self.sent_to_target += on_target and self.current.phase == "proving"


@pytest.fixture(scope="module")
def system(tmp_path_factory):
    """Run three control hosts without entry hosts."""
    started = platformsystem.System(tmp_path_factory.mktemp("platform"), entries=0)
    try:
        started.publish(platformsystem.manifest(7, [platformsystem.route("book", "/book/")]))
        yield started
    finally:
        started.close()


@pytest.fixture
def entries(system):
    addresses = [f"{node.ip}:{platformsystem.FIRST_INTERNAL_PORT}" for node in system.controls]
    with StandIn(addresses) as stand_in:
        yield stand_in


@pytest.fixture(autouse=True)
def servers(system, request):
    """Report servers of two versions to all control hosts while a test runs."""
    ended = threading.Event()

    def report():
        sequence = 0
        while not ended.wait(0.3):
            sequence += 1
            for number, version in enumerate(["v1", "v2", "v3", "v4", "v5"]):
                body = {
                    "service": "book",
                    "address": f"127.9.9.{number + 1}:9",
                    "zone": "puget-a",
                    "version": version,
                    "slots": 6,
                    "state": "ready",
                    "cold-remaining-ms": 0,
                    "sequence": sequence + int(time.time() * 1000),
                    "born": 1,
                }
                for node in system.controls:
                    system.call_control("PUT", f"/api/instances/{version}", body, node, 1)

    thread = threading.Thread(target=report)
    thread.start()
    yield
    ended.set()
    thread.join()


def order(system, version, duration_s, service="book", node=None):
    body = {"service": service, "to": version, "duration-s": duration_s}
    return system.call_control("POST", "/api/rollouts", body, node)


def ordered(system, version, duration_s):
    platformsystem.wait_for(lambda: order(system, version, duration_s)[0] == 200, "the order")
    return time.monotonic() + duration_s


def state(system, service="book"):
    """Return the state that the first host that is sure of it tells, None if none is."""
    for node in system.controls:
        status, body = system.call_control("GET", f"/api/rollouts/{service}", node=node, timeout=1)
        if status == 200:
            return json.loads(body)
    return None


def wait_for_end(system, version):
    """Return the final state of a roll-out."""

    def ended():
        found = state(system)
        return found if found and found["to"] == version and found["state"] != "running" else None

    return platformsystem.wait_for(ended, "the end")["state"]


def leader_of(system):
    began = [(entry["at_ms"], node) for node in system.controls for entry in node.events("leading")]
    return max(began, key=lambda pair: pair[0])[1]


def test_wrong_orders_are_refused_and_change_nothing(system):
    for body, word in (
        ({"service": "nobody", "to": "v2", "duration-s": 5}, "service"),
        ({"service": "book", "to": "", "duration-s": 5}, "to"),
        ({"service": "book", "to": "v2", "duration-s": 0}, "duration-s"),
        ({"service": "book", "to": "v2", "duration-s": -1}, "duration-s"),
        ({"service": "book", "to": "v2", "duration-s": 1e12}, "duration-s"),
        ({"service": "book", "to": "v2", "duration-s": "5"}, "duration-s"),
        ({"service": "book", "duration-s": 5}, "to"),
        (b"\xff no document", "decode"),
        (b"", "decode"),
    ):
        status, answer = system.call_control("POST", "/api/rollouts", body)
        assert (status, word in json.loads(answer)["error"]) == (400, True), (body, answer)
    assert system.call_control("GET", "/api/rollouts/book")[0] == 404
    assert system.call_control("GET", "/api/rollouts")[0] == 405


def test_a_bad_version_is_rolled_back_within_its_bound(system, entries):
    entries.bad = True
    deadline = ordered(system, "v2", 10)
    assert order(system, "v2", 10)[0] == 200
    status, answer = order(system, "v3", 10)
    assert (status, "service" in json.loads(answer)["error"]) == (409, True)
    assert state(system) == {"state": "running", "to": "v2"}
    assert wait_for_end(system, "v2") == "rolled_back"
    assert time.monotonic() < deadline
    assert entries.sent_to_target <= 0.1 * 10 * REQUESTS_PER_S + 50
    assert order(system, "v2", 10)[0] == 200
    assert state(system)["state"] == "rolled_back"
    assert platformsystem.wait_for(
        lambda: entries.current.barred == ["v2"], "the version is barred"
    )


def test_a_good_version_is_completed_though_the_leader_is_lost(system, entries):
    deadline = ordered(system, "v3", 14)
    platformsystem.wait_for(lambda: entries.sent_to_target > 5, "the first requests")
    leader = leader_of(system)
    leader.stop(signal.SIGKILL)
    try:
        assert wait_for_end(system, "v3") == "completed"
    finally:
        leader.start()
    assert time.monotonic() < deadline
    assert entries.sent_to_target <= 0.1 * 14 * REQUESTS_PER_S + 50
    assert sorted(entries.current.barred) == ["v1", "v2", "v4", "v5"]


def test_without_traffic_it_is_rolled_back_though_all_hosts_start_anew(system):
    ordered(system, "v4", 12)
    for node in system.controls:
        node.stop(signal.SIGKILL)
    for node in system.controls:
        node.start()
    found = platformsystem.wait_for(lambda: state(system), "a host that is sure")
    assert found == {"state": "running", "to": "v4"}
    assert wait_for_end(system, "v4") == "rolled_back"
    reasons = [
        entry["reason"]
        for node in system.controls
        for entry in node.events("rollout_decided")
        if entry["action"] == "roll back" and entry["target"] == "v4"
    ]
    assert any("too few" in reason for reason in reasons)
