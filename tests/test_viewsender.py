"""Tests of which server views a home entry host sends, and when."""

import msgspec
import pytest

from ebonywheel import messages, viewsender


def view(name="planner-1", **fields):
    state = messages.ServerState(name, 1, "production", "puget", "127.0.0.1:9", "planner")
    return msgspec.structs.replace(
        messages.ServerView(state, home="a", limit=12, used=3, prefixes=["p"] * 64), **fields
    )


HOME_SERVERS = frozenset({"planner-1"})
OWN_REGION = viewsender.own_region_schedule(5)
OTHER_REGION = viewsender.other_region_schedule(360)


@pytest.fixture
def peer():
    state = viewsender.PeerState(own_region=True)
    assert len(state.pending_update([view()], HOME_SERVERS, OWN_REGION, 0.0).views) == 1
    return state


class TestOwnRegion:
    def test_unchanged_view_is_not_sent_again(self, peer):
        assert peer.pending_update([view()], HOME_SERVERS, OWN_REGION, 0.5) is None

    def test_heartbeat_is_sent_after_its_interval(self, peer):
        assert peer.pending_update(
            [view()], HOME_SERVERS, OWN_REGION, OWN_REGION.heartbeat_interval_s
        ) == viewsender.PendingUpdate([], [])

    @pytest.mark.parametrize(
        ("change", "sent"),
        [
            ({"used": 4}, False),
            ({"used": 6}, True),
            ({"used": 12}, True),
            ({"limit": 11}, True),
            ({"cold": False}, True),
        ],
    )
    def test_only_significant_changes_are_sent(self, peer, change, sent):
        update = peer.pending_update([view(**change)], HOME_SERVERS, OWN_REGION, 0.25)
        assert (update is not None) == sent
        if sent:
            (delta,) = update.deltas
            assert viewsender.apply_delta(view(), delta) == view(**change)

    def test_full_view_is_sent_again_after_the_refresh_interval(self, peer):
        assert (
            len(
                peer.pending_update(
                    [view()], HOME_SERVERS, OWN_REGION, OWN_REGION.refresh_interval_s
                ).views
            )
            == 1
        )

    def test_silent_server_is_reported_once_without_slots(self, peer):
        (withdrawn,) = peer.pending_update([], HOME_SERVERS, OWN_REGION, 0.25).deltas
        assert withdrawn.limit == 0
        assert peer.pending_update([], HOME_SERVERS, OWN_REGION, 0.5) is None

    def test_server_that_moved_is_not_reported(self, peer):
        assert peer.pending_update([], frozenset(), OWN_REGION, 0.25) is None

    def test_number_of_prefixes_is_limited(self):
        (sent,) = (
            viewsender.PeerState(own_region=True)
            .pending_update([view()], HOME_SERVERS, OWN_REGION, 0.0)
            .views
        )
        assert len(sent.prefixes) == viewsender.MAX_PREFIXES_SENT


class TestOtherRegion:
    def test_changes_wait_for_the_change_interval(self):
        peer = viewsender.PeerState(own_region=False)
        (first,) = peer.pending_update([view()], HOME_SERVERS, OTHER_REGION, 0.0).views
        assert first.prefixes == []
        assert peer.pending_update([view(used=12)], HOME_SERVERS, OTHER_REGION, 1.0) is None
        assert (
            len(
                peer.pending_update(
                    [view(used=12)], HOME_SERVERS, OTHER_REGION, OTHER_REGION.change_interval_s
                ).deltas
            )
            == 1
        )

    @pytest.mark.parametrize("change", [{"limit": 0}, {"home": "b"}])
    def test_server_that_stops_taking_work_is_reported_at_once(self, change):
        peer = viewsender.PeerState(own_region=False)
        peer.pending_update([view()], HOME_SERVERS, OTHER_REGION, 0.0)
        assert (
            len(peer.pending_update([view(**change)], HOME_SERVERS, OTHER_REGION, 0.25).views) == 1
        )

    def test_heartbeat_is_sent_after_its_interval(self):
        peer = viewsender.PeerState(own_region=False)
        peer.pending_update([view()], HOME_SERVERS, OTHER_REGION, 0.0)
        assert peer.pending_update(
            [view()], HOME_SERVERS, OTHER_REGION, OTHER_REGION.heartbeat_interval_s
        ) == viewsender.PendingUpdate([], [])

    def test_change_interval_grows_with_the_number_of_hosts(self):
        assert viewsender.other_region_schedule(4).change_interval_s < 0.5
        assert viewsender.other_region_schedule(360).change_interval_s > 20.0
