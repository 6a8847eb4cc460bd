"""A control host's requests for membership, repeated until a leader replicates to it."""

import curio

from ebonywheel import elections, exceptions, kernel, link, messages, replica

ASK_INTERVAL_S = 0.5
CALL_TIMEOUT_S = 1.0


class Joiner:
    """Asks the known control hosts for membership while no leader replicates to this host.

    Attributes:
        info: This host as a member.
        seeds: Link addresses of control hosts to ask first.
        links: Open links by address.
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
        """Ask at intervals, whenever this host has no leader."""
        while True:
            if self._lacks_leader():
                await self._ask_in_turn()
            await curio.sleep(ASK_INTERVAL_S)

    def _lacks_leader(self) -> bool:
        if self.replica.role is elections.Role.LEADER:
            return False
        silent_s = self.core.clock.monotonic() - self.replica.elections.last_contact_at
        return silent_s > 2 * self.replica.election_timeout_s or not self.replica.leader

    async def _ask_in_turn(self) -> None:
        for address in self._known_addresses():
            if await self._request_membership(address):
                return

    def _known_addresses(self) -> list[str]:
        known = [member.link for member in self.replica.members]
        return [
            address for address in dict.fromkeys([*self.seeds, *known]) if address != self.info.link
        ]

    async def _request_membership(self, address: str) -> bool:
        connection = self.links.get(address)
        if connection is None:
            connection = self.links[address] = link.Link(self.core, f"control:{address}", address)
        try:
            await connection.call(messages.JoinRequest(self.info), CALL_TIMEOUT_S)
        except exceptions.LinkError as error:
            self.core.metrics.count("join_refused", code=error.code)
            return False
        self.core.log.info("asked_to_join", peer=address, member=self.info.member)
        return True
