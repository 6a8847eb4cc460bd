"""The adapter's decoding: typed values, and clear errors for all that is malformed."""

import copy
import json

import pytest
import result

import platformsystem
from ebonywheel import exceptions, http, httpclient
from ebonywheel.gateway import dialect, routes
from ebonywheel_platform import boot, language, manifest, programs, reports

MANIFEST = platformsystem.manifest(
    7,
    [
        platformsystem.route("book", "/book/"),
        platformsystem.route(
            "plan",
            "/plan/",
            "streaming",
            "plan",
            **{
                "gap-target-ms": 180,
                "allowed-regions": ["puget"],
                "traffic-split": [
                    {"service": "plan", "weight": 90},
                    {"service": "book", "weight": 0},
                ],
            },
        ),
    ],
)


def decoded(change=lambda value: None):
    value = copy.deepcopy(MANIFEST)
    change(value)
    return manifest.decode(json.dumps(value).encode())


class TestManifest:
    def test_fields_become_typed_values(self):
        table = decoded().unwrap()
        route = table.match("A.example", "/plan/2f")
        assert route.kind is routes.RouteKind.STREAM
        assert (route.timeout_s, route.target_latency_s, route.max_gap_s) == (5.0, 0.5, 0.18)
        assert route.splits == (("plan", 90),)
        assert route.regions == {"puget"}
        assert table.services["plan"].engine.memory_tokens == 34000
        assert table.customers["key-1"].name == "grower"
        assert table.limits == routes.CallerLimits(16384, 100000, 3.0, 15.0)

    def test_without_customers_no_key_is_asked_for(self):
        assert decoded(lambda value: value.pop("tenants")).unwrap().customers is None

    def test_fields_that_nobody_knows_are_ignored(self):
        assert decoded(lambda value: value["routes"][0].update(later=[1])).is_ok()

    @pytest.mark.parametrize(
        ("change", "text"),
        [
            (lambda v: v["routes"][0].update(service="none"), "'none' does not exist"),
            (lambda v: v["routes"][1].update({"path-prefix": "/book/"}), "host and prefix"),
            (lambda v: v["routes"][0].update({"timeout-ms": 0}), "timeout-ms"),
            (lambda v: v["routes"][0].update({"path-prefix": "book"}), "slash"),
            (lambda v: v["routes"][0].update(kind="other"), "kind"),
            (lambda v: v["routes"][1]["traffic-split"][0].update(weight=0), "add up to 0"),
            (lambda v: v["routes"][1]["traffic-split"][0].update(weight=-1), "weight"),
            (lambda v: v["tenants"].append({"name": "b", "api-keys": ["key-1"]}), "share a key"),
            (lambda v: v["services"].append({"name": "book"}), "same name"),
            (lambda v: v.pop("version"), "version"),
            (lambda v: v.update(routes="none"), "routes"),
        ],
    )
    def test_what_is_invalid_is_refused_with_its_place(self, change, text):
        match decoded(change):
            case result.Err(error):
                assert text in str(error)
            case result.Ok(_):
                pytest.fail("accepted")

    @pytest.mark.parametrize("content", [b"", b"{", b"[]", b"\xff\xfe", b'{"version": "7"}'])
    def test_what_is_no_manifest_is_refused(self, content):
        assert manifest.decode(content).is_err()

    def test_the_stored_form_is_the_sent_one(self):
        content = json.dumps(MANIFEST).encode()
        assert manifest.decompress(manifest.compress(content)) == content
        assert manifest.decode_compressed(manifest.compress(content)).is_ok()


REPORT = {
    "service": "plan",
    "address": "10.0.0.9:8080",
    "zone": "puget-a",
    "state": "draining",
    "slots": 24,
    "cold-remaining-ms": 800,
    "sequence": 4,
    "born": 1700000000000,
}


