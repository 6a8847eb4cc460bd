"""Parts of the scripts of review 3: the project's hosts as processes, servers, operator, callers.

Only the standard library is used. Run as a program, this file is one backend server.
"""

import collections
import http.client
import http.server
import json
import math
import os
import pathlib
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
import traceback

ROOT = pathlib.Path(__file__).resolve().parent.parent
FRONT, READY, CONTROL, INTERNAL = 18740, 18749, 18748, 17200
ZONES = {"lulea-a": "norrland", "uppsala-a": "mellan", "lund-a": "syd"}
STABLE_WINDOW_S = 4.0
HEARTBEAT_S = 1.2
KEY = "xd9dnn2ctnfzs989anu6"
HOST = "ficu95.example"


def record(file, **fields):
    """Append one line to the record; lines of several processes do not mix."""
    line = json.dumps({"at": round(time.monotonic(), 3), **fields}) + "\n"
    descriptor = os.open(file, os.O_WRONLY | os.O_APPEND | os.O_CREAT, 0o644)
    try:
        os.write(descriptor, line.encode())
    finally:
        os.close(descriptor)


def entries(path):
    """Return the lines of a record."""
    return [json.loads(line) for line in pathlib.Path(path).read_text().splitlines()]


def free_prefix():
    """Return three octets of loopback addresses on which the fixed ports are free."""
    for _ in range(200):
        prefix = f"127.{random.randrange(1, 255)}.{random.randrange(1, 255)}"
        try:
            for port in (FRONT, READY, CONTROL, INTERNAL, INTERNAL + 1, 9464, 9465):
                with socket.socket() as sock:
                    sock.bind((f"{prefix}.1", port))
        except OSError:
            continue
        return prefix
    raise OSError("no loopback addresses are free")


class HostProcess:
    """One control host or entry host."""

    def __init__(self, system, role, number):
        self.system = system
        self.role = role
        self.ip = f"{system.prefix}.{number if role == 'control' else 100 + number}"
        self.zone = list(ZONES)[(number - 1) % len(ZONES)]
        self.name = f"{'core' if role == 'control' else 'edge'}-{self.zone}-{number}"
        self.folder = system.folder / self.name
        self.folder.mkdir()
        self.process = None

    def write_settings(self, bootstrap):
        """Write the settings file that DEPLOY.md shows."""
        zones = "\n".join(f'{zone} = "{region}"' for zone, region in ZONES.items())
        if self.role == "control":
            listen = f'control = "{self.ip}:{CONTROL}"'
        else:
            listen = f'front = "{self.ip}:{FRONT}"\nready = "{self.ip}:{READY}"'
        serves = "control_plane" if self.role == "control" else "edge"
        data = f'data-dir = "{self.folder / "data"}"' if self.role == "control" else ""
        (self.folder / "boot.toml").write_text(f"""
node-name = "{self.name}"
role = "{self.role}"
machine-class = "{'core' if self.role == 'control' else 'edge'}"
serves = ["{serves}"]
ip = "{self.ip}"
zone = "{self.zone}"
region = "{ZONES[self.zone]}"
internal-ports = [{INTERNAL}, {INTERNAL + 15}]
seeds = {json.dumps(self.system.seeds)}
bootstrap = {str(bootstrap).lower()}
in-tolerance = {str(self.role == 'control').lower()}
discovery = "registration"
entry = "vip"
heartbeat-ms = 1200
contracts = ["base","drain","config","cost","retry","recover","engine","stream","tenants","places"]
config-mode = "highest"
{data}
[zones]
{zones}
[listen]
{listen}
[limits]
cpu-share = 0.537
cores = 2
memory-mb = 296
max-fds = 4096
link-mbps = 1000.0
disk-mb = 128
[fault-tolerance]
machines = 2
zones = 1
regions = 1
[bounds]
seed-lag-s = 3
reuse-after-s = 2
stable-window-ms = 4000
ack-ms = 5000
catch-up-s = 4
drain-ms = 2500
grace-s = 8
loss-slack-ms = 200
config-apply-ms = 2500
rollback-slack-ms = 250
outer-ms = 6000
fail-closed = false
revoke-ms = 5000
retry-budget-ratio = 0.2
budget-window-s = 10
retry-budget-slack = 52
cold-rate-factor = 1.5
cold-slack = 5
evacuation-delay-ms = 5000
recover-s = 12
pass-ms = 250
retry-after-s = 4.4
""")

    def start(self):
        """Start the process by the command of the deploy file."""
        environment = {
            **{name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ},
            "EBONYWHEEL_BOOT": str(self.folder / "boot.toml"),
            "PYTHONPATH": str(ROOT / "target" / "deps"),
            "PYTHONDONTWRITEBYTECODE": "1",
        }
        with (self.folder / "log").open("ab") as log:
            self.process = subprocess.Popen(
                ["python3", "platform/run.py", self.role],
                cwd=ROOT,
                env=environment,
                stdout=log,
                stderr=log,
            )

    def signal(self, number):
        """Send a signal to the process."""
        self.process.send_signal(number)

    def log_text(self):
        """Return what the process has written."""
        return (self.folder / "log").read_text(errors="replace")


