"""A run goes on at another server while the server before, at its limit of channels, works on it."""

import asyncio
import json
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))

import harness  # noqa: E402

STILL_WORKS_S = 0.4
EVENT_S = 0.05
TOKENS = 3000
COPY_S = TOKENS * harness.ENGINE["kv-token-bytes"] * 8 / (harness.ENGINE["link-mbps"] * 1e6)
LONG_EVENTS, SHORT_EVENTS = 160, 3
# One answer is spoilt: with these, less than 3 in 100 of the answers of its server.
SHORT_STREAMS = 40
LONG_STREAMS = 8
DRAIN_S = 2.5
# `max-connections` of the service in the manifest, and how long other callers hold channels.
MAX_CHANNELS = 96
HELD_S = 1.5
# "or fewer while its queue is long": the limit while other callers press.
FEWER_CHANNELS = 64


class Run:
    """One generation at one server."""

    def __init__(self, server, attempt, events, first):
        self.server = server
        self.attempt = attempt
        self.events = events
        self.next = first
        self.began_at = server.fleet.record.now()
        self.ended_at = None
        self.stopped = False
        self.spoil = False

    def end(self):
        if self.ended_at is None:
            self.ended_at = self.server.fleet.record.now()


class EngineServer(harness.Server):
    """A model server that copies runs; one that `drops` ends a run whose channel closes.

    Attributes:
        generations: All runs that it began.
        copies: Copies of runs that it holds, by source and handle.
        first_copy: Whether it has copied no run yet.
    """

    def __init__(self, *arguments, drops=True, **options):
        super().__init__(*arguments, slots=24, **options)
        self.drops = drops
        self.generations = []
        self.copies = {}
        self.first_copy = True
        self.handles = 0

    async def after_copy(self):
        """Called once the first run is copied."""

    def active(self):
        return [run for run in self.generations if run.ended_at is None]

    def write(self, writer, status, headers, body):
        if self.state == "draining":
            headers = {**headers, "Connection": "close"}
        super().write(writer, status, headers, body)
        if self.state == "draining":
            writer.close()

    def write_json(self, writer, status, value):
        self.write(writer, status, {"Content-Type": "application/json"}, json.dumps(value).encode())

    async def answer(self, writer, method, path, headers, body):
        if path == "/api/report":
            self.write_json(writer, 200, self.make_report())
        elif path == "/api/kv-move":
            await self.move(writer, json.loads(body))
        elif path.startswith("/api/kv-handle/"):
            self.write_json(writer, 200, {})
        elif path == "/healthz":
            self.write(writer, 200, {"X-Instance-Id": self.id}, b"")
        elif headers.get("x-expect-instance", self.id) != self.id:
            attempt = headers.get("x-attempt-id", "")
            self.write(writer, 421, {"X-Attempt-Id": attempt, "X-Not-Executed": "1"}, b"")
        else:
            await self.generate(writer, path, headers)

    def make_report(self):
        runs = [[run.attempt, TOKENS, run.next - 1, 1] for run in self.active()]
        return {
            "stage": "unified",
            "models": [{"name": "m", "version": 1, "adapters": []}],
            "busy": False,
            "sequence": 1,
            "queued": 0,
            "running": len(runs),
            "kv-used": TOKENS * len(runs),
            "kv-total": harness.ENGINE["kv-capacity-tokens"],
            "handles": 0,
            "runs": runs,
        }

    async def move(self, writer, call):
        """Copy a run to another server, and stop it first if asked to."""
        run = next((run for run in self.active() if run.attempt == call["id"]), None)
        record = self.fleet.record
        record.write(f"server {self.id} is asked to copy {call}")
        if run is None:
            self.write_json(writer, 404, {})
            return
        destination = next(s for s in self.fleet.servers if s.address == call["to"])
        if call.get("last"):
            run.stopped = True
            await asyncio.sleep(0.01)
        else:
            await asyncio.sleep(COPY_S)
        self.handles += 1
        handle = f"{self.id}-{self.handles}"
        destination.copies[f"{self.address}/{handle}"] = (run.attempt, run.events)
        self.write_json(writer, 200, {"handle": handle, "made": run.next - 1})
        if self.first_copy:
            self.first_copy = False
            await self.after_copy()
            run.spoil = harness.TROUBLE

    async def generate(self, writer, path, headers):
        attempt = headers["x-attempt-id"]
        first, events = 1, LONG_EVENTS if path.startswith("/plan") else SHORT_EVENTS
        source = headers.get("kv-from")
        record = self.fleet.record
        if source is not None:
            copy = self.copies.pop(source, None)
            if copy is None:
                self.write(writer, 503, {"X-Attempt-Id": attempt, "X-Not-Executed": "1"}, b"")
                return
            events = copy[1]
            first = int(headers["last-event-id"]) + 1
        run = Run(self, attempt, events, first)
        self.generations.append(run)
        record.write(
            f"server {self.id} {'goes on with' if source else 'runs'} {attempt} from event {first}"
        )
        writer.write(
            f"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nX-Attempt-Id: {attempt}\r\n"
            f"X-Response-Stamp: {self.id}.{len(self.generations)}\r\n"
            "Transfer-Encoding: chunked\r\n\r\n".encode()
        )
        closed = False
        while run.next <= run.events:
            await asyncio.sleep(EVENT_S)
            if run.stopped:
                break
            if run.spoil and not closed:
                record.write(f"server {self.id} spoils its answer to {attempt}")
                writer.write(b"these bytes are no part of an answer\r\n")
                run.spoil = False
            event = f"id: {run.next}\ndata: {attempt} {run.next}\n\n".encode()
            run.next += 1
            closed = closed or writer.is_closing()
            if not closed:
                try:
                    writer.write(b"%x\r\n%s\r\n" % (len(event), event))
                    await writer.drain()
                except ConnectionError:
                    closed = True
            if closed and self.drops:
                break
        run.end()
        record.write(f"server {self.id} ends its work on {attempt} after event {run.next - 1}")
        if run.stopped or closed:
            writer.close()
            return
        writer.write(b"0\r\n\r\n")
        await writer.drain()


