"""Choice of backend servers for one request, from views that may be out of date.

A view does not show what this host borrowed after it was made. Without counting that, all requests
between two views would go to the same server, and a server that refused would be asked again and
again.
"""

import collections
import typing

import msgspec

from ebonywheel import messages, policies

# A server at or above this pressure takes no work of other regions, to keep room for its own.
MAX_CROSS_REGION_PRESSURE = 0.85


class KnownView(msgspec.Struct):
    """The last view of a backend server that this host knows.

    Attributes:
        view: The view.
        region: Region of the server's data centre.
        received_at: Time at which the view arrived, on the monotonic clock.
    """

    view: messages.ServerView
    region: str
    received_at: float


class SlotChange(msgspec.Struct, eq=False):
    """A slot that was borrowed or returned.

    Attributes:
        at: Time on the monotonic clock.
        slots: 1 for a borrowed slot, -1 for a returned one.
        blocks: Blocks of memory that go with the slot, with the same sign.
    """

    at: float
    slots: int
    blocks: float


class RecentChanges:
    """What this host borrowed from each backend server since its last view, and what was refused.

    Attributes:
        changes: Slots borrowed and returned, by server, oldest first.
        refusals: Time of the last refusal, by server and service.
    """

    def __init__(self):
        self.changes: dict[str, collections.deque[SlotChange]] = {}
        self.refusals: dict[tuple[str, str], float] = {}

    def record_borrowed(self, server: str, blocks: float, now: float) -> SlotChange:
        """Record a slot that is being borrowed; return the change, to undo it if it is refused."""
        change = SlotChange(now, 1, blocks)
        self.changes.setdefault(server, collections.deque()).append(change)
        return change

    def record_returned(self, server: str, blocks: float, now: float) -> None:
        """Record a returned slot, and drop the server's refusals so that it is asked again."""
        self.changes.setdefault(server, collections.deque()).append(SlotChange(now, -1, -blocks))
        for key in [key for key in self.refusals if key[0] == server]:
            del self.refusals[key]

    def record_refusal(
        self, server: str, service: str, now: float, change: SlotChange | None = None
    ) -> None:
        """Record that a server's home refused a request, and undo the change recorded for it."""
        self.refusals[server, service] = now
        changes = self.changes.get(server, ())
        if change is not None and change in changes:
            changes.remove(change)

    def clear_refusals(self, matches: typing.Callable[[str], bool]) -> None:
        """Drop the refusals of all servers for which `matches` returns True."""
        for key in [key for key in self.refusals if matches(key[0])]:
            del self.refusals[key]

    def has_refused(self, known: KnownView, service: str) -> bool:
        """Return whether the server refused a request of the service since its last view."""
        server = known.view.state.server
        refused_at = self.refusals.get((server, service))
        if refused_at is None:
            return False
        if refused_at < known.received_at:
            del self.refusals[server, service]
            return False
        return True

    def net_since_view(self, known: KnownView) -> tuple[int, float]:
        """Return the slots and blocks borrowed minus those returned since a server's view."""
        changes = self.changes.get(known.view.state.server)
        if changes is None:
            return 0, 0.0
        while changes and changes[0].at < known.received_at:
            changes.popleft()
        return sum(change.slots for change in changes), sum(change.blocks for change in changes)

    def retain(self, servers: collections.abc.Container[str]) -> None:
        """Drop the records of all servers but the given ones."""
        for server in [server for server in self.changes if server not in servers]:
            del self.changes[server]
        for key in [key for key in self.refusals if key[0] not in servers]:
            del self.refusals[key]


def choose(
    policy: policies.Policy,
    recent: RecentChanges,
    job: policies.Job,
    servers: list[KnownView],
    prefer_own_region: bool,
) -> list[policies.Candidate]:
    """Return the backend servers to ask for a slot, best first.

    Args:
        policy: The routing policy.
        recent: What this host borrowed and returned since the views, and what was refused.
        job: The request.
        servers: The backend servers that may take it.
        prefer_own_region: Whether to leave out the servers of other regions while the request's
            own region has any, even if none of these is free.
    """
    if policy.by_region and prefer_own_region:
        local = [known for known in servers if known.region == job.region and known.view.limit]
        servers = local or servers
    candidates = [
        policies.Candidate(known.view, known.region, *recent.net_since_view(known))
        for known in servers
        if not recent.has_refused(known, job.service)
    ]
    free = [candidate for candidate in candidates if candidate.free() > 0]
    if policy.by_region and any(known.region == job.region for known in servers):
        free = [candidate for candidate in free if _is_local_or_has_spare_capacity(job, candidate)]
    return policy.rank(job, free)


def _is_local_or_has_spare_capacity(job: policies.Job, candidate: policies.Candidate) -> bool:
    """Return whether a server is in the request's region or has capacity to spare.

    A heavily loaded server of another region is not worth the cross-region traffic.
    """
    return candidate.region == job.region or candidate.pressure() < MAX_CROSS_REGION_PRESSURE
