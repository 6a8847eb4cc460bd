"""Watch requests of entry hosts, without a network: other hosts' load, servers' records."""

import types

import curio
import pytest

from ebonywheel import clock, commands, directory, messages, statedata, watcher, watchserver
from ebonywheel.gateway import hostshare, view

REGIONS = {"puget-a": "puget", "puget-b": "puget", "yakima-a": "yakima"}


class Log:
    def __getattr__(self, level):
        return lambda *arguments, **fields: None


def make_core(time_source, name="entry-1", data_centre="puget-a"):
    host = types.SimpleNamespace(name=name, data_centre=data_centre)
    return types.SimpleNamespace(clock=time_source, host=host, log=Log())


@pytest.fixture
def manual_clock():
    return clock.ManualClock()


@pytest.fixture
def server(manual_clock):
    state_machine = types.SimpleNamespace(data=statedata.StateData())
    consensus = types.SimpleNamespace(members=[], on_applied=[], has_lease=lambda: False)
    return watchserver.WatchServer(make_core(manual_clock, "control-1"), consensus, state_machine)


@pytest.fixture
def entry_view(manual_clock):
    return view.EntryView(make_core(manual_clock), lambda content: None, REGIONS, 1)


def record(server="s", sequence=1, **fields):
    fields = {"service": "plan", "data_centre": "puget-a", **fields}
    return messages.DirectoryRecord(server, fields.pop("born_ms", 1), sequence, **fields)


def watch(server, entry_view, position, nearest=True, lose_reply=False):
    """Send one watch request, as the watcher does, and apply its reply unless it is lost."""

    async def exchange():
        request = entry_view.watch_request(nearest)
        request.epoch = position.epoch
        request.seen = position.seen
        request.uses_number = position.uses_number
        reply = await server.watch(request)
        if lose_reply:
            return reply
        await entry_view.update(request, reply, types.SimpleNamespace(address="control"))
        position.epoch, position.seen = reply.epoch, reply.seen
        position.uses_number = reply.uses_number if request.uses_wanted else 0
        return reply

    return curio.run(exchange)


def report(server, host, *uses):
    """Report the load of another entry host."""
    request = messages.WatchRequest(host=host, uses=list(uses), uses_reported=True)
    curio.run(server.watch(request))


@pytest.fixture
def position():
    return watcher.WatchPosition(0.0)


class TestOtherHostsLoad:
    def state(self, entry_view, server="s"):
        return entry_view.state_of(record(server))

    def test_changes_reach_an_entry_host(self, server, entry_view, position):
        report(server, "entry-2", messages.ServerUse("s", 1, 3000, 2500))
        watch(server, entry_view, position)
        assert self.state(entry_view).other_tokens == 3000
        report(server, "entry-2", messages.ServerUse("s", 1, 3100, 0))
        report(server, "entry-3", messages.ServerUse("t", 2, 500, 0))
        watch(server, entry_view, position)
        state = self.state(entry_view)
        assert (state.other_requests, state.other_tokens, state.other_unread) == (1, 3100, 0)
        assert self.state(entry_view, "t").other_requests == 2

    def test_only_changes_are_sent_once_the_rest_is_known(self, server, entry_view, position):
        report(server, "entry-2", messages.ServerUse("s", 1, 3000, 0))
        assert len(watch(server, entry_view, position).uses) == 1
        assert watch(server, entry_view, position).uses == []
        assert self.state(entry_view).other_tokens == 3000

    def test_load_that_has_ended_is_cleared(self, server, entry_view, position):
        report(server, "entry-2", messages.ServerUse("s", 1, 3000, 0))
        watch(server, entry_view, position)
        report(server, "entry-2")
        watch(server, entry_view, position)
        assert self.state(entry_view).other_tokens == 0
        assert entry_view.other_uses == {}

    def test_a_lost_reply_is_made_good_by_the_next(self, server, entry_view, position):
        report(server, "entry-2", messages.ServerUse("s", 1, 3000, 0))
        watch(server, entry_view, position)
        report(server, "entry-2", messages.ServerUse("t", 1, 700, 0))
        watch(server, entry_view, position, lose_reply=True)
        watch(server, entry_view, position)
        assert self.state(entry_view).other_tokens == 0
        assert self.state(entry_view, "t").other_tokens == 700

    def test_a_control_host_that_was_paused_during_the_wait_answers(self, server, manual_clock):
        """Its housekeeping forgets the asking host before the answer is made."""
        request = messages.WatchRequest(host="entry-1", uses_wanted=True)

        async def forget(request):
            manual_clock.advance(watchserver.USES_MAX_AGE_S + 1.0)
            server.uses = server._recent_uses()

        server._wait = forget
        request.epoch = server.epoch
        assert curio.run(server.watch, request).uses_complete

    def test_sums_of_a_control_host_of_an_older_version_are_complete(self, entry_view):
        entry_view.other_uses["t"] = messages.ServerUse("t", 1, 1, 1)
        reply = messages.WatchReply(uses=[messages.ServerUse("s", 1, 300, 0)])
        control = types.SimpleNamespace(address="control")
        curio.run(entry_view.update, messages.WatchRequest(uses_wanted=True), reply, control)
        assert list(entry_view.other_uses) == ["s"]

    def test_load_of_a_silent_host_is_forgotten(self, server, entry_view, position, manual_clock):
        report(server, "entry-2", messages.ServerUse("s", 1, 3000, 0))
        watch(server, entry_view, position)
        manual_clock.advance(watchserver.USES_MAX_AGE_S + 0.1)
        reply = watch(server, entry_view, position)
        assert self.state(entry_view).other_tokens == 0
        assert reply.entry_hosts == 1

    def test_other_control_hosts_hear_of_the_load_but_do_not_tell(
        self, server, entry_view, position
    ):
        report(server, "entry-2", messages.ServerUse("s", 1, 3000, 0))
        self.state(entry_view).requests = 1
        reply = watch(server, entry_view, position, nearest=False)
        assert (reply.uses, reply.entry_hosts) == ([], 2)
        assert server.uses["entry-1"].uses[0].requests == 1
        assert self.state(entry_view).other_tokens == 0


