"""A fake model engine that runs in threads of the test and drops connections as it asks."""

import http.server
import json
import threading
import time

from cluster import SERVER_SECRET, free_address, request

ANNOUNCE_INTERVAL_S = 0.3
TOKEN_INTERVAL_S = 0.015


class Generation:
    """A generation whose tokens become available one per `TOKEN_INTERVAL_S`."""

    def __init__(self, length):
        self.length = length
        self.started = time.monotonic()
        self.connections = 0
        self.cancelled = False

    def generated_tokens(self):
        return min(self.length, int((time.monotonic() - self.started) / TOKEN_INTERVAL_S))


class ScriptedEngine:
    """Announces itself to entry hosts and serves generations.

    Attributes:
        state: State that it announces.
        sequence: Sequence number of the last announcement.
        generations: Generations by ID.
        started: IDs of the generations started, in order; one that starts twice is in it twice.
        faults: Called with the request handler, the number of the generation's connection and the
            index of the next token. If it returns true, the connection is closed.
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
        self.server = http.server.ThreadingHTTPServer((host, int(port)), self.make_handler())
        self.server.daemon_threads = True
        threading.Thread(target=self.server.serve_forever, daemon=True).start()
        threading.Thread(target=self.announce, daemon=True).start()

    def close(self):
        self.closed.set()
        self.server.shutdown()
        self.server.server_close()

    def announce(self):
        while not self.closed.wait(ANNOUNCE_INTERVAL_S):
            self.sequence += 1
            running = [
                generation
                for generation in self.generations.values()
                if not generation.cancelled and generation.generated_tokens() < generation.length
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

    def make_handler(engine):
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
                generation = engine.generations[name] = Generation(body["length"])
                self.stream(name, generation, 0)

            def do_GET(self):
                if self.path == "/incarnation":
                    self.answer(200, json.dumps({"incarnation": engine.incarnation}).encode())
                    return
                path, _, start = self.path.partition("?from=")
                name = path.rpartition("/")[2]
                generation = engine.generations.get(name)
                if generation is None or generation.cancelled:
                    self.answer(404)
                    return
                self.stream(name, generation, int(start))

            def do_DELETE(self):
                generation = engine.generations.get(self.path.rpartition("/")[2])
                if generation is not None:
                    generation.cancelled = True
                self.answer(200)

            def stream(self, name, generation, index):
                generation.connections += 1
                connection = generation.connections
                self.send_response(200)
                self.send_header("content-type", "text/event-stream")
                self.send_header("transfer-encoding", "chunked")
                self.end_headers()
                try:
                    self.send_tokens(generation, connection, index)
                except OSError:
                    pass
                self.close_connection = True

            def send_tokens(self, generation, connection, index):
                while index < generation.length and not generation.cancelled:
                    if index >= generation.generated_tokens():
                        time.sleep(0.002)
                        continue
                    if engine.faults(self, connection, index):
                        return
                    self.token(index)
                    index += 1
                self.event(f'event: end\ndata: {{"tokens":{generation.length}}}\n\n')
                self.wfile.write(b"0\r\n\r\n")

            def token(self, index):
                self.event(f'data: {{"index":{index},"text":"t{index} "}}\n\n')

            def event(self, text):
                data = text.encode()
                self.wfile.write(f"{len(data):x}\r\n".encode() + data + b"\r\n")

        return Handler
