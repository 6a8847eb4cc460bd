"""Measure the relaying of tokens by one entry process: maximum rate, added latency, memory.

The script starts itself again for each engine and reader. Each token carries the monotonic time at
which its engine wrote it, from which the readers compute its latency. Prints JSON.
"""

import argparse
import json
import pathlib
import random
import selectors
import socket
import subprocess
import sys
import tempfile
import time

ROOT = pathlib.Path(__file__).resolve().parent.parent
sys.path[:0] = [str(ROOT / "src"), str(ROOT / "tests")]

import cluster  # noqa: E402

ENGINES = 2
STREAMS = 84
TOKEN_INTERVAL_S = 0.020
SATURATED_STREAMS = 160
SATURATED_TOKEN_INTERVAL_S = 0.004
MEASURE_S = 5.0
WARM_UP_S = 2.0
MAX_TOKENS = 1_000_000
KEY = "cascade-press-demo-key"
STREAM_HEAD = (
    b"HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\ntransfer-encoding: chunked\r\n\r\n"
)


class Stream:
    """One connection of an engine: reads requests and writes the tokens of a generation.

    Attributes:
        spread: Whether the first token is due at a random time within one interval.
        unsent: Rest of an event that the socket did not take yet.
        due: When the next token is due; None until the generation starts.
    """

    def __init__(self, sock, interval_s, spread):
        self.sock = sock
        self.interval_s = interval_s
        self.spread = spread
        self.received = b""
        self.unsent = b""
        self.index = 0
        self.due = None

    def read_requests(self, incarnation):
        """Read and answer requests; return False when the connection is closed."""
        data = self.sock.recv(65536)
        if not data:
            return False
        self.received += data
        while (end := self.received.find(b"\r\n\r\n")) >= 0:
            head = self.received[:end].lower()
            length = 0
            for line in head.split(b"\r\n"):
                if line.startswith(b"content-length:"):
                    length = int(line.partition(b":")[2])
            if len(self.received) < end + 4 + length:
                return True
            self.received = self.received[end + 4 + length :]
            self.answer(head, incarnation)
        return True

    def answer(self, head, incarnation):
        """Start the generation of a POST; answer anything else with the incarnation."""
        if head.startswith(b"post"):
            self.sock.sendall(STREAM_HEAD)
            self.due = time.monotonic() + self.interval_s * (random.random() if self.spread else 1)
            return
        body = json.dumps({"incarnation": incarnation}).encode()
        self.sock.sendall(b"HTTP/1.1 200 OK\r\ncontent-length: %d\r\n\r\n" % len(body) + body)

    def write_token(self, now):
        """Write the token that is due, or the rest of the last one."""
        self.due = max(self.due + self.interval_s, now)
        data = self.unsent
        if not data:
            stamp = int(time.monotonic() * 1e6)
            event = b'data: {"index":%d,"text":"%d"}\n\n' % (self.index, stamp)
            data = b"%x\r\n" % len(event) + event + b"\r\n"
            self.index += 1
        try:
            self.unsent = data[self.sock.send(data) :]
        except BlockingIOError:
            self.unsent = data


def run_engine(address, incarnation, interval_s, spread):
    """Run an engine until killed; with `spread`, its streams do not write at the same time."""
    host, port = address.split(":")
    listener = socket.create_server((host, int(port)), backlog=1024)
    listener.setblocking(False)
    selector = selectors.DefaultSelector()
    selector.register(listener, selectors.EVENT_READ)
    streams = {}
    while True:
        now = time.monotonic()
        for stream in list(streams.values()):
            try:
                if stream.due is not None and stream.due <= now:
                    stream.write_token(now)
            except OSError:
                selector.unregister(stream.sock)
                del streams[stream.sock]
        for key, _ in selector.select(0.0005):
            if key.fileobj is listener:
                sock, _ = listener.accept()
                sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
                sock.setblocking(False)
                streams[sock] = Stream(sock, interval_s, spread)
                selector.register(sock, selectors.EVENT_READ)
                continue
            try:
                alive = streams[key.fileobj].read_requests(incarnation)
            except OSError:
                alive = False
            if not alive:
                selector.unregister(key.fileobj)
                del streams[key.fileobj]


def announce(address, name, incarnation, entry):
    """Announce an engine once; return whether the entry host accepted it."""
    state = {
        "server": name,
        "incarnation": incarnation,
        "environment": "production",
        "data_centre": "puget",
        "address": address,
        "engine": "planner",
        "total_blocks": 1 << 24,
        "sequence": int(time.monotonic() * 1e3),
    }
    body = json.dumps({"state": state, "load": {"server": name, "incarnation": incarnation}})
    headers = [("authorization", f"Server {cluster.SERVER_SECRET}")]
    return cluster.request(entry, "POST", "/v1/servers", headers, body.encode()).status == 200