class TestWakes:
    """Each wake makes all entry hosts ask anew, so only news that restricts servers wakes them."""

    @pytest.mark.parametrize(
        ("before", "after", "wakes"),
        [
            (None, {}, False),
            ({}, {"sequence": 2}, False),
            ({}, {"sequence": 2, "draining": True}, True),
            ({"draining": True}, {"sequence": 2, "draining": True}, False),
            ({}, {"sequence": 2, "cold_ms": 500}, True),
            ({"cold_ms": 500}, {"sequence": 2}, False),
            ({}, {"born_ms": 2, "address": "10.0.0.2:1"}, True),
            ({}, {"sequence": 2, "slots": 5}, False),
        ],
    )
    def test_reports(self, server, before, after, wakes):
        if before is not None:
            curio.run(server.observe, record(**before), True)
        count = server.wake_count
        curio.run(server.observe, record(**after), True)
        assert (server.wake_count > count) == wakes

    @pytest.mark.parametrize("draining", [False, True])
    def test_a_leave_wakes_unless_the_server_was_draining(self, server, draining):
        curio.run(server.observe, record(draining=draining), True)
        count = server.wake_count
        curio.run(server.leave, "s", server.core.clock.monotonic())
        assert (server.wake_count > count) == (not draining)

    def test_a_leave_that_came_before_its_server_was_known_wakes(self, server):
        curio.run(server.leave, "s", server.core.clock.monotonic())
        count = server.wake_count
        curio.run(server.observe, record(), False)
        assert server.wake_count == count + 1

    # Guards against innocent requests that wait to be sent one at a time after one has succeeded.
    def test_evidence_that_clears_a_suspect_wakes_and_more_evidence_does_not(self, server):
        quarantine = server.state_machine.data.quarantine
        request = commands.InFlightRequest([b"again"], False)
        counts = [server.wake_count]
        for index in (1, 2, 3):
            quarantine.crashes[f"s{index}/1"] = statedata.ServerCrash(1000, [request])
            quarantine.index = index
            curio.run(server._wake_after_applied)
        counts.append(server.wake_count)
        quarantine.succeeded_ms[b"again"] = 2000
        quarantine.index = 4
        curio.run(server._wake_after_applied)
        counts.append(server.wake_count)
        assert counts == [0, 0, 1]


class TestNumberOfEntryHosts:
    def test_a_control_host_that_has_just_started_does_not_lower_it(
        self, server, entry_view, position, manual_clock
    ):
        """Each host's share of the retry budget and of a cold server's rate would grow."""
        for number in range(2, 9):
            report(server, f"entry-{number}")
        watch(server, entry_view, position)
        assert entry_view.share.hosts == 8
        server.uses.clear()
        watch(server, entry_view, watcher.WatchPosition(0.0), nearest=False)
        assert entry_view.share.hosts == 8
        manual_clock.advance(hostshare.HOSTS_HELD_S + 0.1)
        watch(server, entry_view, position)
        assert entry_view.share.hosts == 1


