"""A cluster of replicas in one process over in-memory links, with faults and a history checker.

A simulated power cut discards unsynced data: `FakeDisk` records the size of each file at its last
sync and truncates the file to it.
"""

import contextlib
import errno
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
WAIT_TIMEOUT_S = 20.0
MAX_AUDIT_ENTRIES = 1_000_000
TIMER_DELAY_AFTER_THAW_S = 0.03
ENVIRONMENT = "production"


class FakeDisk:
    """Replaces `durable.fsync` and `write`; simulates bad syncs, full disks and power cuts."""

    def __init__(self):
        self.synced_sizes = {}
        self.failing_folders = set()
        self.full_folders = set()
        self.sync_delays_s = {}

    def fsync(self, descriptor):
        path = os.readlink(f"/proc/self/fd/{descriptor}")
        if any(path.startswith(folder) for folder in self.failing_folders):
            raise OSError(5, "I/O error")
        time.sleep(self.sync_delays_s.get(pathlib.Path(path).parent.name, 0.0))
        status = os.fstat(descriptor)
        self.synced_sizes[status.st_ino] = status.st_size

    def write(self, descriptor, data):
        path = os.readlink(f"/proc/self/fd/{descriptor}")
        if any(path.startswith(folder) for folder in self.full_folders):
            raise OSError(errno.ENOSPC, os.strerror(errno.ENOSPC))
        return os.write(descriptor, data)

    def cut_power(self, folder):
        for path in pathlib.Path(folder).iterdir():
            status = path.stat()
            size = self.synced_sizes.get(status.st_ino, 0)
            if path.name != storage.LOCK_FILE and size < status.st_size:
                os.truncate(path, size)


class AdjustableClock:
    """The host's monotonic clock with an offset, and a wall clock that tests can step."""

    def __init__(self, offset=0.0):
        self.offset = offset
        self.step = 0.0

    def monotonic(self):
        return time.monotonic() + self.offset

    def wall(self):
        return time.time() + self.step


class Node:
    """One control host: its data folder, and its replica while it runs."""

    def __init__(self, cluster, number):
        self.cluster = cluster
        self.name = f"control-{number}"
        self.address = f"127.0.0.{number}:7000"
        self.folder = str(cluster.folder / self.name)
        self.clock = AdjustableClock(1000.0 * number)
        self.core = None
        self.store = None
        self.state_type = state.State
        self.state_machine = None
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
        self.core.exit_stack.callback(self.store.close)
        self.state_machine = self.state_type(commands.Limits())
        self.replica = replica.Replica(
            self.core,
            self.store,
            self.state_machine,
            self.cluster.timeout_s,
            self.cluster.snapshot_entries,
            lambda member: MemoryLink(self.cluster, self, member.link),
        )
        await self.thawed.set()
        self._pause_timers_while_frozen()
        await self.replica.start()
        return self

    def _pause_timers_while_frozen(self):
        """Block election timers while the node is frozen, and delay them after it resumes."""
        elections = self.replica.elections
        check_quorum, start_election = elections._check_quorum, elections.start_election

        async def run_when_thawed(timer):
            if not self.thawed.is_set():
                await self.thawed.wait()
                await curio.sleep(TIMER_DELAY_AFTER_THAW_S)
            await timer()

        elections._check_quorum = lambda: run_when_thawed(check_quorum)
        elections.start_election = lambda: run_when_thawed(start_election)

    async def kill(self, power_cut=True):
        """Stop the node at once; after a power cut, unsynced data is lost."""
        core, self.core = self.core, None
        await self.thawed.set()
        await core.__aexit__(None, None, None)
        self.store = None
        if power_cut:
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
    """A link to the node at an address; a cut delays messages without an error."""

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
        target = self.cluster.node_at(self.address)
        await self.source.thawed.wait()
        await self.cluster.wait_connected(self.source, target)
        await target.thawed.wait()
        core = target.core
        if core is None:
            raise exceptions.LinkError("connection refused", "connect", self.address)
        answer = curio.Result()
        await core.spawn(_answer(target, reencode(message), answer))
        self.cluster.delivered.append((self.address, message))
        reply = await answer.unwrap()
        await target.thawed.wait()
        await self.cluster.wait_connected(target, self.source)
        await self.source.thawed.wait()
        return reply


async def _answer(target, message, answer):
    try:
        await answer.set_value(reencode(await target.handle(message)))
    except exceptions.EbonywheelError as error:
        remote = exceptions.RemoteError(error.text, error.step, error.peer, error.code)
        await answer.set_exception(remote)


def reencode(message):
    """Encode and decode a message, as a real link does."""
    frame = codec.encode(message, 1, codec.FLAG_REQUEST)
    header = codec.decode_header(frame[: codec.HEADER.size])
    return codec.decode_body(header, frame[codec.HEADER.size :])


