"""The platform adapter's decoding: typed values, and clear errors for malformed input."""

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


def decode_manifest(change=lambda content: None):
    content = copy.deepcopy(MANIFEST)
    change(content)
    return manifest.decode(json.dumps(content).encode())


class TestManifest:
    def test_fields_become_typed_values(self):
        table = decode_manifest().unwrap()
        route = table.match("A.example", "/plan/2f")
        assert route.kind is routes.RouteKind.STREAM
        assert (route.timeout_s, route.target_latency_s, route.max_gap_s) == (5.0, 0.5, 0.18)
        assert route.splits == (("plan", 90),)
        assert route.regions == {"puget"}
        assert table.services["plan"].engine.memory_tokens == 34000
        assert table.customers["key-1"].name == "grower"
        assert table.limits == routes.CallerLimits(16384, 100000, 3.0, 15.0)

    def test_no_key_is_required_without_customers(self):
        assert decode_manifest(lambda content: content.pop("tenants")).unwrap().customers is None

    def test_unknown_fields_are_ignored(self):
        assert decode_manifest(lambda content: content["routes"][0].update(later=[1])).is_ok()

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
    def test_an_invalid_manifest_is_refused_with_the_reason(self, change, text):
        match decode_manifest(change):
            case result.Err(error):
                assert text in str(error)
            case result.Ok(_):
                pytest.fail("accepted")

    @pytest.mark.parametrize("content", [b"", b"{", b"[]", b"\xff\xfe", b'{"version": "7"}'])
    def test_content_that_cannot_be_decoded_is_refused(self, content):
        assert manifest.decode(content).is_err()

    def test_compressing_and_decompressing_keeps_the_content(self):
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
    def test_a_report_with_an_invalid_value_is_refused(self, change):
        assert reports.decode("i-1", json.dumps({**REPORT, **change}).encode()).is_err()

    @pytest.mark.parametrize(
        ("version", "software"),
        [("v2", "v2"), ("", ""), (2, ""), (None, ""), (["v2"], ""), ("v\n2", ""), ("v" * 300, "")],
    )
    def test_a_version_that_is_none_counts_as_left_out(self, version, software):
        record = reports.decode("i-1", json.dumps({**REPORT, "version": version}).encode())
        assert record.unwrap().software == software

    def test_a_report_need_not_state_a_version(self):
        assert not reports.decode("i-1", json.dumps(REPORT).encode()).unwrap().software

    @pytest.mark.parametrize("missing", ["service", "address", "zone", "state", "sequence"])
    def test_a_report_without_a_field_is_refused(self, missing):
        incomplete = {name: value for name, value in REPORT.items() if name != missing}
        assert reports.decode("i-1", json.dumps(incomplete).encode()).is_err()


def make_request(**headers):
    fields = [("host", "a.example"), ("x-attempt-id", "a1"), *headers.items()]
    fields = [(name.replace("_", "-"), value) for name, value in fields]
    return http.Request("POST", "/p/1", {}, dict(fields), b"", "caller", "q=1", fields)


