"""Forming a new cluster: hosts with empty disks exchange their member ids once.

A host that finds a cluster already formed without its own member id has a new or foreign disk.
It forms nothing and votes for nothing: an operator adds it as a learner under its new id.
"""

import curio

from ebonywheel import exceptions, kernel, link, messages, settings, storage

RETRY_S = 0.2
CALL_TIMEOUT_S = 1.0


class Formation:
    """One host's part in forming a cluster."""

    def __init__(
        self,
        core: kernel.Kernel,
        store: storage.Storage,
        loaded: settings.ControlSettings,
        delay_s: float,
    ):
        self.core = core
        self.store = store
        self.settings = loaded
        self.delay_s = delay_s
        host = loaded.host
        self.info = messages.MemberInfo(
            host.name, store.identity.member, host.data_centre, host.link, host.http
        )

    def identify(self) -> messages.IdentityReply:
        """Tell another host who this one is and whether it belongs to a cluster."""
        formed = self.store.identity.formed
        return messages.IdentityReply(self.info, self.belongs(), formed)

    def belongs(self) -> bool:
        """Return whether this data folder already belongs to a cluster."""
        return bool(self.store.identity.formed) or self.store.last_index() > 0

    async def run(self) -> list[messages.MemberInfo] | None:
        """Exchange identities until a cluster is formed.

        Returns:
            The first configuration, or None when this host is not part of it.
        """
        while True:
            replies = await self._ask_all()
            for reply in replies.values():
                if reply.formed:
                    return self._join_formed(reply.members)
            if len(replies) == len(self.settings.peers):
                found = [reply.info for reply in replies.values()]
                return self._take(sorted(found, key=lambda info: info.host))
            await curio.sleep(RETRY_S)

    async def _ask_all(self) -> dict[str, messages.IdentityReply]:
        replies = {self.info.host: self.identify()}
        for peer in self.settings.peers:
            if peer.name == self.info.host:
                continue
            try:
                replies[peer.name] = await self._ask(peer)
            except exceptions.LinkError:
                self.core.metrics.count("formation_retries", peer=peer.name)
        return replies

    async def _ask(self, peer: settings.Peer) -> messages.IdentityReply:
        connection = link.Link(self.core, f"control:{peer.name}", peer.link, self.delay_s)
        try:
            return await connection.call(messages.IdentityRequest(self.info), CALL_TIMEOUT_S)
        finally:
            await connection.close()

    def _join_formed(self, members: list[messages.MemberInfo]) -> list[messages.MemberInfo] | None:
        if any(info.member == self.info.member for info in members):
            return self._take(members)
        self.core.log.warning(
            "not_a_member",
            host=self.info.host,
            member=self.info.member,
            hint="add this host as a learner: ebonywheel members add",
        )
        return None

    def _take(self, members: list[messages.MemberInfo]) -> list[messages.MemberInfo]:
        self.store.save_formed(members)
        self.core.log.info("formed", members=" ".join(info.host for info in members))
        return members
