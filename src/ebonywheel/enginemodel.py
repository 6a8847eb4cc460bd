"""Simulation of a model engine: continuous batching over a limited number of memory blocks.

One step decodes a token for each running sequence. A step takes longer with a larger batch and
with prompts to prefill. When the memory runs out during decoding, the latest arrival among the
running sequences of the lowest priority is preempted: its blocks are freed and it is prefilled
again later.

The work of simulating a step does not grow with the batch: a sequence is visited only in the steps
in which it needs a block or ends, and totals are updated incrementally.
"""

import bisect
import collections

import msgspec


class ModelSettings(msgspec.Struct):
    """Size and speed of an engine.

    Attributes:
        total_blocks: Memory size, in blocks.
        block_tokens: Tokens that a block holds.
        step_s: Duration of a step with an empty batch.
        step_per_sequence_s: Additional duration for each running sequence.
        prefill_per_token_s: Additional duration for each token to prefill.
        max_batch: Maximum number of sequences in one step.
        max_prefill_tokens: Tokens to prefill in one step after which no further sequence starts.
        cold_bearable: Maximum number of sequences in a cold engine; one more makes it crash.
        warm_after: Finished sequences after which a cold engine is warm.
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
        prompt_tokens: Length of the prompt, the prefix included.
        length: Number of tokens to generate.
        prefix: Identifies the start of the prompt; empty if it is not cached.
        prefix_tokens: Length of the prefix.
        arrival_number: Position in the order of arrival.
        blocks: Memory blocks that it holds.
        due_step: Step in which it next needs a block or ends; 0 while it is not running.
        generated_before_start: Tokens generated before it last started to run.
        start_step: Steps that the engine had run when it last started.
    """

    __slots__ = (
        "model",
        "name",
        "prompt_tokens",
        "length",
        "priority",
        "prefix",
        "prefix_tokens",
        "arrival_number",
        "blocks",
        "due_step",
        "generated_before_start",
        "start_step",
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
        self.arrival_number = 0
        self.blocks = 0
        self.due_step = 0
        self.generated_before_start = 0
        self.start_step = 0

    @property
    def tokens(self) -> int:
        """Number of tokens generated so far."""
        if self.due_step:
            return self.generated_before_start + self.model.steps - self.start_step
        return self.generated_before_start


class Step(msgspec.Struct):
    """What happened in one step.

    Attributes:
        duration_s: Duration of the step.
        batch: Number of sequences that got a token.
        joined: Sequences that started, or restarted after a preemption, in this step.
        finished: Sequences that got their last token.
        preempted: Sequences whose memory was taken for others.
    """

    duration_s: float
    batch: int
    joined: list[Sequence]
    finished: list[Sequence]
    preempted: list[Sequence]


class PrefixEvent(msgspec.Struct):
    """A prefix was added to the cache (`present`) or evicted from it."""

    prefix: str
    present: bool


class Overloaded(Exception):
    """A cold engine was given more sequences than it can hold."""


class EngineModel:
    """State of one engine.

    Attributes:
        running: Sequences in the batch, by arrival number.
        waiting: Sequences waiting for memory, next to start first.
        cache: Number of blocks of each cached prefix, least recently used first.
        cache_events: Changes of the cache since the last call of `take_cache_events`.
        cached_blocks: Blocks held by the cache.
        sequences_by_due_step: Sequences by the step in which they were scheduled to need a block or
            end. Entries of sequences that stopped since are skipped.
        steps: Number of steps run.
        blocks_in_use: Blocks held by running sequences.
        preemptions: Number of preemptions.
        finished_count: Number of sequences finished.
        finished_count_when_cold: Value of `finished_count` when the engine last became cold.
    """

    def __init__(self, settings: ModelSettings):
        self.settings = settings
        self.running: dict[int, Sequence] = {}
        self.waiting: list[Sequence] = []
        self.cache: collections.OrderedDict[str, int] = collections.OrderedDict()
        self.cache_events: list[PrefixEvent] = []
        self.cached_blocks = 0
        self.sequences_by_due_step: dict[int, list[Sequence]] = {}
        self.steps = 0
        self.blocks_in_use = 0
        self.preemptions = 0
        self.finished_count = 0
        self.last_arrival_number = 0
        self.finished_count_when_cold = 0

    def cold(self) -> bool:
        """Return whether the engine is cold: few sequences at once make it crash."""
        return self.finished_count - self.finished_count_when_cold < self.settings.warm_after

    def make_cold(self) -> None:
        """Make the engine cold again and empty its prefix cache."""
        self.finished_count_when_cold = self.finished_count
        self._evict_prefixes(self.settings.total_blocks)

    def add(
        self,
        name: str,
        prompt_tokens: int,
        length: int,
        priority: int,
        prefix: str,
        prefix_tokens: int = 0,
    ) -> Sequence:
        """Add a new sequence and return it.

        Raises:
            Overloaded: The engine is cold and cannot hold one more.
        """
        if self.cold() and self.sequence_count() + 1 > self.settings.cold_bearable:
            raise Overloaded(name)
        sequence = Sequence(self, name, prompt_tokens, length, priority, prefix, prefix_tokens)
        self.last_arrival_number += 1
        sequence.arrival_number = self.last_arrival_number
        self._queue(sequence)
        return sequence

    def cancel(self, sequence: Sequence) -> None:
        """Remove a sequence that is running or waiting."""
        if sequence.due_step:
            self._stop(sequence)
        elif sequence in self.waiting:
            self.waiting.remove(sequence)

    def sequence_count(self) -> int:
        """Return the number of sequences, running or waiting."""
        return len(self.running) + len(self.waiting)

    def used_blocks(self) -> int:
        """Return the number of blocks held by running sequences."""
        return self.blocks_in_use

    def step(self) -> Step:
        """Run one step and return what happened in it."""
        joined, prefill_tokens = self._admit()
        completing, preempted = self._allocate_blocks()
        self.steps += 1
        batch = len(self.running)
        duration = (
            self.settings.step_s
            + self.settings.step_per_sequence_s * batch
            + self.settings.prefill_per_token_s * prefill_tokens
        )
        finished = [sequence for sequence in completing if sequence.due_step]
        for sequence in finished:
            self._stop(sequence)
        self.finished_count += len(finished)
        return Step(duration, batch, joined, finished, preempted)

    def take_cache_events(self) -> list[PrefixEvent]:
        """Return the changes of the cache since the last call."""
        events, self.cache_events = self.cache_events, []
        return events

    def _queue(self, sequence: Sequence) -> None:
        bisect.insort(
            self.waiting, sequence, key=lambda queued: (-queued.priority, queued.arrival_number)
        )

    def _admit(self) -> tuple[list[Sequence], int]:
        """Start the waiting sequences that fit; return them and the number of tokens to prefill."""
        joined: list[Sequence] = []
        prefill_tokens = 0
        while self.waiting and len(self.running) < self.settings.max_batch:
            sequence = self.waiting[0]
            needed_blocks = self._blocks_for(
                sequence.prompt_tokens + sequence.generated_before_start + 1
            )
            if self.blocks_in_use + needed_blocks > self.settings.total_blocks and self.running:
                break
            if prefill_tokens >= self.settings.max_prefill_tokens:
                break
            self.waiting.pop(0)
            prefill_tokens += self._count_prefill_tokens(sequence)
            self._start(sequence, needed_blocks)
            joined.append(sequence)
        return joined, prefill_tokens

    def _start(self, sequence: Sequence, blocks: int) -> None:
        sequence.blocks = blocks
        sequence.start_step = self.steps
        self.blocks_in_use += blocks
        self.running[sequence.arrival_number] = sequence
        self._schedule_next_visit(sequence, sequence.generated_before_start)
        self._evict_prefixes(0)

    def _stop(self, sequence: Sequence) -> None:
        sequence.generated_before_start = sequence.tokens
        sequence.due_step = 0
        del self.running[sequence.arrival_number]
        self.blocks_in_use -= sequence.blocks
        sequence.blocks = 0

    def _schedule_next_visit(self, sequence: Sequence, tokens: int) -> None:
        """Set the step in which a sequence with so many tokens next needs a block or ends."""
        tokens_that_fit = sequence.blocks * self.settings.block_tokens - sequence.prompt_tokens
        steps_ahead = min(sequence.length, tokens_that_fit + 1) - tokens
        sequence.due_step = self.steps + max(1, steps_ahead)
        self.sequences_by_due_step.setdefault(sequence.due_step, []).append(sequence)

    def _count_prefill_tokens(self, sequence: Sequence) -> int:
        """Return the number of tokens to prefill, and add the sequence's prefix to the cache."""
        total = sequence.prompt_tokens + sequence.generated_before_start
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

    def _allocate_blocks(self) -> tuple[list[Sequence], list[Sequence]]:
        """Allocate the blocks that sequences need in this step, preempting others if necessary.

        Returns:
            The sequences that get their last token in this step, and the preempted ones. A sequence
            may be in both.
        """
        current_step = self.steps + 1
        completing: list[Sequence] = []
        preempted: list[Sequence] = []
        for sequence in self.sequences_by_due_step.pop(current_step, ()):
            if sequence.due_step != current_step:
                continue
            needed_blocks = self._blocks_for(sequence.prompt_tokens + sequence.tokens + 1)
            if needed_blocks > sequence.blocks and not self._extend_blocks(
                sequence, needed_blocks, preempted
            ):
                continue
            if sequence.tokens + 1 >= sequence.length:
                completing.append(sequence)
            else:
                self._schedule_next_visit(sequence, sequence.tokens)
        return completing, preempted

    def _extend_blocks(
        self, sequence: Sequence, needed_blocks: int, preempted: list[Sequence]
    ) -> bool:
        """Allocate blocks to a sequence; return False if it was preempted itself."""
        additional = needed_blocks - sequence.blocks
        while (
            self.blocks_in_use + additional > self.settings.total_blocks and len(self.running) > 1
        ):
            victim = min(
                self.running.values(),
                key=lambda running: (running.priority, -running.arrival_number),
            )
            self._stop(victim)
            self._queue(victim)
            self.preemptions += 1
            preempted.append(victim)
            if victim is sequence:
                return False
        sequence.blocks = needed_blocks
        self.blocks_in_use += additional
        self._evict_prefixes(0)
        return True

    def _evict_prefixes(self, free_blocks: int) -> None:
        """Evict prefixes until running sequences, cache and `free_blocks` fit into the memory."""
        max_cached_blocks = self.settings.total_blocks - self.blocks_in_use - free_blocks
        while self.cache and self.cached_blocks > max_cached_blocks:
            prefix, freed = self.cache.popitem(last=False)
            self.cached_blocks -= freed
            self.cache_events.append(PrefixEvent(prefix, False))

    def _blocks_for(self, tokens: int) -> int:
        return -(-tokens // self.settings.block_tokens)
