"""Which views of its backend servers a home sends to which entry host, and when.

A view is sent when it has changed enough to matter for a choice, and again after a while in case it
was lost. In between, an update without views says that the home lives. Hosts of other regions
choose these servers only when their own region is full, so they hear less often.
"""

import msgspec

from ebonywheel import messages

NEAR_ALIVE_S = 1.0
NEAR_STALE_S = 4.0
NEAR_REFRESH_S = 15.0
FAR_CHANGE_S = 5.0
FAR_ALIVE_S = 5.0
FAR_STALE_S = 16.0
FAR_REFRESH_S = 60.0
USED_CHANGE_SHARE = 4
BLOCKS_CHANGE_SHARE = 8
PREFIXES_SENT = 16


class _Sent(msgspec.Struct):
    view: messages.ServerView
    at: float


class Peer:
    """What one entry host was last sent.

    Attributes:
        near: Whether it is in the home's own region.
        views: The last view sent of each server.
        sent_at: When anything was last sent.
        changed_at: When all changes were last sent, not only the urgent ones.
    """

    def __init__(self, near: bool):
        self.near = near
        self.views: dict[str, _Sent] = {}
        self.sent_at = float("-inf")
        self.changed_at = float("-inf")

    def due(
        self, views: list[messages.ServerView], kept: frozenset[str], now: float
    ) -> list[messages.ServerView] | None:
        """Return the views to send now, or None when nothing needs to be sent.

        Args:
            views: The home's servers that lend.
            kept: Names of all servers that this host is home to, also silent ones.
            now: Monotonic time in seconds.
        """
        quiet = not self.near and now < self.changed_at + FAR_CHANGE_S
        chosen = [view for view in views if self._is_due(view, now, quiet)]
        chosen += self._ended({view.state.server for view in views}, kept)
        alive_s = NEAR_ALIVE_S if self.near else FAR_ALIVE_S
        if not chosen and now < self.sent_at + alive_s:
            return None
        self.sent_at = now
        self.changed_at = self.changed_at if quiet else now
        for view in chosen:
            self.views[view.state.server] = _Sent(view, now)
        return [self._trimmed(view) for view in chosen]

    def _is_due(self, view: messages.ServerView, now: float, quiet: bool) -> bool:
        sent = self.views.get(view.state.server)
        if sent is None or is_urgent(sent.view, view):
            return True
        refresh_s = NEAR_REFRESH_S if self.near else FAR_REFRESH_S
        return not quiet and (now >= sent.at + refresh_s or differs(sent.view, view))

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
    if (old.used >= old.limit) != (new.used >= new.limit):
        return True
    if abs(old.used - new.used) >= max(1, new.limit // USED_CHANGE_SHARE):
        return True
    blocks = max(1, new.state.total_blocks // BLOCKS_CHANGE_SHARE)
    return abs(old.expected_blocks - new.expected_blocks) >= blocks


def _fixed(state: messages.ServerState) -> tuple:
    return (state.incarnation, state.state, state.address, state.engine, state.total_blocks)
