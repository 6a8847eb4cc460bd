"""Tests that no entry host uses an old revision 5 s after a change is accepted, despite faults."""

import contextlib
import itertools
import os
import threading
import time
import uuid

import h11
import msgspec
import pytest

from cluster import OPERATOR_TOKEN, Client, example, request, wait_for
from ebonywheel import documents
from faults import FAULTS, FaultyCluster

BOUND_S = 5.0
OBSERVATION_S = BOUND_S + 2.5
ACCEPT_TIMEOUT_S = 30.0
PROBE_INTERVAL_S = 0.03
DEMO_DIGEST = documents.key_digest("cascade-press-demo-key")

# Statuses of a request to an unknown service: the entry host knows the customer's key, does not
# know it, or accepts no requests at all.
KEY_KNOWN, KEY_UNKNOWN, REFUSED = 404, 401, 503

FAULT_PAIRS_IN_CI = [
    ("leader isolated", "entry hears old leader only"),
    ("leader frozen", "entry frozen"),
    ("leader killed", "entry cut"),
    ("follower frozen", "entry restarted"),
]
ALL_FAULT_PAIRS = list(itertools.combinations(FAULTS, 2))
FAULT_PAIRS = ALL_FAULT_PAIRS if os.environ.get("EBONYWHEEL_ALL_PAIRS") else FAULT_PAIRS_IN_CI


class Prober:
    """Polls one entry host for the revision that it uses."""

    def __init__(self, address: str, key: str):
        self.address = address
        self.headers = [("authorization", f"Bearer {key}")]
        self.seen: list[tuple[float, int]] = []
        self.stop_requested = threading.Event()
        self.thread = threading.Thread(target=self._run, daemon=True)
        self.thread.start()

    def last_seen(self, status: int) -> float:
        """Return the time when the status was last seen, or 0.0."""
        return max((at for at, seen in self.seen if seen == status), default=0.0)

    def stop(self) -> None:
        self.stop_requested.set()
        self.thread.join()

    def _run(self) -> None:
        while not self.stop_requested.is_set():
            # A request that waits in a frozen host counts at the time of its answer.
            with contextlib.suppress(OSError, ValueError, h11.RemoteProtocolError):
                answer = request(
                    self.address, "POST", "/v1/services/none", self.headers, b"{}", 2 * BOUND_S
                )
                self.seen.append((time.monotonic(), answer.status))
            time.sleep(PROBE_INTERVAL_S)


class RevisionDriver:
    """Changes one customer's key with each revision of a cluster's document."""

    def __init__(self, cluster: FaultyCluster):
        self.cluster = cluster
        self.revision = 0
        assert self.apply_until_accepted(self.next_change())
        self.wait_in_force()

    def customer_key(self) -> str:
        return f"key-of-revision-{self.revision}"

    def next_change(self) -> dict:
        """Return the command for the next revision."""
        text = example("cooperative")
        digest = documents.key_digest(f"key-of-revision-{self.revision + 1}")
        return {
            "type": "ApplyDocument",
            "operation": str(uuid.uuid4()),
            "environment": "production",
            "base": self.revision,
            "text": text.replace(DEMO_DIGEST, digest),
        }

    def apply_until_accepted(self, command: dict, wait_s: float = ACCEPT_TIMEOUT_S) -> bool:
        """Send a command until it is accepted; return whether it was."""
        deadline = time.monotonic() + wait_s
        hosts = itertools.cycle(self.cluster.controls)
        while time.monotonic() < deadline:
            with contextlib.suppress(OSError, ValueError):
                status = self._send(command, next(hosts))
                if status == 200:
                    self.revision += 1
                    return True
                assert status in (503, 504), status
            time.sleep(0.05)
        return False

    def wait_in_force(self) -> None:
        for host in self.cluster.entries:
            wait_for(
                lambda host=host: self.probe(host) == KEY_KNOWN, f"the revision at {host.name}"
            )

    def probe(self, host) -> int:
        headers = [("authorization", f"Bearer {self.customer_key()}")]
        with contextlib.suppress(OSError, ValueError):
            return request(host.http, "POST", "/v1/services/none", headers, b"{}", 2.0).status
        return 0

    def _send(self, command: dict, host) -> int:
        client = Client(host.http, 2.0)
        with contextlib.closing(client):
            headers = [("authorization", f"Operator ann:{OPERATOR_TOKEN}")]
            client.send("POST", "/v1/operations", headers, msgspec.json.encode(command))
            return client.answer().status


