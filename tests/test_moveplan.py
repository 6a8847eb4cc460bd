"""Plans for emptying a server that ends: whole copies in time."""

from ebonywheel.gateway import dialect, moveplan, routes

# One token takes 0.05 ms within a data centre: 3,000 tokens take 0.15 s.
ENGINE = routes.Engine(24, 34_000, bytes_per_token=312_500, link_bits_per_s=50e9, moves=True)


def runs(*tokens):
    return [dialect.EngineRun(f"r{n}", count, 10) for n, count in enumerate(tokens)]


def plan(*tokens, room=100_000, left_s=1.5):
    return moveplan.plan(runs(*tokens), ENGINE, room, left_s)


class TestNear:
    def test_copies_follow_one_after_the_other_short_ones_first(self):
        steps = plan(6_000, 2_000, 4_000)
        assert [step.attempt for step in steps] == ["r1", "r2", "r0"]
        starts = [step.start_s for step in steps]
        assert starts[0] == 0.0
        assert starts[1] >= 0.1 and starts[2] - starts[1] >= 0.2

    def test_every_host_comes_to_the_same_plan(self):
        reported = runs(3_000, 3_000, 5_000)
        there = moveplan.plan(list(reversed(reported)), ENGINE, 9_000, 1.5)
        assert moveplan.plan(reported, ENGINE, 9_000, 1.5) == there

    def test_more_than_the_neighbours_hold_is_not_begun_there(self):
        steps = plan(3_000, 3_000, 3_000, room=7_000, left_s=0.5)
        assert [step.near for step in steps] == [True, True]

    def test_no_run_is_stopped_while_others_are_still_to_be_copied(self):
        """Pattern: eight runs of six hosts leave a server at 1.5 s notice.

        Hosts in another region begin up to 0.1 s late; a second copy that waits behind a first one
        stops its run for 0.2 s, over the longest pause that is in time.
        """
        steps = plan(2_000, 3_000, 3_500, 4_000, 3_000, 2_500, 3_500, 3_000)
        last = steps[-1]
        all_copied_s = last.start_s + ENGINE.copy_s(last.tokens)
        assert all(step.hand_over_s >= all_copied_s + 0.1 for step in steps)

    def test_first_copies_follow_without_a_pause(self):
        """Pattern: seven runs of 3,500 tokens, 1.2 s of copies, leave at 1.5 s notice."""
        steps = plan(*[3_500] * 7)
        assert steps[-1].start_s + ENGINE.copy_s(3_500) <= 1.25


class TestFar:
    def test_without_a_neighbour_only_what_arrives_in_time_is_begun(self):
        """Pattern: a server without a neighbour ends at 1.5 s notice with five runs on it."""
        steps = plan(2_400, 2_500, 3_000, 3_500, 4_000, room=0, left_s=1.5)
        assert [(step.attempt, step.near) for step in steps] == [("r0", False)]

    def test_nothing_is_begun_that_cannot_arrive(self):
        assert plan(4_000, room=0, left_s=1.0) == []

    def test_far_copies_wait_behind_all_near_ones(self):
        steps = plan(2_000, 9_000, 3_000, room=5_500, left_s=30.0)
        assert [step.near for step in steps] == [True, True, False]
        assert steps[2].start_s > steps[1].start_s
        assert steps[2].start_s > max(step.hand_over_s for step in steps[:2])


class TestLate:
    """Pattern: a prompt is still being read when its server says that it will end in 1.5 s."""

    def late(self, tokens=3_000, room=100_000, elapsed_s=0.2, hand_over_s=0.8):
        run = dialect.EngineRun("late", tokens, 0)
        return moveplan.plan_late(run, ENGINE, room, elapsed_s, hand_over_s)

    def test_it_is_copied_at_once_where_it_holds_up_nobody(self):
        assert self.late(elapsed_s=0.2).start_s == 0.2
        assert self.late(elapsed_s=1.2).start_s == 1.2

    def test_it_waits_for_the_second_copies_of_the_others(self):
        step = self.late(elapsed_s=0.75)
        assert step.start_s >= 0.85

    def test_it_does_not_wait_where_it_would_come_too_late(self):
        assert self.late(tokens=15_000, elapsed_s=0.75).start_s == 0.75

    def test_it_is_not_stopped_before_the_others_that_are_late(self):
        """A second copy would wait behind the first copies of other late runs."""
        assert self.late().hand_over_s > moveplan.NOTICE_S

    def test_between_data_centres_it_is_begun_only_if_it_arrives(self):
        assert self.late(room=0, elapsed_s=0.2) is None
        assert self.late(tokens=1_000, room=0, elapsed_s=0.2, hand_over_s=0.0).near is False
