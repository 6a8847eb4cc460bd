"""Starts the project's programs on loopback addresses, with stand-ins that follow the users' pages.

Needs only the standard library and the build of the deploy file. Every case's `run.py` imports it.
"""

import asyncio
import contextlib
import json
import os
import pathlib
import shlex
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib

ROOT = pathlib.Path(__file__).resolve().parent.parent
HELD, BROKEN, NOT_RUN = 0, 1, 2
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
FRONT_PORT, READY_PORT, CONTROL_PORT, FIRST_INTERNAL_PORT, SERVER_PORT = (
    18740,
    18749,
    18748,
    17200,
    18080,
)
CLAIM_PORT = 17199
ZONES = {"lulea-a": "norrland", "uppsala-a": "mellan", "lund-a": "syd"}
HEARTBEAT_S = 1.2
# Bounds of the users' sheets and settings.
STABLE_WINDOW_S = 4.0
OUTER_S = 6.0
ENGINE = {
    "slots": 24,
    "kv-capacity-tokens": 34393,
    "kv-token-bytes": 327680,
    "link-mbps": 47000.0,
    "moves": True,
    "backups": True,
    "stride": 4,
    "most": 12,
    "pin-ms": 4000.0,
    "hold-ms": 2000.0,
    "handle-s": 5.0,
    "models": [{"name": "m"}],
}


class CaseError(Exception):
    """The case could not run."""


class Record:
    """Writes `record.txt`, with the seconds since the start in front of each line."""

    def __init__(self, folder):
        self.file = open(pathlib.Path(folder) / "record.txt", "w", buffering=1)
        self.began = time.monotonic()

    def now(self):
        return time.monotonic() - self.began

    def write(self, text):
        self.file.write(f"{self.now():8.3f} {text}\n")


def claim_prefix():
    """Return the first two octets of loopback addresses that no other run of a case uses."""
    for number in range(254):
        prefix = f"127.{1 + (os.getpid() + number) % 254}"
        claim = socket.socket()
        try:
            claim.bind((f"{prefix}.0.1", CLAIM_PORT))
        except OSError:
            claim.close()
            continue
        return prefix, claim
    raise CaseError("no loopback addresses left")


async def read_head(reader):
    """Return the start line and the headers of a message, None at the end of the connection."""
    try:
        data = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = data.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, _, value = line.partition(":")
        if name:
            headers[name.strip().lower()] = value.strip()
    return lines[0], headers


async def read_body(reader, headers, until_close=False):
    """Return the whole body of a message, None if it was cut."""
    try:
        if "chunked" in headers.get("transfer-encoding", ""):
            body = b""
            while size := int((await reader.readuntil(b"\r\n")).split(b";")[0], 16):
                body += await reader.readexactly(size)
                await reader.readexactly(2)
            await reader.readuntil(b"\r\n")
            return body
        if "content-length" in headers:
            return await reader.readexactly(int(headers["content-length"]))
        return await reader.read() if until_close else b""
    except (asyncio.IncompleteReadError, ConnectionError, ValueError):
        return None


async def call(address, method, path, body=b"", headers=None, timeout_s=1.0):
    """Send one request on a new connection; return status (0 without an answer), headers, body."""
    ip, port = address.split(":")
    writer = None
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(ip, int(port))
            fields = {"Host": address, "Content-Length": str(len(body)), **(headers or {})}
            head = f"{method} {path} HTTP/1.1\r\n"
            head += "".join(f"{name}: {value}\r\n" for name, value in fields.items())
            writer.write(head.encode() + b"\r\n" + body)
            await writer.drain()
            answer = await read_head(reader)
            if answer is None:
                return 0, {}, b""
            content = await read_body(reader, answer[1], until_close=True)
            if content is None:
                return 0, answer[1], b""
            return int(answer[0].split()[1]), answer[1], content
    except (OSError, TimeoutError):
        return 0, {}, b""
    finally:
        if writer is not None:
            writer.close()


