"""Configuration items: splitting a document, and updates that never revert."""

import msgspec
import pytest

from ebonywheel import configuration, documents, messages

DOCUMENT_TEXT = """
environment = "trial"
[regions]
puget = "north"
[engines.planner]
cold_slots = 2
warm_slots = 8
[services.plan]
kind = "stream"
engine = "planner"
[priorities]
normal = 10
[customers.orchard]
key_sha256 = "KEY_DIGEST"
priority = "normal"
services = ["plan"]
""".replace("KEY_DIGEST", documents.key_digest("orchard-key"))


def parse_document():
    return documents.parse(DOCUMENT_TEXT, "trial.toml").unwrap()


def document_items(index):
    return [
        messages.ConfigItem(key, index, value)
        for key, value in configuration.split_document("trial", parse_document()).items()
    ]


class TestItems:
    def test_split_document_is_rebuilt_from_its_items(self):
        store = configuration.ConfigurationStore("trial")
        assert store.update(1, document_items(1), full=True).document == parse_document()


class TestStore:
    def test_older_index_is_ignored(self):
        store = configuration.ConfigurationStore("trial")
        store.update(5, document_items(5), full=True)
        store.update(4, [], full=True)
        assert store.current.index == 5
        assert store.current.document == parse_document()

    def test_removed_item_is_deleted(self):
        store = configuration.ConfigurationStore("trial")
        key = configuration.out_key("trial", "puget")
        store.update(1, [messages.ConfigItem(key, 1, b"{}")], full=False)
        assert store.current.out == {"puget"}
        store.update(2, [messages.ConfigItem(key, 2, removed=True)], full=False)
        assert store.current.out == set()

    def test_update_does_not_modify_the_previous_configuration(self):
        store = configuration.ConfigurationStore("trial")
        before = store.update(1, document_items(1), full=True)
        key = "trial/document/customers/orchard"
        after = store.update(2, [messages.ConfigItem(key, 2, removed=True)], full=False)
        assert "orchard" in before.document.customers
        assert after.document.customers == {}
        assert after.document.engines is before.document.engines

    def test_item_of_a_newer_version_changes_nothing(self):
        store = configuration.ConfigurationStore("trial")
        before = store.update(1, document_items(1), full=True)
        newer = messages.ConfigItem("trial/document/engines/planner", 2, b'{"colour": "red"}')
        revision = messages.ConfigItem("trial/revision", 2, b"2")
        with pytest.raises(msgspec.ValidationError):
            store.update(2, [revision, newer], full=False)
        assert store.current is before
