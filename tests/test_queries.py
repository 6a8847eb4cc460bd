"""The operators' status: what the leader cannot know counts against a change in force."""

import msgspec

from ebonywheel import queries
from test_feedserver import confirm, lease, make_server


def read_status(server):
    consensus = server.consensus
    consensus.core = server.core
    consensus.members = []
    consensus.leader_host = lambda: "control-1"
    status = queries.Queries(consensus, server.machine, server, None).answer("status", {})
    return msgspec.json.decode(msgspec.json.encode(status))


class TestStatus:
    def test_host_that_a_new_leader_has_not_heard_counts_as_behind(self):
        server = make_server()
        confirm(server, lease("entry-1", have=7), lease("entry-2", have=7))
        assert [host["have"] for host in read_status(server)["entry_hosts"]] == [7, 7]
        server.consensus.store.vote.term = 2
        confirm(server, lease("entry-2", have=7))
        heard = {host["host"]: host["have"] for host in read_status(server)["entry_hosts"]}
        assert heard == {"entry-1": 0, "entry-2": 7}
