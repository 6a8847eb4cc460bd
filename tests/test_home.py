"""Tests of homes: which home may lend a server's slots, also while the roster changes."""

import curio
import pytest

from ebonywheel import exceptions, home, messages
from homes import (
    SERVER,
    make_announcement,
    make_borrow,
    make_clock,
    make_configuration,
    make_holding,
    make_home,
    make_release,
    round_trip,
)

# The server's home when both hosts are in the roster, and the other host.
HOSTS = ("a", "b")
NEW_HOME = home.home_of(SERVER, "puget", make_configuration(1, HOSTS).roster)
OLD_HOME = "a" if NEW_HOME == "b" else "b"


class HomeCluster:
    """Two homes on one manual clock."""

    def __init__(self):
        self.clock = make_clock()
        self.homes = {name: make_home(name, self.clock) for name in HOSTS}
        self.sequence = 0

    def set_roster(self, epoch, hosts, *seen_by):
        for name in seen_by or HOSTS:
            curio.run(self.homes[name].feed.take(make_configuration(epoch, hosts)))

    def announce(self, name, **fields):
        self.sequence += 1
        self.homes[name].announce(make_announcement(sequence=self.sequence, **fields))

    def run_for(self, name, seconds=6.0, **fields):
        """Advance the clock while the home renews its lease and receives announcements."""
        for _ in range(int(seconds / 0.5)):
            self.clock.advance(0.5)
            self.renew(name)
            self.announce(name, **fields)

    def renew(self, *names):
        for name in names:
            home_feed = self.homes[name].feed
            home_feed.lease_until = self.clock.monotonic() + 3.0
            self.homes[name].views()

    def lend(self, name, loan, **fields):
        return self.homes[name].lend(make_borrow(loan, **fields))

    def handoff(self, name):
        target, message = curio.run(self.homes[name].handoffs.get())
        return target, round_trip(message)


@pytest.fixture
def cluster():
    cluster = HomeCluster()
    cluster.set_roster(1, (OLD_HOME,))
    cluster.announce(OLD_HOME)
    cluster.run_for(OLD_HOME)
    return cluster


class TestTakeover:
    def test_first_home_waits_for_a_lease_and_a_loan_to_expire(self):
        cluster = HomeCluster()
        cluster.set_roster(1, (OLD_HOME,))
        cluster.announce(OLD_HOME)
        cluster.clock.advance(2.5)
        cluster.announce(OLD_HOME)
        with pytest.raises(exceptions.NotRunError, match="waiting out"):
            cluster.lend(OLD_HOME, "x")

    def test_requests_of_a_dead_home_are_counted_from_the_load_report(self, cluster):
        cluster.lend(OLD_HOME, "x")
        cluster.lend(OLD_HOME, "y")
        cluster.set_roster(2, (NEW_HOME,), NEW_HOME)
        cluster.announce(NEW_HOME, running=2)
        cluster.run_for(NEW_HOME, running=2)
        with pytest.raises(exceptions.NotRunError, match="no slot free"):
            cluster.lend(NEW_HOME, "z")

    def test_longer_lease_extends_the_wait(self, cluster):
        curio.run(cluster.homes[NEW_HOME].feed.take(make_configuration(2, (NEW_HOME,)), 10.0))
        cluster.announce(NEW_HOME)
        cluster.run_for(NEW_HOME, 9.0)
        with pytest.raises(exceptions.NotRunError, match="waiting out"):
            cluster.lend(NEW_HOME, "z")

    def test_limit_last_reported_by_the_old_home_is_kept(self, cluster):
        view = messages.ServerView(make_announcement().state, home=OLD_HOME, limit=5)
        cluster.homes[NEW_HOME].note_limit(view)
        cluster.set_roster(2, (NEW_HOME,), NEW_HOME)
        cluster.announce(NEW_HOME)
        assert cluster.homes[NEW_HOME].servers[SERVER].ledger.limit == 5

    def test_new_incarnation_is_cold(self, cluster):
        cluster.homes[OLD_HOME].servers[SERVER].ledger.limit = 6
        cluster.announce(OLD_HOME, incarnation=2)
        assert cluster.homes[OLD_HOME].servers[SERVER].ledger.limit == 2


