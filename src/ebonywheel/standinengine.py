"""Stand-in for a model engine: serves a simulated engine over the HTTP interface of engines."""

import hashlib
import os

import curio
import msgspec

from ebonywheel import (
    engineclient,
    enginemodel,
    exceptions,
    http,
    httpserver,
    kernel,
    messages,
    sse,
    standin,
)

KEEP_ALIVE_INTERVAL_S = 0.5
DETACHED_RETENTION_S = 30.0
FINISHED_RETENTION_S = 30.0
MAX_CANCELLED_NAMES = 10_000
SLOW_STEP_FACTOR = 5.0
IDLE_POLL_INTERVAL_S = 0.005
DEFAULT_LENGTH_TOKENS = 32
BYTES_PER_TOKEN = 4
PREFIX_BYTES = 256
EXIT_CRASHED = 70
POISON_TEXT = "poison"


class Generation:
    """A generation and the connection that reads it.

    Attributes:
        sequence: The sequence in the simulated engine.
        current_reader: Number of the latest reader; a new reader ends the stream of the one before.
        attached: Whether a reader is connected.
        detached_at: When the last reader disconnected, on the monotonic clock; 0 before that.
        changed: Notified when there are new tokens, a new reader or a cancellation.
    """

    def __init__(self, sequence: enginemodel.Sequence):
        self.sequence = sequence
        self.current_reader = 0
        self.attached = False
        self.detached_at = 0.0
        self.changed = curio.Condition()

    def done(self) -> bool:
        """Return whether all tokens are generated."""
        return self.sequence.tokens >= self.sequence.length


