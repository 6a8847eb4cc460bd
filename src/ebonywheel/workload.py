"""Seeded workloads of both users: customers, answer lengths, prompts with shared prefixes."""

import itertools
import random

import msgspec


class ServiceProfile(msgspec.Struct):
    """Distribution of the prompt and answer lengths of a service.

    Answer lengths are lognormal, with a Pareto tail.

    Attributes:
        weight: Relative share of the requests.
        median_tokens: Median of the lognormal distribution, before the customer's factor.
        sigma: Standard deviation of the logarithm of the lognormal lengths.
        tail_share: Fraction of the answers that are drawn from the tail.
        tail_start_tokens: Shortest answer of the tail.
        tail_alpha: Exponent of the tail.
        max_tokens: Upper limit of the answer length.
        prompt_tokens_range: Shortest and longest prompt, without the shared prefix.
    """

    name: str
    weight: float
    median_tokens: float
    sigma: float
    tail_share: float
    tail_start_tokens: int
    tail_alpha: float
    max_tokens: int
    prompt_tokens_range: tuple[int, int]


class CustomerProfile(msgspec.Struct):
    """Workload and contract of a customer.

    Attributes:
        weight: Relative share of the requests.
        length_factor: Factor on the median answer length of a service.
        region: Number of the region from which it sends.
        prefix_count: Number of prompt prefixes that it uses for each service.
        priority: Priority of its requests.
        share: Weight of the customer in the fair waiting queue.
    """

    name: str
    weight: float
    length_factor: float
    region: int
    prefix_count: int
    priority: int = 10
    share: float = 1.0


class EngineProfile(msgspec.Struct):
    """Location, size and speed of an engine.

    Attributes:
        region: Number of its region.
        total_blocks: Memory size, in blocks.
        step_s: Duration of a step with an empty batch.
    """

    name: str
    region: int
    total_blocks: int
    step_s: float


class Setup(msgspec.Struct):
    """The services, customers and engines of one user."""

    name: str
    services: list[ServiceProfile]
    customers: list[CustomerProfile]
    engines: list[EngineProfile]


class Arrival(msgspec.Struct):
    """One request.

    Attributes:
        at_s: Time of arrival, from the start of the run.
        prompt_tokens: Length of the prompt, the prefix included.
        prefix: Identifies the start of the prompt, which it shares with other requests.
        prefix_tokens: Length of the prefix.
        length: Tokens of the answer.
    """

    at_s: float
    service: str
    customer: CustomerProfile
    prompt_tokens: int
    prefix: str
    prefix_tokens: int
    length: int


class Burst(msgspec.Struct):
    """A period in which one customer sends `factor` times as many requests."""

    customer: str
    start_s: float
    end_s: float
    factor: float


# Six servers with four memory sizes, as the supplier had them in stock.
ENGINES = [
    EngineProfile("planner-1", 0, 1920, 0.012),
    EngineProfile("planner-2", 0, 640, 0.016),
    EngineProfile("planner-3", 1, 1280, 0.014),
    EngineProfile("planner-4", 1, 960, 0.010),
    EngineProfile("planner-5", 2, 1920, 0.012),
    EngineProfile("planner-6", 2, 960, 0.016),
]

COOPERATIVE = Setup(
    "cooperative",
    [
        ServiceProfile("plan", 0.6, 220, 0.9, 0.05, 800, 1.2, 4000, (40, 400)),
        ServiceProfile("label", 0.4, 8, 0.5, 0.0, 1, 1.0, 64, (20, 120)),
    ],
    [
        CustomerProfile("cascade-press", 30, 1.6, 0, 3, 20, 4.0),
        CustomerProfile("selah-growers", 22, 1.0, 1, 3, 20, 4.0),
        CustomerProfile("dalles-orchards", 14, 0.7, 2, 2, 10, 2.0),
        CustomerProfile("naches-press", 6, 1.3, 1, 1),
        CustomerProfile("hood-press", 6, 0.5, 2, 1),
        CustomerProfile("tieton-farm", 5, 0.4, 1, 1),
        CustomerProfile("zillah-farm", 5, 2.0, 1, 1),
        CustomerProfile("salem-press", 5, 1.0, 2, 1),
        CustomerProfile("newberg-farm", 4, 0.8, 2, 1),
        CustomerProfile("skagit-press", 3, 2.5, 0, 1, 0),
    ],
    ENGINES,
)