def run_reader(address, count, direct, warm_up_s, measure_s):
    """Read `count` streams, from an engine if `direct`, and print the figures as JSON."""
    selector = selectors.DefaultSelector()
    host, port = address.split(":")
    target = "/generate" if direct else "/v1/services/plan"
    for number in range(count):
        body = json.dumps(
            {"generation": f"g{number}", "prompt": "plan", "max_tokens": MAX_TOKENS}
            if direct
            else {"prompt": f"plan {number}", "max_tokens": 1000}
        ).encode()
        sock = socket.create_connection((host, int(port)))
        head = f"POST {target} HTTP/1.1\r\nhost: test\r\nauthorization: Bearer {KEY}\r\n"
        sock.sendall(f"{head}content-length: {len(body)}\r\n\r\n".encode() + body)
        selector.register(sock, selectors.EVENT_READ)
    measure_start = time.monotonic() + warm_up_s
    latencies, tokens, active, ended = [], 0, set(), 0
    while (now := time.monotonic()) < measure_start + measure_s:
        for key, _ in selector.select(0.01):
            data = key.fileobj.recv(262144)
            if not data or b"HTTP/1.1 5" in data[:12]:
                ended += 1
                selector.unregister(key.fileobj)
                continue
            if now < measure_start:
                continue
            active.add(key.fd)
            arrived = time.monotonic() * 1e6
            for part in data.split(b'"text":"')[1:]:
                stamp, quote, _ = part.partition(b'"')
                tokens += 1
                if quote:
                    latencies.append(arrived - int(stamp))
    latencies.sort()
    percentiles = {
        f"p{quantile:g}_ms": round(latencies[int(len(latencies) * quantile / 100)] / 1000, 3)
        for quantile in (50, 99)
        if latencies
    }
    figures = {"tokens_per_s": round(tokens / measure_s), "streams": len(active), "ended": ended}
    print(json.dumps({**figures, **percentiles}))


def start_subprocess(*arguments):
    """Start this script as an engine (`serve`) or reader (`read`) and return the process."""
    command = [sys.executable, __file__, *map(str, arguments)]
    return subprocess.Popen(command, stdout=subprocess.PIPE, text=True)


def measure(entry, streams, interval_s, spread):
    """Return the figures of one load, read from an engine and through the entry host."""
    engines, figures = [], {}
    try:
        for number in range(ENGINES):
            incarnation = int(time.time() * 1e6)
            address = cluster.free_address()
            process = start_subprocess("serve", address, incarnation, interval_s, int(spread))
            engines.append(
                (f"engine-{interval_s}-{int(spread)}-{number}", address, incarnation, process)
            )
        time.sleep(0.5)
        reader = start_subprocess(
            "read", engines[0][1], streams // ENGINES, 1, WARM_UP_S, MEASURE_S
        )
        figures["direct"] = json.loads(reader.communicate()[0])
        for _ in range(16):
            for name, address, incarnation, _ in engines:
                announce(address, name, incarnation, entry.http)
            time.sleep(0.25)
        cpu_s_before = cpu_s(entry)
        readers = [
            start_subprocess("read", entry.http, streams // ENGINES, 0, WARM_UP_S, MEASURE_S)
            for _ in range(ENGINES)
        ]
        while any(reader.poll() is None for reader in readers):
            for name, address, incarnation, _ in engines:
                announce(address, name, incarnation, entry.http)
            time.sleep(0.5)
        figures["through"] = [json.loads(reader.communicate()[0]) for reader in readers]
        figures["entry_cpu_s"] = round(cpu_s(entry) - cpu_s_before, 2)
        figures["entry_rss_mb"] = rss_mb(entry)
    finally:
        for *_, process in engines:
            process.kill()
            process.wait()
    return figures


def cpu_s(host):
    """Return the processor seconds that a host's process has used."""
    fields = pathlib.Path(f"/proc/{host.process.popen.pid}/stat").read_text().split()
    return (int(fields[13]) + int(fields[14])) / 100


def rss_mb(host):
    """Return the resident memory of a host's process in megabytes."""
    for line in pathlib.Path(f"/proc/{host.process.popen.pid}/status").read_text().splitlines():
        if line.startswith("VmRSS"):
            return round(int(line.split()[1]) / 1024, 1)
    return None


def document():
    """Return the example document with enough slots for all streams, cold engines included."""
    text = cluster.example("cooperative")
    for name, value in (
        ("cold_slots = 2", "cold_slots = 400"),
        ("warm_slots = 12", "warm_slots = 400"),
    ):
        text = text.replace(name, value)
    return text


def main():
    """Run the measurement, or one engine or reader of it."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("part", nargs="*")
    part = parser.parse_args().part
    if part[:1] == ["serve"]:
        run_engine(part[1], int(part[2]), float(part[3]), part[4] == "1")
    elif part[:1] == ["read"]:
        run_reader(part[1], int(part[2]), part[3] == "1", float(part[4]), float(part[5]))
    else:
        with tempfile.TemporaryDirectory() as folder:
            with cluster.Cluster(pathlib.Path(folder), controls=1, entries=1).start() as running:
                running.wait_for_leader()
                assert running.apply(document()).status == 200
                entry = running.entries[0]
                figures = {
                    "paced, spread": measure(entry, STREAMS, TOKEN_INTERVAL_S, True),
                    "paced, in step": measure(entry, STREAMS, TOKEN_INTERVAL_S, False),
                    "saturated": measure(
                        entry, SATURATED_STREAMS, SATURATED_TOKEN_INTERVAL_S, True
                    ),
                }
                print(json.dumps(figures, indent=1))


if __name__ == "__main__":
    main()
