"""Homes: who may lend a server's slots, through changes of the roster."""

import curio
import pytest

from ebonywheel import exceptions, home, messages
from homes import (
    SERVER,
    announced,
    borrow,
    configured,
    copy,
    holding,
    make_home,
    manual,
    release,
)

# Rendezvous over these names: the server's home is "b" with both, "a" alone with one.
BOTH = ("a", "b")
OWNER = home.home_of(SERVER, "puget", configured(1, BOTH).roster)
OTHER = "a" if OWNER == "b" else "b"


class World:
    def __init__(self):
        self.clock = manual()
        self.homes = {name: make_home(name, self.clock) for name in BOTH}
        self.sequence = 0

    def roster(self, epoch, hosts, *seen_by):
        for name in seen_by or BOTH:
            curio.run(self.homes[name].feed.take(configured(epoch, hosts)))

    def announce(self, name, **more):
        self.sequence += 1
        self.homes[name].announce(announced(sequence=self.sequence, **more))

    def settle(self, name, seconds=6.0, **more):
        """Let a home wait its predecessors out, announced to all the while."""
        for _ in range(int(seconds / 0.5)):
            self.clock.advance(0.5)
            self.renew(name)
            self.announce(name, **more)

    def renew(self, *names):
        for name in names:
            held = self.homes[name].feed
            held.lease_until = self.clock.monotonic() + 3.0
            self.homes[name].views()

    def lend(self, name, loan, **more):
        return self.homes[name].lend(borrow(loan, **more))

    def handoff(self, name):
        target, message = curio.run(self.homes[name].handoffs.get())
        return target, copy(message)


@pytest.fixture
def world():
    made = World()
    made.roster(1, (OTHER,))
    made.announce(OTHER)
    made.settle(OTHER)
    return made


class TestTakeover:
    def test_first_home_waits_a_lease_and_a_loan_out(self):
        world = World()
        world.roster(1, (OTHER,))
        world.announce(OTHER)
        world.clock.advance(2.5)
        world.announce(OTHER)
        with pytest.raises(exceptions.NotRunError, match="waiting out"):
            world.lend(OTHER, "x")

    def test_work_of_a_dead_home_is_counted_from_the_servers_own_report(self, world):
        world.lend(OTHER, "x")
        world.lend(OTHER, "y")
        world.roster(2, (OWNER,), OWNER)
        world.announce(OWNER, running=2)
        world.settle(OWNER, running=2)
        with pytest.raises(exceptions.NotRunError, match="no slot free"):
            world.lend(OWNER, "z")

    def test_longer_lease_is_waited_out(self, world):
        curio.run(world.homes[OWNER].feed.take(configured(2, (OWNER,)), 10.0))
        world.announce(OWNER)
        world.settle(OWNER, 9.0)
        with pytest.raises(exceptions.NotRunError, match="waiting out"):
            world.lend(OWNER, "z")

    def test_warmth_last_heard_of_is_kept(self, world):
        view = messages.ServerView(announced().state, home=OTHER, limit=5)
        world.homes[OWNER].hint(view)
        world.roster(2, (OWNER,), OWNER)
        world.announce(OWNER)
        assert world.homes[OWNER].servers[SERVER].ledger.limit == 5

    def test_new_incarnation_is_cold(self, world):
        world.homes[OTHER].servers[SERVER].ledger.limit = 6
        world.announce(OTHER, incarnation=2)
        assert world.homes[OTHER].servers[SERVER].ledger.limit == 2


class TestHandoff:
    def test_living_home_hands_over_without_a_pause(self, world):
        world.lend(OTHER, "x")
        world.homes[OTHER].servers[SERVER].ledger.limit = 3
        world.roster(2, BOTH)
        target, message = world.handoff(OTHER)
        assert target == OWNER
        world.homes[OWNER].take_over(message)
        world.lend(OWNER, "y")
        world.lend(OWNER, "z")
        with pytest.raises(exceptions.NotRunError, match="no slot free"):
            world.lend(OWNER, "w")

    def test_old_home_lends_nothing_after_the_handoff(self, world):
        world.roster(2, BOTH)
        with pytest.raises(exceptions.NotRunError, match="not known here"):
            world.lend(OTHER, "x")

    def test_handoff_that_comes_after_the_wait_is_refused(self, world):
        world.roster(2, BOTH)
        _, message = world.handoff(OTHER)
        world.announce(OWNER)
        world.settle(OWNER)
        world.lend(OWNER, "y")
        with pytest.raises(exceptions.NotRunError, match="too late"):
            world.homes[OWNER].take_over(message)

    def test_handoff_of_another_roster_is_refused(self, world):
        world.roster(2, BOTH)
        _, message = world.handoff(OTHER)
        world.roster(3, BOTH, OWNER)
        with pytest.raises(exceptions.NotRunError, match="another roster"):
            world.homes[OWNER].take_over(message)

    def test_loan_given_back_on_the_way_stays_given_back(self, world):
        world.lend(OTHER, "x")
        world.roster(2, BOTH)
        _, message = world.handoff(OTHER)
        world.announce(OWNER)
        world.homes[OWNER].release(release("x"))
        world.homes[OWNER].take_over(message)
        assert world.homes[OWNER].servers[SERVER].ledger.used(world.clock.now) == 0

    def test_dead_incarnations_travel_along(self, world):
        world.announce(OTHER, incarnation=2)
        world.roster(2, BOTH)
        _, message = world.handoff(OTHER)
        world.homes[OWNER].take_over(message)
        world.announce(OWNER, incarnation=1)
        assert world.homes[OWNER].servers[SERVER].ledger.state.incarnation == 2


