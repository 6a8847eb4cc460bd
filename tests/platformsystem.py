"""Runs the programs as the platform does, on loopback addresses, for contract tests."""

import functools
import http.client
import itertools
import json
import os
import pathlib
import signal
import socket
import subprocess
import sys

import cluster
import platformserver
import processlogs

ROOT = pathlib.Path(__file__).resolve().parent.parent
PROGRAM = ROOT / "platform" / "run.py"
PARTITIONED_HOST = ROOT / "tests" / "partitionedhost.py"
FULL_DISK_HOST = ROOT / "tests" / "fulldiskhost.py"
FRONT_PORT, READY_PORT, CONTROL_PORT, FIRST_INTERNAL_PORT = 18740, 18749, 18748, 17200
ZONES = {"puget-a": "puget", "yakima-a": "yakima", "willamette-a": "willamette"}
WAIT_S = cluster.WAIT_S
# A process claims its loopback addresses by a socket that is bound to this port until it ends.
CLAIM_PORT = 17199
CLAIMS = []

ENGINE = {
    "slots": 24,
    "kv-capacity-tokens": 34000,
    "kv-token-bytes": 1000,
    "link-mbps": 47000.0,
    "moves": True,
    "backups": True,
    "handle-s": 5.0,
}


wait_for = cluster.wait_for


def route(name, prefix, kind="unsafe", service="book", **fields):
    """Return a route of a manifest; further fields override the defaults."""
    return {
        "name": name,
        "host": "a.example",
        "path-prefix": prefix,
        "kind": kind,
        "timeout-ms": 5000,
        "target-latency-ms": 500,
        "priority": 1,
        "service": service,
        "max-attempts": 2 if kind == "safe" else 1,
        "allow-anonymous": False,
        "allowed-regions": [],
        **fields,
    }


def manifest(version, routes):
    """Return a manifest with these routes, two services and one customer."""
    return {
        "version": version,
        "routes": routes,
        "services": [
            {"name": "book", "health-path": "/healthz", "max-connections": 100},
            {"name": "plan", "health-path": "/healthz", "max-connections": 100, "engine": ENGINE},
        ],
        "limits": {
            "max-header-bytes": 16384,
            "max-body-bytes": 100000,
            "header-timeout-ms": 3000,
            "idle-timeout-ms": 15000,
        },
        "tenants": [{"name": "grower", "api-keys": ["key-1"], "priority": 1}],
    }


@functools.cache
def loopback_prefix():
    """Return the first two octets of loopback addresses, different for concurrent test runs."""
    for number in range(254):
        prefix = f"127.{1 + (os.getpid() + number) % 254}"
        claim = socket.socket()
        try:
            claim.bind((f"{prefix}.0.1", CLAIM_PORT))
        except OSError:
            claim.close()
            continue
        CLAIMS.append(claim)
        return prefix
    raise AssertionError("no loopback addresses left")


