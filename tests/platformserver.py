"""A stand-in for the platform's backend servers in contract tests: an HTTP server with threads."""

import contextlib
import http.server
import json
import socket
import threading
import time

# Answers to engine calls that the system does not use, by the second part of their path.
UNUSED_ANSWERS = {
    "kv-events": {"epoch": 1, "next": 1, "lost": False, "events": []},
    "kv-list": {"epoch": 1, "next": 1, "held": []},
    "hold-take": {"hold": "hold-1"},
}
ENGINE_CALLS = {"report", "kv-move", "kv-handle", "kv-pin", "hold-drop", *UNUSED_ANSWERS}


def engine_call_name(path):
    """Return the name of the engine call, or "healthz", that a path addresses; None for others."""
    parts = path.partition("?")[0].strip("/").split("/")
    if parts == ["healthz"]:
        return "healthz"
    if parts[0] == "api" and len(parts) > 1 and parts[1] in ENGINE_CALLS:
        return parts[1]
    return None


def as_pairs(headers):
    """Return headers, a dict or pairs of names and values, as pairs."""
    return list(headers.items()) if isinstance(headers, dict) else list(headers or ())


class Received:
    """One request that the stand-in received."""

    def __init__(self, handler, body):
        self.method = handler.command
        self.path = handler.path
        self.headers = {name.lower(): value for name, value in handler.headers.items()}
        self.body = body


class Handler(http.server.BaseHTTPRequestHandler):
    """Answers engine calls, and passes other requests to the script of its `PlatformServer`."""

    protocol_version = "HTTP/1.1"

    def handle_any(self):
        body = self.read_body()
        received = Received(self, body)
        server = self.server.owner
        server.before_answer(self)
        name = engine_call_name(self.path)
        if name is None:
            server.received.append(received)
            self.run_script(server, received)
            return
        server.engine_calls.append(f"{self.command} {name}")
        if name == "report":
            self.answer_json(200, server.engine_report())
        elif name == "kv-move":
            server.moves.append(json.loads(body))
            self.answer_json(*server.move(json.loads(body)))
        elif name == "kv-handle":
            server.dropped.append(self.path.rsplit("/", 1)[-1])
            self.answer_json(200, {})
        else:
            self.answer_json(200, UNUSED_ANSWERS.get(name, {}))

    do_GET = do_POST = do_PUT = do_DELETE = handle_any

    def read_body(self):
        if self.headers.get("Transfer-Encoding") == "chunked":
            body = b""
            while size := int(self.rfile.readline(), 16):
                body += self.rfile.read(size)
                self.rfile.readline()
            self.rfile.readline()
            return body
        return self.rfile.read(int(self.headers.get("Content-Length", 0)))

    def run_script(self, server, received):
        if received.headers.get("x-expect-instance") not in (None, server.name):
            self.answer(421, b"", {"X-Instance-Id": server.name})
            return
        server.script(self, received)

    def answer_json(self, status, value):
        self.answer(status, json.dumps(value).encode(), {"Content-Type": "application/json"})

    def answer(self, status, body, headers=None):
        attempt = self.headers.get("X-Attempt-Id", "")
        self.send_response(status)
        pairs = as_pairs(headers)
        if "X-Attempt-Id" not in dict(pairs):
            pairs.insert(0, ("X-Attempt-Id", attempt))
        for name, value in pairs:
            self.send_header(name, value)
        self.send_header("Content-Length", str(len(body)))
        self.end_headers()
        self.wfile.write(body)

    def start_stream(self, chunked=True, headers=None):
        self.send_response(200)
        self.send_header("Content-Type", "text/event-stream")
        self.send_header("X-Response-Stamp", f"stamp-{self.server.owner.name}")
        self.send_header("X-Attempt-Id", self.headers.get("X-Attempt-Id", ""))
        for name, value in as_pairs(headers):
            self.send_header(name, value)
        if chunked:
            self.send_header("Transfer-Encoding", "chunked")
        else:
            self.send_header("Connection", "close")
            self.close_connection = True
        self.end_headers()

    def start_answer_without_length(self):
        """Send the head of an answer that ends with its connection."""
        self.send_response(200)
        self.send_header("X-Response-Stamp", f"stamp-{self.server.owner.name}")
        self.send_header("X-Attempt-Id", self.headers.get("X-Attempt-Id", ""))
        self.send_header("Connection", "close")
        self.close_connection = True
        self.end_headers()

    def send_chunk(self, data):
        self.wfile.write(b"%x\r\n%s\r\n" % (len(data), data))
        self.wfile.flush()

    def close_early(self):
        self.close_connection = True
        self.connection.close()

    def log_message(self, format, *args):
        return