class StandInEngine(standin.Announcer):
    """Serves a simulated engine.

    Attributes:
        model: The simulated engine.
        fencing: Whether it refuses an order with an old fencing number.
        generations: Generations by name.
        last_step_s: Duration of the last step.
        last_cache_event_number: Sequence number of the last cache event taken.
        slow_while_cold: Whether steps take `SLOW_STEP_FACTOR` times as long until the engine is
            warm again; set by ``POST /chill``.
        cancelled_names: Names of cancelled generations, oldest first. A start request that arrives
            after the cancellation is refused.
    """

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
        self.last_step_s = 0.0
        self.last_cache_event_number = 0
        self.slow_while_cold = False
        self.cancelled_names: dict[str, None] = {}

    async def start(self) -> None:
        """Start the simulation, the HTTP server and the announcements."""
        self.core.metrics.gauge("preemptions", lambda: self.model.preemptions)
        await self.core.spawn(self._run_steps(), essential=True)
        await httpserver.Server(
            self.core, self.settings.address, self.handle, standin.MAX_BODY_BYTES
        ).start()
        await super().start()

    def load(self) -> messages.ServerLoad:
        """Return the current load."""
        return messages.ServerLoad(
            self.settings.name,
            self.state.incarnation,
            len(self.model.running),
            len(self.model.waiting),
            self.model.used_blocks(),
            int(self.last_step_s * 1e6),
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
            await self.handle_order(exchange, self.fencing)
        elif path == "/chill" and request.method == "POST":
            self.model.make_cold()
            self.slow_while_cold = True
            await exchange.respond(200)
        elif path == "/incarnation":
            await exchange.respond_json(200, self.state)
        else:
            raise exceptions.HttpError(f"no {request.method} {path}", "route", status=404)

    async def _generate(self, exchange: http.Exchange) -> None:
        body = exchange.request.decode(engineclient.GenerateRequest)
        if body.generation in self.cancelled_names:
            raise exceptions.HttpError("generation was cancelled", "generate", body.generation, 404)
        generation = self.generations.get(body.generation)
        if generation is None:
            self.core.metrics.count("generations_started")
            generation = Generation(self._add_sequence(body))
            self.generations[body.generation] = generation
        await self._stream(exchange, generation, 0)

    def _add_sequence(self, body: engineclient.GenerateRequest) -> enginemodel.Sequence:
        if POISON_TEXT in body.prompt:
            self._crash("poison")
        prompt_tokens = max(1, len(body.prompt.encode()) // BYTES_PER_TOKEN)
        length = min(body.length or DEFAULT_LENGTH_TOKENS, body.max_tokens)
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
            self._crash("overloaded")

    def _crash(self, cause: str) -> None:
        self.core.log.error("fell_over", server=self.settings.name, why=cause)
        os._exit(EXIT_CRASHED)

    async def _resume(self, exchange: http.Exchange) -> None:
        name = exchange.request.path.removeprefix("/generate/")
        generation = self.generations.get(name)
        if generation is None:
            raise exceptions.HttpError("no such generation", "resume", name, 404)
        await self._stream(exchange, generation, int(exchange.request.query.get("from", "0")))

    async def _cancel(self, exchange: http.Exchange) -> None:
        name = exchange.request.path.removeprefix("/generate/")
        generation = self.generations.pop(name, None)
        self.cancelled_names[name] = None
        if len(self.cancelled_names) > MAX_CANCELLED_NAMES:
            del self.cancelled_names[next(iter(self.cancelled_names))]
        if generation is not None:
            self.model.cancel(generation.sequence)
            generation.current_reader += 1
            async with generation.changed:
                await generation.changed.notify_all()
        await exchange.respond(200)

    async def _stream(self, exchange: http.Exchange, generation: Generation, index: int) -> None:
        generation.current_reader += 1
        reader = generation.current_reader
        async with generation.changed:
            await generation.changed.notify_all()
        generation.attached = True
        headers = [(engineclient.GENERATION_HEADER, generation.sequence.name)]
        await exchange.start_stream(http.EVENT_STREAM, headers)
        try:
            await self._send_tokens(exchange, generation, reader, index)
            await exchange.end()
        finally:
            if generation.current_reader == reader:
                generation.attached = False
                generation.detached_at = self.core.clock.monotonic()

    async def _send_tokens(
        self, exchange: http.Exchange, generation: Generation, reader: int, index: int
    ) -> None:
        while generation.current_reader == reader:
            generated = generation.sequence.tokens
            if index < generated:
                events = [_token_event(position) for position in range(index, generated)]
                index = generated
                await exchange.write(b"".join(events))
            elif generation.done():
                end = msgspec.json.encode(engineclient.End(generated))
                await exchange.write(sse.encode("", end, "end"))
                return
            else:
                await self._wait_for_tokens(exchange, generation, reader, index)
        await exchange.write(sse.encode("", b"{}", "replaced"))

    async def _wait_for_tokens(
        self, exchange: http.Exchange, generation: Generation, reader: int, index: int
    ) -> None:
        try:
            async with curio.timeout_after(KEEP_ALIVE_INTERVAL_S):
                async with generation.changed:
                    while (
                        generation.sequence.tokens <= index and generation.current_reader == reader
                    ):
                        await generation.changed.wait()
        except curio.TaskTimeout:
            await exchange.write(b": keep-alive\n\n")

    async def _run_steps(self) -> None:
        while True:
            if not self.model.sequence_count():
                await curio.sleep(IDLE_POLL_INTERVAL_S)
                self._drop_expired_generations()
                continue
            step = self.model.step()
            self.last_step_s = step.duration_s
            self.slow_while_cold = self.slow_while_cold and self.model.cold()
            if self.slow_while_cold:
                self.last_step_s *= SLOW_STEP_FACTOR
            await curio.sleep(self.last_step_s)
            for sequence in [*self.model.running.values(), *step.finished]:
                generation = self.generations.get(sequence.name)
                if generation is not None:
                    async with generation.changed:
                        await generation.changed.notify_all()
            self._drop_expired_generations()

    def take_cache_events(self) -> list[messages.CacheEvent]:
        """Return the changes of the prefix cache since the last call."""
        events = []
        for event in self.model.take_cache_events():
            self.last_cache_event_number += 1
            events.append(
                messages.CacheEvent(event.prefix, event.present, self.last_cache_event_number)
            )
        return events

    def _drop_expired_generations(self) -> None:
        now = self.core.clock.monotonic()
        for name, generation in list(self.generations.items()):
            if generation.attached or not generation.detached_at:
                continue
            retention_s = FINISHED_RETENTION_S if generation.done() else DETACHED_RETENTION_S
            if now > generation.detached_at + retention_s:
                self.model.cancel(generation.sequence)
                del self.generations[name]


def _token_event(index: int) -> bytes:
    return sse.encode(str(index), msgspec.json.encode(engineclient.Token(index, f"t{index} ")))
