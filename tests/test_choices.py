"""Tests of the choice of backend servers from views that may be old, and of routing policies."""

import pytest

from ebonywheel import choices, messages, policies


def known(server, region="north", used=0, limit=10, expected=0, received_at=0.0, prefixes=()):
    """Return a server as an entry host knows it."""
    state = messages.ServerState(server, 1, total_blocks=100, block_tokens=16)
    view = messages.ServerView(state, limit=limit, used=used, expected_blocks=expected)
    view.prefixes = list(prefixes)
    return choices.KnownView(view, region, received_at)


def chosen(servers, policy=None, recent=None, prefer_own=False, prefix="p"):
    """Return the names of the servers chosen for a request of region "north", best first."""
    job = policies.Job("plan", "a", 10, prefix, "north")
    found = choices.choose(
        policy or policies.LengthAware(),
        recent or choices.RecentChanges(),
        job,
        servers,
        prefer_own,
    )
    return [candidate.view.state.server for candidate in found]


class TestRegions:
    def test_own_region_goes_first(self):
        assert chosen([known("far", "south"), known("near", expected=80)]) == ["near", "far"]

    def test_preferred_region_with_servers_excludes_other_regions(self):
        assert chosen([known("far", "south"), known("near", used=10)], prefer_own=True) == []

    def test_preferred_region_without_servers_falls_back_to_other_regions(self):
        assert chosen([known("far", "south", expected=95)], prefer_own=True) == ["far"]

    def test_server_of_another_region_is_used_only_with_spare_capacity(self):
        servers = [known("full", "south", expected=90), known("near", used=10)]
        assert chosen(servers) == []
        assert chosen([*servers, known("spare", "south", expected=50)]) == ["spare"]


class TestRecentChanges:
    def test_borrowed_slots_count_until_the_next_view(self):
        recent = choices.RecentChanges()
        recent.record_borrowed("a", 50.0, 1.0)
        servers = [known("a"), known("b", expected=20)]
        assert chosen(servers, recent=recent)[0] == "b"
        later = [known("a", received_at=2.0), known("b", expected=20, received_at=2.0)]
        assert chosen(later, recent=recent)[0] == "a"

    def test_returned_slot_is_free_before_a_view_shows_it(self):
        recent = choices.RecentChanges()
        assert chosen([known("a", used=10)], recent=recent) == []
        recent.record_returned("a", 5.0, 1.0)
        assert chosen([known("a", used=10)], recent=recent) == ["a"]

    def test_refusal_counts_for_its_service_until_a_view_or_a_return(self):
        recent = choices.RecentChanges()
        recent.record_refusal("a", "plan", 1.0)
        assert chosen([known("a")], recent=recent) == []
        assert chosen([known("a", received_at=2.0)], recent=recent) == ["a"]
        recent.record_refusal("a", "label", 3.0)
        assert chosen([known("a", received_at=2.0)], recent=recent) == ["a"]
        recent.record_refusal("a", "plan", 3.0)
        recent.record_returned("a", 0.0, 4.0)
        assert chosen([known("a", received_at=2.0)], recent=recent) == ["a"]

    def test_refusal_undoes_the_change_recorded_when_asking(self):
        recent = choices.RecentChanges()
        change = recent.record_borrowed("a", 5.0, 1.0)
        recent.record_refusal("a", "plan", 1.1, change)
        assert recent.net_since_view(known("a")) == (0, 0)

    def test_records_of_servers_that_are_gone_are_dropped(self):
        recent = choices.RecentChanges()
        recent.record_borrowed("a", 5.0, 1.0)
        recent.record_refusal("a", "plan", 1.0)
        recent.retain({"b"})
        assert (recent.changes, recent.refusals) == ({}, {})


class TestPolicies:
    def test_length_aware_prefers_the_least_expected_memory(self):
        servers = [known("a", expected=60), known("b", expected=30), known("c", expected=90)]
        assert chosen(servers) == ["b", "a", "c"]

    def test_length_aware_prefers_a_cached_prefix_among_equally_loaded_servers(self):
        similar = [known("a", expected=30), known("b", expected=35, prefixes=["p"])]
        assert chosen(similar)[0] == "b"
        uneven = [known("a", expected=30), known("b", expected=60, prefixes=["p"])]
        assert chosen(uneven)[0] == "a"

    def test_same_prefix_goes_to_the_same_server_even_if_not_cached(self):
        servers = [known(name) for name in "abc"]
        assert chosen(servers) == chosen(list(reversed(servers)))
        firsts = {chosen(servers, prefix=str(number))[0] for number in range(30)}
        assert firsts == {"a", "b", "c"}

    @pytest.mark.parametrize("policy", [policies.LeastOutstanding, policies.TwoChoices])
    def test_baseline_policies_prefer_the_fewest_slots_in_use(self, policy):
        assert chosen([known("a", used=5), known("b", used=2)], policy()) == ["b", "a"]

    def test_round_robin_takes_turns(self):
        policy = policies.RoundRobin()
        servers = [known(name) for name in "abc"]
        assert sorted(chosen(servers, policy)[0] for _ in range(3)) == ["a", "b", "c"]
