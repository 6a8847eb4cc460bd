"""Replicated time goes on through leaders, whatever their wall clocks say."""

import curio

from ebonywheel import clock, stamps
from replicas import Replicas

YEAR_S = 365 * 86_400


class TestStampClock:
    def test_wall_clock_counts_only_where_no_leader_was_heard(self):
        source = clock.ManualClock(wall_now=1000.0)
        held = stamps.StampClock(source)
        held.lead(5)
        assert held.now_ms() == 1_000_000
        source.wall_now += YEAR_S
        held.lead(5)
        assert held.now_ms() == 1_000_000

    def test_time_goes_on_and_never_back(self):
        source = clock.ManualClock()
        held = stamps.StampClock(source)
        held.observe(7_000)
        source.advance(2.0)
        held.observe(8_000)
        assert held.now_ms() == 9_000
        held.lead(20_000)
        assert held.now_ms() == 20_000


class TestNewLeader:
    def test_wrong_wall_clock_of_a_new_leader_moves_nothing(self, tmp_path):
        async def main():
            cluster = Replicas(tmp_path)
            try:
                await cluster.start()
                old = await cluster.wait_leader()
                before_ms = old.machine.data.at_ms
                for node in cluster.nodes:
                    if node is not old:
                        node.clock.step = YEAR_S
                await old.kill()
                new = await cluster.wait_leader()
                applied = new.replica.commit
                await cluster.wait_until(lambda: new.machine.applied >= applied, "the new term")
                assert 0 <= new.machine.data.at_ms - before_ms < 3_600_000
            finally:
                await cluster.close()

        curio.run(main)
