"""Crowds of callers that misbehave: a host lives on within its machine's memory, and serves others.

The machines are small by the test's settings. Nothing here depends on the machine's speed.
"""

import http.client
import os
import pathlib

import pytest

import crowds
import platformsystem

MEMORY_MB = 128
MAX_BODY_BYTES = 2 * 1024 * 1024
CROWD = 60
# At a control host a body may have 16 MiB, whatever the routing content says.
CONTROL_BODY_BYTES = 16 * 1024 * 1024
CONTROL_CROWD = 16
# What a host opens for itself, with a connection for each of the crowd.
MAX_DESCRIPTORS = 100 + CROWD
LONG_ANSWER_BYTES = 3 * 1024 * 1024
ROUTES = [
    platformsystem.route("book", "/book/"),
    platformsystem.route("look", "/look/", "safe"),
    platformsystem.route("plan", "/plan/", "streaming", "plan"),
]
FORMS = ["whole", "pieces", "chunks", "small-chunks", "over", "short-fields", "slow"]
OTHER_FORMS = ["ahead", "half-head"]
PATHS = ["/book/crowd", "/look/crowd", "/plan/crowd", "/unknown/crowd"]
CONTROL_DOORS = ["/api/config", "/api/instances/i-crowd", "/api/unknown"]


def content(version):
    """Return a manifest with the limit on bodies of these tests."""
    made = platformsystem.manifest(version, ROUTES)
    made["limits"]["max-body-bytes"] = MAX_BODY_BYTES
    return made


@pytest.fixture
def system(tmp_path):
    started = platformsystem.System(tmp_path, limits={"memory-mb": MEMORY_MB})
    try:
        started.publish(content(7))
        yield started
    finally:
        started.close()


@pytest.fixture
def server(system):
    started = platformsystem.AnnouncedServers(system)
    yield started.start()
    started.leave()


def peak_mb(node):
    """Return the most memory that a host's process has used, in megabytes."""
    status = pathlib.Path(f"/proc/{node.process.pid}/status").read_text()
    line = next(line for line in status.splitlines() if line.startswith("VmHWM"))
    return int(line.split()[1]) * 1024 / 1e6


def check_host(node):
    """Check that a host lives, within its memory and a bound of descriptors."""
    assert node.process.poll() is None
    assert peak_mb(node) < MEMORY_MB
    assert len(os.listdir(f"/proc/{node.process.pid}/fd")) < MAX_DESCRIPTORS


def check_served(system):
    """Check that an ordinary request is answered, as soon as a caller would come again."""

    def answered():
        try:
            return system.request("POST", "/book/1", b"x" * 800).status == 200
        except (OSError, http.client.HTTPException):
            return False

    platformsystem.wait_for(answered, "an answer")
    platformsystem.wait_for(lambda: system.ready_status() == 200, "ready")


def front(node):
    return node.ip, platformsystem.FRONT_PORT


# Guards against a host that keeps whatever callers send, at routes of each kind and none.
@pytest.mark.parametrize("path", PATHS)
@pytest.mark.parametrize("form", FORMS)
def test_a_crowd_at_a_path_ends_no_host(system, server, form, path):
    node = system.entries[0]
    with crowds.running(form, front(node), CROWD, MAX_BODY_BYTES, "POST", path):
        check_host(node)
        check_served(system)
        check_host(node)
    check_served(system)


@pytest.mark.parametrize("form", OTHER_FORMS)
def test_a_crowd_before_its_bodies_ends_no_host(system, server, form):
    node = system.entries[0]
    with crowds.running(form, front(node), CROWD, MAX_BODY_BYTES, "POST", *PATHS):
        check_host(node)
        check_served(system)
        check_host(node)
    check_served(system)


@pytest.mark.parametrize("form", FORMS + OTHER_FORMS)
def test_a_crowd_at_the_readiness_check_ends_no_host(system, server, form):
    node = system.entries[0]
    ready = (node.ip, platformsystem.READY_PORT)
    with crowds.running(form, ready, CROWD, MAX_BODY_BYTES, "GET", "/api/readyz"):
        check_host(node)
        check_served(system)
        check_host(node)
    check_served(system)


# Guards against answers that pile up in a host as their callers don't read them.
@pytest.mark.parametrize("path", ["/book/long", "/look/long"])
def test_a_crowd_that_does_not_read_ends_no_host(system, server, path):
    def answer(handler, received):
        long = received.path == path
        body = b"a" * (LONG_ANSWER_BYTES if long else 10)
        handler.answer(200, body, {"X-Response-Stamp": "stamp"})

    server.script = answer
    node = system.entries[0]
    with crowds.running("unread", front(node), CROWD, 0, "POST", path):
        platformsystem.wait_for(lambda: server.received, "the crowd")
        check_served(system)
        check_host(node)
    check_served(system)


# Guards against control hosts that keep whatever is sent to them.
@pytest.mark.parametrize("path", CONTROL_DOORS)
@pytest.mark.parametrize("form", FORMS)
def test_a_crowd_at_a_control_host_ends_none(system, server, form, path):
    node = system.controls[0]
    address = (node.ip, platformsystem.CONTROL_PORT)
    with crowds.running(form, address, CONTROL_CROWD, CONTROL_BODY_BYTES, "PUT", path):
        check_host(node)
        platformsystem.wait_for(
            lambda: system.call_control("PUT", "/api/config", content(8))[0] == 200, "an order"
        )
        check_host(node)
    check_served(system)


# Guards against a limit that a single caller meets who stays inside the stated limits.
def test_a_single_request_at_the_limits_is_served_in_calm(system, server, monkeypatch):
    # The stand-in server reads heads with this module.
    monkeypatch.setattr(http.client, "_MAXHEADERS", 2 * crowds.SHORT_FIELDS)
    fields = {f"a{n}": "1" for n in range(crowds.SHORT_FIELDS)}
    for path in PATHS[:2]:
        answer = system.request("POST", path, bytes(MAX_BODY_BYTES), fields)
        assert answer.status == 200
        assert len(server.received[-1].body) == MAX_BODY_BYTES
    large = content(9)
    large["padding"] = "x" * (CONTROL_BODY_BYTES - 100_000)
    assert system.call_control("PUT", "/api/config", large, timeout=30)[0] == 200
    check_host(system.controls[0])
