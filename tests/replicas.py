"""Replicas in one process over links in memory, with power cuts, and an oracle for histories.

A power cut takes away whatever was not synced: `Disk` remembers the size of each file at its last
sync and cuts the log back to it.
"""

import contextlib
import itertools
import os
import pathlib
import random
import shutil
import time
import uuid

import curio
import msgspec

from ebonywheel import (
    codec,
    commands,
    configuration,
    durable,
    exceptions,
    kernel,
    messages,
    registry,
    replica,
    settings,
    state,
    storage,
)

ELECTION_TIMEOUT_S = 0.15
PROPOSE_TIMEOUT_S = 0.6
LIVE_TIMEOUT_S = 20.0
AUDIT_ENTRIES = 1_000_000
LATE_TIMERS_S = 0.03
ENVIRONMENT = "production"


class Disk:
    """Stands in for `durable.fsync` and knows what a power cut would leave."""

    def __init__(self):
        self.synced = {}
        self.failing = set()
        self.slow = {}

    def fsync(self, descriptor):
        path = os.readlink(f"/proc/self/fd/{descriptor}")
        if any(path.startswith(folder) for folder in self.failing):
            raise OSError(5, "I/O error")
        time.sleep(self.slow.get(pathlib.Path(path).parent.name, 0.0))
        found = os.fstat(descriptor)
        self.synced[found.st_ino] = found.st_size

    def cut_power(self, folder):
        for path in pathlib.Path(folder).iterdir():
            found = path.stat()
            size = self.synced.get(found.st_ino, 0)
            if path.name != storage.LOCK_FILE and size < found.st_size:
                os.truncate(path, size)


class SteppedClock:
    """The machine's monotonic clock with an offset, and a wall clock that tests step."""

    def __init__(self, offset=0.0):
        self.offset = offset
        self.step = 0.0

    def monotonic(self):
        return time.monotonic() + self.offset

    def wall(self):
        return time.time() + self.step


class Node:
    """One control host: what its disk holds, and its replica while it runs."""

    def __init__(self, cluster, number):
        self.cluster = cluster
        self.name = f"control-{number}"
        self.address = f"127.0.0.{number}:7000"
        self.folder = str(cluster.folder / self.name)
        self.clock = SteppedClock(1000.0 * number)
        self.core = None
        self.store = None
        self.machine = None
        self.replica = None
        self.thawed = curio.Event()

    @property
    def running(self):
        return self.core is not None

    @property
    def member(self):
        return self.store.identity.member

    def open(self):
        self.store = storage.Storage(self.folder, self.name)
        return self

    async def start(self):
        if self.store is None:
            self.open()
        host = settings.HostSettings(self.name, "puget", self.address, self.address, "")
        self.core = kernel.Kernel("control", host, b"", self.clock)
        await self.core.__aenter__()
        self.core.stack.callback(self.store.close)
        self.machine = state.State(commands.Limits())
        self.replica = replica.Replica(
            self.core,
            self.store,
            self.machine,
            self.cluster.timeout_s,
            self.cluster.snapshot_entries,
            lambda member: MemoryLink(self.cluster, self, member.link),
        )
        await self.thawed.set()
        self._gate_timers()
        await self.replica.start()
        return self

    def _gate_timers(self):
        """Let a frozen node's timers stand still, and run late when it goes on."""
        part = self.replica.elections
        check_quorum, stand = part._check_quorum, part.stand

        async def late(step):
            if not self.thawed.is_set():
                await self.thawed.wait()
                await curio.sleep(LATE_TIMERS_S)
            await step()

        part._check_quorum = lambda: late(check_quorum)
        part.stand = lambda: late(stand)

    async def kill(self, power=True):
        """End the node at once; a power cut takes what was not synced."""
        core, self.core = self.core, None
        await self.thawed.set()
        await core.__aexit__(None, None, None)
        self.store = None
        if power:
            self.cluster.disk.cut_power(self.folder)

    def lose_disk(self):
        shutil.rmtree(self.folder)

    def info(self):
        return messages.MemberInfo(self.name, self.member, "puget", self.address, self.address)

    def leads(self):
        return self.running and self.replica.has_lease()

    def freeze(self):
        self.thawed.clear()

    async def handle(self, message):
        return await self.replica.handle(message)


