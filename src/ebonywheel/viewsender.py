"""Selection of the server views that a home entry host sends to each other entry host.

A view is sent when it has changed enough to affect routing, and again at a fixed interval in case
an update was lost. In between, an empty update serves as a heartbeat. Hosts of other regions use
these servers only when their own region is full, so they are updated less often.
"""

import msgspec

from ebonywheel import messages

# Intervals grow with the number of receiving hosts, so that the bytes sent by a host do not.
OWN_REGION_CHANGE_S_PER_PEER = 0.02
OTHER_REGION_CHANGE_S_PER_PEER = 0.08
OTHER_REGION_HEARTBEAT_S_PER_PEER = 0.03
MIN_HEARTBEAT_INTERVAL_S = 1.0
MAX_CHANGE_INTERVAL_S = 60.0
STALE_AFTER_HEARTBEATS = 3
STALE_MARGIN_S = 1.0
OWN_REGION_REFRESH_INTERVAL_S = 60.0
OTHER_REGION_REFRESH_INTERVAL_S = 300.0
# The used slots are sent when they change by at least the limit divided by this.
USED_CHANGE_DIVISOR = 4
# The expected blocks are sent when they change by at least the total blocks divided by this.
BLOCKS_CHANGE_DIVISOR = 8
MAX_PREFIXES_SENT = 8
# A change of the used slots that makes a server full, or no longer full, is sent from this size on.
FULL_CHANGE_SLOTS = 2


class UpdateSchedule(msgspec.Struct, frozen=True):
    """How often updates are sent to the hosts of the own region or of other regions.

    Attributes:
        change_interval_s: Shortest time between updates with changes that are not urgent.
        heartbeat_interval_s: Longest time without any update.
        refresh_interval_s: Time after which a full view is sent again.
    """

    change_interval_s: float
    heartbeat_interval_s: float
    refresh_interval_s: float

    def stale_after_s(self) -> float:
        """Return the time without updates after which a home's views are stale, in seconds."""
        return STALE_AFTER_HEARTBEATS * self.heartbeat_interval_s + STALE_MARGIN_S


def own_region_schedule(peers: int) -> UpdateSchedule:
    """Return the schedule for this many hosts of the own region."""
    return UpdateSchedule(
        min(OWN_REGION_CHANGE_S_PER_PEER * peers, MAX_CHANGE_INTERVAL_S),
        MIN_HEARTBEAT_INTERVAL_S,
        OWN_REGION_REFRESH_INTERVAL_S,
    )


def other_region_schedule(peers: int) -> UpdateSchedule:
    """Return the schedule for this many hosts of other regions."""
    return UpdateSchedule(
        min(OTHER_REGION_CHANGE_S_PER_PEER * peers, MAX_CHANGE_INTERVAL_S),
        max(OTHER_REGION_HEARTBEAT_S_PER_PEER * peers, MIN_HEARTBEAT_INTERVAL_S),
        OTHER_REGION_REFRESH_INTERVAL_S,
    )


class _SentView(msgspec.Struct):
    """The last view sent of one server, and when a full view was last sent."""

    view: messages.ServerView
    full_sent_at: float


class PendingUpdate(msgspec.Struct):
    """The full views and deltas to send to one entry host; both are empty for a heartbeat."""

    views: list[messages.ServerView]
    deltas: list[messages.ViewDelta]


