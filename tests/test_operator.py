"""The operators' command line against real control hosts, and offline."""

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
    listed = ", ".join(f'"{address}"' for address in addresses)
    return cluster._write(
        f"operator-{operator}-{len(addresses)}.toml",
        f'operator = "{operator}"\ntoken_file = "{cluster.token}"\ncontrol = [{listed}]\n',
    )


def write(folder, text, name="document.toml"):
    path = folder / name
    path.write_text(text)
    return str(path)


@pytest.fixture(scope="module")
def cluster(tmp_path_factory):
    with Cluster(tmp_path_factory.mktemp("operator")).start() as made:
        made.wait_for_leader()
        yield made


class TestCheck:
    @pytest.mark.parametrize(
        ("line", "code", "said"),
        [
            ('operator = "ann"', 0, "settings are valid"),
            ("operator = 7", EXIT_BAD_INPUT, "Expected `str`, got `int` - at `$.operator`"),
        ],
    )
    def test_own_settings_are_checked(self, tmp_path, line, code, said):
        text = f'{line}\ntoken_file = "token"\ncontrol = ["127.0.0.1:1"]\n'
        path = write(tmp_path, text, "operator.toml")
        command = [sys.executable, "-m", "ebonywheel.operator", "--settings", path, "check"]
        done = subprocess.run(command, capture_output=True, text=True)
        assert (done.returncode, path in done.stdout + done.stderr) == (code, True)
        assert said in done.stdout + done.stderr

    @pytest.mark.parametrize(("right", "wrong", "place"), MISTAKES)
    def test_each_mistake_names_file_and_place(self, tmp_path, right, wrong, place):
        path = write(tmp_path, DOCUMENT_TEXT.replace(right, wrong))
        command = [sys.executable, "-m", "ebonywheel.operator", "check", path]
        done = subprocess.run(command, capture_output=True, text=True)
        assert done.returncode == EXIT_BAD_INPUT
        assert path in done.stderr
        assert place.removeprefix("$.") in done.stderr

    @pytest.mark.parametrize(
        ("right", "wrong", "said"),
        [
            ('"stream"', '"streem"', "Expected one of: stream, whole, plain, got 'streem'"),
            ("cold_slots = 2", 'cold_slots = "two"', "got 'two' - at `engines.planner.cold_slots`"),
            ("warm_slots = 8", "warm_slots = 0", "`int` >= 1, got 0"),
            ("normal = 10", "normal = 1000", "got 1000 - at `priorities.normal`"),
        ],
    )
    def test_error_says_line_expected_and_found(self, tmp_path, right, wrong, said):
        text = DOCUMENT_TEXT.replace(right, wrong)
        path = write(tmp_path, text)
        command = [sys.executable, "-m", "ebonywheel.operator", "check", path]
        done = subprocess.run(command, capture_output=True, text=True)
        line = 1 + text[: text.index(wrong)].count("\n")
        assert said in done.stderr
        assert f"{path}:{line}" in done.stderr

    def test_key_entered_instead_of_its_digest_is_not_shown(self, tmp_path):
        secret = "orchard-raw-key"
        digest = documents.key_digest("orchard-key")
        path = write(tmp_path, DOCUMENT_TEXT.replace(digest, secret))
        command = [sys.executable, "-m", "ebonywheel.operator", "check", path]
        done = subprocess.run(command, capture_output=True, text=True)
        assert "customers.orchard.key_sha256" in done.stderr
        assert secret not in done.stderr + done.stdout


class TestChange:
    def test_apply_waits_until_in_force_and_equal_base_loses_by_name(self, cluster, tmp_path):
        path = write(tmp_path, example("cooperative"))
        done = run(cluster, "apply", path, "--base", "0", "--wait")
        assert done.returncode == 0, done.stderr
        assert "in force on all 3 entry hosts" in done.stderr
        bo = write_settings(cluster, [host.http for host in cluster.controls], "bo")
        lost = run(cluster, "apply", path, "--base", "0", settings=bo)
        assert lost.returncode == EXIT_CONFLICT
        assert "changed by ann" in lost.stdout
        entries = cluster.read("audit").json()
        refused = [entry for entry in entries if entry["outcome"] == "Conflict"]
        assert [(entry["actor"], entry["base"]) for entry in refused] == [("bo", 0)]

    def test_diff_names_entries_and_hides_digests(self, cluster, tmp_path):
        other = documents.key_digest("another-key")
        text = example("cooperative").replace(DEMO_DIGEST, other)
        text = text.replace("cold_slots = 2\n", "cold_slots = 3\n", 1)
        done = run(cluster, "diff", write(tmp_path, text))
        assert "changed engines.planner cold_slots: 2 -> 3" in done.stdout
        entries = done.stdout.split("\n\n")[0]
        assert "customers.cascade-press key_sha256: (hidden) -> (hidden)" in entries
        assert other not in entries

    def test_lost_answer_is_unknown_and_the_printed_command_settles_it(self, cluster, tmp_path):
        text = example("cooperative").replace('"production"', '"settle"')
        path = write(tmp_path, text)
        with silent_server() as address:
            lost = run(
                cluster, "apply", path, "--base", "0", settings=write_settings(cluster, [address])
            )
        assert lost.returncode == EXIT_UNKNOWN
        command = re.search(r"to settle it: (.*)", lost.stderr).group(1)
        words = shlex.split(command)[1:]
        arguments = words[words.index("apply") :]
        assert "--operation" in arguments
        first, again = (run(cluster, *arguments) for _ in range(2))
        assert first.stdout == again.stdout
        assert "revision 0 -> 1" in first.stdout

    @pytest.mark.parametrize("target", ["control", "a/b", "production\n", ""])
    def test_name_that_would_reach_other_items_is_refused(self, cluster, target):
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

    def test_operation_id_of_another_command_is_refused(self, cluster):
        command = {"type": "IssueOrder", "operation": "reused", "environment": "nowhere"}
        command |= {"server": "s", "kind": "load_model"}
        cluster.operate({**command, "argument": "a"})
        answer = cluster.operate({**command, "argument": "b"})
        assert answer.json()["code"] == "operation_reused"

    def test_token_is_in_no_output_and_no_log(self, cluster):
        texts = [
            run(cluster, *words).stdout for words in (["status"], ["audit"], ["--json", "status"])
        ]
        texts += [process.text() for process in cluster.processes()]
        assert not any(OPERATOR_TOKEN in text for text in texts)


