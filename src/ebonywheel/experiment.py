"""Discrete-event simulation that runs the entry hosts' code against simulated engines.

The routing policies, waiting queue, length estimates, memory gate and slot ledger are the entry
hosts' own code. Engines are simulated. Network and consensus are not: messages only take time. All
variants of a run see the same arrivals.
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

CROSS_REGION_LATENCY_S = 0.012
LOCAL_LATENCY_S = 0.001
REPORT_INTERVAL_S = 0.5
VIEW_INTERVAL_S = 0.25
HOLDINGS_INTERVAL_S = 0.5
EXPIRY_INTERVAL_S = 0.25
MAX_WAIT_S = 30.0
# With more requests than this in the queue, servers of other regions are used as well.
CROSS_REGION_COST = 4.0
MAX_TOKENS = 32_768


class Simulation:
    """Simulation of one variant under one scenario.

    Attributes:
        now: Virtual time in seconds.
        event_queue: Heap of (time, sequence number, callback, arguments).
        hosts: Entry hosts by region; each is the home of its region's servers.
        regions_out: Regions whose data centre is taken out.
        open_requests: Number of requests that have neither ended nor been refused.
    """

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
        self.sequence_numbers = itertools.count()
        self.event_queue: list[tuple[float, int, typing.Callable, tuple]] = []
        self.servers = {
            profile.name: participants.Server(profile, scenario) for profile in setup.engines
        }
        regions = sorted({profile.region for profile in setup.engines})
        self.hosts = {region: participants.EntryHost(region, variant) for region in regions}
        self.regions_out: set[int] = set()
        self.open_requests = 0
        self.recorder = figures.Recorder(scenario.warm_up_s, scenario.seconds)
        self.arrivals = workload.generate_arrivals(
            setup, scenario.load, scenario.seconds, seed, scenario.burst
        )

    def run(self) -> figures.Figures:
        """Run until the last request has ended and return the figures."""
        for arrival in self.arrivals:
            self._schedule(arrival.at_s, self._arrive, arrival)
        self.open_requests = len(self.arrivals)
        for number, server in enumerate(self.servers.values()):
            offset = number / len(self.servers)
            self._schedule(offset * REPORT_INTERVAL_S, self._send_load_report, server)
            self._schedule(offset * VIEW_INTERVAL_S, self._send_view, server)
        for host in self.hosts.values():
            self._schedule(HOLDINGS_INTERVAL_S, self._send_holdings, host)
            self._schedule(EXPIRY_INTERVAL_S, self._expire_requests, host)
        if self.scenario.move is not None:
            self._schedule(self.scenario.move.take_out_s, self._take_out, self.scenario.move.region)
            self._schedule(
                self.scenario.move.bring_back_s, self._bring_back, self.scenario.move.region
            )
        while self.open_requests and self.event_queue:
            self.now, _, callback, arguments = heapq.heappop(self.event_queue)
            callback(*arguments)
        return self.recorder.result(self.variant.name)

    def _schedule(self, at: float, callback: typing.Callable, *arguments: typing.Any) -> None:
        heapq.heappush(self.event_queue, (at, next(self.sequence_numbers), callback, arguments))

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
        expected_tokens = host.estimator.expected(
            arrival.service, arrival.customer.name, arrival.length
        )
        request = admission.Request(
            job, expected_tokens, self.now, self.now + MAX_WAIT_S, arrival.customer.share
        )
        request.owner = participants.Generation(
            arrival, request, f"loan-{next(self.sequence_numbers)}", host
        )
        request.owner.expected_blocks = (
            arrival.prompt_tokens + expected_tokens
        ) / workload.BLOCK_TOKENS
        self.recorder.record_arrival(arrival)
        try:
            evicted = host.queue.push(request, self.now)
        except exceptions.NotRunError:
            self._refuse_request(request)
            return
        if evicted is not None:
            self._refuse_request(evicted)
        self._dispatch(host)

    def _refuse_request(self, request: admission.Request) -> None:
        self.open_requests -= 1
        self.recorder.record_refusal(request.owner.arrival, self.now)

    def _expire_requests(self, host: participants.EntryHost) -> None:
        for request in host.queue.expire(self.now):
            self._refuse_request(request)
        self._dispatch(host)
        self._schedule(self.now + EXPIRY_INTERVAL_S, self._expire_requests, host)

    def _dispatch(self, host: participants.EntryHost) -> None:
        """Request a slot for the first request that has a candidate server.

        A host requests one slot at a time.
        """
        if host.slot_requested or not host.queue.count:
            return
        servers = [
            known
            for known in host.known_servers.values()
            if int(known.region) not in self.regions_out
        ]
        for request in admission.eligible(host.queue, host.running_by_customer, self.now):
            candidates = choices.choose(
                host.policy,
                host.recent_changes,
                request.job,
                servers,
                host.queue.count <= CROSS_REGION_COST,
            )
            if candidates:
                self._request_slot(host, request, candidates[0])
                return

    def _request_slot(
        self,
        host: participants.EntryHost,
        request: admission.Request,
        candidate: policies.Candidate,
    ) -> None:
        host.slot_requested = True
        server = self.servers[candidate.view.state.server]
        latency_s = self._latency(host, server)
        self._schedule(
            self.now + latency_s, self._handle_slot_request, host, request, server, candidate.view
        )

    def _handle_slot_request(
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
        granted = server.profile.region not in self.regions_out
        try:
            if granted and host.policy.by_memory:
                self._home_host(server).gate.check(server.ledger, borrow, self.now)
            if granted:
                server.ledger.lend(borrow, self.now)
        except exceptions.NotRunError:
            granted = False
        self._schedule(
            self.now + self._latency(host, server),
            self._handle_slot_reply,
            host,
            request,
            server,
            granted,
        )

    def _handle_slot_reply(
        self,
        host: participants.EntryHost,
        request: admission.Request,
        server: participants.Server,
        granted: bool,
    ) -> None:
        host.slot_requested = False
        if not request.queued:
            # The request expired or was evicted from the queue while the slot was requested.
            if granted:
                unused = messages.Release(request.owner.loan, outcome="unused")
                server.ledger.release(unused, self.now)
        elif not granted:
            host.recent_changes.record_refusal(server.profile.name, request.job.service, self.now)
        else:
            host.queue.take(request, self.now)
            host.recent_changes.record_borrowed(
                server.profile.name, request.owner.expected_blocks, self.now
            )
            host.running_by_customer[request.job.customer] += 1
            self._schedule(
                self.now + self._latency(host, server), self._start, request.owner, server
            )
        self._dispatch(host)

    def _start(self, generation: participants.Generation, server: participants.Server) -> None:
        arrival = generation.arrival
        generation.server = server
        generation.remote = server.profile.region != generation.host.region
        self.recorder.record_start(arrival, generation.remote)
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
            self._crash(server)
            return
        if not server.stepping:
            self._begin_step(server)

    def _crash(self, server: participants.Server) -> None:
        self.recorder.record_crash()
        for generation in list(server.generations.values()):
            self._end(generation, "failed")
        server.restart(self.now)

    def _begin_step(self, server: participants.Server) -> None:
        server.stepping = bool(server.model.sequence_count())
        if not server.stepping:
            return
        step = server.model.step()
        server.last_step_s = step.duration_s
        for sequence in step.preempted:
            server.generations[sequence.name].preempted_at = self.now
            self.recorder.record_preemption(self.now)
        self._schedule(self.now + step.duration_s, self._finish_step, server, step, server.model)

    def _finish_step(
        self, server: participants.Server, step: enginemodel.Step, model: enginemodel.EngineModel
    ) -> None:
        if model is not server.model:  # the server was restarted during the step
            return
        self.recorder.record_decoded(self.now, step.batch)
        # A sequence may start and be preempted in the same step, before it gets a token.
        started = [sequence for sequence in step.joined if sequence not in step.preempted]
        for sequence in started:
            self._record_token_after_start(server.generations[sequence.name])
        continuing = step.batch - len(started)
        if continuing:
            self.recorder.record_gap(self.now, step.duration_s, continuing)
        for sequence in step.finished:
            self._end(server.generations[sequence.name], "finished")
        self._begin_step(server)

    def _record_token_after_start(self, generation: participants.Generation) -> None:
        latency_s = self._latency(generation.host, generation.server)
        if generation.sequence.tokens <= 1 and not generation.preempted_at:
            self.recorder.record_first_token(generation.arrival, self.now + latency_s)
        else:
            gap_s = self.now - (generation.preempted_at or generation.arrival.at_s)
            generation.stall_s += max(0.0, gap_s - figures.STALL_THRESHOLD_S)
            self.recorder.record_gap(self.now, gap_s, 1)

    def _end(self, generation: participants.Generation, outcome: str) -> None:
        server = generation.server
        server.generations.pop(generation.loan, None)
        tokens = generation.sequence.tokens if generation.sequence else 0
        ledger = server.ledger
        self._schedule(
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
        self.open_requests -= 1
        self.recorder.record_end(
            generation.arrival,
            self.now,
            tokens,
            outcome,
            generation.remote,
            generation.stall_s,
        )
        host.running_by_customer[job.customer] -= 1
        host.queue.settle(generation.request, tokens)
        host.estimator.observe(job.service, job.customer, tokens)
        host.recent_changes.record_returned(
            server.profile.name, generation.expected_blocks, self.now
        )
        release = messages.Release(
            generation.loan, server.profile.name, ledger.state.incarnation, tokens, outcome
        )
        record = ledger.release(release, self.now)
        if record is not None:
            self._home_host(server).gate.record_release(ledger, record.holding, release)
        self._dispatch(host)

    def _send_load_report(self, server: participants.Server) -> None:
        self._schedule(
            self.now + participants.REPORT_LAG_S, self._receive_load_report, server, server.load()
        )
        announcements.apply_cache_events(server.prefixes, server.model.take_cache_events())
        self._schedule(self.now + REPORT_INTERVAL_S, self._send_load_report, server)

    def _receive_load_report(self, server: participants.Server, load: messages.ServerLoad) -> None:
        if load.incarnation == server.incarnation:
            server.ledger.report(load, self.now)

    def _send_view(self, server: participants.Server) -> None:
        ledger = server.ledger
        ledger.drop_released(self.now)
        expected_blocks = 0
        if self.hosts[server.profile.region].policy.by_memory:
            expected_blocks = self._home_host(server).gate.expected_blocks(ledger, self.now)
        view = messages.ServerView(
            ledger.state,
            ledger.load,
            str(server.profile.region),
            ledger.limit,
            ledger.used(self.now),
            not ledger.is_warm(),
            list(server.prefixes),
            expected_blocks,
        )
        for host in self.hosts.values():
            self._schedule(self.now + self._latency(host, server), self._receive_view, host, view)
        self._schedule(self.now + VIEW_INTERVAL_S, self._send_view, server)

    def _receive_view(self, host: participants.EntryHost, view: messages.ServerView) -> None:
        host.known_servers[view.state.server] = choices.KnownView(
            view, view.state.data_centre, self.now
        )
        self._dispatch(host)

    def _send_holdings(self, host: participants.EntryHost) -> None:
        for server in self.servers.values():
            for generation in server.generations.values():
                if generation.host is host:
                    server.ledger.record_holding(
                        str(host.region), _holding(generation, server), self.now
                    )
        self._schedule(self.now + HOLDINGS_INTERVAL_S, self._send_holdings, host)

    def _take_out(self, region: int) -> None:
        self.regions_out.add(region)

    def _bring_back(self, region: int) -> None:
        """Restart the region's servers cold once they are idle, then use them again."""
        servers = [server for server in self.servers.values() if server.profile.region == region]
        if any(server.generations for server in servers):
            self._schedule(self.now + 1.0, self._bring_back, region)
            return
        for server in servers:
            server.restart(self.now)
        self.regions_out.discard(region)

    def _home_host(self, server: participants.Server) -> participants.EntryHost:
        return self.hosts[server.profile.region]

    def _latency(self, host: participants.EntryHost, server: participants.Server) -> float:
        return LOCAL_LATENCY_S if host.region == server.profile.region else CROSS_REGION_LATENCY_S


def _holding(generation: participants.Generation, server: participants.Server) -> messages.Holding:
    job = generation.request.job
    return messages.Holding(
        generation.loan,
        server.profile.name,
        server.incarnation,
        job.service,
        job.customer,
        job.prompt_tokens,
        generation.sequence.tokens,
        max_tokens=job.max_tokens,
        expected_tokens=job.expected_tokens,
    )
