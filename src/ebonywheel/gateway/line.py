"""The line of generations that wait at an entry host until an engine has a place for them."""

import random
import typing

import curio
import msgspec

from ebonywheel import admission, exceptions, kernel, policies
from ebonywheel.gateway import balance, forecast, inflight, places, view

# Requests that one host keeps waiting for a service. Each holds a caller's connection and prompt.
MAX_WAITING = 64
# The load of other hosts is reported every 0.1 s. Hosts ask again at times of their own, so that
# they do not take the same place together.
MIN_PAUSE_S = 0.02
MAX_PAUSE_S = 0.06
# Share of a caller's time after which its request is refused: the caller needs the rest.
MAX_WAIT_SHARE = 0.5
# Wait after which callers have little use of a late answer, in targets of the route.
MAX_WAIT_TARGETS = 2.0

# Share of the time that it may wait at which a request that returned counts at the most.
LAST_IN_TIME_SHARE = 0.9

Choose = typing.Callable[[places.Places], balance.Candidate | None]


class Ticket(msgspec.Struct, eq=False):
    """What the line keeps with a waiting request.

    Attributes:
        choose: Selects a server for it.
        candidate: The server that it got, None before.
        late: True once it cannot be in time any more.
        error: Why it cannot be served here, None unless that is so.
        called: Set once it has a server or cannot be served here.
    """

    context: inflight.RequestContext
    choose: Choose
    candidate: balance.Candidate | None = None
    late: bool = False
    error: exceptions.EbonywheelError | None = None
    called: curio.Event = msgspec.field(default_factory=curio.Event)


class Wait(msgspec.Struct):
    """What is known of one request's wait, for the log.

    Attributes:
        began_at: When it found no place first, monotonic seconds; 0 before.
        forecast_s: The wait that was forecast then, None without a forecast.
    """

    began_at: float = 0.0
    forecast_s: float | None = None


