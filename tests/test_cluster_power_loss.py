"""Test that what a cluster acknowledged is read back after all its hosts lost power at one moment.

CI runs a few rounds. To run more of them, set EBONYWHEEL_POWER_ROUNDS, and another seed as
EBONYWHEEL_POWER_SEED.
"""

import os
import random

import curio
import msgspec
import pytest

from ebonywheel import commands, exceptions, messages, storage
from powerdisk import PowerDisks
from replicas import ReplicaCluster

ROUNDS = int(os.environ.get("EBONYWHEEL_POWER_ROUNDS", "2"))
SEED = int(os.environ.get("EBONYWHEEL_POWER_SEED", "1"))
# Between the start of a proposal and the loss of power.
DELAYS_S = (0.005, 0.4)
MAX_WRITES = 6
CLIENT_COUNT = 3


def end_all(cluster):
    """End all hosts at one moment; none of their later file calls takes effect."""
    for disk in cluster.disk.disks.values():
        disk.error = OSError
        disk.ended = True


class PowerLosses:
    """Cuts the power of all hosts of a cluster again and again."""

    def __init__(self, cluster, rng):
        self.cluster = cluster
        self.rng = rng

    async def run_round(self, disks_to_lose):
        clients = []
        for _ in range(CLIENT_COUNT):
            client = self.cluster.client(random.Random(self.rng.random()))
            clients.append(await curio.spawn(client, daemon=True))
        for _ in range(self.rng.randrange(MAX_WRITES)):
            await self.cluster.write("a", self.rng)
        if self.rng.random() < 0.5:
            # No host runs between the acknowledgement and the loss of power.
            await self.cluster.write("a", self.rng)
            end_all(self.cluster)
        else:
            proposal = await curio.spawn(self.cluster.write, "a", self.rng, 1, daemon=True)
            await curio.sleep(self.rng.uniform(*DELAYS_S))
            end_all(self.cluster)
            await proposal.join()
        for client in clients:
            await client.cancel()
        await self.restart(disks_to_lose)

    async def restart(self, disks_to_lose):
        nodes = self.cluster.nodes
        members = {node: node.member for node in nodes}
        for node in nodes:
            await node.kill()
        losers = self.rng.sample(nodes, disks_to_lose)
        for node in losers:
            self.cluster.disk.disk(node.folder).lose_all()
        for node in nodes:
            await node.start()
        # The others must have what was acknowledged before the new hosts can take part.
        await self.cluster.wait_leader()
        await self.cluster.write("a", self.rng, attempts=1000)
        for node in losers:
            await self.cluster.repair(node, members[node])
        await self.cluster.verify()


# Guards against acknowledged changes that are gone, or older values that are read, after a power
# loss of all hosts at one moment, also when a minority of the disks is lost with it.
@pytest.mark.parametrize("count", [3, 5])
@pytest.mark.parametrize("with_lost_disks", [False, True])
def test_acknowledged_changes_are_read_back(tmp_path, count, with_lost_disks):
    rng = random.Random(SEED * 100 + count)
    disks = PowerDisks(rng)

    async def main():
        cluster = ReplicaCluster(tmp_path, count, snapshot_entries=20, disk=disks)
        losses = PowerLosses(cluster, rng)
        try:
            await cluster.start()
            await cluster.wait_leader()
            for _ in range(ROUNDS):
                await losses.run_round((count - 1) // 2 if with_lost_disks else 0)
        finally:
            await cluster.close()

    with disks.intercept():
        curio.run(main)


# Guards against an acknowledged change that is gone: a follower was killed before its sync, and
# acknowledged after its restart what it found in its log, without a sync.
def test_restarted_follower_acknowledges_only_what_it_keeps(tmp_path):
    disks = PowerDisks(random.Random(0))

    async def main():
        cluster = ReplicaCluster(tmp_path, disk=disks)
        node, leader, _ = [node.open() for node in cluster.nodes]
        node.store.save_first_configuration([node.info() for node in cluster.nodes])
        heartbeat = messages.AppendRequest(1, leader.member, 0, 0, 0, [], node.member, 1)
        entry = messages.LogEntry(1, 1, commands.encode(commands.Noop()))
        disk = disks.disk(node.folder)
        disk.error = OSError
        await node.start()
        try:
            assert (await node.handle(heartbeat)).ok
            # The entry is written, but not synced.
            disk.steps_left = 1
            with pytest.raises(exceptions.StorageError):
                await node.handle(msgspec.structs.replace(heartbeat, entries=[entry]))
            assert disk.ended_at == ("fsync", storage.LOG_FILE)
            await node.kill(power_cut=False)
            disk.kill()
            await node.start()
            reply = await node.handle(
                msgspec.structs.replace(heartbeat, prev_index=1, prev_term=1, commit=1)
            )
            disks.loss_kind = "all gone"
            await node.kill()
            assert node.open().store.last_index() >= reply.match
        finally:
            cluster.stack.close()

    with disks.intercept():
        curio.run(main)
