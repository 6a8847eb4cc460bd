"""Many hosts that choose servers by loads that they learn of late, without a network.

Guards against herding: if all hosts pick the server that looked least loaded, all requests between
two reports go to one server, whose queue makes their first events late while other servers idle.
"""

import heapq
import random

from ebonywheel import messages, serverpaces, watcher
from ebonywheel.gateway import balance, routes

ENGINE = routes.Engine(24, 34_000, supports_moves=True)
SERVICE = routes.Service("plan", engine=ENGINE)
DATA_CENTRES = ["puget-a", "puget-b", "yakima-a", "yakima-b", "willamette-a", "willamette-b"]
PROMPT_TOKENS = 2_500
MEMORY_TOKENS = 3_000
# An engine reads its prompts one after the other.
READ_S = 0.35
RUN_S = 5.0
TARGET_S = 1.5
ARRIVAL, REPORT, PROMPT_READ, END = range(4)
# How much longer a server takes to read, and what all hosts have seen of it.
FAST = (1.0, serverpaces.Sums(windows=20, read_tokens=40_000, read_s=5.6))
SLOW = (2.0, serverpaces.Sums(windows=20, late_windows=8, read_tokens=40_000, read_s=11.2))


class Server:
    """An engine: reads prompts in order; its loads are known to all hosts at the last report."""

    def __init__(self, number, data_centre, slowness=1.0, seen=None):
        self.read_s = READ_S * slowness
        self.record = messages.DirectoryRecord(f"s{number}", 1, data_centre=data_centre, slots=24)
        self.state = balance.ServerState(seen=seen or serverpaces.Sums())
        self.free_at = 0.0
        self.unread = 0
        self.tokens = 0
        self.requests = 0

    def report(self):
        """Tell all hosts the present load."""
        self.state.other_unread = self.unread
        self.state.other_tokens = self.tokens
        self.state.other_requests = self.requests

    def start(self, now):
        """Queue a prompt and return when it has been read."""
        self.free_at = max(now, self.free_at) + self.read_s
        self.unread += PROMPT_TOKENS
        self.tokens += MEMORY_TOKENS
        self.requests += 1
        return self.free_at

    def finish_reading(self):
        self.unread -= PROMPT_TOKENS

    def end(self):
        self.tokens -= MEMORY_TOKENS
        self.requests -= 1


def first_event_times(
    servers_per_data_centre, requests_per_s, report_interval_s, duration_s=60.0, slow_share=0.0
):
    """Return the seconds to the first event of each request, and the share that left its region.

    With a share of slow servers, the share at these is returned in its place. They read half as
    fast, all hosts have seen that, and streams have a target for pauses that they miss.
    """
    rng = random.Random(5)
    random.seed(5)
    slow_numbers = range(round(slow_share * servers_per_data_centre))
    servers = [
        Server(f"{data_centre}-{number}", data_centre, *(SLOW if number in slow_numbers else FAST))
        for data_centre in DATA_CENTRES
        for number in range(servers_per_data_centre)
    ]
    by_id = {server.record.server: server for server in servers}
    arrivals = []
    now = 0.0
    while now < duration_s:
        now += rng.expovariate(requests_per_s)
        arrivals.append(now)
    events = [(at, ARRIVAL, None) for at in arrivals]
    reports = int(duration_s / report_interval_s)
    events += [(step * report_interval_s, REPORT, None) for step in range(reports)]
    events = [(at, kind, number, server) for number, (at, kind, server) in enumerate(events)]
    heapq.heapify(events)
    number = len(events)
    times = []
    far = 0
    requirements = balance.Requirements(
        SERVICE, MEMORY_TOKENS, unread=PROMPT_TOKENS, max_load=1.0, max_unread=12_000
    )
    if slow_share:
        requirements.target_latency_s, requirements.stream_s = TARGET_S, RUN_S
    slow = 0
    while events:
        now, kind, _, server = heapq.heappop(events)
        if kind == ARRIVAL:
            data_centre = rng.choice(DATA_CENTRES)
            location = balance.Location(data_centre, data_centre.partition("-")[0])
            candidates = [
                balance.Candidate(
                    each.record, each.state, 0.1, each.record.data_centre.partition("-")[0]
                )
                for each in servers
            ]
            # Each request comes to another host, which has no other request in flight.
            chosen = balance.choose(candidates, requirements, location, now, 195)
            far += chosen.region != location.region
            slow += by_id[chosen.record.server].read_s > READ_S
            server = by_id[chosen.record.server]
            read_at = server.start(now)
            times.append(read_at - now)
            number += 2
            heapq.heappush(events, (read_at, PROMPT_READ, number, server))
            heapq.heappush(events, (read_at + RUN_S, END, number + 1, server))
        elif kind == REPORT:
            for each in servers:
                each.report()
        elif kind == PROMPT_READ:
            server.finish_reading()
        else:
            server.end()
    return times, (slow if slow_share else far) / len(times)


def late_share(times):
    return sum(time > TARGET_S for time in times) / len(times)


class TestHerding:
    def test_many_hosts_spread_requests_by_old_loads(self):
        """195 hosts, 27 requests a second, five engines in each data centre, loads 0.5 s old."""
        times, far = first_event_times(5, 27.0, report_interval_s=0.5)
        assert late_share(times) < 0.02
        assert far < 0.1

    def test_busy_servers_are_used_evenly_by_loads_of_the_nearest_control_host(self):
        """Two engines in each data centre, half of their time spent on reading prompts."""
        times, _ = first_event_times(2, 17.0, watcher.NEAREST_WAIT_MS / 1000)
        assert late_share(times) < 0.02

    def test_many_hosts_know_the_fast_servers_and_do_not_overrun_them(self):
        """Three of five engines are half as fast; the fast ones have room for most streams."""
        times, slow = first_event_times(5, 12.0, watcher.NEAREST_WAIT_MS / 1000, slow_share=0.6)
        assert slow < 0.1
        assert late_share(times) < 0.02

    def test_what_the_fast_servers_cannot_read_in_time_goes_to_the_slow_ones(self):
        """The fast ones alone would need all of their time for reading."""
        times, slow = first_event_times(5, 30.0, watcher.NEAREST_WAIT_MS / 1000, slow_share=0.6)
        assert 0.2 < slow < 0.5
        assert late_share(times) < 0.03