class MemoryLink:
    """A link to whatever runs at an address; cuts are silent, as on a real network."""

    def __init__(self, cluster, source, address):
        self.cluster = cluster
        self.source = source
        self.address = address

    async def call(self, message, timeout_s):
        try:
            async with curio.timeout_after(timeout_s):
                return await self._exchange(message)
        except curio.TaskTimeout as error:
            raise exceptions.LinkTimeout("no answer in time", "call", self.address) from error

    async def _exchange(self, message):
        target = self.cluster.at(self.address)
        await self.source.thawed.wait()
        await self.cluster.wait_open(self.source, target)
        await target.thawed.wait()
        core = target.core
        if core is None:
            raise exceptions.LinkError("connection refused", "connect", self.address)
        answer = curio.Result()
        await core.spawn(_answer(target, copied(message), answer))
        self.cluster.passed.append((self.address, message))
        reply = await answer.unwrap()
        await target.thawed.wait()
        await self.cluster.wait_open(target, self.source)
        await self.source.thawed.wait()
        return reply


async def _answer(target, message, answer):
    try:
        await answer.set_value(copied(await target.handle(message)))
    except exceptions.EbonywheelError as error:
        remote = exceptions.RemoteError(error.text, error.step, error.peer, error.code)
        await answer.set_exception(remote)


def copied(message):
    """Pass a message through the codec, as a real link does."""
    frame = codec.encode(message, 1, codec.FLAG_REQUEST)
    header = codec.decode_header(frame[: codec.HEADER.size])
    return codec.decode_body(header, frame[codec.HEADER.size :])


