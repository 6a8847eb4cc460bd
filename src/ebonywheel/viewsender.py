"""Which views of its backend servers a home sends to which entry host, and when.

A view is sent when it has changed enough to matter for a choice, and again after a while in case it
was lost. In between, an update without views says that the home lives. Hosts of other regions
choose these servers only when their own region is full, so they hear less often.
"""

import msgspec

from ebonywheel import messages

# Intervals grow with the number of hosts that must be told, so that the bytes of a node do not.
NEAR_CHANGE_PER_PEER_S = 0.02
FAR_CHANGE_PER_PEER_S = 0.08
FAR_ALIVE_PER_PEER_S = 0.03
LEAST_ALIVE_S = 1.0
MOST_CHANGE_S = 60.0
STALE_ALIVES = 3
STALE_EXTRA_S = 1.0
NEAR_REFRESH_S = 60.0
FAR_REFRESH_S = 300.0
USED_CHANGE_SHARE = 4
BLOCKS_CHANGE_SHARE = 8
PREFIXES_SENT = 8
FULL_FLIP_CHANGE = 2


class Tier(msgspec.Struct, frozen=True):
    """How often the hosts of one's own region, or of the others, are told.

    Attributes:
        change_s: Shortest time between changes that are not urgent.
        alive_s: Longest time without a sign of life.
        refresh_s: Time after which a view is sent whole again.
    """

    change_s: float
    alive_s: float
    refresh_s: float

    def stale_s(self) -> float:
        """Return the silence after which a home's views are no longer believed."""
        return STALE_ALIVES * self.alive_s + STALE_EXTRA_S


def near_tier(peers: int) -> Tier:
    """Return how often this many hosts of the own region are told."""
    return Tier(min(NEAR_CHANGE_PER_PEER_S * peers, MOST_CHANGE_S), LEAST_ALIVE_S, NEAR_REFRESH_S)


def far_tier(peers: int) -> Tier:
    """Return how often this many hosts of other regions are told."""
    return Tier(
        min(FAR_CHANGE_PER_PEER_S * peers, MOST_CHANGE_S),
        max(FAR_ALIVE_PER_PEER_S * peers, LEAST_ALIVE_S),
        FAR_REFRESH_S,
    )


class _Sent(msgspec.Struct):
    view: messages.ServerView
    whole_at: float


class Due(msgspec.Struct):
    """What to send to one entry host now; both empty as a mere sign of life."""

    views: list[messages.ServerView]
    deltas: list[messages.ViewDelta]


class Peer:
    """What one entry host was last sent.

    Attributes:
        near: Whether it is in the home's own region.
        views: The last view sent of each server.
        sent_at: When anything was last sent.
        changed_at: When a change was last sent.
    """

    def __init__(self, near: bool):
        self.near = near
        self.views: dict[str, _Sent] = {}
        self.sent_at = float("-inf")
        self.changed_at = float("-inf")

    def due(
        self, views: list[messages.ServerView], kept: frozenset[str], tier: Tier, now: float
    ) -> Due | None:
        """Return what to send now, or None when nothing needs to be sent.

        Args:
            views: The home's servers that lend.
            kept: Names of all servers that this host is home to, also silent ones.
            tier: How often the peer is told.
            now: Monotonic time in seconds.
        """
        quiet = now < self.changed_at + tier.change_s
        whole = [view for view in views if self._is_whole_due(view, tier, now)]
        names = {view.state.server for view in whole}
        changed = [
            view
            for view in views
            if not quiet
            and view.state.server not in names
            and differs(self.views[view.state.server].view, view)
        ]
        ended = self._ended({view.state.server for view in views}, kept)
        if not (whole or changed or ended) and now < self.sent_at + tier.alive_s:
            return None
        self.sent_at = now
        if whole or changed:
            self.changed_at = now
        for view in whole:
            self.views[view.state.server] = _Sent(view, now)
        for view in changed:
            self.views[view.state.server].view = view
        return Due([self._trimmed(view) for view in whole], list(map(_delta, changed + ended)))

    def _is_whole_due(self, view: messages.ServerView, tier: Tier, now: float) -> bool:
        sent = self.views.get(view.state.server)
        if sent is None or is_urgent(sent.view, view):
            return True
        return now >= sent.whole_at + tier.refresh_s

    def _ended(self, shown: set[str], kept: frozenset[str]) -> list[messages.ServerView]:
        ended = []
        for name, sent in list(self.views.items()):
            if name in shown:
                continue
            del self.views[name]
            # One that moved is for its new home to speak of.
            if name in kept and sent.view.limit:
                ended.append(msgspec.structs.replace(sent.view, limit=0))
        return ended

    def _trimmed(self, view: messages.ServerView) -> messages.ServerView:
        prefixes = view.prefixes[-PREFIXES_SENT:] if self.near else []
        return msgspec.structs.replace(view, prefixes=prefixes)


def is_urgent(old: messages.ServerView, new: messages.ServerView) -> bool:
    """Return whether a server has begun or ceased to take work."""
    if old.home != new.home or (old.limit > 0) != (new.limit > 0):
        return True
    return _fixed(old.state) != _fixed(new.state)


def differs(old: messages.ServerView, new: messages.ServerView) -> bool:
    """Return whether a view has changed enough to matter for a choice."""
    if (old.limit, old.cold) != (new.limit, new.cold):
        return True
    flipped = (old.used >= old.limit) != (new.used >= new.limit)
    if flipped and abs(old.used - new.used) >= min(FULL_FLIP_CHANGE, new.limit):
        return True
    if abs(old.used - new.used) >= max(1, new.limit // USED_CHANGE_SHARE):
        return True
    blocks = max(1, new.state.total_blocks // BLOCKS_CHANGE_SHARE)
    return abs(old.expected_blocks - new.expected_blocks) >= blocks


def apply(view: messages.ServerView, delta: messages.ViewDelta) -> messages.ServerView:
    """Return the view as changed by a delta."""
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


def _fixed(state: messages.ServerState) -> tuple:
    return (state.incarnation, state.state, state.address, state.engine, state.total_blocks)
