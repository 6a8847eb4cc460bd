"""How much of a data centre's traffic leaves it, in a model of queues known half a second late."""

import collections
import math
import random

import pytest

from ebonywheel.gateway import balance, crossing

STEP_S = 0.1
REPORT_AGE_S = 0.5
TARGET_S = 1.5
KEY = ("plan", TARGET_S)
CHARGES = crossing.Charges(0.05, 0.2)
REGIONS = {"puget-a": "puget", "puget-b": "puget", "yakima-a": "yakima", "yakima-b": "yakima"}


class ModelClock:
    def __init__(self):
        self.now = 0.0

    def monotonic(self):
        return self.now


class Model:
    """Data centres with queues of work; hosts know them `REPORT_AGE_S` late."""

    def __init__(self, rates, charges=CHARGES, capacities=None):
        self.clock = ModelClock()
        self.rates = rates
        self.capacities = capacities or dict.fromkeys(REGIONS, 10.0)
        self.queues = dict.fromkeys(REGIONS, 0.0)
        self.loads = dict.fromkeys(REGIONS, 0.0)
        self.history = collections.deque(maxlen=int(REPORT_AGE_S / STEP_S))
        self.crossings = {
            name: crossing.Crossings(self.clock, balance.Location(name, region), charges)
            for name, region in REGIONS.items()
        }
        self.sent = collections.Counter()
        self.waits = collections.defaultdict(list)
        self.flows = []

    def places(self):
        known = self.history[0] if self.history else (self.queues, self.loads)
        queues, loads = known
        return [
            crossing.Place(
                balance.Location(name, region), queues[name] / self.capacities[name], loads[name]
            )
            for name, region in REGIONS.items()
            if self.capacities[name]
        ]

    def run(self, duration_s, size_bytes=0, change=None):
        for _ in range(round(duration_s / STEP_S)):
            self.clock.now += STEP_S
            if change is not None:
                change(self)
            self.history.append((dict(self.queues), dict(self.loads)))
            self._send(size_bytes)

    def _send(self, size_bytes):
        arrived = collections.Counter()
        step = collections.Counter()
        for home, rate in self.rates.items():
            per_s = rate(self.clock.now) if callable(rate) else rate
            for _ in range(int(per_s * STEP_S + random.random())):
                crossings = self.crossings[home]
                found = crossings.destinations(KEY, self.places, random.random(), size_bytes)
                name = found[0] if found else home
                arrived[name] += 1
                step[home, name] += 1
                self.sent[home, name] += 1
                self.waits[home].append(self.queues[name] / (self.capacities[name] or 1e-9))
        self.flows.append(step)
        for name, capacity in self.capacities.items():
            work = self.queues[name] + arrived[name]
            done = min(work, capacity * STEP_S)
            self.queues[name] = work - done
            self.loads[name] += 0.2 * (done / (capacity * STEP_S or 1.0) - self.loads[name])

    def share_away(self, home):
        away = sum(count for (source, name), count in self.sent.items() if source == home != name)
        return away / max(
            1, sum(count for (source, _), count in self.sent.items() if source == home)
        )


@pytest.fixture(autouse=True)
def seeded():
    random.seed(7)


