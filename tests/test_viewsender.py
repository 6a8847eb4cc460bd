"""Views are sent when they change enough to matter, and again in case they were lost."""

import msgspec
import pytest

from ebonywheel import messages, viewsender


def view(name="planner-1", **more):
    state = messages.ServerState(name, 1, "production", "puget", "127.0.0.1:9", "planner")
    return msgspec.structs.replace(
        messages.ServerView(state, home="a", limit=12, used=3, prefixes=["p"] * 64), **more
    )


KEPT = frozenset({"planner-1"})
NEAR = viewsender.near_tier(5)
FAR = viewsender.far_tier(360)


@pytest.fixture
def peer():
    made = viewsender.Peer(near=True)
    assert len(made.due([view()], KEPT, NEAR, 0.0).views) == 1
    return made


class TestNear:
    def test_unchanged_view_is_not_sent_again(self, peer):
        assert peer.due([view()], KEPT, NEAR, 0.5) is None

    def test_living_home_says_so(self, peer):
        assert peer.due([view()], KEPT, NEAR, NEAR.alive_s) == viewsender.Due([], [])

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
    def test_change_that_matters_is_sent(self, peer, change, sent):
        due = peer.due([view(**change)], KEPT, NEAR, 0.25)
        assert (due is not None) == sent
        if sent:
            (delta,) = due.deltas
            assert viewsender.apply(view(), delta) == view(**change)

    def test_lost_view_is_sent_again_in_time(self, peer):
        assert len(peer.due([view()], KEPT, NEAR, NEAR.refresh_s).views) == 1

    def test_silent_server_is_shown_without_slots_once(self, peer):
        (ended,) = peer.due([], KEPT, NEAR, 0.25).deltas
        assert ended.limit == 0
        assert peer.due([], KEPT, NEAR, 0.5) is None

    def test_server_that_moved_is_left_to_its_new_home(self, peer):
        assert peer.due([], frozenset(), NEAR, 0.25) is None

    def test_prefixes_are_bounded(self):
        (sent,) = viewsender.Peer(near=True).due([view()], KEPT, NEAR, 0.0).views
        assert len(sent.prefixes) == viewsender.PREFIXES_SENT


class TestFar:
    def test_changes_wait(self):
        peer = viewsender.Peer(near=False)
        (first,) = peer.due([view()], KEPT, FAR, 0.0).views
        assert first.prefixes == []
        assert peer.due([view(used=12)], KEPT, FAR, 1.0) is None
        assert len(peer.due([view(used=12)], KEPT, FAR, FAR.change_s).deltas) == 1

    @pytest.mark.parametrize("change", [{"limit": 0}, {"home": "b"}])
    def test_server_that_ceases_to_take_work_is_told_at_once(self, change):
        peer = viewsender.Peer(near=False)
        peer.due([view()], KEPT, FAR, 0.0)
        assert len(peer.due([view(**change)], KEPT, FAR, 0.25).views) == 1

    def test_living_home_says_so(self):
        peer = viewsender.Peer(near=False)
        peer.due([view()], KEPT, FAR, 0.0)
        assert peer.due([view()], KEPT, FAR, FAR.alive_s) == viewsender.Due([], [])

    def test_hosts_hear_less_often_the_more_there_are(self):
        assert viewsender.far_tier(4).change_s < 0.5
        assert viewsender.far_tier(360).change_s > 20.0