def play(run, record_path):
    """Play a case on a new system; return its exit code, 2 if the case itself fails."""
    system = None
    # A case that takes too long ends its processes, too.
    signal.signal(signal.SIGTERM, lambda number, frame: sys.exit(2))
    try:
        system = System(record_path)
        return run(system)
    except Exception:
        traceback.print_exc()
        return 2
    finally:
        if system is not None:
            system.close()


class System:
    """Control hosts, entry hosts and servers of one run.

    Attributes:
        record_path: The record of the run.
        servers: Started server processes.
    """

    def __init__(self, record_path, controls=5, entry_hosts=3):
        self.record_path = str(record_path)
        pathlib.Path(record_path).unlink(missing_ok=True)
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="review3-"))
        self.prefix = free_prefix()
        self.seeds = [f"{self.prefix}.{number}:{CONTROL}" for number in (1, 2, 3)]
        self.controls = [HostProcess(self, "control", n + 1) for n in range(controls)]
        self.entries = [HostProcess(self, "entry", n + 1) for n in range(entry_hosts)]
        self.servers = []
        self.closing = threading.Event()
        for host in self.controls + self.entries:
            host.write_settings(True)
            host.start()

    def note(self, **fields):
        """Write one line to the record."""
        record(self.record_path, **fields)

    def call_control(self, method, path, body=None, host=None, timeout=1.0):
        """Make one call at a control host; return the status, 0 without an answer, and the body."""
        host = host or random.choice(self.controls)
        connection = http.client.HTTPConnection(host.ip, CONTROL, timeout=timeout)
        try:
            content = None if body is None else json.dumps(body).encode()
            connection.request(method, path, content, {"Content-Type": "application/json"})
            answer = connection.getresponse()
            return answer.status, answer.read()
        except (OSError, http.client.HTTPException):
            return 0, b""
        finally:
            connection.close()

    def order(self, method, path, body=None, limit_s=30.0):
        """Send an order until it is acknowledged, to any control host, as the operator does."""
        end = time.monotonic() + limit_s
        while time.monotonic() < end:
            status, _ = self.call_control(method, path, body)
            if status == 200:
                self.note(event="acknowledged", call=f"{method} {path}")
                return True
            time.sleep(0.3)
        return False

    def start_server(self, service, number, mode="sound", **options):
        """Start one server process, which is started again some seconds after it has ended."""
        server = ServerProcess(self, service, number, mode, options)
        self.servers.append(server)
        server.start()
        return server

    def wait_ready(self, hosts, limit_s=30.0):
        """Wait until entry hosts say that they are ready; return whether they do."""
        end = time.monotonic() + limit_s
        waiting = list(hosts)
        while waiting and time.monotonic() < end:
            waiting = [host for host in waiting if self.ready_status(host) != 200]
            time.sleep(0.2)
        return not waiting

    def ready_status(self, host):
        """Return the status of an entry host's readiness check, 0 without an answer."""
        connection = http.client.HTTPConnection(host.ip, READY, timeout=1)
        try:
            connection.request("GET", "/api/readyz")
            return connection.getresponse().status
        except (OSError, http.client.HTTPException):
            return 0
        finally:
            connection.close()

    def close(self):
        """End all processes and remove the folder."""
        self.closing.set()
        for server in self.servers:
            server.stop()
        for host in self.controls + self.entries:
            if host.process.poll() is None:
                host.process.send_signal(signal.SIGCONT)
                host.process.kill()
            host.process.wait()
        shutil.rmtree(self.folder, ignore_errors=True)


