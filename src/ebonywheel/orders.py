"""The leader carries out orders: sends them to backend servers and records what became of them.

An order is replicated, with its fencing number, before it is sent. Engines that refuse old numbers
need no more. For those that ignore numbers, an order is sent only under the leader's lease and
takes effect within the engine's `order_life_s`; a new leader waits that long before it sends, and
sends the latest order again when the server reports an older one.
"""

import curio
import msgspec

from ebonywheel import (
    commands,
    documents,
    engineclient,
    exceptions,
    feedserver,
    http,
    httpclient,
    kernel,
    orderstate,
    registry,
    replica,
    state,
    statedata,
)

CHECK_S = 0.25
CONNECT_TIMEOUT_S = 1.0
RETRY_S = 1.0
LEASE_MARGIN_S = 0.5
REPORT_LAG_S = 3.0
GIVE_UP_S = 600.0
MAX_ANSWER_BYTES = 64 * 1024


class Order(msgspec.Struct):
    """Body of an order."""

    kind: str
    argument: str
    sequence: int


class Target(msgspec.Struct):
    """A backend server as its home entry host reports it."""

    server: str
    incarnation: int
    engine: str
    address: str
    last_order: int = 0


class HostReport(msgspec.Struct):
    """The part of an entry host's report that lists backend servers."""

    servers: list[Target] = []


class Attempt(msgspec.Struct):
    """What this leader did about one order.

    Attributes:
        first_at: When it first saw the order, on its monotonic clock.
        sent_at: When bytes of it may last have left.
        next_at: Earliest time of the next try.
        refused_at: When the server first refused it for its number or incarnation.
        running: Whether a try is under way.
        ended_at: When its result was recorded.
    """

    sequence: int
    first_at: float
    sent_at: float = float("-inf")
    next_at: float = float("-inf")
    refused_at: float = float("inf")
    running: bool = False
    ended_at: float = float("inf")


