"""Plans for moving runs off a server that shuts down: only copies that complete in time."""

from ebonywheel.gateway import dialect, moveplan, routes

# One token takes 0.05 ms within a data centre: 3,000 tokens take 0.15 s.
ENGINE = routes.Engine(
    24, 34_000, bytes_per_token=312_500, link_bits_per_s=50e9, supports_moves=True
)


def runs(*tokens):
    return [dialect.EngineRun(f"r{n}", count, 10) for n, count in enumerate(tokens)]


def plan(*tokens, near_room=100_000, remaining_s=1.5):
    return moveplan.plan_moves(runs(*tokens), ENGINE, near_room, remaining_s)


class TestNear:
    def test_copies_are_sequential_with_short_runs_first(self):
        moves = plan(6_000, 2_000, 4_000)
        assert [move.attempt for move in moves] == ["r1", "r2", "r0"]
        starts = [move.start_s for move in moves]
        assert starts[0] == 0.0
        assert starts[1] >= 0.1 and starts[2] - starts[1] >= 0.2

    def test_the_plan_does_not_depend_on_the_order_of_the_report(self):
        reported = runs(3_000, 3_000, 5_000)
        reversed_plan = moveplan.plan_moves(list(reversed(reported)), ENGINE, 9_000, 1.5)
        assert moveplan.plan_moves(reported, ENGINE, 9_000, 1.5) == reversed_plan

    def test_runs_beyond_the_neighbours_free_memory_are_not_planned_there(self):
        moves = plan(3_000, 3_000, 3_000, near_room=7_000, remaining_s=0.5)
        assert [move.near for move in moves] == [True, True]

    def test_no_run_is_stopped_before_all_first_copies_are_done(self):
        """Guards against long pauses when six hosts move eight runs within 1.5 s notice.

        Hosts in another region start up to 0.1 s late. A second copy that queues behind a first one
        stops its run for 0.2 s, longer than the longest allowed pause.
        """
        moves = plan(2_000, 3_000, 3_500, 4_000, 3_000, 2_500, 3_500, 3_000)
        last = moves[-1]
        all_copied_s = last.start_s + ENGINE.copy_s(last.tokens)
        assert all(move.hand_over_s >= all_copied_s + 0.1 for move in moves)

    def test_first_copies_have_no_pause_between_them(self):
        """Seven runs of 3,500 tokens take 1.2 s to copy, which must fit a notice of 1.5 s."""
        moves = plan(*[3_500] * 7)
        assert moves[-1].start_s + ENGINE.copy_s(3_500) <= 1.25


class TestFar:
    def test_without_a_neighbour_only_copies_that_complete_in_time_are_planned(self):
        """A server without a neighbour shuts down at 1.5 s notice with five runs."""
        moves = plan(2_400, 2_500, 3_000, 3_500, 4_000, near_room=0, remaining_s=1.5)
        assert [(move.attempt, move.near) for move in moves] == [("r0", False)]

    def test_a_copy_that_cannot_complete_in_time_is_not_planned(self):
        assert plan(4_000, near_room=0, remaining_s=1.0) == []

    def test_far_copies_start_after_all_near_runs_are_handed_over(self):
        moves = plan(2_000, 9_000, 3_000, near_room=5_500, remaining_s=30.0)
        assert [move.near for move in moves] == [True, True, False]
        assert moves[2].start_s > moves[1].start_s
        assert moves[2].start_s > max(move.hand_over_s for move in moves[:2])


class TestLate:
    """A prompt is still being read when its server announces its shutdown in 1.5 s."""

    def plan_late(self, tokens=3_000, near_room=100_000, elapsed_s=0.2, hand_over_s=0.8):
        run = dialect.EngineRun("late", tokens, 0)
        return moveplan.plan_late_move(run, ENGINE, near_room, elapsed_s, hand_over_s)

    def test_it_is_copied_at_once_when_it_delays_no_second_copy(self):
        assert self.plan_late(elapsed_s=0.2).start_s == 0.2
        assert self.plan_late(elapsed_s=1.2).start_s == 1.2

    def test_it_waits_for_the_second_copies_of_planned_runs(self):
        move = self.plan_late(elapsed_s=0.75)
        assert move.start_s >= 0.85

    def test_it_does_not_wait_when_waiting_would_make_it_too_late(self):
        assert self.plan_late(tokens=15_000, elapsed_s=0.75).start_s == 0.75

    def test_it_is_not_stopped_before_other_late_runs_are_copied(self):
        """Its second copy would queue behind the first copies of other late runs."""
        assert self.plan_late().hand_over_s > moveplan.DEFAULT_NOTICE_S

    def test_between_data_centres_it_is_planned_only_if_it_completes_in_time(self):
        assert self.plan_late(near_room=0, elapsed_s=0.2) is None
        assert (
            self.plan_late(tokens=1_000, near_room=0, elapsed_s=0.2, hand_over_s=0.0).near is False
        )
