"""This host's equal part of what all entry hosts share: retry budgets, rates of servers.

The part is held under a lease from the control hosts. Once a majority of them has not heard from
this host for some seconds, the other hosts may have divided its part among themselves.
"""

from ebonywheel import clock

# A smaller number of entry hosts counts only after this time without the larger one. A control
# host that has just started has not heard of all of them yet; going by its number would raise each
# host's part.
HOSTS_HELD_S = 5.0
# A control host counts a host for 3 s after its watch (watchserver.USES_MAX_AGE_S), the others go
# by the larger number for `HOSTS_HELD_S` more, and a watch is sent at most 1.5 s before its answer.
LEASE_S = 5.0


class HostShare:
    """The number of entry hosts, and since when this one has been counted among them.

    Attributes:
        hosts: Number of entry hosts, this one included.
        hosts_at: When that many were reported last, monotonic seconds.
        heard_at: When each control host answered last, by link address, monotonic seconds.
        confirmed_at: Since when a majority of the control hosts has answered, monotonic seconds.
        held_since: When this host's part began to be its own, monotonic seconds.
    """

    def __init__(self, time_source: clock.Clock):
        self.clock = time_source
        self.hosts = 1
        self.hosts_at = 0.0
        self.heard_at: dict[str, float] = {}
        self.confirmed_at = float("-inf")
        self.held_since = float("-inf")

    def record(self, control: str, members: list[str], hosts: int) -> None:
        """Record the answer of a control host.

        Args:
            control: Its link address.
            members: Link addresses of all control hosts.
            hosts: Number of entry hosts that it has heard from.
        """
        now = self.clock.monotonic()
        members = members or [control]
        self.heard_at = {address: at for address, at in self.heard_at.items() if address in members}
        self.heard_at[control] = now
        self._confirm(members, now)
        lowered = self.is_held() and now > self.hosts_at + HOSTS_HELD_S
        if hosts >= self.hosts or lowered:
            self.hosts = max(1, hosts)
            self.hosts_at = now

    def _confirm(self, members: list[str], now: float) -> None:
        never = float("-inf")
        heard_at = sorted((self.heard_at.get(member, never) for member in members), reverse=True)
        confirmed_at = heard_at[len(members) // 2]
        if confirmed_at <= self.confirmed_at:
            return
        if confirmed_at - self.confirmed_at > LEASE_S:
            self.held_since = now
        self.confirmed_at = confirmed_at

    def is_held(self) -> bool:
        """Return whether no other host can have this host's part."""
        return self.clock.monotonic() - self.confirmed_at <= LEASE_S

    def held_s(self) -> float:
        """Return for how long this host's part has been its own, 0 if it is not."""
        return self.clock.monotonic() - self.held_since if self.is_held() else 0.0
