"""The ``ebonywheel`` command against real control hosts and offline."""

import contextlib
import re
import shlex
import shutil
import socket
import subprocess
import sys
import threading

import pytest

from cluster import OPERATOR_TOKEN, Cluster, example, free_address, request, wait_for
from ebonywheel import documents
from test_configuration import DOCUMENT_TEXT
from test_documents import MISTAKES

EXIT_BAD_INPUT, EXIT_CONFLICT, EXIT_UNKNOWN = 3, 4, 6
DEMO_DIGEST = documents.key_digest("cascade-press-demo-key")


def run(cluster, *arguments, settings=None):
    settings = settings or write_settings(cluster, [host.http for host in cluster.controls])
    command = [sys.executable, "-m", "ebonywheel.operator", "--settings", settings, *arguments]
    return subprocess.run(command, capture_output=True, text=True, timeout=90)


def write_settings(cluster, addresses, operator="ann"):
    control = ", ".join(f'"{address}"' for address in addresses)
    return cluster.write_file(
        f"operator-{operator}-{len(addresses)}.toml",
        f'operator = "{operator}"\ntoken_file = "{cluster.token}"\ncontrol = [{control}]\n',
    )


def write_text(folder, text, name="document.toml"):
    path = folder / name
    path.write_text(text)
    return str(path)


@pytest.fixture(scope="module")
def cluster(tmp_path_factory):
    with Cluster(tmp_path_factory.mktemp("operator")).start() as running_cluster:
        running_cluster.wait_for_leader()
        yield running_cluster


class TestCheck:
    @pytest.mark.parametrize(
        ("line", "code", "message"),
        [
            ('operator = "ann"', 0, "settings are valid"),
            ("operator = 7", EXIT_BAD_INPUT, "Expected `str`, got `int` - at `$.operator`"),
        ],
    )
    def test_operator_settings_are_checked(self, tmp_path, line, code, message):
        text = f'{line}\ntoken_file = "token"\ncontrol = ["127.0.0.1:1"]\n'
        path = write_text(tmp_path, text, "operator.toml")
        command = [sys.executable, "-m", "ebonywheel.operator", "--settings", path, "check"]
        result = subprocess.run(command, capture_output=True, text=True)
        assert (result.returncode, path in result.stdout + result.stderr) == (code, True)
        assert message in result.stdout + result.stderr

    @pytest.mark.parametrize(("right", "wrong", "place"), MISTAKES)
    def test_error_names_file_and_place(self, tmp_path, right, wrong, place):
        path = write_text(tmp_path, DOCUMENT_TEXT.replace(right, wrong))
        command = [sys.executable, "-m", "ebonywheel.operator", "check", path]
        result = subprocess.run(command, capture_output=True, text=True)
        assert result.returncode == EXIT_BAD_INPUT
        assert path in result.stderr
        assert place.removeprefix("$.") in result.stderr

    @pytest.mark.parametrize(
        ("right", "wrong", "message"),
        [
            ('"stream"', '"streem"', "Expected one of: stream, whole, plain, got 'streem'"),
            ("cold_slots = 2", 'cold_slots = "two"', "got 'two' - at `engines.planner.cold_slots`"),
            ("warm_slots = 8", "warm_slots = 0", "`int` >= 1, got 0"),
            ("normal = 10", "normal = 1000", "got 1000 - at `priorities.normal`"),
        ],
    )
    def test_error_tells_line_and_expected_and_actual_value(self, tmp_path, right, wrong, message):
        text = DOCUMENT_TEXT.replace(right, wrong)
        path = write_text(tmp_path, text)
        command = [sys.executable, "-m", "ebonywheel.operator", "check", path]
        result = subprocess.run(command, capture_output=True, text=True)
        line = 1 + text[: text.index(wrong)].count("\n")
        assert message in result.stderr
        assert f"{path}:{line}" in result.stderr

    def test_key_given_in_place_of_its_digest_is_not_shown(self, tmp_path):
        secret = "orchard-raw-key"
        digest = documents.key_digest("orchard-key")
        path = write_text(tmp_path, DOCUMENT_TEXT.replace(digest, secret))
        command = [sys.executable, "-m", "ebonywheel.operator", "check", path]
        result = subprocess.run(command, capture_output=True, text=True)
        assert "customers.orchard.key_sha256" in result.stderr
        assert secret not in result.stderr + result.stdout