class TestReports:
    def test_a_report_becomes_a_record(self):
        record = reports.decode("i-1", json.dumps(REPORT).encode()).unwrap()
        assert (record.server, record.born_ms, record.sequence) == ("i-1", 1700000000000, 4)
        assert (record.draining, record.data_centre, record.cold_ms) == (True, "puget-a", 800)

    @pytest.mark.parametrize(
        "change",
        [
            {"state": "resting"},
            {"sequence": -1},
            {"sequence": "4"},
            {"slots": None},
            {"address": 7},
            {"born": 1.5},
            {"cold-remaining-ms": -1},
        ],
    )
    def test_a_report_of_another_writer_is_refused(self, change):
        assert reports.decode("i-1", json.dumps({**REPORT, **change}).encode()).is_err()

    @pytest.mark.parametrize("missing", ["service", "address", "zone", "state", "sequence"])
    def test_a_report_without_a_field_is_refused(self, missing):
        rest = {name: value for name, value in REPORT.items() if name != missing}
        assert reports.decode("i-1", json.dumps(rest).encode()).is_err()


def request(**headers):
    fields = [("host", "a.example"), ("x-attempt-id", "a1"), *headers.items()]
    fields = [(name.replace("_", "-"), value) for name, value in fields]
    return http.Request("POST", "/p/1", {}, dict(fields), b"", "caller", "q=1", fields)


class TestLanguage:
    words = language.Language()

    def test_sizes_and_patience_are_read(self):
        seen = self.words.decode_request(
            request(x_token_counts="1460,80", x_length_hint="60", x_deadline_ms="1500")
        )
        assert seen.prompt == dialect.Prompt(1460, 80, 60)
        assert (seen.caller_timeout_s, seen.target) == (1.5, "/p/1?q=1")

    def test_a_malformed_size_counts_as_none(self):
        seen = self.words.decode_request(request(x_token_counts="many"))
        assert seen.prompt == dialect.Prompt(0, 0, 0)

    @pytest.mark.parametrize("text", ["", "soon", "1.2.3"])
    def test_a_malformed_patience_is_refused(self, text):
        with pytest.raises(exceptions.HttpError):
            self.words.decode_request(request(x_deadline_ms=text))

    def test_headers_that_only_the_system_sets_are_dropped(self):
        seen = self.words.decode_request(
            request(x_kv_backup="1", kv_from="2", x_pin_ms="3", connection="close", x_note="kept")
        )
        names = {name for name, _ in seen.headers}
        assert names == {"host", "x-attempt-id", "x-note"}

    def test_a_continuation_names_its_copy_and_last_event(self):
        seen = self.words.decode_request(request(last_event_id="1"))
        resume = dialect.Resume("10.0.0.9:80", "h1", "42")
        fields = self.words.encode_headers(seen, dialect.Sending("s", "", 2.0, 3, resume))
        assert ("kv-from", "10.0.0.9:80/h1") in fields
        assert [value for name, value in fields if name == "last-event-id"] == ["42"]
        assert ("x-deadline-ms", "2000") in fields and ("x-request-urgency", "3") in fields

    @pytest.mark.parametrize(
        ("status", "headers", "not_run"),
        [
            (503, {"x-not-executed": "1"}, True),
            (421, {}, True),
            (503, {}, False),
            (504, {}, False),
            (500, {}, False),
        ],
    )
    def test_only_a_promise_counts_as_not_run(self, status, headers, not_run):
        answer = self.words.decode_answer(httpclient.ResponseHead(status, headers))
        assert answer.not_run is not_run

    def test_load_and_keep_alive_are_read(self):
        headers = {"x-server-load": "3, 0,8", "keep-alive": "max=9, timeout=5"}
        answer = self.words.decode_answer(httpclient.ResponseHead(200, headers))
        assert answer.load == dialect.ServerLoad(3, 0, 8)
        assert answer.keep_alive_s == 5.0

    def test_an_engines_report_is_read(self):
        body = {
            "queued": 1,
            "running": 2,
            "kv-used": 10,
            "kv-total": 20,
            "leaves_ms": 900,
            "runs": [["a1", 3000, 12, 1]],
        }
        report = self.words.decode_report(200, json.dumps(body).encode())
        assert report.shutdown_in_s == 0.9
        assert report.runs == [dialect.EngineRun("a1", 3000, 12)]
        assert self.words.decode_report(200, b"{") is None
        assert self.words.decode_report(503, b"{}") is None

    def test_a_copy_tells_done_finished_and_its_handle(self):
        assert self.words.decode_copy(200, b'{"handle":"h"}') == dialect.CopyResult(
            True, "h", False
        )
        assert self.words.decode_copy(503, b'{"handle":"h"}').handle == "h"
        assert self.words.decode_copy(404, b"").run_not_found


