"""Requests and answers of every form that one entry host has another one serve."""

import hypothesis
import pytest
from hypothesis import strategies

import formfleet
import httpforms
import platformsystem


def relays(fleet, node):
    """Send a request; return whether the other host served any."""
    with fleet.connect() as caller:
        fleet.probe(caller)
    return any(entry.get("relayed_by") for entry in node.events("request"))


@pytest.fixture(scope="module")
def relaying_fleet(tmp_path_factory):
    """Run a system whose first entry host reaches no server and has the second one serve."""
    with formfleet.running_fleet(tmp_path_factory.mktemp("platform"), 2) as started:
        first = started.system.entries[0]
        first.partition("reset and refuse")
        platformsystem.wait_for(lambda: relays(started, first), "a relayed request")
        yield started


@formfleet.seeded
@hypothesis.settings(formfleet.SETTINGS, max_examples=formfleet.RELAYED_EXAMPLES)
@hypothesis.given(
    drawn=strategies.lists(httpforms.exchanges(), min_size=1, max_size=formfleet.MAX_PIPELINED),
    at_once=strategies.booleans(),
)
def test_a_relayed_request_has_one_whole_answer_or_a_visible_break(relaying_fleet, drawn, at_once):
    formfleet.check_connection(relaying_fleet, drawn, at_once)