class ServerProcess:
    """A server process; each start is a new boot with a new id at the same address."""

    DOWN_S = 2.5

    def __init__(self, system, service, number, mode, options):
        self.system = system
        self.service = service
        self.number = number
        self.mode = mode
        self.options = options
        self.zone = list(ZONES)[number % len(ZONES)]
        with socket.socket() as sock:
            sock.bind((f"{system.prefix}.200", 0))
            self.address = f"{system.prefix}.200:{sock.getsockname()[1]}"
        self.process = None
        self.stopped = False
        self.starts = 0
        self.lock = threading.Lock()

    def start(self):
        """Start the process and watch it."""
        self._spawn()
        threading.Thread(target=self._keep_running, daemon=True).start()

    def _spawn(self):
        with self.lock:
            if not self.stopped:
                self._spawn_process()

    def _spawn_process(self):
        arguments = {
            "service": self.service,
            "zone": self.zone,
            "address": self.address,
            "mode": self.mode,
            "record": self.system.record_path,
            "controls": [f"{host.ip}:{CONTROL}" for host in self.system.controls],
            **self.options,
        }
        if self.starts == 0:
            arguments.pop("cold_s", None)
        self.starts += 1
        self.process = subprocess.Popen([sys.executable, __file__, json.dumps(arguments)])

    def _keep_running(self):
        while not self.system.closing.is_set():
            self.process.wait()
            if self.stopped or self.system.closing.wait(self.DOWN_S):
                return
            self._spawn()

    def stop(self):
        """End the process for good."""
        with self.lock:
            self.stopped = True
            if self.process.poll() is None:
                self.process.kill()
        self.process.wait()


def route(name, prefix, kind, timeout_ms, target_ms, **fields):
    """Return a route of a manifest."""
    return {
        "name": name,
        "host": HOST,
        "path-prefix": prefix,
        "kind": kind,
        "timeout-ms": timeout_ms,
        "target-latency-ms": target_ms,
        "priority": 1,
        "max-attempts": 1,
        "allow-anonymous": False,
        "session-affinity": kind == "streaming",
        "stream-resume": False,
        "gap-target-ms": 180 if kind == "streaming" else 0,
        "allowed-regions": [],
        **fields,
    }


def manifest(version, routes, plain_services, engine_services=(), cold=(0.0, 0.0)):
    """Return a manifest like the one that PROTOCOL.md shows."""
    services = [
        {
            "name": name,
            "health-path": "/healthz",
            "max-connections": 96,
            "protocol": "h1",
            "tls": False,
            "cold-start-s": cold[0],
            "cold-per-s": cold[1],
        }
        for name in plain_services
    ]
    services += [
        {
            "name": name,
            "health-path": "/healthz",
            "max-connections": 272,
            "protocol": "h1",
            "tls": False,
            "cold-start-s": 1.0,
            "cold-per-s": 40.0,
            "engine": {
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
            },
        }
        for name in engine_services
    ]
    return {
        "version": version,
        "routes": routes,
        "services": services,
        "limits": {
            "max-header-bytes": 16384,
            "max-body-bytes": 4194304,
            "header-timeout-ms": 3000,
            "idle-timeout-ms": 15000,
        },
        "tenants": [
            {"name": "huka270", "api-keys": [KEY], "priority": 1, "allowed-regions": []}
        ],
    }


def new_attempt():
    """Return the id of a new attempt."""
    return f"{random.getrandbits(64):016x}"


