"""Roll-outs at the leader: feeds the judges with evidence, and proposes what they decide."""

import curio

from ebonywheel import (
    commands,
    exceptions,
    kernel,
    replica,
    rolloutjudge,
    rolloutstate,
    settings,
    state,
    statedata,
    watchserver,
)

CHECK_INTERVAL_S = 0.1
IDLE_INTERVAL_S = 0.25
# Smaller changes of a share are not worth an entry of the log.
MIN_SHARE_CHANGE = 0.2
# Shares change at this interval at most, apart from those that are taken back.
SHARE_INTERVAL_S = 1.0
# Reasons are logged again after this time while nothing else is decided.
LOG_INTERVAL_S = 5.0
MS_PER_S = 1000
# Others' roll-outs wait meanwhile; a change that takes longer is decided anew.
PROPOSE_TIMEOUT_S = 1.0
# A share is leased for this part of the time within which a bad version gets no requests: the rest
# is for the evidence and the verdict.
LEASE_PART = 0.4


# Time after which a leader has heard of all servers that report: they do so every 1.2 s.
ALL_REPORTED_S = 3.0


class Leading:
    """A roll-out as the present leader follows it.

    Attributes:
        index: Log index of the order.
        judge: Its judge, which begins with this leader's term.
        shared_at: When the share was changed last, monotonic seconds.
        logged_at: When a decision was logged last, monotonic seconds.
        logged_action: The action that was logged.
        versions: Versions of the service's servers that were known at any time.
        began_at: When this leader began to follow it, monotonic seconds.
    """

    __slots__ = (
        "index",
        "judge",
        "shared_at",
        "logged_at",
        "logged_action",
        "versions",
        "began_at",
    )

    def __init__(self, index: int, judge: rolloutjudge.Judge, now: float):
        self.index = index
        self.judge = judge
        self.began_at = now
        self.shared_at = float("-inf")
        self.logged_at = float("-inf")
        self.logged_action = ""
        self.versions: set[str] = set()


