"""A model engine in a thread of the test, whose connections fail as the test says."""

import http.server
import json
import threading
import time

from cluster import SERVER_SECRET, free_address, request

ANNOUNCE_S = 0.3
GAP_S = 0.015


class Generation:
    def __init__(self, length):
        self.length = length
        self.started = time.monotonic()
        self.connections = 0
        self.cancelled = False

    def ready(self):
        return min(self.length, int((time.monotonic() - self.started) / GAP_S))


class ScriptedEngine:
    """Announces itself to entry hosts and serves generations.

    Attributes:
        faults: Called as `fault(writer, connection number, index)` before each token; true ends
            the connection.
    """

    def __init__(self, name, entries, data_centre="puget"):
        self.name = name
        self.entries = entries
        self.data_centre = data_centre
        self.address = free_address()
        self.incarnation = int(time.time() * 1e6)
        self.state = "ready"
        self.sequence = 0
        self.generations = {}
        self.started = []
        self.faults = lambda writer, connection, index: False
        self.closed = threading.Event()
        host, port = self.address.split(":")
        self.server = http.server.ThreadingHTTPServer((host, int(port)), self.handler())
        self.server.daemon_threads = True
        threading.Thread(target=self.server.serve_forever, daemon=True).start()
        threading.Thread(target=self.announce, daemon=True).start()

    def close(self):
        self.closed.set()
        self.server.shutdown()
        self.server.server_close()

    def announce(self):
        while not self.closed.wait(ANNOUNCE_S):
            self.sequence += 1
            running = [
                held
                for held in self.generations.values()
                if not held.cancelled and held.ready() < held.length
            ]
            state = {
                "server": self.name,
                "incarnation": self.incarnation,
                "environment": "production",
                "data_centre": self.data_centre,
                "address": self.address,
                "engine": "planner",
                "state": self.state,
                "total_blocks": 4096,
                "sequence": self.sequence,
            }
            load = {"server": self.name, "incarnation": self.incarnation, "running": len(running)}
            body = json.dumps({"state": state, "load": load}).encode()
            headers = [("authorization", f"Server {SERVER_SECRET}")]
            for entry in self.entries:
                try:
                    if request(entry, "POST", "/v1/servers", headers, body, 1.0).status == 200:
                        break
                except OSError:
                    continue

    def handler(engine):
        class Handler(http.server.BaseHTTPRequestHandler):
            protocol_version = "HTTP/1.1"

            def log_message(self, *args):
                return

            def answer(self, status, body=b"{}"):
                self.send_response(status)
                self.send_header("content-length", str(len(body)))
                self.end_headers()
                self.wfile.write(body)

            def do_POST(self):
                body = json.loads(self.rfile.read(int(self.headers["content-length"])))
                name = body["generation"]
                engine.started.append(name)
                held = engine.generations[name] = Generation(body["length"])
                self.stream(name, held, 0)

            def do_GET(self):
                if self.path == "/incarnation":
                    self.answer(200, json.dumps({"incarnation": engine.incarnation}).encode())
                    return
                path, _, start = self.path.partition("?from=")
                name = path.rpartition("/")[2]
                held = engine.generations.get(name)
                if held is None or held.cancelled:
                    self.answer(404)
                    return
                self.stream(name, held, int(start))

            def do_DELETE(self):
                held = engine.generations.get(self.path.rpartition("/")[2])
                if held is not None:
                    held.cancelled = True
                self.answer(200)

            def stream(self, name, held, index):
                held.connections += 1
                connection = held.connections
                self.send_response(200)
                self.send_header("content-type", "text/event-stream")
                self.send_header("transfer-encoding", "chunked")
                self.end_headers()
                try:
                    self.send_tokens(held, connection, index)
                except OSError:
                    pass
                self.close_connection = True

            def send_tokens(self, held, connection, index):
                while index < held.length and not held.cancelled:
                    if index >= held.ready():
                        time.sleep(0.002)
                        continue
                    if engine.faults(self, connection, index):
                        return
                    self.token(index)
                    index += 1
                self.event(f'event: end\ndata: {{"tokens":{held.length}}}\n\n')
                self.wfile.write(b"0\r\n\r\n")

            def token(self, index):
                self.event(f'data: {{"index":{index},"text":"t{index} "}}\n\n')

            def event(self, text):
                data = text.encode()
                self.wfile.write(f"{len(data):x}\r\n".encode() + data + b"\r\n")

        return Handler
