"""Runs the system's programs as processes on loopback addresses, for tests."""

import contextlib
import hashlib
import itertools
import os
import pathlib
import signal
import socket
import subprocess
import sys
import time
import uuid

import h11
import msgspec

import processlogs

SECRET = "cluster-secret-for-tests"
SERVER_SECRET = "server-secret-for-tests"
OPERATOR_TOKEN = "operator-token-for-tests"
WAIT_S = 20.0
DATA_CENTRES = ("puget", "yakima", "willamette")


_address_numbers = itertools.count(1)


def free_address() -> str:
    """Return an ``ip:port`` on loopback that no other test, even of a parallel run, uses."""
    number = next(_address_numbers)
    pid = os.getpid()
    ip = f"127.{16 + pid % 200}.{pid // 200 % 250}.{1 + number // 200 % 250}"
    return f"{ip}:{20000 + number}"


def wait_for(check, description: str, timeout_s: float = WAIT_S):
    """Call a check until it returns a true value, and return that value.

    Raises:
        AssertionError: It did not within the timeout.
    """
    deadline = time.monotonic() + timeout_s
    while time.monotonic() < deadline:
        value = check()
        if value:
            return value
        time.sleep(0.05)
    raise AssertionError(f"not seen within {timeout_s} s: {description}")


class Answer(msgspec.Struct):
    """A complete HTTP response."""

    status: int
    headers: dict
    body: bytes

    def json(self):
        return msgspec.json.decode(self.body)


class Client:
    """A blocking HTTP/1.1 client on one connection, which yields a body as it arrives."""

    def __init__(self, address: str, timeout_s: float = WAIT_S):
        host, port = address.split(":")
        self.sock = socket.create_connection((host, int(port)), timeout=timeout_s)
        self.conn = h11.Connection(h11.CLIENT)

    def send(self, method, target, headers=(), body=b""):
        fields = [("host", "test"), ("content-length", str(len(body))), *headers]
        data = self.conn.send(h11.Request(method=method, target=target, headers=fields))
        if body:
            data += self.conn.send(h11.Data(data=body))
        self.sock.sendall(data + self.conn.send(h11.EndOfMessage()))

    def event(self):
        while (event := self.conn.next_event()) is h11.NEED_DATA:
            self.conn.receive_data(self.sock.recv(65536))
        return event

    def head(self):
        event = self.event()
        headers = {name.decode(): value.decode() for name, value in event.headers}
        return event.status_code, headers

    def chunks(self):
        while not isinstance(event := self.event(), h11.EndOfMessage):
            if isinstance(event, h11.ConnectionClosed):
                raise ConnectionError("closed in the answer")
            yield bytes(event.data)

    def answer(self) -> Answer:
        status, headers = self.head()
        return Answer(status, headers, b"".join(self.chunks()))

    def close(self):
        self.sock.close()


def request(address, method, target, headers=(), body=b"", timeout_s=WAIT_S) -> Answer:
    """Make one request on a new connection."""
    client = Client(address, timeout_s)
    try:
        client.send(method, target, headers, body)
        return client.answer()
    finally:
        client.close()


class Process:
    """One process of the system.

    Attributes:
        module: Module of the ebonywheel package that it runs.
        arguments: Its command line.
        log: File to which its output is appended.
        popen: The running process; None before `start`.
    """

    def __init__(self, module: str, arguments: list[str], log: pathlib.Path):
        self.module = module
        self.arguments = arguments
        self.log = log
        self.popen: subprocess.Popen | None = None

    def start(self) -> "Process":
        with open(self.log, "ab") as log:
            self.popen = subprocess.Popen(
                [sys.executable, "-m", f"ebonywheel.{self.module}", *self.arguments],
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )
        return self

    def signal(self, number: int) -> None:
        self.popen.send_signal(number)

    def kill(self) -> None:
        if self.popen.poll() is None:
            self.popen.kill()
            self.popen.wait()

    def terminate(self, timeout_s: float = WAIT_S) -> int:
        self.popen.terminate()
        return self.popen.wait(timeout_s)

    def freeze(self) -> None:
        self.signal(signal.SIGSTOP)

    def thaw(self) -> None:
        self.signal(signal.SIGCONT)

    def running(self) -> bool:
        return self.popen.poll() is None

    def text(self) -> str:
        """Return the whole lines that the process has written."""
        return "\n".join(processlogs.whole_lines(self.log))


class Host:
    """Name, data centre, addresses and process of one host."""

    def __init__(self, name: str, data_centre: str):
        self.name = name
        self.data_centre = data_centre
        self.link = free_address()
        self.http = free_address()
        self.process: Process | None = None


