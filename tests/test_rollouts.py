"""Which versions of a service's servers an entry host sends requests to, without a network."""

import collections
import random
import types

import curio
import pytest

from ebonywheel import clock, exceptions, messages, rolloutdelays
from ebonywheel.gateway import balance, dialect, rollouts, routes, sender, view

SERVICE = routes.Service("book")
SHARE = 0.1
LEASE_MS = 2000
HOSTS = 195


class Log:
    def __getattr__(self, level):
        return lambda *arguments, **fields: None


class Host:
    """An entry host with three servers of `v1` and three of `v2`.

    Attributes:
        asked_at: When its newest watch was sent.
    """

    def __init__(self, time_source=None, versions=("v1",) * 3 + ("v2",) * 3):
        self.clock = time_source or clock.ManualClock()
        metrics = types.SimpleNamespace(count=lambda *arguments, **labels: None)
        host = types.SimpleNamespace(name="entry-1", data_centre="puget-a")
        core = types.SimpleNamespace(clock=self.clock, host=host, log=Log(), metrics=metrics)
        self.view = view.EntryView(core, lambda content: None, {}, 1)
        self.records = [server_record(n, version) for n, version in enumerate(versions)]
        self.update(records=self.records)

    def update(self, asked_at=None, lease_ms=LEASE_MS, records=(), **fields):
        fields = {"rollouts_index": self.view.rollouts.index, **fields}
        reply = messages.WatchReply(
            1, 1, list(records), rollouts_lease_ms=lease_ms, members=["c"], **fields
        )
        asked_at = self.clock.now if asked_at is None else asked_at
        connection = types.SimpleNamespace(address="c")
        curio.run(self.view.update, messages.WatchRequest(), reply, connection, asked_at)

    def order(self, phase="proving", index=7, share=SHARE, barred=(), changed=None, **fields):
        for entry in self.view.directory.entries.values():
            entry.received_at = self.clock.now
        found = messages.RolloutView("book", index, "v2", phase, share, list(barred))
        self.update(rollouts_index=changed or index, rollouts=[found], **fields)

    def choose(self, source=None, **requirements):
        return self.view.choose(balance.Requirements(SERVICE, **requirements), source)

    def send(self):
        """Choose a server as for a new request, and count it as sent; return its record."""
        chosen = self.choose()
        if chosen is None:
            return None
        self.view.rollouts.observe_sent(chosen.record, "r", True, False)
        return chosen.record

    def versions(self, count=400):
        return collections.Counter(record and record.software for record in self.sent(count))

    def sent(self, count=400):
        return [self.send() for _ in range(count)]


def server_record(number, version, sequence=1, **fields):
    address = f"10.0.0.{number}:80"
    return messages.DirectoryRecord(
        f"s{number}",
        1,
        sequence,
        service="book",
        address=address,
        data_centre="puget-a",
        slots=6,
        software=version,
        **fields,
    )


class TestPhases:
    def test_without_a_roll_out_all_versions_serve(self):
        assert set(Host().versions()) == {"v1", "v2"}

    @pytest.mark.parametrize("share", [0.0, 0.03, 0.1, 0.5])
    def test_the_target_gets_its_share_while_it_is_proved(self, share):
        host = Host()
        host.order(share=share)
        assert share * 400 * 0.9 - 1 <= host.versions()["v2"] <= share * 400 + 1

    def test_exposed_requests_go_to_as_few_servers_as_take_the_share(self):
        host = Host()
        host.order(share=0.3)
        assert len({record.server for record in host.sent() if record.software == "v2"}) == 1
        host.order(share=0.5, changed=8)
        assert len({record.server for record in host.sent() if record.software == "v2"}) == 2

    @pytest.mark.parametrize(
        ("phase", "barred", "expected"),
        [("shifting", (), "v2"), ("completed", ["v1"], "v2"), ("rolled_back", ["v2"], "v1")],
    )
    def test_later_phases_leave_one_version(self, phase, barred, expected):
        host = Host()
        host.order(phase, barred=barred)
        assert set(host.versions()) == {expected}

    def test_while_traffic_shifts_others_serve_what_the_target_cannot_take(self):
        host = Host()
        host.order("shifting")
        for record in host.records[3:]:
            host.view.state_of(record).paused_until = host.clock.now + 1.0
        assert set(host.versions()) == {"v1"}

    # Guards against cold servers that get all the traffic at once as they come with the shift.
    def test_cold_servers_get_no_more_than_they_bear_while_traffic_shifts(self):
        host = Host()
        # A process that has just started sends nothing to cold servers.
        host.clock.advance(1.5)
        host.order("shifting")
        service = routes.Service("book", cold_per_s=2.0)
        for record in host.records[3:]:
            host.view.state_of(record).cold_until = host.clock.now + 5.0
        chosen = collections.Counter()
        for _ in range(100):
            candidate = host.view.choose(balance.Requirements(service))
            candidate.state.cold_request_times.append(host.clock.now)
            chosen[candidate.record.server] += 1
        assert [chosen[record.server] for record in host.records[3:]] == [2, 2, 2]

    def test_after_its_end_servers_of_further_versions_serve(self):
        host = Host(versions=("v1", "v2", "v3"))
        host.order("completed", barred=["v1"])
        assert set(host.versions()) == {"v2", "v3"}

    def test_servers_that_state_no_version_count_as_old_ones(self):
        host = Host(versions=("", "v2"))
        host.order()
        assert host.versions()[""] > 300

    def test_an_older_state_is_ignored(self):
        host = Host()
        host.order("rolled_back", barred=["v2"], changed=9)
        host.order("proving", share=1.0, changed=8)
        assert set(host.versions()) == {"v1"}

    def test_a_version_that_is_heard_of_later_waits_for_news_of_its_order(self):
        host = Host(versions=("v1",))
        host.clock.advance(1.0)
        host.update(records=[server_record(1, "v2")], lease_ms=0)
        host.clock.advance(0.2)
        assert set(host.versions()) == {"v1"}
        host.update()
        assert set(host.versions()) == {"v1", "v2"}

    def test_an_order_to_the_only_version_takes_no_server_away(self):
        host = Host(versions=("v2",) * 3)
        host.order()
        assert set(host.versions()) == {"v2"}

    def test_a_host_that_hears_of_all_versions_at_once_takes_the_usual_one(self):
        """Until the leader has answered: the list of servers begins with the new version."""
        host = Host(versions=("v2", "v1", "v1", "v1"))
        host.view.rollouts.asked_at = host.view.rollouts.share.confirmed_at = float("-inf")
        assert set(host.versions()) == {"v1"}