class OrderSender:
    """Carries out orders while this host leads."""

    def __init__(
        self,
        core: kernel.Kernel,
        consensus: replica.Replica,
        machine: state.State,
        feed: feedserver.FeedServer,
    ):
        self.core = core
        self.consensus = consensus
        self.machine = machine
        self.feed = feed
        self.term = -1
        self.led_since = 0.0
        self.attempts: dict[str, Attempt] = {}
        self.next_load_at: dict[str, float] = {}
        self.loading: dict[str, int] = {}

    async def start(self) -> None:
        """Start carrying out orders."""
        await self.core.spawn(self._run(), essential=True)

    async def _run(self) -> None:
        while True:
            await curio.sleep(CHECK_S)
            if self.consensus.has_lease() and self.machine.data.orders:
                self._follow_term()
                await self._start_due()

    def _follow_term(self) -> None:
        term = self.consensus.store.vote.term
        if term != self.term:
            self.term = term
            self.led_since = self.core.clock.monotonic()
            self.attempts = {}
            self.next_load_at = {}
            self.loading = {}

    async def _start_due(self) -> None:
        now = self.core.clock.monotonic()
        targets = self._targets()
        for key, record in list(self.machine.data.orders.items()):
            attempt = self.attempts.get(key)
            if attempt is None or attempt.sequence != record.sequence:
                attempt = self._begin(key, record, now)
            if attempt.running or now < attempt.next_at:
                continue
            if record.result and not self._reverted(record, attempt, targets.get(key), now):
                continue
            attempt.running = True
            await self.core.spawn(self._try(key, record, attempt, targets.get(key)))

    def _begin(self, key: str, record: statedata.OrderRecord, now: float) -> Attempt:
        before = self.attempts.get(key)
        attempt = Attempt(record.sequence, now)
        if before is not None:
            attempt.sent_at = before.sent_at
        if record.result:
            attempt.ended_at = now
        self.attempts[key] = attempt
        return attempt

    def _targets(self) -> dict[str, Target]:
        found = {}
        for lessee in self.feed.lessees.values():
            request = lessee.request
            report = msgspec.json.decode(request.load or b"{}", type=HostReport)
            for target in report.servers:
                found[orderstate.order_key(request.environment, target.server)] = target
        return found

    def _reverted(
        self,
        record: statedata.OrderRecord,
        attempt: Attempt,
        target: Target | None,
        now: float,
    ) -> bool:
        # A server that does not check numbers may have taken an older order after this one.
        if target is None or record.result != "accepted" or now < attempt.ended_at + REPORT_LAG_S:
            return False
        return 0 < target.last_order < record.sequence

    async def _try(
        self,
        key: str,
        record: statedata.OrderRecord,
        attempt: Attempt,
        target: Target | None,
    ) -> None:
        try:
            attempt.next_at = self.core.clock.monotonic() + RETRY_S
            result = await self._carry_out(key, record, attempt, target)
            if result and record.result != result:
                await self._end(key, record, result)
            if result:
                attempt.ended_at = self.core.clock.monotonic()
        except exceptions.EbonywheelError as error:
            self.core.metrics.count("order_errors", code=error.code)
        finally:
            attempt.running = False

    async def _carry_out(
        self,
        key: str,
        record: statedata.OrderRecord,
        attempt: Attempt,
        target: Target | None,
    ) -> str:
        """Try once; return the result, or an empty string to try again."""
        now = self.core.clock.monotonic()
        if target is None:
            return (
                "not sent: backend server not found" if now > attempt.first_at + GIVE_UP_S else ""
            )
        if target.last_order == record.sequence:
            return "accepted"
        environment = key.partition("/")[0]
        engine = orderstate.document_table(
            self.machine.data, environment, f"engines/{target.engine}", documents.Engine
        )
        if engine is None or now < self._quiet_until(attempt, engine):
            return ""
        if not registry.plugins.find("order", record.kind).loads_weights:
            return await self._send(key, record, attempt, target, engine)
        if not self._take_load(environment):
            return ""
        try:
            return await self._send(key, record, attempt, target, engine)
        finally:
            self.loading[environment] = self.loading.get(environment, 1) - 1

    def _quiet_until(self, attempt: Attempt, engine: documents.Engine) -> float:
        if engine.fencing:
            # An order without an answer may have been taken: the next report tells.
            return attempt.sent_at + REPORT_LAG_S
        earlier = max(attempt.sent_at, self.led_since + LEASE_MARGIN_S)
        return earlier + engine.order_life_s

    def _take_load(self, environment: str) -> bool:
        weights = orderstate.document_table(
            self.machine.data, environment, "weights/weights", documents.Weights
        )
        weights = weights or documents.Weights()
        spacing_s = 60.0 / weights.loads_per_minute
        now = self.core.clock.monotonic()
        # The leader before may have started a load just before this one took over.
        next_at = self.next_load_at.get(environment, self.led_since + spacing_s)
        if now < next_at or self.loading.get(environment, 0) >= weights.concurrent:
            return False
        self.next_load_at[environment] = now + spacing_s
        self.loading[environment] = self.loading.get(environment, 0) + 1
        return True

    async def _send(
        self,
        key: str,
        record: statedata.OrderRecord,
        attempt: Attempt,
        target: Target,
        engine: documents.Engine,
    ) -> str:
        connection = httpclient.ClientConnection(target.address)
        headers = [(engineclient.INCARNATION_HEADER, str(target.incarnation))]
        body = msgspec.json.encode(Order(record.kind, record.argument, record.sequence))
        try:
            await connection.connect(CONNECT_TIMEOUT_S)
            self._require_current(key, record)
            attempt.sent_at = self.core.clock.monotonic()
            self.core.metrics.count("orders_sent", kind=record.kind)
            await connection.request("POST", "/orders", headers, body, engine.order_life_s)
            head = await connection.response(engine.order_life_s)
            answer = await connection.body(engine.order_life_s, MAX_ANSWER_BYTES)
        finally:
            await connection.close()
        if head.status == 200:
            attempt.sent_at = float("-inf")
            return "accepted"
        if head.status >= 500:
            return ""
        attempt.sent_at = float("-inf")
        if head.status == engineclient.STATUS_OTHER_INCARNATION:
            # The server may have restarted, or taken an earlier try: the next reports tell.
            now = self.core.clock.monotonic()
            attempt.refused_at = min(attempt.refused_at, now)
            if now < attempt.refused_at + REPORT_LAG_S:
                return ""
        return f"refused: {_problem_text(answer, head.status)}"

    def _require_current(self, key: str, record: statedata.OrderRecord) -> None:
        # Nothing is awaited between this check and the first byte.
        self.consensus.require_lease("send order")
        latest = self.machine.data.orders.get(key)
        if latest is None or latest.sequence != record.sequence:
            raise exceptions.NotRunError("a later order was issued", "send order", key)

    async def _end(self, key: str, record: statedata.OrderRecord, result: str) -> None:
        environment, _, server = key.partition("/")
        command = commands.EndOrder(
            actor=self.core.host.name,
            environment=environment,
            server=server,
            sequence=record.sequence,
            accepted=result == "accepted",
            text=result,
        )
        await self.consensus.propose(command)
        self.core.log.info("order_ended", server=key, sequence=record.sequence, result=result)


def _problem_text(answer: bytes, status: int) -> str:
    try:
        return msgspec.json.decode(answer, type=http.ErrorBody).text
    except msgspec.MsgspecError:
        return f"backend server answered {status}"
