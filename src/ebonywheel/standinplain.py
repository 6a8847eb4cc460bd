"""Stand-in for a plain service that books slots and counts how often each booking ran."""

import collections
import os

import curio
import msgspec

from ebonywheel import exceptions, http, kernel, messages, standin

POISON_TEXT = "poison"
EXIT_FELL_OVER = 70


class Booking(msgspec.Struct):
    """Body of a booking: what is booked, how long it takes, and what shall go wrong.

    Attributes:
        slot: Name of the slot.
        delay_s: Time before the answer.
    """

    slot: str
    delay_s: float = 0.0


class Booked(msgspec.Struct):
    """Answer to a booking."""

    slot: str
    server: str
    run: int


class StandInPlain(standin.Announcer):
    """A plain service process.

    Attributes:
        runs: How often each slot was booked.
    """

    def __init__(self, core: kernel.Kernel, settings: standin.StandInSettings):
        super().__init__(core, settings)
        self.runs: collections.Counter[str] = collections.Counter()
        self.busy = 0

    async def start(self) -> None:
        """Start serving and announcing."""
        address = self.settings.address
        await http.Server(self.core, address, self.handle, standin.MAX_BODY_BYTES).start()
        await super().start()

    def load(self) -> messages.ServerLoad:
        """Return the load now."""
        return messages.ServerLoad(self.settings.name, self.state.incarnation, self.busy)

    async def handle(self, exchange: http.Exchange) -> None:
        """Handle one request."""
        request = exchange.request
        if request.path == "/runs":
            await exchange.respond_json(200, dict(self.runs))
            return
        if request.headers.get(standin.INCARNATION_HEADER, self._incarnation()) != (
            self._incarnation()
        ):
            # Naming its own incarnation says that this server did nothing.
            headers = [(standin.INCARNATION_HEADER, self._incarnation())]
            await exchange.respond(409, b"{}", headers=headers)
        elif request.path == "/orders" and request.method == "POST":
            await self.order(exchange, fencing=False)
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
            os._exit(EXIT_FELL_OVER)
        self.runs[booking.slot] += 1
        run = self.runs[booking.slot]
        # Kept in the process's output, so that runs can still be counted after it was killed.
        # Not a log line: none of them may be left out.
        print(f"booked slot={booking.slot}", flush=True)
        self.busy += 1
        try:
            await curio.sleep(booking.delay_s)
        finally:
            self.busy -= 1
        await exchange.respond_json(200, Booked(booking.slot, self.settings.name, run))