@pytest.fixture
def file(tmp_path):
    """A control host's settings file."""
    node = platformsystem.Node(tmp_path, "control", 1, "puget-a")
    seeds = [f"127.0.1.{number}:18748" for number in (1, 2, 3)]
    node.write_boot(seeds, True)
    return node.folder / "boot.toml"


class TestBoot:
    def test_a_seed_forms_the_cluster_and_others_join(self, file):
        loaded = boot.load(str(file)).unwrap()
        assert not boot.control_settings(loaded).join
        assert [peer.link for peer in boot.control_settings(loaded).peers] == [
            "127.0.1.1:17200",
            "127.0.1.2:17200",
            "127.0.1.3:17200",
        ]
        loaded.ip = "127.0.1.9"
        assert boot.control_settings(loaded).join

    def test_an_empty_disk_after_the_first_start_never_forms(self, file):
        loaded = boot.load(str(file)).unwrap()
        loaded.bootstrap = False
        assert boot.control_settings(loaded).join

    @pytest.mark.parametrize(
        ("old", "new", "text"),
        [
            ("node-name =", "name =", "node-name"),
            ("internal-ports = [17200, 17215]", 'internal-ports = "17200"', "internal-ports"),
            ("bootstrap = true", 'bootstrap = "yes"', "bootstrap"),
            ("[listen]", "[listen", "line"),
        ],
    )
    def test_a_wrong_value_is_named(self, file, old, new, text):
        file.write_text(file.read_text().replace(old, new))
        match boot.load(str(file)):
            case result.Err(error):
                assert text in str(error) and str(file) in str(error)
            case result.Ok(_):
                pytest.fail("accepted")

    def test_a_missing_file_is_named(self, tmp_path):
        assert "boot.toml" in str(boot.load(str(tmp_path / "boot.toml")).unwrap_err())


# What is wrong with a settings file: the line that is replaced, by what, and what is told of it.
BROKEN = [
    ("node-name", "", "node-name"),
    ("node-name", "node-name = 7", "node-name|node_name"),
    ("ip", 'ip = "ten"', "ip: expected an IPv4 address, found 'ten'"),
    ("internal-ports", "internal-ports = [7200]", "internal-ports|internal_ports"),
    ("internal-ports", "internal-ports = [7215, 7200]", "internal-ports: expected a range"),
    ("seeds", 'seeds = "10.0.0.1:80"', "seeds"),
    ("seeds", 'seeds = ["10.0.0.1"]', "seeds: expected addresses with a port, found '10.0.0.1'"),
    ("bootstrap", 'bootstrap = "yes"', "bootstrap"),
    ("data-dir", "", "data-dir: expected a folder"),
    ("control", 'control = "here"', "listen.control: expected an address with a port"),
    (
        "retry-budget-ratio",
        "retry-budget-ratio = -0.5",
        "bounds.retry-budget-ratio: expected no negative number, found -0.5",
    ),
    ("zone", "zone = [", "zone|line"),
]


class TestCheck:
    def check(self, file, capsys):
        status = programs.main(["check", str(file)])
        return status, "".join(capsys.readouterr())

    def test_a_sound_file_is_valid(self, file, capsys):
        assert self.check(file, capsys) == (0, f"{file}: settings are valid\n")

    @pytest.mark.parametrize(("key", "line", "told"), BROKEN)
    def test_a_broken_file_is_told_with_its_key(self, file, capsys, key, line, told):
        lines = file.read_text().splitlines()
        kept = [line if each.startswith(f"{key} =") else each for each in lines]
        assert kept != lines
        file.write_text("\n".join(kept))
        status, text = self.check(file, capsys)
        assert status == 2 and str(file) in text
        assert any(part in text for part in told.split("|"))

    def test_a_file_that_is_not_there_is_named(self, tmp_path, capsys):
        status, text = self.check(tmp_path / "none.toml", capsys)
        assert status == 2 and "none.toml" in text
