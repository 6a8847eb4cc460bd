"""Decision of how much of a data centre's traffic leaves it, and where to.

Hosts of one data centre know the same loads, up to half a second old, and come to the same shares
without a message. The share that leaves is in proportion to what leaving gains, small enough that
hosts stop before too much is on its way.
"""

import collections.abc
import math

import msgspec

from ebonywheel import clock
from ebonywheel.gateway import balance

# Share of the requests that leave while the gain is as long as the route's target. Loads from other
# data centres are up to 0.5 s old, so hosts answer a gain in proportion: all at once would swing.
SHARE_AT_TARGET = 1.0
UPDATE_INTERVAL_S = 0.1
# Load up to which a data centre takes others' requests; the rest is kept for its own callers.
MAX_LOAD_ELSEWHERE = 0.8
# Load from which requests have to wait for memory or slots; at full load for as long as the target.
STRAINED_LOAD = 0.8
BYTES_PER_MEGABYTE = 1_000_000

# Service and target time, in seconds.
Key = tuple[str, float]


class Charges(msgspec.Struct, frozen=True):
    """What crossings are worth to the operator, in seconds that a caller waits instead of one.

    Attributes:
        data_centre_s: For a crossing to another data centre of the region.
        region_s: For one to another region.
        megabyte_s: For each megabyte of request and answer, besides.
    """

    data_centre_s: float
    region_s: float
    megabyte_s: float = 0.0


class Place(msgspec.Struct, frozen=True):
    """A data centre as a place to serve a request.

    Attributes:
        wait_s: Time that a request is expected to wait there.
        load: Load of its servers, as a share of their capacity.
        delay_s: Time there and back.
    """

    location: balance.Location
    wait_s: float
    load: float
    delay_s: float = 0.0


class Flow:
    """Shares of the requests that leave a data centre, by destination.

    Attributes:
        shares: Share by data centre, between 0 and 1.
        updated_at: Time of the last update, monotonic seconds.
    """

    __slots__ = ("shares", "updated_at")

    def __init__(self):
        self.shares: dict[str, float] = {}
        self.updated_at = float("-inf")

    def is_due(self, now: float) -> bool:
        """Return whether an update is due."""
        return now - self.updated_at >= UPDATE_INTERVAL_S

    def update(
        self, gains: collections.abc.Mapping[str, float], target_s: float, now: float
    ) -> None:
        """Set the shares by the present gains.

        Args:
            gains: Seconds gained by leaving to each data centre that may be left to.
            target_s: Target time to the answer, or to the first event of a stream.
            now: Monotonic seconds.
        """
        self.updated_at = now
        paying = {data_centre: gain_s for data_centre, gain_s in gains.items() if gain_s > 0}
        if not paying:
            self.shares = {}
            return
        leaving = min(1.0, SHARE_AT_TARGET * max(paying.values()) / target_s)
        if math.inf in paying.values():
            # There is no server at home.
            paying = dict.fromkeys(paying, 1.0)
        total = sum(paying.values())
        self.shares = {name: leaving * gain_s / total for name, gain_s in paying.items()}

    def draw(self, fraction: float) -> str:
        """Return the destination for a uniform fraction in [0, 1), empty to stay."""
        for data_centre, share in self.shares.items():
            fraction -= share
            if fraction < 0:
                return data_centre
        return ""


class Crossings:
    """Decides for each request of an entry host whether it leaves the data centre.

    Attributes:
        flows: Shares by service and target.
        places: Data centres with servers that take requests, as of the last update of each flow.
        on_change: Called when requests begin or cease to leave to a data centre.
    """

    def __init__(self, time_source: clock.Clock, home: balance.Location, charges: Charges):
        self.clock = time_source
        self.home = home
        self.charges = charges
        self.on_change: collections.abc.Callable[[Key], None] = lambda key: None
        self.flows: dict[Key, Flow] = {}
        self.places: dict[Key, dict[str, Place]] = {}

    def destinations(
        self,
        key: Key,
        find_places: collections.abc.Callable[[], list[Place]],
        lot: float,
        size_bytes: int,
    ) -> list[str]:
        """Return the data centres that a request may be served in, the one to prefer first.

        Those after the first are for a request that finds no room there.

        Args:
            key: Its service, and its target time to the answer or to the first event of a stream.
            find_places: Returns the data centres with servers of the service.
            lot: Its lot in [0, 1).
            size_bytes: Size of the request and its expected answer.
        """
        now = self.clock.monotonic()
        flow = self.flows.setdefault(key, Flow())
        if flow.is_due(now):
            self.places[key] = {place.location.data_centre: place for place in find_places()}
            places = self.places[key]
            before = flow.shares.keys()
            gains = {name: self._gain_s(places, name) for name in self._open(places)}
            flow.update(gains, key[1], now)
            if flow.shares.keys() != before:
                self.on_change(key)
        places = self.places[key]
        charge_s = self._size_charge_s(size_bytes)
        paying = [name for name in flow.shares if self._gain_s(places, name) > charge_s]
        paying.sort(key=lambda name: -flow.shares[name])
        found = [self.home.data_centre] if self.home.data_centre in places else []
        drawn = flow.draw(lot)
        if drawn in paying:
            found.insert(0, drawn)
        return found + [name for name in paying if name not in found]

    def _open(self, places: dict[str, Place]) -> list[str]:
        """Return the other data centres that take requests."""
        return [
            name
            for name, place in places.items()
            if name != self.home.data_centre and place.load < MAX_LOAD_ELSEWHERE
        ]

    def _gain_s(self, places: dict[str, Place], name: str) -> float:
        """Return the time gained by leaving to a data centre, less the charge for the crossing."""
        home = places.get(self.home.data_centre)
        home_wait_s = math.inf if home is None else home.wait_s + home.delay_s
        place = places[name]
        other_region = place.location.region != self.home.region
        charge_s = self.charges.region_s if other_region else self.charges.data_centre_s
        return home_wait_s - place.wait_s - place.delay_s - charge_s

    def _size_charge_s(self, size_bytes: int) -> float:
        return self.charges.megabyte_s * size_bytes / BYTES_PER_MEGABYTE


def strain_s(load: float, target_s: float) -> float:
    """Return how long a request waits for memory or slots at servers with a load."""
    return target_s * max(0.0, load - STRAINED_LOAD) / (1.0 - STRAINED_LOAD)
