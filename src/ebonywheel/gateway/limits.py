"""Limits that backend servers state, as known to an entry host."""

import collections.abc

from ebonywheel import directory, kernel, messages, statedlimits
from ebonywheel.gateway import balance


class ServerLimits:
    """Keeps the limit in the state of each server, from this host's answers and other hosts'.

    Attributes:
        state_of: Returns the state of a server's incarnation.
        known: The latest known statements.
        own: Statements in answers to this host, which it reports.
    """

    def __init__(
        self,
        core: kernel.Kernel,
        state_of: collections.abc.Callable[[directory.IncarnationKey], balance.ServerState],
    ):
        self.core = core
        self.state_of = state_of
        self.known = statedlimits.StatedLimits(core.clock)
        self.own = statedlimits.StatedLimits(core.clock)

    def observe_answer(self, record: messages.DirectoryRecord, per_s: float | None) -> None:
        """Take over what an answer stated."""
        key = (record.server, record.born_ms)
        if per_s is None and self.known.limit_of(key) is None:
            return
        now = self.core.clock.monotonic()
        self.own.observe(key, per_s, now)
        self.known.observe(key, per_s, now)
        self._apply(key)

    def merge(self, items: list[messages.ServerLimit]) -> None:
        """Take over what servers stated to other hosts."""
        self.known.merge(items)
        for item in items:
            self._apply((item.server, item.born_ms))

    def reports(self) -> list[messages.ServerLimit]:
        """Return what servers stated to this host."""
        return self.own.changes(0.0)

    def limit_of(self, key: directory.IncarnationKey) -> float | None:
        """Return a server's limit in requests per second, None for no limit."""
        return self.known.limit_of(key)

    def prune(self) -> None:
        """End limits that no answer confirmed for long."""
        for key in self.known.entries:
            self._apply(key)
        self.own.prune()
        self.known.prune()

    def _apply(self, key: directory.IncarnationKey) -> None:
        state = self.state_of(key)
        per_s = self.known.limit_of(key)
        if per_s != state.limit_per_s:
            self.core.log.info(
                "server_limit_changed", server=key[0], before=state.limit_per_s, now=per_s
            )
            state.limit_per_s = per_s
