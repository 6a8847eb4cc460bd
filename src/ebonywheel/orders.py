"""Sends orders to backend servers, as the leader, and records their results.

An order is replicated with its fencing number before it is sent. For engines that refuse older
numbers this is enough. For engines that ignore the numbers, an order is sent only under the
leader's lease and takes effect within the engine's `order_life_s`; a new leader waits that long
before it sends, and resends the latest order when the server reports an older one.
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

CHECK_INTERVAL_S = 0.25
CONNECT_TIMEOUT_S = 1.0
RETRY_INTERVAL_S = 1.0
LEASE_MARGIN_S = 0.5
MAX_REPORT_LAG_S = 3.0
UNKNOWN_SERVER_TIMEOUT_S = 600.0
MAX_ANSWER_BYTES = 64 * 1024


class Order(msgspec.Struct):
    """Body of an order's HTTP request."""

    kind: str
    argument: str
    sequence: int


class Target(msgspec.Struct):
    """A backend server as reported by its home entry host.

    Attributes:
        last_order: Fencing number of the last order that the server took.
    """

    server: str
    incarnation: int
    engine: str
    address: str
    last_order: int = 0


class HostReport(msgspec.Struct):
    """The part of an entry host's report that lists its backend servers."""

    servers: list[Target] = []


class Delivery(msgspec.Struct):
    """Delivery of one order by this leader; times are seconds of the monotonic clock.

    Attributes:
        sequence: Fencing number of the order.
        first_seen_at: When this leader first saw the order.
        last_sent_at: Last time when bytes may have been sent without a known result.
        next_try_at: Earliest time of the next try.
        first_refused_at: When the server first refused the order's number or incarnation.
        in_progress: Whether a try is in progress.
        ended_at: When the result was recorded.
    """

    sequence: int
    first_seen_at: float
    last_sent_at: float = float("-inf")
    next_try_at: float = float("-inf")
    first_refused_at: float = float("inf")
    in_progress: bool = False
    ended_at: float = float("inf")