class TestLease:
    @pytest.mark.parametrize(("phase", "share"), [("proving", 0.5), ("shifting", 1.0)])
    def test_without_it_nothing_goes_to_the_target(self, phase, share):
        host = Host()
        host.order(phase, share=share)
        host.clock.advance(LEASE_MS / 1000)
        assert set(host.versions()) == {"v1"}

    def test_without_it_the_target_serves_once_no_other_can_be_reached(self):
        host = Host()
        host.order("shifting")
        host.clock.advance(LEASE_MS / 1000)
        for record in host.records[:3]:
            host.view.state_of(record).unreachable = True
        assert set(host.versions()) == {"v2"}
        assert host.view.rollouts.may_send(host.records[3])

    def test_an_answer_that_lay_in_the_socket_during_a_pause_gives_none(self):
        host = Host()
        host.order(share=0.5)
        asked_at = host.clock.now
        host.clock.advance(10.0)
        host.update(asked_at=asked_at)
        assert set(host.versions()) == {"v1"}

    def test_a_request_for_which_the_target_was_chosen_before_a_pause_is_not_sent(self):
        host = Host()
        host.order()
        target = host.records[3]
        connections = []

        async def acquire(record, timeout_s):
            host.clock.advance(10.0)
            connections.append(types.SimpleNamespace(close=lambda: curio.sleep(0)))
            return connections[0]

        request_sender = sender.Sender(host.view.core, host.view, None)
        request_sender.pool = types.SimpleNamespace(acquire=acquire)
        context = types.SimpleNamespace(sent_to=[], sent=False, request=None)
        sending = dialect.Sending(target.server, "", 1.0)
        with pytest.raises(exceptions.UpstreamError) as caught:
            curio.run(request_sender.send, context, target, sending, 1.0)
        assert (caught.value.sent, context.sent_to) == (False, [])
        assert host.view.state_of(target).failure_rate == 0.0


class TestMoves:
    @pytest.mark.parametrize(
        ("phase", "barred", "source", "expected"),
        [
            ("proving", (), 0, "v1"),
            ("shifting", (), 0, "v2"),
            ("completed", ["v1"], 0, "v2"),
            ("rolled_back", ["v2"], 3, "v1"),
        ],
    )
    def test_runs_go_on_at_servers_that_may_have_them(self, phase, barred, source, expected):
        host = Host()
        host.order(phase, share=1.0, barred=barred)
        source = host.records[source]
        chosen = [host.choose(source, excluded=frozenset({source.server})) for _ in range(50)]
        assert {candidate.record.software for candidate in chosen} == {expected}

    @pytest.mark.parametrize(
        ("phase", "barred", "expected"),
        [
            ("proving", (), set()),
            ("shifting", (), {"s0", "s1", "s2"}),
            ("rolled_back", ["v2"], {"s3", "s4", "s5"}),
        ],
    )
    def test_their_servers_are_told_when_the_phase_changes(self, phase, barred, expected):
        host = Host()
        told = set()

        async def leave(server):
            told.add(server)

        host.view.on_version_leaving.append(leave)
        host.order(phase, barred=barred)
        assert told == expected