@pytest.fixture(scope="module")
def driver(tmp_path_factory):
    with FaultyCluster(tmp_path_factory.mktemp("inforce")).start() as cluster:
        cluster.wait_for_leader()
        yield RevisionDriver(cluster)


def check_change(driver: RevisionDriver, names: tuple[str, ...]) -> None:
    cluster = driver.cluster
    probers = [Prober(host.http, driver.customer_key()) for host in cluster.entries]
    try:
        faults = [FAULTS[name](cluster) for name in names]
        with contextlib.ExitStack() as stack:
            for fault in faults:
                fault.begin()
                stack.callback(fault.end)
            command = driver.next_change()
            accepted = driver.apply_until_accepted(command, ACCEPT_TIMEOUT_S / 4)
            accepted_at = time.monotonic()
            if accepted:
                time.sleep(OBSERVATION_S)
            else:
                # Both faults hit control hosts: without a quorum no entry host accepts requests.
                assert set(map(driver.probe, cluster.entries)) <= {REFUSED, 0}
        if not accepted:
            assert driver.apply_until_accepted(command)
            accepted_at = time.monotonic()
            time.sleep(OBSERVATION_S)
        driver.wait_in_force()
        wait_for(
            lambda: all(p.last_seen(KEY_UNKNOWN) > accepted_at for p in probers), "the new revision"
        )
        cluster.wait_for_leader()
    finally:
        for prober in probers:
            prober.stop()
    for host, prober in zip(cluster.entries, probers, strict=True):
        late_s = prober.last_seen(KEY_KNOWN) - accepted_at
        assert (
            late_s <= BOUND_S
        ), f"{host.name} used the old revision {late_s:.2f} s after the change"


class TestOneFault:
    @pytest.mark.parametrize("name", FAULTS)
    def test_old_revision_is_not_used_after_the_bound(self, driver, name):
        check_change(driver, (name,))


class TestTwoFaults:
    @pytest.mark.parametrize("names", FAULT_PAIRS, ids=" and ".join)
    def test_old_revision_is_not_used_after_the_bound(self, driver, names):
        check_change(driver, names)


class TestPartitions:
    @pytest.mark.parametrize("name", ["leader isolated", "leader outgoing dropped"])
    def test_a_partition_between_control_hosts_brings_another_leader(self, driver, name):
        """Guards the tests above against partitions that do not act."""
        cluster = driver.cluster
        fault = FAULTS[name](cluster)
        fault.begin()
        try:
            wait_for(
                lambda: any(
                    cluster.leader_name(host) not in ("", fault.leader.name)
                    for host in fault.followers
                ),
                "another leader",
            )
        finally:
            fault.end()
        driver.wait_in_force()


class TestQuorumLost:
    def test_entry_hosts_refuse_within_the_bound_and_recover(self, driver):
        cluster = driver.cluster
        leader = cluster.leader()
        lost = [host for host in cluster.controls if host is not leader]
        for host in lost:
            host.process.kill()
        time.sleep(BOUND_S)
        assert [driver.probe(host) for host in cluster.entries] == [REFUSED] * 3
        assert request(cluster.entries[0].http, "GET", "/readyz").status == 503
        for host in lost:
            cluster.start_control(host)
        driver.wait_in_force()


class TestRestart:
    def test_restarted_entry_host_refuses_until_a_quorum_confirms(self, driver):
        cluster = driver.cluster
        entry = cluster.entries[0]
        entry.process.kill()
        for host in cluster.controls:
            host.process.freeze()
        cluster.start_entry(entry)
        wait_for(lambda: driver.probe(entry) == REFUSED, "a refusal")
        time.sleep(1.0)
        assert driver.probe(entry) == REFUSED
        for host in cluster.controls:
            host.process.thaw()
        driver.wait_in_force()
