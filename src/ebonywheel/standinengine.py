"""Stand-in for a model engine: the engine model behind the engines' HTTP interface."""

import hashlib
import os

import curio
import msgspec

from ebonywheel import (
    engineclient,
    enginemodel,
    exceptions,
    http,
    kernel,
    messages,
    sse,
    standin,
)

KEEP_ALIVE_S = 0.5
DETACHED_KEPT_S = 30.0
FINISHED_KEPT_S = 30.0
CANCELLED_KEPT = 10_000
CHILLED_STEP_FACTOR = 5.0
IDLE_S = 0.005
DEFAULT_LENGTH = 32
BYTES_PER_TOKEN = 4
PREFIX_BYTES = 256
EXIT_FELL_OVER = 70
POISON_TEXT = "poison"


class Generation:
    """A generation with its readers.

    Attributes:
        reader: Number of the reader that may read; a later one takes over.
    """

    def __init__(self, sequence: enginemodel.Sequence):
        self.sequence = sequence
        self.reader = 0
        self.attached = False
        self.detached_at = 0.0
        self.changed = curio.Condition()

    def done(self) -> bool:
        """Return whether all tokens are generated."""
        return self.sequence.tokens >= self.sequence.length


class StandInEngine(standin.Announcer):
    """An engine process."""

    def __init__(
        self,
        core: kernel.Kernel,
        settings: standin.StandInSettings,
        model: enginemodel.ModelSettings,
        fencing: bool = True,
    ):
        super().__init__(core, settings, model.total_blocks)
        self.model = enginemodel.EngineModel(model)
        self.state.block_tokens = model.block_tokens
        self.fencing = fencing
        self.generations: dict[str, Generation] = {}
        self.step_s = 0.0
        self.cache_sequence = 0
        self.chilled = False
        # Names of cancelled generations, oldest first: none of them may start later.
        self.cancelled: dict[str, None] = {}

    async def start(self) -> None:
        """Start stepping, serving and announcing."""
        self.core.metrics.gauge("preemptions", lambda: self.model.preemptions)
        await self.core.spawn(self._run_steps(), essential=True)
        await http.Server(
            self.core, self.settings.address, self.handle, standin.MAX_BODY_BYTES
        ).start()
        await super().start()

    def load(self) -> messages.ServerLoad:
        """Return the load now."""
        return messages.ServerLoad(
            self.settings.name,
            self.state.incarnation,
            len(self.model.running),
            len(self.model.waiting),
            self.model.used_blocks(),
            int(self.step_s * 1e6),
            self.model.preemptions,
        )

    async def handle(self, exchange: http.Exchange) -> None:
        """Handle one request."""
        request = exchange.request
        path = request.path
        if path == "/metrics":
            await exchange.respond(200, self.core.metrics.render().encode(), "text/plain")
            return
        self.check_incarnation(request)
        if path == "/generate" and request.method == "POST":
            await self._generate(exchange)
        elif path.startswith("/generate/") and request.method == "GET":
            await self._resume(exchange)
        elif path.startswith("/generate/") and request.method == "DELETE":
            await self._cancel(exchange)
        elif path == "/orders" and request.method == "POST":
            await self.order(exchange, self.fencing)
        elif path == "/chill" and request.method == "POST":
            self.model.chill()
            self.chilled = True
            await exchange.respond(200)
        elif path == "/incarnation":
            await exchange.respond_json(200, self.state)
        else:
            raise exceptions.HttpError(f"no {request.method} {path}", "route", status=404)

    async def _generate(self, exchange: http.Exchange) -> None:
        body = exchange.request.decode(engineclient.GenerateRequest)
        if body.generation in self.cancelled:
            raise exceptions.HttpError("cancelled before", "generate", body.generation, 404)
        generation = self.generations.get(body.generation)
        if generation is None:
            self.core.metrics.count("generations_started")
            generation = Generation(self._add(body))
            self.generations[body.generation] = generation
        await self._stream(exchange, generation, 0)

    def _add(self, body: engineclient.GenerateRequest) -> enginemodel.Sequence:
        if POISON_TEXT in body.prompt:
            self._fall_over("poison")
        prompt_tokens = max(1, len(body.prompt.encode()) // BYTES_PER_TOKEN)
        length = min(body.length or DEFAULT_LENGTH, body.max_tokens)
        prefix = body.prompt.encode()[:PREFIX_BYTES]
        try:
            return self.model.add(
                body.generation,
                prompt_tokens,
                length,
                body.priority,
                hashlib.blake2b(prefix, digest_size=8).hexdigest(),
                len(prefix) // BYTES_PER_TOKEN,
            )
        except enginemodel.Overloaded:
            self._fall_over("overloaded")

    def _fall_over(self, why: str) -> None:
        self.core.log.error("fell_over", server=self.settings.name, why=why)
        os._exit(EXIT_FELL_OVER)

    async def _resume(self, exchange: http.Exchange) -> None:
        name = exchange.request.path.removeprefix("/generate/")
        generation = self.generations.get(name)
        if generation is None:
            raise exceptions.HttpError("no such generation", "resume", name, 404)
        await self._stream(exchange, generation, int(exchange.request.query.get("from", "0")))

    async def _cancel(self, exchange: http.Exchange) -> None:
        name = exchange.request.path.removeprefix("/generate/")
        generation = self.generations.pop(name, None)
        self.cancelled[name] = None
        if len(self.cancelled) > CANCELLED_KEPT:
            del self.cancelled[next(iter(self.cancelled))]
        if generation is not None:
            self.model.cancel(generation.sequence)
            generation.reader += 1
            async with generation.changed:
                await generation.changed.notify_all()
        await exchange.respond(200)

    async def _stream(self, exchange: http.Exchange, generation: Generation, index: int) -> None:
        generation.reader += 1
        reader = generation.reader
        async with generation.changed:
            await generation.changed.notify_all()
        generation.attached = True
        headers = [(engineclient.GENERATION_HEADER, generation.sequence.name)]
        await exchange.start_stream(http.EVENT_STREAM, headers)
        try:
            await self._send_tokens(exchange, generation, reader, index)
            await exchange.end()
        finally:
            if generation.reader == reader:
                generation.attached = False
                generation.detached_at = self.core.clock.monotonic()

    async def _send_tokens(
        self, exchange: http.Exchange, generation: Generation, reader: int, index: int
    ) -> None:
        while generation.reader == reader:
            have = generation.sequence.tokens
            if index < have:
                events = [_token(number) for number in range(index, have)]
                index = have
                await exchange.write(b"".join(events))
            elif generation.done():
                end = msgspec.json.encode(engineclient.End(have))
                await exchange.write(sse.encode("", end, "end"))
                return
            else:
                await self._wait(exchange, generation, reader, index)
        await exchange.write(sse.encode("", b"{}", "replaced"))

    async def _wait(
        self, exchange: http.Exchange, generation: Generation, reader: int, index: int
    ) -> None:
        try:
            async with curio.timeout_after(KEEP_ALIVE_S):
                async with generation.changed:
                    while generation.sequence.tokens <= index and generation.reader == reader:
                        await generation.changed.wait()
        except curio.TaskTimeout:
            await exchange.write(b": keep-alive\n\n")

    async def _run_steps(self) -> None:
        while True:
            if not self.model.load():
                await curio.sleep(IDLE_S)
                self._forget()
                continue
            step = self.model.step()
            self.step_s = step.duration_s
            self.chilled = self.chilled and self.model.cold()
            if self.chilled:
                self.step_s *= CHILLED_STEP_FACTOR
            await curio.sleep(self.step_s)
            for sequence in [*self.model.running.values(), *step.finished]:
                generation = self.generations.get(sequence.name)
                if generation is not None:
                    async with generation.changed:
                        await generation.changed.notify_all()
            self._forget()

    def cache_events(self) -> list[messages.CacheEvent]:
        """Return the changes of the prefix cache since the last announcement."""
        events = []
        for event in self.model.take_cache_events():
            self.cache_sequence += 1
            events.append(messages.CacheEvent(event.prefix, event.present, self.cache_sequence))
        return events

    def _forget(self) -> None:
        now = self.core.clock.monotonic()
        for name, generation in list(self.generations.items()):
            if generation.attached or not generation.detached_at:
                continue
            kept = FINISHED_KEPT_S if generation.done() else DETACHED_KEPT_S
            if now > generation.detached_at + kept:
                self.model.cancel(generation.sequence)
                del self.generations[name]


def _token(index: int) -> bytes:
    return sse.encode(str(index), msgspec.json.encode(engineclient.Token(index, f"t{index} ")))