class Cluster:
    """Control hosts, entry hosts and stand-ins, all killed by `close`.

    Attributes:
        folder: Folder of settings, secrets, data and logs.
        options: Further lines of settings, by "control" or "entry".
        secret: Path of the secret that control and entry hosts share.
        server_secret: Path of the secret that entry hosts and backend servers share.
        token: Path of the operators' token.
        controls: Control hosts.
        entries: Entry hosts.
        stand_ins: Processes that stand in for backend servers.
    """

    def __init__(self, folder: pathlib.Path, controls: int = 3, entries: int = 3, **options):
        self.folder = folder
        self.options = options
        self.stack = contextlib.ExitStack()
        self.secret = self.write_file("secret", SECRET)
        self.server_secret = self.write_file("server-secret", SERVER_SECRET)
        self.token = self.write_file("token", OPERATOR_TOKEN)
        self.controls = [Host(f"control-{n}", DATA_CENTRES[n % 3]) for n in range(1, controls + 1)]
        self.entries = [Host(f"entry-{n}", DATA_CENTRES[n % 3]) for n in range(1, entries + 1)]
        self.stand_ins: list[Process] = []

    def __enter__(self) -> "Cluster":
        return self

    def __exit__(self, *exc_info) -> None:
        self.close()

    def close(self) -> None:
        for process in self.processes():
            process.kill()

    def processes(self) -> list[Process]:
        hosts = [*self.controls, *self.entries]
        return [host.process for host in hosts if host.process] + self.stand_ins

    def start(self) -> "Cluster":
        for host in self.controls:
            self.start_control(host)
        for host in self.entries:
            self.start_entry(host)
        return self

    def start_control(self, host: Host, join: bool = False) -> Process:
        path = self.write_file(f"{host.name}.toml", self.control_settings(host, join))
        host.process = self._start_process("control", ["run", path], host.name)
        return host.process

    def start_entry(self, host: Host) -> Process:
        path = self.write_file(f"{host.name}.toml", self.entry_settings(host))
        host.process = self._start_process("entry", ["run", path], host.name)
        return host.process

    def start_stand_in(self, kind: str, name: str, arguments: list[str]) -> Process:
        process = self._start_process("load", [kind, *arguments], name)
        self.stand_ins.append(process)
        return process

    def control_settings(self, host: Host, join: bool = False) -> str:
        extra = self.options.get("control", "")
        digest = _digest(OPERATOR_TOKEN)
        peers = "\n".join(_peer_settings("peers", peer) for peer in self.controls)
        return (
            f'data_folder = "{self.folder}/data-{host.name}"\n'
            f"join = {str(join).lower()}\n{extra}\n"
            f'operators = {{ ann = "{digest}", bo = "{digest}" }}\n'
            f"{self._host_settings(host)}\n{peers}\n"
        )

    def entry_settings(self, host: Host) -> str:
        extra = self.options.get("entry", "")
        peers = "\n".join(_peer_settings("control", peer) for peer in self.controls)
        return (
            f'environment = "production"\nserver_secret_file = "{self.server_secret}"\n{extra}\n'
            f"{self._host_settings(host)}\n{peers}\n"
        )

    def operate(self, command: dict, host: Host | None = None, operator: str = "ann") -> Answer:
        """Send an operator's command to a control host."""
        body = msgspec.json.encode({"operation": str(uuid.uuid4()), **command})
        headers = [("authorization", f"Operator {operator}:{OPERATOR_TOKEN}")]
        address = (host or self.controls[0]).http
        return request(address, "POST", "/v1/operations", headers, body)

    def read(self, query: str, host: Host | None = None) -> Answer:
        """Return a control host's answer to an operator's query."""
        headers = [("authorization", f"Operator ann:{OPERATOR_TOKEN}")]
        return request((host or self.controls[0]).http, "GET", f"/v1/state/{query}", headers)

    def wait_for_leader(self, host: Host | None = None) -> str:
        """Wait until a control host knows the leader, and return the leader's name."""
        return wait_for(lambda: self.leader_name(host), "a leader")

    def apply(self, text: str, base: int = 0, environment: str = "production") -> Answer:
        """Apply an environment document."""
        return self.operate(
            {"type": "ApplyDocument", "environment": environment, "base": base, "text": text}
        )

    def leader_name(self, host: Host | None) -> str:
        """Return the leader that a control host names, or an empty string if it names none."""
        try:
            answer = self.read("status", host)
        except OSError:
            return ""
        return answer.json()["leader"] if answer.status == 200 else ""

    def _start_process(self, module: str, arguments: list[str], name: str) -> Process:
        return Process(module, arguments, self.folder / f"{name}.log").start()

    def _host_settings(self, host: Host) -> str:
        return (
            f'[host]\nname = "{host.name}"\ndata_centre = "{host.data_centre}"\n'
            f'link = "{host.link}"\nhttp = "{host.http}"\nsecret_file = "{self.secret}"'
        )

    def write_file(self, name: str, text: str) -> str:
        path = self.folder / name
        path.write_text(text)
        os.chmod(path, 0o600)
        return str(path)