class TestChanges:
    def test_apply_waits_until_in_force_and_second_apply_on_same_base_conflicts(
        self, cluster, tmp_path
    ):
        path = write_text(tmp_path, example("cooperative"))
        result = run(cluster, "apply", path, "--base", "0", "--wait")
        assert result.returncode == 0, result.stderr
        assert "in force on all 3 entry hosts" in result.stderr
        bo_settings = write_settings(cluster, [host.http for host in cluster.controls], "bo")
        conflicting = run(cluster, "apply", path, "--base", "0", settings=bo_settings)
        assert conflicting.returncode == EXIT_CONFLICT
        assert "changed by ann" in conflicting.stdout
        entries = cluster.read("audit").json()
        conflicts = [entry for entry in entries if entry["outcome"] == "Conflict"]
        assert [(entry["actor"], entry["base"]) for entry in conflicts] == [("bo", 0)]

    def test_diff_names_entries_and_hides_digests(self, cluster, tmp_path):
        other_digest = documents.key_digest("another-key")
        text = example("cooperative").replace(DEMO_DIGEST, other_digest)
        text = text.replace("cold_slots = 2\n", "cold_slots = 3\n", 1)
        result = run(cluster, "diff", write_text(tmp_path, text))
        assert "changed engines.planner cold_slots: 2 -> 3" in result.stdout
        entries = result.stdout.split("\n\n")[0]
        assert "customers.cascade-press key_sha256: (hidden) -> (hidden)" in entries
        assert other_digest not in entries

    def test_printed_command_settles_an_unknown_outcome(self, cluster, tmp_path):
        text = example("cooperative").replace('"production"', '"settle"')
        path = write_text(tmp_path, text)
        with silent_server() as address:
            unanswered = run(
                cluster, "apply", path, "--base", "0", settings=write_settings(cluster, [address])
            )
        assert unanswered.returncode == EXIT_UNKNOWN
        command = re.search(r"to settle it: (.*)", unanswered.stderr).group(1)
        words = shlex.split(command)[1:]
        arguments = words[words.index("apply") :]
        assert "--operation" in arguments
        first, second = (run(cluster, *arguments) for _ in range(2))
        assert first.stdout == second.stdout
        assert "revision 0 -> 1" in first.stdout

    @pytest.mark.parametrize("target", ["control", "a/b", "production\n", ""])
    def test_environment_name_that_could_address_other_items_is_refused(self, cluster, target):
        answer = cluster.operate(
            {
                "type": "PromoteDocument",
                "source": "production",
                "target": target,
                "source_revision": 1,
                "base": 0,
            }
        )
        assert (answer.status, answer.json()["code"]) == (422, "environment")

    def test_operation_id_reused_for_another_command_is_refused(self, cluster):
        command = {"type": "IssueOrder", "operation": "reused", "environment": "nowhere"}
        command |= {"server": "s", "kind": "load_model"}
        cluster.operate({**command, "argument": "a"})
        answer = cluster.operate({**command, "argument": "b"})
        assert answer.json()["code"] == "operation_reused"

    def test_token_appears_in_no_output_and_no_log(self, cluster):
        texts = [
            run(cluster, *arguments).stdout
            for arguments in (["status"], ["audit"], ["--json", "status"])
        ]
        texts += [process.text() for process in cluster.processes()]
        assert not any(OPERATOR_TOKEN in text for text in texts)


@contextlib.contextmanager
def silent_server():
    """Run a server that reads requests and closes the connection without an answer."""
    address = free_address()
    ip, port = address.split(":")
    listener = socket.create_server((ip, int(port)))
    stopped = threading.Event()

    def serve():
        listener.settimeout(0.2)
        while not stopped.is_set():
            with contextlib.suppress(OSError):
                client, _ = listener.accept()
                client.recv(65536)
                client.close()

    thread = threading.Thread(target=serve)
    thread.start()
    try:
        yield address
    finally:
        stopped.set()
        thread.join()
        listener.close()

    def test_wait_ends_where_no_entry_host_serves(self, cluster, tmp_path):
        path = write_text(tmp_path, example("cooperative").replace('"production"', '"unserved"', 1))
        result = run(cluster, "apply", path, "--wait")
        assert result.returncode == 0
        assert "no entry host serves unserved" in result.stderr