class TestDialect:
    platform_dialect = language.PlatformDialect()

    def test_token_counts_and_deadline_are_decoded(self):
        caller_request = self.platform_dialect.decode_request(
            make_request(x_token_counts="1460,80", x_length_hint="60", x_deadline_ms="1500")
        )
        assert caller_request.prompt == dialect.Prompt(1460, 80, 60)
        assert (caller_request.caller_timeout_s, caller_request.target) == (1.5, "/p/1?q=1")

    def test_malformed_token_counts_are_read_as_zero(self):
        caller_request = self.platform_dialect.decode_request(make_request(x_token_counts="many"))
        assert caller_request.prompt == dialect.Prompt(0, 0, 0)

    @pytest.mark.parametrize(
        ("text", "shared_parts"),
        [
            ("5c1e:800,91BD:410,e440:250", ("5c1e", "91bd")),
            ("5c1e:800", ()),
            ("", ()),
            (" 5c1e : 800 , , 91bd,e440:250", ("5c1e", "91bd")),
        ],
    )
    def test_all_parts_of_a_prompt_but_the_last_are_decoded(self, text, shared_parts):
        request = make_request(x_token_counts="1460,80", x_prompt_prefix=text)
        prompt = self.platform_dialect.decode_request(request).prompt
        assert prompt.shared_parts == shared_parts

    def test_the_number_of_decoded_parts_is_bounded(self):
        text = ",".join(f"{number:x}:1" for number in range(1000))
        request = make_request(x_token_counts="1460,80", x_prompt_prefix=text)
        prompt = self.platform_dialect.decode_request(request).prompt
        assert len(prompt.shared_parts) == language.MAX_SHARED_PARTS

    @pytest.mark.parametrize("text", ["", "soon", "1.2.3"])
    def test_a_malformed_deadline_is_refused(self, text):
        with pytest.raises(exceptions.HttpError):
            self.platform_dialect.decode_request(make_request(x_deadline_ms=text))

    def test_headers_that_only_the_system_sets_are_dropped(self):
        caller_request = self.platform_dialect.decode_request(
            make_request(
                x_kv_backup="1", kv_from="2", x_pin_ms="3", connection="close", x_note="kept"
            )
        )
        names = {name for name, _ in caller_request.headers}
        assert names == {"host", "x-attempt-id", "x-note"}

    def test_a_resumed_request_names_its_copy_and_last_event(self):
        caller_request = self.platform_dialect.decode_request(make_request(last_event_id="1"))
        resume = dialect.Resume("10.0.0.9:80", "h1", "42")
        fields = self.platform_dialect.encode_headers(
            caller_request, dialect.Sending("s", "", 2.0, 3, resume)
        )
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
    def test_only_a_marked_or_misdirected_answer_counts_as_not_run(self, status, headers, not_run):
        answer = self.platform_dialect.decode_answer(
            httpclient.ResponseHead(status, list(headers.items()))
        )
        assert answer.not_run is not_run

    def test_load_and_keep_alive_are_decoded(self):
        headers = {"x-server-load": "3, 0,8", "keep-alive": "max=9, timeout=5"}
        answer = self.platform_dialect.decode_answer(
            httpclient.ResponseHead(200, list(headers.items()))
        )
        assert answer.load == dialect.ServerLoad(3, 0, 8)
        assert answer.keep_alive_s == 5.0

    @pytest.mark.parametrize(
        ("text", "load"),
        [
            ("3,0,8,140", dialect.ServerLoad(3, 0, 8, 1.4)),
            ("3,0,8, 100", dialect.ServerLoad(3, 0, 8, 1.0)),
            ("3,0,8,0", dialect.ServerLoad(3, 0, 8)),
            ("3,0,8,-5", dialect.ServerLoad(3, 0, 8)),
            ("3,0,8,nan", dialect.ServerLoad(3, 0, 8)),
            ("3,0,8,", dialect.ServerLoad(3, 0, 8)),
            ("3,0,8,99999999999999999999", dialect.ServerLoad(3, 0, 8)),
            ("3,0", None),
            ("3,0,8,140,1", None),
        ],
    )
    def test_the_time_that_work_takes_is_decoded(self, text, load):
        head = httpclient.ResponseHead(200, [("x-server-load", text)])
        assert self.platform_dialect.decode_answer(head).load == load

    @pytest.mark.parametrize(
        ("text", "limit_per_s"),
        [
            ("2.5", 2.5),
            ("0", 0.0),
            ("3", 3.0),
            ("-1", None),
            ("nan", None),
            ("inf", None),
            ("x", None),
        ],
    )
    def test_the_limit_of_a_server_is_decoded(self, text, limit_per_s):
        head = httpclient.ResponseHead(200, [("server-limit", text)])
        assert self.platform_dialect.decode_answer(head).limit_per_s == limit_per_s

    def test_a_server_need_not_state_a_limit(self):
        head = httpclient.ResponseHead(200, [])
        assert self.platform_dialect.decode_answer(head).limit_per_s is None

    def test_an_engines_report_is_decoded(self):
        body = {
            "queued": 1,
            "running": 2,
            "kv-used": 10,
            "kv-total": 20,
            "leaves_ms": 900,
            "runs": [["a1", 3000, 12, 1]],
        }
        report = self.platform_dialect.decode_report(200, json.dumps(body).encode())
        assert report.shutdown_in_s == 0.9
        assert report.runs == [dialect.EngineRun("a1", 3000, 12)]
        assert self.platform_dialect.decode_report(200, b"{") is None
        assert self.platform_dialect.decode_report(503, b"{}") is None

    def test_the_result_of_a_copy_is_decoded(self):
        assert self.platform_dialect.decode_copy(200, b'{"handle":"h"}') == dialect.CopyResult(
            True, "h", False
        )
        assert self.platform_dialect.decode_copy(503, b'{"handle":"h"}').handle == "h"
        assert self.platform_dialect.decode_copy(404, b"").run_not_found

    # Guards against a run that is handed over to a copy that nothing names, and is lost there,
    # although an earlier copy could be used.
    @pytest.mark.parametrize("body", [b"", b"{}", b"[]", b'{"handle":""}', b'{"handle":7}', b"{"])
    def test_a_copy_without_a_handle_is_none(self, body):
        result = self.platform_dialect.decode_copy(200, body)
        assert not result.complete
        assert not result.ends_run()


