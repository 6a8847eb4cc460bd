"""The configuration in force, cut into keyed items so that only differences travel."""

import typing

import msgspec

from ebonywheel import documents, messages

DOCUMENT_SECTIONS = ("regions", "engines", "services", "priorities", "customers")
# Tables of a document that are one item each.
DOCUMENT_TABLES = ("retries", "weights")
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
    for table in DOCUMENT_TABLES:
        value = getattr(content, table)
        items[f"{environment}/document/{table}/{table}"] = msgspec.json.encode(value)
    return items


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
    """An entry host's copy of the configuration, kept up to date by differences."""

    def __init__(self, environment: str):
        self.environment = environment
        self.current = Configuration()

    def update(self, index: int, items: list[messages.ConfigItem], full: bool) -> Configuration:
        """Take in changed items and return the new configuration.

        Nothing changes when an item cannot be understood. An index below the current one is
        ignored, so that the configuration never reverts.

        Raises:
            msgspec.ValidationError: An item has unknown content, such as a newer version's.
        """
        if index < self.current.index:
            return self.current
        change = _Change(Configuration() if full else self.current, index)
        for item in items:
            if item.key == MEMBERS_KEY:
                change.set_members(item)
            elif item.key.startswith(f"{self.environment}/"):
                change.take(item.key.removeprefix(f"{self.environment}/"), item)
        self.current = change.finish(self.environment)
        return self.current


class _Change:
    """Builds a configuration from an earlier one, copying only the tables that change."""

    def __init__(self, before: Configuration, index: int):
        self.next = msgspec.structs.replace(before, index=index)
        self.copied: dict[str, dict[typing.Any, typing.Any]] = {}
        self.sections: dict[str, dict[str, typing.Any]] = {}
        self.tables: dict[str, typing.Any] = {}

    def take(self, key: str, item: messages.ConfigItem) -> None:
        """Take in one item by its key within the environment; unknown keys are left out."""
        kind, _, name = key.partition("/")
        match kind:
            case "document":
                self._take_document(name, item)
            case "revision":
                self.next.revision = int(item.value or b"0")
            case "roster-epoch":
                self.next.roster_epoch = int(item.value or b"0")
            case "out" if item.removed:
                self.next.out -= {name}
            case "out":
                self.next.out |= {name}
            case "roster":
                _set(self._copied("roster"), name, item, RosterEntry)
            case "suspects":
                _set(self._copied("suspects"), bytes.fromhex(name), item, Suspicion)

    def set_members(self, item: messages.ConfigItem) -> None:
        """Take in the list of control hosts."""
        self.next.members = msgspec.json.decode(item.value or b"[]", type=list[Member])

    def finish(self, environment: str) -> Configuration:
        """Return the new configuration."""
        changed = self.sections | self.tables
        if changed and self.next.document is None:
            complete = {section: {} for section in DOCUMENT_SECTIONS} | changed
            self.next.document = documents.Document(environment=environment, **complete)
        elif changed:
            self.next.document = msgspec.structs.replace(self.next.document, **changed)
        return self.next

    def _copied(self, table: str) -> dict[typing.Any, typing.Any]:
        if table not in self.copied:
            self.copied[table] = dict(getattr(self.next, table))
            setattr(self.next, table, self.copied[table])
        return self.copied[table]

    def _take_document(self, place: str, item: messages.ConfigItem) -> None:
        part, _, name = place.partition("/")
        if part in DOCUMENT_TABLES and not item.removed:
            self.tables[part] = msgspec.json.decode(item.value, type=_DOCUMENT_TYPES[part])
        elif part in DOCUMENT_SECTIONS:
            if part not in self.sections:
                document = self.next.document
                self.sections[part] = {} if document is None else dict(getattr(document, part))
            _set(self.sections[part], name, item, _DOCUMENT_TYPES[part])


def _set(
    table: dict[typing.Any, typing.Any],
    name: str | bytes,
    item: messages.ConfigItem,
    kind: type[typing.Any],
) -> None:
    if item.removed:
        table.pop(name, None)
    else:
        table[name] = msgspec.json.decode(item.value, type=kind)


def document_types() -> dict[str, typing.Any]:
    """Return the type of a section's entries, and of each table, by name."""
    hints = typing.get_type_hints(documents.Document, include_extras=True)
    types = {table: hints[table] for table in DOCUMENT_TABLES}
    for section in DOCUMENT_SECTIONS:
        types[section] = typing.get_args(hints[section])[1]
    return types


_DOCUMENT_TYPES = document_types()
