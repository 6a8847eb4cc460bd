"""Lookup of customers by API key."""

import hmac

from ebonywheel import documents


class CustomerIndex:
    """Maps key digests to customer names; rebuilt whenever the document changes."""

    def __init__(self):
        self.document: documents.Document | None = None
        self.names_by_digest: dict[str, str] = {}

    def find(self, document: documents.Document, key: str) -> str | None:
        """Return the name of the customer with this key, or None.

        The lookup uses the key's digest, so its timing reveals nothing about the keys. The digest
        found is compared in constant time.
        """
        if document is not self.document:
            self.names_by_digest = {
                customer.key_sha256: name for name, customer in document.customers.items()
            }
            self.document = document
        digest = documents.key_digest(key)
        name = self.names_by_digest.get(digest)
        if name is None or not hmac.compare_digest(document.customers[name].key_sha256, digest):
            return None
        return name
