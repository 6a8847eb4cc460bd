"""Seeded workloads of both users: customers, heavy-tailed lengths, prompts that share prefixes."""

import itertools
import random

import msgspec


class ServiceShape(msgspec.Struct):
    """How long the prompts and answers of a service are, in tokens.

    Attributes:
        weight: Share of the requests.
        median: Median length of an answer.
        sigma: Spread of the body of the lengths (lognormal).
        tail: Share of answers from the tail (Pareto).
        tail_from: Where the tail starts.
        tail_alpha: Exponent of the tail.
        longest: Longest answer.
        prompt: Shortest and longest prompt, without the shared prefix.
    """

    name: str
    weight: float
    median: float
    sigma: float
    tail: float
    tail_from: int
    tail_alpha: float
    longest: int
    prompt: tuple[int, int]


class CustomerShape(msgspec.Struct):
    """A customer.

    Attributes:
        weight: Share of the requests.
        scale: Factor on the median of its lengths.
        region: Number of its region.
        prefixes: Number of prompt templates it uses.
    """

    name: str
    weight: float
    scale: float
    region: int
    prefixes: int
    priority: int = 10
    share: float = 1.0


class EngineShape(msgspec.Struct):
    """A planning model server: where it stands and how strong it is."""

    name: str
    region: int
    total_blocks: int
    step_s: float


class Setup(msgspec.Struct):
    """One user's customers, services and engines."""

    name: str
    services: list[ServiceShape]
    customers: list[CustomerShape]
    engines: list[EngineShape]


class Arrival(msgspec.Struct):
    """One request."""

    at: float
    service: str
    customer: CustomerShape
    prompt_tokens: int
    prefix: str
    prefix_tokens: int
    length: int


class Burst(msgspec.Struct):
    """A time during which one customer sends more."""

    customer: str
    start_s: float
    end_s: float
    factor: float


# Six servers of four kinds, as the supplier had them in stock.
ENGINES = [
    EngineShape("planner-1", 0, 1920, 0.012),
    EngineShape("planner-2", 0, 640, 0.016),
    EngineShape("planner-3", 1, 1280, 0.014),
    EngineShape("planner-4", 1, 960, 0.010),
    EngineShape("planner-5", 2, 1920, 0.012),
    EngineShape("planner-6", 2, 960, 0.016),
]

COOPERATIVE = Setup(
    "cooperative",
    [
        ServiceShape("plan", 0.6, 220, 0.9, 0.05, 800, 1.2, 4000, (40, 400)),
        ServiceShape("label", 0.4, 8, 0.5, 0.0, 1, 1.0, 64, (20, 120)),
    ],
    [
        CustomerShape("cascade-press", 30, 1.6, 0, 3, 20, 4.0),
        CustomerShape("selah-growers", 22, 1.0, 1, 3, 20, 4.0),
        CustomerShape("dalles-orchards", 14, 0.7, 2, 2, 10, 2.0),
        CustomerShape("naches-press", 6, 1.3, 1, 1),
        CustomerShape("hood-press", 6, 0.5, 2, 1),
        CustomerShape("tieton-farm", 5, 0.4, 1, 1),
        CustomerShape("zillah-farm", 5, 2.0, 1, 1),
        CustomerShape("salem-press", 5, 1.0, 2, 1),
        CustomerShape("newberg-farm", 4, 0.8, 2, 1),
        CustomerShape("skagit-press", 3, 2.5, 0, 1, 0),
    ],
    ENGINES,
)

