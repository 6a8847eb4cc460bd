"""Changes of the control hosts, one step after the other, each safe to resend."""

import time
import typing

import curio

from ebonywheel import adminclient, commands, exceptions

RETRY_S = 1.0


class MemberChange:
    """Adds, promotes, removes and replaces control hosts.

    Attributes:
        operation: Operation id; each step's id is derived from it.
        wait_s: How long to wait for a learner to catch up.
        tell: Shows progress.
    """

    def __init__(
        self,
        client: adminclient.AdminClient,
        operation: str,
        wait_s: float,
        tell: typing.Callable[[str], None],
    ):
        self.client = client
        self.operation = operation
        self.wait_s = wait_s
        self.tell = tell

    async def add(self, address: str) -> commands.AnyOutcome:
        """Add the control host at an HTTP address as a learner."""
        info = await self.client.identity(address)
        return await self.client.operate(
            commands.AddMember(operation=self._step("add"), voter=False, **info)
        )

    async def promote(self, host: str) -> commands.AnyOutcome:
        """Make a learner a voter, waiting until it has caught up.

        Raises:
            NotRunError: It did not catch up in time; nothing was changed.
        """
        held = await self._find(host) | {"voter": True}
        command = commands.AddMember(operation=self._step("promote"), **held)
        deadline = time.monotonic() + self.wait_s
        while True:
            try:
                return await self.client.operate(command)
            except exceptions.NotRunError as error:
                if time.monotonic() + RETRY_S >= deadline:
                    raise
                self.tell(f"waiting: {error.text}")
                await curio.sleep(RETRY_S)

    async def remove(self, host: str) -> commands.AnyOutcome:
        """Remove a control host."""
        held = await self._find(host)
        return await self.client.operate(
            commands.RemoveMember(operation=self._step("remove"), host=host, member=held["member"])
        )

    async def replace(self, host: str, address: str) -> commands.AnyOutcome:
        """Put the control host at an HTTP address in the place of another one."""
        members = await self.client.read("members")
        old = [held["member"] for held in members if held["host"] == host]
        info = await self.client.identity(address)
        outcome = await self.add(address)
        if not isinstance(outcome, commands.Accepted):
            return outcome
        self.tell(f"{info['host']} is a learner")
        outcome = await self.promote(info["host"])
        if not isinstance(outcome, commands.Accepted):
            return outcome
        self.tell(f"{info['host']} votes")
        for member in old:
            if member != info["member"]:
                outcome = await self.client.operate(
                    commands.RemoveMember(
                        operation=self._step(f"remove-{member}"), host=host, member=member
                    )
                )
                self.tell(f"member {member} of {host} is removed")
        return outcome

    async def _find(self, host: str) -> dict[str, typing.Any]:
        # A host with a new disk appears twice; its learner is the one that was added last.
        for member in reversed(await self.client.read("members")):
            if member["host"] == host:
                return member
        raise exceptions.SettingsError("no such control host", "members", host)

    def _step(self, name: str) -> str:
        return f"{self.operation}/{name}"
