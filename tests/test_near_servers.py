"""Tests that requests go to other regions when all servers of their own region have ended."""

from ebonywheel import choices, messages, policies


def known(name, region, limit):
    return choices.KnownView(
        messages.ServerView(messages.ServerState(name), limit=limit), region, 1.0
    )


class TestChoose:
    def test_ended_server_does_not_keep_requests_in_its_region(self):
        servers = [known("dead", "north", 0), known("far", "south", 2)]
        job = policies.Job("plan", "orchard", 1, region="north")
        policy = policies.LengthAware()
        found = choices.choose(policy, choices.RecentChanges(), job, servers, True)
        assert [candidate.view.state.server for candidate in found] == ["far"]
