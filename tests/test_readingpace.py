"""Spacing of starts at one engine over all hosts, without a network."""

import types

import curio

from ebonywheel import clock, permits
from ebonywheel.gateway import readingpace

TARGET_S = 4.0
PROMPT_TOKENS = 3_500
READ_S = 0.5


class Leader:
    """Grants permits, as the leader does, or does not answer."""

    def __init__(self, time_source):
        self.permits = permits.Permits(time_source, lambda step: None)
        self.answers = True

    async def request(self, request):
        return self.permits.grant(request).wait_ms / 1000 if self.answers else None


def make_hosts(count):
    time_source = clock.ManualClock()
    leader = Leader(time_source)
    hosts = [readingpace.ReadingPace(time_source, leader) for _ in range(count)]
    return time_source, leader, hosts


def make_context(priority=2, tokens=PROMPT_TOKENS):
    route = types.SimpleNamespace(priority=priority, target_latency_s=TARGET_S)
    prompt = types.SimpleNamespace(tokens=tokens)
    return types.SimpleNamespace(route=route, request=types.SimpleNamespace(prompt=prompt))


def make_candidate(name="s"):
    return types.SimpleNamespace(record=types.SimpleNamespace(server=name, born_ms=1))


def ask(host, context, pacing=None):
    pacing = pacing or readingpace.Pacing()
    return curio.run(host.acquire, context, make_candidate(), pacing)


def test_hosts_that_see_an_empty_engine_at_one_moment_do_not_all_send_to_it():
    time_source, _, hosts = make_hosts(40)
    ask(hosts[0], make_context())
    time_source.advance(10.0)
    started = sum(ask(host, make_context()) for host in hosts)
    assert 1 <= started <= 1 + readingpace.places.FIRST_UNREAD_SHARE * TARGET_S / READ_S


def test_starts_follow_the_rate_of_reading():
    time_source, _, hosts = make_hosts(20)
    started = 0
    for _ in range(100):
        started += sum(ask(host, make_context()) for host in hosts)
        time_source.advance(0.1)
    assert 0.8 * 10.0 / READ_S <= started <= 10.0 / READ_S + 2


def test_urgent_requests_are_not_spaced_by_less_urgent_ones():
    time_source, _, hosts = make_hosts(2)
    for priority in (0, 2):
        ask(hosts[0], make_context(priority))
    time_source.advance(5.0)
    while ask(hosts[0], make_context(2)):
        pass
    assert not ask(hosts[1], make_context(2))
    assert ask(hosts[1], make_context(0))


def test_a_denied_engine_is_left_alone_until_it_can_be_granted():
    time_source, _, (host,) = make_hosts(1)
    context = make_context()
    assert not ask(host, context)
    assert host.denied(context) == {"s"}
    assert not host.denied(make_context(priority=0))
    time_source.advance(READ_S + 0.01)
    assert not host.denied(context)
    assert ask(host, context)


def test_hosts_that_lose_the_leader_do_not_start_at_one_moment():
    time_source, leader, hosts = make_hosts(40)
    leader.answers = False
    pacings = [readingpace.Pacing() for _ in hosts]
    for pacing in pacings:
        pacing.waited = True
    pauses = []
    for host, pacing in zip(hosts, pacings, strict=True):
        pauses.append(curio.run(host._ask, make_context(), make_candidate(), pacing))
    assert sum(pause < 0.1 for pause in pauses) <= 12
    time_source.advance(readingpace.places.FIRST_UNREAD_SHARE * TARGET_S)
    assert all(
        ask(host, make_context(), pacing) for host, pacing in zip(hosts, pacings, strict=True)
    )


def test_without_a_leader_what_has_not_waited_starts_at_once():
    _, leader, (host,) = make_hosts(1)
    leader.answers = False
    assert ask(host, make_context())
