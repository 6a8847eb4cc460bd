"""Tests of the status query: a host that the leader has not heard from counts as behind."""

import msgspec

from ebonywheel import queries
from test_feedserver import confirm, lease_request, make_server


def read_status(server):
    consensus = server.consensus
    consensus.core = server.core
    consensus.members = []
    consensus.leader_host = lambda: "control-1"
    status = queries.Queries(consensus, server.state_machine, server, None, None).answer(
        "status", {}
    )
    return msgspec.json.decode(msgspec.json.encode(status))


class TestStatus:
    def test_host_not_yet_seen_by_a_new_leader_counts_as_behind(self):
        server = make_server()
        confirm(server, lease_request("entry-1", have=7), lease_request("entry-2", have=7))
        assert [host["have"] for host in read_status(server)["entry_hosts"]] == [7, 7]
        server.consensus.store.vote.term = 2
        confirm(server, lease_request("entry-2", have=7))
        have_by_host = {host["host"]: host["have"] for host in read_status(server)["entry_hosts"]}
        assert have_by_host == {"entry-1": 0, "entry-2": 7}
