"""Faults that need several things at once: long pauses, rejections with kills, floods, limits."""

import contextlib
import random
import signal
import socket
import time

import floods
import platformserver
import platformsystem

# Longer than a lease and than the time after which an operator asks another host.
PAUSES_S = (3.0, 6.0)
REJECT_S = 4.0
KILLS = 3
KILL_INTERVAL_S = 1.0
FLOODS_S = (1.0, 3.0)
FLOODS = 2
FLOOD_PATH = "/flood/small-chunks"
# Share of the faults beside which one of these strikes.
SHARE = 0.4
# Share of the faults beside which an engine comes to its limit of connections.
AT_LIMIT_SHARE = 0.3


def start_flood_server(world):
    """Start the server whose answers never end, in a process of its own; return its reports."""
    with socket.create_server(("127.0.0.1", 0)) as listener:
        port = listener.getsockname()[1]
    world.exit_stack.enter_context(floods.running("servers", port))
    server = platformserver.PlatformServer("i-flood", "flood", next(iter(platformsystem.ZONES)))
    world.exit_stack.callback(server.close)
    server.address = f"127.0.0.1:{port}"
    server.drained_at = None
    server.has_left = False
    return server


class Trouble:
    """Strikes with these faults, by draws of its own, so that the other faults of a seed stay."""

    def __init__(self, world, seed):
        self.world = world
        self.random = random.Random(f"{seed} trouble")
        self.limits = random.Random(f"{seed} limits")

    def strike(self):
        """Begin one of the faults now and then; return what it is called."""
        if self.limits.random() < AT_LIMIT_SHARE:
            engines = [server for server in self.world.reporter.servers if server.service == "plan"]
            self.limits.choice(engines).come_to_limit()
        if self.random.random() >= SHARE:
            return None
        faults = [self.pause_control, self.reject_and_kill, self.flood, self.drain_engine]
        fault = self.random.choice(faults)
        fault()
        return fault.__name__

    def pause_control(self):
        """Stop a control host for longer than a lease; the operator asks it first."""
        world = self.world
        node = self.random.choice(world.system.controls)
        if node.name in world.stops or node in world.operator.paused:
            return
        world.ledger.disturbances.begin(node)
        world.signal_alive(node, signal.SIGSTOP)
        world.operator.paused.append(node)

        def resume():
            world.operator.paused.remove(node)
            world.signal_alive(node, signal.SIGCONT)
            world.ledger.disturbances.end(node)

        world.later(self.random.uniform(*PAUSES_S), resume)

    def reject_and_kill(self):
        """Have the servers of a service reject all requests while entry hosts are killed."""
        world = self.world
        service = self.random.choice(["book", "plan"])
        rejecting = [server for server in world.reporter.servers if server.service == service]
        for server in rejecting:
            server.rejecting = True

        def accept():
            for server in rejecting:
                server.rejecting = False

        world.later(REJECT_S, accept)
        for _ in range(KILLS):
            world.kill(self.random.choice(world.system.entries))
            time.sleep(KILL_INTERVAL_S)

    def drain_engine(self):
        """Replace an engine, whose runs are moved; the answers of some are spoilt meanwhile."""
        self.world.drain_server("plan", self.random)

    def flood(self):
        """Have callers flood a host: with requests, bodies, or answers that never end."""
        world = self.world
        node = self.random.choice(world.system.entries)
        kind = self.random.choice(["pipeliners", "uploaders", "callers"])
        path = FLOOD_PATH if kind == "callers" else "/unknown/1"
        flooding = contextlib.ExitStack()
        front = (node.ip, platformsystem.FRONT_PORT)
        flooding.enter_context(floods.running(kind, *front, path, FLOODS))
        world.exit_stack.callback(flooding.close)
        world.later(self.random.uniform(*FLOODS_S), flooding.close)
