"""Replicated commands that move a service's traffic to another version of its servers.

A service has one roll-out at a time. Its latest one is kept after its end, because it tells which
versions get no requests any more.
"""

import math

from ebonywheel import commands, messages, registry, statedata

PROVING, SHIFTING = "proving", "shifting"
COMPLETED, ROLLED_BACK = "completed", "rolled_back"
ENDED = (COMPLETED, ROLLED_BACK)
MIN_DURATION_MS = 1
# A week: longer ones are taken for mistakes, and leave the log's range of times alone.
MAX_DURATION_MS = 7 * 86_400_000
MAX_NAME_CHARS = 255
# Roll-outs that are remembered; the oldest one that has ended is forgotten first.
MAX_ROLLOUTS = 512
MAX_BARRED = 16
# The same order without an operation id is taken for a resend for this long after the first one,
# also if the roll-out has ended since. Operators resend for seconds.
RESEND_MS = 10_000


class RolloutHandler:
    """Base class of the handlers that change a running roll-out."""

    def find_problem(
        self, data: statedata.StateData, command: commands.AdvanceRollout | commands.EndRollout
    ) -> commands.Refused | None:
        """Return why the roll-out that a command names cannot be changed, or None."""
        record = data.rollouts.get(command.service)
        if record is None or record.index != command.rollout:
            return commands.Refused(
                code="no_rollout", text=f"no roll-out {command.rollout} of {command.service!r}"
            )
        if record.phase in ENDED:
            return commands.Refused(code="rollout_ended", text=f"it is {record.phase} already")
        return None


@registry.plugins.register("command", "StartRollout")
class StartRolloutHandler:
    """Starts a roll-out."""

    def apply(
        self, data: statedata.StateData, index: int, command: commands.StartRollout
    ) -> commands.Outcome:
        """Start it, unless it is the order of the latest one or another one is running."""
        problem = find_problem(command)
        if problem:
            return commands.Refused(code="rollout", text=problem)
        latest = data.rollouts.get(command.service)
        if latest is not None:
            if _is_done_already(data, latest, command):
                return commands.Accepted(index=latest.index)
            if latest.phase not in ENDED:
                return commands.Conflict(
                    revision=latest.index, winner=latest.actor, operation=latest.operation
                )
        if not _make_room(data, command.service):
            return commands.Refused(code="rollout", text=f"{MAX_ROLLOUTS} roll-outs are running")
        barred = [] if latest is None else latest.barred
        data.rollouts.pop(command.service, None)
        data.rollouts[command.service] = statedata.RolloutRecord(
            index,
            command.target,
            data.at_ms,
            command.duration_ms,
            changed_index=index,
            changed_ms=data.at_ms,
            reason="ordered",
            actor=command.actor,
            operation=command.operation,
            barred=[version for version in barred if version != command.target],
        )
        data.rollouts_index = index
        return commands.Accepted(index=index)

    def target(self, command: commands.StartRollout) -> str:
        """Return the service, the version and the time."""
        return f"{command.service} to {command.target} in {command.duration_ms} ms"


@registry.plugins.register("command", "AdvanceRollout")
class AdvanceRolloutHandler(RolloutHandler):
    """Changes the share that the target of a roll-out gets."""

    def apply(
        self, data: statedata.StateData, index: int, command: commands.AdvanceRollout
    ) -> commands.Outcome:
        """Change phase and share if the roll-out is running; no share is taken back by accident."""
        problem = self.find_problem(data, command)
        if problem is not None:
            return problem
        if not (math.isfinite(command.share) and 0.0 <= command.share <= 1.0):
            return commands.Refused(code="rollout", text=f"share {command.share} is not 0 to 1")
        record = data.rollouts[command.service]
        if record.phase == SHIFTING and command.phase == PROVING:
            return commands.Refused(code="rollout", text="it is shifting already")
        if record.phase != command.phase:
            record.changed_ms = data.at_ms
        record.phase = command.phase
        record.share = command.share
        record.reason = command.reason
        record.changed_index = data.rollouts_index = index
        return commands.Accepted(index=index)

    def target(self, command: commands.AdvanceRollout) -> str:
        """Return the service, the phase, the share and why."""
        share = f"{command.phase} {command.share:.3f}"
        return f"{command.service} {share}: {command.reason}"


