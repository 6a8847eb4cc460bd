"""Configuration items: cutting, joining and growing only forward."""

from ebonywheel import configuration, documents, messages

TEXT = """
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


def parsed():
    return documents.parse(TEXT, "trial.toml").unwrap()


def items_at(index):
    return [
        messages.ConfigItem(key, index, value)
        for key, value in configuration.split_document("trial", parsed()).items()
    ]


class TestItems:
    def test_document_survives_cutting_and_joining(self):
        items = configuration.split_document("trial", parsed())
        assert configuration.join_document("trial", items) == parsed()


class TestStore:
    def test_older_index_is_ignored(self):
        store = configuration.ConfigurationStore("trial")
        store.update(5, items_at(5), full=True)
        store.update(4, [], full=True)
        assert store.current.index == 5
        assert store.current.document == parsed()

    def test_removed_item_disappears(self):
        store = configuration.ConfigurationStore("trial")
        key = configuration.out_key("trial", "puget")
        store.update(1, [messages.ConfigItem(key, 1, b"{}")], full=False)
        assert store.current.out == {"puget"}
        store.update(2, [messages.ConfigItem(key, 2, removed=True)], full=False)
        assert store.current.out == set()