class TestEvidence:
    def test_counts_are_told_by_route_and_side(self):
        host = Host()
        host.order()
        old, new = host.records[0], host.records[3]
        observed = [host.view.rollouts.observe_sent(new, "r", True, False) for _ in range(4)]
        host.clock.advance(0.1)
        observed[0].record_answer(host.clock.now)
        observed[0].record_failure(host.clock.now)
        observed[1].record_answer(host.clock.now)
        observed[2].withdraw()
        assert host.view.rollouts.observe_sent(old, "r", False, False) is None
        host.view.state_of(old).requests = 3
        found = {
            (each.route, each.on_target): each for each in host.view.watch_request(True).evidence
        }
        counts = found["r", True]
        bucket = rolloutdelays.bucket_of(100.0)
        assert (counts.index, counts.requests, counts.answers, counts.failures) == (7, 4, 2, 1)
        assert (counts.delays[bucket], sum(counts.delays)) == (2, 2)
        assert (counts.waiting[bucket], sum(counts.waiting)) == (1, 1)
        assert (found["r", False].requests, found["r", False].answers) == (1, 0)
        assert found["", False].in_flight_old == 3

    @pytest.mark.parametrize(
        ("status", "not_run", "is_stream", "expected"),
        [
            (200, False, False, (1, 0, 0)),
            (200, False, True, (0, 0, 1)),
            (404, False, False, (1, 0, 0)),
            (500, False, True, (1, 1, 0)),
            (503, True, False, (0, 0, 0)),
        ],
    )
    def test_heads_of_answers_count_as_what_they_are(self, status, not_run, is_stream, expected):
        host = Host()
        host.order()
        observed = host.view.rollouts.observe_sent(host.records[3], "r", True, False)
        head = dialect.AnswerHead(status, "", not_run, None, None, [])
        reply = sender.Reply(host.records[3], None, head, None, 0.0, observation=observed)
        sender.Sender(host.view.core, host.view, None)._observe_head(reply, is_stream)
        counts = observed.counts
        assert (counts.answers, counts.failures, len(counts.waiting)) == expected


def play(seed, lease_ms):
    """Play 20 s of proving with kills, then a roll-back that hosts cut off do not hear of.

    Returns:
        The requests sent to the service before the roll-back, those sent to the target, and when
        the last of these was sent, in seconds after the roll-back.
    """
    random.seed(seed)
    time_source = clock.ManualClock()
    hosts = [Host(time_source) for _ in range(HOSTS)]
    cut = set(random.sample(range(HOSTS), 20))
    rolled_back_at = time_source.now + 20.0
    requests = exposed = 0
    latest_s = 0.0
    for host in hosts:
        host.order()
    asked_at = [time_source.now] * HOSTS
    while time_source.now < rolled_back_at + 10.0:
        time_source.advance(0.05)
        after_s = time_source.now - rolled_back_at
        for number in random.sample(range(HOSTS), 20):
            if number in cut and after_s > -5.0:
                # Cut off, or frozen; then it reads what was sent to it before.
                if after_s > 6.0:
                    hosts[number].order(asked_at=asked_at[number], lease_ms=lease_ms)
                continue
            asked_at[number] = time_source.now
            if after_s < 0:
                hosts[number].order(lease_ms=lease_ms)
            else:
                hosts[number].order("rolled_back", barred=["v2"], changed=8)
        if after_s < -6.0:
            number = random.randrange(HOSTS)
            hosts[number] = Host(time_source)
            hosts[number].order(lease_ms=lease_ms)
            asked_at[number] = time_source.now
        for host in random.choices(hosts, k=10):
            requests += after_s < 0
            if host.send().software == "v2":
                exposed += 1
                latest_s = max(latest_s, after_s)
    return requests, exposed, latest_s


class TestExposure:
    @pytest.mark.parametrize("seed", range(3))
    def test_all_hosts_together_keep_within_the_share(self, seed):
        requests, exposed, latest_s = play(seed, LEASE_MS)
        assert 0.7 * SHARE * requests < exposed <= SHARE * requests
        assert latest_s <= LEASE_MS / 1000

    # Shows that it is the lease that ends the exposure at hosts that hear nothing.
    def test_without_the_lease_a_roll_back_does_not_reach_all(self):
        _, _, latest_s = play(0, 3_600_000)
        assert latest_s > 5.0

    # Shows that it is the random start that lets hosts with few requests expose any, and no more.
    def test_hosts_that_end_after_few_requests_expose_the_share(self, monkeypatch):
        sent = 5

        def exposed():
            hosts = [Host() for _ in range(1000)]
            for host in hosts:
                host.order()
            return sum(host.versions(sent)["v2"] for host in hosts)

        random.seed(1)
        assert 0.7 * SHARE * sent * 1000 < exposed() < 1.15 * SHARE * sent * 1000
        monkeypatch.setattr(rollouts.random, "random", lambda: 0.0)
        assert exposed() == 0
