"""Replicated time continues across leaders, whatever their wall clocks say."""

import curio

from ebonywheel import clock, replicatedclock
from replicas import ReplicaCluster

YEAR_S = 365 * 86_400


class TestReplicatedClock:
    def test_wall_clock_is_read_only_before_the_first_leader(self):
        local_clock = clock.ManualClock(wall_now=1000.0)
        replicated = replicatedclock.ReplicatedClock(local_clock)
        replicated.start_leading(5)
        assert replicated.now_ms() == 1_000_000
        local_clock.wall_now += YEAR_S
        replicated.start_leading(5)
        assert replicated.now_ms() == 1_000_000

    def test_time_advances_and_never_goes_back(self):
        local_clock = clock.ManualClock()
        replicated = replicatedclock.ReplicatedClock(local_clock)
        replicated.observe(7_000)
        local_clock.advance(2.0)
        replicated.observe(8_000)
        assert replicated.now_ms() == 9_000
        replicated.start_leading(20_000)
        assert replicated.now_ms() == 20_000


class TestNewLeader:
    def test_wrong_wall_clock_of_a_new_leader_does_not_change_the_time(self, tmp_path):
        async def main():
            cluster = ReplicaCluster(tmp_path)
            try:
                await cluster.start()
                old_leader = await cluster.wait_leader()
                before_ms = old_leader.state_machine.data.at_ms
                for node in cluster.nodes:
                    if node is not old_leader:
                        node.clock.step = YEAR_S
                await old_leader.kill()
                new_leader = await cluster.wait_leader()
                commit_index = new_leader.replica.commit_index
                await cluster.wait_until(
                    lambda: new_leader.state_machine.applied >= commit_index, "the new term"
                )
                assert 0 <= new_leader.state_machine.data.at_ms - before_ms < 3_600_000
            finally:
                await cluster.close()

        curio.run(main)