class LimitedServer(EngineServer):
    """A model server that resets the channels beyond its limit.

    Attributes:
        channels: Number of open channels.
        at_limit: Whether they are as many as it takes, so that it resets new ones.
        others: Channels of other callers.
    """

    def __init__(self, *arguments, **options):
        super().__init__(*arguments, **options)
        self.channels = 0
        self.at_limit = False
        self.others = []

    async def serve(self, reader, writer):
        self.channels += 1
        if self.channels >= MAX_CHANNELS and not self.at_limit:
            # From here on the kernel resets new channels.
            self.at_limit = True
            self.listener.close()
            self.fleet.record.write(f"server {self.id} has {self.channels} channels, its limit")
        try:
            await super().serve(reader, writer)
        finally:
            self.channels -= 1
            if self.at_limit and self.channels < FEWER_CHANNELS:
                self.at_limit = False
                ip, port = self.address.split(":")
                self.listener = await asyncio.start_server(self.serve, ip, int(port))
                self.fleet.record.write(f"server {self.id} accepts channels again")

    async def after_copy(self):
        """Let other callers open channels up to the limit, for some time."""
        ip, port = self.address.split(":")
        while not self.at_limit:
            try:
                self.others.append(await asyncio.open_connection(ip, int(port)))
            except ConnectionError:
                break
            await asyncio.sleep(0)
        self.tasks.append(asyncio.create_task(self.let_go()))

    async def let_go(self):
        await asyncio.sleep(HELD_S)
        for _, writer in self.others:
            writer.close()


async def case(fleet):
    routes = [
        harness.route("r-plan", "/plan/", "streaming", "plan", 39000, **{"target-latency-ms": 1800}),
        harness.route("r-sort", "/sort/", "streaming", "plan", 6000, **{"target-latency-ms": 1500}),
    ]
    zone, *others = harness.ZONES
    leaving = LimitedServer(fleet, 1, "plan", zone, drops=False)
    await fleet.start(harness.manifest(1, routes, ("plan",)), [leaving])
    entry = next(entry for entry in fleet.entries if entry.zone == zone)
    await asyncio.sleep(harness.STABLE_WINDOW_S)
    for _ in range(SHORT_STREAMS // 2):
        await asyncio.gather(*(stream(fleet, entry, "/sort/1", 6000) for _ in range(2)))
    plans = []
    for _ in range(LONG_STREAMS):
        plans.append(asyncio.create_task(stream(fleet, entry, "/plan/1", 39000)))
        await asyncio.sleep(0.15)
    sound = [
        EngineServer(fleet, 2, "plan", zone),
        *(EngineServer(fleet, 3 + n, "plan", other) for n, other in enumerate(others)),
    ]
    for server in sound:
        fleet.servers.append(server)
        await server.start()
    await asyncio.sleep(1.5)
    leaving.state = "draining"
    fleet.record.write(f"server {leaving.id} says that it leaves")
    if await leaving.report() is None:
        raise harness.CaseError("the leave was not acknowledged")
    await asyncio.sleep(DRAIN_S + 3.0)
    faults = check(leaving, sound)
    for plan in plans:
        plan.cancel()
    if leaving.first_copy:
        raise harness.CaseError("no run was copied")
    return faults


def check(leaving, sound):
    """Return the runs that went on elsewhere while the server before still worked on them."""
    faults = []
    for server in sound:
        for run in server.generations:
            before = next(r for r in leaving.generations if r.attempt == run.attempt)
            end = before.ended_at or float("inf")
            if end > run.began_at + STILL_WORKS_S:
                faults.append(
                    f"TWICE: {run.attempt} goes on at {server.id} from {run.began_at:.2f}, while "
                    f"{leaving.id} works on it until {end:.2f}"
                )
    return faults


async def stream(fleet, entry, path, deadline_ms):
    headers = {
        "X-Model-Name": "m",
        "X-Token-Counts": f"{TOKENS},{4 * LONG_EVENTS}",
        "X-Prompt-Prefix": "5c1e07a2:800,e4402b7d:2200",
    }
    return await fleet.request(entry, "POST", path, b"x" * 200, deadline_ms, headers)


harness.main(case)
