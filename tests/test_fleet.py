"""Stateful fuzz test of homes, slot ledgers and borrowers against a model of the server.

Messages are lost, duplicated, delayed and reordered; hosts pause and resume; the roster, the
server's incarnation and its home change at any time. The server must never have more requests in
flight than its number of finished requests allows.
"""

import os

import curio
import hypothesis
from hypothesis import stateful, strategies

from ebonywheel import exceptions, fleet, home, messages
from homes import (
    ENGINE,
    LEASE_S,
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

HOSTS = ("a", "b", "c")
STEPS = int(os.environ.get("FUZZ_STEPS", "60"))
EXAMPLES = int(os.environ.get("FUZZ_EXAMPLES", "150"))

host = strategies.sampled_from(HOSTS)
picks = strategies.integers(0, 1 << 16)


class Server:
    """A model of the requests that actually run on the backend server."""

    def __init__(self):
        self.incarnation = 1
        self.sequence = 0
        self.running = set()
        self.finished = 0

    def bearable(self):
        raised_limit = ENGINE.cold_slots + self.finished // ENGINE.warm_after
        return min(raised_limit, ENGINE.warm_slots)

    def start(self, loan, incarnation):
        if incarnation != self.incarnation:
            return
        self.running.add(loan)
        assert len(self.running) <= self.bearable(), "more in flight than the server can bear"

    def restart(self):
        self.incarnation += 1
        self.running = set()
        self.finished = 0


class Borrower:
    """One host's loans, whose expiry is checked by the real fleet code."""

    def __init__(self, name, own_home):
        self.name = name
        self.fleet = fleet.Fleet(own_home.core, own_home.feed, own_home)
        self.asked = {}
        self.held = {}


class Homes(stateful.RuleBasedStateMachine):
    def __init__(self):
        super().__init__()
        self.clock = make_clock()
        self.server = Server()
        self.homes = {name: make_home(name, self.clock) for name in HOSTS}
        self.borrowers = {name: Borrower(name, self.homes[name]) for name in HOSTS}
        self.kernel = curio.Kernel()
        self.epoch = 1
        self.roster = ("a", "b")
        self.frozen = {}
        self.net = []
        self.loans = 0
        self.used = set()
        for own in self.homes.values():
            own.cancel = self.cancel
            self.run(own.feed.take(make_configuration(1, self.roster)))
        self.quiet(6.0, "")

    def teardown(self):
        self.kernel.run(shutdown=True)

    def run(self, coro):
        return self.kernel.run(coro)

    async def cancel(self, state, loan):
        if state.incarnation == self.server.incarnation:
            self.server.running.discard(loan)
        return True

    def send(self, to, act, *message, life=1e9):
        self.net.append((to, act, message, self.clock.now + life))

    # -- the world -----------------------------------------------------------------------------

    @stateful.rule(seconds=strategies.sampled_from([0.05, 0.3, 0.6, 1.1, 2.5, 5.0]))
    def time_passes(self, seconds):
        self.clock.advance(seconds)
        self.frozen = {name: until for name, until in self.frozen.items() if until > self.clock.now}

    @stateful.rule(name=host, seconds=strategies.sampled_from([0.5, 2.0, 6.0, 12.0]))
    def host_pauses(self, name, seconds):
        self.frozen[name] = self.clock.now + seconds

    @stateful.rule(hosts=strategies.sets(host, min_size=1))
    def roster_changes(self, hosts):
        self.epoch += 1
        self.roster = tuple(sorted(hosts))

    @stateful.rule(name=host)
    def host_renews_its_lease(self, name):
        """Only a host in the roster gets a lease, of what is in force at the asking."""
        if name not in self.frozen:
            if name in self.roster:
                self.run(
                    self.homes[name].feed.take(make_configuration(self.epoch, self.roster), LEASE_S)
                )
            self.homes[name].views()

    @stateful.rule(
        seconds=strategies.sampled_from([0.5, 2.0, 3.5, 6.0]),
        out=strategies.sampled_from(["", "", *HOSTS]),
    )
    def quiet(self, seconds, out):
        """All but one host renew, report and hear each other, and the server announces itself."""
        if out:
            self.frozen[out] = self.clock.now + seconds + 0.1
        for _ in range(int(seconds / 0.5)):
            self.time_passes(0.5)
            for name in HOSTS:
                self.host_renews_its_lease(name)
                self.home_sends_its_handoffs(name)
                self.host_reports_its_slots(name, self.home_now())
                self.home_reclaims_orphans(name)
            self.server_announces(0)
            self.deliver_all()

    def deliver_all(self):
        kept = []
        while self.net:
            if self.net[0][0] in self.frozen:
                kept.append(self.net.pop(0))
            else:
                self.message_arrives(0, False)
        self.net = kept

    def home_now(self):
        return home.home_of(SERVER, "puget", make_configuration(self.epoch, self.roster).roster)

    @stateful.rule(lag_ms=strategies.sampled_from([0, 300, 900]))
    def server_announces(self, lag_ms):
        self.server.sequence += 1
        message = make_announcement(
            self.server.incarnation, self.server.sequence, len(self.server.running), 0
        )
        # The report is taken now and sent after the lag.
        message.load.age_ms = lag_ms
        taken = self.clock.now
        self.net.append((self.home_now(), self.take_announcement, (message, taken), taken + 0.9))

    def take_announcement(self, own, message, taken):
        # The stated age excludes the transit time, up to its bound.
        stated = max(0.0, self.clock.now - taken - 0.9)
        message.load.age_ms = int(stated * 1000)
        own.announce(message)

    @stateful.rule()
    def server_restarts(self):
        self.server.restart()

    @stateful.rule(pick=picks, duplicate=strategies.booleans())
    def message_arrives(self, pick, duplicate):
        if not self.net:
            return
        at = pick % len(self.net)
        to, act, message, until = self.net[at]
        if not duplicate:
            del self.net[at]
        if to in self.frozen or (duplicate and act == self.take_loan):
            return
        if until < self.clock.now and act == self.take_announcement:
            return
        try:
            act(self.homes[to], *map(copy_if_message, message))
        except exceptions.NotRunError:
            return

    @stateful.rule(pick=picks)
    def message_is_lost(self, pick):
        if self.net:
            del self.net[pick % len(self.net)]

    # -- borrowers -----------------------------------------------------------------------------

    def ask(self, name, to, incarnation=0):
        self.loans += 1
        loan = f"l{self.loans}"
        self.borrowers[name].asked[loan] = self.clock.now
        request = make_borrow(loan, max(1, self.server.incarnation - incarnation), name)
        self.send(to, self.lend, request, name)

    @stateful.rule(
        name=host,
        pick=picks,
        count=strategies.integers(1, 8),
        old=strategies.booleans(),
        used=strategies.booleans(),
    )
    def host_asks_for_slots(self, name, pick, count, old, used):
        """As many as it gets from one that speaks for the server, used at once or later."""
        homes = [to for to in HOSTS if self.speaks(to) and to not in self.frozen]
        if name in self.frozen or not homes:
            return
        to = homes[pick % len(homes)]
        for _ in range(count):
            self.ask(name, to, int(old and pick % 5 == 0))
            self.message_arrives(len(self.net) - 1, False)
            if self.net and self.net[-1][1] == self.take_loan and (used or pick % 2):
                self.message_arrives(len(self.net) - 1, False)
        while used and self.waiting(name):
            self.host_uses_a_loan(name, 0)

    def speaks(self, name):
        held = self.homes[name].servers.get(SERVER)
        return held is not None and held.ledger is not None

    @stateful.rule(name=host, count=strategies.integers(1, 6))
    def server_warms_up(self, name, count):
        """Work runs to its end in good order, so that the limit grows."""
        self.quiet(0.5, "")
        for _ in range(count):
            self.host_asks_for_slots(name, 0, 1, False, True)
            self.host_gives_a_slot_back(name, self.home_now(), 0, "finished")
            self.deliver_all()

    @stateful.rule(
        name=host,
        first=host,
        hosts=strategies.sets(host, min_size=1),
        before=strategies.integers(0, 4),
        seconds=strategies.sampled_from([0.0, 1.5, 2.5, 3.5, 4.5]),
        use_late=strategies.booleans(),
    )
    def home_changes_under_load(self, name, first, hosts, before, seconds, use_late):
        """Some slots are lent, the roster changes, one host learns of it first, all are asked."""
        self.quiet(0.5, "")
        self.host_asks_for_slots(name, 0, before, False, not use_late)
        self.roster_changes(hosts)
        self.host_renews_its_lease(first)
        self.server_announces(0)
        self.message_arrives(len(self.net) - 1, False)
        self.quiet(seconds, self.former_home(first))
        self.time_passes(0.2)
        for pick in range(3):
            self.host_asks_for_slots(first, pick, 8, False, True)
        for asker in HOSTS:
            self.host_uses_a_loan(asker, 0)

    def former_home(self, first):
        others = [other for other in HOSTS if other != first]
        return next((other for other in others if self.speaks(other)), others[0])

    @stateful.rule(name=host, hosts=strategies.sets(host, min_size=1))
    def home_hands_over_open_loans(self, name, hosts):
        """Loans that are not used yet, or only just, when another home takes over at once."""
        self.quiet(0.5, "")
        self.host_asks_for_slots(name, 1, 8, False, False)
        self.roster_changes(hosts)
        for own in HOSTS:
            self.host_renews_its_lease(own)
        for own in HOSTS:
            self.home_sends_its_handoffs(own)
        self.deliver_all()
        other = HOSTS[(HOSTS.index(name) + 1) % len(HOSTS)]
        for pick in range(3):
            self.host_asks_for_slots(other, pick, 8, False, True)
        while name not in self.frozen and self.waiting(name):
            self.host_uses_a_loan(name, 0)

    @stateful.rule(name=host, hosts=strategies.sets(host, min_size=1))
    def home_goes_and_returns(self, name, hosts):
        """A home is paused while another takes its place, and comes back under a newer roster."""
        self.quiet(0.5, "")
        before = self.roster
        paused = self.home_now()
        self.roster_changes(hosts - {paused} or {name})
        self.quiet(6.0, paused)
        self.host_asks_for_slots(name, 1, 8, False, False)
        self.time_passes(0.3)
        self.roster_changes(before)
        self.host_renews_its_lease(paused)
        self.server_announces(0)
        self.message_arrives(len(self.net) - 1, False)
        for pick in range(3):
            self.host_asks_for_slots(paused, pick, 8, False, True)
        while name not in self.frozen and self.waiting(name):
            self.host_uses_a_loan(name, 0)

    @stateful.rule(name=host, seconds=strategies.sampled_from([0.5, 1.2, 6.0, 12.0]))
    def borrower_pauses_with_loans(self, name, seconds):
        """It has slots, some not used yet, is paused, and goes on where it was."""
        self.quiet(0.5, "")
        self.host_asks_for_slots(name, 1, 1, False, True)
        self.host_asks_for_slots(name, 1, 8, False, False)
        self.quiet(seconds, name)
        for other in HOSTS:
            self.host_asks_for_slots(other, 0, 8, False, True)
        self.time_passes(0.3)
        while name not in self.frozen and self.waiting(name):
            self.host_uses_a_loan(name, 0)

    def lend(self, own, request, name):
        loan = own.lend(request)
        self.send(name, self.take_loan, loan, name)

    def take_loan(self, own, loan, name):
        borrower = self.borrowers[name]
        asked_at = borrower.asked.pop(loan.loan, None)
        if asked_at is not None:
            borrower.fleet.loan_expires_at[loan.loan] = asked_at + loan.duration_ms / 1000
            borrower.held[loan.loan] = loan.incarnation

    @stateful.rule(name=host, pick=picks)
    def host_uses_a_loan(self, name, pick):
        waiting = self.waiting(name)
        if name not in self.frozen and waiting:
            loan = waiting[pick % len(waiting)]
            self.use(name, loan, self.borrowers[name].held[loan])

    def waiting(self, name):
        borrower = self.borrowers[name]
        return [loan for loan in borrower.held if loan in borrower.fleet.loan_expires_at]

    def use(self, name, loan, incarnation):
        borrower = self.borrowers[name]
        try:
            borrower.fleet.check_loan(make_holding(loan, incarnation))
        except exceptions.NotRunError:
            del borrower.held[loan]
            return
        self.used.add(loan)
        self.server.start(loan, incarnation)

    @stateful.rule(name=host, to=host)
    def host_reports_its_slots(self, name, to):
        if name in self.frozen:
            return
        held = [
            make_holding(loan, incarnation)
            for loan, incarnation in self.borrowers[name].held.items()
        ]
        message = messages.Holdings(name, 1, held)
        self.send(to, lambda own, sent: own.update_holdings(sent), message)

    @stateful.rule(
        name=host,
        to=host,
        pick=picks,
        outcome=strategies.sampled_from(["finished", "finished", "failed", "detached"]),
    )
    def host_gives_a_slot_back(self, name, to, pick, outcome):
        borrower = self.borrowers[name]
        held = [loan for loan in borrower.held if loan in self.used]
        if name in self.frozen or not held:
            return
        loan = held[pick % len(held)]
        incarnation = borrower.held.pop(loan)
        if outcome == "finished" and loan in self.server.running:
            self.server.running.discard(loan)
            self.server.finished += 1
        elif outcome == "finished":
            outcome = "cancelled"
        message = make_release(loan, outcome, incarnation)
        self.send(to, lambda own, sent: own.release(sent), message)

    # -- homes ---------------------------------------------------------------------------------

    @stateful.rule(name=host)
    def home_sends_its_handoffs(self, name):
        own = self.homes[name]
        while name not in self.frozen and not own.handoffs.empty():
            target, message = self.run(own.handoffs.get())
            self.send(target, lambda own, sent: own.take_over(sent), message)

    @stateful.rule(name=host)
    def home_reclaims_orphans(self, name):
        own = self.homes[name]
        held = own.servers.get(SERVER)
        if name in self.frozen or held is None or held.ledger is None or not own.feed.holds_lease():
            return
        for loan in held.ledger.reclaimable_loans(self.clock.now):
            self.run(own.cancel_orphan(held.ledger, loan))

    @stateful.rule(name=host)
    def home_view_is_heard(self, name):
        for view in self.homes[name].views():
            for other in HOSTS:
                if other != name and view.limit:
                    self.homes[other].note_limit(round_trip(view))


def copy_if_message(value):
    return round_trip(value) if hasattr(value, "__struct_fields__") else value


class TestFuzz:
    def test_server_never_exceeds_its_limit(self):
        settings = hypothesis.settings(
            max_examples=EXAMPLES,
            stateful_step_count=STEPS,
            derandomize=True,
            deadline=None,
            database=None,
            suppress_health_check=list(hypothesis.HealthCheck),
        )
        stateful.run_state_machine_as_test(Homes, settings=settings)

    def test_limit_holds_when_a_home_returns_after_a_server_restart(self):
        """Guards against a third request in flight on a server that can bear two.

        The home changes, the server restarts, a borrower pauses with loans, and a paused home
        returns.
        """
        machine = Homes()
        try:
            machine.home_changes_under_load(
                before=0, first="a", hosts={"c"}, name="a", seconds=4.5, use_late=False
            )
            machine.server_restarts()
            machine.borrower_pauses_with_loans(name="c", seconds=1.2)
            machine.home_goes_and_returns(hosts={"b"}, name="a")
        finally:
            machine.teardown()
