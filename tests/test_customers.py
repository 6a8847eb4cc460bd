"""Customers found by the digest of their key."""

import msgspec

from ebonywheel import customers, documents
from test_configuration import parse_document


def with_customers(count):
    document = parse_document()
    one = document.customers["orchard"]
    for number in range(count):
        digest = documents.key_digest(f"key-{number}")
        document.customers[f"farm-{number}"] = msgspec.structs.replace(one, key_sha256=digest)
    return document


class TestFind:
    def test_each_key_finds_its_customer_and_no_other(self):
        index, document = customers.CustomerIndex(), with_customers(100)
        found = [index.find(document, f"key-{number}") for number in range(100)]
        assert found == [f"farm-{number}" for number in range(100)]
        for wrong in ("", "key-100", documents.key_digest("key-1")):
            assert index.find(document, wrong) is None

    def test_new_document_replaces_the_old_one(self):
        index = customers.CustomerIndex()
        assert index.find(with_customers(1), "key-0") == "farm-0"
        assert index.find(with_customers(0), "key-0") is None