class Answer:
    """What a caller got: the status, 0 without one, the body, and whether it was whole."""

    def __init__(self, status, body, whole, headers=None):
        self.status = status
        self.body = body
        self.whole = whole
        self.headers = headers or {}


def request(host, method, path, body=b"", headers=None, deadline_ms=5000):
    """Send one caller's request over a new connection and read the answer to its end."""
    fields = {
        "Host": HOST,
        "X-Attempt-Id": new_attempt(),
        "X-Deadline-Ms": str(deadline_ms),
        "Authorization": f"Token {KEY}",
        **(headers or {}),
    }
    connection = http.client.HTTPConnection(host.ip, FRONT, timeout=deadline_ms / 1000 + 1.0)
    content = b""
    status = 0
    answer_headers = {}
    try:
        connection.request(method, path, body, fields)
        answer = connection.getresponse()
        status = answer.status
        answer_headers = {name.lower(): value for name, value in answer.getheaders()}
        while chunk := answer.read1(65536):
            content += chunk
        stated = answer_headers.get("content-length")
        whole = stated is None or len(content) == int(stated)
        return Answer(status, content, whole, answer_headers)
    except http.client.IncompleteRead as error:
        return Answer(status, content + error.partial, False, answer_headers)
    except (OSError, http.client.HTTPException):
        return Answer(status, content, False, answer_headers)
    finally:
        connection.close()


# -- a backend server ----------------------------------------------------------------------


class BackendHandler(http.server.BaseHTTPRequestHandler):
    """Answers as PROTOCOL.md says of servers; crashes under a request whose body is `crash`."""

    protocol_version = "HTTP/1.1"
    disable_nagle_algorithm = True

    def do_any(self):
        """Answer one request."""
        owner = self.server.owner
        body = self._body()
        path = self.path.partition("?")[0]
        if path == "/healthz":
            self._answer(200, b"", {"X-Instance-Id": owner["name"]})
            return
        if path.startswith("/api/"):
            self._engine_call(path)
            return
        if self.headers.get("X-Expect-Instance") not in (None, owner["name"]):
            self._answer(421, b"", {"X-Not-Executed": "1"})
            return
        attempt = self.headers.get("X-Attempt-Id", "")
        crashes = body == b"crash"
        record(
            owner["record"],
            event="runs",
            server=owner["name"],
            service=owner["service"],
            attempt=attempt,
            target=self.path,
            crashes=crashes,
            cold=cold_ms(owner) > 0,
        )
        if cold_ms(owner) and self.server.count_arrival() > owner.get("cold_most", math.inf):
            self._crash(owner, attempt)
        if crashes and owner.get("crash_at_once"):
            time.sleep(owner.get("first_event_s", 0.0) / 2)
            self._crash(owner, attempt)
        if "X-Token-Counts" in self.headers or path.startswith("/watch/"):
            self._stream(owner, attempt, crashes)
            return
        time.sleep(owner.get("work_s", 0.06))
        if crashes:
            self._crash(owner, attempt)
        self._answer(200, b"done", {"X-Response-Stamp": f"stamp-{owner['name']}"})

    do_GET = do_POST = do_PUT = do_DELETE = do_any

    def _crash(self, owner, attempt):
        record(owner["record"], event="crashes", server=owner["name"], attempt=attempt)
        os._exit(1)

    def _stream(self, owner, attempt, crashes):
        events = owner.get("events", 30)
        self.send_response(200)
        for name, value in (
            ("X-Attempt-Id", attempt),
            ("X-Response-Stamp", f"stamp-{owner['name']}"),
            ("Content-Type", "text/event-stream"),
            ("Transfer-Encoding", "chunked"),
            ("X-Server-Load", "1,0,24"),
        ):
            self.send_header(name, value)
        self.end_headers()
        self.wfile.flush()
        time.sleep(owner.get("first_event_s", 0.0))
        began_at = time.monotonic()
        for number in range(1, events + 1):
            self._chunk(f"id: {number}\ndata: token\n\n".encode())
            time.sleep(owner.get("gap_s", 0.1))
            if crashes and time.monotonic() - began_at >= owner.get("crash_after_s", 0.0):
                self._crash(owner, attempt)
        self.wfile.write(b"0\r\n\r\n")
        record(owner["record"], event="ends", server=owner["name"], attempt=attempt)

    def _chunk(self, data):
        self.wfile.write(b"%x\r\n%s\r\n" % (len(data), data))
        self.wfile.flush()

    def _engine_call(self, path):
        if path == "/api/report":
            report = {"stage": "unified", "models": [], "busy": False, "sequence": 0, "queued": 0}
            report |= {"running": 0, "kv-used": 0, "kv-total": 34393, "handles": 0, "runs": []}
            self._answer(200, json.dumps(report).encode(), {"Content-Type": "application/json"})
            return
        self._answer(404, b"{}", {"Content-Type": "application/json"})

    def _body(self):
        if self.headers.get("Transfer-Encoding", "").lower() == "chunked":
            body = b""
            while size := int(self.rfile.readline().split(b";")[0], 16):
                body += self.rfile.read(size)
                self.rfile.readline()
            self.rfile.readline()
            return body
        return self.rfile.read(int(self.headers.get("Content-Length", 0)))

    def _answer(self, status, body, headers):
        self.send_response(status)
        self.send_header("X-Attempt-Id", self.headers.get("X-Attempt-Id", ""))
        for name, value in headers.items():
            self.send_header(name, value)
        self.send_header("Content-Length", str(len(body)))
        self.end_headers()
        self.wfile.write(body)

    def log_message(self, format, *args):
        """Write nothing."""