class ReplicaCluster:
    """A cluster of control hosts, its faults, its clients and their history.

    A cluster that runs beside another one must use the disk of the other: only one `FakeDisk` at
    a time records the syncs of the process.
    """

    def __init__(
        self, folder, count=3, snapshot_entries=40, timeout_s=ELECTION_TIMEOUT_S, disk=None
    ):
        registry.load_plugins()
        self.folder = pathlib.Path(folder)
        self.snapshot_entries = snapshot_entries
        self.timeout_s = timeout_s
        self.disk = disk or FakeDisk()
        self.cuts = set()
        self.delivered = []
        self.history = []
        self.values = itertools.count(1)
        self.overlapping_leases = []
        self.clients_paused = False
        self.nodes = [Node(self, number) for number in range(1, count + 1)]
        self.stack = contextlib.ExitStack()
        for name in ("fsync", "write"):
            self.stack.callback(setattr, durable, name, getattr(durable, name))
            setattr(durable, name, getattr(self.disk, name))
        # The history checker needs the whole audit trail in memory.
        self.stack.callback(setattr, state, "MAX_AUDIT_ENTRIES", state.MAX_AUDIT_ENTRIES)
        state.MAX_AUDIT_ENTRIES = MAX_AUDIT_ENTRIES

    async def start(self):
        for node in self.nodes:
            node.open()
        formed = [node.info() for node in self.nodes]
        for node in self.nodes:
            node.store.save_first_configuration(formed)
            await node.start()
        self.watcher = await curio.spawn(self._watch_leases(), daemon=True)
        return self

    async def close(self):
        self.stack.close()
        await self.watcher.cancel()
        for node in self.nodes:
            if node.running:
                await node.kill(power_cut=False)

    def node_at(self, address):
        return next(node for node in self.nodes if node.address == address)

    def running(self):
        return [node for node in self.nodes if node.running]

    def leader(self):
        return next((node for node in self.nodes if node.leads()), None)

    async def wait_leader(self, among=None):
        def found():
            return next((node for node in among or self.nodes if node.leads()), None)

        return await self.wait_until(found, "a leader")

    async def wait_until(self, check, what, timeout_s=WAIT_TIMEOUT_S):
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

    async def wait_connected(self, source, target):
        while (source.name, target.name) in self.cuts:
            await curio.sleep(0.01)

    async def replay(self, rng):
        """Deliver an old request again, as a delayed duplicate."""
        if not self.delivered:
            return
        address, message = rng.choice(self.delivered)
        node = self.node_at(address)
        if node.running:
            with contextlib.suppress(exceptions.EbonywheelError):
                await node.handle(reencode(message))

    async def _watch_leases(self):
        while True:
            holders = [(node.name, node.store.vote.term) for node in self.nodes if node.leads()]
            if len(holders) > 1:
                self.overlapping_leases.append(holders)
            await curio.sleep(0.001)

    # -- repair ----------------------------------------------------------------------------

    async def change_members(self, command):
        """Propose a membership change until it succeeds."""
        command.operation = str(uuid.uuid4())
        deadline = time.monotonic() + WAIT_TIMEOUT_S
        while time.monotonic() < deadline:
            leader = self.leader()
            if leader is not None:
                with contextlib.suppress(exceptions.EbonywheelError):
                    await leader.replica.propose(copy_command(command), PROPOSE_TIMEOUT_S)
                    return
            await curio.sleep(0.02)
        raise AssertionError(f"membership change failed: {command}")

    async def repair(self, node, old_member):
        """Replace the old member id of a node that lost its disk by its new one."""
        await self.change_members(commands.RemoveMember(host=node.name, member=old_member))
        await self.change_members(add_member(node))
        await self.change_members(add_member(node, voter=True))

    # -- operations ------------------------------------------------------------------------

    async def write(self, key, rng, attempts=4):
        value = next(self.values)
        operation = Operation(str(uuid.uuid4()), "write", key, value, time.monotonic())
        self.history.append(operation)
        result = "not run"
        for _ in range(attempts):
            node = rng.choice(self.nodes)
            outcome = await self._attempt(node, operation)
            if outcome is not None:
                operation.index = outcome.index
                result = "done"
                break
            if operation.outcome_unknown:
                result = "unknown"
        operation.result = result
        operation.end = time.monotonic()

    async def write_twice(self, key):
        """Send one operation to the leader twice concurrently, as a client that retries early."""
        leader = self.leader()
        if leader is None:
            return
        operation = Operation(str(uuid.uuid4()), "write", key, next(self.values), time.monotonic())
        self.history.append(operation)
        async with curio.TaskGroup() as group:
            for _ in range(2):
                await group.spawn(self._attempt, leader, operation)
        indexes = [outcome.index for outcome in group.results if outcome is not None]
        assert len(set(indexes)) < 2, "one operation got two log indexes"
        operation.index = indexes[0] if indexes else 0
        operation.result = (
            "done" if indexes else "unknown" if operation.outcome_unknown else "not run"
        )
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
            operation.outcome_unknown = True
            return None
        return outcome

    async def read(self, key, rng):
        node = rng.choice(self.nodes)
        await node.thawed.wait()
        started_at = time.monotonic()
        if not node.leads():
            await curio.sleep(0.01)
            return
        operation = Operation("", "read", key, read_value(node, key), started_at)
        operation.result = "done"
        operation.end = time.monotonic()
        self.history.append(operation)

    async def client(self, rng, keys=("a", "b")):
        """Write and read until it is cancelled."""
        while True:
            while self.clients_paused:
                await curio.sleep(0.01)
            key = rng.choice(keys)
            if rng.random() < 0.5:
                await self.write(key, rng)
            else:
                await self.read(key, rng)
            await curio.sleep(0.002)

    # -- history check ---------------------------------------------------------------------

    async def settle(self):
        """Heal all faults, start all nodes and wait until all members have caught up."""
        self.heal()
        for node in self.nodes:
            await node.thawed.set()
            if not node.running:
                await node.start()
        leader = await self.wait_leader()
        await self.write("last", random.Random(0), attempts=1000)

        def all_applied():
            applied = {node.state_machine.applied for node in self.members_of(leader)}
            return len(applied) == 1

        await self.wait_until(all_applied, "all members to apply the same index")
        return self.leader() or leader

    def members_of(self, leader):
        known = {member.member for member in leader.replica.members}
        return [node for node in self.nodes if node.running and node.member in known]

    async def verify(self):
        """Check that states agree, leases never overlapped and the history is linearizable."""
        leader = await self.settle()
        states = {node.state_machine.snapshot() for node in self.members_of(leader)}
        assert len(states) == 1, "states differ at the same index"
        assert not self.overlapping_leases, f"two leases at once: {self.overlapping_leases[:3]}"
        audit = [entry for entry in leader.state_machine.data.audit if entry.action == "JoinRoster"]
        check_history(self.history, {entry.operation: entry.index for entry in audit}, len(audit))


