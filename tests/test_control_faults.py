"""Control hosts as real processes under kills, freezes, lost disks and long absences."""

import pathlib
import random
import shutil
import threading
import time
import uuid

import h11
import msgspec
import pytest

from cluster import OPERATOR_TOKEN, Client, Cluster, request, wait_for
from replicas import Operation, check_history
from test_configuration import DOCUMENT_TEXT

DOCUMENT = DOCUMENT_TEXT.replace('environment = "trial"', 'environment = "production"')
ELECTION_TIMEOUT_S = 0.5
OPTIONS = f"election_timeout_s = {ELECTION_TIMEOUT_S}\nsnapshot_entries = 60"
EXIT_FAULT = 1
READERS = 30
CLIENTS = 4
HISTORY_S = 12.0


@pytest.fixture
def cluster(tmp_path):
    with Cluster(tmp_path, entries=0, control=OPTIONS).start() as made:
        made.wait_for_leader()
        assert made.apply(DOCUMENT).status == 200
        yield made


def leader_and_others(cluster):
    name = cluster.wait_for_leader()
    leader = next(host for host in cluster.controls if host.name == name)
    return leader, [host for host in cluster.controls if host is not leader]


def change(base, operation=None, out=None):
    return {
        "type": "SetDataCentre",
        "operation": operation or str(uuid.uuid4()),
        "environment": "production",
        "data_centre": "puget",
        "out": base % 2 == 1 if out is None else out,
        "base": base,
    }


def settled(cluster, command, hosts):
    """Send a command until its outcome is known, as an operator does."""

    def send():
        for host in hosts:
            try:
                answer = cluster.operate(command, host)
            except OSError:
                continue
            if answer.status not in (503, 504):
                return answer
        return None

    return wait_for(send, "a known outcome")


def changes(cluster, base, count, hosts):
    """Make changes one after the other and return the revision."""
    for revision in range(base, base + count):
        answer = settled(cluster, change(revision), hosts)
        assert (answer.status, answer.json()["revision"]) == (200, revision + 1)
    return base + count


def revision(cluster, hosts):
    def ask():
        for host in hosts:
            try:
                answer = cluster.read("document?environment=production", host)
            except OSError:
                continue
            if answer.status == 200:
                return answer.json()["revision"]
        return None

    return wait_for(ask, "a read")


def folder(cluster, host):
    return pathlib.Path(cluster.folder) / f"data-{host.name}"


def identity(host):
    def ask():
        try:
            return request(host.http, "GET", "/v1/identity").json()
        except OSError:
            return None

    return wait_for(ask, "an identity")


def member(cluster, kind, hosts, **fields):
    answer = settled(cluster, {"type": kind, "operation": str(uuid.uuid4()), **fields}, hosts)
    assert answer.status == 200, answer.body


def lose_disk(cluster, host):
    """End a host, take its disk away, and return its old identity."""
    old = identity(host)
    host.process.kill()
    shutil.rmtree(folder(cluster, host))
    return old


def repair(cluster, host, old, hosts):
    cluster.start_control(host, join=True)
    new = identity(host)
    assert new["member"] != old["member"]
    member(cluster, "RemoveMember", hosts, host=host.name, member=old["member"])
    member(cluster, "AddMember", hosts, **new)
    member(cluster, "AddMember", hosts, **new, voter=True)


class TestLeaderLost:
    def test_kill_loses_nothing_and_a_resend_gets_the_first_answer(self, cluster):
        base = 1
        for _ in range(3):
            leader, others = leader_and_others(cluster)
            command = change(base)
            first = settled(cluster, command, [leader])
            assert first.json()["revision"] == base + 1
            leader.process.kill()
            again = settled(cluster, command, others)
            assert again.body == first.body
            assert revision(cluster, others) == base + 1
            cluster.start_control(leader)
            base += 1

    def test_frozen_leader_decides_nothing_and_answers_no_old_read(self, cluster):
        leader, others = leader_and_others(cluster)
        readers = [Client(leader.http) for _ in range(READERS)]
        writer = Client(leader.http)
        time.sleep(0.2)
        leader.process.freeze()
        stale = change(1)
        headers = [("authorization", f"Operator ann:{OPERATOR_TOKEN}")]
        for client in readers:
            client.send("GET", "/v1/state/document?environment=production", headers)
        writer.send("POST", "/v1/operations", headers, msgspec.json.encode(stale))
        newest = changes(cluster, 1, 5, others)
        leader.process.thaw()
        for client in readers:
            read = client.answer()
            assert read.status != 200 or read.json()["revision"] >= newest
        assert writer.answer().status in (409, 503, 504)
        assert revision(cluster, cluster.controls) == newest
        assert settled(cluster, stale, cluster.controls).status == 409