class TestPromotion:
    ROUNDS = 3

    def test_promoted_document_names_the_target_environment(self, cluster):
        text = example("cooperative")
        assert cluster.apply(text.replace('"production"', '"source"', 1), 0, "source").status == 200
        command = {
            "type": "PromoteDocument",
            "source": "source",
            "target": "target",
            "source_revision": 1,
            "base": 0,
        }
        assert cluster.operate(command).status == 200
        promoted = cluster.read("document?environment=target").json()["text"]
        assert promoted == text.replace('"production"', '"target"', 1)

    def test_entry_host_never_serves_two_revisions_at_once(self, cluster):
        """Each promotion changes the keys of two customers together, while the leader is killed.

        A host that accepts the first one's new and the second one's old key mixes two revisions.
        """
        entry = cluster.entries[0]
        mixed_rounds, stopped, current_round = [], threading.Event(), [0]

        def watch():
            while not stopped.is_set():
                number = current_round[0]
                if accepts_key(entry, f"first-{number}") and accepts_key(
                    entry, f"second-{number - 1}"
                ):
                    mixed_rounds.append(number)

        thread = threading.Thread(target=watch)
        thread.start()
        try:
            for number in range(1, self.ROUNDS + 1):
                self.promote_while_leader_dies(cluster, number, current_round)
        finally:
            stopped.set()
            thread.join()
        assert mixed_rounds == []

    def promote_while_leader_dies(self, cluster, number, current_round):
        text = document_with_two_keys(number)
        assert cluster.apply(text, number - 1, "trial").status == 200
        base = cluster.read("document?environment=production").json().get("revision", 0)
        command = {
            "type": "PromoteDocument",
            "operation": f"promote-{number}",
            "source": "trial",
            "target": "production",
            "source_revision": number,
            "base": base,
        }
        name = cluster.wait_for_leader()
        leader = next(host for host in cluster.controls if host.name == name)
        other = next(host for host in cluster.controls if host is not leader)
        current_round[0] = number
        kill_timer = threading.Timer(0.002 * number, leader.process.kill)
        kill_timer.start()
        wait_for(lambda: self.is_accepted(cluster, command, other), "the promotion")
        kill_timer.join()
        wait_for(
            lambda: accepts_key(cluster.entries[0], f"second-{number}"), "the promotion in force"
        )
        document = cluster.read("document?environment=production", other).json()
        assert document["revision"] == base + 1
        assert 'environment = "production"' in document["text"]
        cluster.start_control(leader)
        wait_for(lambda: cluster.leader_name(leader), "the killed host")

    def is_accepted(self, cluster, command, host):
        with contextlib.suppress(OSError, ValueError, ConnectionError):
            return cluster.operate(command, host).status == 200
        return False


def document_with_two_keys(number):
    """Return a document with two customers, whose keys contain a round's number."""
    text = example("cooperative").replace('"production"', '"trial"')
    start = text.index("[customers.cascade-press]")
    end = text.find("\n#", start)
    block = text[start:end].replace("cascade-press", "second-press")
    block = block.replace(DEMO_DIGEST, documents.key_digest(f"second-{number}"))
    text = text.replace(DEMO_DIGEST, documents.key_digest(f"first-{number}"))
    return f"{text}\n{block}\n"


def accepts_key(entry, key):
    """Return whether the entry host knows the customer with this key.

    The service does not exist: 404 tells that the key was accepted.
    """
    headers = [("authorization", f"Bearer {key}")]
    return request(entry.http, "POST", "/v1/services/none", headers, b"{}").status == 404


class TestMembers:
    def test_host_that_lost_its_disk_is_replaced(self, cluster):
        name = cluster.wait_for_leader()
        lost = next(host for host in cluster.controls if host.name != name)
        leader = next(host for host in cluster.controls if host.name == name)
        ids_before = {member["member"] for member in cluster.read("members", leader).json()}
        lost.process.kill()
        shutil.rmtree(cluster.folder / f"data-{lost.name}")
        cluster.start_control(lost, join=True)
        wait_for(lambda: answers_identity(lost), "the empty host")
        settings = write_settings(cluster, [leader.http])
        result = run(cluster, "members", "replace", lost.name, "--by", lost.http, settings=settings)
        assert result.returncode == 0, result.stderr
        members = cluster.read("members", leader).json()
        assert [member["voter"] for member in members] == [True] * 3
        assert len({member["member"] for member in members} - ids_before) == 1


def answers_identity(host):
    with contextlib.suppress(OSError):
        return request(host.http, "GET", "/v1/identity").status == 200
    return False
