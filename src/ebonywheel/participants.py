"""Who takes part in the policy experiment: variants, scenarios, servers, entry hosts."""

import collections

import msgspec

from ebonywheel import (
    admission,
    choices,
    documents,
    enginemodel,
    lengths,
    memorygate,
    messages,
    policies,
    slots,
    workload,
)

REPORT_LAG_S = 0.5
QUEUE_BOUND = 512
COLD_SLOTS = 2
COLD_BEARABLE = 4
WARM_AFTER = 2


class Variant(msgspec.Struct):
    """A policy under test.

    Attributes:
        policy: Name of the routing policy.
        known_lengths: Whether it is told the lengths.
        margin: Standard deviations of margin over the expected memory.
        headroom: Share of the memory left free.
    """

    name: str
    policy: type[policies.Policy]
    known_lengths: bool = False
    margin: float = memorygate.MARGIN
    headroom: float = 0.0


class Move(msgspec.Struct):
    """A data centre that is taken out, then brought back with all its servers cold."""

    region: int
    out_s: float
    back_s: float


class Scenario(msgspec.Struct):
    """What happens in a run."""

    name: str
    load: float
    seconds: float = 180.0
    warm_up_s: float = 40.0
    warm_slots: int = 32
    burst: workload.Burst | None = None
    move: Move | None = None


class Generation(msgspec.Struct, eq=False):
    """One request on its way.

    Attributes:
        remote: Whether the server stands in another region than the entry host.
        last_at: When the reader's last token was decoded.
        stall_s: Sum of what its gaps were too long.
    """

    arrival: workload.Arrival
    request: admission.Request
    loan: str
    host: "EntryHost | None" = None
    server: "Server | None" = None
    sequence: enginemodel.Sequence | None = None
    remote: bool = False
    blocks: float = 0.0
    last_at: float = 0.0
    stall_s: float = 0.0


class Server:
    """A backend server: its engine model, and the ledger that its home keeps."""

    def __init__(self, shape: workload.EngineShape, scenario: Scenario):
        self.shape = shape
        self.engine = documents.Engine(COLD_SLOTS, scenario.warm_slots, WARM_AFTER)
        self.incarnation = 0
        self.generations: dict[str, Generation] = {}
        self.prefixes: list[str] = []
        self.restart(0.0)

    def restart(self, now: float) -> None:
        """Start anew, cold."""
        self.incarnation += 1
        settings = enginemodel.ModelSettings(
            self.shape.total_blocks,
            workload.BLOCK_TOKENS,
            self.shape.step_s,
            workload.STEP_PER_SEQUENCE_S,
            workload.PREFILL_PER_TOKEN_S,
            cold_bearable=COLD_BEARABLE,
        )
        state = messages.ServerState(
            self.shape.name,
            self.incarnation,
            data_centre=str(self.shape.region),
            total_blocks=self.shape.total_blocks,
            block_tokens=workload.BLOCK_TOKENS,
        )
        self.step_s = self.shape.step_s
        self.model = enginemodel.EngineModel(settings)
        self.ledger = slots.SlotLedger(state, self.engine)
        self.ledger.report(self.load(), now)
        self.stepping = False
        self.generations.clear()
        self.prefixes.clear()

    def load(self) -> messages.ServerLoad:
        """Return the load as the server reports it."""
        return messages.ServerLoad(
            self.shape.name,
            self.incarnation,
            len(self.model.running),
            len(self.model.waiting),
            self.model.used_blocks(),
            int(self.step_s * 1e6),
            self.model.preemptions,
            int(REPORT_LAG_S * 1000),
        )


class EntryHost:
    """An entry host: its waiting queue and what it knows of the servers."""

    def __init__(self, region: int, variant: Variant):
        self.region = region
        self.policy = variant.policy()
        self.queue = admission.WaitingQueue(QUEUE_BOUND, self.policy.fair)
        self.estimator = _estimator(variant)
        self.gate = memorygate.MemoryGate(_estimator(variant), variant.margin, variant.headroom)
        self.recent = choices.RecentChanges()
        self.known: dict[str, choices.KnownView] = {}
        self.running: collections.Counter[str] = collections.Counter()
        self.asking = False


def _estimator(variant: Variant) -> lengths.Estimator:
    return lengths.KnownLengths() if variant.known_lengths else lengths.LengthHistograms()