class Replicas:
    """Control hosts of one cluster."""

    def __init__(self, folder, count=3, snapshot_entries=40, timeout_s=ELECTION_TIMEOUT_S):
        registry.load_plugins()
        self.folder = pathlib.Path(folder)
        self.snapshot_entries = snapshot_entries
        self.timeout_s = timeout_s
        self.disk = Disk()
        self.cuts = set()
        self.passed = []
        self.history = []
        self.values = itertools.count(1)
        self.two_leases = []
        self.quiet = False
        self.nodes = [Node(self, number) for number in range(1, count + 1)]
        self.stack = contextlib.ExitStack()
        real = durable.fsync
        durable.fsync = self.disk.fsync
        self.stack.callback(setattr, durable, "fsync", real)
        # The oracle needs the whole trail in memory.
        self.stack.callback(setattr, state, "AUDIT_ENTRIES", state.AUDIT_ENTRIES)
        state.AUDIT_ENTRIES = AUDIT_ENTRIES

    async def start(self):
        for node in self.nodes:
            node.open()
        formed = [node.info() for node in self.nodes]
        for node in self.nodes:
            node.store.save_formed(formed)
            await node.start()
        self.watcher = await curio.spawn(self._watch_leases(), daemon=True)
        return self

    async def close(self):
        self.stack.close()
        await self.watcher.cancel()
        for node in self.nodes:
            if node.running:
                await node.kill(power=False)

    def at(self, address):
        return next(node for node in self.nodes if node.address == address)

    def running(self):
        return [node for node in self.nodes if node.running]

    def leader(self):
        return next((node for node in self.nodes if node.leads()), None)

    async def wait_leader(self, among=None):
        def found():
            return next((node for node in among or self.nodes if node.leads()), None)

        return await self.wait_until(found, "a leader")

    async def wait_until(self, check, what, timeout_s=LIVE_TIMEOUT_S):
        deadline = time.monotonic() + timeout_s
        while time.monotonic() < deadline:
            value = check()
            if value:
                return value
            await curio.sleep(0.01)
        raise AssertionError(f"not seen within {timeout_s} s: {what}")

    # -- faults ----------------------------------------------------------------------------

    def cut(self, source, target):
        self.cuts.add((source.name, target.name))

    def isolate(self, node):
        for other in self.nodes:
            if other is not node:
                self.cut(node, other)
                self.cut(other, node)

    def heal(self):
        self.cuts.clear()

    async def wait_open(self, source, target):
        while (source.name, target.name) in self.cuts:
            await curio.sleep(0.01)

    async def replay(self, rng):
        """Deliver an old request again, as a delayed duplicate."""
        if not self.passed:
            return
        address, message = rng.choice(self.passed)
        node = self.at(address)
        if node.running:
            with contextlib.suppress(exceptions.EbonywheelError):
                await node.handle(copied(message))

    async def _watch_leases(self):
        while True:
            holders = [(node.name, node.store.vote.term) for node in self.nodes if node.leads()]
            if len(holders) > 1:
                self.two_leases.append(holders)
            await curio.sleep(0.001)

    # -- repair ----------------------------------------------------------------------------

    async def change(self, command):
        """Carry a membership change out, however often it takes."""
        command.operation = str(uuid.uuid4())
        deadline = time.monotonic() + LIVE_TIMEOUT_S
        while time.monotonic() < deadline:
            leader = self.leader()
            if leader is not None:
                with contextlib.suppress(exceptions.EbonywheelError):
                    await leader.replica.propose(copy_of(command), PROPOSE_TIMEOUT_S)
                    return
            await curio.sleep(0.02)
        raise AssertionError(f"not carried out: {command}")

    async def repair(self, node, old):
        """Replace a member whose disk is lost by the node's new member id."""
        await self.change(commands.RemoveMember(host=node.name, member=old))
        await self.change(add(node))
        await self.change(add(node, voter=True))

    # -- operations ------------------------------------------------------------------------

    async def write(self, key, rng, attempts=4):
        value = next(self.values)
        operation = Operation(str(uuid.uuid4()), "write", key, value, time.monotonic())
        self.history.append(operation)
        result = "not run"
        for _ in range(attempts):
            node = rng.choice(self.nodes)
            found = await self._attempt(node, operation)
            if found is not None:
                operation.index = found.index
                result = "done"
                break
            if operation.unsure:
                result = "unknown"
        operation.result = result
        operation.end = time.monotonic()

    async def write_twice(self, key):
        """Send one operation to the leader twice at once, as a client that lost its patience."""
        leader = self.leader()
        if leader is None:
            return
        operation = Operation(str(uuid.uuid4()), "write", key, next(self.values), time.monotonic())
        self.history.append(operation)
        async with curio.TaskGroup() as group:
            for _ in range(2):
                await group.spawn(self._attempt, leader, operation)
        found = [outcome.index for outcome in group.results if outcome is not None]
        assert len(set(found)) < 2, "two first answers to one operation"
        operation.index = found[0] if found else 0
        operation.result = "done" if found else "unknown" if operation.unsure else "not run"
        operation.end = time.monotonic()

    async def _attempt(self, node, operation):
        await node.thawed.wait()
        if not node.running:
            return None
        command = commands.JoinRoster(
            operation=operation.id,
            actor="client",
            host=operation.key,
            incarnation=1,
            data_centre="puget",
            address=str(operation.value),
            environment=ENVIRONMENT,
        )
        try:
            _, outcome = await node.replica.propose(command, PROPOSE_TIMEOUT_S)
        except (exceptions.NotLeaderError, exceptions.NotRunError):
            await curio.sleep(0.01)
            return None
        except exceptions.EbonywheelError:
            operation.unsure = True
            return None
        return outcome

    async def read(self, key, rng):
        node = rng.choice(self.nodes)
        await node.thawed.wait()
        started_at = time.monotonic()
        if not node.leads():
            await curio.sleep(0.01)
            return
        operation = Operation("", "read", key, node_value(node, key), started_at)
        operation.result = "done"
        operation.end = time.monotonic()
        self.history.append(operation)

    async def client(self, rng, keys=("a", "b")):
        """Write and read until it is cancelled."""
        while True:
            while self.quiet:
                await curio.sleep(0.01)
            key = rng.choice(keys)
            if rng.random() < 0.5:
                await self.write(key, rng)
            else:
                await self.read(key, rng)
            await curio.sleep(0.002)

    # -- oracle ----------------------------------------------------------------------------

    async def settle(self):
        """Heal all faults, start all nodes and wait until all have applied the same."""
        self.heal()
        for node in self.nodes:
            await node.thawed.set()
            if not node.running:
                await node.start()
        leader = await self.wait_leader()
        await self.write("last", random.Random(0), attempts=1000)

        def equal():
            applied = {node.machine.applied for node in self.members_of(leader)}
            return len(applied) == 1

        await self.wait_until(equal, "the same log everywhere")
        return self.leader() or leader

    def members_of(self, leader):
        known = {member.member for member in leader.replica.members}
        return [node for node in self.nodes if node.running and node.member in known]

    async def verify(self):
        """Check the whole history against the one order of the log."""
        leader = await self.settle()
        states = {node.machine.snapshot() for node in self.members_of(leader)}
        assert len(states) == 1, "states differ at the same index"
        assert not self.two_leases, f"two leases at once: {self.two_leases[:3]}"
        audit = [entry for entry in leader.machine.data.audit if entry.action == "JoinRoster"]
        check_history(self.history, {entry.operation: entry.index for entry in audit}, len(audit))


