"""A request in flight at an entry host, and the load that it adds to a backend server."""

import random
import typing

import msgspec

from ebonywheel.gateway import balance, quarantine, routes


class Reservation:
    """Load that a request in flight, or a copy of a run, adds to a server until released.

    Attributes:
        state: State of the server that counts the load, None once released.
        tokens: Memory that it is expected to need, in tokens.
        requests: Number of requests: 1, or 0 for a copy.
        unread: Prompt tokens that the server has not read, 0 once the answer has begun.
    """

    __slots__ = ("state", "tokens", "requests", "unread")

    def __init__(self, state: balance.ServerState, tokens: int, requests: int = 1, unread: int = 0):
        self.state: balance.ServerState | None = state
        self.tokens = tokens
        self.requests = requests
        self.unread = unread
        state.requests += requests
        state.tokens += tokens
        state.unread += unread

    def mark_answer_begun(self) -> None:
        """Count the prompt as read, since the answer has begun."""
        if self.state is not None:
            self.state.unread -= self.unread
            self.unread = 0

    def release(self) -> None:
        """Remove the load from the server; further calls do nothing."""
        if self.state is not None:
            self.mark_answer_begun()
            self.state.requests -= self.requests
            self.state.tokens -= self.tokens
            self.state = None


class RequestContext(msgspec.Struct):
    """An admitted request, with the state of its handling.

    Attributes:
        request: The caller's request.
        started_at: When the request was received, monotonic seconds.
        deadline_at: When the caller must have its whole answer, monotonic seconds.
        caller_deadline_at: When the caller stops waiting, monotonic seconds.
        success_recorded: True once the request is known not to crash its server.
        tried: Ids of the servers that were tried.
        sent_to: Ids of those that the request may have been sent to.
        may_have_run: True once a server may have run it without an answer.
        elsewhere: True while another entry host may serve it if this one cannot.
        relayed_by: Name of the last host that was asked to serve it, empty for none.
        denied: Ids of the servers whose limits left no room for it.
        sent: Whether any byte may have reached the server tried last.
        reason: Why the last attempt failed, for the log and the answer.
        status: Status of the forwarded answer, 0 when none was forwarded.
        first_event_at: When the first event of a stream arrived, monotonic seconds; 0 before.
        last_event_at: When the last event arrived, monotonic seconds.
        longest_gap_s: Longest time between two events.
        lot: Drawn at random in [0, 1), to decide whether it is among those that leave the data
            centre; the same at each try.
    """

    request: typing.Any
    route: routes.Route
    service: routes.Service
    customer: routes.Customer | None
    started_at: float
    deadline_at: float
    caller_deadline_at: float
    success_recorded: bool = False
    tried: list[str] = []
    sent_to: list[str] = []
    may_have_run: bool = False
    elsewhere: bool = True
    relayed_by: str = ""
    denied: list[str] = []
    sent: bool = False
    reason: str = ""
    status: int = 0
    first_event_at: float = 0.0
    last_event_at: float = 0.0
    longest_gap_s: float = 0.0
    lot: float = msgspec.field(default_factory=random.random)

    def excluded_servers(self) -> frozenset[str]:
        """Return the ids of the servers that must not be chosen any more."""
        return frozenset(self.tried) | frozenset(self.denied)

    def fingerprints(self) -> tuple[bytes, ...]:
        """Return the digests of what the request may have in common with others."""
        customer = "" if self.customer is None else self.customer.name
        return quarantine.request_fingerprints(customer, self.service.name, self.request)

    def record_events(self, now: float) -> None:
        """Record the arrival of events of a stream."""
        if self.first_event_at:
            self.longest_gap_s = max(self.longest_gap_s, now - self.last_event_at)
        else:
            self.first_event_at = now
        self.last_event_at = now

    def regions(self) -> frozenset[str]:
        """Return the regions that may serve the request; empty for all."""
        customer_regions = frozenset() if self.customer is None else self.customer.regions
        if customer_regions and self.route.regions:
            # Without a common region, return one that does not exist: an empty set would allow all.
            return (customer_regions & self.route.regions) or frozenset({""})
        return customer_regions or self.route.regions