def answer_plainly(handler, received):
    """Answer with the server's stamp and a fixed body."""
    handler.answer(200, b"the answer", {"X-Response-Stamp": f"stamp-{handler.server.owner.name}"})


class QuietServer(http.server.ThreadingHTTPServer):
    """An HTTP server that does not print errors of broken connections.

    Attributes:
        connections: Open connections.
    """

    daemon_threads = True
    # A full queue drops connections, which hosts take for a server that cannot be reached.
    request_queue_size = 128

    def __init__(self, *arguments):
        super().__init__(*arguments)
        self.connections = set()

    def process_request(self, request, client_address):
        self.connections.add(request)
        super().process_request(request, client_address)

    def shutdown_request(self, request):
        self.connections.discard(request)
        super().shutdown_request(request)

    def handle_error(self, request, client_address):
        return


class PlatformServer:
    """A backend server that records what it receives.

    Attributes:
        received: Requests other than engine calls.
        moves: Bodies of the calls that copy a run.
        dropped: Handles of the copies that were dropped.
        engine_calls: Method and name of each engine call.
        crashed: True once the server has crashed.
        state: State that it reports all the time, where a test lets it.
        slots: Requests that it reports to run at once.
        version: Version of its software that it reports.
        script: Called with the handler and the request to answer it; tests replace it.
        before_answer: Called with the handler before any answer; tests replace it.
    """

    def __init__(self, name, service, zone, version="v1"):
        self.name = name
        self.service = service
        self.zone = zone
        self.received = []
        self.moves = []
        self.dropped = []
        self.engine_calls = []
        self.script = answer_plainly
        self.before_answer = lambda handler: None
        self.crashed = False
        self.slots = 24
        self.version = version
        self.sequence = 0
        self.state = "ready"
        self.born = int(time.time() * 1000)
        self.runs = []
        self.http = self._listen(0)
        self.address = f"127.0.0.1:{self.http.server_address[1]}"

    def _listen(self, port):
        listener = QuietServer(("127.0.0.1", port), Handler)
        listener.owner = self
        threading.Thread(target=listener.serve_forever, daemon=True).start()
        return listener

    def next_report(self, state="ready"):
        """Return the next report of the server to a control host."""
        self.sequence += 1
        return {
            "service": self.service,
            "address": self.address,
            "zone": self.zone,
            "version": self.version,
            "slots": self.slots,
            "state": state,
            "cold-remaining-ms": 0,
            "sequence": self.sequence,
            "born": self.born,
        }

    def engine_report(self):
        """Return the engine's answer to a report call."""
        return {
            "queued": 0,
            "running": len(self.runs),
            "kv-used": 0,
            "kv-total": 34000,
            "leaves_ms": 1500,
            "runs": self.runs,
        }

    def move(self, body):
        """Return the answer to the call that copies a run; tests replace it."""
        return 200, {"handle": f"handle-{body['id']}", "made": 0}

    def refuse_connections(self):
        """Refuse new connections, as a server at its limit does, and keep the open ones."""
        # A shutdown refuses connections at once; a close alone waits for the thread that polls.
        self.http.socket.shutdown(socket.SHUT_RDWR)
        self.http.socket.close()

    def accept_connections(self):
        """Accept connections again."""
        connections = self.http.connections
        self.http = self._listen(self.http.server_address[1])
        self.http.connections |= connections

    def crash(self):
        """End as a process does that dies: refuse connections and close the open ones."""
        self.crashed = True
        self.refuse_connections()
        for connection in list(self.http.connections):
            with contextlib.suppress(OSError):
                connection.shutdown(socket.SHUT_RDWR)

    def close(self):
        """Stop the server."""
        self.http.shutdown()
        self.http.server_close()
