"""Selection of a backend server by load, distance, failures and limits."""

import collections
import statistics

import pytest

from ebonywheel import messages
from ebonywheel.gateway import balance, routes

ENGINE = routes.Engine(24, 34_000, supports_moves=True)
PLAN = routes.Service("plan", engine=ENGINE)
BOOK = routes.Service("book")
HERE = balance.Location("puget-a", "puget")


def candidate(name, data_centre="puget-a", slots=24, age_s=0.5, without_neighbour=False, **state):
    record = messages.DirectoryRecord(name, 1, 1, data_centre=data_centre, slots=slots)
    region = data_centre.partition("-")[0]
    return balance.Candidate(record, balance.ServerState(**state), age_s, region, without_neighbour)


def choose(candidates, now=0.0, entry_hosts=7, **requirements):
    requirements.setdefault("service", PLAN)
    chosen = balance.choose(
        candidates, balance.Requirements(**requirements), HERE, now, entry_hosts
    )
    return None if chosen is None else chosen.record.server


class TestEngines:
    def test_expected_memory_counts_more_than_the_number_of_requests(self):
        full = candidate("full", requests=2, tokens=30_000)
        busy = candidate("busy", requests=6, tokens=9_000)
        assert choose([full, busy], tokens=3_000) == "busy"

    def test_requests_of_other_hosts_count(self):
        shared = candidate("shared", other_tokens=30_000)
        assert choose([shared, candidate("free", tokens=4_000)], tokens=3_000) == "free"

    def test_a_newly_started_server_does_not_get_every_request(self):
        """Guards against overloading an empty engine that joins while the others are half full."""
        counts = []
        for _ in range(200):
            others = [candidate(f"old-{n}", tokens=16_000) for n in range(4)]
            new = candidate("new")
            choices = collections.Counter()
            for _ in range(10):
                name = choose([new, *others], tokens=3_000)
                choices[name] += 1
                chosen = next(each for each in (new, *others) if each.record.server == name)
                chosen.state.tokens += 3_000
                chosen.state.unread += 3_000
            counts.append(choices["new"])
        assert max(counts) <= 5
        # It is among the two that are compared in four of ten choices, so in few of ten by chance.
        assert statistics.mean(counts) >= 2

    def test_a_long_generation_avoids_a_server_without_a_neighbour(self):
        """Engines shut down at short notice; only neighbours can take over their runs in time."""
        alone = candidate("alone", tokens=6_000, without_neighbour=True)
        paired = candidate("paired", "yakima-a", tokens=6_000)
        assert choose([alone, paired], tokens=3_000, long_running=True) == "paired"
        assert choose([alone, paired], tokens=3_000) == "alone"

    def test_no_server_is_chosen_when_none_has_memory(self):
        full = [candidate("a", tokens=33_000), candidate("b", other_tokens=33_000)]
        assert choose(full, tokens=3_000, max_load=1.0) is None


class TestPlainServices:
    def test_the_own_data_centre_is_preferred_until_it_is_loaded(self):
        near = candidate("near", slots=6, requests=1)
        far = candidate("far", "yakima-a", slots=6)
        assert choose([near, far], service=BOOK) == "near"
        near.state.requests = 4
        assert choose([near, far], service=BOOK) == "far"

    def test_a_server_that_fails_more_than_its_peers_is_avoided(self):
        """Guards against a server that fails requests while its health checks pass."""
        failing = candidate("failing", slots=6)
        healthy = candidate("healthy", "yakima-a", slots=6)
        for _ in range(30):
            failing.state.record_answer(failed=True)
            healthy.state.record_answer(failed=False)
        assert choose([failing, healthy], service=BOOK) == "healthy"

    def test_equal_failure_rates_do_not_change_the_choice(self):
        near, far = candidate("near", slots=6), candidate("far", "yakima-a", slots=6)
        for each in (near, far):
            for _ in range(30):
                each.state.record_answer(failed=True)
        assert choose([near, far], service=BOOK) == "near"


class TestLimits:
    def test_a_silent_server_is_chosen_only_when_all_are_silent(self):
        silent = candidate("silent", age_s=balance.MAX_REPORT_AGE_S + 1)
        assert choose([silent, candidate("heard", "yakima-a", tokens=30_000)]) == "heard"
        assert choose([silent]) == "silent"

    def test_backoff_doubles_up_to_its_maximum(self):
        state = balance.ServerState()
        backoffs = []
        for _ in range(6):
            state.record_unreachable(0.0)
            backoffs.append(state.backoff_until)
        assert backoffs == [0.5, 1.0, 2.0, 4.0, 4.0, 4.0]

    # Guards against hosts that try crashed servers while sound ones are at their limits.
    @pytest.mark.parametrize(
        "state", [{"limit_per_s": 0.2, "denied_until": 2.0}, {"paused_until": 2.0}]
    )
    def test_an_unreachable_server_is_not_tried_while_others_take_nothing_just_now(self, state):
        crashed = candidate("crashed", age_s=20.0, unreachable=True)
        assert choose([crashed, candidate("sound", **state)], now=1.0) is None
        assert choose([crashed, candidate("sound", **state)], now=2.0) == "sound"
        assert choose([crashed], now=1.0) == "crashed"

    def test_it_is_tried_if_the_others_may_not_serve_the_request(self):
        crashed = candidate("crashed", age_s=20.0, unreachable=True)
        far = candidate("far", "yakima-a", paused_until=2.0)
        assert choose([crashed, far], now=1.0, regions=frozenset({"puget"})) == "crashed"

    def test_a_cold_server_gets_at_most_this_hosts_share_of_its_rate(self):
        service = routes.Service("book", cold_per_s=40.0)
        cold = candidate("cold", slots=6, cold_until=10.0)
        for _ in range(5):
            assert choose([cold], now=1.0, entry_hosts=8, service=service) == "cold"
            cold.state.cold_request_times.append(1.0)
        assert choose([cold], now=1.0, entry_hosts=8, service=service) is None
        assert choose([cold], now=2.1, entry_hosts=8, service=service) == "cold"

    @pytest.mark.parametrize(
        ("regions", "expected"), [({"yakima"}, "far"), ({"nowhere"}, None), (set(), "near")]
    )
    def test_only_allowed_regions_are_chosen(self, regions, expected):
        candidates = [candidate("near"), candidate("far", "yakima-a")]
        assert choose(candidates, regions=frozenset(regions)) == expected

    def test_a_server_with_too_many_unread_prompt_tokens_is_not_chosen(self):
        """With a data centre out, the remaining engines cannot read all prompts in time."""
        queued = candidate("queued", unread=9_000, other_unread=3_000)
        free = candidate("free", "yakima-a", tokens=20_000)
        requirements = {"tokens": 4_000, "unread": 3_000, "max_unread": 12_600}
        assert choose([queued, free], **requirements) == "free"
        assert choose([queued], **requirements) is None