class OrderSender:
    """Delivers orders while this host leads.

    Attributes:
        term: Term that the other attributes belong to.
        led_since: Start of that term's leadership, in seconds of the monotonic clock.
        deliveries: Deliveries by environment and backend server.
        next_load_at: Earliest time of the next weight load, by environment.
        running_loads: Number of weight loads in progress, by environment.
    """

    def __init__(
        self,
        core: kernel.Kernel,
        consensus: replica.Replica,
        state_machine: state.State,
        feed: feedserver.FeedServer,
    ):
        self.core = core
        self.consensus = consensus
        self.state_machine = state_machine
        self.feed = feed
        self.term = -1
        self.led_since = 0.0
        self.deliveries: dict[str, Delivery] = {}
        self.next_load_at: dict[str, float] = {}
        self.running_loads: dict[str, int] = {}

    async def start(self) -> None:
        """Start delivering orders."""
        await self.core.spawn(self._run(), essential=True)

    async def _run(self) -> None:
        while True:
            await curio.sleep(CHECK_INTERVAL_S)
            if self.consensus.has_lease() and self.state_machine.data.orders:
                self._reset_on_new_term()
                await self._start_due_deliveries()

    def _reset_on_new_term(self) -> None:
        term = self.consensus.store.vote.term
        if term != self.term:
            self.term = term
            self.led_since = self.core.clock.monotonic()
            self.deliveries = {}
            self.next_load_at = {}
            self.running_loads = {}

    async def _start_due_deliveries(self) -> None:
        now = self.core.clock.monotonic()
        targets = self._targets()
        for key, record in list(self.state_machine.data.orders.items()):
            delivery = self.deliveries.get(key)
            if delivery is None or delivery.sequence != record.sequence:
                delivery = self._add_delivery(key, record, now)
            if delivery.in_progress or now < delivery.next_try_at:
                continue
            if record.result and not self._was_overridden(record, delivery, targets.get(key), now):
                continue
            delivery.in_progress = True
            await self.core.spawn(self._run_try(key, record, delivery, targets.get(key)))

    def _add_delivery(self, key: str, record: statedata.OrderRecord, now: float) -> Delivery:
        previous = self.deliveries.get(key)
        delivery = Delivery(record.sequence, now)
        if previous is not None:
            delivery.last_sent_at = previous.last_sent_at
        if record.result:
            delivery.ended_at = now
        self.deliveries[key] = delivery
        return delivery

    def _targets(self) -> dict[str, Target]:
        targets = {}
        for holder in self.feed.lease_holders.values():
            request = holder.request
            report = msgspec.json.decode(request.load or b"{}", type=HostReport)
            for target in report.servers:
                targets[orderstate.order_key(request.environment, target.server)] = target
        return targets

    def _was_overridden(
        self,
        record: statedata.OrderRecord,
        delivery: Delivery,
        target: Target | None,
        now: float,
    ) -> bool:
        # A server that ignores fencing numbers may have taken an older order after this one.
        if (
            target is None
            or record.result != "accepted"
            or now < delivery.ended_at + MAX_REPORT_LAG_S
        ):
            return False
        return 0 < target.last_order < record.sequence

    async def _run_try(
        self,
        key: str,
        record: statedata.OrderRecord,
        delivery: Delivery,
        target: Target | None,
    ) -> None:
        try:
            delivery.next_try_at = self.core.clock.monotonic() + RETRY_INTERVAL_S
            result = await self._try_delivery(key, record, delivery, target)
            if result and record.result != result:
                await self._record_result(key, record, result)
            if result:
                delivery.ended_at = self.core.clock.monotonic()
        except exceptions.EbonywheelError as error:
            self.core.metrics.count("order_errors", code=error.code)
        finally:
            delivery.in_progress = False

    async def _try_delivery(
        self,
        key: str,
        record: statedata.OrderRecord,
        delivery: Delivery,
        target: Target | None,
    ) -> str:
        """Try once; return the result, or an empty string if another try is needed."""
        now = self.core.clock.monotonic()
        if target is None:
            return (
                "not sent: backend server not found"
                if now > delivery.first_seen_at + UNKNOWN_SERVER_TIMEOUT_S
                else ""
            )
        if target.last_order == record.sequence:
            return "accepted"
        environment = key.partition("/")[0]
        engine = orderstate.document_entry(
            self.state_machine.data, environment, f"engines/{target.engine}", documents.Engine
        )
        if engine is None or now < self._earliest_send_at(delivery, engine):
            return ""
        if not registry.plugins.find("order", record.kind).loads_weights:
            return await self._send(key, record, delivery, target, engine)
        if not self._reserve_load(environment):
            return ""
        try:
            return await self._send(key, record, delivery, target, engine)
        finally:
            self.running_loads[environment] = self.running_loads.get(environment, 1) - 1

    def _earliest_send_at(self, delivery: Delivery, engine: documents.Engine) -> float:
        if engine.fencing:
            # An order without an answer may have been taken: wait for a report that shows it.
            return delivery.last_sent_at + MAX_REPORT_LAG_S
        last_possible_send = max(delivery.last_sent_at, self.led_since + LEASE_MARGIN_S)
        return last_possible_send + engine.order_life_s

    def _reserve_load(self, environment: str) -> bool:
        weights = orderstate.document_entry(
            self.state_machine.data, environment, "weights/weights", documents.Weights
        )
        weights = weights or documents.Weights()
        spacing_s = 60.0 / weights.loads_per_minute
        now = self.core.clock.monotonic()
        # The previous leader may have started a load just before this one took over.
        next_at = self.next_load_at.get(environment, self.led_since + spacing_s)
        if now < next_at or self.running_loads.get(environment, 0) >= weights.concurrent:
            return False
        self.next_load_at[environment] = now + spacing_s
        self.running_loads[environment] = self.running_loads.get(environment, 0) + 1
        return True

    async def _send(
        self,
        key: str,
        record: statedata.OrderRecord,
        delivery: Delivery,
        target: Target,
        engine: documents.Engine,
    ) -> str:
        connection = httpclient.ClientConnection(target.address)
        headers = [(engineclient.INCARNATION_HEADER, str(target.incarnation))]
        body = msgspec.json.encode(Order(record.kind, record.argument, record.sequence))
        try:
            await connection.connect(CONNECT_TIMEOUT_S)
            self._require_current(key, record)
            delivery.last_sent_at = self.core.clock.monotonic()
            self.core.metrics.count("orders_sent", kind=record.kind)
            await connection.request("POST", "/orders", headers, body, engine.order_life_s)
            head = await connection.response(engine.order_life_s)
            answer = await connection.body(engine.order_life_s, MAX_ANSWER_BYTES)
        finally:
            await connection.close()
        if head.status == 200:
            delivery.last_sent_at = float("-inf")
            return "accepted"
        if head.status >= 500:
            return ""
        delivery.last_sent_at = float("-inf")
        if head.status == engineclient.STATUS_OTHER_INCARNATION:
            # The server may have restarted, or taken an earlier try: wait for a report to tell.
            now = self.core.clock.monotonic()
            delivery.first_refused_at = min(delivery.first_refused_at, now)
            if now < delivery.first_refused_at + MAX_REPORT_LAG_S:
                return ""
        return f"refused: {_refusal_text(answer, head.status)}"

    def _require_current(self, key: str, record: statedata.OrderRecord) -> None:
        # Nothing may be awaited between this check and the first byte sent.
        self.consensus.require_lease("send order")
        latest = self.state_machine.data.orders.get(key)
        if latest is None or latest.sequence != record.sequence:
            raise exceptions.NotRunError("a later order was issued", "send order", key)

    async def _record_result(self, key: str, record: statedata.OrderRecord, result: str) -> None:
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


def _refusal_text(answer: bytes, status: int) -> str:
    try:
        return msgspec.json.decode(answer, type=http.ErrorBody).text
    except msgspec.MsgspecError:
        return f"backend server answered {status}"