class TestRecords:
    def test_only_the_nearest_control_host_passes_on_renewals(
        self, server, entry_view, position, manual_clock
    ):
        server.directory.observe(record(), direct=True)
        assert len(watch(server, entry_view, position, nearest=False).records) == 1
        server.directory.observe(record(sequence=2), direct=True)
        assert watch(server, entry_view, position, nearest=False).records == []
        server.directory.observe(record(sequence=3), direct=True)
        assert len(watch(server, entry_view, position).records) == 1

    def test_a_change_among_renewals_is_passed_on(self, server, entry_view, position):
        server.directory.observe(record(), direct=True)
        watch(server, entry_view, position, nearest=False)
        server.directory.observe(record(sequence=2, draining=True), direct=True)
        server.directory.observe(record(sequence=3, draining=True), direct=True)
        (received,) = watch(server, entry_view, position, nearest=False).records
        assert received.draining

    def test_all_pass_on_renewals_when_the_nearest_misses_some(
        self, server, entry_view, position, manual_clock
    ):
        server.directory.observe(record(), direct=True)
        watch(server, entry_view, position, nearest=False)
        server.directory.observe(record(sequence=2), direct=True)
        manual_clock.advance(view.MAX_RELAYED_AGE_S + 0.1)
        assert len(watch(server, entry_view, position, nearest=False).records) == 1

    def test_the_nearest_control_host_passes_on_records_of_the_others(
        self, server, entry_view, position
    ):
        server.directory.observe(record("t"), direct=True)
        watch(server, entry_view, position)
        server.directory.observe(record(), direct=False)
        assert watch(server, entry_view, position, nearest=False).records == []
        server.directory.observe(record(sequence=2), direct=False)
        assert len(watch(server, entry_view, position).records) == 1


class TestNearest:
    def make_watcher(self, entry_view, *data_centres):
        host_watcher = watcher.Watcher(entry_view.core, entry_view)
        for number, data_centre in enumerate(data_centres):
            position = watcher.WatchPosition(0.0)
            position.connected = bool(data_centre)
            if data_centre:
                position.distance = entry_view.distance(data_centre)
            host_watcher.positions[f"10.0.0.{number}:1"] = position
        return host_watcher

    def nearest(self, host_watcher):
        return [
            address
            for address, position in host_watcher.positions.items()
            if host_watcher._is_nearest(position)
        ]

    @pytest.mark.parametrize(
        ("data_centres", "expected"),
        [
            (("yakima-a", "puget-b", "puget-a"), 2),
            (("yakima-a", "puget-b", ""), 1),
            (("yakima-a", "", ""), 0),
            (("puget-a", "puget-a", "yakima-a"), 0),
        ],
    )
    def test_one_connected_control_host_is_the_nearest(self, entry_view, data_centres, expected):
        host_watcher = self.make_watcher(entry_view, *data_centres)
        assert self.nearest(host_watcher) == [f"10.0.0.{expected}:1"]

    def test_each_counts_as_nearest_before_any_is_connected(self, entry_view):
        assert len(self.nearest(self.make_watcher(entry_view, "", ""))) == 2


def test_age_of_the_record_that_was_silent_for_longest(manual_clock):
    servers = directory.Directory(manual_clock)
    assert servers.oldest_age_s() == 0.0
    servers.observe(record("gone", gone=True))
    manual_clock.advance(1.0)
    servers.observe(record("s"))
    manual_clock.advance(2.0)
    servers.observe(record("t"))
    assert servers.oldest_age_s() == pytest.approx(2.0)


class TestRollouts:
    """What a control host tells of roll-outs, and to whom."""

    @pytest.fixture
    def leader(self, server):
        server.replica.has_lease = lambda: True
        record = statedata.RolloutRecord(5, "v2", 0, 12_000, share=0.1)
        server.state_machine.data.rollouts = {"plan": record}
        server.state_machine.data.rollouts_index = 7
        return server

    def ask(self, server, **fields):
        fields = {"host": "entry-1", "epoch": server.epoch, "wait_ms": 1500, **fields}
        return curio.run(server.watch, messages.WatchRequest(**fields))

    def test_a_change_is_told_at_once_and_once(self, leader):
        news = self.ask(leader, rollouts_wanted=True, rollouts_index=6)
        assert (news.rollouts_index, [view.share for view in news.rollouts]) == (7, [0.1])
        again = self.ask(leader, rollouts_wanted=True, rollouts_index=7, wait_ms=0)
        assert (again.rollouts_index, again.rollouts) == (7, [])
        assert again.rollouts_lease_ms == leader.share_lease_ms

    # Guards against a host of an earlier build that asks without a pause, as it knows of none.
    def test_a_host_that_wants_none_waits(self, leader):
        leader.wake_count = 0
        assert not leader._has_newer_state(messages.WatchRequest(host="entry-1"))
        assert self.ask(leader, wait_ms=0).rollouts == []

    # Guards against a share that outlives a roll-back which another leader has decided.
    def test_only_a_leader_under_its_lease_leases_a_share(self, leader):
        leader.replica.has_lease = lambda: False
        reply = self.ask(leader, rollouts_wanted=True)
        assert (len(reply.rollouts), reply.rollouts_lease_ms) == (1, 0)

    def test_evidence_is_kept_and_the_leader_asks_for_more_in_a_shift(self, leader):
        evidence = [messages.RolloutEvidence(5, "a", True, 3, 2)]
        request = messages.WatchRequest(
            host="entry-1", rollouts_wanted=True, rollouts_index=7, evidence=evidence, wait_ms=900
        )
        curio.run(leader.watch, request)
        assert leader.evidence.totals(5).requests() == (3, 3)
        assert leader._wait_ms(request) == 900
        leader.state_machine.data.rollouts["plan"].phase = "shifting"
        assert leader._wait_ms(request) == watchserver.SHIFTING_WAIT_MS
