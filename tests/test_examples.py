"""The examples are valid; both users' documents have 3 regions and 10 customers, as required."""

import pathlib

import pytest

from ebonywheel import documents, settings

EXAMPLES = pathlib.Path(__file__).parent.parent / "examples"


class TestDocuments:
    @pytest.mark.parametrize("name", ["cooperative", "kommunalforbund"])
    def test_document_is_valid(self, name):
        path = EXAMPLES / f"{name}.toml"
        document = documents.parse(path.read_text(), path.name).unwrap()
        assert (len(document.regions), len(document.customers)) == (3, 10)


class TestSettings:
    @pytest.mark.parametrize(
        ("name", "kind"),
        [
            ("control", settings.ControlSettings),
            ("entry", settings.EntrySettings),
            ("operator", settings.OperatorSettings),
        ],
    )
    def test_settings_are_valid(self, name, kind):
        assert settings.load(str(EXAMPLES / "settings" / f"{name}.toml"), kind).is_ok()
