"""Model of a model engine: continuous batching over a limited block memory.

One step decodes a token for each running sequence. A step takes longer with a larger batch and
with prompts to prefill. When the memory fills in mid-decode, the sequence of lowest priority that
came last is preempted: its blocks are freed and it is prefilled again later.

A step costs only what changes in it: sequences are looked at when they need a block or end, and
sums are kept up to date.
"""

import bisect
import collections

import msgspec


class ModelSettings(msgspec.Struct):
    """Size and speed of an engine.

    Attributes:
        total_blocks: Blocks of memory.
        block_tokens: Tokens that a block holds.
        step_s: Time of a step with an empty batch.
        step_per_sequence_s: Further time for each running sequence.
        prefill_per_token_s: Further time for each token to prefill.
        max_batch: Most sequences in one step.
        max_prefill_tokens: Tokens to prefill in one step after which no further sequence joins.
        cold_bearable: Requests that a cold engine survives.
        warm_after: Finished requests after which it is warm.
    """

    total_blocks: int = 512
    block_tokens: int = 16
    step_s: float = 0.01
    step_per_sequence_s: float = 0.0002
    prefill_per_token_s: float = 0.00002
    max_batch: int = 64
    max_prefill_tokens: int = 2048
    cold_bearable: int = 4
    warm_after: int = 4


class Sequence:
    """One generation in the engine.

    Attributes:
        length: Tokens after which it ends.
        prefix_tokens: Tokens of the prompt that others with the same prefix share.
        order: Number in the order of arrival.
        blocks: Blocks held.
        due: Step in which it next needs a block or ends; 0 while it does not run.
    """

    __slots__ = (
        "model",
        "name",
        "prompt_tokens",
        "length",
        "priority",
        "prefix",
        "prefix_tokens",
        "order",
        "blocks",
        "due",
        "generated",
        "joined",
    )

    def __init__(
        self,
        model: "EngineModel",
        name: str,
        prompt_tokens: int,
        length: int,
        priority: int,
        prefix: str,
        prefix_tokens: int,
    ):
        self.model = model
        self.name = name
        self.prompt_tokens = prompt_tokens
        self.length = max(1, length)
        self.priority = priority
        self.prefix = prefix
        self.prefix_tokens = min(prefix_tokens, prompt_tokens - 1)
        self.order = 0
        self.blocks = 0
        self.due = 0
        self.generated = 0
        self.joined = 0

    @property
    def tokens(self) -> int:
        """Tokens generated so far."""
        if self.due:
            return self.generated + self.model.steps - self.joined
        return self.generated


class Step(msgspec.Struct):
    """What happened in one step.

    Attributes:
        duration_s: How long it took.
        batch: Sequences that got a token.
        joined: Those that were not in the step before.
        finished: Those that got their last token.
        preempted: Sequences that lost their memory.
    """

    duration_s: float
    batch: int
    joined: list[Sequence]
    finished: list[Sequence]
    preempted: list[Sequence]


class PrefixEvent(msgspec.Struct):
    """A prefix entered or left the cache."""

    prefix: str
    present: bool


class Overloaded(Exception):
    """A cold engine was given more than it can bear."""


