"""Membership changes of the control hosts, in steps that can each be sent again safely."""

import time
import typing

import curio

from ebonywheel import adminclient, commands, exceptions

RETRY_DELAY_S = 1.0


class MemberChange:
    """Adds, promotes, removes and replaces control hosts.

    Attributes:
        operation: Operation id of the whole change; the ids of its steps start with it.
        wait_s: Longest wait for a learner to catch up, in seconds.
        report_progress: Called with each line of progress to show.
    """

    def __init__(
        self,
        client: adminclient.AdminClient,
        operation: str,
        wait_s: float,
        report_progress: typing.Callable[[str], None],
    ):
        self.client = client
        self.operation = operation
        self.wait_s = wait_s
        self.report_progress = report_progress

    async def add(self, address: str) -> commands.AnyOutcome:
        """Add the control host at an HTTP address as a learner."""
        info = await self.client.identity(address)
        return await self.client.submit(
            commands.AddMember(operation=self._step_id("add"), voter=False, **info)
        )

    async def promote(self, host: str) -> commands.AnyOutcome:
        """Make a learner a voter once it has caught up.

        Raises:
            NotRunError: The learner did not catch up in time; nothing was changed.
        """
        voter = await self._find_member(host) | {"voter": True}
        command = commands.AddMember(operation=self._step_id("promote"), **voter)
        deadline = time.monotonic() + self.wait_s
        while True:
            try:
                return await self.client.submit(command)
            except exceptions.NotRunError as error:
                if time.monotonic() + RETRY_DELAY_S >= deadline:
                    raise
                self.report_progress(f"waiting: {error.text}")
                await curio.sleep(RETRY_DELAY_S)

    async def remove(self, host: str) -> commands.AnyOutcome:
        """Remove a control host."""
        member = await self._find_member(host)
        return await self.client.submit(
            commands.RemoveMember(
                operation=self._step_id("remove"), host=host, member=member["member"]
            )
        )

    async def replace(self, host: str, address: str) -> commands.AnyOutcome:
        """Replace a control host by the one at an HTTP address."""
        members = await self.client.read("members")
        old_ids = [member["member"] for member in members if member["host"] == host]
        info = await self.client.identity(address)
        outcome = await self.add(address)
        if not isinstance(outcome, commands.Accepted):
            return outcome
        self.report_progress(f"{info['host']} is a learner")
        outcome = await self.promote(info["host"])
        if not isinstance(outcome, commands.Accepted):
            return outcome
        self.report_progress(f"{info['host']} votes")
        for member_id in old_ids:
            if member_id != info["member"]:
                outcome = await self.client.submit(
                    commands.RemoveMember(
                        operation=self._step_id(f"remove-{member_id}"), host=host, member=member_id
                    )
                )
                self.report_progress(f"member {member_id} of {host} is removed")
        return outcome

    async def _find_member(self, host: str) -> dict[str, typing.Any]:
        # A host whose disk was replaced is listed twice; the entry added last is its new learner.
        for member in reversed(await self.client.read("members")):
            if member["host"] == host:
                return member
        raise exceptions.SettingsError("no such control host", "members", host)

    def _step_id(self, name: str) -> str:
        return f"{self.operation}/{name}"
