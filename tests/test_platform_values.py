"""Odd values of other writers: each harms itself alone, and all hosts still follow the others."""

import itertools
import json

import pytest

import platformsystem
from ebonywheel import codec, messages
from ebonywheel_platform import language, manifest, reports

ENTRY_HOSTS = 2
UINT64_END = 2**64
REPORT = {
    "service": "book",
    "address": "127.0.0.1:18080",
    "zone": "puget-a",
    "version": "v1",
    "slots": 24,
    "state": "ready",
    "cold-remaining-ms": 0,
    "sequence": 1,
    "born": 1,
}
DEEP = b"[" * 100_000 + b"]" * 100_000
ADDRESSES = [
    "",
    "127.0.0.1",
    "127.0.0.1:",
    "127.0.0.1:0",
    "127.0.0.1:65536",
    "127.0.0.1:99999999999999999999",
    "127.0.0.1:-1",
    "127.0.0.1: 80",
    "127.0.0.1:８０",
    "127.0.0.999:80",
    "a.example:80",
    "0.0.0.0:80",
    "127.0.0.1:80\0",
]
VALUES = [
    *itertools.product(
        ("sequence", "born", "slots", "cold-remaining-ms"),
        (UINT64_END - 1, UINT64_END, 10**30, -1, None, "x", [1]),
    ),
    ("cold-remaining-ms", 1e300),
    *(("address", address) for address in ADDRESSES),
    *itertools.product(("service", "zone"), ("", "x" * 1000, "x\0", 7, {})),
    ("state", "gone"),
    ("state", ["ready"]),
]


def encode_report(**fields):
    return json.dumps({**REPORT, **fields}).encode()


def odd_reports():
    """Return pairs of a server's id and a report that names no server to use."""
    found = [("i-odd", encode_report(**{field: value})) for field, value in VALUES]
    found += [("i-odd", body) for body in (b"", b"\xff", DEEP, b'{"models":' + DEEP + b"}")]
    found.append(("i-odd", encode_report(models="x" * 100_000)))
    found += [(server, encode_report()) for server in ("", "x" * 1000, "a%00b", "%ED%A0%80%0A")]
    return found


@pytest.fixture(scope="module")
def system(tmp_path_factory):
    """Run a system with one sound server."""
    started = platformsystem.System(tmp_path_factory.mktemp("platform"), ENTRY_HOSTS)
    try:
        started.publish(
            platformsystem.manifest(7, [platformsystem.route("look", "/look/", "safe")])
        )
        yield started
    finally:
        started.close()


# Guards against one odd entry among the reports of servers that ends the hosts that read it, or
# keeps them from following the others.
def test_hosts_follow_sound_servers_and_changes_beside_odd_reports(system):
    servers = platformsystem.AnnouncedServers(system)
    servers.start()
    for server, body in odd_reports():
        assert system.call_control("PUT", f"/api/instances/{server}", body)[0] == 400, body[:200]
    _check_all_follow(system, servers, 9)
    for node in [*system.controls, *system.entries]:
        node.stop()
        node.start()
        platformsystem.wait_for(
            lambda: all(system.ready_status(entry) == 200 for entry in system.entries), "a restart"
        )
        # A control host keeps no reports on disk: it has them from the servers' next ones.
        servers.report()
    _check_all_follow(system, servers, 11)
    servers.leave()


# Guards against names in the paths of calls that would be kept, logged and passed on at any length.
@pytest.mark.parametrize("name", ["", "x" * 256, "x" * 10_000, "a%00b", "%ED%A0%80%0A"])
def test_calls_with_names_that_no_host_can_use_are_refused(system, name):
    for method, path in (
        ("DELETE", "/api/instances/"),
        ("POST", "/api/evacuations/"),
        ("DELETE", "/api/evacuations/"),
    ):
        assert system.call_control(method, path + name)[0] == 400


def test_the_longest_name_that_is_accepted_is_known_to_all_hosts(system):
    servers = platformsystem.AnnouncedServers(system)
    servers.start(name="x" * 255)
    servers.leave()


# Guards against numbers of callers and operators that do not fit into messages between hosts.
def test_hosts_follow_beside_odd_numbers_of_callers_and_operators(system):
    servers = platformsystem.AnnouncedServers(system)
    servers.start()
    for version in (UINT64_END - 1, UINT64_END, 10**30, -1):
        content = platformsystem.manifest(version, [])
        assert system.call_control("PUT", "/api/config", content)[0] == 400
    assert system.call_control("PUT", "/api/config", DEEP)[0] == 400
    deadlines = ("1e300", "inf", "nan", "9" * 400, "-1")
    counts = ("9" * 30 + ",1", "1," + "9" * 30, "9" * 5000 + ",1")
    for number, (deadline, count) in enumerate(itertools.product(deadlines, counts)):
        headers = {"X-Deadline-Ms": deadline, "X-Token-Counts": count}
        system.request("POST", f"/look/{number}", b"x", headers)
    _check_all_follow(system, servers, 13)
    servers.leave()


def _check_all_follow(system, servers, version):
    """Check that all hosts take up a new server and a new routing, and serve."""
    servers.start()
    system.publish(
        platformsystem.manifest(version, [platformsystem.route("look", "/look/", "safe")])
    )
    for node in system.entries:
        assert system.request("GET", "/look/1", node=node).status == 200
    for node in [*system.controls, *system.entries]:
        assert node.process.poll() is None
        for event in ("task_failed", "process_failed"):
            assert not node.events(event)


@pytest.mark.parametrize("field", ["sequence", "born", "slots", "cold-remaining-ms"])
def test_the_largest_accepted_number_fits_into_messages(field):
    limits = {
        "sequence": reports.MAX_INTEGER,
        "born": reports.MAX_INTEGER,
        "slots": reports.MAX_SLOTS,
        "cold-remaining-ms": reports.MAX_COLD_MS,
    }
    record = reports.decode("i-1", encode_report(**{field: limits[field]})).unwrap()
    assert codec.encode(messages.WatchReply(records=[record]), 1, codec.FLAG_REPLY)
    assert reports.decode("i-1", encode_report(**{field: limits[field] + 1})).is_err()


def test_the_largest_accepted_version_fits_into_messages():
    content = json.dumps(platformsystem.manifest(manifest.MAX_VERSION, [])).encode()
    version = manifest.decode(content).unwrap().version
    assert codec.encode(messages.WatchReply(routing_version=version), 1, codec.FLAG_REPLY)


# Guards against engines' answers with numbers that planning a move cannot use.
@pytest.mark.parametrize("number", ["1" + "0" * 30, "-1", "1e400", "null", "[]"])
def test_an_engines_report_with_an_odd_number_is_unreadable(number):
    decoder = language.PlatformDialect()
    for body in (
        '{"kv-used": %s}',
        '{"kv-total": %s}',
        '{"runs": [["a", %s, 1, 0]]}',
        '{"runs": [["a", 1, %s, 0]]}',
    ):
        assert decoder.decode_report(200, (body % number).encode()) is None
    assert decoder.decode_report(200, b'{"state": ' + DEEP + b"}") is None
    assert decoder.decode_copy(200, b'{"made": ' + DEEP + b"}").handle == ""