class TestHandoff:
    def test_handoff_lets_the_new_home_lend_at_once(self, cluster):
        cluster.lend(OLD_HOME, "x")
        cluster.homes[OLD_HOME].servers[SERVER].ledger.limit = 3
        cluster.set_roster(2, HOSTS)
        target, message = cluster.handoff(OLD_HOME)
        assert target == NEW_HOME
        cluster.homes[NEW_HOME].take_over(message)
        cluster.lend(NEW_HOME, "y")
        cluster.lend(NEW_HOME, "z")
        with pytest.raises(exceptions.NotRunError, match="no slot free"):
            cluster.lend(NEW_HOME, "w")

    def test_old_home_does_not_lend_after_the_handoff(self, cluster):
        cluster.set_roster(2, HOSTS)
        with pytest.raises(exceptions.NotRunError, match="not known here"):
            cluster.lend(OLD_HOME, "x")

    def test_handoff_after_the_wait_is_refused(self, cluster):
        cluster.set_roster(2, HOSTS)
        _, message = cluster.handoff(OLD_HOME)
        cluster.announce(NEW_HOME)
        cluster.run_for(NEW_HOME)
        cluster.lend(NEW_HOME, "y")
        with pytest.raises(exceptions.NotRunError, match="too late"):
            cluster.homes[NEW_HOME].take_over(message)

    def test_handoff_of_another_roster_is_refused(self, cluster):
        cluster.set_roster(2, HOSTS)
        _, message = cluster.handoff(OLD_HOME)
        cluster.set_roster(3, HOSTS, NEW_HOME)
        with pytest.raises(exceptions.NotRunError, match="another roster"):
            cluster.homes[NEW_HOME].take_over(message)

    def test_loan_released_during_the_handoff_stays_released(self, cluster):
        cluster.lend(OLD_HOME, "x")
        cluster.set_roster(2, HOSTS)
        _, message = cluster.handoff(OLD_HOME)
        cluster.announce(NEW_HOME)
        cluster.homes[NEW_HOME].release(make_release("x"))
        cluster.homes[NEW_HOME].take_over(message)
        assert cluster.homes[NEW_HOME].servers[SERVER].ledger.used(cluster.clock.now) == 0

    def test_dead_incarnations_are_handed_over(self, cluster):
        cluster.announce(OLD_HOME, incarnation=2)
        cluster.set_roster(2, HOSTS)
        _, message = cluster.handoff(OLD_HOME)
        cluster.homes[NEW_HOME].take_over(message)
        cluster.announce(NEW_HOME, incarnation=1)
        assert cluster.homes[NEW_HOME].servers[SERVER].ledger.state.incarnation == 2


class TestLeaseContinuity:
    def test_home_with_an_expired_lease_counts_requests_again(self, cluster):
        """The other host may have been home, and lent, while this one was paused."""
        cluster.clock.advance(20.0)
        cluster.set_roster(3, (OLD_HOME,), OLD_HOME)
        with pytest.raises(exceptions.NotRunError):
            cluster.lend(OLD_HOME, "x")
        cluster.run_for(OLD_HOME, running=2)
        with pytest.raises(exceptions.NotRunError, match="no slot free"):
            cluster.lend(OLD_HOME, "x")

    @pytest.mark.parametrize("known_dead", [False, True])
    def test_incarnation_that_another_home_may_have_lent_is_counted(self, cluster, known_dead):
        """The server restarted, and another host was its home, while this one was paused."""
        if known_dead:
            TestServerDeath().report_death(cluster)
        cluster.clock.advance(20.0)
        cluster.set_roster(3, (OLD_HOME,), OLD_HOME)
        cluster.announce(OLD_HOME, incarnation=2, running=2)
        with pytest.raises(exceptions.NotRunError, match="waiting out"):
            cluster.lend(OLD_HOME, "x", incarnation=2)
        cluster.run_for(OLD_HOME, incarnation=2, running=2)
        with pytest.raises(exceptions.NotRunError, match="no slot free"):
            cluster.lend(OLD_HOME, "y", incarnation=2)
        assert cluster.homes[OLD_HOME].servers[SERVER].ledger.foreign == 2

    def test_home_with_an_unbroken_lease_keeps_lending(self, cluster):
        cluster.lend(OLD_HOME, "x")
        cluster.set_roster(3, (OLD_HOME,), OLD_HOME)
        cluster.announce(OLD_HOME)
        cluster.lend(OLD_HOME, "y")
        with pytest.raises(exceptions.NotRunError, match="no slot free"):
            cluster.lend(OLD_HOME, "z")

    def test_home_without_a_lease_does_not_lend(self, cluster):
        cluster.clock.advance(3.5)
        with pytest.raises(exceptions.NotRunError, match="no lease"):
            cluster.lend(OLD_HOME, "x")

    def test_silent_server_that_returns_keeps_its_ledger(self, cluster):
        cluster.lend(OLD_HOME, "x")
        cluster.lend(OLD_HOME, "y")
        for _ in range(10):
            cluster.clock.advance(1.0)
            cluster.renew(OLD_HOME)
        assert cluster.homes[OLD_HOME].views() == []
        cluster.announce(OLD_HOME, running=2)
        with pytest.raises(exceptions.NotRunError, match="no slot free"):
            cluster.lend(OLD_HOME, "z")