def _peer_settings(table: str, host: Host) -> str:
    return (
        f'[[{table}]]\nname = "{host.name}"\ndata_centre = "{host.data_centre}"\n'
        f'link = "{host.link}"'
    )


def _digest(token: str) -> str:
    return hashlib.sha256(token.encode()).hexdigest()


def example(name: str) -> str:
    """Return the text of an example document."""
    return (pathlib.Path(__file__).parent.parent / "examples" / f"{name}.toml").read_text()


class StandIn:
    """Name, kind, data centre, address and process of a stand-in for a backend server."""

    def __init__(self, name: str, kind: str, data_centre: str):
        self.name = name
        self.kind = kind
        self.data_centre = data_centre
        self.address = free_address()
        self.process: Process | None = None


def start_stand_in(cluster: Cluster, stand_in: StandIn, *options: str) -> StandIn:
    """Start or restart a stand-in."""
    entries = [host.http for host in cluster.entries]
    arguments = ["--name", stand_in.name, "--data-centre", stand_in.data_centre]
    arguments += ["--address", stand_in.address, "--secret-file", cluster.server_secret]
    arguments += ["--entries", *entries, *options]
    stand_in.process = cluster.start_stand_in(stand_in.kind, stand_in.name, arguments)
    return stand_in


def start_fleet(cluster: Cluster, planners: int = 3, bookers: int = 1, *options: str):
    """Start stand-ins in all data centres and wait until they have slots.

    Args:
        cluster: Cluster to whose entry hosts they announce themselves.
        planners: Count of stand-ins of engines.
        bookers: Count of stand-ins of plain services.
        options: Further arguments of the engines' stand-ins.
    """
    specs = [("engine", f"planner-{n}", n) for n in range(planners)]
    specs += [("plain", f"booker-{n}", n) for n in range(bookers)]
    fleet = [StandIn(name, kind, DATA_CENTRES[n % 3]) for kind, name, n in specs]
    for stand_in in fleet:
        start_stand_in(cluster, stand_in, *(options if stand_in.kind == "engine" else ()))
    wait_for(lambda: usable_servers(cluster) >= len(fleet), "backend servers with slots")
    return fleet


def usable_servers(cluster: Cluster) -> int:
    """Return how many backend servers have slots for requests, 0 while no leader tells."""
    answer = cluster.read("status")
    hosts = answer.json()["entry_hosts"] if answer.status == 200 else []
    servers = [server for host in hosts for server in host["load"].get("servers", [])]
    return sum(1 for server in servers if server["limit"] > 0)


class Reader:
    """A caller that reads a stream of tokens as server-sent events.

    Attributes:
        address: Entry host that is asked first.
        headers: Header fields of every request.
        client: Connection of the last request.
        generation: Id of the generation, from the response.
        indexes: Indexes of all tokens read.
        last_id: Id of the last event, with which the stream is resumed.
        final: Name of the event that ended the stream, empty before it.
        final_data: Data of that event.
        buffer: Bytes of an incomplete event.
    """

    def __init__(self, address: str, key: str = "cascade-press-demo-key"):
        self.address = address
        self.headers = [("authorization", f"Bearer {key}")]
        self.client: Client | None = None
        self.generation = ""
        self.indexes: list[int] = []
        self.last_id = ""
        self.final = ""
        self.final_data = b""
        self.buffer = b""

    def ask(self, length: int, prompt: str = "plan", service: str = "plan") -> int:
        """Ask for a number of tokens and return the status of the response."""
        body = msgspec.json.encode({"prompt": prompt, "length": length})
        self.client = Client(self.address)
        self.client.send("POST", f"/v1/services/{service}", self.headers, body)
        return self._read_head()

    def resume(self, address: str) -> int:
        """Resume the stream through an entry host and return the status of the response."""
        self.client = Client(address)
        self.buffer = b""
        headers = [*self.headers, ("last-event-id", self.last_id)]
        self.client.send("GET", f"/v1/generations/{self.generation}", headers)
        return self._read_head()

    def read(self, max_tokens: int = 1 << 30) -> "Reader":
        """Read tokens until the stream ends or `max_tokens` have been read."""
        for chunk in self.client.chunks():
            *blocks, self.buffer = (self.buffer + chunk).split(b"\n\n")
            for block in blocks:
                self._read_event(block)
            if len(self.indexes) >= max_tokens:
                return self
        return self

    def _read_head(self) -> int:
        status, headers = self.client.head()
        self.generation = headers.get("x-generation", self.generation)
        return status

    def _read_event(self, block: bytes) -> None:
        fields = dict(line.split(b": ", 1) for line in block.split(b"\n") if b": " in line)
        if b"event" in fields:
            self.final = fields[b"event"].decode()
            self.final_data = fields[b"data"]
        elif b"id" in fields:
            self.last_id = fields[b"id"].decode()
            self.indexes.append(int(self.last_id.rpartition(":")[2]))