class TestLoads:
    def test_one_data_centre_at_twice_its_room_beside_idle_ones(self):
        model = Model({"puget-a": 20.0, "puget-b": 2.0, "yakima-a": 2.0, "yakima-b": 2.0})
        model.run(60.0)
        late = [wait for wait in model.waits["puget-a"][-400:] if wait > TARGET_S]
        assert len(late) < 20
        assert 0.4 < model.share_away("puget-a") < 0.7
        assert model.sent["puget-a", "puget-b"] > model.sent["puget-a", "yakima-a"]

    def test_what_leaves_does_not_swing(self):
        model = Model({"puget-a": 20.0, "puget-b": 2.0, "yakima-a": 2.0, "yakima-b": 2.0})
        model.run(60.0)
        shares = [_share_away(model.flows[at : at + 20], "puget-a") for at in range(200, 580, 20)]
        assert max(shares) - min(shares) < 0.5

    def test_it_swings_where_all_leave_for_any_gain(self, monkeypatch):
        """The proportion matters: hosts that turn at once send all of it to and fro."""
        monkeypatch.setattr(crossing, "SHARE_AT_TARGET", 1000.0)
        model = Model({"puget-a": 20.0, "puget-b": 2.0, "yakima-a": 2.0, "yakima-b": 2.0})
        model.run(60.0)
        shares = [_share_away(model.flows[at : at + 5], "puget-a") for at in range(200, 590, 5)]
        assert max(shares) - min(shares) > 0.8

    def test_all_full(self):
        model = Model(dict.fromkeys(REGIONS, 14.0))
        model.run(40.0)
        assert max(model.share_away(home) for home in REGIONS) < 0.05

    def test_waves_out_of_phase(self):
        def wave(phase):
            return lambda now: 9.0 * (1 + 0.55 * math.sin(2 * math.pi * (now / 11.0 + phase)))

        rates = {name: wave(number / 4) for number, name in enumerate(REGIONS)}
        random.seed(7)
        model = Model(rates)
        model.run(66.0)
        at_home = Model(rates, crossing.Charges(1e9, 1e9))
        at_home.run(66.0)
        assert _mean_wait_s(model) < 0.7 * _mean_wait_s(at_home)
        assert _both_ways_s(model) < 0.05 * 66.0

    def test_home_servers_are_slow(self):
        def slow_down(model):
            model.capacities["puget-a"] = 4.0 if model.clock.now > 10.0 else 10.0

        model = Model(dict.fromkeys(REGIONS, 6.0))
        model.run(60.0, change=slow_down)
        assert sum(model.waits["puget-a"][-100:]) / 100 < TARGET_S

    def test_far_room_vanishes_while_requests_are_on_their_way(self):
        def crowd(model):
            model.rates["puget-b"] = 14.0 if model.clock.now > 30.0 else 1.0

        model = Model({"puget-a": 15.0, "puget-b": 1.0, "yakima-a": 1.0, "yakima-b": 1.0})
        model.run(60.0, change=crowd)
        last = collections.Counter()
        for step in model.flows[-100:]:
            last.update(step)
        assert last["puget-a", "puget-b"] < 0.05 * sum(last.values())

    def test_dear_traffic_stays_for_a_wait_that_cheap_traffic_leaves_for(self):
        rates = {"puget-a": 12.0, "yakima-a": 2.0}
        cheap = Model(rates, crossing.Charges(0.01, 0.02))
        cheap.run(30.0)
        random.seed(7)
        dear = Model(rates, crossing.Charges(0.01, 2.0))
        dear.run(30.0)
        assert dear.sent["puget-a", "yakima-a"] < 0.5 * cheap.sent["puget-a", "yakima-a"]

    def test_large_requests_stay_sooner(self):
        """A queue that grows by 0.2 s a second is left by small requests long before large ones."""
        rates = {"puget-a": 12.0, "yakima-a": 2.0}
        small = Model(rates, crossing.Charges(0.01, 0.02, 1.0))
        small.run(6.0, size_bytes=1_000)
        random.seed(7)
        large = Model(rates, crossing.Charges(0.01, 0.02, 1.0))
        large.run(6.0, size_bytes=1_000_000)
        assert large.share_away("puget-a") < 0.7 * small.share_away("puget-a")

    def test_a_data_centre_that_is_taken_out_and_comes_back(self):
        def take_out(model):
            model.capacities["puget-b"] = 0.0 if 20.0 < model.clock.now < 40.0 else 10.0

        model = Model({"puget-a": 16.0, "puget-b": 0.0, "yakima-a": 2.0, "yakima-b": 2.0})
        model.run(60.0, change=take_out)
        out = collections.Counter()
        for step in model.flows[int(22 / STEP_S) : int(39 / STEP_S)]:
            out.update(step)
        assert out["puget-a", "puget-b"] == 0


def _share_away(steps, home):
    total = collections.Counter()
    for step in steps:
        total.update(step)
    sent = {name: count for (source, name), count in total.items() if source == home}
    return 1 - sent.get(home, 0) / max(1, sum(sent.values()))


def _mean_wait_s(model):
    waits = [wait for waits in model.waits.values() for wait in waits]
    return sum(waits) / len(waits)


def _both_ways_s(model):
    """Return for how long two data centres sent to each other within two seconds, in seconds."""
    both = 0.0
    window = int(2.0 / STEP_S)
    for at in range(0, len(model.flows) - window, window):
        total = collections.Counter()
        for step in model.flows[at : at + window]:
            total.update(step)
        if any(
            total[one, other] > 1 and total[other, one] > 1
            for one in REGIONS
            for other in REGIONS
            if one < other
        ):
            both += 2.0
    return both