class PeerState:
    """What was last sent to one entry host.

    Attributes:
        own_region: Whether the entry host is in the home's own region.
        sent_views: The last view sent of each server, by server name.
        sent_at: When any update was last sent.
        change_sent_at: When a view or delta was last sent.
    """

    def __init__(self, own_region: bool):
        self.own_region = own_region
        self.sent_views: dict[str, _SentView] = {}
        self.sent_at = float("-inf")
        self.change_sent_at = float("-inf")

    def pending_update(
        self,
        views: list[messages.ServerView],
        home_servers: frozenset[str],
        schedule: UpdateSchedule,
        now: float,
    ) -> PendingUpdate | None:
        """Return the update to send now, or None, and record it as sent.

        Args:
            views: Current views of the servers that announce themselves to this home.
            home_servers: Names of all servers that this host is home to, including silent ones.
            schedule: The intervals for the receiving host.
            now: Monotonic time in seconds.
        """
        too_early = now < self.change_sent_at + schedule.change_interval_s
        full = [view for view in views if self._needs_full_view(view, schedule, now)]
        full_names = {view.state.server for view in full}
        changed = [
            view
            for view in views
            if not too_early
            and view.state.server not in full_names
            and changed_significantly(self.sent_views[view.state.server].view, view)
        ]
        withdrawn = self._withdrawn_views({view.state.server for view in views}, home_servers)
        if (
            not (full or changed or withdrawn)
            and now < self.sent_at + schedule.heartbeat_interval_s
        ):
            return None
        self.sent_at = now
        if full or changed:
            self.change_sent_at = now
        for view in full:
            self.sent_views[view.state.server] = _SentView(view, now)
        for view in changed:
            self.sent_views[view.state.server].view = view
        return PendingUpdate(
            [self._limit_prefixes(view) for view in full],
            list(map(_delta, changed + withdrawn)),
        )

    def _needs_full_view(
        self, view: messages.ServerView, schedule: UpdateSchedule, now: float
    ) -> bool:
        sent = self.sent_views.get(view.state.server)
        if sent is None or is_urgent_change(sent.view, view):
            return True
        return now >= sent.full_sent_at + schedule.refresh_interval_s

    def _withdrawn_views(
        self, announced: set[str], home_servers: frozenset[str]
    ) -> list[messages.ServerView]:
        """Forget unannounced servers; return the views of silent ones, without slots."""
        withdrawn = []
        for name, sent in list(self.sent_views.items()):
            if name in announced:
                continue
            del self.sent_views[name]
            # A server that moved to another home is reported by that home.
            if name in home_servers and sent.view.limit:
                withdrawn.append(msgspec.structs.replace(sent.view, limit=0))
        return withdrawn

    def _limit_prefixes(self, view: messages.ServerView) -> messages.ServerView:
        prefixes = view.prefixes[-MAX_PREFIXES_SENT:] if self.own_region else []
        return msgspec.structs.replace(view, prefixes=prefixes)


def is_urgent_change(old: messages.ServerView, new: messages.ServerView) -> bool:
    """Return whether a change decides if or where the server can be used.

    That is a change of its home, address, incarnation, state, engine or memory size, or of whether
    it has any slots.
    """
    if old.home != new.home or (old.limit > 0) != (new.limit > 0):
        return True
    return _routing_fields(old.state) != _routing_fields(new.state)


def changed_significantly(old: messages.ServerView, new: messages.ServerView) -> bool:
    """Return whether a view has changed enough to affect routing."""
    if (old.limit, old.cold) != (new.limit, new.cold):
        return True
    fullness_changed = (old.used >= old.limit) != (new.used >= new.limit)
    if fullness_changed and abs(old.used - new.used) >= min(FULL_CHANGE_SLOTS, new.limit):
        return True
    if abs(old.used - new.used) >= max(1, new.limit // USED_CHANGE_DIVISOR):
        return True
    min_block_change = max(1, new.state.total_blocks // BLOCKS_CHANGE_DIVISOR)
    return abs(old.expected_blocks - new.expected_blocks) >= min_block_change


def apply_delta(view: messages.ServerView, delta: messages.ViewDelta) -> messages.ServerView:
    """Return the view with a delta applied."""
    return msgspec.structs.replace(
        view,
        limit=delta.limit,
        used=delta.used,
        cold=delta.cold,
        expected_blocks=delta.expected_blocks,
    )


def _delta(view: messages.ServerView) -> messages.ViewDelta:
    state = view.state
    return messages.ViewDelta(
        state.server, state.incarnation, view.limit, view.used, view.cold, view.expected_blocks
    )


def _routing_fields(state: messages.ServerState) -> tuple:
    return (state.incarnation, state.state, state.address, state.engine, state.total_blocks)
