"""Model of roll-outs, without a network: draws requests and answers, and lets the judge decide.

``python tests/rolloutmodel.py [COUNT [FIRST_SEED]]`` prints a table of COUNT seeded roll-outs of
each class.
"""

import dataclasses
import heapq
import math
import random
import sys

from ebonywheel import rolloutdelays, rolloutevidence, rolloutjudge, rolloutstate, settings

STEP_S = 0.1
# Evidence reaches the leader, and a decision the entry hosts, within a watch.
EVIDENCE_LAG_S = 0.3
DECISION_LAG_S = 0.1
SERVERS_START_S = 1.0
TIMEOUT_S = 5.0
CLASSES = (
    "good",
    "bad from the start",
    "bad late",
    "bad under load",
    "bad on one route",
    "slow",
    "both ill",
    "too little traffic",
)
GOOD_CLASSES = ("good", "both ill")


@dataclasses.dataclass
class Result:
    """How a roll-out ended.

    Attributes:
        phase: ``completed`` or ``rolled_back``.
        end_s: When, in seconds since the order.
        ill_s: When the version first gave a bad answer, None for never.
        excess: Requests to the target over the stated bound, counted to the deadline.
    """

    phase: str
    reason: str
    end_s: float
    duration_s: float
    ill_s: float | None
    to_target: int
    total: int
    excess: float


class Rollout:
    """One drawn roll-out."""

    def __init__(self, kind, seed):
        self.random = random.Random(f"{kind} {seed}")
        draw = self.random.uniform
        self.kind = kind
        self.duration_s = self.random.choice((12.0, 20.0, 30.0, 60.0))
        self.rate = math.exp(draw(math.log(20.0), math.log(150.0)))
        if kind == "too little traffic":
            self.rate = draw(0.0, 0.3)
        self.routes = {
            name: (math.exp(draw(math.log(0.05), math.log(1.0))), draw(0.3, 0.8))
            for name in ("a", "b")
        }
        self.route_part = draw(0.25, 0.75)
        self.usual_failures = draw(0.0, 0.02)
        self.portion = draw(0.3, 0.8)
        self.slows = kind == "slow" or self.random.random() < 0.4
        self.factor = draw(3.0, 6.0)
        self.late_s = draw(0.3, 0.8) * self.duration_s if kind == "bad late" else 0.0
        self.ill_from = draw(0.2, 0.6) * self.duration_s
        self.pending = []
        self.evidence = {}
        self.requests = {True: 0, False: 0}
        self.ill_s = None

    def is_ill(self, now, route, on_target, share):
        """Return whether an answer may be bad."""
        if self.kind == "both ill":
            return self.ill_from <= now < self.ill_from + 0.3 * self.duration_s
        if self.kind in ("good", "too little traffic") or not on_target or now < self.late_s:
            return False
        if self.kind == "bad under load":
            return share > 0.5
        return self.kind != "bad on one route" or route == "b"

    def send(self, now, on_target, share):
        """Send one request; its answer is counted later."""
        route = "a" if self.random.random() < self.route_part else "b"
        median, spread = self.routes[route]
        delay = self.random.lognormvariate(math.log(median), spread)
        failed = self.random.random() < self.usual_failures
        if self.is_ill(now, route, on_target, share) and self.random.random() < self.portion:
            if on_target and self.ill_s is None:
                self.ill_s = now
            if self.slows:
                delay *= self.factor
            else:
                failed = True
        failed = failed or delay > TIMEOUT_S
        delay = min(delay, TIMEOUT_S)
        self.requests[on_target] += 1
        self.entry(route, on_target).requests += 1
        item = (now + delay + EVIDENCE_LAG_S, now, route, on_target, failed, delay)
        heapq.heappush(self.pending, item)

    def entry(self, route, on_target):
        counts = self.evidence.setdefault(route, rolloutevidence.RouteCounts())
        return counts.target if on_target else counts.others

    def totals(self, now):
        """Return what the leader knows at a moment."""
        while self.pending and self.pending[0][0] <= now:
            _, _, route, on_target, failed, delay = heapq.heappop(self.pending)
            counts = self.entry(route, on_target)
            counts.answers += 1
            counts.failures += failed
            counts.delays[rolloutdelays.bucket_of(delay * 1000)] += 1
        copied = rolloutevidence.Totals(hosts=1)
        for route, pair in self.evidence.items():
            copied.routes[route] = rolloutevidence.RouteCounts(
                *(
                    rolloutevidence.Counts(
                        each.requests, each.answers, each.failures, list(each.delays)
                    )
                    for each in (pair.target, pair.others)
                )
            )
        for _, sent, route, on_target, _, _ in self.pending:
            counts = copied.routes[route]
            waited = max(0.0, now - EVIDENCE_LAG_S - sent)
            side = counts.target if on_target else counts.others
            side.waiting[rolloutdelays.bucket_of(waited * 1000)] += 1
            copied.in_flight_old += not on_target
        return copied

    def run(self, make_judge=rolloutjudge.Judge):
        """Play the roll-out to its deadline."""
        bounds = settings.RolloutSettings()
        judge = make_judge(bounds, self.duration_s)
        share, phase, phase_at = 0.0, rolloutstate.PROVING, 0.0
        end, reason, credit, planned = None, "", 0.0, []
        for step in range(int((self.duration_s + 1.0) / STEP_S)):
            now = step * STEP_S
            while planned and planned[0][0] <= now:
                share = planned.pop(0)[1]
            if now < self.duration_s:
                credit += self.rate * STEP_S
                while credit >= 1.0:
                    credit -= 1.0
                    self.send(now, now > SERVERS_START_S and self.random.random() < share, share)
            if end is not None:
                continue
            servers = 4 if now > SERVERS_START_S else 0
            moment = rolloutjudge.Moment(now, phase, now - phase_at, servers, self.totals(now))
            decision = judge.decide(moment)
            match decision.action:
                case rolloutjudge.SHARE:
                    planned.append((now + DECISION_LAG_S, decision.share))
                case rolloutjudge.SHIFT:
                    phase, phase_at = rolloutstate.SHIFTING, now
                    planned.append((now + DECISION_LAG_S, 1.0))
                case rolloutjudge.COMPLETE | rolloutjudge.ROLL_BACK:
                    end, reason = now, decision.reason
                    completed = decision.action == rolloutjudge.COMPLETE
                    phase = rolloutstate.COMPLETED if completed else rolloutstate.ROLLED_BACK
                    planned.append((now + DECISION_LAG_S, 1.0 if completed else 0.0))
        total = sum(self.requests.values())
        allowed = bounds.exposure_share * total + bounds.exposure_slack
        return Result(
            phase,
            reason,
            math.inf if end is None else end,
            self.duration_s,
            self.ill_s,
            self.requests[True],
            total,
            self.requests[True] - allowed,
        )


