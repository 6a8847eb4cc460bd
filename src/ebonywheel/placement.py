"""Assignment of requests to free slots of backend servers.

Each kind of engine has a queue of waiting requests and a task that borrows slots for them from the
servers' home entry hosts. The task runs when a request arrives, a borrowed slot becomes free or a
server's state is updated.
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

# Most borrow requests in flight at the same time, for one kind of engine.
MAX_BORROWS = 8
# Queueing cost of one call of a plain service, in the unit used for generations.
PLAIN_CALL_COST_TOKENS = 1.0


class Placement(msgspec.Struct):
    """A slot on a backend server that is reserved for one request.

    Attributes:
        view: The state of the backend server when the slot was borrowed.
        holding: The slot, with its loan and the tokens generated so far.
    """

    view: messages.ServerView
    holding: messages.Holding


class EngineQueue:
    """The waiting requests for one kind of engine.

    Attributes:
        borrowing: Requests that have a borrow request in flight.
        wake: Set when a waiting request may be able to get a slot.
    """

    def __init__(self, engine: str, requests: admission.WaitingQueue):
        self.engine = engine
        self.requests = requests
        self.borrowing: list[admission.Request] = []
        self.wake = curio.Event()


class PlacementFuture:
    """The pending result of placing one request.

    Attributes:
        queue: The queue in which the request waits.
        avoid: Names of backend servers that must not be used.
        placement: The slot, or None if there is none yet.
        error: The reason why the request was refused, or None.
        done: Set together with `placement` or `error`.
    """

    def __init__(self, queue: EngineQueue, avoid: frozenset[str]):
        self.queue = queue
        self.avoid = avoid
        self.placement: Placement | None = None
        self.error: exceptions.NotRunError | None = None
        self.done = curio.Event()


class Placer:
    """Assigns requests to backend servers by the routing policy.

    Attributes:
        engine_queues: Waiting requests by kind of engine.
        requests_by_loan: Requests that have a slot, by loan.
        lengths: Estimates of generation lengths, from this host's finished requests.
    """

    def __init__(self, core: kernel.Kernel, config_feed: feed.Feed, servers: fleet.Fleet):
        self.core = core
        self.feed = config_feed
        self.fleet = servers
        self.policy: policies.Policy = core.plugins.find("policy", config_feed.settings.policy)()
        self.engine_queues: dict[str, EngineQueue] = {}
        self.requests_by_loan: dict[str, admission.Request] = {}
        self.recent_changes = choices.RecentChanges()
        self.lengths = lengths.LengthHistograms()
        servers.on_release.append(self._on_release)

    @property
    def waiting(self) -> int:
        """Number of requests that wait for a slot."""
        return sum(queue.requests.count for queue in self.engine_queues.values())

    async def place(
        self, job: policies.Job, timeout_s: float, avoid: frozenset[str] = frozenset()
    ) -> Placement:
        """Reserve a slot for a request, waiting until one is free.

        Args:
            job: The request.
            timeout_s: Longest time to wait.
            avoid: Names of backend servers that must not be used.

        Raises:
            NotRunError: The request was refused or no slot became free in time.
        """
        document = self.feed.require_lease().document
        queue = await self._engine_queue(document.services[job.service].engine)
        future = PlacementFuture(queue, avoid)
        request = self._make_request(document, job, timeout_s, future)
        evicted = queue.requests.push(request, self.core.clock.monotonic())
        if evicted is not None:
            self.core.metrics.count("pushed_out")
            await self._refuse(queue, evicted, "too many waiting")
        await queue.wake.set()
        try:
            async with curio.ignore_after(max(timeout_s, 0.0)):
                await future.done.wait()
        except curio.CancelledError:
            if future.placement is not None:
                await self.fleet.release(future.placement.holding, "unused")
            raise
        finally:
            if request.queued:
                queue.requests.remove(request, self.core.clock.monotonic())
        return self._result(queue, request)

    def _result(self, queue: EngineQueue, request: admission.Request) -> Placement:
        future: PlacementFuture = request.owner
        if future.placement is not None:
            return future.placement
        if future.error is not None:
            raise future.error
        retry_after = queue.requests.retry_after_s(request)
        raise exceptions.NotRunError(
            "no slot came free in time", "place", request.job.service, retry_after=retry_after
        )

    def _make_request(
        self,
        document: documents.Document,
        job: policies.Job,
        timeout_s: float,
        future: PlacementFuture,
    ) -> admission.Request:
        now = self.core.clock.monotonic()
        customer = document.customers[job.customer]
        plain = document.services[job.service].kind is documents.ServiceKind.PLAIN
        cost = PLAIN_CALL_COST_TOKENS if plain else self.lengths.expected(job.service, job.customer)
        return admission.Request(
            job,
            cost,
            now,
            now + timeout_s,
            customer.share,
            customer.max_running,
            restricted=job.alone or bool(future.avoid),
            owner=future,
        )

    async def _engine_queue(self, engine: str) -> EngineQueue:
        queue = self.engine_queues.get(engine)
        if queue is None:
            max_waiting = self.feed.settings.max_waiting
            queue = EngineQueue(engine, admission.WaitingQueue(max_waiting, self.policy.fair))
            if not self.engine_queues:
                await self.core.spawn(self._watch_fleet(), essential=True)
            self.engine_queues[engine] = queue
            await self.core.spawn(self._assign_slots(queue), essential=True)
        return queue

    async def _watch_fleet(self) -> None:
        """Wake the queues that have waiting requests whenever the fleet changes.

        Refusals by this host's own servers are dropped, as a slot may be free before the next view.
        """
        while True:
            async with self.fleet.changed:
                await self.fleet.changed.wait()
            self.recent_changes.retain(self.fleet.servers)
            self.recent_changes.clear_refusals(self._is_home_to)
            for queue in self.engine_queues.values():
                if queue.requests.count:
                    await queue.wake.set()

    def _is_home_to(self, server: str) -> bool:
        known = self.fleet.servers.get(server)
        return known is not None and known.view.home == self.core.host.name

    async def _assign_slots(self, queue: EngineQueue) -> None:
        while True:
            await queue.wake.wait()
            queue.wake.clear()
            try:
                while len(queue.borrowing) < MAX_BORROWS and await self._start_borrow(queue):
                    pass
            except exceptions.NotRunError as error:
                await self._refuse_all(queue, error)

    async def _start_borrow(self, queue: EngineQueue) -> bool:
        """Start a borrow for the first eligible request that has a usable server.

        Returns:
            Whether a borrow was started.
        """
        if not queue.requests.count:
            return False
        current = self.feed.require_lease()
        now = self.core.clock.monotonic()
        running = collections.Counter(held.customer for held in self.fleet.holdings.values())
        running.update(request.job.customer for request in queue.borrowing)
        unassigned = queue.requests.count - len(queue.borrowing)
        prefer_own_region = unassigned <= current.document.retries.cross_region_cost
        servers = self._known_views(queue.engine, current)
        for request in admission.eligible(queue.requests, running, now):
            usable = [
                known for known in servers if known.view.state.server not in request.owner.avoid
            ]
            ranked = choices.choose(
                self.policy, self.recent_changes, request.job, usable, prefer_own_region
            )
            if ranked:
                queue.borrowing.append(request)
                request.borrowing = True
                view = ranked[0].view
                change = self.recent_changes.record_borrowed(
                    view.state.server, self._expected_blocks(request, view), now
                )
                await self.core.spawn(self._borrow_for(queue, request, view, change))
                return True
        return False

    def _known_views(
        self, engine: str, current: configuration.Configuration
    ) -> list[choices.KnownView]:
        return [
            choices.KnownView(
                view,
                region_of(current, view.state.data_centre),
                self.fleet.servers[view.state.server].received_at,
            )
            for view in self.fleet.ready_views(engine, current)
        ]

    async def _borrow_for(
        self,
        queue: EngineQueue,
        request: admission.Request,
        view: messages.ServerView,
        change: choices.SlotChange,
    ) -> None:
        server = view.state.server
        try:
            placement = await self._borrow(request.job, view)
        except exceptions.NotRunError:
            self.core.metrics.count("borrow_refused")
            self.recent_changes.record_refusal(
                server, request.job.service, self.core.clock.monotonic(), change
            )
        else:
            await self._deliver(queue, request, placement)
        finally:
            request.borrowing = False
            queue.borrowing.remove(request)
            await queue.wake.set()

    async def _deliver(
        self, queue: EngineQueue, request: admission.Request, placement: Placement
    ) -> None:
        self.requests_by_loan[placement.holding.loan] = request
        if not request.queued:
            # The caller disconnected or the request timed out during the borrow.
            await self.fleet.release(placement.holding, "unused")
            return
        now = self.core.clock.monotonic()
        queue.requests.take(request, now)
        self.core.metrics.observe("slot_wait", now - request.arrived_at, engine=queue.engine)
        request.owner.placement = placement
        await request.owner.done.set()

    async def _refuse(self, queue: EngineQueue, request: admission.Request, text: str) -> None:
        retry_after = queue.requests.retry_after_s(request)
        request.owner.error = exceptions.NotRunError(
            text, "admit", request.job.service, retry_after=retry_after
        )
        await request.owner.done.set()

    async def _refuse_all(self, queue: EngineQueue, error: exceptions.NotRunError) -> None:
        for request in queue.requests.expire(float("inf")):
            request.owner.error = error
            await request.owner.done.set()

    def _on_release(self, holding: messages.Holding, outcome: str) -> None:
        request = self.requests_by_loan.pop(holding.loan, None)
        if request is None:
            return
        now = self.core.clock.monotonic()
        known = self.fleet.servers.get(holding.server)
        if known is not None and outcome not in ("failed", "detached"):
            self.recent_changes.record_returned(
                holding.server, self._expected_blocks(request, known.view), now
            )
        spent_tokens = 0 if outcome == "unused" else holding.tokens or request.cost
        request.owner.queue.requests.settle(request, spent_tokens)
        if outcome == "finished" and holding.tokens > 0:
            self.lengths.observe(holding.service, holding.customer, holding.tokens)

    def _expected_blocks(self, request: admission.Request, view: messages.ServerView) -> float:
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
        self.fleet.add_holding(holding)
        # The data centre may have been taken out of service during the borrow.
        if state.data_centre in self.feed.current.out or not self.feed.holds_lease():
            await self.fleet.release(holding, "unused")
            raise exceptions.NotRunError("data centre was taken out", "borrow", state.server)
        return Placement(view, holding)


def region_of(current: configuration.Configuration, data_centre: str) -> str:
    """Return the region of a data centre, or the data centre's own name if it has no region."""
    if current.document is None:
        return data_centre
    return current.document.regions.get(data_centre, data_centre)
