"""Having callers' requests served by other entry hosts while this one cannot reach the servers.

The control hosts name hosts that can. The other host chooses the server and sends the request to it
as if its caller were connected there; this one passes the answer on. A request is handed to one
host at a time, and to a further one only if that one promises that it has not run.
"""

import random
import secrets

import curio

from ebonywheel import exceptions, http, kernel, link, messages, watcher
from ebonywheel.gateway import balance, inflight, refusals, relayserver, view

# Hosts that are asked for one request.
MAX_HOSTS_ASKED = 3
# The names of the other hosts are asked for again after this time, while they are needed.
REFRESH_S = 1.0
LIST_TIMEOUT_S = 0.5
# The other host answers each message within its wait, two one-way delays and a busy process.
ANSWER_TIMEOUT_S = relayserver.READ_WAIT_S + 0.5
# How long an answer is asked for again over new connections.
LOST_S = 2.0
RETRY_PAUSE_S = 0.05
# Nearby hosts are preferred if there are this many of them to share the work.
MIN_NEARBY_HOSTS = 4
ID_BITS = 63
MS_PER_S = 1000


class RelayRefusedError(exceptions.EbonywheelError):
    """A host promised that a request has not run there, and that others may serve it."""

    code = "relay_refused"


class Relays:
    """Asks other hosts to serve requests.

    Attributes:
        hosts: Hosts that may be asked, as last named.
        listed_at: When they were named, monotonic seconds.
        links: Links to the hosts that were asked, by address.
    """

    def __init__(
        self, core: kernel.Kernel, entry_view: view.EntryView, control_watcher: watcher.Watcher
    ):
        self.core = core
        self.view = entry_view
        self.watcher = control_watcher
        self.hosts: list[messages.RelayHost] = []
        self.listed_at = float("-inf")
        self.list_lock = curio.Lock()
        self.links: dict[str, link.Link] = {}

    async def forward(
        self, exchange: http.ResponseWriter, request: http.Request, context: inflight.RequestContext
    ) -> bool:
        """Have another host serve a request; return whether one has.

        Raises:
            NotRunError: It did not and will not run.
            HttpError: It is unknown whether it ran.
            UpstreamError: The answer broke off after a part of it was passed on.
        """
        await self._refresh()
        for host in self._choose_hosts(context):
            relay = _Relay(self, host, exchange, context)
            try:
                await relay.run(request)
            except RelayRefusedError as error:
                context.reason = str(error)
                self.core.metrics.count("relays", outcome="refused")
                self.core.log.info(
                    "relay_refused",
                    request=context.request.attempt,
                    host=host.host,
                    error=error,
                )
                continue
            self.core.metrics.count("relays", outcome="served")
            return True
        self.core.metrics.count("relays", outcome="none")
        return False

    async def _refresh(self) -> None:
        """Ask the control hosts who can serve; keep the last answer if they do not tell."""
        async with self.list_lock:
            now = self.core.clock.monotonic()
            if now - self.listed_at < REFRESH_S:
                return
            self.listed_at = now
            try:
                reply = await self.watcher.call(messages.RelayHostsRequest(), LIST_TIMEOUT_S)
            except exceptions.LinkError as error:
                self.core.log.warning("relay_hosts_unknown", error=error)
                return
            self.hosts = reply.hosts

    def _choose_hosts(self, context: inflight.RequestContext) -> list[messages.RelayHost]:
        """Return hosts to ask, nearby ones first if there are enough of them."""
        regions = context.regions()
        hosts = [
            (self.view.distance(host.data_centre), random.random(), host)
            for host in self.hosts
            if not regions or self.view.regions.get(host.data_centre, "") in regions
        ]
        hosts.sort(key=lambda entry: entry[:2])
        for reach in (0.0, balance.OTHER_DATA_CENTRE_COST):
            near = [host for distance, _, host in hosts if distance <= reach]
            if len(near) >= MIN_NEARBY_HOSTS:
                return near[:MAX_HOSTS_ASKED]
        return random.sample([entry[2] for entry in hosts], min(MAX_HOSTS_ASKED, len(hosts)))

    def link_to(self, host: messages.RelayHost) -> link.Link:
        """Return the link to a host."""
        found = self.links.get(host.link)
        if found is None:
            found = self.links[host.link] = link.Link(self.core, f"entry:{host.link}", host.link)
        return found


