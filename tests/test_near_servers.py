"""A region whose servers have all ended does not hold its requests back."""

from ebonywheel import choices, messages, policies


def known(name, region, limit):
    return choices.Known(messages.ServerView(messages.ServerState(name), limit=limit), region, 1.0)


class TestChoose:
    def test_server_that_ended_does_not_count_as_near(self):
        servers = [known("dead", "north", 0), known("far", "south", 2)]
        job = policies.Job("plan", "orchard", 1, region="north")
        policy = policies.LengthAware()
        found = choices.choose(policy, choices.RecentChanges(), job, servers, True)
        assert [candidate.view.state.server for candidate in found] == ["far"]
