"""Lookup of customers by API key."""

import msgspec

from ebonywheel import customers, documents
from test_configuration import parse_document


def make_document(count):
    document = parse_document()
    template = document.customers["orchard"]
    for number in range(count):
        digest = documents.key_digest(f"key-{number}")
        document.customers[f"farm-{number}"] = msgspec.structs.replace(template, key_sha256=digest)
    return document


class TestFind:
    def test_key_finds_only_its_own_customer(self):
        index, document = customers.CustomerIndex(), make_document(100)
        found_names = [index.find(document, f"key-{number}") for number in range(100)]
        assert found_names == [f"farm-{number}" for number in range(100)]
        for unknown_key in ("", "key-100", documents.key_digest("key-1")):
            assert index.find(document, unknown_key) is None

    def test_index_is_rebuilt_for_a_new_document(self):
        index = customers.CustomerIndex()
        assert index.find(make_document(1), "key-0") == "farm-0"
        assert index.find(make_document(0), "key-0") is None
