"""Stateful fuzz test of the replicas: clients read and write under random faults.

At the end of each example, the history of all operations is checked for linearizability. CI runs a
few fixed examples. To run more of them, with a seed:

    EBONYWHEEL_FUZZ_EXAMPLES=200 EBONYWHEEL_FUZZ_SEED=7 scripts/test tests/test_fuzz_control.py
"""

import contextlib
import os
import pathlib
import random
import tempfile

import curio
import hypothesis
from hypothesis import stateful
from hypothesis import strategies as st

from ebonywheel import exceptions
from replicas import ELECTION_TIMEOUT_S, PROPOSE_TIMEOUT_S, ReplicaCluster, add_member

MAX_EXAMPLES = int(os.environ.get("EBONYWHEEL_FUZZ_EXAMPLES", "6"))
SEED = os.environ.get("EBONYWHEEL_FUZZ_SEED")
STEP_COUNT = 18
CLIENT_COUNT = 3

node_numbers = st.integers(0, 2)
pauses = st.floats(0.05, 4.0).map(lambda timeouts: timeouts * ELECTION_TIMEOUT_S)
seeds = st.integers(0, 1 << 20)


class ControlMachine(stateful.RuleBasedStateMachine):
    """Injects faults and repairs, one after the other, while clients write and read.

    Attributes:
        lost: Old member id of each node that lost its disk and is not repaired yet, by name.
    """

    def __init__(self):
        super().__init__()
        self.kernel = curio.Kernel()
        self.folder = tempfile.TemporaryDirectory(prefix="fuzz-control-")
        self.lost: dict[str, str] = {}
        self.clients: list[curio.Task] = []

    def run(self, function, *arguments):
        return self.kernel.run(function, *arguments)

    @stateful.initialize(
        seed=seeds, snapshot_entries=st.integers(5, 60), count=st.sampled_from([3, 3, 5])
    )
    def start(self, seed, snapshot_entries, count):
        self.rng = random.Random(seed)
        self.cluster = ReplicaCluster(pathlib.Path(self.folder.name), count, snapshot_entries)

        async def main():
            await self.cluster.start()
            await self.cluster.wait_leader()
            for number in range(CLIENT_COUNT):
                client = self.cluster.client(random.Random(seed + number))
                self.clients.append(await curio.spawn(client, daemon=True))

        self.run(main)

    def node(self, number):
        """Return the leader for 0, another node for other numbers."""
        leader = self.cluster.leader()
        nodes = sorted(self.cluster.nodes, key=lambda node: node is not leader)
        return nodes[number]

    def all_nodes_vote(self):
        """Return whether all nodes are voters, and no change of that is pending.

        A quorum then survives the loss of one disk.
        """
        leader = self.cluster.leader()
        if leader is None or leader.replica.membership.has_pending_change():
            return False
        return len(leader.replica.membership.voters()) == len(self.cluster.nodes)

    @stateful.rule(pause=pauses)
    def let_run(self, pause):
        self.run(curio.sleep, pause)

    @stateful.rule(number=node_numbers, power=st.booleans(), pause=pauses)
    def kill(self, number, power, pause):
        node = self.node(number)

        async def main():
            if node.running:
                await node.kill(power)
            await curio.sleep(pause)

        self.run(main)

    @stateful.rule(pause=pauses)
    def cut_power_everywhere(self, pause):
        async def main():
            for node in self.cluster.running():
                await node.kill()
            for node in self.cluster.nodes:
                await node.start()
            await curio.sleep(pause)

        self.run(main)

    @stateful.rule(pause=pauses)
    def restart_all(self, pause):
        async def main():
            for node in self.cluster.nodes:
                if not node.running:
                    await node.start()
            await curio.sleep(pause)

        self.run(main)

    @stateful.rule(first=node_numbers, second=node_numbers, both=st.booleans(), pause=pauses)
    def cut(self, first, second, both, pause):
        source, target = self.node(first), self.node(second)
        if source is not target:
            self.cluster.cut(source, target)
            if both:
                self.cluster.cut(target, source)
        self.run(curio.sleep, pause)

    @stateful.rule(number=st.integers(1, 2), timeouts=st.floats(0.9, 2.0))
    def cut_leader_from_one_follower_then_from_all(self, number, timeouts):
        """Cut one follower off from the leader while the leader still holds its lease."""
        leader = self.node(0)
        # With further writes, the follower's log would be too old to win an election.
        self.cluster.clients_paused = True
        self.run(curio.sleep, ELECTION_TIMEOUT_S)
        self.cluster.cut(leader, self.node(number))
        self.run(curio.sleep, timeouts * ELECTION_TIMEOUT_S)
        self.cluster.isolate(leader)
        self.run(curio.sleep, 2 * ELECTION_TIMEOUT_S)
        self.cluster.clients_paused = False

    @stateful.rule(number=node_numbers, pause=pauses)
    def isolate(self, number, pause):
        self.cluster.isolate(self.node(number))
        self.run(curio.sleep, pause)

    @stateful.rule(pause=pauses)
    def heal(self, pause):
        self.cluster.heal()
        self.run(curio.sleep, pause)

    @stateful.rule(number=node_numbers, pause=pauses)
    def freeze(self, number, pause):
        node = self.node(number)

        async def main():
            node.freeze()
            await curio.sleep(pause)
            await node.thawed.set()

        self.run(main)

    @stateful.rule(timeouts=st.floats(2.5, 6.0))
    def freeze_leader_beyond_its_lease(self, timeouts):
        node = self.node(0)

        async def main():
            node.freeze()
            await curio.sleep(timeouts * ELECTION_TIMEOUT_S)
            await node.thawed.set()
            await curio.sleep(ELECTION_TIMEOUT_S)

        self.run(main)

    @stateful.rule(step=st.integers(-(10**9), 10**9), number=node_numbers)
    def step_clock(self, step, number):
        self.node(number).clock.step = step

    @stateful.rule(count=st.integers(1, 40))
    def replay(self, count):
        async def main():
            for _ in range(count):
                await self.cluster.replay(self.rng)

        self.run(main)

    @stateful.rule(pause=pauses)
    def transfer(self, pause):
        async def main():
            leader = self.cluster.leader()
            if leader is not None:
                await curio.spawn(leader.replica.transfer(), daemon=True)
            await curio.sleep(pause)

        self.run(main)

    @stateful.rule()
    def resend_at_once(self):
        self.run(self.cluster.write_twice, "a")

    @stateful.rule(number=node_numbers)
    def lose_disk(self, number):
        node = self.node(number)
        if self.lost or not self.all_nodes_vote():
            return

        async def main():
            self.lost[node.name] = node.store.identity.member if node.running else ""
            if not node.running:
                self.lost[node.name] = node.open().member
                node.store.close()
                node.store = None
            else:
                await node.kill()
            node.lose_disk()
            await node.start()

        self.run(main)

    @stateful.rule()
    def repair(self):
        self.run(self._repair)

    @stateful.rule(number=node_numbers)
    def demote(self, number):
        """Demote a node and make it a voter again; the leader may refuse either change."""
        node = self.node(number)

        async def main():
            leader = self.cluster.leader()
            if leader is None or not node.running or self.lost:
                return
            for voter in (False, True):
                command = add_member(node, voter)
                command.operation = f"demote-{self.rng.random()}"
                with contextlib.suppress(exceptions.EbonywheelError):
                    await leader.replica.propose(command, PROPOSE_TIMEOUT_S)

        self.run(main)

    async def _repair(self):
        for name, old_member in list(self.lost.items()):
            self.cluster.heal()
            for node in self.cluster.nodes:
                await node.thawed.set()
                if not node.running:
                    await node.start()
            node = next(node for node in self.cluster.nodes if node.name == name)
            await self.cluster.repair(node, old_member)
            del self.lost[name]

    async def _finish(self):
        for client in self.clients:
            await client.cancel()
        await self._repair()
        await self.cluster.settle()
        for node in self.cluster.nodes:
            await self.cluster.change_members(add_member(node, voter=True))
        await self.cluster.verify()
        hypothesis.event(f"{len(self.cluster.history) // 100 * 100} operations")

    def teardown(self):
        try:
            if self.clients:
                self.run(self._finish)
        finally:
            if hasattr(self, "cluster"):
                self.run(self.cluster.close)
            self.kernel.run(shutdown=True)
            self.folder.cleanup()


TestControl = ControlMachine.TestCase
TestControl.settings = hypothesis.settings(
    max_examples=MAX_EXAMPLES,
    stateful_step_count=STEP_COUNT,
    derandomize=SEED is None,
    database=None,
    deadline=None,
    phases=[hypothesis.Phase.generate],
    suppress_health_check=list(hypothesis.HealthCheck),
    print_blob=False,
)
if SEED is not None:
    TestControl = hypothesis.seed(int(SEED))(TestControl)