class TestServerDeath:
    def report_death(self, cluster, gone=True):
        async def probe(state):
            return gone

        cluster.homes[OLD_HOME].probe = probe
        curio.run(cluster.homes[OLD_HOME].handle_death(messages.DeathNotice(SERVER, 1)))

    def test_late_announcement_of_a_dead_incarnation_is_ignored(self, cluster):
        self.report_death(cluster)
        cluster.announce(OLD_HOME)
        with pytest.raises(exceptions.NotRunError, match="not known here"):
            cluster.lend(OLD_HOME, "x")
        cluster.announce(OLD_HOME, incarnation=2)
        cluster.lend(OLD_HOME, "x", incarnation=2)

    def test_requests_in_flight_are_reported_as_possible_causes(self, cluster):
        cluster.lend(OLD_HOME, "x", fingerprint=b"f")
        self.report_death(cluster)
        ((_, running),) = cluster.homes[OLD_HOME].poison.deaths
        assert [held.fingerprint for held in running] == [b"f"]

    def test_death_notice_is_ignored_if_the_server_answers(self, cluster):
        self.report_death(cluster, gone=False)
        cluster.lend(OLD_HOME, "x")


class TestOutOfService:
    def test_servers_of_an_out_data_centre_are_not_lent(self, cluster):
        curio.run(cluster.homes[OLD_HOME].feed.take(make_configuration(1, (OLD_HOME,), ("puget",))))
        with pytest.raises(exceptions.NotRunError, match="is out"):
            cluster.lend(OLD_HOME, "x")

    def test_limit_is_reset_when_a_data_centre_returns(self, cluster):
        ledger = cluster.homes[OLD_HOME].servers[SERVER].ledger
        ledger.limit = ledger.engine.warm_slots
        curio.run(cluster.homes[OLD_HOME].feed.take(make_configuration(1, (OLD_HOME,), ("puget",))))
        curio.run(cluster.homes[OLD_HOME].feed.take(make_configuration(1, (OLD_HOME,))))
        assert ledger.limit == ledger.engine.cold_slots

    @pytest.mark.parametrize("state", ["leaving", "starting"])
    def test_server_that_is_not_ready_is_not_lent(self, cluster, state):
        cluster.announce(OLD_HOME, state=state)
        with pytest.raises(exceptions.NotRunError, match=f"server is {state}"):
            cluster.lend(OLD_HOME, "x")


class TestOrphanCancellation:
    def cancel_orphans(self, cluster, confirmed):
        cancelled_loans = []

        async def cancel(state, loan):
            cancelled_loans.append(loan)
            return confirmed

        old_home = cluster.homes[OLD_HOME]
        old_home.cancel = cancel
        ledger = old_home.servers[SERVER].ledger

        async def run():
            for loan in ledger.reclaimable_loans(cluster.clock.now):
                await old_home.cancel_orphan(ledger, loan)

        curio.run(run())
        return cancelled_loans, ledger.used(cluster.clock.now)

    @pytest.mark.parametrize(("confirmed", "used"), [(True, 0), (False, 1)])
    def test_slot_is_free_only_after_confirmation(self, cluster, confirmed, used):
        cluster.lend(OLD_HOME, "x")
        cluster.homes[OLD_HOME].update_holdings(messages.Holdings("c", 1, [make_holding("x")]))
        assert self.cancel_orphans(cluster, confirmed) == ([], 1)
        cluster.clock.advance(16.0)
        assert self.cancel_orphans(cluster, confirmed) == (["x"], used)
