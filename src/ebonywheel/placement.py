"""Finding a backend server with a free slot for a request, waiting where none has one.

Each kind of engine has a line: a waiting queue, and a task that asks homes for slots for the
requests whose turn it is. It acts when a request comes, a slot is given back or a view arrives.
"""

import collections
import uuid

import curio
import msgspec

from ebonywheel import (
    admission,
    choices,
    configuration,
    documents,
    exceptions,
    feed,
    fleet,
    kernel,
    lengths,
    messages,
    policies,
)

# Most slots asked for at the same time, for one kind of engine.
MOST_ASKING = 8
# Cost of one call of a plain service, in the tokens that generations are counted by.
CALL_COST = 1.0


class Placement(msgspec.Struct):
    """A slot on a backend server, held for one request.

    Attributes:
        view: The backend server.
        holding: The slot, with its loan and the tokens generated so far.
    """

    view: messages.ServerView
    holding: messages.Holding


class Line:
    """The requests for one kind of engine.

    Attributes:
        asking: Requests for which a slot is being asked for now.
        wake: Set when there may be something to do.
    """

    def __init__(self, engine: str, queue: admission.WaitingQueue):
        self.engine = engine
        self.queue = queue
        self.asking: list[admission.Request] = []
        self.wake = curio.Event()


class Ticket:
    """What a waiting request's task waits for.

    Attributes:
        line: The line that it waits in.
        avoid: Backend servers not to be tried.
        placement: The slot, once there is one.
        error: Why there will be none.
    """

    def __init__(self, line: Line, avoid: frozenset[str]):
        self.line = line
        self.avoid = avoid
        self.placement: Placement | None = None
        self.error: exceptions.NotRunError | None = None
        self.done = curio.Event()


