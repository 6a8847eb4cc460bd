"""Cluster formation: control hosts with empty data folders agree on the first configuration.

Each host has a random member id in its data folder. A host whose id is not in a cluster that is
already formed has lost its data folder, or was given another one. It neither forms a cluster nor
votes until it is added as a learner under its new id.
"""

import curio

from ebonywheel import exceptions, kernel, link, messages, settings, storage

RETRY_INTERVAL_S = 0.2
CALL_TIMEOUT_S = 1.0


class Formation:
    """Exchanges identities with the other control hosts until a cluster is formed."""

    def __init__(
        self,
        core: kernel.Kernel,
        store: storage.Storage,
        control_settings: settings.ControlSettings,
        link_delay_s: float,
    ):
        self.core = core
        self.store = store
        self.settings = control_settings
        self.link_delay_s = link_delay_s
        host = control_settings.host
        self.info = messages.MemberInfo(
            host.name, store.identity.member, host.data_centre, host.link, host.http
        )

    def identify(self) -> messages.IdentityReply:
        """Return this host's member info and its cluster's first configuration, if known."""
        members = self.store.identity.formed
        return messages.IdentityReply(self.info, self.belongs_to_cluster(), members)

    def belongs_to_cluster(self) -> bool:
        """Return whether the data folder holds a formed configuration or log entries."""
        return bool(self.store.identity.formed) or self.store.last_index() > 0

    async def run(self) -> list[messages.MemberInfo] | None:
        """Exchange identities with all peers until a cluster is formed.

        Returns:
            The members of the first configuration, or None if this host is not one of them.
        """
        while True:
            replies = await self._request_identities()
            for reply in replies.values():
                if reply.formed:
                    return self._join_formed_cluster(reply.members)
            if len(replies) == len(self.settings.peers):
                members = [reply.info for reply in replies.values()]
                return self._save_first_configuration(sorted(members, key=lambda info: info.host))
            await curio.sleep(RETRY_INTERVAL_S)

    async def _request_identities(self) -> dict[str, messages.IdentityReply]:
        replies = {self.info.host: self.identify()}
        for peer in self.settings.peers:
            if peer.name == self.info.host:
                continue
            try:
                replies[peer.name] = await self._request_identity(peer)
            except exceptions.LinkError:
                self.core.metrics.count("formation_retries", peer=peer.name)
        return replies

    async def _request_identity(self, peer: settings.Peer) -> messages.IdentityReply:
        connection = link.Link(self.core, f"control:{peer.name}", peer.link, self.link_delay_s)
        try:
            return await connection.call(messages.IdentityRequest(self.info), CALL_TIMEOUT_S)
        finally:
            await connection.close()

    def _join_formed_cluster(
        self, members: list[messages.MemberInfo]
    ) -> list[messages.MemberInfo] | None:
        if any(info.member == self.info.member for info in members):
            return self._save_first_configuration(members)
        self.core.log.warning(
            "not_a_member",
            host=self.info.host,
            member=self.info.member,
            hint="add this host as a learner: ebonywheel members add",
        )
        return None

    def _save_first_configuration(
        self, members: list[messages.MemberInfo]
    ) -> list[messages.MemberInfo]:
        self.store.save_first_configuration(members)
        self.core.log.info("formed", members=" ".join(info.host for info in members))
        return members
