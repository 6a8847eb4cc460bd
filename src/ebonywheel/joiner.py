"""A control host's own part in automatic membership: it asks until a leader counts it in."""

import curio

from ebonywheel import elections, exceptions, kernel, link, messages, replica

ASK_S = 0.5
CALL_TIMEOUT_S = 1.0


class Joiner:
    """Asks the known control hosts to be a member whenever no leader replicates to this one.

    Attributes:
        seeds: Link addresses to begin with.
    """

    def __init__(
        self,
        core: kernel.Kernel,
        consensus: replica.Replica,
        info: messages.MemberInfo,
        seeds: list[str],
    ):
        self.core = core
        self.replica = consensus
        self.info = info
        self.seeds = seeds
        self.links: dict[str, link.Link] = {}

    async def run(self) -> None:
        """Ask, again and again, while this host hears no leader."""
        while True:
            if self._is_left_out():
                await self._ask_all()
            await curio.sleep(ASK_S)

    def _is_left_out(self) -> bool:
        if self.replica.role is elections.Role.LEADER:
            return False
        silent_s = self.core.clock.monotonic() - self.replica.elections.heard_at
        return silent_s > 2 * self.replica.election_timeout_s or not self.replica.leader

    async def _ask_all(self) -> None:
        for address in self._addresses():
            if await self._ask(address):
                return

    def _addresses(self) -> list[str]:
        known = [member.link for member in self.replica.members]
        return [each for each in dict.fromkeys([*self.seeds, *known]) if each != self.info.link]

    async def _ask(self, address: str) -> bool:
        held = self.links.get(address)
        if held is None:
            held = self.links[address] = link.Link(self.core, f"control:{address}", address)
        try:
            await held.call(messages.JoinRequest(self.info), CALL_TIMEOUT_S)
        except exceptions.LinkError as error:
            self.core.metrics.count("join_refused", code=error.code)
            return False
        self.core.log.info("asked_to_join", peer=address, member=self.info.member)
        return True
