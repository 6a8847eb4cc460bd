"""Reads of the replicated state for operators, answered by the leader under its lease."""

import typing

import msgspec

from ebonywheel import auditlog, configuration, exceptions, feedserver, replica, state, statedata

AUDIT_PAGE = 1000
AUDIT_LATEST = 200


class EnvironmentStatus(msgspec.Struct):
    """One environment on the status screen."""

    revision: int
    changed_by: str
    out: list[str]
    quarantined: int


class HostStatus(msgspec.Struct):
    """One entry host on the status screen.

    Attributes:
        have: Configuration index it uses.
        seen_ms: Milliseconds since its last lease request.
        load: What it reports of itself and the backend servers that it is home to.
    """

    host: str
    environment: str
    data_centre: str
    address: str
    have: int
    seen_ms: int
    load: msgspec.Raw


class OrderStatus(msgspec.Struct):
    """The latest order to a backend server."""

    server: str
    sequence: int
    kind: str
    argument: str
    at_ms: int
    result: str


class Status(msgspec.Struct):
    """The whole status screen.

    Attributes:
        lease_ms: Longest time for which an entry host may still use an older revision.
    """

    index: int
    leader: str
    term: int
    members: list[configuration.Member]
    environments: dict[str, EnvironmentStatus]
    entry_hosts: list[HostStatus]
    orders: list[OrderStatus]
    lease_ms: int


class Queries:
    """Answers the named queries."""

    def __init__(
        self,
        consensus: replica.Replica,
        machine: state.State,
        feed: feedserver.FeedServer,
        trail: auditlog.AuditLog,
    ):
        self.consensus = consensus
        self.machine = machine
        self.feed = feed
        self.trail = trail
        self.answers: dict[str, typing.Callable[[dict[str, str]], typing.Any]] = {
            "status": self._status,
            "audit": self._audit,
            "document": self._document,
            "members": self._members,
            "quarantine": self._quarantine,
            "operation": self._operation,
        }

    def answer(self, name: str, argument: dict[str, str]) -> typing.Any:
        """Answer one query.

        Raises:
            NotLeaderError: This host may not answer reads now.
            HttpError: There is no such query, or its argument is wrong.
        """
        self.consensus.require_lease(f"read {name}")
        if name not in self.answers:
            known = ", ".join(sorted(self.answers))
            raise exceptions.HttpError(f"unknown query {name!r}, expected {known}", status=404)
        return self.answers[name](argument)

    def _status(self, argument: dict[str, str]) -> Status:
        data = self.machine.data
        return Status(
            self.machine.applied,
            self.consensus.leader_host(),
            self.consensus.store.vote.term,
            self.consensus.members,
            {name: self._environment(name) for name in data.environments},
            self._entry_hosts(),
            [_order(key, record) for key, record in sorted(data.orders.items())],
            int(self.feed.lease_s * 1000),
        )

    def _environment(self, name: str) -> EnvironmentStatus:
        held = self.machine.data.environments[name]
        return EnvironmentStatus(
            held.revision,
            held.changed_by,
            sorted(self._present(f"{name}/out/")),
            len(self._present(f"{name}/suspects/")),
        )

    def _entry_hosts(self) -> list[HostStatus]:
        found = {name: self._host(lessee) for name, lessee in self.feed.lessees.items()}
        for key, entry in self.feed.follow_roster().items():
            if entry.host not in found:
                found[entry.host] = self._unheard(key.partition("/")[0], entry)
        return [host for _, host in sorted(found.items())]

    def _unheard(self, environment: str, entry: configuration.RosterEntry) -> HostStatus:
        # It may hold a lease from the leader before, so it counts as behind.
        since = self.consensus.core.clock.monotonic() - self.feed.led_since
        return HostStatus(
            entry.host,
            environment,
            entry.data_centre,
            entry.address,
            0,
            int(since * 1000),
            msgspec.Raw(b"{}"),
        )

    def _host(self, lessee: feedserver.Lessee) -> HostStatus:
        request = lessee.request
        age = self.consensus.core.clock.monotonic() - lessee.seen_at
        return HostStatus(
            request.host,
            request.environment,
            request.data_centre,
            request.address,
            request.have,
            int(age * 1000),
            msgspec.Raw(request.load or b"{}"),
        )

    def _audit(self, argument: dict[str, str]) -> list:
        after = _number(argument, "after", 0)
        limit = _number(argument, "limit", AUDIT_LATEST)
        limit = min(limit, AUDIT_PAGE)
        if after == 0 and "after" not in argument:
            return self.machine.data.audit[-limit:]
        return self.trail.read(after, limit)

    def _document(self, argument: dict[str, str]) -> typing.Any:
        name = argument.get("environment", "")
        held = self.machine.data.environments.get(name)
        if held is None:
            raise exceptions.HttpError(f"no environment {name!r}", "read document", status=404)
        return held

    def _members(self, argument: dict[str, str]) -> list[configuration.Member]:
        return self.consensus.members

    def _quarantine(self, argument: dict[str, str]) -> dict[str, configuration.Suspicion]:
        prefix = f"{argument.get('environment', '')}/suspects/"
        return {
            name: msgspec.json.decode(value, type=configuration.Suspicion)
            for name, value in self._present(prefix).items()
        }

    def _operation(self, argument: dict[str, str]) -> typing.Any:
        held = self.machine.data.operations.get(argument.get("id", ""))
        if held is None:
            raise exceptions.HttpError("no such operation", "read operation", status=404)
        return held

    def _present(self, prefix: str) -> dict[str, bytes]:
        return {
            key.removeprefix(prefix): item.value
            for key, item in self.machine.data.items.items()
            if key.startswith(prefix) and not item.removed
        }


def _order(key: str, record: statedata.OrderRecord) -> OrderStatus:
    result = record.result or "not sent or not answered yet"
    return OrderStatus(key, record.sequence, record.kind, record.argument, record.at_ms, result)


def _number(argument: dict[str, str], name: str, default: int) -> int:
    try:
        return int(argument.get(name, default))
    except ValueError as error:
        raise exceptions.HttpError(f"{name} must be a number", "read", status=400) from error