class Process:
    """One process of the system, started with the command of the deploy file."""

    def __init__(self, fleet, role, number, zone):
        self.fleet = fleet
        self.role = role
        self.zone = zone
        self.name = f"{role}-{number}"
        self.ip = f"{fleet.prefix}.{1 if role == 'control' else 2}.{number}"
        self.folder = fleet.folder / self.name
        self.folder.mkdir()
        self.process = None

    @property
    def control(self):
        return f"{self.ip}:{CONTROL_PORT}"

    @property
    def front(self):
        return f"{self.ip}:{FRONT_PORT}"

    def write_settings(self, bootstrap):
        is_control = self.role == "control"
        listen = (
            f'control = "{self.control}"'
            if is_control
            else f'front = "{self.front}"\nready = "{self.ip}:{READY_PORT}"'
        )
        data = f'data-dir = "{self.folder / "data"}"' if is_control else ""
        zones = "\n".join(f'{zone} = "{region}"' for zone, region in ZONES.items())
        (self.folder / "boot.toml").write_text(f"""node-name = "{self.name}"
role = "{self.role}"
machine-class = "{"core" if is_control else "edge"}"
serves = ["{"control_plane" if is_control else "edge"}"]
ip = "{self.ip}"
zone = "{self.zone}"
region = "{ZONES[self.zone]}"
internal-ports = [{FIRST_INTERNAL_PORT}, {FIRST_INTERNAL_PORT + 15}]
seeds = {json.dumps(self.fleet.seeds)}
bootstrap = {str(bootstrap).lower()}
discovery = "registration"
entry = "vip"
heartbeat-ms = 1200
config-mode = "highest"
{data}
[zones]
{zones}
[listen]
{listen}
[limits]
cpu-share = 0.537
cores = 2
memory-mb = 300
max-fds = 4100
[fault-tolerance]
machines = 2
zones = 1
regions = 1
[bounds]
stable-window-ms = 4000
ack-ms = 5000
drain-ms = 2500
grace-s = 8
loss-slack-ms = 200
config-apply-ms = 2500
outer-ms = 6000
retry-budget-ratio = 0.2
budget-window-s = 10
retry-budget-slack = 52
evacuation-delay-ms = 5000
recover-s = 12
""")

    def start(self):
        self.fleet.record.write(f"{self.name} starts")
        environment = {
            name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ
        }
        environment["EBONYWHEEL_BOOT"] = str(self.folder / "boot.toml")
        environment["PYTHONPATH"] = str(ROOT / "target" / "deps")
        with open(self.folder / "log", "ab") as log:
            self.process = subprocess.Popen(
                self.fleet.commands[self.role], cwd=ROOT, env=environment, stdout=log, stderr=log
            )

    def send_signal(self, number):
        self.fleet.record.write(f"{self.name} gets {signal.Signals(number).name}")
        self.process.send_signal(number)

    def events(self, name):
        """Return the lines of the log with an event; used only to wait and to choose."""
        found = []
        for line in (self.folder / "log").read_bytes().splitlines():
            with contextlib.suppress(ValueError):
                entry = json.loads(line)
                if entry.get("event") == name:
                    found.append(entry)
        return found

    def end(self):
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
            self.process.wait()


