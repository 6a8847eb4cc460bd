"""Operators' queries of the replicated state, answered by the leader under its lease."""

import typing

import msgspec

from ebonywheel import (
    auditlog,
    configuration,
    exceptions,
    feedserver,
    replica,
    rolloutevidence,
    rolloutstatus,
    state,
    statedata,
)

MAX_AUDIT_LIMIT = 1000
DEFAULT_AUDIT_LIMIT = 200


class EnvironmentStatus(msgspec.Struct):
    """One environment in a `Status`.

    Attributes:
        revision: Revision in force.
        changed_by: Actor of the last change.
        out: Data centres out of service.
        quarantined: Number of suspected requests, quarantined or not.
    """

    revision: int
    changed_by: str
    out: list[str]
    quarantined: int


class HostStatus(msgspec.Struct):
    """One entry host in a `Status`.

    Attributes:
        have: Log index of the configuration that it uses.
        seen_ms: Milliseconds since its last lease request.
        load: Its JSON report on itself and on the backend servers that it is home to.
    """

    host: str
    environment: str
    data_centre: str
    address: str
    have: int
    seen_ms: int
    load: msgspec.Raw


class OrderStatus(msgspec.Struct):
    """The latest order to a backend server, in a `Status`."""

    server: str
    sequence: int
    kind: str
    argument: str
    at_ms: int
    result: str


class Status(msgspec.Struct):
    """Answer to the query ``status``.

    Attributes:
        lease_ms: Longest time for which an entry host may still use an older revision, in
            milliseconds.
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
        state_machine: state.State,
        feed: feedserver.FeedServer,
        audit_log: auditlog.AuditLog,
        evidence: rolloutevidence.EvidenceBook,
    ):
        self.consensus = consensus
        self.state_machine = state_machine
        self.feed = feed
        self.audit_log = audit_log
        self.evidence = evidence
        self.handlers: dict[str, typing.Callable[[dict[str, str]], typing.Any]] = {
            "status": self._status,
            "audit": self._audit,
            "document": self._document,
            "members": self._members,
            "quarantine": self._quarantine,
            "operation": self._operation,
            "rollouts": self._rollouts,
        }

    def answer(self, name: str, argument: dict[str, str]) -> typing.Any:
        """Answer one query.

        Raises:
            NotLeaderError: This host is not a leader with a valid lease.
            HttpError: The query does not exist, or its argument is invalid.
        """
        self.consensus.require_lease(f"read {name}")
        if name not in self.handlers:
            known = ", ".join(sorted(self.handlers))
            raise exceptions.HttpError(f"unknown query {name!r}, expected {known}", status=404)
        return self.handlers[name](argument)

    def _status(self, argument: dict[str, str]) -> Status:
        data = self.state_machine.data
        return Status(
            self.state_machine.applied,
            self.consensus.leader_host(),
            self.consensus.store.vote.term,
            self.consensus.members,
            {name: self._environment_status(name) for name in data.environments},
            self._host_statuses(),
            [_order_status(key, record) for key, record in sorted(data.orders.items())],
            int(self.feed.lease_s * 1000),
        )

    def _environment_status(self, name: str) -> EnvironmentStatus:
        environment = self.state_machine.data.environments[name]
        return EnvironmentStatus(
            environment.revision,
            environment.changed_by,
            sorted(self._items_under(f"{name}/out/")),
            len(self._items_under(f"{name}/suspects/")),
        )

    def _host_statuses(self) -> list[HostStatus]:
        statuses = {
            name: self._host_status(holder) for name, holder in self.feed.lease_holders.items()
        }
        for key, entry in self.feed.refresh_roster().items():
            if entry.host not in statuses:
                statuses[entry.host] = self._unseen_host_status(key.partition("/")[0], entry)
        return [host for _, host in sorted(statuses.items())]

    def _unseen_host_status(self, environment: str, entry: configuration.RosterEntry) -> HostStatus:
        # The host may hold a lease from the previous leader, so report it as behind.
        unseen_s = self.consensus.core.clock.monotonic() - self.feed.led_since
        return HostStatus(
            entry.host,
            environment,
            entry.data_centre,
            entry.address,
            0,
            int(unseen_s * 1000),
            msgspec.Raw(b"{}"),
        )

    def _host_status(self, holder: feedserver.LeaseHolder) -> HostStatus:
        request = holder.request
        age_s = self.consensus.core.clock.monotonic() - holder.seen_at
        return HostStatus(
            request.host,
            request.environment,
            request.data_centre,
            request.address,
            request.have,
            int(age_s * 1000),
            msgspec.Raw(request.load or b"{}"),
        )

    def _audit(self, argument: dict[str, str]) -> list:
        after = _parse_int(argument, "after", 0)
        limit = _parse_int(argument, "limit", DEFAULT_AUDIT_LIMIT)
        limit = min(limit, MAX_AUDIT_LIMIT)
        if after == 0 and "after" not in argument:
            return self.state_machine.data.audit[-limit:]
        return self.audit_log.read(after, limit)

    def _document(self, argument: dict[str, str]) -> typing.Any:
        name = argument.get("environment", "")
        environment = self.state_machine.data.environments.get(name)
        if environment is None:
            raise exceptions.HttpError(f"no environment {name!r}", "read document", status=404)
        return environment

    def _members(self, argument: dict[str, str]) -> list[configuration.Member]:
        return self.consensus.members

    def _quarantine(self, argument: dict[str, str]) -> dict[str, configuration.Suspicion]:
        prefix = f"{argument.get('environment', '')}/suspects/"
        return {
            name: msgspec.json.decode(value, type=configuration.Suspicion)
            for name, value in self._items_under(prefix).items()
        }

    def _rollouts(self, argument: dict[str, str]) -> list[rolloutstatus.RolloutStatus]:
        now_ms = self.consensus.proposals.replicated_clock.now_ms()
        return rolloutstatus.statuses(
            self.state_machine.data.rollouts, self.evidence, now_ms, argument.get("service")
        )

    def _operation(self, argument: dict[str, str]) -> typing.Any:
        record = self.state_machine.data.operations.get(argument.get("id", ""))
        if record is None:
            raise exceptions.HttpError("no such operation", "read operation", status=404)
        return record

    def _items_under(self, prefix: str) -> dict[str, bytes]:
        return {
            key.removeprefix(prefix): item.value
            for key, item in self.state_machine.data.items.items()
            if key.startswith(prefix) and not item.removed
        }


def _order_status(key: str, record: statedata.OrderRecord) -> OrderStatus:
    result = record.result or "not sent or not answered yet"
    return OrderStatus(key, record.sequence, record.kind, record.argument, record.at_ms, result)


def _parse_int(argument: dict[str, str], name: str, default: int) -> int:
    try:
        return int(argument.get(name, default))
    except ValueError as error:
        raise exceptions.HttpError(f"{name} must be a number", "read", status=400) from error
