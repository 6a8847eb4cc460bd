"""What servers say of themselves in their answers, kept by 195 entry hosts, without a network."""

import collections

import pytest

import manyhosts
from ebonywheel.gateway import dialect, inflight

SERVERS = 6
STABLE_WINDOW_S = 4.0
BRITTLE_FOR_S = 8.0
# Falls allowed in one time in which servers are brittle: two, and a tenth of their number.
MAX_FALLS = 2 + SERVERS // 10
REJECTION_S = 0.012
BACK_S = 2.0
RETRY = "retry"


class BrittleServers(manyhosts.Simulation):
    """Servers that fall over when they have to reject too many requests in a second.

    Attributes:
        borne: Rejections a second that a server bears.
        reject: Whether requests that find no free slot are rejected; else they wait.
        running: Requests that each server runs.
        rejected_at: Times of its latest rejections.
        back_at: When it is back after a fall.
        falls: Times of all falls.
        served: Number of requests that were run.
    """

    def __init__(self, seed, utilization, borne):
        self.borne = borne
        self.reject = False
        self.running = collections.Counter()
        self.rejected_at = collections.defaultdict(list)
        self.back_at = collections.Counter()
        self.falls = []
        self.served = 0
        capacity_per_s = SERVERS * manyhosts.SLOTS / manyhosts.WORK_S
        super().__init__(seed, [None] * SERVERS, utilization * capacity_per_s)

    def runs(self, number):
        return self.back_at[f"s{number}"] <= self.clock.now

    async def play(self, kind, *details):
        if kind == RETRY:
            await self.send(*details)
        else:
            await super().play(kind, *details)

    async def forward(self, host):
        await self.send(host, 2)

    async def send(self, host, tries):
        candidate = await host.choose()
        if candidate is None:
            self.refused.append(self.clock.now)
            return
        name = candidate.record.server
        reservation = inflight.Reservation(candidate.state, 0)
        fallen = self.back_at[name] > self.clock.now
        rejects = not fallen and self.reject and self.running[name] >= manyhosts.SLOTS
        duration_s = REJECTION_S
        if rejects:
            self.record_rejection(name)
        elif not fallen:
            self.running[name] += 1
            queued = max(1.0, self.running[name] / manyhosts.SLOTS)
            duration_s = manyhosts.WORK_S * queued
        answer = None if fallen else self.head(rejects)
        self.schedule(
            duration_s, manyhosts.ANSWER, host, candidate, reservation, answer, duration_s, tries
        )

    def head(self, rejects):
        return dialect.AnswerHead(
            503 if rejects else 200, "", rejects, None, None, [], rejections_per_s=self.borne
        )

    def record_rejection(self, name):
        now = self.clock.now
        times = [at for at in self.rejected_at[name] if at > now - 1.0] + [now]
        self.rejected_at[name] = times
        if len(times) > self.borne:
            self.falls.append(now)
            self.rejected_at[name] = []
            self.back_at[name] = now + BACK_S

    def answer(self, host, candidate, reservation, head, duration_s, tries):
        reservation.release()
        if head is None:
            candidate.state.record_unreachable(self.clock.now)
        else:
            notices = host.view.notices
            notices.observe_answer(candidate.record, candidate.state, head, manyhosts.ENTRY_HOSTS)
            if not head.not_run:
                self.running[candidate.record.server] -= 1
                notices.record_answer_time(candidate.record.service, duration_s)
                self.served += 1
                return
        if tries > 1:
            self.schedule(0.0, RETRY, host, tries - 1)


# Guards against brittle servers that fall over one after the other where each of many hosts sends
# them little: what others send in the meantime is known too late.
@pytest.mark.parametrize(("utilization", "borne"), [(0.3, 3), (0.5, 10), (1.3, 3)])
def test_brittle_servers_do_not_fall_over_as_many_hosts_send_to_them(utilization, borne):
    simulation = BrittleServers(1, utilization, borne)
    simulation.run(STABLE_WINDOW_S + 2.0)
    simulation.reject = True
    simulation.served = 0
    simulation.run(BRITTLE_FOR_S)
    assert len(simulation.falls) <= MAX_FALLS
    capacity = BRITTLE_FOR_S * SERVERS * manyhosts.SLOTS / manyhosts.WORK_S
    assert simulation.served >= 0.9 * min(utilization, 0.5) * capacity
