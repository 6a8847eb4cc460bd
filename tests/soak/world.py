"""The processes, servers and callers of one soak, and the faults that strike them."""

import contextlib
import random
import signal
import threading
import time

import platformsystem
from soak import callers, engines, operators, promises, servers, stops, sums, trouble

ROUTES = [
    platformsystem.route("book", "/book/"),
    platformsystem.route("look", "/look/", "safe"),
    platformsystem.route("plan", "/plan/", "streaming", "plan", **{"timeout-ms": 6000}),
    # Shorter than a stop may last.
    platformsystem.route("flood", "/flood/", service="flood", **{"timeout-ms": 3000}),
]
SERVICES = ("book", "book", "plan", "plan", "plan")
CALLERS_FOR_EACH_HOST = 3
MAX_PAUSE_S = 3.0
LIMITS_PER_S = (0.2, 0.5, 2.0)
# Share of the pauses between faults in which nothing is disturbed until all hosts are in touch.
CALM_SHARE = 0.06
CALM_S = 3 * sums.STABLE_WINDOW_S
# Share of the faults beside which a host is stopped, and of these stops those of entry hosts.
STOP_SHARE = 0.25
STOPPED_ENTRY_SHARE = 0.75
# Share of the servers that are replaced which leave without draining.
LEAVE_SHARE = 0.5
MAX_STOPS = 2
# Callers that go on calling an entry host, over kept and new connections, until it has ended.
CROWD = 30
READ_TIMEOUT_S = 8.0
START_S = 0.15