class TestLostDisk:
    def test_empty_host_under_the_old_name_does_not_count(self, cluster):
        leader, (one, two) = leader_and_others(cluster)
        lose_disk(cluster, one)
        cluster.start_control(one)
        wait_for(lambda: "not_a_member" in one.process.text(), "the host to stay out")
        two.process.kill()
        time.sleep(3 * ELECTION_TIMEOUT_S)
        for host in (leader, one):
            assert cluster.read("status", host).status == 503
            assert cluster.operate(change(1), host).status in (503, 504)

    def test_second_host_lost_right_after_the_repair(self, cluster):
        leader, (one, two) = leader_and_others(cluster)
        base = changes(cluster, 1, 80, [leader])
        command = change(base)
        first = settled(cluster, command, [leader])
        old = lose_disk(cluster, one)
        repair(cluster, one, old, [leader, two])
        lost = lose_disk(cluster, leader)
        left = [one, two]
        assert revision(cluster, left) == base + 1
        assert settled(cluster, command, left).body == first.body
        base = changes(cluster, base + 1, 5, left)
        repair(cluster, leader, lost, left)
        assert revision(cluster, [leader]) == base

    def test_folder_of_another_host_is_refused(self, cluster):
        _, (one, two) = leader_and_others(cluster)
        lose_disk(cluster, one)
        two.process.kill()
        shutil.copytree(folder(cluster, two), folder(cluster, one))
        cluster.start_control(one)
        assert one.process.popen.wait(20) == EXIT_FAULT
        assert "data folder belongs to host" in one.process.text()

    def test_corrupt_log_is_refused_with_what_to_do(self, cluster):
        _, (one, _) = leader_and_others(cluster)
        one.process.kill()
        log = folder(cluster, one) / "log"
        data = bytearray(log.read_bytes())
        data[-1] ^= 1
        log.write_bytes(data)
        cluster.start_control(one)
        assert one.process.popen.wait(20) == EXIT_FAULT
        assert "bad record" in one.process.text()
        assert "learner" in one.process.text()

    def test_second_process_on_one_folder_is_refused(self, cluster):
        host = cluster.controls[0]
        first = host.process
        second = cluster.start_control(host)
        assert second.popen.wait(20) == EXIT_FAULT
        assert "in use by another process" in second.text()
        assert first.running()
        host.process = first


class TestAbsence:
    def test_host_away_for_hundreds_of_changes_catches_up_and_knows_old_operations(self, cluster):
        leader, (one, two) = leader_and_others(cluster)
        command = change(1)
        first = settled(cluster, command, [leader])
        one.process.kill()
        base = changes(cluster, 2, 300, [leader])
        cluster.start_control(one)
        wait_for(lambda: "installed_snapshot" in one.process.text(), "a snapshot")
        for host in (leader, two):
            host.process.kill()
            cluster.start_control(host)
        for host in cluster.controls:
            assert settled(cluster, command, [host]).body == first.body
        two.process.kill()
        assert revision(cluster, [one]) == base

    def test_all_restart_at_once(self, cluster):
        base = changes(cluster, 1, 30, cluster.controls)
        for host in cluster.controls:
            host.process.kill()
        for host in cluster.controls:
            cluster.start_control(host)
        assert revision(cluster, cluster.controls) == base