KOMMUNALFORBUND = Setup(
    "kommunalforbund",
    [
        ServiceProfile("plan", 0.35, 500, 0.7, 0.04, 1200, 1.4, 4000, (150, 700)),
        ServiceProfile("verdict", 0.65, 14, 0.6, 0.02, 60, 1.5, 400, (30, 200)),
    ],
    [
        CustomerProfile("sundsvall", 28, 1.2, 0, 3, 20, 4.0),
        CustomerProfile("gavle", 24, 0.9, 1, 3, 20, 4.0),
        CustomerProfile("malmo", 16, 1.0, 2, 2, 10, 2.0),
        CustomerProfile("harnosand", 6, 0.6, 0, 1),
        CustomerProfile("timra", 6, 1.4, 0, 1),
        CustomerProfile("sandviken", 5, 0.8, 1, 1),
        CustomerProfile("hofors", 5, 0.5, 1, 1),
        CustomerProfile("lund", 4, 1.8, 2, 1),
        CustomerProfile("eslov", 3, 1.0, 2, 1),
        CustomerProfile("ystad", 3, 2.0, 2, 1, 0),
    ],
    ENGINES,
)

SETUPS = {setup.name: setup for setup in (COOPERATIVE, KOMMUNALFORBUND)}
PREFIX_TOKENS_RANGE = (100, 350)
BLOCK_TOKENS = 16
STEP_PER_SEQUENCE_S = 0.0002
PREFILL_PER_TOKEN_S = 0.00002
RATE_SAMPLE_SIZE = 4000


def generate_arrivals(
    setup: Setup, load: float, seconds: float, seed: int, burst: Burst | None = None
) -> list[Arrival]:
    """Return the requests of one run in order of arrival.

    The requests are a Poisson process. With a burst, it is generated at the burst's rate and
    thinned out wherever the burst does not apply.

    Args:
        setup: The user's set-up.
        load: Offered load as a multiple of `full_memory_rate`.
        seconds: Duration of the arrivals.
        seed: Random seed; the same seed gives the same requests.
        burst: Period in which one customer sends more, if any.
    """
    rate = load * full_memory_rate(setup, seed)
    generator = random.Random(seed)
    accepted = []
    now = 0.0
    peak_factor = burst.factor if burst else 1.0
    for _ in itertools.count():
        now += generator.expovariate(rate * peak_factor)
        if now >= seconds:
            return accepted
        arrival = _draw_request(setup, generator, now)
        bursting = (
            burst is not None
            and arrival.customer.name == burst.customer
            and burst.start_s <= now < burst.end_s
        )
        if bursting or generator.random() < 1 / peak_factor:
            accepted.append(arrival)


def full_memory_rate(setup: Setup, seed: int) -> float:
    """Return the requests per second at which the memory of all engines is just full.

    In a full engine the batch size is its memory divided by the mean memory of a running sequence.
    """
    generator = random.Random(f"capacity-{seed}")
    sample = [_draw_request(setup, generator, 0.0) for _ in range(RATE_SAMPLE_SIZE)]
    tokens = sum(arrival.length for arrival in sample)
    mean_length = tokens / len(sample)
    # Tokens in memory, summed over the steps of an answer: the prompt, on average half of the
    # answer, and on average half of a block that is not filled yet.
    token_steps = sum(
        arrival.length * (arrival.prompt_tokens + arrival.length / 2 + BLOCK_TOKENS / 2)
        for arrival in sample
    )
    mean_memory = token_steps / tokens
    prefill_ratio = sum(arrival.prompt_tokens for arrival in sample) / tokens
    tokens_per_s = 0.0
    for engine in setup.engines:
        batch = engine.total_blocks * BLOCK_TOKENS / mean_memory
        step_s = engine.step_s + STEP_PER_SEQUENCE_S * batch
        step_s += PREFILL_PER_TOKEN_S * prefill_ratio * batch
        tokens_per_s += batch / step_s
    return tokens_per_s / mean_length


def draw_length(service: ServiceProfile, length_factor: float, generator: random.Random) -> int:
    """Return a random answer length; `length_factor` applies to the lognormal median only."""
    if generator.random() < service.tail_share:
        length = service.tail_start_tokens * generator.paretovariate(service.tail_alpha)
    else:
        length = (
            service.median_tokens * length_factor * generator.lognormvariate(0.0, service.sigma)
        )
    return max(1, min(int(length), service.max_tokens))


def _draw_request(setup: Setup, generator: random.Random, now: float) -> Arrival:
    customer = generator.choices(setup.customers, [option.weight for option in setup.customers])[0]
    service = generator.choices(setup.services, [option.weight for option in setup.services])[0]
    prefix_number = generator.randrange(customer.prefix_count)
    prefix = f"{customer.name}-{service.name}-{prefix_number}"
    prefix_tokens = random.Random(prefix).randint(*PREFIX_TOKENS_RANGE)
    prompt_tokens = prefix_tokens + generator.randint(*service.prompt_tokens_range)
    length = draw_length(service, customer.length_factor, generator)
    return Arrival(now, service.name, customer, prompt_tokens, prefix, prefix_tokens, length)
