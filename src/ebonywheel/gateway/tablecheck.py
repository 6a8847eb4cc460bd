"""Entries of valid routing content that can never be used, and contradictory limits."""

import collections.abc

import msgspec

from ebonywheel import documentdiff, findings
from ebonywheel.gateway import routes

Findings = collections.abc.Iterator[findings.Finding]


def find(
    table: routes.Table, regions: collections.abc.Set[str] | None = None
) -> list[findings.Finding]:
    """Return what is doubtful in a routing table.

    Args:
        table: The table.
        regions: Regions that have data centres, None if they are not known.
    """
    found = []
    for route in _routes(table):
        found += _host(route)
        found += _regions(f"routes.{route.name}.regions", route.regions, regions)
        found += _times(route)
        found += _customers(route, table)
    for service in table.services.values():
        found += _service(service, table)
    for customer in _customer_by_name(table).values():
        place = f"customers.{customer.name}.regions"
        found += _regions(place, customer.regions, regions)
    return found


def compare(old: routes.Table | None, new: routes.Table) -> list[documentdiff.EntryChange]:
    """Return the entries in which two tables differ; keys of customers are not shown."""
    return documentdiff.compare_entries({} if old is None else _entries(old), _entries(new))


def _entries(table: routes.Table) -> dict[str, object]:
    entries: dict[str, object] = {"limits": _plain(table.limits)}
    for route in _routes(table):
        entries[f"routes.{route.name}"] = _plain(route)
    for service in table.services.values():
        entries[f"services.{service.name}"] = _plain(service)
    for customer in _customer_by_name(table).values():
        entries[f"customers.{customer.name}"] = _plain(customer)
    return entries


def _plain(value: msgspec.Struct) -> object:
    return msgspec.to_builtins(value, order="deterministic")


def _routes(table: routes.Table) -> collections.abc.Iterator[routes.Route]:
    for by_prefix in table.routes_by_host.values():
        yield from by_prefix.values()


def _customer_by_name(table: routes.Table) -> dict[str, routes.Customer]:
    return {customer.name: customer for customer in (table.customers or {}).values()}


def _host(route: routes.Route) -> Findings:
    name = route.host.partition(":")[0]
    if not route.host or name != route.host or any(char.isspace() for char in route.host):
        yield findings.Finding(
            f"routes.{route.name}.host",
            "no request can name this host",
            "a host name without a port",
            repr(route.host),
        )


def _regions(
    place: str, allowed: frozenset[str], known: collections.abc.Set[str] | None
) -> Findings:
    if known is None or not allowed:
        return
    unknown = sorted(allowed - known)
    if len(unknown) == len(allowed):
        yield findings.Finding(
            place,
            "no data centre is in them, so no server may serve it",
            f"some of {', '.join(sorted(known))}",
            ", ".join(unknown),
        )
    elif unknown:
        yield findings.Finding(place, f"no data centre is in {', '.join(unknown)}")


def _times(route: routes.Route) -> Findings:
    for field, text in (
        ("target_latency_s", "an answer in time would come after the time-out"),
        ("max_gap_s", "a pause within the target would be longer than the time-out"),
    ):
        target_s = getattr(route, field)
        if target_s > route.timeout_s:
            yield findings.Finding(
                f"routes.{route.name}.{field}", text, f"at most {route.timeout_s}", str(target_s)
            )
    if route.max_servers > 1 and route.kind is not routes.RouteKind.IDEMPOTENT:
        yield findings.Finding(
            f"routes.{route.name}.max_servers",
            "its requests may run once at most",
            "1",
            str(route.max_servers),
        )


def _customers(route: routes.Route, table: routes.Table) -> Findings:
    if table.customers is None or route.allows_anonymous:
        return
    customers = _customer_by_name(table).values()
    if not customers:
        yield findings.Finding(f"routes.{route.name}", "no customer has a key for it")
    elif route.regions and all(
        customer.regions and not customer.regions & route.regions for customer in customers
    ):
        yield findings.Finding(
            f"routes.{route.name}.regions", "no customer may be served in any of them"
        )


def _service(service: routes.Service, table: routes.Table) -> Findings:
    used = {name for route in _routes(table) for name, _ in route.splits}
    if service.name not in used:
        yield findings.Finding(f"services.{service.name}", "no route leads to it")
    engine = service.engine
    if engine is None:
        return
    if engine.memory_tokens and engine.slots > engine.memory_tokens:
        yield findings.Finding(
            f"services.{service.name}.engine.slots",
            "the memory does not hold one token for each",
            f"at most {engine.memory_tokens}",
            str(engine.slots),
        )
    if service.max_connections and service.max_connections < engine.slots:
        yield findings.Finding(
            f"services.{service.name}.max_connections",
            "its slots cannot all be used",
            f"at least {engine.slots}",
            str(service.max_connections),
        )
    if engine.supports_moves and not engine.link_bits_per_s:
        yield findings.Finding(
            f"services.{service.name}.engine.link_bits_per_s",
            "copies of runs need a link",
            "more than 0",
            "0",
        )
