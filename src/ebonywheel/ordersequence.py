"""Refusal of operators' orders that were overtaken by a later one for the same target.

An order may wait in a host that stands still, or on a link, while its operator sends it again
elsewhere and then orders the opposite. The host that receives an order names the log index that it
knew when the order arrived; an order for the same target beyond that index may be newer. The leader
decides before it appends, so that hosts of earlier builds apply the same log alike.
"""

import contextlib
import typing

import curio
import msgspec

from ebonywheel import (
    commands,
    exceptions,
    orderstate,
    pauses,
    replica,
    rolloutstate,
    state,
    statedata,
)

STATUS_SUPERSEDED = 503
# Each log begins with an entry of its first leader, which is no order. A host that has applied
# nothing knows as much as one that has applied this entry; 0 stands for "not stated".
FIRST_INDEX = 1


def known_index(arrival: pauses.Arrival) -> int:
    """Return the log index that a host knew when what it reads now arrived, for `propose`."""
    return max(FIRST_INDEX, arrival.known_index)


class Target(msgspec.Struct, frozen=True):
    """What an order is for, as the replicated state has it.

    Attributes:
        name: Distinguishes it from other targets.
        latest_index: Log index of the latest order for it, 0 for none.
        as_ordered: Whether it is already as the order wants it.
    """

    name: str
    latest_index: int
    as_ordered: bool


class OrderSequence:
    """Proposes operators' orders at the leader, one at a time for each target.

    Attributes:
        locks: Locks of the targets with an order in progress, with the number of their users.
    """

    def __init__(self, consensus: replica.Replica, state_machine: state.State):
        self.replica = consensus
        self.state_machine = state_machine
        self.locks: dict[str, tuple[curio.Lock, int]] = {}

    async def propose(
        self, command: commands.AnyCommand, known_index: int
    ) -> tuple[int, commands.Outcome]:
        """Propose a command; raises like `replica.Replica.propose`.

        Args:
            command: Any command; those that are not orders for a target are proposed as they are.
            known_index: Log index that the host that received it knew when it arrived; 0 if it was
                not stated.

        Raises:
            NotRunError: A later order for the target may be newer than this one.
        """
        target = find_target(self.state_machine.data, command)
        if target is None:
            return await self.replica.propose(command)
        async with self._lock(target.name):
            # Only under a lease does the state hold all orders that were acknowledged.
            self.replica.require_lease("propose")
            target = find_target(self.state_machine.data, command)
            if 0 < known_index < target.latest_index and not target.as_ordered:
                raise exceptions.NotRunError(
                    f"a later order is in force since index {target.latest_index}; "
                    f"this one may have been sent at index {known_index}",
                    "order",
                    target.name,
                    STATUS_SUPERSEDED,
                )
            return await self.replica.propose(command)

    @contextlib.asynccontextmanager
    async def _lock(self, name: str) -> typing.AsyncIterator[None]:
        lock, users = self.locks.get(name, (curio.Lock(), 0))
        self.locks[name] = (lock, users + 1)
        try:
            async with lock:
                yield
        finally:
            users = self.locks[name][1] - 1
            self.locks[name] = (lock, users)
            if not users:
                del self.locks[name]


def find_target(data: statedata.StateData, command: commands.AnyCommand) -> Target | None:
    """Return the target of an order; None for a command that names the state that it changes."""
    match command:
        case commands.SetServing(data_centre=name, out=out):
            routing = data.routing
            # A snapshot of an earlier build has the last change of all data centres only.
            unknown = 0 if data.serving_orders else routing.out_index
            latest = data.serving_orders.get(name, unknown)
            return Target(f"data centre {name}", latest, (name in routing.out) == out)
        case commands.IssueOrder():
            key = orderstate.order_key(command.environment, command.server)
            record = data.orders.get(key)
            if record is None:
                return Target(f"server {key}", 0, False)
            same = (record.kind, record.argument) == (command.kind, command.argument)
            return Target(f"server {key}", record.sequence, same)
        case commands.StartRollout(service=name):
            rollout = data.rollouts.get(name)
            if rollout is None:
                return Target(f"roll-out {name}", 0, False)
            same = rolloutstate.is_same_order(rollout, command)
            return Target(f"roll-out {name}", rollout.index, same)
    return None
