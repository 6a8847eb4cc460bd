"""Reports of crashed backend servers, with the requests that may have crashed them.

When an answer breaks off, the server is asked for a new connection. If it refuses one while another
server accepts one, it has crashed; if no other accepts one, either, it has crashed if it does not
report any more. The control hosts then get the requests that were in flight there from this host,
without those whose answers had gone on for a while. They also get requests that succeed though they
share a fingerprint with such a request.
"""

import random

import curio

from ebonywheel import commands, crashstate, directory, exceptions, kernel, messages, watcher
from ebonywheel.gateway import balance, inflight, permitclient, sender

# Requests at one server that break off within this time are reported together.
GATHER_S = 0.05
PROBE_TIMEOUT_S = 0.5
# Other servers that are asked for a connection, one after the other.
MAX_OTHERS_PROBED = 2
# Servers report every 1.2 s, and reports take up to half a second to arrive here.
REPORT_WAIT_S = 2.0
REPORT_POLL_S = 0.1
# A request under which a server has crashed is not sent again before this time has passed, and a
# random one of up to `PAUSE_SPREAD_S`: faster crashes may be taken for one, and requests that were
# in flight at the same server should not meet again at the next.
CRASH_PAUSE_S = crashstate.COMMON_CAUSE_MS / 1000 + 0.05
PAUSE_SPREAD_S = 0.1
# Longest wait for the control hosts to decide on a crash.
MAX_VERDICT_WAIT_S = 0.6
# A server that accepted a connection within this time is not asked again.
ALIVE_S = 1.0
# An answer that breaks off this soon after its first part had just begun.
BEGINNING_S = 0.2
# A server survives a request whose answer has gone on for this long.
SURVIVED_S = 1.0
SUBMIT_TIMEOUT_S = 2.0
RETRY_S = 0.2
# A report that no control host has taken for this long is given up.
MAX_REPORT_AGE_S = 30.0
MAX_PENDING_SERVERS = 64
MAX_REQUESTS_PER_SERVER = 32
MS_PER_S = 1000


class BrokenServer:
    """A server at which answers broke off.

    Attributes:
        broke_at: When the first of them did, monotonic seconds.
        requests: Requests that may have crashed it.
        attempts: Ids of their attempts.
        crashed: Whether it has crashed, as far as known.
        decided: Set once the control hosts have taken the report, or none is due.
    """

    __slots__ = ("record", "broke_at", "requests", "attempts", "crashed", "decided")

    def __init__(self, record: messages.DirectoryRecord, broke_at: float):
        self.record = record
        self.broke_at = broke_at
        self.requests: list[commands.InFlightRequest] = []
        self.attempts: list[str] = []
        self.crashed = False
        self.decided = curio.Event()

    def concerns(self, whole_request: bytes) -> bool:
        """Return whether a request with this most specific fingerprint may have crashed it."""
        return any(request.fingerprints[-1] == whole_request for request in self.requests)