class Node:
    """One process of a control host or an entry host."""

    def __init__(self, folder, role, number, zone, prefix="127.0", limits=None):
        self.role = role
        self.limits = limits or {}
        self.ip = f"{prefix}.{1 if role == 'control' else 2}.{number}"
        self.name = f"{role}-{number}"
        self.folder = folder / self.name
        self.folder.mkdir()
        self.zone = zone
        self.process = None
        self.log = self.folder / "log"
        self.partition_file = None
        self.full_file = None
        self.program = PROGRAM

    def make_fillable(self):
        """Let later processes of this host run so that `fill_disk` can fill their disk."""
        self.full_file = self.folder / "full"

    def fill_disk(self, full=True):
        """Leave no room on this host's disk, or make room again."""
        if full:
            self.full_file.touch()
        else:
            self.full_file.unlink(missing_ok=True)

    def make_partitionable(self):
        """Let later processes of this host run so that `partition` can cut them off."""
        self.partition_file = self.folder / "partition"
        self.partition("")

    def partition(self, mode):
        """Cut this host off from all backend servers, in a mode of `partitionedhost`."""
        written = self.partition_file.with_suffix(".new")
        written.write_text(mode)
        written.replace(self.partition_file)

    def write_settings(self, seeds, bootstrap):
        """Write the settings file."""
        listen = {"control": f'control = "{self.ip}:{CONTROL_PORT}"'}.get(
            self.role, f'front = "{self.ip}:{FRONT_PORT}"\nready = "{self.ip}:{READY_PORT}"'
        )
        zones = "\n".join(f'{zone} = "{region}"' for zone, region in ZONES.items())
        limits = "\n".join(f"{name} = {value}" for name, value in self.limits.items())
        (self.folder / "boot.toml").write_text(f"""
node-name = "{self.name}"
role = "{self.role}"
ip = "{self.ip}"
zone = "{self.zone}"
region = "{ZONES[self.zone]}"
internal-ports = [{FIRST_INTERNAL_PORT}, {FIRST_INTERNAL_PORT + 15}]
seeds = {json.dumps(seeds)}
bootstrap = {str(bootstrap).lower()}
data-dir = "{self.folder / "data"}"
a-field-that-nobody-knows = [1, 2]
[zones]
{zones}
[listen]
{listen}
[limits]
{limits}
[bounds]
retry-budget-ratio = 0.2
retry-budget-slack = 50
""")

    def start(self):
        """Start the process with its output in the log file."""
        with self.log.open("ab") as log:
            self.process = self._spawn(stdout=log, stderr=log)

    def start_unread(self):
        """Start the process with a standard output that nobody reads."""
        self.process = self._spawn(stdout=subprocess.PIPE)

    def _spawn(self, **output):
        root = self.program.parent.parent
        environment = {
            **os.environ,
            "EBONYWHEEL_BOOT": str(self.folder / "boot.toml"),
            "PYTHONPATH": f"{root / 'src'}:{root / 'platform'}",
        }
        launcher = []
        if self.partition_file is not None:
            launcher = [str(PARTITIONED_HOST), str(self.partition_file)]
        elif self.full_file is not None:
            launcher = [str(FULL_DISK_HOST), str(self.full_file)]
        command = [sys.executable, *launcher, str(self.program), self.role]
        return subprocess.Popen(command, env=environment, **output)

    def stop(self, signal_number=signal.SIGTERM):
        """Send a signal and wait until the process ends; return the exit code."""
        self.process.send_signal(signal_number)
        return self.process.wait(timeout=WAIT_S)

    def events(self, name):
        """Return the log entries of an event."""
        return [entry for entry in processlogs.entries(self.log) if entry["event"] == name]


