"""Choice of a backend server under the loads that it answers."""

import collections

import pytest

from ebonywheel import messages
from ebonywheel.gateway import balance, routes

ENGINE = routes.Engine(24, 34_000, moves=True)
PLAN = routes.Service("plan", engine=ENGINE)
BOOK = routes.Service("book")
HERE = balance.Place("puget-a", "puget")


def server(name, data_centre="puget-a", slots=24, age_s=0.5, alone=False, **state):
    record = messages.DirectoryRecord(name, 1, 1, data_centre=data_centre, slots=slots)
    region = data_centre.partition("-")[0]
    return balance.Candidate(record, balance.ServerState(**state), age_s, region, alone)


def choose(candidates, now=0.0, hosts=7, **wish):
    wish.setdefault("service", PLAN)
    found = balance.choose(candidates, balance.Wish(**wish), HERE, now, hosts)
    return None if found is None else found.record.server


class TestEngines:
    def test_memory_in_flight_counts_more_than_requests(self):
        full = server("full", requests=2, tokens=30_000)
        busy = server("busy", requests=6, tokens=9_000)
        assert choose([full, busy], tokens=3_000) == "busy"

    def test_what_other_hosts_have_in_flight_counts(self):
        told = server("told", other_tokens=30_000)
        assert choose([told, server("free", tokens=4_000)], tokens=3_000) == "free"

    def test_a_server_that_just_started_does_not_draw_every_request(self):
        """Pattern: an empty engine joins while the others are half full."""
        others = [server(f"old-{n}", tokens=16_000) for n in range(4)]
        new = server("new")
        taken = collections.Counter()
        for _ in range(10):
            name = choose([new, *others], tokens=3_000)
            taken[name] += 1
            chosen = next(one for one in (new, *others) if one.record.server == name)
            chosen.state.tokens += 3_000
            chosen.state.unread += 3_000
        assert 2 <= taken["new"] <= 5

    def test_a_long_generation_avoids_a_server_without_a_neighbour(self):
        """Pattern: engines leave at short notice, and only neighbours take their runs in time."""
        alone = server("alone", tokens=6_000, alone=True)
        paired = server("paired", "yakima-a", tokens=6_000)
        assert choose([alone, paired], tokens=3_000, lasting=True) == "paired"
        assert choose([alone, paired], tokens=3_000) == "alone"

    def test_nothing_is_chosen_where_none_has_room(self):
        full = [server("a", tokens=33_000), server("b", other_tokens=33_000)]
        assert choose(full, tokens=3_000, limit=1.0) is None


class TestPlainServices:
    def test_the_own_data_centre_goes_first_until_it_is_loaded(self):
        near = server("near", slots=6, requests=1)
        far = server("far", "yakima-a", slots=6)
        assert choose([near, far], service=BOOK) == "near"
        near.state.requests = 4
        assert choose([near, far], service=BOOK) == "far"

    def test_a_server_that_fails_more_than_its_peers_is_avoided(self):
        """Pattern: a server fails part of its requests while it looks healthy."""
        grey = server("grey", slots=6)
        sound = server("sound", "yakima-a", slots=6)
        for _ in range(30):
            grey.state.note_answer(failed=True)
            sound.state.note_answer(failed=False)
        assert choose([grey, sound], service=BOOK) == "sound"

    def test_failures_that_all_servers_share_move_nothing(self):
        near, far = server("near", slots=6), server("far", "yakima-a", slots=6)
        for one in (near, far):
            for _ in range(30):
                one.state.note_answer(failed=True)
        assert choose([near, far], service=BOOK) == "near"


class TestLimits:
    def test_a_silent_server_is_chosen_only_where_all_are(self):
        silent = server("silent", age_s=balance.SILENT_S + 1)
        assert choose([silent, server("heard", "yakima-a", tokens=30_000)]) == "heard"
        assert choose([silent]) == "silent"

    def test_a_server_that_could_not_be_reached_rests_longer_each_time(self):
        state = balance.ServerState()
        rests = []
        for _ in range(6):
            state.note_unreachable(0.0)
            rests.append(state.down_until)
        assert rests == [0.5, 1.0, 2.0, 4.0, 4.0, 4.0]

    def test_a_cold_server_gets_this_hosts_part_of_what_it_bears(self):
        service = routes.Service("book", cold_per_s=40.0)
        cold = server("cold", slots=6, cold_until=10.0)
        for _ in range(5):
            assert choose([cold], now=1.0, hosts=8, service=service) == "cold"
            cold.state.cold_sends.append(1.0)
        assert choose([cold], now=1.0, hosts=8, service=service) is None
        assert choose([cold], now=2.1, hosts=8, service=service) == "cold"

    @pytest.mark.parametrize(
        ("regions", "expected"), [({"yakima"}, "far"), ({"nowhere"}, None), (set(), "near")]
    )
    def test_regions_bind(self, regions, expected):
        candidates = [server("near"), server("far", "yakima-a")]
        assert choose(candidates, regions=frozenset(regions)) == expected

    def test_no_generation_queues_behind_more_prompts_than_are_read_in_time(self):
        """Pattern: a data centre is out, and the engines left cannot read all prompts in time."""
        queued = server("queued", unread=9_000, other_unread=3_000)
        free = server("free", "yakima-a", tokens=20_000)
        wish = {"tokens": 4_000, "unread": 3_000, "unread_limit": 12_600}
        assert choose([queued, free], **wish) == "free"
        assert choose([queued], **wish) is None
