"""The program ``ebonywheel-control``: one host of the replicated control state."""

import curio
import msgspec

from ebonywheel import (
    admin,
    auditlog,
    commands,
    configuration,
    exceptions,
    feedserver,
    formation,
    http,
    kernel,
    link,
    messages,
    orders,
    program,
    queries,
    registry,
    replica,
    settings,
    state,
    storage,
)

FORWARD_TIMEOUT_S = 6.0
MAX_BODY_BYTES = 4 * 1024 * 1024


class ControlHost:
    """All parts of a control host, and the messages that reach it."""

    def __init__(self, core: kernel.Kernel, loaded: settings.ControlSettings):
        self.core = core
        self.settings = loaded
        self.delay_s = loaded.link_delay_ms / 1000
        self.store = storage.Storage(loaded.data_folder, core.host.name)
        core.stack.callback(self.store.close)
        limits = commands.Limits(int(loaded.key_horizon_s * 1000), int(loaded.quarantine_s * 1000))
        self.machine = state.State(limits)
        self.replica = replica.Replica(
            core,
            self.store,
            self.machine,
            loaded.election_timeout_s,
            loaded.snapshot_entries,
            self._make_link,
        )
        self.feed = feedserver.FeedServer(core, self.replica, self.machine, loaded.lease_s)
        self.orders = orders.OrderSender(core, self.replica, self.machine, self.feed)
        self.audit = auditlog.AuditLog(loaded.data_folder, self.machine)
        core.stack.callback(self.audit.close)
        self.replica.on_applied.append(self.audit.follow)
        self.queries = queries.Queries(self.replica, self.machine, self.feed, self.audit)
        self.formation = formation.Formation(core, self.store, loaded, self.delay_s)
        self.admin = admin.Admin(core, loaded.operators, self)
        self.admin.identity = self.formation.info

    async def start(self) -> None:
        """Start serving links and HTTP, then the replica."""
        await link.LinkServer(self.core, self.handle, self.delay_s).start()
        address = self.core.host.http
        await http.Server(self.core, address, self.admin.handle, MAX_BODY_BYTES).start()
        await self.replica.start()
        await self.feed.start()
        await self.orders.start()
        if not self.formation.belongs() and not self.settings.join:
            await self.core.spawn(self._form(), essential=True)

    async def drain(self) -> None:
        """Give the leadership away before ending."""
        await self.replica.transfer()

    async def handle(self, message: msgspec.Struct, peer: link.PeerInfo) -> msgspec.Struct:
        """Answer one message from another process."""
        answer = await self.replica.handle(message)
        if answer is not None:
            return answer
        match message:
            case messages.LeaseRequest():
                return await self.feed.grant(message)
            case messages.ConfirmRequest():
                return await self.feed.confirm(message)
            case messages.Submit():
                return await self.submit(message, forward=peer.role != "control")
            case messages.Query():
                return await self.query(message, forward=peer.role != "control")
            case messages.IdentityRequest():
                return self.formation.identify()
        raise exceptions.FrameError(f"unexpected {type(message).__name__}", "dispatch", str(peer))

    async def submit(self, request: messages.Submit, forward: bool = True) -> messages.SubmitReply:
        """Propose a command here, or pass it to the leader.

        Raises:
            NotLeaderError: The command was not proposed.
            UnknownOutcomeError: The command may still take effect.
            LinkError: The leader did not answer.
        """
        if forward and self.replica.role is not replica.Role.LEADER:
            return await self._forward(request)
        try:
            command = commands.decode(request.command)
        except msgspec.MsgspecError as error:
            raise exceptions.FrameError(str(error), "decode command") from error
        index, outcome = await self.replica.propose(command)
        return messages.SubmitReply(index, commands.encode(outcome))

    async def query(self, request: messages.Query, forward: bool = True) -> messages.QueryReply:
        """Read the state here, or at the leader.

        Raises:
            NotLeaderError: No quorum-backed leader could be asked.
            HttpError: The query or its argument is wrong.
            LinkError: The leader did not answer.
        """
        if forward and self.replica.role is not replica.Role.LEADER:
            return await self._leader_link("query").call(request, FORWARD_TIMEOUT_S)
        argument = msgspec.json.decode(request.argument or b"{}", type=dict[str, str])
        content = self.queries.answer(request.name, argument)
        return messages.QueryReply(self.machine.applied, msgspec.json.encode(content))

    async def _forward(self, request: messages.Submit) -> messages.SubmitReply:
        try:
            return await self._leader_link("submit").call(request, FORWARD_TIMEOUT_S)
        except exceptions.LinkError as error:
            if error.step != "connect":
                raise
            raise exceptions.NotLeaderError(error.text, "connect to leader", error.peer) from error

    def _leader_link(self, step: str) -> link.Link:
        leader = self.replica.leader
        if not leader or leader == self.replica.member:
            raise exceptions.NotLeaderError("no leader known", step, self.core.host.name)
        return self.replica.link_to(leader)

    def _make_link(self, member: configuration.Member) -> link.Link:
        return link.Link(self.core, f"control:{member.host}", member.link, self.delay_s)

    async def _form(self) -> None:
        members = await self.formation.run()
        if members is not None:
            self.replica.form(members)


async def run(core: kernel.Kernel, loaded: settings.ControlSettings) -> None:
    """Run a control host until it is asked to end."""
    registry.load_plugins()
    host = ControlHost(core, loaded)
    await host.start()
    await core.draining.wait()
    async with curio.ignore_after(4 * loaded.election_timeout_s):
        await host.drain()


main = program.server_main(
    "ebonywheel-control",
    "Run one host of the replicated control state.",
    settings.ControlSettings,
    run,
)

if __name__ == "__main__":
    main()