class TestShutdown:
    def test_leader_hands_over_without_an_election_timeout(self, cluster):
        leader, others = leader_and_others(cluster)
        assert leader.process.terminate() == 0
        assert cluster.wait_for_leader(others[0]) != leader.name

    def test_second_signal_ends_a_drain_at_once(self, cluster):
        leader, others = leader_and_others(cluster)
        for host in others:
            host.process.freeze()
        leader.process.popen.terminate()
        wait_for(lambda: "draining" in leader.process.text(), "the drain")
        started_at = time.monotonic()
        assert leader.process.terminate() not in (0, None)
        assert time.monotonic() - started_at < 2 * ELECTION_TIMEOUT_S
        for host in others:
            host.process.thaw()


class TestHistory:
    """Clients race through all hosts while hosts are killed and frozen at random moments."""

    def test_acknowledged_changes_and_reads_are_linearizable(self, cluster):
        rng = random.Random(4)
        until = time.monotonic() + HISTORY_S
        history = []
        clients = [
            threading.Thread(target=self.client, args=(cluster, n, until, history))
            for n in range(CLIENTS)
        ]
        for thread in clients:
            thread.start()
        while time.monotonic() < until:
            host = rng.choice(cluster.controls)
            if rng.random() < 0.5:
                host.process.kill()
                time.sleep(rng.uniform(0.1, 3 * ELECTION_TIMEOUT_S))
                cluster.start_control(host)
            else:
                host.process.freeze()
                time.sleep(rng.uniform(0.1, 4 * ELECTION_TIMEOUT_S))
                host.process.thaw()
            time.sleep(rng.uniform(0.0, 2 * ELECTION_TIMEOUT_S))
        for thread in clients:
            thread.join()
        newest = revision(cluster, cluster.controls)
        audit = self.audit(cluster)
        accepted = {entry["operation"]: entry["revision"] for entry in audit}
        assert len(accepted) == len(audit)
        assert sorted(accepted.values()) == list(range(2, newest + 1))
        history.append(self.first(accepted))
        for number, operation in enumerate(history):
            if operation.kind == "write" and operation.id not in accepted:
                operation.value = -number
        check_history(history, accepted, len(accepted))
        assert len([operation for operation in history if operation.result == "done"]) > 20

    def first(self, accepted):
        """Return the change that the fixture made."""
        made = Operation("first", "write", "production", 1, -2.0)
        made.end, made.result, made.index = -1.0, "done", 1
        accepted["first"] = 1
        return made

    def audit(self, cluster):
        """Return all accepted changes, page by page."""
        found, after = [], 0
        while True:
            page = self.page(cluster, after)
            if not page:
                return found
            after = page[-1]["index"]
            found += [
                entry
                for entry in page
                if entry["action"] == "SetDataCentre" and entry["outcome"] == "Accepted"
            ]

    def page(self, cluster, after):
        def ask():
            for host in cluster.controls:
                answer = cluster.read(f"audit?after={after}", host)
                if answer.status == 200:
                    return (answer.json(),)
            return None

        return wait_for(ask, "the audit trail")[0]

    def client(self, cluster, number, until, history):
        rng = random.Random(number)
        known = 1
        while time.monotonic() < until:
            host = rng.choice(cluster.controls)
            operation = Operation("", "read", "production", 0, time.monotonic())
            try:
                if rng.random() < 0.5:
                    known = self.read(cluster, host, operation, history) or known
                else:
                    known = self.write(cluster, host, operation, known, history)
            except (OSError, h11.RemoteProtocolError, AttributeError):
                # The host was killed before or in its answer.
                time.sleep(0.02)

    def read(self, cluster, host, operation, history):
        answer = cluster.read("document?environment=production", host)
        if answer.status != 200:
            time.sleep(0.02)
            return 0
        operation.end = time.monotonic()
        operation.value = answer.json()["revision"]
        operation.result = "done"
        history.append(operation)
        return operation.value

    def write(self, cluster, host, operation, known, history):
        command = change(known)
        operation.kind, operation.id, operation.value = "write", command["operation"], known + 1
        history.append(operation)
        answer = cluster.operate(command, host)
        operation.end = time.monotonic()
        if answer.status == 200:
            operation.result = "done"
            operation.index = answer.json()["revision"]
            return operation.index
        if answer.status in (409, 422, 503):
            operation.result = "not run"
        return answer.json().get("revision", known)
