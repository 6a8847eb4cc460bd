"""Check of a configuration before it is sent: what can never be used, contradicts, or differs."""

import json
import subprocess
import sys

import msgspec
import pytest

from cluster import example
from ebonywheel import documentlint, documents
from ebonywheel.gateway import routes, tablecheck
from ebonywheel_platform import manifest, manifestcheck

EXIT_BAD_INPUT = 3


def places(found):
    return {finding.place for finding in found}


def document(**changes):
    parsed = documents.parse(example("cooperative"), "example").unwrap()
    return msgspec.structs.replace(parsed, **changes)


class TestDocuments:
    def test_a_sound_document_has_no_findings(self):
        assert documentlint.find(document()) == []

    def test_entries_without_a_user(self):
        engines = document().engines | {"spare": documents.Engine(1, 2)}
        priorities = document().priorities | {"idle": 1}
        found = documentlint.find(document(engines=engines, priorities=priorities))
        assert places(found) == {"engines.spare", "priorities.idle"}

    def test_a_call_that_stands_twice_never_matches(self):
        rota = document().services["rota"]
        twice = msgspec.structs.replace(rota, calls=[*rota.calls, rota.calls[0]])
        found = documentlint.find(document(services=document().services | {"rota": twice}))
        assert places(found) == {"services.rota.calls"}

    @pytest.mark.parametrize(
        ("retries", "place"),
        [
            (documents.Retries(budget=0.0, attempts=3), "retries.attempts"),
            (documents.Retries(budget=0.1, attempts=1), "retries.budget"),
        ],
    )
    def test_attempts_and_budget_that_contradict_each_other(self, retries, place):
        assert places(documentlint.find(document(retries=retries))) == {place}

    def test_more_cold_than_warm_slots(self):
        engines = document().engines | {"planner": documents.Engine(9, 8)}
        (finding,) = documentlint.find(document(engines=engines))
        assert finding.line().endswith("expected at most 8, found 9")


ROUTE = {
    "name": "plan",
    "host": "a.example",
    "path-prefix": "/plan/",
    "kind": "streaming",
    "timeout-ms": 6000,
    "target-latency-ms": 1500,
    "service": "model",
}
MODEL = {"name": "model", "max-connections": 90}


def content(**route):
    return {
        "version": 7,
        "routes": [ROUTE | route],
        "services": [MODEL],
        "tenants": [{"name": "press", "api-keys": ["key"]}],
    }


def check(tmp_path, value, *options):
    file = tmp_path / "manifest.json"
    file.write_text(value if isinstance(value, str) else json.dumps(value))
    return manifestcheck.check(str(file), *options)


class TestManifests:
    def test_a_sound_manifest_has_no_findings(self, tmp_path):
        checked = check(tmp_path, content())
        assert (checked.error, checked.doubts) == ("", [])

    @pytest.mark.parametrize(
        ("route", "place"),
        [
            ({"host": "a.example:80"}, "routes.plan.host"),
            ({"target-latency-ms": 7000}, "routes.plan.target-latency-ms"),
            ({"gap-target-ms": 9000}, "routes.plan.gap-target-ms"),
            ({"max-attempts": 2}, "routes.plan.max-attempts"),
            (
                {
                    "service": "",
                    "traffic-split": [
                        {"service": "model", "weight": 1},
                        {"service": "model", "weight": 0},
                    ],
                },
                "routes.plan.traffic-split",
            ),
        ],
    )
    def test_what_can_never_be_used_or_contradicts(self, tmp_path, route, place):
        checked = check(tmp_path, content(**route))
        assert checked.error == ""
        assert places(checked.doubts) == {place}

    def test_customers_without_a_key(self, tmp_path):
        value = content() | {"tenants": [{"name": "press", "api-keys": []}]}
        assert "tenants.press" in places(check(tmp_path, value).doubts)

    def test_a_broken_file_is_an_error_with_its_place(self, tmp_path):
        checked = check(tmp_path, content(**{"timeout-ms": 0}))
        assert "timeout-ms" in checked.error or "timeout_ms" in checked.error
        assert "routes" in checked.error

    def test_what_differs_from_the_version_in_force(self, tmp_path):
        in_force = tmp_path / "in-force.json"
        in_force.write_text(json.dumps(content()))
        value = content(**{"timeout-ms": 7000}) | {"version": 8}
        checked = check(tmp_path, value, "", str(in_force))
        assert checked.in_force == 7
        (change,) = checked.changes
        assert (change.place, change.fields) == ("routes.plan", {"timeout_s": ["6.0", "7.0"]})

    def test_the_command_prints_json_and_an_exit_code(self, tmp_path):
        file = tmp_path / "manifest.json"
        file.write_text("{")
        command = [sys.executable, "platform/run.py", "check-manifest", str(file), "--json"]
        finished = subprocess.run(command, capture_output=True, text=True)
        assert finished.returncode == EXIT_BAD_INPUT
        assert json.loads(finished.stdout)["error"]


class TestTables:
    def test_regions_that_exclude_every_server(self):
        table = manifest.decode(
            json.dumps(content(**{"allowed-regions": ["norrland"]})).encode()
        ).unwrap()
        assert places(tablecheck.find(table, {"puget"})) == {"routes.plan.regions"}
        assert tablecheck.find(table) == []

    def test_a_route_whose_customers_may_be_served_nowhere(self):
        value = content(**{"allowed-regions": ["puget"]})
        value["tenants"][0]["allowed-regions"] = ["yakima"]
        table = manifest.decode(json.dumps(value).encode()).unwrap()
        assert "routes.plan.regions" in places(tablecheck.find(table))

    def test_a_service_to_which_no_route_leads(self):
        table = routes.Table(1, [], {"idle": routes.Service("idle")}, None, None)
        assert places(tablecheck.find(table)) == {"services.idle"}
