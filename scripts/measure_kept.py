"""Measure one entry process: time per request on kept connections, and events relayed per second.

With paths of several checkouts it measures them in turn, each time with new processes, until the
number of rounds is reached or the next one would end after the time that is allowed. The caller
and the backend server are processes of their own. Prints JSON.
"""

import argparse
import json
import pathlib
import selectors
import socket
import statistics
import subprocess
import sys
import tempfile
import time

ROOT = pathlib.Path(__file__).resolve().parent.parent
sys.path[:0] = [str(ROOT / "src"), str(ROOT / "tests")]

import cluster  # noqa: E402
import platformsystem  # noqa: E402

CALLERS = (1, 20)
ROUNDS = 3
ALLOWED_S = 60.0
WARM_UP_S = 0.4
# Callers connect one after the other, as a busy machine drops some of many connections at once.
CONNECT_INTERVAL_S = 0.02
MEASURE_S = 1.2
STREAM_EVENTS = 100
EVENT = b"id: %d\ndata: " + b"x" * 80 + b"\n\n"
ROUTES = [
    platformsystem.route("book", "/book/"),
    platformsystem.route("plan", "/plan/", "streaming", "plan", **{"timeout-ms": 20000}),
]
HEAD = (
    b"POST /%s/1 HTTP/1.1\r\nHost: a.example\r\nX-Attempt-Id: kept-%d-%d\r\nX-Deadline-Ms: 9000\r\n"
    b"Authorization: Token key-1\r\nUser-Agent: measure\r\nAccept: */*\r\nX-Note: kept\r\n"
    b"X-Token-Counts: 30,40\r\nX-Model-Name: m\r\nContent-Length: 2\r\n\r\n{}"
)
LAST_CHUNK = b"0\r\n\r\n"


class Peer:
    """One connection of the caller or the server, and what it has received of a message."""

    __slots__ = ("sock", "received", "sent_at", "first_at", "number")

    def __init__(self, sock, number=0):
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.sock = sock
        self.received = b""
        self.sent_at = 0.0
        self.first_at = 0.0
        self.number = number


def attempt_of(head):
    """Return the id of a request's attempt."""
    for line in head.split(b"\r\n"):
        name, _, value = line.partition(b":")
        if name.lower() == b"x-attempt-id":
            return value.strip()
    return b""


def answer_to(request, stream):
    """Return the whole answer to a request."""
    head = b"HTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\nX-Response-Stamp: s\r\n" % attempt_of(request)
    if not request.startswith(b"POST /plan/"):
        return head + b"Content-Type: text/plain\r\nContent-Length: 10\r\n\r\nthe answer"
    return head + stream


def run_server():
    """Answer requests until killed; print the address first."""
    listener = socket.create_server(("127.0.0.1", 0), backlog=256)
    print(f"127.0.0.1:{listener.getsockname()[1]}", flush=True)
    events = (EVENT % number for number in range(1, STREAM_EVENTS + 1))
    chunks = b"".join(b"%x\r\n%s\r\n" % (len(event), event) for event in events)
    stream = b"Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
    stream += chunks + LAST_CHUNK
    selector = selectors.DefaultSelector()
    selector.register(listener, selectors.EVENT_READ)
    while True:
        for key, _ in selector.select():
            if key.fileobj is listener:
                sock, _ = listener.accept()
                selector.register(sock, selectors.EVENT_READ, Peer(sock))
                continue
            peer = key.data
            try:
                data = peer.sock.recv(65536)
                peer.received += data
                if peer.received.endswith(b"\r\n\r\n{}"):
                    peer.sock.sendall(answer_to(peer.received, stream))
                    peer.received = b""
            except OSError:
                data = b""
            if not data:
                selector.unregister(peer.sock)
                peer.sock.close()


def is_whole(received):
    """Return whether a caller has received all of an answer."""
    return received.endswith((LAST_CHUNK, b"the answer"))


def has_failed(received):
    """Return whether an answer is not the server's."""
    return b"\r\n" in received and not received.startswith(b"HTTP/1.1 200")


class Callers:
    """Callers that each send a request after the answer to the last, on a kept connection.

    Attributes:
        sent: Number of requests so far.
        failed: Number of those that failed; their caller goes on over a new connection.
        events: Events received in the time that counts.
        times_s: Seconds from each request to the end of its answer, in the time that counts.
        first_s: Seconds from each of these requests to the first byte of its answer.
    """

    def __init__(self, address, route, count):
        host, port = address.split(":")
        self.address = (host, int(port))
        self.route = route.encode()
        self.selector = selectors.DefaultSelector()
        self.sent = 0
        self.failed = 0
        self.events = 0
        self.times_s = []
        self.first_s = []
        for number in range(count):
            self.connect(number)
            time.sleep(CONNECT_INTERVAL_S)

    def connect(self, number):
        """Open a connection and send its first request."""
        peer = Peer(socket.create_connection(self.address), number)
        self.selector.register(peer.sock, selectors.EVENT_READ, peer)
        self.send(peer)

    def send(self, peer):
        """Send the next request of a connection."""
        self.sent += 1
        peer.received = b""
        peer.sent_at = time.perf_counter()
        peer.sock.sendall(HEAD % (self.route, peer.number, self.sent))

    def read(self, peer, begin):
        """Read a part of an answer; what is sent after `begin` counts."""
        data = peer.sock.recv(262144)
        now = time.perf_counter()
        if not peer.received:
            peer.first_at = now
        peer.received += data
        if not data or has_failed(peer.received):
            self.failed += 1
            self.selector.unregister(peer.sock)
            peer.sock.close()
            self.connect(peer.number)
            return
        if now >= begin:
            self.events += data.count(b"\ndata: ")
        if is_whole(peer.received):
            if peer.sent_at >= begin:
                self.times_s.append(now - peer.sent_at)
                self.first_s.append(peer.first_at - peer.sent_at)
            self.send(peer)


