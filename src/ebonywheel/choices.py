"""Choice of backend servers for one request, from views that lag.

Views do not show this host's own latest choices. Without counting these, all requests between two
views would go to the same server, and a server that refused would be asked again and again.
"""

import collections
import typing

import msgspec

from ebonywheel import messages, policies

# How much of a server may be taken for it to get work of another region.
SPARE_PRESSURE = 0.85


class Known(msgspec.Struct):
    """A backend server as this host knows it.

    Attributes:
        region: Region that it stands in.
        heard_at: When its view came, on the monotonic clock.
    """

    view: messages.ServerView
    region: str
    heard_at: float


class Change(msgspec.Struct, eq=False):
    """A slot borrowed (`slots` is 1) or given back (-1)."""

    at: float
    slots: int
    blocks: float


class RecentChanges:
    """What this host did to each backend server since its last view.

    Attributes:
        changes: Slots borrowed and given back, by server, oldest first.
        refusals: When a service's request was last refused, by server and service.
    """

    def __init__(self):
        self.changes: dict[str, collections.deque[Change]] = {}
        self.refusals: dict[tuple[str, str], float] = {}

    def borrowed(self, server: str, blocks: float, now: float) -> Change:
        """Note a slot borrowed, or asked for; return what to take back when it is refused."""
        change = Change(now, 1, blocks)
        self.changes.setdefault(server, collections.deque()).append(change)
        return change

    def returned(self, server: str, blocks: float, now: float) -> None:
        """Note a slot given back; the server may be asked again."""
        self.changes.setdefault(server, collections.deque()).append(Change(now, -1, -blocks))
        for key in [key for key in self.refusals if key[0] == server]:
            del self.refusals[key]

    def refused(self, server: str, service: str, now: float, change: Change | None = None) -> None:
        """Note that a server's home refused a request, and take back the change noted for it."""
        self.refusals[server, service] = now
        held = self.changes.get(server, ())
        if change is not None and change in held:
            held.remove(change)

    def forgive(self, which: typing.Callable[[str], bool]) -> None:
        """Forget the refusals of servers for which a function returns True."""
        for key in [key for key in self.refusals if which(key[0])]:
            del self.refusals[key]

    def is_refused(self, known: Known, service: str) -> bool:
        """Return whether the server would probably refuse again."""
        server = known.view.state.server
        at = self.refusals.get((server, service))
        if at is None:
            return False
        if at < known.heard_at:
            del self.refusals[server, service]
            return False
        return True

    def since(self, known: Known) -> tuple[int, float]:
        """Return the slots and blocks taken since a server's view."""
        held = self.changes.get(known.view.state.server)
        if held is None:
            return 0, 0.0
        while held and held[0].at < known.heard_at:
            held.popleft()
        return sum(change.slots for change in held), sum(change.blocks for change in held)

    def keep(self, servers: collections.abc.Container[str]) -> None:
        """Drop what is known of servers that are gone."""
        for server in [server for server in self.changes if server not in servers]:
            del self.changes[server]
        for key in [key for key in self.refusals if key[0] not in servers]:
            del self.refusals[key]


def choose(
    policy: policies.Policy,
    recent: RecentChanges,
    job: policies.Job,
    servers: list[Known],
    region_closed: bool,
) -> list[policies.Candidate]:
    """Return the backend servers to ask for a slot, best first.

    Args:
        policy: The routing policy.
        recent: What this host did lately.
        job: The request.
        servers: The backend servers that may take it.
        region_closed: Whether the request should not leave its region while servers there exist.
    """
    if policy.by_region and region_closed:
        near = [known for known in servers if known.region == job.region and known.view.limit]
        servers = near or servers
    candidates = [
        policies.Candidate(known.view, known.region, *recent.since(known))
        for known in servers
        if not recent.is_refused(known, job.service)
    ]
    open_ones = [candidate for candidate in candidates if candidate.free() > 0]
    if policy.by_region and any(known.region == job.region for known in servers):
        open_ones = [held for held in open_ones if _worth_its_bytes(job, held)]
    return policy.rank(job, open_ones)


def _worth_its_bytes(job: policies.Job, candidate: policies.Candidate) -> bool:
    """Return whether a server is in the own region, or has room that its own region may spare."""
    return candidate.region == job.region or candidate.pressure() < SPARE_PRESSURE