class System:
    """Some control hosts, the first three of which form the cluster, and some entry hosts.

    Attributes:
        entry_turns: The entry hosts in turn, without end.
    """

    def __init__(
        self,
        folder,
        entries=1,
        partitionable=False,
        controls=3,
        fillable=False,
        program=PROGRAM,
        limits=None,
    ):
        zones = list(ZONES)
        prefix = loopback_prefix()
        self.folder = folder
        self.controls = [
            Node(folder, "control", n + 1, zones[n % len(zones)], prefix, limits)
            for n in range(controls)
        ]
        self.entries = [
            Node(folder, "entry", n + 1, zones[n % len(zones)], prefix, limits)
            for n in range(entries)
        ]
        self.entry_turns = itertools.cycle(self.entries)
        self.seeds = [f"{node.ip}:{CONTROL_PORT}" for node in self.controls[:3]]
        self.attempts = itertools.count(1)
        if partitionable:
            for node in self.entries:
                node.make_partitionable()
        if fillable:
            for node in self.controls:
                node.make_fillable()
        for node in self.controls + self.entries:
            node.program = program
            node.write_settings(self.seeds, True)
            node.start()

    def close(self):
        """Kill all processes that still run."""
        for node in self.controls + self.entries:
            if node.process.poll() is None:
                node.process.kill()
                node.process.wait()

    def call_control(self, method, path, body=None, node=None, timeout=3):
        """Call a control host; return the status, 0 without an answer, and the body."""
        node = node or self.controls[0]
        connection = http.client.HTTPConnection(node.ip, CONTROL_PORT, timeout=timeout)
        try:
            content = body if isinstance(body, bytes) or body is None else json.dumps(body).encode()
            connection.request(method, path, content)
            answer = connection.getresponse()
            return answer.status, answer.read()
        except OSError:
            return 0, b""
        finally:
            connection.close()

    def publish(self, content):
        """Send a manifest until it is acknowledged, and wait until all entry hosts use it."""
        wait_for(lambda: self.call_control("PUT", "/api/config", content)[0] == 200, "the manifest")
        for node in self.entries:
            wait_for(
                lambda node=node: any(
                    entry["version"] >= content["version"]
                    for entry in node.events("routing_in_force")
                ),
                f"version {content['version']} at {node.name}",
            )

    def announce(self, server, state="ready"):
        """Send a server's report to a control host and wait until all entry hosts have it."""
        status, _ = self.call_control(
            "PUT", f"/api/instances/{server.name}", server.next_report(state)
        )
        assert status == 200
        for node in self.entries:
            wait_for(
                lambda node=node: any(
                    entry["server"] == server.name and entry["draining"] == (state == "draining")
                    for entry in node.events("server_changed")
                ),
                f"{server.name} at {node.name}",
            )

    def request(self, method, path, body=b"", headers=None, node=None, timeout=10):
        """Send a caller's request; return the answer with its body in `content`."""
        connection = self.send(method, path, body, headers, node, timeout)
        answer = connection.getresponse()
        answer.content = answer.read()
        connection.close()
        return answer

    def send(self, method, path, body=b"", headers=None, node=None, timeout=10):
        """Send a caller's request; return the connection, the answer not yet read."""
        node = node or self.entries[0]
        connection = http.client.HTTPConnection(node.ip, FRONT_PORT, timeout=timeout)
        fields = {
            "Host": "a.example",
            "X-Attempt-Id": f"attempt-{next(self.attempts)}",
            "X-Deadline-Ms": "4000",
            "Authorization": "Token key-1",
            **(headers or {}),
        }
        connection.request(method, path, body, {k: v for k, v in fields.items() if v is not None})
        return connection

    def ready_status(self, node=None):
        """Return the status of an entry host's readiness check, 0 without an answer."""
        node = node or self.entries[0]
        connection = http.client.HTTPConnection(node.ip, READY_PORT, timeout=3)
        try:
            connection.request("GET", "/api/readyz")
            return connection.getresponse().status
        except OSError:
            return 0
        finally:
            connection.close()


class AnnouncedServers:
    """Stand-in servers that a test starts, announced to all entry hosts of a system.

    Attributes:
        started: All of them.
    """

    # One number for each server of the test run, so that no two have the same name in the logs.
    numbers = itertools.count(1)

    def __init__(self, system):
        self.system = system
        self.started = []

    def start(self, service="book", zone="puget-a", address=None, name=None):
        """Start and announce a server, at another address or with a name of its own if given."""
        name = name or f"i-{next(self.numbers)}"
        server = platformserver.PlatformServer(name, service, zone)
        server.address = address or server.address
        self.started.append(server)
        self.system.announce(server)
        return server

    def report(self):
        """Send one more report of each server, as servers do all the time, until acknowledged."""
        for server in self.started:
            path = f"/api/instances/{server.name}"
            wait_for(
                lambda path=path, server=server: (
                    self.system.call_control("PUT", path, server.next_report())[0] == 200
                ),
                f"a report of {server.name}",
            )

    def leave(self):
        """Stop all servers, and wait until every entry host knows that they have left."""
        for server in self.started:
            wait_for(lambda server=server: self._has_left(server), f"{server.name} to leave")
            if not server.crashed:
                server.close()
        names = {server.name for server in self.started}
        for node in self.system.entries:
            wait_for(lambda node=node: names <= _gone_servers(node), "servers to leave")

    def _has_left(self, server):
        """Send a server's leave; return False if it has to be sent again."""
        status, _ = self.system.call_control("DELETE", f"/api/instances/{server.name}")
        # 503: the host stood still since the server's first report.
        assert status in (200, 503)
        return status == 200


def _gone_servers(node):
    return {entry["server"] for entry in node.events("server_changed") if entry["gone"]}