class EngineModel:
    """State of one engine.

    Attributes:
        running: Sequences in the batch, by order.
        waiting: Sequences waiting for memory, first to go first.
        cache: Blocks of each cached prefix, least recently used first.
        cache_events: Changes of the cache not yet taken away by the owner.
        steps: Steps so far.
        used: Blocks held by running sequences.
        preemptions: Sequences preempted so far.
        finished: Sequences finished so far.
    """

    def __init__(self, settings: ModelSettings):
        self.settings = settings
        self.running: dict[int, Sequence] = {}
        self.waiting: list[Sequence] = []
        self.cache: collections.OrderedDict[str, int] = collections.OrderedDict()
        self.cache_events: list[PrefixEvent] = []
        self.cached_blocks = 0
        self.due: dict[int, list[Sequence]] = {}
        self.steps = 0
        self.used = 0
        self.preemptions = 0
        self.finished = 0
        self.order = 0
        self.cold_from = 0

    def cold(self) -> bool:
        """Return whether the engine can bear only a little."""
        return self.finished - self.cold_from < self.settings.warm_after

    def chill(self) -> None:
        """Turn cold again."""
        self.cold_from = self.finished
        self._evict_for(self.settings.total_blocks)

    def add(
        self,
        name: str,
        prompt_tokens: int,
        length: int,
        priority: int,
        prefix: str,
        prefix_tokens: int = 0,
    ) -> Sequence:
        """Take a new sequence.

        Raises:
            Overloaded: The engine is cold and falls over.
        """
        if self.cold() and self.load() + 1 > self.settings.cold_bearable:
            raise Overloaded(name)
        sequence = Sequence(self, name, prompt_tokens, length, priority, prefix, prefix_tokens)
        self.order += 1
        sequence.order = self.order
        self._queue(sequence)
        return sequence

    def cancel(self, sequence: Sequence) -> None:
        """Drop a sequence."""
        if sequence.due:
            self._stop(sequence)
        elif sequence in self.waiting:
            self.waiting.remove(sequence)

    def load(self) -> int:
        """Return the sequences in the engine."""
        return len(self.running) + len(self.waiting)

    def used_blocks(self) -> int:
        """Return the blocks held by running sequences."""
        return self.used

    def step(self) -> Step:
        """Run one step."""
        joined, prefill = self._admit()
        ending, preempted = self._grow()
        self.steps += 1
        batch = len(self.running)
        duration = (
            self.settings.step_s
            + self.settings.step_per_sequence_s * batch
            + self.settings.prefill_per_token_s * prefill
        )
        finished = [sequence for sequence in ending if sequence.due]
        for sequence in finished:
            self._stop(sequence)
        self.finished += len(finished)
        return Step(duration, batch, joined, finished, preempted)

    def take_cache_events(self) -> list[PrefixEvent]:
        """Return and forget the changes of the cache since the last call."""
        events, self.cache_events = self.cache_events, []
        return events

    def _queue(self, sequence: Sequence) -> None:
        bisect.insort(self.waiting, sequence, key=lambda held: (-held.priority, held.order))

    def _admit(self) -> tuple[list[Sequence], int]:
        joined: list[Sequence] = []
        prefill = 0
        while self.waiting and len(self.running) < self.settings.max_batch:
            sequence = self.waiting[0]
            need = self._blocks_for(sequence.prompt_tokens + sequence.generated + 1)
            if self.used + need > self.settings.total_blocks and self.running:
                break
            if prefill >= self.settings.max_prefill_tokens:
                break
            self.waiting.pop(0)
            prefill += self._prefill(sequence)
            self._start(sequence, need)
            joined.append(sequence)
        return joined, prefill

    def _start(self, sequence: Sequence, blocks: int) -> None:
        sequence.blocks = blocks
        sequence.joined = self.steps
        self.used += blocks
        self.running[sequence.order] = sequence
        self._schedule(sequence, sequence.generated)
        self._evict_for(0)

    def _stop(self, sequence: Sequence) -> None:
        sequence.generated = sequence.tokens
        sequence.due = 0
        del self.running[sequence.order]
        self.used -= sequence.blocks
        sequence.blocks = 0

    def _schedule(self, sequence: Sequence, tokens: int) -> None:
        room = sequence.blocks * self.settings.block_tokens - sequence.prompt_tokens
        ahead = min(sequence.length, room + 1) - tokens
        sequence.due = self.steps + max(1, ahead)
        self.due.setdefault(sequence.due, []).append(sequence)

    def _prefill(self, sequence: Sequence) -> int:
        total = sequence.prompt_tokens + sequence.generated
        if not sequence.prefix:
            return total
        if sequence.prefix in self.cache:
            self.cache.move_to_end(sequence.prefix)
            return max(1, total - sequence.prefix_tokens)
        blocks = self._blocks_for(sequence.prefix_tokens)
        self.cache[sequence.prefix] = blocks
        self.cached_blocks += blocks
        self.cache_events.append(PrefixEvent(sequence.prefix, True))
        return total

    def _grow(self) -> tuple[list[Sequence], list[Sequence]]:
        """Give the sequences of this step the blocks they need.

        Returns:
            The sequences that end in this step, and those that were preempted for others.
        """
        number = self.steps + 1
        ending: list[Sequence] = []
        preempted: list[Sequence] = []
        for sequence in self.due.pop(number, ()):
            if sequence.due != number:
                continue
            need = self._blocks_for(sequence.prompt_tokens + sequence.tokens + 1)
            if need > sequence.blocks and not self._extend(sequence, need, preempted):
                continue
            if sequence.tokens + 1 >= sequence.length:
                ending.append(sequence)
            else:
                self._schedule(sequence, sequence.tokens)
        return ending, preempted

    def _extend(self, sequence: Sequence, need: int, preempted: list[Sequence]) -> bool:
        more = need - sequence.blocks
        while self.used + more > self.settings.total_blocks and len(self.running) > 1:
            victim = min(self.running.values(), key=lambda held: (held.priority, -held.order))
            self._stop(victim)
            self._queue(victim)
            self.preemptions += 1
            preempted.append(victim)
            if victim is sequence:
                return False
        sequence.blocks = need
        self.used += more
        self._evict_for(0)
        return True

    def _evict_for(self, blocks: int) -> None:
        """Evict prefixes until the cache leaves the memory in use and some blocks free."""
        room = self.settings.total_blocks - self.used - blocks
        while self.cache and self.cached_blocks > room:
            prefix, held = self.cache.popitem(last=False)
            self.cached_blocks -= held
            self.cache_events.append(PrefixEvent(prefix, False))

    def _blocks_for(self, tokens: int) -> int:
        return -(-tokens // self.settings.block_tokens)
