"""One replacement of all hosts of a system by hosts of another build, with trouble on top."""

import http.client
import itertools
import json
import random
import shutil
import signal
import threading
import time

import platformsystem
import processlogs
from upgrade import traffic

ORDERS = ("control hosts first", "entry hosts first", "in turn")
LEADERS = ("any", "first", "last")
TROUBLES = (
    "none",
    "back",
    "killed",
    "half way",
    "back half way",
    "empty disk",
    "large change",
    "streams",
)
# What requests and servers do besides, which needs commands and messages of its own.
FEATURES = ("crashes", "limits", "cut", "bytes")
# Time between the replacements of two hosts.
PAUSE_S = 1.0
HALF_WAY_S = 20.0
STABLE_WINDOW_S = 4.0
MAX_LATER_ARRIVALS = 3
RESTART_DELAY_S = 1.0
POLL_S = 0.1
# Time for the leader to make a host with an empty disk a voter.
VOTER_S = 4.0
EVENT_PAUSE_S = 1.0
LIMIT_PER_S = 5.0
# A header value with a byte above 0x7F.
NOTE = "caf\u00e9"
FAILURE_EVENTS = ("process_failed", "task_failed", "entry_unreadable")
UNKNOWN_MESSAGE = "unknown message type"


class Replacement:
    """Replaces all hosts of a system under traffic.

    Attributes:
        failures: Broken promises, in the order in which they were seen.
        ends: Hosts that ended by themselves: name and build.
        events: Failures that hosts logged: build, event and error, counted.
        seconds: Time from the first stop until the last host is ready, with all pauses.
    """

    def __init__(self, folder, earlier, order, **options):
        self.folder = folder
        self.earlier = earlier
        self.later = options.get("later", platformsystem.PROGRAM)
        self.order = order
        self.leader = options.get("leader", "any")
        self.trouble = options.get("trouble", "none")
        self.features = options.get("features", ("crashes",))
        self.random = random.Random(options.get("seed", 1))
        self.pause_s = options.get("pause_s", PAUSE_S)
        self.half_way_s = options.get("half_way_s", HALF_WAY_S)
        self.entries = options.get("entries", 3)
        self.requests_per_s = options.get("requests_per_s", traffic.REQUESTS_PER_S)
        self.failures = []
        self.ends = []
        self.seconds = 0.0
        self.replaced = set()
        self.closed = threading.Event()
        # Held while a host that ended is started again, and while its replacement begins.
        self.lock = threading.Lock()
        self.crash_path = f"/look/crash-{order.replace(' ', '-')}-{self.trouble.replace(' ', '-')}"

    def run(self):
        """Replace all hosts and check what was seen; failures are kept, not raised."""
        self.system = platformsystem.System(self.folder, self.entries, program=self.earlier)
        self.nodes = [*self.system.controls, *self.system.entries]
        self.servers = self.callers = self.operator = None
        monitor = threading.Thread(target=self.restart_ended)
        try:
            self.cut_host = self.system.entries[1] if "cut" in self.features else None
            if self.cut_host is not None:
                self.cut_host.make_partitionable()
                self.cut_host.stop()
                self.cut_host.start()
            self.system.publish(traffic.manifest(1))
            limit = LIMIT_PER_S if "limits" in self.features else None
            pause_s = EVENT_PAUSE_S if self.trouble == "streams" else 0.0
            note = NOTE if "bytes" in self.features else None
            self.servers = traffic.Servers(self.system, limit, pause_s, note)
            self.callers = traffic.Callers(
                self.system, self.failures, self.cut_host, self.requests_per_s, note
            )
            self.operator = traffic.Operator(self.system, self.failures)
            if self.cut_host is not None:
                self.cut_host.partition("reset")
            for thread in (monitor, self.callers.thread, self.operator.thread):
                thread.start()
            self.replace_all()
            time.sleep(STABLE_WINDOW_S)
            self.check_end()
        finally:
            self.closed.set()
            if monitor.ident:
                monitor.join()
            for sending in (self.operator, self.callers):
                if sending is not None and sending.thread.ident:
                    sending.stopped.set()
                    sending.thread.join()
            if self.servers is not None:
                self.servers.close()
            self.system.close()
            self.events = self.logged_failures()
        return self

    def replace_all(self):
        started_at = time.monotonic()
        nodes = self.ordered()
        steps = [(node, self.later) for node in nodes]
        half = len(steps) // 2
        if self.trouble == "back":
            steps += [(node, self.earlier) for node in nodes]
        elif self.trouble == "back half way":
            steps[half:half] = [(node, self.earlier) for node in reversed(nodes[:half])]
            steps += [(node, self.later) for node in nodes[:half]]
        # The host that loses its disk is drawn before, so that a seed always draws the same.
        emptied = self.random.choice(self.system.controls)
        for number, (node, program) in enumerate(steps):
            if self.trouble == "half way" and number == half:
                time.sleep(self.half_way_s)
            self.replace(node, program, self.trouble == "empty disk" and node is emptied)
            self.after_step()
        self.seconds = time.monotonic() - started_at

    def ordered(self):
        """Return the hosts in the order of their replacement."""
        controls, entries = list(self.system.controls), self.system.entries
        if self.leader != "any":
            leader = self.current_leader()
            controls.remove(leader)
            controls.insert(0 if self.leader == "first" else len(controls), leader)
        if self.order == "control hosts first":
            return [*controls, *entries]
        if self.order == "entry hosts first":
            return [*entries, *controls]
        pairs = itertools.zip_longest(controls, entries)
        return [node for pair in pairs for node in pair if node is not None]

    def current_leader(self):
        """Return the control host that began to lead in the highest term."""
        terms = {
            node: max((entry["term"] for entry in node.events("leading")), default=0)
            for node in self.system.controls
        }
        return max(terms, key=terms.get)

    def replace(self, node, program, empty_disk):
        """Stop a host and start it on another build, as its balancer sends callers elsewhere."""
        with self.lock:
            self.replaced.add(node)
        self.callers.ready = [entry for entry in self.callers.ready if entry is not node]
        platformsystem.wait_for(lambda: not self.callers.unsent[node], f"requests to {node.name}")
        if node.process.poll() is None:
            self.stop(node)
        if empty_disk:
            shutil.rmtree(node.folder / "data")
        if self.trouble == "large change":
            self.change_largely()
        node.program = program
        self.start(node)
        if self.trouble == "killed":
            time.sleep(self.random.uniform(0.05, 1.0))
            self.kill(node)
            self.start(node)
        if node in self.system.entries:
            platformsystem.wait_for(lambda: self.system.ready_status(node) == 200, node.name)
        else:
            platformsystem.wait_for(lambda: self.answers(node), node.name)
        self.replaced.discard(node)
        self.callers.ready = list(self.system.entries)
        if empty_disk:
            platformsystem.wait_for(lambda: self.operator.read_back(node), node.name)
            time.sleep(VOTER_S)

    def answers(self, node):
        """Return whether a control host answers at all, be it that it knows no leader yet."""
        return self.system.call_control("GET", "/api/config", node=node)[0] != 0

    def change_largely(self):
        """Have the operator send a large change while a host is down, then small ones again."""
        self.operator.large = True
        latest = self.operator.latest
        platformsystem.wait_for(lambda: self.operator.latest > latest + 1, "a large change")
        self.operator.large = False

    def start(self, node):
        with node.log.open("a") as log:
            log.write(f"build {node.program}\n")
        node.start()

    def stop(self, node):
        if self.trouble == "killed":
            node.process.send_signal(signal.SIGTERM)
            time.sleep(self.random.uniform(0.02, 0.4))
            self.kill(node)
            return
        exit_code = node.stop()
        if exit_code:
            self.failures.append(f"{node.name} exited with {exit_code} at SIGTERM")

    def kill(self, node):
        self.callers.killed_at[node] = time.monotonic()
        if node.process.poll() is None:
            node.process.kill()
        node.process.wait()

    def after_step(self):
        """Crash a server; wait until all entry hosts know the newest routing and server."""
        version = self.operator.latest
        if "crashes" in self.features:
            node = next(self.system.entry_turns)
            try:
                self.system.request("GET", self.crash_path, traffic.CRASHING_BODY, node=node)
            except (OSError, http.client.HTTPException) as error:
                self.failures.append(f"lost: the crashing request at {node.name}, {error!r}")
        added = self.servers.replace_crashed()
        for node in self.system.entries:
            try:
                platformsystem.wait_for(
                    lambda node=node: _knows(node, added, version), node.name, traffic.ACK_S
                )
            except AssertionError:
                name = added.name if added else ""
                self.failures.append(f"{node.name} did not hear of {name} and version {version}")
        time.sleep(self.pause_s)

    def restart_ended(self):
        """Restart hosts that end by themselves, as the platform does; they are recorded."""
        ended_at = {}
        while not self.closed.wait(POLL_S):
            for node in self.nodes:
                with self.lock:
                    self.restart_if_ended(node, ended_at)

    def restart_if_ended(self, node, ended_at):
        if node in self.replaced or node.process.poll() is None:
            ended_at.pop(node, None)
        elif node not in ended_at:
            ended_at[node] = time.monotonic()
            build = self.build_name(node.program)
            self.ends.append((node.name, build))
            self.failures.append(
                f"{node.name} of {build} ended, exit code {node.process.returncode}"
            )
        elif time.monotonic() - ended_at[node] > RESTART_DELAY_S:
            self.start(node)

    def check_end(self):
        """Stop the traffic and check what was seen of it."""
        for sending in (self.operator, self.callers):
            sending.stopped.set()
            sending.thread.join()
        outcomes = self.callers.outcomes
        if outcomes[200] < 0.9 * sum(outcomes.values()):
            self.failures.append(f"too few served: {dict(outcomes)}")
        twice = [attempt for attempt, runs in self.servers.runs.items() if runs > 1]
        refused = self.callers.refused & self.servers.runs.keys()
        if twice or refused:
            self.failures.append(f"ran twice: {twice}; ran though refused: {sorted(refused)}")
        for node in self.system.controls:
            try:
                platformsystem.wait_for(lambda node=node: self.operator.read_back(node), node.name)
            except AssertionError:
                self.failures.append(f"{node.name} does not answer reads")
        if "crashes" in self.features:
            self.check_crashing_request()
        for (build, event, error), count in self.logged_failures().items():
            if event != UNKNOWN_MESSAGE:
                self.failures.append(f"{count} {event} of {build}: {error}")

    def check_crashing_request(self):
        arrivals_before = len(self.servers.arrivals)
        for node in [*self.system.entries, *self.system.entries]:
            self.system.request("GET", self.crash_path, traffic.CRASHING_BODY, node=node)
        arrivals = len(self.servers.arrivals) - arrivals_before
        if arrivals > MAX_LATER_ARRIVALS:
            self.failures.append(f"the crashing request reached {arrivals} more servers")

    def logged_failures(self):
        """Return how often hosts logged failures, by build, event and error."""
        counts = {}
        for node in self.nodes:
            build = self.earlier
            for line in processlogs.whole_lines(node.log):
                if line.startswith("build "):
                    build = line.removeprefix("build ")
                if not line.startswith("{"):
                    continue
                entry = json.loads(line)
                event = entry["event"]
                if UNKNOWN_MESSAGE in line:
                    event = UNKNOWN_MESSAGE
                if event in FAILURE_EVENTS or event == UNKNOWN_MESSAGE:
                    key = (self.build_name(build), event, str(entry.get("error", "")))
                    counts[key] = counts.get(key, 0) + 1
        return counts

    def build_name(self, program):
        return "the earlier build" if str(program) == str(self.earlier) else "the later build"


def _knows(node, server, version):
    """Return whether an entry host has a routing and a server, None for no server."""
    routing = any(entry["version"] >= version for entry in node.events("routing_in_force"))
    return routing and (
        server is None
        or any(entry["server"] == server.name for entry in node.events("server_changed"))
    )