def add_member(node, voter=False):
    return commands.AddMember(
        host=node.name,
        member=node.member,
        data_centre="puget",
        link=node.address,
        http=node.address,
        voter=voter,
    )


def copy_command(command):
    return commands.decode(commands.encode(command))


def read_value(node, key):
    value = node.state_machine.data.get_value(configuration.roster_key(ENVIRONMENT, key))
    return 0 if value is None else int(msgspec.json.decode(value)["address"])


class Operation:
    """One read or write in the history; `index` is the log index of a write."""

    def __init__(self, id, kind, key, value, start):
        self.id = id
        self.kind = kind
        self.key = key
        self.value = value
        self.start = start
        self.end = float("inf")
        self.result = "unknown"
        self.outcome_unknown = False
        self.index = 0

    def __repr__(self):
        return f"<{self.kind} {self.key}={self.value} {self.result} at {self.index}>"


def check_history(history, indexes, audit_count):
    """Check that writes and reads are linearizable, given the order of the log.

    Args:
        history: All operations with the times of their calls and answers.
        indexes: Log index of each operation id that took effect.
        audit_count: Number of audit entries; each operation that took effect must have just one.
    """
    assert audit_count == len(indexes), "an operation took effect twice"
    writes = [operation for operation in history if operation.kind == "write"]
    for write in writes:
        log_index = indexes.get(write.id)
        if write.result == "done":
            assert log_index == write.index, f"acknowledged, but not at that log index: {write}"
        elif write.result == "not run":
            assert log_index is None, f"told not run, but in the log: {write}"
        write.index = log_index or 0
    for key in {operation.key for operation in history}:
        _check_register([operation for operation in history if operation.key == key])


def _check_register(history):
    """Check that the reads and writes of one key are linearizable."""
    index_of = {write.value: write.index for write in history if write.kind == "write"}
    index_of[0] = 0
    effective = []
    for operation in history:
        if operation.kind == "read":
            assert operation.value in index_of, f"read a value written by nobody: {operation}"
            operation.index = index_of[operation.value]
            assert (
                operation.index or not operation.value
            ), f"read a value that is not in the log: {operation}"
        if operation.index or operation.kind == "read":
            effective.append(operation)
    acknowledged = sorted(effective, key=lambda operation: operation.end)
    acknowledged_index, position = 0, 0
    for operation in sorted(effective, key=lambda operation: operation.start):
        while acknowledged[position].end < operation.start:
            acknowledged_index = max(acknowledged_index, acknowledged[position].index)
            position += 1
        min_index = acknowledged_index if operation.kind == "read" else acknowledged_index + 1
        assert operation.index >= min_index, f"older than what was acknowledged: {operation}"
