"""The programs as the platform starts them, on loopback addresses, for contract tests."""

import http.client
import itertools
import json
import os
import pathlib
import signal
import subprocess
import sys

import cluster

ROOT = pathlib.Path(__file__).resolve().parent.parent
PROGRAM = ROOT / "platform" / "run.py"
FRONT, READY, CONTROL, INTERNAL = 18740, 18749, 18748, 17200
ZONES = {"puget-a": "puget", "yakima-a": "yakima", "willamette-a": "willamette"}
WAIT_S = cluster.WAIT_S

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


def route(name, prefix, kind="unsafe", service="book", **more):
    """Return a route of the manifest."""
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
        **more,
    }


def manifest(version, routes):
    """Return a manifest."""
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


def own_block():
    """Return the first two numbers of loopback addresses that no other run beside this one uses."""
    return f"127.{1 + os.getpid() % 254}"


class Node:
    """One process."""

    def __init__(self, folder, role, number, zone, block="127.0"):
        self.role = role
        self.ip = f"{block}.{1 if role == 'control' else 2}.{number}"
        self.name = f"{role}-{number}"
        self.folder = folder / self.name
        self.folder.mkdir()
        self.zone = zone
        self.process = None
        self.log = self.folder / "log"

    def write_boot(self, seeds, bootstrap):
        """Write the settings file."""
        listen = {"control": f'control = "{self.ip}:{CONTROL}"'}.get(
            self.role, f'front = "{self.ip}:{FRONT}"\nready = "{self.ip}:{READY}"'
        )
        zones = "\n".join(f'{zone} = "{region}"' for zone, region in ZONES.items())
        (self.folder / "boot.toml").write_text(f"""
node-name = "{self.name}"
role = "{self.role}"
ip = "{self.ip}"
zone = "{self.zone}"
region = "{ZONES[self.zone]}"
internal-ports = [{INTERNAL}, {INTERNAL + 15}]
seeds = {json.dumps(seeds)}
bootstrap = {str(bootstrap).lower()}
data-dir = "{self.folder / "data"}"
a-field-that-nobody-knows = [1, 2]
[zones]
{zones}
[listen]
{listen}
[bounds]
retry-budget-ratio = 0.2
retry-budget-slack = 50
""")

    def start(self):
        """Start the process."""
        with self.log.open("ab") as log:
            self.process = self.spawn(stdout=log, stderr=log)

    def start_unread(self):
        """Start the process with a standard output that nobody reads."""
        self.process = self.spawn(stdout=subprocess.PIPE)

    def spawn(self, **output):
        """Return a new process of the program with this output."""
        environment = {**os.environ, "EBONYWHEEL_BOOT": str(self.folder / "boot.toml")}
        return subprocess.Popen(
            [sys.executable, str(PROGRAM), self.role], env=environment, **output
        )

    def end(self, number=signal.SIGTERM):
        """Send a signal and wait for the end; return the exit code."""
        self.process.send_signal(number)
        return self.process.wait(timeout=WAIT_S)

    def events(self, name):
        """Return the log lines of an event."""
        found = []
        for line in self.log.read_text().splitlines():
            if line.startswith("{"):
                entry = json.loads(line)
                if entry["event"] == name:
                    found.append(entry)
        return found


class System:
    """Three control hosts and some entry hosts."""

    def __init__(self, folder, entries=1):
        zones = list(ZONES)
        block = own_block()
        self.folder = folder
        self.controls = [Node(folder, "control", n + 1, zones[n], block) for n in range(3)]
        self.entries = [Node(folder, "entry", n + 1, zones[n], block) for n in range(entries)]
        self.seeds = [f"{node.ip}:{CONTROL}" for node in self.controls]
        self.attempts = itertools.count(1)
        for node in self.controls + self.entries:
            node.write_boot(self.seeds, True)
            node.start()

    def close(self):
        """End all processes."""
        for node in self.controls + self.entries:
            if node.process.poll() is None:
                node.process.kill()
                node.process.wait()

    def order(self, method, path, body=None, node=None):
        """Make a call to a control host; return status and body, 0 where there is no answer."""
        node = node or self.controls[0]
        connection = http.client.HTTPConnection(node.ip, CONTROL, timeout=3)
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
        """Send a manifest until it is acknowledged and in force at all entry hosts."""
        wait_for(lambda: self.order("PUT", "/api/config", content)[0] == 200, "the manifest")
        for node in self.entries:
            wait_for(
                lambda node=node: any(
                    entry["version"] >= content["version"]
                    for entry in node.events("routing_in_force")
                ),
                f"version {content['version']} at {node.name}",
            )

    def announce(self, server, state="ready"):
        """Send a server's report to a control host."""
        status, _ = self.order("PUT", f"/api/instances/{server.name}", server.beat(state))
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
        """Send a caller's request; return the answer with its body read."""
        connection = self.open(method, path, body, headers, node, timeout)
        answer = connection.getresponse()
        answer.content = answer.read()
        connection.close()
        return answer

    def open(self, method, path, body=b"", headers=None, node=None, timeout=10):
        """Send a caller's request and return the connection."""
        node = node or self.entries[0]
        connection = http.client.HTTPConnection(node.ip, FRONT, timeout=timeout)
        fields = {
            "Host": "a.example",
            "X-Attempt-Id": f"attempt-{next(self.attempts)}",
            "X-Deadline-Ms": "4000",
            "Authorization": "Token key-1",
            **(headers or {}),
        }
        connection.request(method, path, body, {k: v for k, v in fields.items() if v is not None})
        return connection

    def ready(self, node=None):
        """Return the status of an entry host's readiness."""
        node = node or self.entries[0]
        connection = http.client.HTTPConnection(node.ip, READY, timeout=3)
        try:
            connection.request("GET", "/api/readyz")
            return connection.getresponse().status
        except OSError:
            return 0
        finally:
            connection.close()
