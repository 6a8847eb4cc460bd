"""Model of a model engine: continuous batching over a limited block memory.

One step decodes a token for each running sequence. A step takes longer with a larger batch and
with prompts to prefill. When the memory fills in mid-decode, the sequence of lowest priority that
came last is preempted: its blocks are freed and it is prefilled again later.
"""

import collections
import math

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
        cold_bearable: Requests that a cold engine survives.
        warm_after: Finished requests after which it is warm.
    """

    total_blocks: int = 512
    block_tokens: int = 16
    step_s: float = 0.01
    step_per_sequence_s: float = 0.0002
    prefill_per_token_s: float = 0.00002
    max_batch: int = 64
    cold_bearable: int = 4
    warm_after: int = 4


class Sequence(msgspec.Struct):
    """One generation in the engine.

    Attributes:
        tokens: Tokens generated so far.
        length: Tokens after which it ends.
        prefill: Tokens to prefill before the next one is generated.
        blocks: Blocks held.
    """

    name: str
    prompt_tokens: int
    length: int
    priority: int
    prefix: str
    order: int
    tokens: int = 0
    prefill: int = 0
    blocks: int = 0


class Overloaded(Exception):
    """A cold engine was given more than it can bear."""


class EngineModel:
    """State of one engine.

    Attributes:
        running: Sequences in the batch.
        waiting: Sequences waiting for memory, in order.
        preemptions: Sequences preempted so far.
        finished: Sequences finished so far.
    """

    def __init__(self, settings: ModelSettings):
        self.settings = settings
        self.running: list[Sequence] = []
        self.waiting: list[Sequence] = []
        self.cache: collections.OrderedDict[str, int] = collections.OrderedDict()
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
        self.cache.clear()

    def add(
        self, name: str, prompt_tokens: int, length: int, priority: int, prefix: str
    ) -> Sequence:
        """Take a new sequence.

        Raises:
            Overloaded: The engine is cold and falls over.
        """
        if self.cold() and self.load() + 1 > self.settings.cold_bearable:
            raise Overloaded(name)
        self.order += 1
        sequence = Sequence(name, prompt_tokens, length, priority, prefix, self.order)
        self._queue(sequence)
        return sequence

    def cancel(self, sequence: Sequence) -> None:
        """Drop a sequence."""
        if sequence in self.running:
            self.running.remove(sequence)
        elif sequence in self.waiting:
            self.waiting.remove(sequence)
        sequence.blocks = 0

    def load(self) -> int:
        """Return the sequences in the engine."""
        return len(self.running) + len(self.waiting)

    def used_blocks(self) -> int:
        """Return the blocks held by running sequences."""
        return sum(sequence.blocks for sequence in self.running)

    def step(self) -> tuple[float, list[Sequence]]:
        """Run one step.

        Returns:
            The time the step takes, and the sequences that got a token. One whose `tokens` has
            reached its `length` is finished and gone from the batch.
        """
        self._admit()
        prefill = sum(sequence.prefill for sequence in self.running)
        duration = (
            self.settings.step_s
            + self.settings.step_per_sequence_s * len(self.running)
            + self.settings.prefill_per_token_s * prefill
        )
        advanced = []
        for sequence in list(self.running):
            if sequence in self.running and self._grow(sequence):
                sequence.prefill = 0
                sequence.tokens += 1
                advanced.append(sequence)
        for sequence in advanced:
            if sequence.tokens >= sequence.length and sequence in self.running:
                self._finish(sequence)
        return duration, advanced

    def _queue(self, sequence: Sequence) -> None:
        sequence.blocks = 0
        sequence.prefill = 0
        self.waiting.append(sequence)
        self.waiting.sort(key=lambda waiting: (-waiting.priority, waiting.order))

    def _admit(self) -> None:
        while self.waiting and len(self.running) < self.settings.max_batch:
            sequence = self.waiting[0]
            need = self._blocks_for(sequence.prompt_tokens + sequence.tokens + 1)
            if self.used_blocks() + need > self.settings.total_blocks and self.running:
                return
            self.waiting.pop(0)
            sequence.blocks = need
            sequence.prefill = self._prefill(sequence)
            self.running.append(sequence)
            self._trim_cache()

    def _prefill(self, sequence: Sequence) -> int:
        total = sequence.prompt_tokens + sequence.tokens
        if sequence.prefix not in self.cache:
            return total
        self.cache.move_to_end(sequence.prefix)
        return max(1, total - self.cache[sequence.prefix])

    def _grow(self, sequence: Sequence) -> bool:
        need = self._blocks_for(sequence.prompt_tokens + sequence.tokens + 1)
        while self.used_blocks() - sequence.blocks + need > self.settings.total_blocks:
            victim = min(self.running, key=lambda held: (held.priority, -held.order))
            if len(self.running) == 1:
                return True
            self.running.remove(victim)
            self.preemptions += 1
            self._queue(victim)
            if victim is sequence:
                return False
        sequence.blocks = need
        return True

    def _finish(self, sequence: Sequence) -> None:
        self.running.remove(sequence)
        self.finished += 1
        sequence.blocks = 0
        if sequence.prefix:
            self.cache[sequence.prefix] = sequence.prompt_tokens
            self.cache.move_to_end(sequence.prefix)
            self._trim_cache()

    def _trim_cache(self) -> None:
        free = self.settings.total_blocks - self.used_blocks()
        while self.cache and sum(map(self._blocks_for, self.cache.values())) > free:
            self.cache.popitem(last=False)

    def _blocks_for(self, tokens: int) -> int:
        return math.ceil(tokens / self.settings.block_tokens)