@pytest.fixture
def boot_file(tmp_path):
    """A control host's settings file."""
    node = platformsystem.Node(tmp_path, "control", 1, "puget-a")
    seeds = [f"127.0.1.{number}:18748" for number in (1, 2, 3)]
    node.write_settings(seeds, True)
    return node.folder / "boot.toml"


class TestBoot:
    def test_a_seed_forms_the_cluster_and_others_join(self, boot_file):
        loaded = boot.load(str(boot_file)).unwrap()
        assert not boot.control_settings(loaded).join
        assert [peer.link for peer in boot.control_settings(loaded).peers] == [
            "127.0.1.1:17200",
            "127.0.1.2:17200",
            "127.0.1.3:17200",
        ]
        loaded.ip = "127.0.1.9"
        assert boot.control_settings(loaded).join

    def test_a_seed_joins_after_the_first_start(self, boot_file):
        loaded = boot.load(str(boot_file)).unwrap()
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
    def test_an_invalid_value_is_named(self, boot_file, old, new, text):
        boot_file.write_text(boot_file.read_text().replace(old, new))
        match boot.load(str(boot_file)):
            case result.Err(error):
                assert text in str(error) and str(boot_file) in str(error)
            case result.Ok(_):
                pytest.fail("accepted")

    def test_a_missing_file_is_named(self, tmp_path):
        assert "boot.toml" in str(boot.load(str(tmp_path / "boot.toml")).unwrap_err())


# Invalid settings: the key whose line is replaced, the new line, alternative texts of the error.
INVALID_SETTINGS = [
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
    def run_check(self, boot_file, capsys):
        status = programs.main(["check", str(boot_file)])
        return status, "".join(capsys.readouterr())

    def test_a_valid_file_is_accepted(self, boot_file, capsys):
        assert self.run_check(boot_file, capsys) == (0, f"{boot_file}: settings are valid\n")

    @pytest.mark.parametrize(("key", "line", "expected"), INVALID_SETTINGS)
    def test_an_invalid_file_is_reported_with_its_key(self, boot_file, capsys, key, line, expected):
        lines = boot_file.read_text().splitlines()
        changed = [line if old.startswith(f"{key} =") else old for old in lines]
        assert changed != lines
        boot_file.write_text("\n".join(changed))
        status, text = self.run_check(boot_file, capsys)
        assert status == 2 and str(boot_file) in text
        assert any(part in text for part in expected.split("|"))

    def test_a_missing_file_is_named(self, tmp_path, capsys):
        status, text = self.run_check(tmp_path / "none.toml", capsys)
        assert status == 2 and "none.toml" in text
