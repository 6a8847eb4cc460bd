"""Environment documents, which operators write; each is checked whole before it is accepted."""

import enum
import hashlib
import re
import typing

import msgspec
import result

from ebonywheel import exceptions, settings

Sha256 = typing.Annotated[str, msgspec.Meta(pattern=r"^[0-9a-f]{64}$")]
PositiveNumber = typing.Annotated[float, msgspec.Meta(gt=0, le=1000)]
PositiveCount = typing.Annotated[int, msgspec.Meta(ge=1, le=10_000)]
Seconds = typing.Annotated[float, msgspec.Meta(gt=0, le=86_400)]
Level = typing.Annotated[int, msgspec.Meta(ge=0, le=100)]
Fraction = typing.Annotated[float, msgspec.Meta(ge=0, le=1)]
Method = typing.Literal["GET", "PUT", "POST", "PATCH", "DELETE"]


ENVIRONMENT_LINE = re.compile(r"""^(\s*environment\s*=\s*)(?:"[^"\n]*"|'[^'\n]*')""", re.MULTILINE)


class ServiceKind(enum.StrEnum):
    """How a service answers."""

    STREAM = "stream"
    WHOLE = "whole"
    PLAIN = "plain"


class Engine(msgspec.Struct, forbid_unknown_fields=True):
    """A kind of backend server.

    Attributes:
        cold_slots: Maximum requests in flight at one server just after its start.
        warm_slots: Maximum requests in flight at one server once it is warm.
        warm_after: Number of finished requests that adds one slot while it warms up.
        fencing: Whether it refuses an order that carries an outdated fencing number.
        order_life_s: Maximum time after which a sent order may still take effect.
    """

    cold_slots: PositiveCount
    warm_slots: PositiveCount
    warm_after: PositiveCount = 2
    fencing: bool = True
    order_life_s: Seconds = 10.0


class Call(msgspec.Struct, forbid_unknown_fields=True):
    """A call that a plain service offers.

    Attributes:
        method: HTTP method.
        path: Path within the service, matched exactly.
        repeatable: Whether the call may run twice without harm.
    """

    method: Method
    path: typing.Annotated[str, msgspec.Meta(pattern=r"^/[A-Za-z0-9/_.-]*$")]
    repeatable: bool


class Service(msgspec.Struct, forbid_unknown_fields=True):
    """A service that callers can request.

    Attributes:
        kind: ``stream`` for tokens sent as they are generated, ``whole`` for a generation
            answered in one piece, ``plain`` for calls to a plain service.
        engine: Engine that serves it.
        timeout_s: Maximum wait for a slot and, except for streams, for the answer.
        max_tokens: Maximum length of a generation.
        calls: Calls of a plain service.
    """

    kind: ServiceKind
    engine: str
    timeout_s: Seconds = 30.0
    max_tokens: typing.Annotated[int, msgspec.Meta(ge=1, le=1_000_000)] = 32_768
    calls: list[Call] = []


class Customer(msgspec.Struct, forbid_unknown_fields=True):
    """A customer, its key and the services it may use.

    Attributes:
        key_sha256: SHA-256 of the customer's key; the key itself is never stored.
        priority: Name of an entry under ``priorities``.
        share: Weight relative to other customers of the same priority.
        services: Services it may use.
        max_running: Maximum number of its requests in flight at one entry host.
    """

    key_sha256: Sha256
    priority: str
    services: list[str]
    share: PositiveNumber = 1.0
    max_running: PositiveCount = 1000


class Retries(msgspec.Struct, forbid_unknown_fields=True):
    """Limits on retries and on leaving the region.

    Attributes:
        budget: Retries allowed as a share of first attempts.
        attempts: Maximum number of attempts for one request.
        cross_region_cost: Queue length up to which requests wait for a backend server of the own
            region; a longer queue outweighs the cost of sending one to another region.
    """

    budget: Fraction = 0.1
    attempts: PositiveCount = 3
    cross_region_cost: PositiveNumber = 4.0


class Weights(msgspec.Struct, forbid_unknown_fields=True):
    """Limits on reading the weight store, for all backend servers together.

    Attributes:
        loads_per_minute: Maximum number of orders per minute that make a server load weights.
        concurrent: Maximum number of such orders in progress at the same time.
    """

    loads_per_minute: PositiveNumber = 30.0
    concurrent: PositiveCount = 2


class Document(msgspec.Struct, forbid_unknown_fields=True):
    """The whole configuration of one environment.

    Attributes:
        environment: Name of the environment.
        regions: Region of each data centre.
        priorities: Level of each priority; a higher level is served first.
    """

    environment: settings.Name
    regions: dict[settings.Name, settings.Name]
    engines: dict[settings.Name, Engine]
    services: dict[settings.Name, Service]
    priorities: dict[settings.Name, Level]
    customers: dict[settings.Name, Customer]
    retries: Retries = msgspec.field(default_factory=Retries)
    weights: Weights = msgspec.field(default_factory=Weights)


def parse(text: str, name: str) -> result.Result[Document, exceptions.DocumentError]:
    """Parse and check an environment document.

    Args:
        text: The TOML text.
        name: Source of the text, for error messages.
    """
    try:
        document = msgspec.toml.decode(text, type=Document)
    except (msgspec.ValidationError, msgspec.DecodeError) as error:
        return result.Err(exceptions.DocumentError(str(error), "check document", name))
    problem = _find_unresolved_reference(document)
    if problem:
        return result.Err(exceptions.DocumentError(problem, "check references", name))
    return result.Ok(document)


def _find_unresolved_reference(document: Document) -> str:
    for name, service in document.services.items():
        if service.engine not in document.engines:
            return _unknown_name(f"services.{name}.engine", service.engine, document.engines)
        if (service.kind is ServiceKind.PLAIN) != bool(service.calls):
            return f'`calls` goes with kind "plain" and only with it - at `services.{name}`'
    for name, customer in document.customers.items():
        if customer.priority not in document.priorities:
            return _unknown_name(
                f"customers.{name}.priority", customer.priority, document.priorities
            )
        for service in customer.services:
            if service not in document.services:
                return _unknown_name(f"customers.{name}.services", service, document.services)
    return _find_duplicate_key(document)


def _find_duplicate_key(document: Document) -> str:
    customers_by_key: dict[str, str] = {}
    for name, customer in document.customers.items():
        other = customers_by_key.setdefault(customer.key_sha256, name)
        if other != name:
            return f"same key as customer {other!r} - at `customers.{name}.key_sha256`"
    return ""


def _unknown_name(key: str, found: str, known: typing.Iterable[str]) -> str:
    names = ", ".join(sorted(known)) or "none"
    return f"Expected one of: {names}, got {found!r} - at `{key}`"


def rename_environment(text: str, name: str) -> str:
    """Return a document's text with the environment's name replaced."""
    return ENVIRONMENT_LINE.sub(lambda match: f'{match[1]}"{name}"', text, count=1)


def key_digest(key: str) -> str:
    """Return the SHA-256 of a customer's key or an operator's token."""
    return hashlib.sha256(key.encode()).hexdigest()


def find_call(service: Service, method: str, path: str) -> Call | None:
    """Return the service's call with this method and path, or None."""
    for call in service.calls:
        if call.method == method and call.path == path:
            return call
    return None
