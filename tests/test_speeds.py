"""Choice among servers of different speed and reliability, without a network."""

import collections
import random

import pytest

from ebonywheel import messages, serverpaces
from ebonywheel.gateway import balance, dialect, routes, speeds

PLAN = routes.Service("plan", engine=routes.Engine(24, 27_000, supports_moves=True))
BOOK = routes.Service("book")
HERE = balance.Location("puget-a", "puget")
LONG = {
    "service": PLAN,
    "tokens": 3_800,
    "unread": 3_000,
    "max_load": 1.0,
    "max_unread": 12_600,
    "target_latency_s": 1.8,
    "stream_s": 5.0,
}
SHORT = {"service": PLAN, "tokens": 2_200, "unread": 2_200, "max_load": 1.0}


def candidate(name, seen=None, data_centre="puget-a", slots=24, **state):
    record = messages.DirectoryRecord(name, 1, 1, data_centre=data_centre, slots=slots)
    state = balance.ServerState(seen=seen or serverpaces.Sums(), **state)
    return balance.Candidate(record, state, 0.1, data_centre.partition("-")[0])


def streams(windows, late_share, read_s=0.0001):
    return serverpaces.Sums(
        windows=windows,
        late_windows=windows * late_share,
        read_tokens=40_000.0,
        read_s=40_000 * read_s,
    )


FAST = streams(20, 0.0)
SLOW = streams(20, 0.4, read_s=0.00022)


def choices(candidates, now=0.0, count=200, **requirements):
    """Return how often each server is chosen."""
    random.seed(1)
    requirements = balance.Requirements(**requirements)
    chosen = [balance.choose(candidates, requirements, HERE, now, 70) for _ in range(count)]
    return collections.Counter(each.record.server[:4] if each else None for each in chosen)


def quarter_slow():
    return [candidate(f"slow{n}", SLOW) for n in range(3)] + [
        candidate(f"fast{n}", FAST, tokens=8_000) for n in range(9)
    ]


def test_a_quarter_of_the_servers_is_half_as_fast():
    assert choices(quarter_slow(), **LONG) == {"fast": 200}
    # Short answers have no pause that is late, and leave the room of the fast ones.
    assert choices(quarter_slow(), **SHORT)["slow"] > 50


def test_most_servers_are_half_as_fast():
    servers = [candidate(f"slow{n}", SLOW) for n in range(9)]
    servers += [candidate(f"fast{n}", FAST, "yakima-a") for n in range(2)]
    assert choices(servers, **LONG) == {"fast": 200}


def test_the_fast_servers_have_no_memory():
    servers = [candidate("fast", FAST, tokens=23_500), candidate("slow", SLOW)]
    assert choices(servers, **LONG) == {"slow": 200}


def test_the_fast_servers_have_prompts_to_read():
    """Some go there all the same: other hosts may have sent as many to the slow one."""
    servers = [candidate("fast", FAST, other_unread=9_000), candidate("slow", SLOW)]
    assert choices(servers, **LONG)["slow"] > 100


def test_the_last_server_with_room_is_not_overrun_by_hosts_with_old_loads():
    servers = [candidate(f"full{n}", FAST, other_unread=9_000) for n in range(10)]
    servers += [candidate(f"slow{n}", SLOW, other_unread=6_000) for n in range(9)]
    servers.append(candidate("last", FAST))
    assert 0 < choices(servers, **LONG)["last"] < 100


def test_a_server_of_which_nothing_is_known_counts_as_typical():
    servers = [candidate("fast", FAST), candidate("new0"), candidate("slow", SLOW)]
    assert choices(servers, **LONG) == {"fast": 200}
    assert choices(servers, **SHORT)["new0"]
    servers[0].state.tokens = 21_500
    assert choices(servers, **LONG) == {"new0": 200}