@registry.plugins.register("command", "EndRollout")
class EndRolloutHandler(RolloutHandler):
    """Ends a roll-out."""

    def apply(
        self, data: statedata.StateData, index: int, command: commands.EndRollout
    ) -> commands.Outcome:
        """End it if it is running; the same end again is accepted."""
        phase = COMPLETED if command.completed else ROLLED_BACK
        record = data.rollouts.get(command.service)
        if record is not None and (record.index, record.phase) == (command.rollout, phase):
            return commands.Accepted(index=record.changed_index)
        problem = self.find_problem(data, command)
        if problem is not None:
            return problem
        record.phase = phase
        record.share = 1.0 if command.completed else 0.0
        record.reason = command.reason
        record.changed_ms = data.at_ms
        record.changed_index = data.rollouts_index = index
        new_barred = command.replaced if command.completed else [record.target]
        record.barred = _barred(record, new_barred)
        return commands.Accepted(index=index)

    def target(self, command: commands.EndRollout) -> str:
        """Return the service, how it ended and why."""
        phase = COMPLETED if command.completed else ROLLED_BACK
        return f"{command.service} {phase}: {command.reason}"


def find_problem(command: commands.StartRollout) -> str:
    """Return what is wrong with an order, naming the field, or an empty string."""
    for name, value in (("service", command.service), ("target", command.target)):
        if not (0 < len(value) <= MAX_NAME_CHARS and value.isprintable()):
            return f"{name}: expected a printable text of 1 to {MAX_NAME_CHARS} characters"
    if not MIN_DURATION_MS <= command.duration_ms <= MAX_DURATION_MS:
        return (
            f"duration_ms: expected {MIN_DURATION_MS} to {MAX_DURATION_MS}, "
            f"found {command.duration_ms}"
        )
    return ""


def views(data: statedata.StateData) -> list[messages.RolloutView]:
    """Return what entry hosts need of each service's latest roll-out."""
    return [
        messages.RolloutView(
            service, record.index, record.target, record.phase, record.share, record.barred
        )
        for service, record in data.rollouts.items()
    ]


def running(data: statedata.StateData) -> dict[str, statedata.RolloutRecord]:
    """Return the roll-outs that have not ended, by service."""
    return {
        service: record for service, record in data.rollouts.items() if record.phase not in ENDED
    }


def is_same_order(record: statedata.RolloutRecord, command: commands.StartRollout) -> bool:
    """Return whether an order asks for what the latest roll-out was ordered for."""
    return (record.target, record.duration_ms) == (command.target, command.duration_ms)


def _is_done_already(
    data: statedata.StateData, latest: statedata.RolloutRecord, command: commands.StartRollout
) -> bool:
    """Return whether an order is that of the latest roll-out, or asks for what is in force."""
    if latest.phase == COMPLETED and latest.target == command.target:
        return True
    if not is_same_order(latest, command):
        return False
    if latest.phase not in ENDED:
        return True
    # An operation id tells orders apart; without one, time and log index have to.
    resent = data.at_ms - latest.started_ms < RESEND_MS or 0 < command.known_index < latest.index
    return not command.operation and resent


def _barred(record: statedata.RolloutRecord, new: list[str]) -> list[str]:
    kept = [version for version in record.barred if version not in new]
    allowed = record.target if record.phase == COMPLETED else None
    return [version for version in kept + new if version != allowed][-MAX_BARRED:]


def _make_room(data: statedata.StateData, service: str) -> bool:
    """Return whether there is room for a service, after forgetting an ended roll-out if need be."""
    if service in data.rollouts or len(data.rollouts) < MAX_ROLLOUTS:
        return True
    for name, record in data.rollouts.items():
        if record.phase in ENDED:
            del data.rollouts[name]
            return True
    return False