class _Relay:
    """One request at another host.

    Attributes:
        position: Bytes of the answer's body that have arrived.
        begun: True once the request may have arrived there.
    """

    __slots__ = (
        "core",
        "link",
        "host",
        "exchange",
        "context",
        "routing_index",
        "id",
        "position",
        "begun",
    )

    def __init__(
        self,
        owner: Relays,
        host: messages.RelayHost,
        exchange: http.ResponseWriter,
        context: inflight.RequestContext,
    ):
        self.core = owner.core
        self.link = owner.link_to(host)
        self.host = host
        self.exchange = exchange
        self.context = context
        self.routing_index = owner.view.routing_index
        self.id = secrets.randbits(ID_BITS)
        self.position = 0
        self.begun = False

    async def run(self, request: http.Request) -> None:
        """Have the request served and pass the answer on; raises like `Relays.forward`.

        Raises:
            RelayRefusedError: Another host may be asked.
        """
        self.context.relayed_by = self.host.host
        try:
            reply = await self._begin(request)
            while not await self._pass_on(reply):
                reply = await self._read()
        finally:
            if self.begun:
                await self.core.spawn(self._end())

    async def _begin(self, request: http.Request) -> messages.RelayReply:
        """Send the request, once; ask for the answer if the reply to that is lost."""
        now = self.core.clock.monotonic()
        message = messages.RelayRequest(
            self.id,
            request.method,
            request.path,
            request.raw_query,
            [messages.HeaderField(*field) for field in request.fields],
            request.body,
            int((now - self.context.started_at) * MS_PER_S),
            self.context.sent_to,
            self.routing_index,
            request.target,
        )
        self.begun = True
        try:
            return await self.link.call(message, ANSWER_TIMEOUT_S)
        except exceptions.LinkError as error:
            if error.step in ("connect", "handshake"):
                self.begun = False
                raise RelayRefusedError(error.text, error.step, self.host.host) from error
        return await self._read()

    async def _read(self) -> messages.RelayReply:
        """Read the next part, over new connections if need be.

        Raises:
            UpstreamError: The other host is lost, or has lost the request.
        """
        lost_at = self.core.clock.monotonic() + LOST_S
        while True:
            try:
                message = messages.RelayRead(self.id, self.position)
                return await self.link.call(message, ANSWER_TIMEOUT_S)
            except exceptions.LinkError as error:
                forgotten = isinstance(error, exceptions.RemoteError)
                if forgotten or self.core.clock.monotonic() >= lost_at:
                    raise exceptions.UpstreamError(
                        f"relay lost: {error.text}", "relay", self.host.host, sent=True
                    ) from error
            await curio.sleep(RETRY_PAUSE_S)

    async def _pass_on(self, reply: messages.RelayReply) -> bool:
        """Pass a part of the answer on; return whether the answer is whole now."""
        if reply.failure:
            self._raise_failure(reply)
        if reply.status and not self.exchange.started:
            self.context.status = reply.status
            headers = [(field.name, field.value) for field in reply.headers]
            if reply.ended:
                if all(name != "content-length" for name, _ in headers):
                    method = self.context.request.method
                    headers += http.length_fields(method, reply.status, reply.data, None)
                await self.exchange.respond_raw(reply.status, headers, reply.data)
                return True
            await self.exchange.start(reply.status, headers)
        if reply.data:
            self.position += len(reply.data)
            self.context.record_events(self.core.clock.monotonic())
            await self.exchange.write(reply.data)
        if reply.ended:
            await self.exchange.end()
        return reply.ended

    def _raise_failure(self, reply: messages.RelayReply) -> None:
        text = f"{reply.text} at {self.host.host}"
        retry_after_s = reply.retry_after_ms / MS_PER_S or None
        self.context.reason = text
        match reply.failure:
            case relayserver.ELSEWHERE:
                raise RelayRefusedError(text, "relay", self.host.host)
            case relayserver.NOT_RUN if not self.context.may_have_run:
                raise refusals.not_run_error(self.context, retry_after_s)
            case relayserver.BROKEN:
                raise exceptions.UpstreamError(text, "relay", self.host.host, sent=True)
        raise refusals.outcome_unknown_error(self.context)

    async def _end(self) -> None:
        try:
            await self.link.call(messages.RelayEnd(self.id), ANSWER_TIMEOUT_S)
        except exceptions.LinkError as error:
            # The other host ends by itself when it is not asked for more.
            self.core.log.info("relay_end_lost", host=self.host.host, error=error)
