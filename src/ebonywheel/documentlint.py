"""Entries of a valid document that can never be used, and limits that contradict each other."""

import collections.abc

import msgspec

from ebonywheel import documentdiff, documents, findings

Findings = collections.abc.Iterator[findings.Finding]


class CheckedDocument(msgspec.Struct):
    """Result of the check of one document file.

    Attributes:
        error: Why it is invalid, empty if it is valid.
        doubts: What is doubtful in it.
        revision: Revision that it was compared with; None without a comparison, 0 if there is none.
        changes: In what it differs from that revision.
    """

    path: str
    error: str = ""
    doubts: list[findings.Finding] = []
    revision: int | None = None
    changes: list[documentdiff.EntryChange] = []


def find(document: documents.Document) -> list[findings.Finding]:
    """Return what is doubtful in a document."""
    return [
        *_unused(document),
        *_engines(document),
        *_services(document),
        *_retries(document.retries),
    ]


def _unused(document: documents.Document) -> Findings:
    engines = {service.engine for service in document.services.values()}
    priorities = {customer.priority for customer in document.customers.values()}
    services = {name for customer in document.customers.values() for name in customer.services}
    for section, names, used, users in (
        ("engines", document.engines, engines, "service"),
        ("priorities", document.priorities, priorities, "customer"),
        ("services", document.services, services, "customer"),
    ):
        for name in names:
            if name not in used:
                yield findings.Finding(f"{section}.{name}", f"no {users} uses it")
    for name, customer in document.customers.items():
        if not customer.services:
            yield findings.Finding(f"customers.{name}.services", "it may use no service")
    if not document.regions:
        yield findings.Finding("regions", "there is no data centre, so no server is used")


def _engines(document: documents.Document) -> Findings:
    for name, engine in document.engines.items():
        if engine.cold_slots > engine.warm_slots:
            yield findings.Finding(
                f"engines.{name}.cold_slots",
                "a cold server would run more than a warm one",
                f"at most {engine.warm_slots}",
                str(engine.cold_slots),
            )


def _services(document: documents.Document) -> Findings:
    for name, service in document.services.items():
        seen = set()
        for call in service.calls:
            if (call.method, call.path) in seen:
                yield findings.Finding(
                    f"services.{name}.calls",
                    f"{call.method} {call.path} stands twice; the later one never matches",
                )
            seen.add((call.method, call.path))


def _retries(retries: documents.Retries) -> Findings:
    if retries.attempts > 1 and not retries.budget:
        yield findings.Finding(
            "retries.attempts",
            "no budget allows a second attempt",
            "1, or a budget above 0",
            str(retries.attempts),
        )
    if retries.attempts == 1 and retries.budget:
        yield findings.Finding(
            "retries.budget",
            "a single attempt uses no budget",
            "0, or more attempts",
            str(retries.budget),
        )