class CrashReporter:
    """Reports crashes, and successes that contradict a suspicion.

    Attributes:
        permits: Asks for permits to send suspect requests.
        broken: Servers that are being checked, by id and start of the process.
        undecided: These, and those whose report no control host has taken yet.
        alive_until: Until when servers count as alive, monotonic seconds.
    """

    def __init__(
        self,
        core: kernel.Kernel,
        request_sender: sender.Sender,
        control_watcher: watcher.Watcher,
        permits: permitclient.PermitClient,
    ):
        self.core = core
        self.pool = request_sender.pool
        self.view = request_sender.view
        self.watcher = control_watcher
        self.permits = permits
        self.broken: dict[directory.IncarnationKey, BrokenServer] = {}
        self.undecided: set[BrokenServer] = set()
        self.alive_until: dict[directory.IncarnationKey, float] = {}

    async def admit(self, context: inflight.RequestContext) -> bool:
        """Return whether a request may be sent to a server, after a wait where that is open.

        If an equal one may have crashed a server just now, it waits until the control hosts have
        decided; if it is suspect, it waits for a permit.
        """
        quarantine = self.view.quarantine
        if not self.undecided and quarantine.is_empty():
            return True
        whole_request = context.fingerprints()[-1]
        await self._wait_for_verdict(whole_request)
        if quarantine.is_suspect(whole_request):
            context.reason = context.reason or "suspected: such requests may crash servers"
            if not await self.permits.acquire_trial(whole_request):
                return False
        return not self.view.quarantined_s(context)

    async def admit_running(self, context: inflight.RequestContext) -> bool:
        """Return whether a running request may go on at another server; waits like `admit`.

        One whose answer has gone on for a while crashes no server, whatever equal ones did.
        """
        return self._has_survived(context) or await self.admit(context)

    async def _wait_for_verdict(self, whole_request: bytes) -> None:
        while (broken := self._find_undecided(whole_request)) is not None:
            async with curio.ignore_after(MAX_VERDICT_WAIT_S - self._elapsed_s(broken)):
                await broken.decided.wait()
                if broken.crashed:
                    pause_s = CRASH_PAUSE_S + random.uniform(0.0, PAUSE_SPREAD_S)
                    await curio.sleep(max(0.0, pause_s - self._elapsed_s(broken)))

    def _find_undecided(self, whole_request: bytes) -> BrokenServer | None:
        return next(
            (
                broken
                for broken in self.undecided
                if broken.concerns(whole_request) and self._elapsed_s(broken) < MAX_VERDICT_WAIT_S
            ),
            None,
        )

    def _elapsed_s(self, broken: BrokenServer) -> float:
        return self.core.clock.monotonic() - broken.broke_at

    async def record_success(self, context: inflight.RequestContext) -> None:
        """Record a request whose answer is complete, or has gone on for a while.

        A server's own failure is no success, as it may have failed before it ran the request.
        """
        context.success_recorded = True
        quarantine = self.view.quarantine
        if not quarantine.suspects:
            return
        now = self.core.clock.monotonic()
        began_at = context.first_event_at or now
        contradicted = quarantine.take_contradicted(context.fingerprints(), began_at)
        if contradicted:
            command = commands.ReportSuccess(
                actor=self.core.host.name,
                fingerprints=contradicted,
                age_ms=int((now - began_at) * MS_PER_S),
            )
            self.core.log.info(
                "suspicion_contradicted",
                request=context.request.attempt,
                fingerprints=" ".join(fingerprint.hex() for fingerprint in contradicted),
            )
            await self.core.spawn(self._report_success(command))

    async def record_progress(self, context: inflight.RequestContext) -> None:
        """Record a request as a success once its answer has gone on for long enough."""
        if not context.success_recorded and self._has_survived(context):
            await self.record_success(context)

    def _has_survived(self, context: inflight.RequestContext) -> bool:
        """Return whether an answer has gone on for long enough for its server to be safe."""
        began_at = context.first_event_at
        return began_at > 0 and self.core.clock.monotonic() - began_at >= SURVIVED_S

    async def record_broken(
        self,
        context: inflight.RequestContext,
        record: messages.DirectoryRecord,
        error: exceptions.UpstreamError,
    ) -> None:
        """Record an answer that broke off, and start to check whether its server has crashed."""
        if not error.sent or error.timed_out or not self.view.remains_in_service(record):
            return
        now = self.core.clock.monotonic()
        key = (record.server, record.born_ms)
        if self.alive_until.get(key, 0.0) > now:
            return
        broken = self.broken.get(key)
        if broken is None:
            if len(self.undecided) >= MAX_PENDING_SERVERS:
                return
            broken = self.broken[key] = BrokenServer(record, now)
            self.undecided.add(broken)
            await self.core.spawn(self._check_and_report(key, broken))
        if not self._has_survived(context) and len(broken.requests) < MAX_REQUESTS_PER_SERVER:
            broken.requests.append(
                commands.InFlightRequest(
                    list(context.fingerprints()), self._has_just_begun(context)
                )
            )
            broken.attempts.append(context.request.attempt)

    def _has_just_begun(self, context: inflight.RequestContext) -> bool:
        if not context.status:
            return False
        began_at = context.first_event_at
        return not began_at or self.core.clock.monotonic() - began_at < BEGINNING_S

    async def _check_and_report(self, key: directory.IncarnationKey, broken: BrokenServer) -> None:
        try:
            await self._check(key, broken)
            if broken.crashed and broken.requests:
                await self._report(broken)
        finally:
            await self._decide(broken)

    async def _decide(self, broken: BrokenServer) -> None:
        self.undecided.discard(broken)
        await broken.decided.set()

    async def _check(self, key: directory.IncarnationKey, broken: BrokenServer) -> None:
        """Find out whether a server has crashed, once the requests at it have broken off."""
        await curio.sleep(GATHER_S)
        try:
            broken.crashed = await self._has_crashed(broken.record)
        finally:
            del self.broken[key]
        if not broken.crashed:
            self._record_alive(key)
            return
        self.core.metrics.count("server_crashes", service=broken.record.service)
        self.core.log.warning(
            "server_crashed",
            server=broken.record.server,
            requests=len(broken.requests),
            at_beginning=sum(request.began for request in broken.requests),
            attempts=" ".join(broken.attempts),
            fingerprints=_whole_fingerprints(broken.requests),
        )

    def _record_alive(self, key: directory.IncarnationKey) -> None:
        now = self.core.clock.monotonic()
        self.alive_until = {
            other: until for other, until in self.alive_until.items() if until > now
        }
        self.alive_until[key] = now + ALIVE_S

    async def _has_crashed(self, record: messages.DirectoryRecord) -> bool:
        if self.view.directory.is_replaced(record):
            return True
        if not self.view.remains_in_service(record):
            return False
        refused_at = self.core.clock.monotonic()
        error = await self.pool.probe(record, PROBE_TIMEOUT_S)
        if error is None or not isinstance(error.__cause__, ConnectionRefusedError):
            return False
        return await self._reaches_others(record) or not await self._reports(record, refused_at)

    async def _reaches_others(self, record: messages.DirectoryRecord) -> bool:
        """Return whether another server accepts a connection, so that this host is not cut off."""
        others = [
            entry.record
            for entry in self.view.directory.live()
            if entry.record.server != record.server
            and self.view.directory.age_s(entry.record.server) < balance.MAX_REPORT_AGE_S
        ]
        random.shuffle(others)
        others.sort(key=lambda other: self.view.state_of(other).unreachable)
        for other in others[:MAX_OTHERS_PROBED]:
            if await self.pool.probe(other, PROBE_TIMEOUT_S) is None:
                return True
        return False

    async def _reports(self, record: messages.DirectoryRecord, since: float) -> bool:
        """Return whether a server reports within `REPORT_WAIT_S` that it runs."""
        waited_s = 0.0
        while record.server in self.view.directory.entries and waited_s < REPORT_WAIT_S:
            await curio.sleep(REPORT_POLL_S)
            waited_s = self.core.clock.monotonic() - since
            if self.view.directory.age_s(record.server) < waited_s:
                return self.view.remains_in_service(record)
        return False

    async def _report(self, broken: BrokenServer) -> None:
        while True:
            age_s = self._elapsed_s(broken)
            command = commands.ReportServerCrash(
                actor=self.core.host.name,
                server=broken.record.server,
                incarnation=broken.record.born_ms,
                age_ms=int(age_s * MS_PER_S),
                requests=broken.requests,
            )
            outcome = await self._submit(command)
            if isinstance(outcome, commands.CrashRecorded):
                now = self.core.clock.monotonic()
                self.view.quarantine.refuse(outcome.quarantined, broken.broke_at, now)
            if outcome is not None or age_s > MAX_REPORT_AGE_S:
                return
            await curio.sleep(RETRY_S)

    async def _report_success(self, command: commands.ReportSuccess) -> None:
        if await self._submit(command) is None:
            # The next success is reported instead.
            self.view.quarantine.contradicted.difference_update(command.fingerprints)

    async def _submit(self, command: commands.Command) -> commands.AnyOutcome | None:
        """Submit a report; return its outcome, None if no control host has taken it."""
        message = commands.submit_message(command)
        try:
            reply = await self.watcher.call(message, SUBMIT_TIMEOUT_S)
        except exceptions.LinkError as error:
            self.core.log.warning("report_not_taken", kind=type(command).__name__, error=error)
            return None
        outcome = commands.decode_outcome(reply.outcome)
        self.core.log.info("report_taken", kind=type(command).__name__, outcome=outcome)
        return outcome


def _whole_fingerprints(requests: list[commands.InFlightRequest]) -> str:
    """Return the most specific fingerprint of each request, as hexadecimal text."""
    return " ".join(request.fingerprints[-1].hex() for request in requests)