def percentile(values, part):
    """Return a percentile of values, NaN for none."""
    return sorted(values)[min(len(values) - 1, int(part * len(values)))] if values else math.nan


def main():
    """Print the table."""
    count = int(sys.argv[1]) if len(sys.argv) > 1 else 100
    first = int(sys.argv[2]) if len(sys.argv) > 2 else 0
    print(
        "| class | completed | rolled back | detected after s: mean, p99 | over the bound | late |"
    )
    print("| --- | --- | --- | --- | --- | --- |")
    for kind in CLASSES:
        results = [Rollout(kind, seed).run() for seed in range(first, first + count)]
        done = [each for each in results if each.phase == rolloutstate.COMPLETED]
        back = [each for each in results if each.phase == rolloutstate.ROLLED_BACK]
        delays = [each.end_s - each.ill_s for each in back if each.ill_s is not None]
        mean = sum(delays) / len(delays) if delays else math.nan
        over = [each for each in results if each.excess > 0]
        late = [each for each in results if each.end_s > each.duration_s]
        print(
            f"| {kind} | {len(done)} | {len(back)} | {mean:.1f}, {percentile(delays, 0.99):.1f} "
            f"| {len(over)} | {len(late)} |"
        )
        wrong = back if kind in GOOD_CLASSES else done
        for each in wrong[:3]:
            print(f"  {each}", file=sys.stderr)


if __name__ == "__main__":
    main()