def percentile_ms(times_s, percent):
    """Return a percentile of sorted times."""
    return round(times_s[len(times_s) * percent // 100] * 1000, 3)


def run_callers(address, route, count):
    """Send requests for a while and print figures."""
    callers = Callers(address, route, count)
    begin = time.perf_counter() + WARM_UP_S
    # On a busy machine an answer may take longer than the measurement.
    while (now := time.perf_counter()) < begin + MEASURE_S or not callers.times_s:
        for key, _ in callers.selector.select(0.1):
            callers.read(key.data, begin)
    took_s = now - begin
    times_s, first_s = sorted(callers.times_s), sorted(callers.first_s)
    figures = {
        "per_s": round(len(times_s) / took_s, 1),
        "p50_ms": percentile_ms(times_s, 50),
        "p95_ms": percentile_ms(times_s, 95),
        "first_p50_ms": percentile_ms(first_s, 50),
        "first_p99_ms": percentile_ms(first_s, 99),
        "sent": callers.sent,
        "failed": callers.failed,
    }
    if route == "plan":
        figures["events_per_s"] = round(callers.events / took_s)
    print(json.dumps(figures))


def start_part(*arguments):
    """Start this script as the server or the callers."""
    command = [sys.executable, __file__, *map(str, arguments)]
    return subprocess.Popen(command, stdout=subprocess.PIPE, text=True)


def cpu_s(node):
    """Return the processor seconds that a host's process has used."""
    fields = pathlib.Path(f"/proc/{node.process.pid}/stat").read_text().split()
    return (int(fields[13]) + int(fields[14])) / 100


def measure_load(entry, route, callers):
    """Return the figures of one load."""
    address = f"{entry.ip}:{platformsystem.FRONT_PORT}"
    before_s = cpu_s(entry)
    part = start_part("call", address, route, callers)
    output = part.communicate()[0]
    if part.returncode:
        raise RuntimeError(f"callers ended with {part.returncode}")
    figures = json.loads(output)
    figures["cpu_ms"] = round((cpu_s(entry) - before_s) / figures.pop("sent") * 1000, 4)
    return figures


def measure(checkout):
    """Return the figures of one checkout's programs."""
    server = start_part("serve")
    with tempfile.TemporaryDirectory() as folder:
        system = platformsystem.System(
            pathlib.Path(folder), controls=1, program=checkout / "platform" / "run.py"
        )
        try:
            cluster.wait_for(lambda: system.ready_status() in (200, 503), "the entry host")
            system.publish(platformsystem.manifest(7, ROUTES))
            servers = platformsystem.AnnouncedServers(system)
            address = server.stdout.readline().strip()
            for service in ("book", "plan"):
                servers.start(service, address=address)
            entry = system.entries[0]
            figures = {
                f"{callers} callers": measure_load(entry, "book", callers) for callers in CALLERS
            }
            figures["20 streams"] = measure_load(entry, "plan", 20)
            return figures
        finally:
            system.close()
            server.kill()
            server.wait()


def summarize(rounds):
    """Return the medians of several rounds' figures."""
    return {
        load: {
            name: statistics.median(figures[load][name] for figures in rounds)
            for name in rounds[0][load]
        }
        for load in rounds[0]
    }


def main():
    """Run the measurement, or its server or callers."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--rounds", type=int, default=ROUNDS)
    parser.add_argument("--seconds", type=float, default=ALLOWED_S)
    parser.add_argument("checkouts", nargs="*", default=[str(ROOT)])
    arguments = parser.parse_args()
    part = arguments.checkouts
    if part[0] == "serve":
        run_server()
    elif part[0] == "call":
        run_callers(part[1], part[2], int(part[3]))
    else:
        # A checkout that is named twice is measured against itself.
        rounds = [[] for _ in part]
        begin = time.monotonic()
        for number in range(arguments.rounds):
            elapsed_s = time.monotonic() - begin
            if number and elapsed_s * (number + 1) / number > arguments.seconds:
                break
            for checkout, figures in zip(part, rounds, strict=True):
                figures.append(measure(pathlib.Path(checkout).resolve()))
                print(json.dumps(figures[-1]), file=sys.stderr)
        pairs = zip(part, rounds, strict=True)
        print(json.dumps([[name, summarize(figures)] for name, figures in pairs], indent=1))


if __name__ == "__main__":
    main()