class Server:
    """A sound backend server that answers each request whole after some work."""

    def __init__(self, fleet, number, service, zone, work_s=0.06, slots=6):
        self.fleet = fleet
        self.id = f"i-{os.getpid():x}{number:02x}"
        self.service = service
        self.zone = zone
        self.work_s = work_s
        self.slots = slots
        self.address = f"{fleet.prefix}.3.{number}:{SERVER_PORT}"
        self.state = "ready"
        self.sequence = 0
        self.born = int(time.time() * 1000)
        self.runs = []
        self.running = 0
        self.listener = None
        self.beat_at = None
        self.tasks = []

    async def start(self):
        ip, port = self.address.split(":")
        self.listener = await asyncio.start_server(self.serve, ip, int(port))
        self.tasks.append(asyncio.create_task(self.beat()))

    async def beat(self):
        while True:
            await self.report()
            await asyncio.sleep(HEARTBEAT_S)

    async def report(self):
        """Send one heartbeat, to another control host where one does not answer."""
        self.sequence += 1
        body = {
            "service": self.service,
            "address": self.address,
            "zone": self.zone,
            "version": "v1",
            "slots": self.slots,
            "state": self.state,
            "cold-remaining-ms": 0,
            "sequence": self.sequence,
            "born": self.born,
        }
        controls = self.fleet.controls_in_turn(self.beat_at)
        for control in controls:
            status, _, _ = await call(
                control.control, "PUT", f"/api/instances/{self.id}", json.dumps(body).encode()
            )
            if 200 <= status < 300:
                self.beat_at = control
                return control
        return None

    async def serve(self, reader, writer):
        try:
            while (head := await read_head(reader)) is not None:
                line, headers = head
                body = await read_body(reader, headers)
                if body is None:
                    return
                method, path, _ = line.split()
                await self.answer(writer, method, path, headers, body)
        except (ConnectionError, asyncio.CancelledError):
            return
        finally:
            writer.close()

    async def answer(self, writer, method, path, headers, body):
        attempt = headers.get("x-attempt-id", "")
        if path == "/healthz":
            self.write(writer, 200, {"X-Instance-Id": self.id}, b"")
            return
        if headers.get("x-expect-instance", self.id) != self.id:
            self.write(writer, 421, {"X-Attempt-Id": attempt, "X-Not-Executed": "1"}, b"")
            return
        record = self.fleet.record
        record.write(f"server {self.id} in {self.zone} runs {attempt} {method} {path}")
        self.runs.append((record.now(), attempt))
        self.running += 1
        await asyncio.sleep(self.work_s)
        self.running -= 1
        stamp = f"{self.id}.{len(self.runs)}"
        self.write(
            writer, 200, {"X-Attempt-Id": attempt, "X-Response-Stamp": stamp}, b"done " * 20
        )
        await writer.drain()

    def write(self, writer, status, headers, body):
        fields = {
            "Content-Type": "text/plain",
            "Content-Length": str(len(body)),
            "X-Server-Load": f"{self.running},0,{self.slots}",
            "Keep-Alive": "timeout=10",
            **headers,
        }
        head = f"HTTP/1.1 {status} Status\r\n"
        head += "".join(f"{name}: {value}\r\n" for name, value in fields.items())
        writer.write(head.encode() + b"\r\n" + body)

    async def end(self):
        for task in self.tasks:
            task.cancel()
        if self.listener is not None:
            self.listener.close()


class Fleet:
    """The system, its servers and its operator."""

    def __init__(self, case_folder, controls=5, entries=3):
        deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
        self.commands = {
            role: shlex.split(fields["run"]) for role, fields in deploy["roles"].items()
        }
        if not (ROOT / "target" / "deps").is_dir():
            raise CaseError("the build of the deploy file is missing")
        self.record = Record(case_folder)
        self.prefix, self.claim = claim_prefix()
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="ebonywheel-review-"))
        zones = list(ZONES)
        self.seeds = [f"{self.prefix}.1.{n + 1}:{CONTROL_PORT}" for n in range(min(3, controls))]
        self.controls = [
            Process(self, "control", n + 1, zones[n % len(zones)]) for n in range(controls)
        ]
        self.entries = [
            Process(self, "entry", n + 1, zones[n % len(zones)]) for n in range(entries)
        ]
        self.servers = []
        self.attempts = 0
        self.turn = 0

    def controls_in_turn(self, first=None):
        self.turn += 1
        start = self.turn % len(self.controls)
        rest = self.controls[start:] + self.controls[:start]
        if first is None:
            return rest
        return [first] + [control for control in rest if control is not first]

    async def start(self, manifest, servers):
        """Start all, publish the first manifest and wait until every entry host serves."""
        for process in self.controls + self.entries:
            process.write_settings(True)
            process.start()
        self.servers = servers
        for server in servers:
            await server.start()
        await self.order("PUT", "/api/config", json.dumps(manifest).encode(), patience_s=40.0)
        await self.wait(
            lambda: all(entry.events("routing_in_force") for entry in self.entries), "the manifest"
        )
        await self.wait(
            lambda: all(
                {event["server"] for event in entry.events("server_changed")}
                >= {server.id for server in servers}
                for entry in self.entries
            ),
            "the servers",
        )

    async def wait(self, condition, what, timeout_s=20.0):
        until = time.monotonic() + timeout_s
        while not condition():
            if time.monotonic() > until:
                raise CaseError(f"no sign of {what}")
            await asyncio.sleep(0.1)

    def leader(self):
        """Return the control host that began to lead last, by the logs."""
        began = [
            (event["at_ms"], control)
            for control in self.controls
            for event in control.events("leading")
        ]
        if not began:
            raise CaseError("no leader")
        return max(began, key=lambda pair: pair[0])[1]

    async def order(self, method, path, body=b"", first=None, avoid=(), patience_s=15.0):
        """Send an order as the operator does; return the host that acknowledged it, and when.

        After a second without an answer, or a failure, it is sent to another host.
        """
        until = time.monotonic() + patience_s
        pause_s = 0.1
        while time.monotonic() < until:
            for control in self.controls_in_turn(first):
                if control in avoid:
                    continue
                self.record.write(f"operator sends {method} {path} to {control.name}")
                status, _, _ = await call(control.control, method, path, body)
                self.record.write(f"operator gets {status or 'no answer'} from {control.name}")
                if 200 <= status < 300:
                    return control, self.record.now()
                if status in (400, 409, 412, 413, 422):
                    raise CaseError(f"order refused with {status}")
                await asyncio.sleep(pause_s)
            first = None
            pause_s *= 2
        raise CaseError(f"{method} {path} was not acknowledged")

    async def request(self, entry, method, path, body=b"", deadline_ms=2000, headers=None):
        """Send a consumer's request; return its attempt id, the status and the headers."""
        self.attempts += 1
        attempt = f"a{self.attempts:05d}"
        fields = {
            "Host": "a.example",
            "X-Attempt-Id": attempt,
            "X-Deadline-Ms": str(deadline_ms),
            "Authorization": "Token key-1",
            **(headers or {}),
        }
        self.record.write(f"consumer sends {attempt} {method} {path} to {entry.name}")
        status, answer, content = await call(
            entry.front, method, path, body, fields, deadline_ms / 1000
        )
        self.record.write(f"consumer gets {status or 'no answer'} for {attempt}")
        return attempt, status, answer

    async def close(self):
        for server in self.servers:
            await server.end()
        for process in self.controls + self.entries:
            process.end()
        keep = os.environ.get("KEEP_LOGS")
        if keep:
            shutil.copytree(self.folder, keep, dirs_exist_ok=True)
        shutil.rmtree(self.folder, ignore_errors=True)