def add(node, voter=False):
    return commands.AddMember(
        host=node.name,
        member=node.member,
        data_centre="puget",
        link=node.address,
        http=node.address,
        voter=voter,
    )


def copy_of(command):
    return commands.decode(commands.encode(command))


def node_value(node, key):
    value = node.machine.data.get_value(configuration.roster_key(ENVIRONMENT, key))
    return 0 if value is None else int(msgspec.json.decode(value)["address"])


class Operation:
    """One entry of the history; `index` is where the log holds a write."""

    def __init__(self, id, kind, key, value, start):
        self.id = id
        self.kind = kind
        self.key = key
        self.value = value
        self.start = start
        self.end = float("inf")
        self.result = "unknown"
        self.unsure = False
        self.index = 0

    def __repr__(self):
        return f"<{self.kind} {self.key}={self.value} {self.result} at {self.index}>"


def check_history(history, indexes, audited):
    """Check that writes and reads are linearizable, given the order of the log.

    Args:
        history: All operations with the times of their calls and answers.
        indexes: Log index of each operation id that took effect.
        audited: How many operations the audit trail lists; each must be there once.
    """
    assert audited == len(indexes), "an operation took effect twice"
    writes = [operation for operation in history if operation.kind == "write"]
    for write in writes:
        found = indexes.get(write.id)
        if write.result == "done":
            assert found == write.index, f"acknowledged, but not in the log there: {write}"
        elif write.result == "not run":
            assert found is None, f"told not run, but in the log: {write}"
        write.index = found or 0
    for key in {operation.key for operation in history}:
        _check_register([operation for operation in history if operation.key == key])


def _check_register(history):
    index_of = {write.value: write.index for write in history if write.kind == "write"}
    index_of[0] = 0
    effective = []
    for operation in history:
        if operation.kind == "read":
            assert operation.value in index_of, f"value of nobody: {operation}"
            operation.index = index_of[operation.value]
            assert operation.index or not operation.value, f"read what never was: {operation}"
        if operation.index or operation.kind == "read":
            effective.append(operation)
    acknowledged = sorted(effective, key=lambda operation: operation.end)
    newest, position = 0, 0
    for operation in sorted(effective, key=lambda operation: operation.start):
        while acknowledged[position].end < operation.start:
            newest = max(newest, acknowledged[position].index)
            position += 1
        least = newest if operation.kind == "read" else newest + 1
        assert operation.index >= least, f"older than what was acknowledged: {operation}"
