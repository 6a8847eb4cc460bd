"""Environment documents: what operators write, checked as a whole before it is accepted."""

import enum
import hashlib
import re
import typing

import msgspec
import result

from ebonywheel import exceptions, settings

Sha256 = typing.Annotated[str, msgspec.Meta(pattern=r"^[0-9a-f]{64}$")]
Share = typing.Annotated[float, msgspec.Meta(gt=0, le=1000)]
Slots = typing.Annotated[int, msgspec.Meta(ge=1, le=10_000)]
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
        cold_slots: Requests in flight that one can bear just after its start.
        warm_slots: Requests in flight that one can bear once warm.
        warm_after: Finished requests for each further slot while it warms up.
        fencing: Whether it refuses an order that carries an old fencing number.
        order_life_s: Longest time an order that was sent may still take effect.
    """

    cold_slots: Slots
    warm_slots: Slots
    warm_after: Slots = 2
    fencing: bool = True
    order_life_s: Seconds = 10.0


class Call(msgspec.Struct, forbid_unknown_fields=True):
    """One call of a plain service.

    Attributes:
        method: HTTP method.
        path: Path at the service, matched exactly.
        repeatable: Whether running it twice does no harm.
    """

    method: Method
    path: typing.Annotated[str, msgspec.Meta(pattern=r"^/[A-Za-z0-9/_.-]*$")]
    repeatable: bool


class Service(msgspec.Struct, forbid_unknown_fields=True):
    """Something callers can ask for.

    Attributes:
        kind: ``stream`` for tokens as they come, ``whole`` for a generation answered at once,
            ``plain`` for calls to a plain service.
        engine: Engine that serves it.
        timeout_s: Longest wait for a slot and, but for streams, for the answer.
        max_tokens: Longest generation.
        calls: The calls of a plain service.
    """

    kind: ServiceKind
    engine: str
    timeout_s: Seconds = 30.0
    max_tokens: typing.Annotated[int, msgspec.Meta(ge=1, le=1_000_000)] = 32_768
    calls: list[Call] = []


class Customer(msgspec.Struct, forbid_unknown_fields=True):
    """A buyer of the services.

    Attributes:
        key_sha256: SHA-256 of the customer's key; the key itself is never stored.
        priority: Name of an entry under ``priorities``.
        share: Weight against other customers of the same priority.
        services: Services it may use.
        max_running: Most requests of it in flight at one entry host.
    """

    key_sha256: Sha256
    priority: str
    services: list[str]
    share: Share = 1.0
    max_running: Slots = 1000


class Retries(msgspec.Struct, forbid_unknown_fields=True):
    """Limits of retries.

    Attributes:
        budget: Retries allowed as a share of first tries.
        attempts: Most tries of one request.
        cross_region_cost: How many requests in the own region's queue outweigh the cost of
            sending one to another region.
    """

    budget: Fraction = 0.1
    attempts: Slots = 3
    cross_region_cost: Share = 4.0


class Weights(msgspec.Struct, forbid_unknown_fields=True):
    """Limits of the weight store, kept for all backend servers together.

    Attributes:
        loads_per_minute: Most orders sent in a minute that make a backend server load something.
        concurrent: Most such orders under way at one time.
    """

    loads_per_minute: Share = 30.0
    concurrent: Slots = 2


class Document(msgspec.Struct, forbid_unknown_fields=True):
    """The whole configuration of one environment.

    Attributes:
        environment: Name of the environment.
        regions: Region of each data centre.
        priorities: Level of each priority; a higher level goes first.
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
        name: Where the text came from, for errors.
    """
    try:
        document = msgspec.toml.decode(text, type=Document)
    except (msgspec.ValidationError, msgspec.DecodeError) as error:
        return result.Err(exceptions.DocumentError(str(error), "check document", name))
    problem = _find_bad_reference(document)
    if problem:
        return result.Err(exceptions.DocumentError(problem, "check references", name))
    return result.Ok(document)


def _find_bad_reference(document: Document) -> str:
    for name, service in document.services.items():
        if service.engine not in document.engines:
            return _expected(f"services.{name}.engine", service.engine, document.engines)
        if (service.kind is ServiceKind.PLAIN) != bool(service.calls):
            return f'`calls` goes with kind "plain" and only with it - at `services.{name}`'
    for name, customer in document.customers.items():
        if customer.priority not in document.priorities:
            return _expected(f"customers.{name}.priority", customer.priority, document.priorities)
        for service in customer.services:
            if service not in document.services:
                return _expected(f"customers.{name}.services", service, document.services)
    return _find_shared_key(document)


def _find_shared_key(document: Document) -> str:
    owners: dict[str, str] = {}
    for name, customer in document.customers.items():
        other = owners.setdefault(customer.key_sha256, name)
        if other != name:
            return f"same key as customer {other!r} - at `customers.{name}.key_sha256`"
    return ""


def _expected(where: str, found: str, known: typing.Iterable[str]) -> str:
    names = ", ".join(sorted(known)) or "none"
    return f"Expected one of: {names}, got {found!r} - at `{where}`"


def rename_environment(text: str, name: str) -> str:
    """Return a document's text with another environment's name in place of its own."""
    return ENVIRONMENT_LINE.sub(lambda found: f'{found[1]}"{name}"', text, count=1)


def key_digest(key: str) -> str:
    """Return the SHA-256 of a customer's key or an operator's token."""
    return hashlib.sha256(key.encode()).hexdigest()


def find_call(service: Service, method: str, path: str) -> Call | None:
    """Return the service's call with this method and path."""
    for call in service.calls:
        if call.method == method and call.path == path:
            return call
    return None
