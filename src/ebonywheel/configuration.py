"""The configuration in force, cut into keyed items so that only differences travel."""

import typing

import msgspec

from ebonywheel import documents, messages

DOCUMENT_SECTIONS = ("regions", "engines", "services", "priorities", "customers")
MEMBERS_KEY = "control/members"

Items = dict[str, bytes]


class RosterEntry(msgspec.Struct, frozen=True):
    """An entry host that holds, or lately held, a lease."""

    host: str
    incarnation: int
    data_centre: str
    address: str


class Suspicion(msgspec.Struct, frozen=True):
    """A request that was in flight when backend servers died.

    Attributes:
        customer: Customer that sent it.
        deaths: Backend servers that died with it in flight.
        quarantined: True when it is refused.
        until_ms: Replicated time at which the suspicion ends.
    """

    customer: str
    deaths: int = 1
    quarantined: bool = False
    until_ms: int = 0


class Member(msgspec.Struct, frozen=True):
    """A control host.

    Attributes:
        member: Id bound to its data folder.
        voter: False while it is a learner.
    """

    host: str
    member: str
    data_centre: str
    link: str
    http: str = ""
    voter: bool = True


class Configuration(msgspec.Struct):
    """One consistent state of an environment's configuration.

    Attributes:
        index: Log index up to which it is complete.
        revision: Revision of the environment document, 0 when there is none.
        document: The environment document, or None.
        out: Data centres taken out of service.
        roster: Entry hosts by name.
        roster_epoch: Log index of the last change of the roster.
        suspects: Suspicions by request fingerprint.
        members: Control hosts.
    """

    index: int = 0
    revision: int = 0
    document: documents.Document | None = None
    out: frozenset[str] = frozenset()
    roster: dict[str, RosterEntry] = {}
    roster_epoch: int = 0
    suspects: dict[bytes, Suspicion] = {}
    members: list[Member] = []


def split_document(environment: str, content: documents.Document) -> Items:
    """Cut a document into items, one for each named entry."""
    items: Items = {}
    for section in DOCUMENT_SECTIONS:
        for name, value in getattr(content, section).items():
            items[f"{environment}/document/{section}/{name}"] = msgspec.json.encode(value)
    items[f"{environment}/document/retries/retries"] = msgspec.json.encode(content.retries)
    return items


def join_document(environment: str, items: Items) -> documents.Document | None:
    """Put a document together from its items; None when there are none."""
    raw: dict[str, typing.Any] = {section: {} for section in DOCUMENT_SECTIONS}
    prefix = f"{environment}/document/"
    found = False
    for key, value in items.items():
        if not key.startswith(prefix):
            continue
        found = True
        section, _, name = key.removeprefix(prefix).partition("/")
        if section == "retries":
            raw["retries"] = msgspec.Raw(value)
        else:
            raw[section][name] = msgspec.Raw(value)
    if not found:
        return None
    raw["environment"] = environment
    return msgspec.json.decode(msgspec.json.encode(raw), type=documents.Document)


def revision_key(environment: str) -> str:
    """Return the key of an environment's revision number."""
    return f"{environment}/revision"


def out_key(environment: str, data_centre: str) -> str:
    """Return the key that is present while a data centre is out."""
    return f"{environment}/out/{data_centre}"


def roster_key(environment: str, host: str) -> str:
    """Return the key of an entry host's roster entry."""
    return f"{environment}/roster/{host}"


def roster_epoch_key(environment: str) -> str:
    """Return the key of the index of the last roster change."""
    return f"{environment}/roster-epoch"


def suspect_key(environment: str, fingerprint: bytes) -> str:
    """Return the key of a suspicion."""
    return f"{environment}/suspects/{fingerprint.hex()}"


def concerns(key: str, environment: str) -> bool:
    """Return whether an entry host of the environment needs the item."""
    return key.startswith((f"{environment}/", "control/"))


class ConfigurationStore:
    """An entry host's copy of the items, from which `Configuration` objects are built."""

    def __init__(self, environment: str):
        self.environment = environment
        self.items: Items = {}
        self.current = Configuration()

    def update(self, index: int, items: list[messages.ConfigItem], full: bool) -> Configuration:
        """Take in changed items and return the new configuration.

        An index below the current one is ignored, so that the configuration never reverts.
        """
        if index < self.current.index:
            return self.current
        if full:
            self.items = {}
        for item in items:
            if item.removed:
                self.items.pop(item.key, None)
            else:
                self.items[item.key] = item.value
        if items or full:
            self.current = self._build(index)
        else:
            self.current = msgspec.structs.replace(self.current, index=index)
        return self.current

    def _build(self, index: int) -> Configuration:
        environment = self.environment
        return Configuration(
            index=index,
            revision=self._number(revision_key(environment)),
            document=join_document(environment, self.items),
            out=frozenset(self._named(f"{environment}/out/")),
            roster=self._decoded(f"{environment}/roster/", RosterEntry),
            roster_epoch=self._number(roster_epoch_key(environment)),
            suspects={
                bytes.fromhex(name): value
                for name, value in self._decoded(f"{environment}/suspects/", Suspicion).items()
            },
            members=msgspec.json.decode(self.items.get(MEMBERS_KEY, b"[]"), type=list[Member]),
        )

    def _number(self, key: str) -> int:
        return int(self.items.get(key, b"0"))

    def _named(self, prefix: str) -> list[str]:
        return [key.removeprefix(prefix) for key in self.items if key.startswith(prefix)]

    def _decoded(self, prefix: str, kind: type[typing.Any]) -> dict[str, typing.Any]:
        return {
            key.removeprefix(prefix): msgspec.json.decode(value, type=kind)
            for key, value in self.items.items()
            if key.startswith(prefix)
        }