class TestReturn:
    def test_home_whose_lease_lapsed_starts_again(self, world):
        """The roster went A-B-A while A was paused: B may have lent meanwhile."""
        world.clock.advance(20.0)
        world.roster(3, (OTHER,), OTHER)
        with pytest.raises(exceptions.NotRunError):
            world.lend(OTHER, "x")
        world.settle(OTHER, running=2)
        with pytest.raises(exceptions.NotRunError, match="no slot free"):
            world.lend(OTHER, "x")

    def test_home_with_an_unbroken_lease_goes_on(self, world):
        world.lend(OTHER, "x")
        world.roster(3, (OTHER,), OTHER)
        world.announce(OTHER)
        world.lend(OTHER, "y")
        with pytest.raises(exceptions.NotRunError, match="no slot free"):
            world.lend(OTHER, "z")

    def test_paused_home_lends_nothing(self, world):
        world.clock.advance(3.5)
        with pytest.raises(exceptions.NotRunError, match="no lease"):
            world.lend(OTHER, "x")

    def test_silent_server_that_returns_keeps_its_ledger(self, world):
        world.lend(OTHER, "x")
        world.lend(OTHER, "y")
        for _ in range(10):
            world.clock.advance(1.0)
            world.renew(OTHER)
        assert world.homes[OTHER].views() == []
        world.announce(OTHER, running=2)
        with pytest.raises(exceptions.NotRunError, match="no slot free"):
            world.lend(OTHER, "z")


class TestDeath:
    def died(self, world, gone=True):
        async def probe(state):
            return gone

        world.homes[OTHER].probe = probe
        curio.run(world.homes[OTHER].died(messages.DeathNotice(SERVER, 1)))

    def test_late_announcement_does_not_revive_it(self, world):
        self.died(world)
        world.announce(OTHER)
        with pytest.raises(exceptions.NotRunError, match="not known here"):
            world.lend(OTHER, "x")
        world.announce(OTHER, incarnation=2)
        world.lend(OTHER, "x", incarnation=2)

    def test_requests_in_flight_are_reported(self, world):
        world.lend(OTHER, "x", fingerprint=b"f")
        self.died(world)
        ((_, running),) = world.homes[OTHER].poison.deaths
        assert [held.fingerprint for held in running] == [b"f"]

    def test_notice_that_the_server_contradicts_is_ignored(self, world):
        self.died(world, gone=False)
        world.lend(OTHER, "x")


class TestOut:
    def test_data_centre_that_is_out_lends_nothing(self, world):
        curio.run(world.homes[OTHER].feed.take(configured(1, (OTHER,), ("puget",))))
        with pytest.raises(exceptions.NotRunError, match="is out"):
            world.lend(OTHER, "x")

    def test_returning_data_centre_is_cold(self, world):
        ledger = world.homes[OTHER].servers[SERVER].ledger
        ledger.limit = ledger.engine.warm_slots
        curio.run(world.homes[OTHER].feed.take(configured(1, (OTHER,), ("puget",))))
        curio.run(world.homes[OTHER].feed.take(configured(1, (OTHER,))))
        assert ledger.limit == ledger.engine.cold_slots

    @pytest.mark.parametrize("state", ["leaving", "starting"])
    def test_server_that_is_not_ready_gets_nothing(self, world, state):
        world.announce(OTHER, state=state)
        with pytest.raises(exceptions.NotRunError, match=f"server is {state}"):
            world.lend(OTHER, "x")


class TestReclaim:
    def reclaim(self, world, confirmed):
        asked = []

        async def cancel(state, loan):
            asked.append(loan)
            return confirmed

        held = world.homes[OTHER]
        held.cancel = cancel
        ledger = held.servers[SERVER].ledger

        async def run():
            for loan in ledger.reclaimable(world.clock.now):
                await held.reclaim_one(ledger, loan)

        curio.run(run())
        return asked, ledger.used(world.clock.now)

    @pytest.mark.parametrize(("confirmed", "used"), [(True, 0), (False, 1)])
    def test_slot_is_free_only_after_confirmation(self, world, confirmed, used):
        world.lend(OTHER, "x")
        world.homes[OTHER].hold(messages.Holdings("c", 1, [holding("x")]))
        assert self.reclaim(world, confirmed) == ([], 1)
        world.clock.advance(16.0)
        assert self.reclaim(world, confirmed) == (["x"], used)