class Placer:
    """Places requests by the routing policy.

    Attributes:
        lines: By kind of engine.
        placed: Requests that hold a slot, by loan.
        lengths: Estimates of lengths, learnt from this host's own requests.
    """

    def __init__(self, core: kernel.Kernel, source: feed.Feed, servers: fleet.Fleet):
        self.core = core
        self.feed = source
        self.fleet = servers
        self.policy: policies.Policy = core.plugins.find("policy", source.settings.policy)()
        self.lines: dict[str, Line] = {}
        self.placed: dict[str, admission.Request] = {}
        self.recent = choices.RecentChanges()
        self.lengths = lengths.LengthHistograms()
        servers.on_release.append(self._released)

    @property
    def waiting(self) -> int:
        """Requests that wait for a slot."""
        return sum(line.queue.count for line in self.lines.values())

    async def place(
        self, job: policies.Job, timeout_s: float, avoid: frozenset[str] = frozenset()
    ) -> Placement:
        """Return a slot, waiting for one when there is none.

        Args:
            job: The request.
            timeout_s: Longest wait.
            avoid: Backend servers not to be tried.

        Raises:
            NotRunError: No slot came free in time, or none probably would.
        """
        document = self.feed.require_lease().document
        line = await self._line(document.services[job.service].engine)
        ticket = Ticket(line, avoid)
        request = self._request(document, job, timeout_s, ticket)
        loser = line.queue.push(request, self.core.clock.monotonic())
        if loser is not None:
            self.core.metrics.count("pushed_out")
            await self._refuse(line, loser, "too many waiting")
        await line.wake.set()
        try:
            async with curio.ignore_after(max(timeout_s, 0.0)):
                await ticket.done.wait()
        except curio.CancelledError:
            if ticket.placement is not None:
                await self.fleet.release(ticket.placement.holding, "unused")
            raise
        finally:
            if request.queued:
                line.queue.remove(request, self.core.clock.monotonic())
        return self._outcome(line, request)

    def _outcome(self, line: Line, request: admission.Request) -> Placement:
        ticket: Ticket = request.owner
        if ticket.placement is not None:
            return ticket.placement
        if ticket.error is not None:
            raise ticket.error
        retry_after = line.queue.retry_after_s(request)
        raise exceptions.NotRunError(
            "no slot came free in time", "place", request.job.service, retry_after=retry_after
        )

    def _request(
        self, document: documents.Document, job: policies.Job, timeout_s: float, ticket: Ticket
    ) -> admission.Request:
        now = self.core.clock.monotonic()
        customer = document.customers[job.customer]
        plain = document.services[job.service].kind is documents.ServiceKind.PLAIN
        cost = CALL_COST if plain else self.lengths.expected(job.service, job.customer)
        return admission.Request(
            job,
            cost,
            now,
            now + timeout_s,
            customer.share,
            customer.max_running,
            narrow=job.alone or bool(ticket.avoid),
            owner=ticket,
        )

    async def _line(self, engine: str) -> Line:
        line = self.lines.get(engine)
        if line is None:
            most = self.feed.settings.max_waiting
            line = Line(engine, admission.WaitingQueue(most, self.policy.fair))
            if not self.lines:
                await self.core.spawn(self._watch(), essential=True)
            self.lines[engine] = line
            await self.core.spawn(self._serve(line), essential=True)
        return line

    async def _watch(self) -> None:
        """Wake the lines when a slot may have come free."""
        while True:
            async with self.fleet.changed:
                await self.fleet.changed.wait()
            self.recent.keep(self.fleet.servers)
            self.recent.forgive(self._is_own)
            for line in self.lines.values():
                if line.queue.count:
                    await line.wake.set()

    def _is_own(self, server: str) -> bool:
        known = self.fleet.servers.get(server)
        return known is not None and known.view.home == self.core.host.name

    async def _serve(self, line: Line) -> None:
        while True:
            await line.wake.wait()
            line.wake.clear()
            try:
                while len(line.asking) < MOST_ASKING and await self._ask_for_next(line):
                    pass
            except exceptions.NotRunError as error:
                await self._refuse_all(line, error)

    async def _ask_for_next(self, line: Line) -> bool:
        """Ask for a slot for the first request that has a server to ask."""
        if not line.queue.count:
            return False
        current = self.feed.require_lease()
        now = self.core.clock.monotonic()
        running = collections.Counter(held.customer for held in self.fleet.holdings.values())
        running.update(request.job.customer for request in line.asking)
        idle = line.queue.count - len(line.asking)
        near_only = idle <= current.document.retries.cross_region_cost
        servers = self._servers(line.engine, current)
        for request in admission.eligible(line.queue, running, now):
            usable = [
                known for known in servers if known.view.state.server not in request.owner.avoid
            ]
            found = choices.choose(self.policy, self.recent, request.job, usable, near_only)
            if found:
                line.asking.append(request)
                request.asking = True
                view = found[0].view
                change = self.recent.borrowed(view.state.server, self._blocks(request, view), now)
                await self.core.spawn(self._ask(line, request, view, change))
                return True
        return False

    def _servers(self, engine: str, current: configuration.Configuration) -> list[choices.Known]:
        return [
            choices.Known(
                view,
                region_of(current, view.state.data_centre),
                self.fleet.servers[view.state.server].heard_at,
            )
            for view in self.fleet.candidates(engine, current)
        ]

    async def _ask(
        self,
        line: Line,
        request: admission.Request,
        view: messages.ServerView,
        change: choices.Change,
    ) -> None:
        server = view.state.server
        try:
            placement = await self._borrow(request.job, view)
        except exceptions.NotRunError:
            self.core.metrics.count("borrow_refused")
            self.recent.refused(server, request.job.service, self.core.clock.monotonic(), change)
        else:
            await self._hand_over(line, request, placement)
        finally:
            request.asking = False
            line.asking.remove(request)
            await line.wake.set()

    async def _hand_over(
        self, line: Line, request: admission.Request, placement: Placement
    ) -> None:
        self.placed[placement.holding.loan] = request
        if not request.queued:
            # Its caller went, or its time ran out, while the slot was asked for.
            await self.fleet.release(placement.holding, "unused")
            return
        now = self.core.clock.monotonic()
        line.queue.take(request, now)
        self.core.metrics.observe("slot_wait", now - request.arrived_at, engine=line.engine)
        request.owner.placement = placement
        await request.owner.done.set()

    async def _refuse(self, line: Line, request: admission.Request, text: str) -> None:
        retry_after = line.queue.retry_after_s(request)
        request.owner.error = exceptions.NotRunError(
            text, "admit", request.job.service, retry_after=retry_after
        )
        await request.owner.done.set()

    async def _refuse_all(self, line: Line, error: exceptions.NotRunError) -> None:
        for request in line.queue.expire(float("inf")):
            request.owner.error = error
            await request.owner.done.set()

    def _released(self, holding: messages.Holding, outcome: str) -> None:
        request = self.placed.pop(holding.loan, None)
        if request is None:
            return
        now = self.core.clock.monotonic()
        known = self.fleet.servers.get(holding.server)
        if known is not None and outcome not in ("failed", "detached"):
            self.recent.returned(holding.server, self._blocks(request, known.view), now)
        spent = 0 if outcome == "unused" else holding.tokens or request.cost
        request.owner.line.queue.settle(request, spent)
        if outcome == "finished" and holding.tokens > 0:
            self.lengths.observe(holding.service, holding.customer, holding.tokens)

    def _blocks(self, request: admission.Request, view: messages.ServerView) -> float:
        return (request.job.prompt_tokens + request.cost) / max(view.state.block_tokens, 1)

    async def _borrow(self, job: policies.Job, view: messages.ServerView) -> Placement:
        loan = str(uuid.uuid4())
        state = view.state
        request = messages.Borrow(
            loan,
            self.core.host.name,
            self.feed.incarnation,
            state.server,
            state.incarnation,
            job.service,
            job.customer,
            job.prompt_tokens,
            job.alone,
            job.fingerprint,
            job.max_tokens,
            job.priority,
            job.expected_tokens,
        )
        await self.fleet.borrow(request, view.home)
        holding = messages.Holding(
            loan,
            state.server,
            state.incarnation,
            job.service,
            job.customer,
            job.prompt_tokens,
            0,
            job.fingerprint,
            job.alone,
            job.max_tokens,
            job.expected_tokens,
        )
        self.fleet.hold(holding)
        # The data centre may have been taken out while the loan was under way.
        if state.data_centre in self.feed.current.out or not self.feed.holds_lease():
            await self.fleet.release(holding, "unused")
            raise exceptions.NotRunError("data centre was taken out", "borrow", state.server)
        return Placement(view, holding)


def region_of(current: configuration.Configuration, data_centre: str) -> str:
    """Return a data centre's region, or the data centre itself where none is named."""
    if current.document is None:
        return data_centre
    return current.document.regions.get(data_centre, data_centre)
