"""Selection of the server at which a generation starts, after a wait where there is no place."""

from ebonywheel import kernel
from ebonywheel.gateway import (
    balance,
    forecast,
    inflight,
    line,
    places,
    refusals,
    relayedrun,
    speeds,
    view,
)

# Load up to which a server gets new generations where requests do not wait: the whole memory.
MAX_ADMISSION_LOAD = 1.0
# Size of an answer's token with its part of an event's framing.
EVENT_BYTES_PER_TOKEN = 80


class Starts:
    """Selects servers for generations.

    Attributes:
        line: Requests that wait for a place at a server.
    """

    def __init__(self, core: kernel.Kernel, entry_view: view.EntryView):
        self.core = core
        self.view = entry_view
        self.line = line.Line(core, entry_view)

    async def find_server(self, context: inflight.RequestContext) -> balance.Candidate | None:
        """Return a server for a request, once one has a place for it; None if none has in time.

        Raises:
            ElsewhereError: This host cannot reach the servers; another one may.
        """
        if places.waits_here(context.route, context.service.engine):
            wait = line.Wait()
            candidate = await self.line.wait(
                context, lambda bounds: self._choose(context, bounds), wait
            )
            self.line.log(context, wait, candidate)
        else:
            unread = places.PREFILL_TOKENS_PER_S * context.route.target_latency_s
            bounds = places.Places(MAX_ADMISSION_LOAD, unread)
            candidate = self._choose(context, bounds)
        if candidate is None:
            context.reason = context.reason or self.view.reason_without_server(
                context, "no server with room"
            )
        return candidate

    def _choose(
        self, context: inflight.RequestContext, bounds: places.Places
    ) -> balance.Candidate | None:
        prompt = context.request.prompt
        requirements = balance.Requirements(
            context.service,
            prompt.expected_memory_tokens(),
            context.regions(),
            context.excluded_servers(),
            bounds.max_load,
            unread=prompt.tokens,
            max_unread=bounds.max_unread,
            long_running=prompt.is_long_running(),
            target_latency_s=context.route.target_latency_s,
            stream_s=speeds.stream_s(prompt, context.route),
            size_bytes=len(context.request.body)
            + EVENT_BYTES_PER_TOKEN * prompt.expected_answer_tokens(),
            lot=context.lot,
        )
        chosen = self.view.choose(requirements)
        if chosen is not None:
            refusals.check_reach(self.view, context, chosen)
        return chosen

    def log_choice(self, context: inflight.RequestContext, candidate: balance.Candidate) -> None:
        """Log the choice at the start, as this host may crash before it logs the outcome."""
        state = candidate.state
        self.core.log.info(
            "server_chosen",
            request=context.request.attempt,
            server=candidate.record.server,
            tokens=context.request.prompt.expected_memory_tokens(),
            own_tokens=state.tokens,
            other_tokens=state.other_tokens,
            unread=state.unread + state.other_unread,
            report_age_ms=int(candidate.age_s * 1000),
            seen=state.seen.summary(),
        )

    def record_end(self, run: relayedrun.Run) -> None:
        """Learn from a run that has ended with its last event."""
        context = run.context
        seconds = self.core.clock.monotonic() - run.reply.sent_at
        tokens = context.request.prompt.expected_memory_tokens()
        self.line.run_times.record(context.service.name, tokens, seconds)

    def retry_after_s(self, context: inflight.RequestContext) -> float:
        """Return when a refused request may find a server."""
        if not places.waits_here(context.route, context.service.engine):
            return refusals.retry_after_s(self.view, context)
        wait_s = self.line.forecast_s(context, self.core.clock.monotonic())
        pause_s = self.view.retry_after_s(context.service.name) or 0.0
        return forecast.retry_after_s(
            max(pause_s, refusals.RETRY_AFTER_S if wait_s is None else wait_s)
        )
