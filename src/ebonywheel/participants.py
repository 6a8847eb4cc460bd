"""Variants, scenarios, simulated servers and entry hosts of the policy experiment."""

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
MAX_QUEUED = 512
COLD_SLOTS = 2
MAX_COLD_SEQUENCES = 4
WARM_AFTER = 2


class Variant(msgspec.Struct):
    """A routing policy under test, with its settings.

    Attributes:
        policy: Class of the routing policy.
        known_lengths: Whether it knows the answer lengths instead of estimating them.
        margin: Standard deviations added to the expected memory.
        headroom: Fraction of the memory that is always left free.
    """

    name: str
    policy: type[policies.Policy]
    known_lengths: bool = False
    margin: float = memorygate.MARGIN
    headroom: float = 0.0


class DataCentreMove(msgspec.Struct):
    """A data centre is taken out, then brought back with all its servers cold."""

    region: int
    take_out_s: float
    bring_back_s: float


class Scenario(msgspec.Struct):
    """Conditions of a run.

    Attributes:
        load: Offered load as a multiple of `workload.full_memory_rate`.
        seconds: Duration of the arrivals.
        warm_up_s: Time at the start that the figures leave out.
        warm_slots: Slots of a warm server.
    """

    name: str
    load: float
    seconds: float = 180.0
    warm_up_s: float = 40.0
    warm_slots: int = 32
    burst: workload.Burst | None = None
    move: DataCentreMove | None = None


class Generation(msgspec.Struct, eq=False):
    """One request, from its arrival to its end.

    Attributes:
        host: Entry host that received it.
        server: Server that it was sent to.
        sequence: Its sequence in the simulated engine.
        remote: Whether the server is in another region than the entry host.
        expected_blocks: Memory that it is expected to need, in blocks.
        preempted_at: When it was last preempted; 0 if it never was.
        stall_s: Stall time caused by its preemptions.
    """

    arrival: workload.Arrival
    request: admission.Request
    loan: str
    host: "EntryHost | None" = None
    server: "Server | None" = None
    sequence: enginemodel.Sequence | None = None
    remote: bool = False
    expected_blocks: float = 0.0
    preempted_at: float = 0.0
    stall_s: float = 0.0


class Server:
    """A backend server: its simulated engine, and the slot ledger that its home keeps.

    Attributes:
        incarnation: Incremented by each restart.
        generations: Generations on the server, by loan.
        prefixes: Cached prefixes that the home knows of.
        last_step_s: Duration of the last step.
        stepping: Whether a step is in progress.
    """

    def __init__(self, profile: workload.EngineProfile, scenario: Scenario):
        self.profile = profile
        self.engine = documents.Engine(COLD_SLOTS, scenario.warm_slots, WARM_AFTER)
        self.incarnation = 0
        self.generations: dict[str, Generation] = {}
        self.prefixes: list[str] = []
        self.restart(0.0)

    def restart(self, now: float) -> None:
        """Restart the server with a cold engine and an empty ledger."""
        self.incarnation += 1
        settings = enginemodel.ModelSettings(
            self.profile.total_blocks,
            workload.BLOCK_TOKENS,
            self.profile.step_s,
            workload.STEP_PER_SEQUENCE_S,
            workload.PREFILL_PER_TOKEN_S,
            cold_bearable=MAX_COLD_SEQUENCES,
        )
        state = messages.ServerState(
            self.profile.name,
            self.incarnation,
            data_centre=str(self.profile.region),
            total_blocks=self.profile.total_blocks,
            block_tokens=workload.BLOCK_TOKENS,
        )
        self.last_step_s = self.profile.step_s
        self.model = enginemodel.EngineModel(settings)
        self.ledger = slots.SlotLedger(state, self.engine)
        self.ledger.report(self.load(), now)
        self.stepping = False
        self.generations.clear()
        self.prefixes.clear()

    def load(self) -> messages.ServerLoad:
        """Return the load as the server reports it."""
        return messages.ServerLoad(
            self.profile.name,
            self.incarnation,
            len(self.model.running),
            len(self.model.waiting),
            self.model.used_blocks(),
            int(self.last_step_s * 1e6),
            self.model.preemptions,
            int(REPORT_LAG_S * 1000),
        )


class EntryHost:
    """An entry host: its waiting queue and its view of the servers.

    Attributes:
        running_by_customer: Number of running requests of each customer.
        slot_requested: Whether a slot was requested and the reply has not arrived yet.
    """

    def __init__(self, region: int, variant: Variant):
        self.region = region
        self.policy = variant.policy()
        self.queue = admission.WaitingQueue(MAX_QUEUED, self.policy.fair)
        self.estimator = _estimator(variant)
        self.gate = memorygate.MemoryGate(_estimator(variant), variant.margin, variant.headroom)
        self.recent_changes = choices.RecentChanges()
        self.known_servers: dict[str, choices.KnownView] = {}
        self.running_by_customer: collections.Counter[str] = collections.Counter()
        self.slot_requested = False


def _estimator(variant: Variant) -> lengths.Estimator:
    return lengths.KnownLengths() if variant.known_lengths else lengths.LengthHistograms()
