"""Customers by the digest of their key."""

import hmac

from ebonywheel import documents


class CustomerIndex:
    """Finds a customer without a look at all the others; rebuilt for each new document."""

    def __init__(self):
        self.document: documents.Document | None = None
        self.names: dict[str, str] = {}

    def find(self, document: documents.Document, key: str) -> str | None:
        """Return the name of the customer with this key.

        The lookup is by digest, so its timing tells nothing of the keys themselves; the found
        entry is compared in constant time.
        """
        if document is not self.document:
            self.names = {
                customer.key_sha256: name for name, customer in document.customers.items()
            }
            self.document = document
        digest = documents.key_digest(key)
        name = self.names.get(digest)
        if name is None or not hmac.compare_digest(document.customers[name].key_sha256, digest):
            return None
        return name
