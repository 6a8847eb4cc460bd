"""scripts/check_names.py finds names of the platform, and imports of its adapter, in src/."""

import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent / "scripts"))

import check_names  # noqa: E402


def test_the_source_has_no_platform_names():
    assert check_names.find_faults(check_names.ROOT / "src", check_names.platform_names()) == []


def test_a_platform_name_is_found(tmp_path):
    (tmp_path / "module.py").write_text('HEADER = "X-Attempt-Id"\n')
    (faults,) = check_names.find_faults(tmp_path, check_names.platform_names())
    assert "x-attempt-id" in faults


def test_an_import_of_the_adapter_is_found(tmp_path):
    (tmp_path / "module.py").write_text("from ebonywheel_platform import names\n")
    assert check_names.find_faults(tmp_path, check_names.platform_names())


def test_the_adapter_stays_small():
    lines = [
        line
        for path in check_names.ADAPTER.rglob("*.py")
        for line in path.read_text().splitlines()
        if line.strip()
    ]
    assert len(lines) <= 1500