class Backend(http.server.ThreadingHTTPServer):
    """The server's socket."""

    daemon_threads = True
    request_queue_size = 128

    def __init__(self, *arguments):
        super().__init__(*arguments)
        self.arrivals = collections.deque()
        self.lock = threading.Lock()

    def count_arrival(self):
        """Count a request; return how many have arrived in the last second."""
        now = time.monotonic()
        with self.lock:
            self.arrivals.append(now)
            while now - self.arrivals[0] >= 1.0:
                self.arrivals.popleft()
            return len(self.arrivals)

    def handle_error(self, request, client_address):
        """Callers may leave."""


def cold_ms(owner):
    """Return for how long the server is cold from now."""
    if not owner.get("cold_s"):
        return 0
    return max(0, int(owner["born"] + owner["cold_s"] * 1000 - time.time() * 1000))


def heartbeat(owner, sequence):
    """Report to one control host after the other until one acknowledges."""
    body = {
        "service": owner["service"],
        "address": owner["address"],
        "zone": owner["zone"],
        "version": "v1",
        "slots": owner.get("slots", 24),
        "state": "ready",
        "cold-remaining-ms": cold_ms(owner),
        "stage": "unified",
        "models": [{"name": "m", "version": 1, "adapters": []}],
        "sequence": sequence,
        "born": owner["born"],
    }
    for control in random.sample(owner["controls"], len(owner["controls"])):
        connection = http.client.HTTPConnection(control, timeout=1.0)
        try:
            path = f"/api/instances/{owner['name']}"
            connection.request(
                "PUT", path, json.dumps(body), {"Content-Type": "application/json"}
            )
            if connection.getresponse().status == 200:
                return
        except (OSError, http.client.HTTPException):
            continue
        finally:
            connection.close()


def run_server(owner):
    """Serve until killed."""
    owner["name"] = f"i-{random.getrandbits(32):08x}"
    owner["born"] = int(time.time() * 1000)
    ip, _, port = owner["address"].rpartition(":")
    Backend.allow_reuse_address = True
    server = Backend((ip, int(port)), BackendHandler)
    server.owner = owner
    threading.Thread(target=server.serve_forever, daemon=True).start()
    record(owner["record"], event="starts", server=owner["name"], service=owner["service"])
    sequence = 0
    while True:
        sequence += 1
        heartbeat(owner, sequence)
        time.sleep(HEARTBEAT_S)


if __name__ == "__main__":
    run_server(json.loads(sys.argv[1]))