class World:
    """One soak.

    Attributes:
        calm: True while nothing but a planned stop may disturb what is served.
        planned_stop: Entry host that is being stopped by SIGTERM while nothing else is disturbed.
        engines: Runs of the model servers.
        exit_stack: Ends the processes of floods.
        stops: Stops in progress, by name of the host.
        undo: Times and actions that end the faults in progress.
        version: Version of the newest manifest that was acknowledged.
    """

    def __init__(self, folder, seed, processes):
        self.random = random.Random(seed)
        # Its own draws, so that the faults of a seed stay as they are.
        self.sums_random = random.Random(f"{seed} sums")
        self.stops_random = random.Random(f"{seed} stops")
        self.leaves_random = random.Random(f"{seed} leaves")
        self.seed = seed
        self.ledger = promises.Ledger()
        self.engines = engines.Engines(self.ledger)
        self.exit_stack = contextlib.ExitStack()
        self.system = platformsystem.System(folder, entries=max(1, processes - 3))
        self.stopping = threading.Event()
        self.keys = callers.Keys()
        self.calm = False
        self.planned_stop = None
        self.stops = {}
        self.undo = []
        self.actions = []
        self.version = 0
        self.numbers = iter(range(1, 1_000_000))
        self.reporter = servers.Reporter(self.system, seed)
        self.operator = operators.Operator(self, seed)
        self.trouble = trouble.Trouble(self, seed)

    def start(self):
        """Publish the first manifest, start servers and callers."""
        first = self.manifest(1, withdrawn=False)
        self.system.publish(first)
        self.version = 1
        for service in SERVICES:
            self.add_server(service)
        self.reporter.others.append(trouble.start_flood_server(self))
        self.operator.start()
        self.callers = []
        for _ in range(CALLERS_FOR_EACH_HOST * len(self.system.entries)):
            self.add_caller()

    def run(self, duration_s):
        """Strike with faults until the time is over, then undo them and check what was seen."""
        ends_at = time.monotonic() + duration_s
        while time.monotonic() < ends_at:
            self.end_faults(time.monotonic())
            self.restart_ended()
            self.replace_crashed()
            if self.stops_random.random() < STOP_SHARE:
                self.stop_any()
            action = self.random.choice(self.faults())
            self.actions.append(f"{self.ledger.now():.1f} s {action.__name__}")
            action()
            struck = self.trouble.strike()
            if struck is not None:
                self.actions.append(f"{self.ledger.now():.1f} s {struck}")
            time.sleep(self.random.uniform(0.2, 1.5))
            if self.sums_random.random() < CALM_SHARE:
                self.actions.append(f"{self.ledger.now():.1f} s stay_calm")
                self.stay_calm()
        self.end_faults(float("inf"))
        self.check_manifest()
        self.stopping.set()
        for caller in self.callers:
            caller.join(callers.DEADLINE_MS / 1000 + 5)
        self.operator.join()
        self.reporter.stopping.set()
        self.ledger.check_refusals()
        self.ledger.check_budgets()

    def close(self):
        """End all processes and servers that this soak started."""
        self.stopping.set()
        self.reporter.stopping.set()
        self.exit_stack.close()
        self.system.close()
        for server in self.reporter.servers:
            server.close()

    def add_caller(self, node=None, ended=None):
        """Start a caller, of one host and until an event if given."""
        caller = callers.Caller(len(self.callers), self, self.seed, node, ended)
        self.callers.append(caller)
        caller.start()

    # -- servers and operators -----------------------------------------------------------------

    def add_server(self, service, draws=None):
        """Start a server, which reports by itself from then on."""
        zone = (draws or self.random).choice(list(platformsystem.ZONES))
        name = f"i-{service}-{next(self.numbers)}"
        self.reporter.servers.append(
            servers.SoakServer(name, service, zone, self.engines, self.seed)
        )

    def replace_crashed(self):
        """Start a server for each one that has crashed."""
        for server in list(self.reporter.servers):
            if server.crashed:
                self.reporter.servers.remove(server)
                self.add_server(server.service, self.sums_random)

    def record_limit_told(self, name, node):
        """Record that a host has relayed a server's limit."""
        for server in list(self.reporter.servers):
            if server.name == name and server.limit is not None:
                server.limit.told.setdefault(node.name, time.monotonic())

    def manifest(self, version, withdrawn):
        """Return a manifest with or without the second key."""
        content = platformsystem.manifest(version, ROUTES)
        content["services"].append(
            {"name": "flood", "health-path": "/healthz", "max-connections": 100}
        )
        content["tenants"][0]["api-keys"] = ["key-1"] if withdrawn else ["key-1", "key-2"]
        return content

    def publish_key_change(self):
        """Withdraw the second key or give it back; an order without an answer is not repeated."""
        withdraw = self.keys.withdrawn_at is None
        self.keys.withdrawn_at = None
        version = next(self.numbers) + 1000
        node = self.random.choice(self.system.controls)
        status, _ = self.system.call_control(
            "PUT", "/api/config", self.manifest(version, withdraw), node
        )
        if status == 200:
            self.version = version
            self.keys.withdrawn_at = time.monotonic() if withdraw else None

    def read_manifest(self):
        """Read the manifest from any control host; it must be as new as the last acknowledged."""
        acknowledged = self.version
        node = self.random.choice(self.system.controls)
        status, body = self.system.call_control("GET", "/api/config", node=node)
        if status == 200 and platformsystem.json.loads(body)["version"] < acknowledged:
            detail = f"{body[:40]!r} after {acknowledged}"
            self.ledger.breach("configuration never reverts", "", node.name, detail)

    def check_manifest(self):
        """Check that what was acknowledged is there at the end."""
        deadline = time.monotonic() + READ_TIMEOUT_S
        while time.monotonic() < deadline:
            status, body = self.system.call_control("GET", "/api/config")
            if status == 200:
                break
            time.sleep(0.2)
        if status != 200 or platformsystem.json.loads(body)["version"] < self.version:
            self.ledger.breach("acknowledged configuration lasts", "", "", f"{status}")

    # -- faults --------------------------------------------------------------------------------

    def faults(self):
        """Return the actions to draw from; more common ones stand more than once."""
        return [
            self.pause_entry,
            self.pause_control,
            self.kill_entry,
            self.kill_control,
            self.kill_all_controls,
            self.stop_entry_under_load,
            self.reload_all,
            self.disturb_server,
            self.disturb_server,
            self.drain_server,
            self.publish_key_change,
            self.publish_key_change,
            self.read_manifest,
            self.read_manifest,
        ]

    def later(self, seconds, action):
        """End a fault after some seconds."""
        self.undo.append((time.monotonic() + seconds, action))

    def restart_ended(self):
        """Start processes that ended by themselves, as a supervisor does."""
        for node in self.system.controls + self.system.entries:
            if node.name not in self.stops and node.process.poll() is not None:
                self.ledger.breach("no host ends by itself", "", node.name, node.process.returncode)
                node.write_settings(self.system.seeds, False)
                node.start()

    def end_faults(self, now):
        due = [entry for entry in self.undo if entry[0] <= now]
        self.undo = [entry for entry in self.undo if entry[0] > now]
        for _, action in due:
            action()
        for stop in list(self.stops.values()):
            if now == float("inf"):
                stop.join()
            if stop.ended.is_set():
                self.restart_stopped(stop)

    def signal_alive(self, node, number):
        if node.process.poll() is None:
            node.process.send_signal(number)

    def pause(self, node):
        if node.name in self.stops:
            return
        self.ledger.disturbances.begin(node)
        self.signal_alive(node, signal.SIGSTOP)

        def resume():
            self.signal_alive(node, signal.SIGCONT)
            self.ledger.disturbances.end(node)

        self.later(self.random.uniform(0.2, MAX_PAUSE_S), resume)

    def pause_entry(self):
        self.pause(self.random.choice(self.system.entries))

    def pause_control(self):
        self.pause(self.random.choice(self.system.controls))

    def kill(self, *nodes):
        nodes = [node for node in nodes if node.name not in self.stops]
        for node in nodes:
            self.ledger.disturbances.begin(node)
            if node.process.poll() is None:
                node.process.kill()
            node.process.wait()
        for node in nodes:
            node.write_settings(self.system.seeds, False)
            node.start()
            self.ledger.disturbances.end(node)
        # The interpreter of a new process cannot take signals yet.
        time.sleep(START_S)

    def kill_entry(self):
        self.kill(self.random.choice(self.system.entries))

    def kill_control(self):
        self.kill(self.random.choice(self.system.controls))

    def kill_all_controls(self):
        self.kill(*self.system.controls)

    def stop_entry_under_load(self):
        """Stop an entry host as planned, with nothing else disturbed, and start it again."""
        self.end_faults(float("inf"))
        self.calm = True
        time.sleep(1.0)
        node = self.random.choice(self.system.entries)
        if node.process.poll() is None:
            self.planned_stop = node
            try:
                stop = self.stop(node)
                stop.join()
            finally:
                self.planned_stop = None
            self.restart_stopped(stop)
        self.calm = False

    def stop_any(self):
        """Stop a host that nothing else disturbs, while faults go on elsewhere."""
        entry = self.stops_random.random() < STOPPED_ENTRY_SHARE
        node = self.stops_random.choice(self.system.entries if entry else self.system.controls)
        if (
            len(self.stops) < MAX_STOPS
            and node.name not in self.stops
            and node.process.poll() is None
            and self.ledger.disturbances.has_no_fault(node.name)
        ):
            self.actions.append(f"{self.ledger.now():.1f} s stop {node.name}")
            self.stop(node)

    def stop(self, node):
        """Begin to stop a host, while callers press an entry host; return the stop."""
        self.ledger.disturbances.begin(node, planned=True)
        stop = stops.Stop(node, self.ledger, self.stops_random)
        self.stops[node.name] = stop
        if node.role == "entry":
            for _ in range(CROWD):
                self.add_caller(node, stop.ended)
        stop.start()
        return stop

    def restart_stopped(self, stop):
        node = stop.node
        node.write_settings(self.system.seeds, False)
        node.start()
        self.ledger.disturbances.end(node)
        time.sleep(START_S)
        del self.stops[node.name]

    def reload_all(self):
        for node in self.system.entries + self.system.controls:
            self.signal_alive(node, signal.SIGHUP)

    def disturb_server(self):
        server = self.random.choice(self.reporter.servers)
        server.proxy.disturb(self.random.choice(servers.MODES))
        self.later(self.random.uniform(0.5, 4.0), server.proxy.mend)

    def stay_calm(self):
        """Disturb nothing for a while, in which servers state limits."""
        self.end_faults(float("inf"))
        for server in self.reporter.servers:
            server.limit = sums.Limit(self.sums_random.choice(LIMITS_PER_S))
        ends_at = time.monotonic() + CALM_S
        while time.monotonic() < ends_at:
            self.replace_crashed()
            time.sleep(START_S)
        for server in self.reporter.servers:
            server.limit = None

    def drain_server(self, service="", draws=None):
        """Replace a server, if one runs: the new one starts first; the old one is still checked.

        It drains, or leaves and reports no more; then the host that acknowledged the leave is lost.
        """
        ready = [
            server
            for server in self.reporter.servers
            if server.drained_at is None and not server.crashed
            if not service or server.service == service
        ]
        if not ready:
            return
        server = (draws or self.random).choice(ready)
        self.add_server(server.service, draws)
        leaves = self.leaves_random.random() < LEAVE_SHARE
        # All control hosts may be paused.
        node = self.reporter.withdraw(server, lambda: self.end_faults(time.monotonic()), leaves)
        if leaves and node is not None:
            self.kill(node)