KOMMUNALFORBUND = Setup(
    "kommunalforbund",
    [
        ServiceShape("plan", 0.35, 500, 0.7, 0.04, 1200, 1.4, 4000, (150, 700)),
        ServiceShape("verdict", 0.65, 14, 0.6, 0.02, 60, 1.5, 400, (30, 200)),
    ],
    [
        CustomerShape("sundsvall", 28, 1.2, 0, 3, 20, 4.0),
        CustomerShape("gavle", 24, 0.9, 1, 3, 20, 4.0),
        CustomerShape("malmo", 16, 1.0, 2, 2, 10, 2.0),
        CustomerShape("harnosand", 6, 0.6, 0, 1),
        CustomerShape("timra", 6, 1.4, 0, 1),
        CustomerShape("sandviken", 5, 0.8, 1, 1),
        CustomerShape("hofors", 5, 0.5, 1, 1),
        CustomerShape("lund", 4, 1.8, 2, 1),
        CustomerShape("eslov", 3, 1.0, 2, 1),
        CustomerShape("ystad", 3, 2.0, 2, 1, 0),
    ],
    ENGINES,
)

SETUPS = {setup.name: setup for setup in (COOPERATIVE, KOMMUNALFORBUND)}
PREFIX_TOKENS = (100, 350)
BLOCK_TOKENS = 16
STEP_PER_SEQUENCE_S = 0.0002
PREFILL_PER_TOKEN_S = 0.00002
SAMPLE = 4000


def arrivals(
    setup: Setup, load: float, seconds: float, seed: int, burst: Burst | None = None
) -> list[Arrival]:
    """Return the requests of one run, by time.

    Args:
        setup: The user's set-up.
        load: Offered tokens as a part of what the engines decode with their memory just full.
        seconds: Length of the run.
        seed: Seed; the same one gives the same requests.
        burst: A customer that sends more for some time.
    """
    rate = load * capacity(setup, seed)
    chance = random.Random(seed)
    found = []
    now = 0.0
    most = burst.factor if burst else 1.0
    for _ in itertools.count():
        now += chance.expovariate(rate * most)
        if now >= seconds:
            return found
        arrival = _draw(setup, chance, now)
        bursting = (
            burst is not None
            and arrival.customer.name == burst.customer
            and burst.start_s <= now < burst.end_s
        )
        if bursting or chance.random() < 1 / most:
            found.append(arrival)


def capacity(setup: Setup, seed: int) -> float:
    """Return the requests in a second with which the memory of all engines is just full."""
    chance = random.Random(f"capacity-{seed}")
    sample = [_draw(setup, chance, 0.0) for _ in range(SAMPLE)]
    tokens = sum(arrival.length for arrival in sample)
    mean = tokens / len(sample)
    held = sum(a.length * (a.prompt_tokens + a.length / 2 + BLOCK_TOKENS / 2) for a in sample)
    resident = held / tokens
    prefill = sum(arrival.prompt_tokens for arrival in sample) / tokens
    total = 0.0
    for engine in setup.engines:
        batch = engine.total_blocks * BLOCK_TOKENS / resident
        step = engine.step_s + STEP_PER_SEQUENCE_S * batch
        step += PREFILL_PER_TOKEN_S * prefill * batch
        total += batch / step
    return total / mean


def draw_length(service: ServiceShape, scale: float, chance: random.Random) -> int:
    """Return the length of an answer, in tokens; `scale` is a factor on the body's median."""
    if chance.random() < service.tail:
        length = service.tail_from * chance.paretovariate(service.tail_alpha)
    else:
        length = service.median * scale * chance.lognormvariate(0.0, service.sigma)
    return max(1, min(int(length), service.longest))


def _draw(setup: Setup, chance: random.Random, now: float) -> Arrival:
    customer = chance.choices(setup.customers, [held.weight for held in setup.customers])[0]
    service = chance.choices(setup.services, [held.weight for held in setup.services])[0]
    number = chance.randrange(customer.prefixes)
    prefix = f"{customer.name}-{service.name}-{number}"
    prefix_tokens = random.Random(prefix).randint(*PREFIX_TOKENS)
    prompt = prefix_tokens + chance.randint(*service.prompt)
    length = draw_length(service, customer.scale, chance)
    return Arrival(now, service.name, customer, prompt, prefix, prefix_tokens, length)
