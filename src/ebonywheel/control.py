"""The program ``ebonywheel-control``: one host of the replicated control state."""

import typing

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
    httpserver,
    joiner,
    kernel,
    link,
    membermanager,
    messages,
    orders,
    ordersequence,
    pauses,
    peerview,
    permits,
    program,
    queries,
    registry,
    replica,
    rollouts,
    settings,
    state,
    statedata,
    storage,
    turns,
    watcher,
    watchserver,
)

FORWARD_TIMEOUT_S = 6.0
# Less than the second after which a caller asks another control host.
READ_TIMEOUT_S = 0.8
APPLIED_POLL_S = 0.01
DRAIN_POLL_S = 0.05
# A change waits at each step between control hosts until all callers have had their turns.
MAX_TURN_S = 0.001
MAX_BODY_BYTES = 4 * 1024 * 1024


class ControlHost:
    """A control host: owns its components and answers messages from other processes.

    Attributes:
        servers: Its HTTP servers.
    """

    def __init__(self, core: kernel.Kernel, loaded: settings.ControlSettings):
        self.core = core
        self.settings = loaded
        self.delay_s = loaded.link_delay_ms / 1000
        self.store = storage.Storage(loaded.data_folder, core.host.name)
        core.exit_stack.callback(self.store.close)
        limits = commands.Limits(int(loaded.key_horizon_s * 1000), int(loaded.quarantine_s * 1000))
        self.state_machine = state.State(limits)
        self.replica = replica.Replica(
            core,
            self.store,
            self.state_machine,
            loaded.election_timeout_s,
            loaded.snapshot_entries,
            self._make_link,
        )
        self.order_sequence = ordersequence.OrderSequence(self.replica, self.state_machine)
        self.pauses = pauses.Pauses(core, lambda: self.state_machine.applied)
        self.feed = feedserver.FeedServer(core, self.replica, self.state_machine, loaded.lease_s)
        self.orders = orders.OrderSender(core, self.replica, self.state_machine, self.feed)
        self.audit = auditlog.AuditLog(loaded.data_folder, self.state_machine)
        core.exit_stack.callback(self.audit.close)
        self.formation = formation.Formation(core, self.store, loaded, self.delay_s)
        self.watches = watchserver.WatchServer(
            core, self.replica, self.state_machine, rollouts.lease_ms(loaded.rollout)
        )
        self.queries = queries.Queries(
            self.replica, self.state_machine, self.feed, self.audit, self.watches.evidence
        )
        self.rollouts = rollouts.Rollouts(
            core, self.replica, self.state_machine, self.watches, loaded.rollout
        )
        self.watcher = watcher.Watcher(core, peerview.PeerView(core, self.watches), core.host.link)
        self.member_manager = membermanager.MemberManager(core, self.replica)
        self.permits = permits.Permits(core.clock, self.replica.require_lease)
        self.admin = admin.Admin(core, loaded.operators, self)
        self.admin.identity = self.formation.info
        self.servers: list[httpserver.Server] = []

    async def start(self) -> None:
        """Start serving links and HTTP, then the replica."""
        turns.current.max_s = MAX_TURN_S
        await self.core.spawn(self.pauses.run(), essential=True)
        await link.LinkServer(self.core, self.handle, self.delay_s).start()
        server = httpserver.Server(
            self.core, self.core.host.http, self.admin.handle, MAX_BODY_BYTES, self.core.operators
        )
        server.check_head = self.admin.check_head
        await self.serve(server)
        await self.replica.start()
        await self.feed.start()
        await self.orders.start()
        await self.watches.start()
        await self.core.spawn(self.rollouts.run(), essential=True)
        self.replica.on_applied.append(self.audit.wake)
        await self.core.spawn(self.audit.run(self.core.log), essential=True)
        if not self.formation.belongs_to_cluster() and not self.settings.join:
            await self.core.spawn(self._form_cluster(), essential=True)
        if self.settings.membership == "automatic":
            await self._start_membership()

    async def serve(self, server: httpserver.Server) -> None:
        """Serve HTTP until this host stops."""
        await server.start()
        self.servers.append(server)

    async def _start_membership(self) -> None:
        seeds = [peer.link for peer in self.settings.peers]
        await self.watcher.follow(seeds)
        host_joiner = joiner.Joiner(self.core, self.replica, self.formation.info, seeds)
        await self.core.spawn(host_joiner.run(), essential=True)
        await self.core.spawn(self.member_manager.run(), essential=True)

    async def drain(self) -> None:
        """Give up the leadership before this host ends."""
        await self.replica.transfer()

    async def finish_exchanges(self) -> None:
        """Accept no more connections over HTTP, and wait until accepted requests are answered."""
        for server in self.servers:
            await server.stop_accepting()
        while any(server.active_exchanges or server.lingering for server in self.servers):
            await curio.sleep(DRAIN_POLL_S)

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
            case messages.WatchRequest():
                return await self.watches.watch(message, peer)
            case messages.RelayHostsRequest():
                return self.watches.relay_hosts(peer.host)
            case messages.RoutingRequest():
                return self.watches.routing()
            case messages.ReadIndexRequest():
                return self._read_index()
            case messages.JoinRequest():
                return await self._join(message, forward=message.ask)
            case messages.PermitRequest():
                return await self._grant_permit(message, forward=peer.role != "control")
        raise exceptions.FrameError(f"unexpected {type(message).__name__}", "dispatch", str(peer))

    async def submit(self, request: messages.Submit, forward: bool = True) -> messages.SubmitReply:
        """Propose a command, here or at the leader.

        Raises:
            NotLeaderError: The command was not proposed.
            NotRunError: It was not proposed, as it is invalid or a later order may be newer.
            UnknownOutcomeError: The command may still take effect.
            LinkError: The leader did not answer.
        """
        if forward and self.replica.role is not replica.Role.LEADER:
            return await self._forward(request)
        try:
            command = commands.decode(request.command)
        except msgspec.MsgspecError as error:
            raise exceptions.FrameError(str(error), "decode command") from error
        index, outcome = await self.order_sequence.propose(command, request.known_index)
        return messages.SubmitReply(index, commands.encode(outcome))

    async def query(self, request: messages.Query, forward: bool = True) -> messages.QueryReply:
        """Answer a query, here or at the leader.

        Raises:
            NotLeaderError: No quorum-backed leader could be asked.
            HttpError: The query or its argument is wrong.
            LinkError: The leader did not answer.
        """
        if forward and self.replica.role is not replica.Role.LEADER:
            return await self._leader_link("query").call(request, FORWARD_TIMEOUT_S)
        argument = msgspec.json.decode(request.argument or b"{}", type=dict[str, str])
        content = self.queries.answer(request.name, argument)
        return messages.QueryReply(self.state_machine.applied, msgspec.json.encode(content))

    async def publish_routing(self, version: int, content: bytes) -> commands.AnyOutcome:
        """Put routing content in force, here or at the leader.

        Raises:
            NotLeaderError: The command was not proposed.
            UnknownOutcomeError: The command may still take effect.
            LinkError: The leader did not answer.
        """
        command = commands.PublishRouting(actor="operator", version=version, content=content)
        return await self._submit_command(command)

    async def set_serving(self, data_centre: str, out: bool) -> commands.AnyOutcome:
        """Take a data centre out of service or bring it back; raises like `publish_routing`."""
        command = commands.SetServing(actor="operator", data_centre=data_centre, out=out)
        return await self._submit_command(command)

    async def start_rollout(
        self, service: str, target: str, duration_ms: int
    ) -> commands.AnyOutcome:
        """Order that a service's traffic be moved to a version; raises like `publish_routing`."""
        known_index = ordersequence.known_index(self.pauses.earliest_arrival())
        command = commands.StartRollout(
            actor="operator",
            service=service,
            target=target,
            duration_ms=duration_ms,
            known_index=known_index,
        )
        return await self._submit_command(command)

    async def read_rollout(self, service: str) -> statedata.RolloutRecord | None:
        """Return a service's latest roll-out or None; as fresh, and raises, as `read_routing`."""
        await self._await_read_index()
        return self.state_machine.data.rollouts.get(service)

    async def report(self, record: messages.DirectoryRecord) -> None:
        """Take a backend server's report.

        Raises:
            UnknownOutcomeError: The server drains, and too few control hosts hold that in time.
        """
        await self.watches.observe(record, direct=True)
        await self.watches.wait_held(record.server)

    async def leave(self, server: str) -> None:
        """Mark a backend server as gone; the call names no incarnation.

        Raises:
            NotRunError: A control host that did not answer may know the server, or the call may
                have arrived before the incarnation that is known now.
            UnknownOutcomeError: Too few control hosts hold the leave in time.
        """
        arrived_at = self.pauses.earliest_arrival().at
        if self.watches.directory.known_since(server) > arrived_at:
            raise exceptions.NotRunError("the server has started anew", "leave", server)
        await self.watches.leave(server, arrived_at)
        # It may be the leave of a server that has reported to other control hosts only.
        all_answered = await self.watcher.refresh()
        if not all_answered and server not in self.watches.directory.entries:
            raise exceptions.NotRunError("only other hosts may know the server", "leave", server)
        await self.watches.wait_held(server)

    async def _submit_command(self, command: commands.Command) -> commands.AnyOutcome:
        reply = await self.submit_order(command)
        return commands.decode_outcome(reply.outcome)

    async def submit_order(self, command: commands.Command) -> messages.SubmitReply:
        """Propose an operator's command that has just been received; raises like `submit`."""
        known_index = ordersequence.known_index(self.pauses.earliest_arrival())
        return await self.submit(messages.Submit(commands.encode(command), known_index))

    async def read_routing(self) -> messages.RoutingReply:
        """Return routing content at least as new as any acknowledged before the call.

        Raises:
            NotLeaderError: No quorum-backed leader could be asked, or this host is behind it.
            LinkError: The leader did not answer.
        """
        await self._await_read_index()
        return self.watches.routing()

    async def _await_read_index(self) -> None:
        """Wait until this host has applied all that was acknowledged before the call."""
        if self.replica.role is replica.Role.LEADER:
            index = self._read_index().index
        else:
            request = messages.ReadIndexRequest()
            reply = await self._leader_link("read").call(request, READ_TIMEOUT_S)
            index = reply.index
        async with curio.ignore_after(READ_TIMEOUT_S):
            await self._wait_applied(index)
            return
        raise exceptions.NotLeaderError("behind the leader", "read", self.core.host.name)

    def _read_index(self) -> messages.ReadIndexReply:
        self.replica.require_lease("read")
        return messages.ReadIndexReply(self.replica.commit_index)

    async def _wait_applied(self, index: int) -> None:
        while self.state_machine.applied < index:
            await curio.sleep(APPLIED_POLL_S)

    async def _join(self, request: messages.JoinRequest, forward: bool) -> messages.JoinReply:
        if forward and self.replica.role is not replica.Role.LEADER:
            forwarded = messages.JoinRequest(request.info, False)
            return await self._leader_link("join").call(forwarded, FORWARD_TIMEOUT_S)
        return self.member_manager.join(request)

    async def _grant_permit(
        self, request: messages.PermitRequest, forward: bool
    ) -> messages.PermitReply:
        if forward and self.replica.role is not replica.Role.LEADER:
            return await self._leader_link("permit").call(request, permits.TIMEOUT_S)
        return self.permits.grant(request)

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

    async def _form_cluster(self) -> None:
        members = await self.formation.run()
        if members is not None:
            self.replica.form(members)


Extension = typing.Callable[[ControlHost], typing.Awaitable[None]]


async def run(
    core: kernel.Kernel,
    loaded: settings.ControlSettings,
    extension: Extension | None = None,
) -> None:
    """Run a control host until it is told to stop.

    Args:
        core: The process's kernel.
        loaded: The host's settings.
        extension: Called once the host serves, to start further interfaces.
    """
    registry.load_plugins()
    host = ControlHost(core, loaded)
    await host.start()
    if extension is not None:
        await extension(host)
    await core.draining.wait()
    async with curio.ignore_after(4 * loaded.election_timeout_s):
        await host.drain()
    async with curio.ignore_after(FORWARD_TIMEOUT_S):
        await host.finish_exchanges()


main = program.server_main(
    "ebonywheel-control",
    "Run one host of the replicated control state.",
    settings.ControlSettings,
    run,
)

if __name__ == "__main__":
    main()