@contextlib.contextmanager
def silent_server():
    """Take requests and close without an answer."""
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
        path = write(tmp_path, example("cooperative").replace('"production"', '"unserved"', 1))
        done = run(cluster, "apply", path, "--wait")
        assert done.returncode == 0
        assert "no entry host serves unserved" in done.stderr


class TestPromotion:
    ROUNDS = 3

    def test_promoted_text_names_its_own_environment(self, cluster):
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
        held = cluster.read("document?environment=target").json()["text"]
        assert held == text.replace('"production"', '"target"', 1)

    def test_entry_host_never_serves_a_mixture(self, cluster):
        entry = cluster.entries[0]
        mixed, stopped, current = [], threading.Event(), [0]

        def watch():
            while not stopped.is_set():
                number = current[0]
                if knows(entry, f"first-{number}") and knows(entry, f"second-{number - 1}"):
                    mixed.append(number)

        thread = threading.Thread(target=watch)
        thread.start()
        try:
            for number in range(1, self.ROUNDS + 1):
                self.promote(cluster, number, current)
        finally:
            stopped.set()
            thread.join()
        assert mixed == []

    def promote(self, cluster, number, current):
        text = two_customers(number)
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
        current[0] = number
        killer = threading.Timer(0.002 * number, leader.process.kill)
        killer.start()
        wait_for(lambda: self.accepted(cluster, command, other), "the promotion")
        killer.join()
        wait_for(lambda: knows(cluster.entries[0], f"second-{number}"), "the promotion in force")
        held = cluster.read("document?environment=production", other).json()
        assert held["revision"] == base + 1
        assert 'environment = "production"' in held["text"]
        cluster.start_control(leader)
        wait_for(lambda: cluster._leader(leader), "the killed host")

    def accepted(self, cluster, command, host):
        with contextlib.suppress(OSError, ValueError, ConnectionError):
            return cluster.operate(command, host).status == 200
        return False


def two_customers(number):
    text = example("cooperative").replace('"production"', '"trial"')
    start = text.index("[customers.cascade-press]")
    end = text.find("\n#", start)
    block = text[start:end].replace("cascade-press", "second-press")
    block = block.replace(DEMO_DIGEST, documents.key_digest(f"second-{number}"))
    text = text.replace(DEMO_DIGEST, documents.key_digest(f"first-{number}"))
    return f"{text}\n{block}\n"


def knows(entry, key):
    """Return whether the entry host takes work of the customer with this key."""
    headers = [("authorization", f"Bearer {key}")]
    return request(entry.http, "POST", "/v1/services/none", headers, b"{}").status == 404


class TestMembers:
    def test_host_with_a_lost_disk_is_replaced(self, cluster):
        name = cluster.wait_for_leader()
        lost = next(host for host in cluster.controls if host.name != name)
        asked = next(host for host in cluster.controls if host.name == name)
        before = {held["member"] for held in cluster.read("members", asked).json()}
        lost.process.kill()
        shutil.rmtree(cluster.folder / f"data-{lost.name}")
        cluster.start_control(lost, join=True)
        wait_for(lambda: identity(lost), "the empty host")
        settings = write_settings(cluster, [asked.http])
        done = run(cluster, "members", "replace", lost.name, "--by", lost.http, settings=settings)
        assert done.returncode == 0, done.stderr
        held = cluster.read("members", asked).json()
        assert [member["voter"] for member in held] == [True] * 3
        assert len({member["member"] for member in held} - before) == 1


def identity(host):
    with contextlib.suppress(OSError):
        return request(host.http, "GET", "/v1/identity").status == 200
    return False
