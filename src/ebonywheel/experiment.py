"""Experiment: the system's own decision code against the engine model, in virtual time.

Policies, the waiting queue, the length estimates, the memory gate and the slot ledger are those of
the entry hosts. Engines are models; there is no network and no agreement, only latencies. All
variants of one run see the same arrivals.
"""

import heapq
import itertools
import typing

from ebonywheel import (
    admission,
    announcements,
    choices,
    enginemodel,
    exceptions,
    figures,
    messages,
    participants,
    policies,
    slots,
    workload,
)

REGION_LATENCY_S = 0.012
LOCAL_LATENCY_S = 0.001
REPORT_EVERY_S = 0.5
VIEW_EVERY_S = 0.25
HOLDINGS_EVERY_S = 0.5
EXPIRE_EVERY_S = 0.25
WAIT_LIMIT_S = 30.0
CROSS_REGION_COST = 4.0
MAX_TOKENS = 32_768


class Run:
    """One variant under one scenario."""

    def __init__(
        self,
        setup: workload.Setup,
        scenario: participants.Scenario,
        variant: participants.Variant,
        seed: int,
    ):
        self.setup = setup
        self.scenario = scenario
        self.variant = variant
        self.now = 0.0
        self.numbers = itertools.count()
        self.events: list[tuple[float, int, typing.Callable, tuple]] = []
        self.servers = {shape.name: participants.Server(shape, scenario) for shape in setup.engines}
        regions = sorted({shape.region for shape in setup.engines})
        self.hosts = {region: participants.EntryHost(region, variant) for region in regions}
        self.out: set[int] = set()
        self.open = 0
        self.figures = figures.Recorder(scenario.warm_up_s, scenario.seconds)
        self.arrivals = workload.arrivals(
            setup, scenario.load, scenario.seconds, seed, scenario.burst
        )

    def run(self) -> figures.Figures:
        """Run to the end of the last request and return the figures."""
        for arrival in self.arrivals:
            self._at(arrival.at, self._arrive, arrival)
        self.open = len(self.arrivals)
        for number, server in enumerate(self.servers.values()):
            offset = number / len(self.servers)
            self._at(offset * REPORT_EVERY_S, self._report, server)
            self._at(offset * VIEW_EVERY_S, self._tell_view, server)
        for host in self.hosts.values():
            self._at(HOLDINGS_EVERY_S, self._tell_holdings, host)
            self._at(EXPIRE_EVERY_S, self._expire, host)
        if self.scenario.move is not None:
            self._at(self.scenario.move.out_s, self._take_out, self.scenario.move.region)
            self._at(self.scenario.move.back_s, self._bring_back, self.scenario.move.region)
        while self.open and self.events:
            self.now, _, call, arguments = heapq.heappop(self.events)
            call(*arguments)
        return self.figures.result(self.variant.name)

    def _at(self, when: float, call: typing.Callable, *arguments: typing.Any) -> None:
        heapq.heappush(self.events, (when, next(self.numbers), call, arguments))

    def _arrive(self, arrival: workload.Arrival) -> None:
        host = self.hosts[arrival.customer.region]
        job = policies.Job(
            arrival.service,
            arrival.customer.name,
            arrival.prompt_tokens,
            arrival.prefix,
            str(host.region),
            arrival.length,
            max_tokens=MAX_TOKENS,
            priority=arrival.customer.priority,
        )
        cost = host.estimator.expected(arrival.service, arrival.customer.name, arrival.length)
        request = admission.Request(
            job, cost, self.now, self.now + WAIT_LIMIT_S, arrival.customer.share
        )
        request.owner = participants.Generation(
            arrival, request, f"loan-{next(self.numbers)}", host
        )
        request.owner.blocks = (arrival.prompt_tokens + cost) / workload.BLOCK_TOKENS
        self.figures.arrived(arrival)
        try:
            loser = host.queue.push(request, self.now)
        except exceptions.NotRunError:
            self._refuse(request)
            return
        if loser is not None:
            self._refuse(loser)
        self._dispatch(host)

    def _refuse(self, request: admission.Request) -> None:
        self.open -= 1
        self.figures.refused(request.owner.arrival, self.now)

    def _expire(self, host: participants.EntryHost) -> None:
        for request in host.queue.expire(self.now):
            self._refuse(request)
        self._dispatch(host)
        self._at(self.now + EXPIRE_EVERY_S, self._expire, host)

    def _dispatch(self, host: participants.EntryHost) -> None:
        """Ask for a slot for the first request that has a server to ask; one at a time."""
        if host.asking or not host.queue.count:
            return
        servers = [known for known in host.known.values() if int(known.region) not in self.out]
        for request in admission.eligible(host.queue, host.running, self.now):
            found = choices.choose(
                host.policy,
                host.recent,
                request.job,
                servers,
                host.queue.count <= CROSS_REGION_COST,
            )
            if found:
                self._ask(host, request, found[0])
                return

    def _ask(
        self,
        host: participants.EntryHost,
        request: admission.Request,
        candidate: policies.Candidate,
    ) -> None:
        host.asking = True
        server = self.servers[candidate.view.state.server]
        delay = self._latency(host, server)
        self._at(self.now + delay, self._lend, host, request, server, candidate.view)

    def _lend(
        self,
        host: participants.EntryHost,
        request: admission.Request,
        server: participants.Server,
        view: messages.ServerView,
    ) -> None:
        job = request.job
        generation = request.owner
        borrow = messages.Borrow(
            generation.loan,
            str(host.region),
            0,
            view.state.server,
            view.state.incarnation,
            job.service,
            job.customer,
            job.prompt_tokens,
            max_tokens=job.max_tokens,
            priority=job.priority,
            expected_tokens=job.expected_tokens,
        )
        lent = server.shape.region not in self.out
        try:
            if lent and host.policy.by_memory:
                self._home(server).gate.check(server.ledger, borrow, self.now)
            if lent:
                server.ledger.lend(borrow, self.now)
        except exceptions.NotRunError:
            lent = False
        self._at(self.now + self._latency(host, server), self._lent, host, request, server, lent)

    def _lent(
        self,
        host: participants.EntryHost,
        request: admission.Request,
        server: participants.Server,
        lent: bool,
    ) -> None:
        host.asking = False
        if not request.queued:
            # It was refused meanwhile.
            if lent:
                unused = messages.Release(request.owner.loan, outcome="unused")
                server.ledger.release(unused, self.now)
        elif not lent:
            host.recent.record_refusal(server.shape.name, request.job.service, self.now)
        else:
            host.queue.take(request, self.now)
            host.recent.record_borrowed(server.shape.name, request.owner.blocks, self.now)
            host.running[request.job.customer] += 1
            self._at(self.now + self._latency(host, server), self._start, request.owner, server)
        self._dispatch(host)

    def _start(self, generation: participants.Generation, server: participants.Server) -> None:
        arrival = generation.arrival
        generation.server = server
        generation.remote = server.shape.region != generation.host.region
        self.figures.started(arrival, generation.remote)
        server.generations[generation.loan] = generation
        try:
            generation.sequence = server.model.add(
                generation.loan,
                arrival.prompt_tokens,
                arrival.length,
                arrival.customer.priority,
                arrival.prefix,
                arrival.prefix_tokens,
            )
        except enginemodel.Overloaded:
            self._fall_over(server)
            return
        if not server.stepping:
            self._step(server)

    def _fall_over(self, server: participants.Server) -> None:
        self.figures.fell_over()
        for generation in list(server.generations.values()):
            self._end(generation, "failed")
        server.restart(self.now)

    def _step(self, server: participants.Server) -> None:
        server.stepping = bool(server.model.load())
        if not server.stepping:
            return
        step = server.model.step()
        server.step_s = step.duration_s
        for sequence in step.preempted:
            server.generations[sequence.name].last_at = self.now
            self.figures.preempted(self.now)
        self._at(self.now + step.duration_s, self._stepped, server, step, server.model)

    def _stepped(
        self, server: participants.Server, step: enginemodel.Step, model: enginemodel.EngineModel
    ) -> None:
        if model is not server.model:
            return
        self.figures.decoded(self.now, step.batch)
        # A sequence may join and be preempted in one step, before it got a token.
        joined = [held for held in step.joined if held not in step.preempted]
        for sequence in joined:
            self._joined(server.generations[sequence.name])
        going_on = step.batch - len(joined)
        if going_on:
            self.figures.gap(self.now, step.duration_s, going_on)
        for sequence in step.finished:
            self._end(server.generations[sequence.name], "finished")
        self._step(server)

    def _joined(self, generation: participants.Generation) -> None:
        back = self._latency(generation.host, generation.server)
        if generation.sequence.tokens <= 1 and not generation.last_at:
            self.figures.first_token(generation.arrival, self.now + back)
        else:
            gap = self.now - (generation.last_at or generation.arrival.at)
            generation.stall_s += max(0.0, gap - figures.STALL_S)
            self.figures.gap(self.now, gap, 1)

    def _end(self, generation: participants.Generation, outcome: str) -> None:
        server = generation.server
        server.generations.pop(generation.loan, None)
        tokens = generation.sequence.tokens if generation.sequence else 0
        ledger = server.ledger
        self._at(
            self.now + self._latency(generation.host, server),
            self._release,
            generation,
            ledger,
            tokens,
            outcome,
        )

    def _release(
        self,
        generation: participants.Generation,
        ledger: slots.SlotLedger,
        tokens: int,
        outcome: str,
    ) -> None:
        host, server = generation.host, generation.server
        job = generation.request.job
        self.open -= 1
        self.figures.ended(
            generation.arrival,
            self.now,
            tokens,
            outcome,
            generation.remote,
            generation.stall_s,
        )
        host.running[job.customer] -= 1
        host.queue.settle(generation.request, tokens)
        host.estimator.observe(job.service, job.customer, tokens)
        host.recent.record_returned(server.shape.name, generation.blocks, self.now)
        message = messages.Release(
            generation.loan, server.shape.name, ledger.state.incarnation, tokens, outcome
        )
        record = ledger.release(message, self.now)
        if record is not None:
            self._home(server).gate.record_release(ledger, record.holding, message)
        self._dispatch(host)

    def _report(self, server: participants.Server) -> None:
        self._at(self.now + participants.REPORT_LAG_S, self._reported, server, server.load())
        announcements.apply_cache_events(server.prefixes, server.model.take_cache_events())
        self._at(self.now + REPORT_EVERY_S, self._report, server)

    def _reported(self, server: participants.Server, load: messages.ServerLoad) -> None:
        if load.incarnation == server.incarnation:
            server.ledger.report(load, self.now)

    def _tell_view(self, server: participants.Server) -> None:
        ledger = server.ledger
        ledger.drop_released(self.now)
        expected = 0
        if self.hosts[server.shape.region].policy.by_memory:
            expected = self._home(server).gate.expected_blocks(ledger, self.now)
        view = messages.ServerView(
            ledger.state,
            ledger.load,
            str(server.shape.region),
            ledger.limit,
            ledger.used(self.now),
            not ledger.is_warm(),
            list(server.prefixes),
            expected,
        )
        for host in self.hosts.values():
            self._at(self.now + self._latency(host, server), self._take_view, host, view)
        self._at(self.now + VIEW_EVERY_S, self._tell_view, server)

    def _take_view(self, host: participants.EntryHost, view: messages.ServerView) -> None:
        host.known[view.state.server] = choices.KnownView(view, view.state.data_centre, self.now)
        self._dispatch(host)

    def _tell_holdings(self, host: participants.EntryHost) -> None:
        for server in self.servers.values():
            for generation in server.generations.values():
                if generation.host is host:
                    server.ledger.record_holding(
                        str(host.region), _holding(generation, server), self.now
                    )
        self._at(self.now + HOLDINGS_EVERY_S, self._tell_holdings, host)

    def _take_out(self, region: int) -> None:
        self.out.add(region)

    def _bring_back(self, region: int) -> None:
        """Restart the servers, cold, once they are empty; then let them be used again."""
        servers = [held for held in self.servers.values() if held.shape.region == region]
        if any(server.generations for server in servers):
            self._at(self.now + 1.0, self._bring_back, region)
            return
        for server in servers:
            server.restart(self.now)
        self.out.discard(region)

    def _home(self, server: participants.Server) -> participants.EntryHost:
        return self.hosts[server.shape.region]

    def _latency(self, host: participants.EntryHost, server: participants.Server) -> float:
        return LOCAL_LATENCY_S if host.region == server.shape.region else REGION_LATENCY_S


def _holding(generation: participants.Generation, server: participants.Server) -> messages.Holding:
    job = generation.request.job
    return messages.Holding(
        generation.loan,
        server.shape.name,
        server.incarnation,
        job.service,
        job.customer,
        job.prompt_tokens,
        generation.sequence.tokens,
        max_tokens=job.max_tokens,
        expected_tokens=job.expected_tokens,
    )