def manifest(version, routes, services=("book",)):
    """Return a manifest as the users' pages show it."""
    return {
        "version": version,
        "routes": routes,
        "services": [
            {
                "name": name,
                "health-path": "/healthz",
                "max-connections": 96,
                "protocol": "h1",
                "tls": False,
                "cold-start-s": 0.0,
                "cold-per-s": 0.0,
                **({"engine": ENGINE} if name == "plan" else {}),
            }
            for name in services
        ],
        "limits": {
            "max-header-bytes": 16384,
            "max-body-bytes": 4194304,
            "header-timeout-ms": 3000,
            "idle-timeout-ms": 15000,
        },
        "tenants": [
            {"name": "grower", "api-keys": ["key-1"], "priority": 1, "allowed-regions": []}
        ],
    }


def route(name, prefix, kind, service="book", timeout_ms=2000, **fields):
    """Return a route of a manifest."""
    return {
        "name": name,
        "host": "a.example",
        "path-prefix": prefix,
        "kind": kind,
        "timeout-ms": timeout_ms,
        "target-latency-ms": 300,
        "priority": 2,
        "service": service,
        "max-attempts": 2 if kind == "safe" else 1,
        "allow-anonymous": False,
        "session-affinity": kind == "streaming",
        "stream-resume": False,
        "gap-target-ms": 180 if kind == "streaming" else 0,
        "allowed-regions": [],
        **fields,
    }


def main(case):
    """Run a case, a coroutine function that returns the reasons why the rule was broken."""

    async def run():
        folder = pathlib.Path(sys.modules["__main__"].__file__).resolve().parent
        fleet = None
        try:
            async with asyncio.timeout(110):
                fleet = Fleet(folder)
                faults = await case(fleet)
        except (CaseError, TimeoutError, OSError) as error:
            print(f"could not run: {error!r}")
            return NOT_RUN
        finally:
            if fleet is not None:
                await fleet.close()
        for fault in faults[:10]:
            print(fault)
            fleet.record.write(f"BROKEN {fault}")
        print(f"trouble {int(TROUBLE)}: {len(faults)} breaks of the rule")
        return BROKEN if faults else HELD

    sys.exit(asyncio.run(run()))
