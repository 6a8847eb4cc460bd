"""Stand-in for a plain service that books slots and counts how often each slot was booked."""

import collections
import os

import curio
import msgspec

from ebonywheel import exceptions, http, httpserver, kernel, messages, standin

POISON_TEXT = "poison"
EXIT_CRASHED = 70


class Booking(msgspec.Struct):
    """Body of a booking request.

    Attributes:
        slot: Name of the slot; one that contains `POISON_TEXT` crashes the process.
        delay_s: Delay before the answer.
    """

    slot: str
    delay_s: float = 0.0


class Booked(msgspec.Struct):
    """Answer to a booking.

    Attributes:
        slot: Name of the slot.
        server: Name of the server that booked it.
        run: How often this server has booked the slot, this time included.
    """

    slot: str
    server: str
    run: int


class StandInPlain(standin.Announcer):
    """Serves a plain service that books slots.

    Attributes:
        runs_by_slot: How often each slot was booked.
        running_count: Number of bookings in progress.
    """

    def __init__(self, core: kernel.Kernel, settings: standin.StandInSettings):
        super().__init__(core, settings)
        self.runs_by_slot: collections.Counter[str] = collections.Counter()
        self.running_count = 0

    async def start(self) -> None:
        """Start the HTTP server and the announcements."""
        address = self.settings.address
        await httpserver.Server(self.core, address, self.handle, standin.MAX_BODY_BYTES).start()
        await super().start()

    def load(self) -> messages.ServerLoad:
        """Return the current load."""
        return messages.ServerLoad(self.settings.name, self.state.incarnation, self.running_count)

    async def handle(self, exchange: http.Exchange) -> None:
        """Handle one request."""
        request = exchange.request
        if request.path == "/runs":
            await exchange.respond_json(200, dict(self.runs_by_slot))
            return
        if request.headers.get(standin.INCARNATION_HEADER, self._incarnation()) != (
            self._incarnation()
        ):
            # Its own incarnation in a 409 tells the caller that the request was not run.
            headers = [(standin.INCARNATION_HEADER, self._incarnation())]
            await exchange.respond(409, b"{}", headers=headers)
        elif request.path == "/orders" and request.method == "POST":
            await self.handle_order(exchange, fencing=False)
        elif request.method == "POST":
            await self._book(exchange)
        elif request.method == "GET":
            await exchange.respond_json(200, {"server": self.settings.name})
        else:
            raise exceptions.HttpError(f"no {request.method} {request.path}", "route", status=404)

    def _incarnation(self) -> str:
        return str(self.state.incarnation)

    async def _book(self, exchange: http.Exchange) -> None:
        booking = exchange.request.decode(Booking)
        if POISON_TEXT in booking.slot:
            self.core.log.error("fell_over", server=self.settings.name, why="poison")
            os._exit(EXIT_CRASHED)
        self.runs_by_slot[booking.slot] += 1
        run = self.runs_by_slot[booking.slot]
        # Tests count the runs of a killed process from its output. This is not a log line, because
        # log lines may be dropped.
        print(f"booked slot={booking.slot}", flush=True)
        self.running_count += 1
        try:
            await curio.sleep(booking.delay_s)
        finally:
            self.running_count -= 1
        await exchange.respond_json(200, Booked(booking.slot, self.settings.name, run))