def test_a_fast_server_whose_streams_were_hardly_seen_is_known_by_its_reading():
    """Fast servers have few windows, as their streams end soon."""
    servers = quarter_slow()
    servers.append(candidate("read", streams(0, 0.0), tokens=1_000))
    servers.append(candidate("dull", serverpaces.Sums(read_tokens=40_000, read_s=8.8)))
    counts = choices(servers, **LONG)
    assert counts["read"] and not counts["dull"] and not counts["slow"]


def test_a_new_server_states_that_work_is_fast_there():
    def stating(sums, stretch):
        sums.stretches = 8.0
        sums.stretch = 8.0 * stretch
        return sums

    servers = [candidate(f"slow{n}", stating(streams(20, 0.3), 1.2)) for n in range(6)]
    servers += [candidate("fast", stating(streams(20, 0.0), 0.6), tokens=21_500)]
    servers.append(candidate("newf", stating(serverpaces.Sums(), 0.6)))
    servers.append(candidate("news", stating(serverpaces.Sums(), 1.3)))
    assert choices(servers, **LONG) == {"newf": 200}
    # Seen to be slow, it is believed no more.
    servers[-2].state.seen = stating(streams(30, 0.3, read_s=0.0003), 0.6)
    assert choices(servers, **LONG)["newf"] < 50


def test_alike_servers_are_chosen_as_if_nothing_were_known():
    """Seeds as seen: what a few windows of each show by chance changes no choice."""
    rng = random.Random(3)
    names = [f"s{n:03}" for n in range(12)]
    known = [
        candidate(name, streams(12, sum(rng.random() < 0.1 for _ in range(12)) / 12))
        for name in names
    ]
    for requirements in (LONG, SHORT):
        assert choices(known, **requirements) == choices(
            [candidate(name) for name in names], **requirements
        )


def test_plain_work_goes_by_work_a_second():
    slow = serverpaces.Sums(works=40, work_s=40 * 0.2)
    fast = serverpaces.Sums(works=40, work_s=40 * 0.09)
    servers = [candidate("slow", slow, slots=6), candidate("fast", fast, slots=6, requests=1)]
    # The slow one would take as long for its first request as the fast one for two.
    assert choices(servers, service=BOOK)["fast"] > 180
    servers[1].state.requests = 3
    assert choices(servers, service=BOOK) == {"slow": 200}


def test_what_a_server_states_stands_in_until_its_answers_were_seen():
    lying = serverpaces.Sums(works=200, work_s=18.0, stretch=100.0, stretches=50)
    stating = serverpaces.Sums(stretch=100.0, stretches=50)
    usual = serverpaces.Sums(works=200, work_s=18.0, stretch=50.0, stretches=50)
    compared = speeds.Speeds([lying, stating, *[usual] * 8])
    assert compared.working_ratio(lying) == 1.0
    assert compared.working_ratio(stating) > 1.3


def test_one_server_fails_a_third_of_its_answers_to_all_hosts():
    failing = serverpaces.Sums(answers=30.0, failures=10.0)
    servers = [candidate("grey", failing, slots=6), candidate("good", None, "puget-b", slots=6)]
    assert choices(servers, service=BOOK) == {"good": 200}


def test_a_server_that_resets_is_left_alone_while_others_serve():
    resets = candidate("rst0", avoided_until=3.0)
    assert choices([resets, candidate("good", tokens=20_000)], **LONG) == {"good": 200}
    assert choices([resets], **LONG) == {"rst0": 200}
    assert choices([resets, candidate("good", tokens=20_000)], now=3.0, **LONG)["rst0"]


def test_only_streams_with_a_target_for_pauses_are_long():
    prompt = dialect.Prompt(3_000, 750, 600)
    route = routes.Route("r", "h", "/", routes.RouteKind.STREAM, (("plan", 1),), 39.0, 1.8)
    assert speeds.stream_s(prompt, route) == 0.0
    with_target = routes.Route(
        "r", "h", "/", routes.RouteKind.STREAM, (("plan", 1),), 39.0, 1.8, 0.18
    )
    assert speeds.stream_s(prompt, with_target) == pytest.approx(4.0)
    assert speeds.stream_s(prompt, with_target, 700) == 0.0