class Line:
    """Lines of all services.

    Attributes:
        queues: Waiting requests that can still be in time, by service.
        late: Those that cannot; they get what the others leave, so that not all become late.
        kinds: How urgent the routes are.
        run_times: How long runs take.
    """

    def __init__(self, core: kernel.Kernel, entry_view: view.EntryView):
        self.core = core
        self.view = entry_view
        self.queues: dict[str, admission.WaitingQueue] = {}
        self.late: dict[str, admission.WaitingQueue] = {}
        self.kinds = places.Kinds()
        self.run_times = forecast.RunTimes()

    def count(self) -> int:
        """Return the number of waiting requests."""
        queues = [*self.queues.values(), *self.late.values()]
        return sum(queue.count for queue in queues)

    async def wait(
        self, context: inflight.RequestContext, choose: Choose, wait: Wait
    ) -> balance.Candidate | None:
        """Return a server with a place for a request, or None if there is none in time.

        Args:
            context: The request.
            choose: Selects a server within the bounds given, or returns None.
            wait: Takes the beginning and the forecast of the wait, if there is one.

        Raises:
            ElsewhereError: This host cannot reach the servers; another one may.
        """
        now = self.core.clock.monotonic()
        queue = _queue_of(self.queues, context)
        if not queue.count:
            candidate = choose(self.places(context, now))
            if candidate is not None or not self._may_wait(context):
                return candidate
        forecast_s = self.forecast_s(context, now, queue)
        if not wait.began_at:
            wait.began_at, wait.forecast_s = now, forecast_s
        give_up_at = self._give_up_at(context)
        if forecast_s is None or now + forecast_s > give_up_at:
            return None
        ticket = Ticket(context, choose)
        request = _queued(ticket, give_up_at)
        try:
            self._push(queue, request, now)
            return await self._stand(ticket, request)
        except exceptions.ElsewhereError:
            raise
        except exceptions.NotRunError as error:
            # The queue is full, mostly of requests of this customer.
            context.reason = error.text
            return None
        finally:
            if request.queued:
                self._queue_with(ticket).remove(request, self.core.clock.monotonic())

    def _push(self, queue: admission.WaitingQueue, request: admission.Request, now: float) -> None:
        """Add a request to a queue; raises like `WaitingQueue.push`."""
        evicted = queue.push(request, now)
        if evicted is not None:
            evicted.owner.context.reason = "too many waiting"

    def _queue_with(self, ticket: Ticket) -> admission.WaitingQueue:
        return _queue_of(self.late if ticket.late else self.queues, ticket.context)

    async def _stand(self, ticket: Ticket, request: admission.Request) -> balance.Candidate | None:
        """Wait until a request is called, or its time is over.

        Raises:
            ElsewhereError: This host cannot reach the servers; another one may.
        """
        while request.queued and self._may_wait(ticket.context):
            now = self.core.clock.monotonic()
            if now >= request.deadline:
                break
            if not ticket.late and now >= ticket.context.started_at + _in_time_s(ticket.context):
                self._queue_with(ticket).remove(request, now)
                ticket.late = True
                self._push(self._queue_with(ticket), request, now)
            await self._call_first(ticket.context, now)
            async with curio.ignore_after(random.uniform(MIN_PAUSE_S, MAX_PAUSE_S)):
                await ticket.called.wait()
        if ticket.error is not None:
            raise ticket.error
        return ticket.candidate

    async def _call_first(self, context: inflight.RequestContext, now: float) -> None:
        """Call the first request in the order for which there is a place.

        No more than one: its load counts only once it is sent.
        """
        in_time = admission.eligible(_queue_of(self.queues, context), {}, now)
        late = admission.eligible(_queue_of(self.late, context), {}, now)
        for request in [*in_time, *late]:
            ticket: Ticket = request.owner
            try:
                ticket.candidate = ticket.choose(self.places(ticket.context, now))
            except exceptions.ElsewhereError as error:
                ticket.error = error
            if ticket.candidate is not None or ticket.error is not None:
                self._queue_with(ticket).take(request, now)
                await ticket.called.set()
                return

    def places(self, context: inflight.RequestContext, now: float) -> places.Places:
        """Return the bounds for a request at a time."""
        waiting = places.Waiting(
            context.route,
            context.service.engine,
            context.request.prompt,
            self.view.servers_each(context.service.name),
            _waited_s(context, now),
        )
        return places.places_for(waiting, self.kinds.find(self.view.table, context.route))

    def forecast_s(
        self,
        context: inflight.RequestContext,
        now: float,
        queue: admission.WaitingQueue | None = None,
    ) -> float | None:
        """Return the wait that a request faces, None when no server may take it."""
        bounds = self.places(context, now)
        prompt = context.request.prompt
        requirements = balance.Requirements(
            context.service,
            prompt.expected_memory_tokens(),
            context.regions(),
            max_load=bounds.max_load,
            unread=prompt.tokens,
            max_unread=bounds.max_unread,
        )
        ahead = 0.0 if queue is None else queue.expected_tokens(-context.route.priority)
        return forecast.wait_s(
            self.view.candidates(context.service.name),
            requirements,
            self.run_times.of(context.service.name),
            int(ahead),
        )

    def _may_wait(self, context: inflight.RequestContext) -> bool:
        """Return whether a request may wait: not for a limit, nor where another host should."""
        if self.view.cut_off or self.view.is_at_limit(context):
            return False
        return not (self.view.draining and context.request.prompt.is_long_running())

    def _give_up_at(self, context: inflight.RequestContext) -> float:
        """Return until when a request may wait, monotonic seconds."""
        time_s = context.deadline_at - context.started_at
        prompt = context.request.prompt
        run_s = places.read_s(prompt.tokens)
        if prompt.is_long_running():
            run_s += self.run_times.of(context.service.name, 0.0)
        wait_s = min(MAX_WAIT_SHARE * time_s, MAX_WAIT_TARGETS * context.route.target_latency_s)
        return min(context.started_at + wait_s, context.deadline_at - run_s)

    def log(
        self, context: inflight.RequestContext, wait: Wait, candidate: balance.Candidate | None
    ) -> None:
        """Log a wait, if there was one, and measure the error of its forecast."""
        if not wait.began_at:
            return
        waited_s = self.core.clock.monotonic() - wait.began_at
        route, outcome = context.route.name, "refused" if candidate is None else "placed"
        self.core.metrics.observe("wait", waited_s, route=route, outcome=outcome)
        if wait.forecast_s is not None and candidate is not None:
            error_s = abs(waited_s - wait.forecast_s)
            self.core.metrics.observe("wait_forecast_error", error_s, route=route)
        self.core.log.info(
            "waited",
            request=context.request.attempt,
            route=route,
            customer="" if context.customer is None else context.customer.name,
            outcome=outcome,
            waited_ms=int(waited_s * 1000),
            forecast_ms=-1 if wait.forecast_s is None else int(wait.forecast_s * 1000),
            earlier_ms=int(_earlier_s(context) * 1000),
            waiting=self.count(),
        )


def _queue_of(
    queues: dict[str, admission.WaitingQueue], context: inflight.RequestContext
) -> admission.WaitingQueue:
    queue = queues.get(context.service.name)
    if queue is None:
        queue = admission.WaitingQueue(MAX_WAITING, foretells=False)
        queues[context.service.name] = queue
    return queue


def _in_time_s(context: inflight.RequestContext) -> float:
    return places.in_time_s(context.route, context.request.prompt)


def _waited_s(context: inflight.RequestContext, now: float) -> float:
    """Return how long a request has waited; what its caller waited before makes it not late."""
    own_s = now - context.started_at
    in_time_s = _in_time_s(context)
    if own_s >= in_time_s:
        return own_s
    return min(own_s + _earlier_s(context), LAST_IN_TIME_SHARE * in_time_s)


def _queued(ticket: Ticket, give_up_at: float) -> admission.Request:
    context = ticket.context
    prompt = context.request.prompt
    job = policies.Job(
        context.route.name,
        "" if context.customer is None else context.customer.name,
        prompt.tokens,
        # The queue serves higher numbers first, routes serve lower ones first.
        priority=-context.route.priority,
    )
    return admission.Request(
        job,
        float(max(1, prompt.expected_memory_tokens())),
        context.started_at - _earlier_s(context),
        give_up_at,
        restricted=bool(context.regions()),
        owner=ticket,
    )


def _earlier_s(context: inflight.RequestContext) -> float:
    """Return how long a caller has probably waited before this request: what its time lacks."""
    time_s = context.caller_deadline_at - context.started_at
    return min(max(0.0, context.route.timeout_s - time_s), context.route.target_latency_s)
