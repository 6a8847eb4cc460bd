"""Tests of the operators' HTTP interface, with control hosts as real processes."""

import pytest

from cluster import Cluster
from test_configuration import DOCUMENT_TEXT

DOCUMENT = DOCUMENT_TEXT.replace('environment = "trial"', 'environment = "production"')


@pytest.fixture(scope="module")
def cluster(tmp_path_factory):
    with Cluster(tmp_path_factory.mktemp("control"), entries=0).start() as started:
        started.wait_for_leader()
        yield started


class TestOperations:
    def test_second_change_with_the_same_base_conflicts(self, cluster):
        first = cluster.apply(DOCUMENT)
        assert (first.status, first.json()["revision"]) == (200, 1)
        second = cluster.apply(DOCUMENT)
        assert second.status == 409
        assert second.json()["winner"] == "ann"

    def test_resend_through_another_host_gets_the_first_answer(self, cluster):
        command = {
            "type": "SetDataCentre",
            "operation": "op-out-1",
            "environment": "production",
            "data_centre": "puget",
            "out": True,
            "base": 1,
        }
        answers = [cluster.operate(command, host) for host in cluster.controls]
        assert {answer.body for answer in answers} == {answers[0].body}
        assert answers[0].json()["revision"] == 2

    def test_reused_operation_id_is_refused(self, cluster):
        command = {
            "type": "SetDataCentre",
            "operation": "op-out-1",
            "environment": "production",
            "data_centre": "puget",
            "out": False,
            "base": 2,
        }
        answer = cluster.operate(command)
        assert (answer.status, answer.json()["code"]) == (422, "operation_reused")

    def test_unknown_operator_is_refused(self, cluster):
        answer = cluster.operate({"type": "SetDataCentre"}, operator="eve")
        assert answer.status == 401