class Rollouts:
    """Decides on the running roll-outs while this host leads.

    Attributes:
        term: Term that `leading` belongs to.
        leading: Running roll-outs by service.
    """

    def __init__(
        self,
        core: kernel.Kernel,
        consensus: replica.Replica,
        state_machine: state.State,
        watches: watchserver.WatchServer,
        bounds: settings.RolloutSettings,
    ):
        self.core = core
        self.replica = consensus
        self.state_machine = state_machine
        self.watches = watches
        self.bounds = bounds
        self.term = -1
        self.leading: dict[str, Leading] = {}
        core.metrics.gauge("rollouts_running", self._running_count)

    def _running_count(self) -> float:
        return float(len(rolloutstate.running(self.state_machine.data)))

    async def run(self) -> None:
        """Decide until cancelled."""
        while True:
            running = rolloutstate.running(self.state_machine.data)
            await curio.sleep(CHECK_INTERVAL_S if running else IDLE_INTERVAL_S)
            if not self.replica.has_lease():
                # A judge goes on after a gap in the lease; another term begins anew.
                continue
            await self._decide_all()

    async def _decide_all(self) -> None:
        term = self.replica.store.vote.term
        if term != self.term:
            self.term = term
            self.leading.clear()
        running = rolloutstate.running(self.state_machine.data)
        for service in self.leading.keys() - running.keys():
            del self.leading[service]
        for service, record in running.items():
            try:
                command = self._decide(service, record)
            except Exception as error:
                # The other roll-outs and all else go on; an operator can cancel this one.
                self.core.metrics.count("rollout_faults")
                self.core.log.error("rollout_undecided", service=service, error=repr(error))
                continue
            if command is not None:
                await self._propose(command)

    def _decide(
        self, service: str, record: statedata.RolloutRecord
    ) -> commands.AdvanceRollout | commands.EndRollout | None:
        followed = self.leading.get(service)
        if followed is None or followed.index != record.index:
            judge = rolloutjudge.Judge(self.bounds, record.duration_ms / MS_PER_S)
            followed = self.leading[service] = Leading(
                record.index, judge, self.core.clock.monotonic()
            )
        followed.versions |= self._versions(service)
        decision = followed.judge.decide(self._moment(service, record))
        command = self._command(service, record, followed, decision)
        self._log(service, record, followed, decision, changes=command is not None)
        return command

    def _moment(self, service: str, record: statedata.RolloutRecord) -> rolloutjudge.Moment:
        now_ms = self.replica.proposals.replicated_clock.now_ms()
        return rolloutjudge.Moment(
            (now_ms - record.started_ms) / MS_PER_S,
            record.phase,
            (now_ms - record.changed_ms) / MS_PER_S,
            sum(
                1
                for entry in self.watches.directory.live()
                if entry.record.service == service
                and entry.record.software == record.target
                and not entry.record.draining
            ),
            self.watches.evidence.totals(record.index),
        )

    def _command(
        self,
        service: str,
        record: statedata.RolloutRecord,
        followed: Leading,
        decision: rolloutjudge.Decision,
    ) -> commands.AdvanceRollout | commands.EndRollout | None:
        actor = self.core.host.name
        match decision.action:
            case rolloutjudge.SHARE:
                if not self._is_new_share(record, followed, decision.share):
                    return None
                followed.shared_at = self.core.clock.monotonic()
                return commands.AdvanceRollout(
                    actor=actor,
                    service=service,
                    rollout=record.index,
                    phase=rolloutstate.PROVING,
                    share=decision.share,
                    reason=decision.reason,
                )
            case rolloutjudge.SHIFT:
                return commands.AdvanceRollout(
                    actor=actor,
                    service=service,
                    rollout=record.index,
                    phase=rolloutstate.SHIFTING,
                    share=1.0,
                    reason=decision.reason,
                )
            case rolloutjudge.COMPLETE | rolloutjudge.ROLL_BACK:
                completed = decision.action == rolloutjudge.COMPLETE
                reason = decision.reason
                if not completed and self._replaces_nothing(followed, record):
                    # A roll-back would leave the service without a server.
                    completed, reason = True, "there was no server of another version"
                return commands.EndRollout(
                    actor=actor,
                    service=service,
                    rollout=record.index,
                    completed=completed,
                    reason=reason,
                    replaced=sorted(followed.versions - {record.target}) if completed else [],
                )
        return None

    def _is_new_share(
        self, record: statedata.RolloutRecord, followed: Leading, share: float
    ) -> bool:
        if share == 0.0 or record.share == 0.0:
            return share != record.share
        if abs(share - record.share) < MIN_SHARE_CHANGE * record.share:
            return False
        return self.core.clock.monotonic() - followed.shared_at >= SHARE_INTERVAL_S

    def _replaces_nothing(self, followed: Leading, record: statedata.RolloutRecord) -> bool:
        """Return whether this leader has known servers of the target for long, and no others."""
        followed_s = self.core.clock.monotonic() - followed.began_at
        return followed_s >= ALL_REPORTED_S and followed.versions == {record.target}

    def _versions(self, service: str) -> set[str]:
        return {
            entry.record.software
            for entry in self.watches.directory.live()
            if entry.record.service == service
        }

    async def _propose(self, command: commands.AdvanceRollout | commands.EndRollout) -> None:
        try:
            _, outcome = await self.replica.propose(command, PROPOSE_TIMEOUT_S)
        except exceptions.EbonywheelError as error:
            # The next check decides anew, here or at another leader.
            self.core.metrics.count("rollout_errors", code=error.code)
            self.core.log.info("rollout_waits", service=command.service, error=error)
            return
        if isinstance(command, commands.EndRollout):
            result = "completed" if command.completed else "rolled_back"
            self.core.metrics.count("rollouts_ended", service=command.service, result=result)
        if isinstance(outcome, commands.Refused):
            self.core.log.info("rollout_change_refused", service=command.service, why=outcome.text)

    def _log(
        self,
        service: str,
        record: statedata.RolloutRecord,
        followed: Leading,
        decision: rolloutjudge.Decision,
        changes: bool,
    ) -> None:
        now = self.core.clock.monotonic()
        repeated = decision.action == followed.logged_action
        if not changes and repeated and now - followed.logged_at < LOG_INTERVAL_S:
            return
        followed.logged_at = now
        followed.logged_action = decision.action
        to_target, total = self.watches.evidence.totals(record.index).requests()
        self.core.log.info(
            "rollout_decided",
            service=service,
            target=record.target,
            phase=record.phase,
            action=decision.action,
            share=round(decision.share, 4),
            reason=decision.reason,
            to_target=to_target,
            requests=total,
        )


def lease_ms(bounds: settings.RolloutSettings) -> int:
    """Return for how long a share is leased, in milliseconds."""
    return int(min(watchserver.DEFAULT_SHARE_LEASE_MS, LEASE_PART * bounds.rollback_s * MS_PER_S))
