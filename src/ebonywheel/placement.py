"""Finding a backend server with a free slot for a request, waiting where none has one."""

import uuid

import curio
import msgspec

from ebonywheel import configuration, exceptions, feed, fleet, kernel, messages, policies

WAIT_SLICE_S = 0.25
MOST_TRIES = 4


class Placement(msgspec.Struct):
    """A slot on a backend server, held for one request.

    Attributes:
        view: The backend server.
        holding: The slot, with its loan and the tokens generated so far.
    """

    view: messages.ServerView
    holding: messages.Holding


class Placer:
    """Places requests by the routing policy."""

    def __init__(self, core: kernel.Kernel, source: feed.Feed, servers: fleet.Fleet):
        self.core = core
        self.feed = source
        self.fleet = servers
        self.policy: policies.Policy = core.plugins.find("policy", source.settings.policy)()
        self.waiting = 0

    async def place(
        self, job: policies.Job, timeout_s: float, avoid: frozenset[str] = frozenset()
    ) -> Placement:
        """Return a slot, waiting for one when there is none.

        Args:
            job: The request.
            timeout_s: Longest wait.
            avoid: Backend servers not to be tried.

        Raises:
            NotRunError: No slot came free in time.
        """
        if self.waiting >= self.feed.settings.max_waiting:
            raise exceptions.NotRunError("too many waiting", "admit", retry_after=1)
        self.waiting += 1
        try:
            return await self._wait_for_slot(job, timeout_s, avoid)
        finally:
            self.waiting -= 1

    async def _wait_for_slot(
        self, job: policies.Job, timeout_s: float, avoid: frozenset[str]
    ) -> Placement:
        deadline = self.core.clock.monotonic() + timeout_s
        while True:
            placement = await self._try_all(job, avoid)
            if placement is not None:
                return placement
            left = deadline - self.core.clock.monotonic()
            if left <= 0:
                raise exceptions.NotRunError(
                    "no slot came free in time", "place", job.service, retry_after=1
                )
            async with curio.ignore_after(min(left, WAIT_SLICE_S)):
                async with self.fleet.changed:
                    await self.fleet.changed.wait()

    async def _try_all(self, job: policies.Job, avoid: frozenset[str]) -> Placement | None:
        current = self.feed.require_lease()
        service = current.document.services[job.service]
        found = [
            policies.Candidate(view, region_of(current, view.state.data_centre))
            for view in self.fleet.candidates(service.engine, current)
            if view.state.server not in avoid
        ]
        for candidate in self.policy.rank(job, found)[:MOST_TRIES]:
            if candidate.free() <= 0:
                continue
            try:
                return await self._borrow(job, candidate.view)
            except exceptions.NotRunError:
                self.core.metrics.count("borrow_refused")
        return None

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
