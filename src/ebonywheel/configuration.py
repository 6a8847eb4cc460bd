"""The configuration in force, split into keyed items so that only changed items are sent."""

import typing

import msgspec

from ebonywheel import documents, messages

DOCUMENT_SECTIONS = ("regions", "engines", "services", "priorities", "customers")
# Tables of a document that are sent as one item each.
DOCUMENT_TABLES = ("retries", "weights")
MEMBERS_KEY = "control/members"

Items = dict[str, bytes]


class RosterEntry(msgspec.Struct, frozen=True):
    """An entry host that has, or recently had, a lease."""

    host: str
    incarnation: int
    data_centre: str
    address: str


class Suspicion(msgspec.Struct, frozen=True):
    """A request that was in flight when backend servers died.

    Attributes:
        customer: Customer that sent the request.
        deaths: Number of backend servers that died while it was in flight.
        quarantined: Whether it is refused.
        until_ms: Replicated time at which the suspicion ends.
    """

    customer: str
    deaths: int = 1
    quarantined: bool = False
    until_ms: int = 0


class Member(msgspec.Struct, frozen=True):
    """A control host.

    Attributes:
        member: Identifier bound to its data folder.
        voter: Whether it votes, which a learner does not.
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
        document: The environment document, or None when there is none.
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
    """Split a document into items, one for each named entry and each table."""
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
    """Return the key that is present while a data centre is out of service."""
    return f"{environment}/out/{data_centre}"


def roster_key(environment: str, host: str) -> str:
    """Return the key of an entry host's roster entry."""
    return f"{environment}/roster/{host}"


def roster_epoch_key(environment: str) -> str:
    """Return the key of the log index of the last roster change."""
    return f"{environment}/roster-epoch"


def suspect_key(environment: str, fingerprint: bytes) -> str:
    """Return the key of a suspicion."""
    return f"{environment}/suspects/{fingerprint.hex()}"


def is_for_environment(key: str, environment: str) -> bool:
    """Return whether an entry host of the environment needs the item."""
    return key.startswith((f"{environment}/", "control/"))


class ConfigurationStore:
    """An entry host's copy of the configuration, updated by changed items."""

    def __init__(self, environment: str):
        self.environment = environment
        self.current = Configuration()

    def update(self, index: int, items: list[messages.ConfigItem], full: bool) -> Configuration:
        """Apply changed items and return the new configuration.

        Nothing changes when an item cannot be decoded. An index below the current one is ignored,
        so that the configuration never reverts.

        Args:
            index: Log index up to which the new configuration is complete.
            items: The changed items.
            full: Whether the items replace the whole configuration.

        Raises:
            msgspec.ValidationError: An item has unknown content, such as that of a newer version.
        """
        if index < self.current.index:
            return self.current
        builder = _ConfigurationBuilder(Configuration() if full else self.current, index)
        for item in items:
            if item.key == MEMBERS_KEY:
                builder.set_members(item)
            elif item.key.startswith(f"{self.environment}/"):
                builder.apply(item.key.removeprefix(f"{self.environment}/"), item)
        self.current = builder.build(self.environment)
        return self.current


class _ConfigurationBuilder:
    """Builds a configuration from an earlier one, copying only the tables that change."""

    def __init__(self, base: Configuration, index: int):
        self.updated = msgspec.structs.replace(base, index=index)
        self.copied_tables: dict[str, dict[typing.Any, typing.Any]] = {}
        self.changed_sections: dict[str, dict[str, typing.Any]] = {}
        self.changed_tables: dict[str, typing.Any] = {}

    def apply(self, key: str, item: messages.ConfigItem) -> None:
        """Apply one item by its key within the environment; ignore unknown keys."""
        kind, _, name = key.partition("/")
        match kind:
            case "document":
                self._apply_document_item(name, item)
            case "revision":
                self.updated.revision = int(item.value or b"0")
            case "roster-epoch":
                self.updated.roster_epoch = int(item.value or b"0")
            case "out" if item.removed:
                self.updated.out -= {name}
            case "out":
                self.updated.out |= {name}
            case "roster":
                _set_or_remove(self._copied_table("roster"), name, item, RosterEntry)
            case "suspects":
                _set_or_remove(self._copied_table("suspects"), bytes.fromhex(name), item, Suspicion)

    def set_members(self, item: messages.ConfigItem) -> None:
        """Set the list of control hosts."""
        self.updated.members = msgspec.json.decode(item.value or b"[]", type=list[Member])

    def build(self, environment: str) -> Configuration:
        """Return the new configuration."""
        changed = self.changed_sections | self.changed_tables
        if changed and self.updated.document is None:
            fields = {section: {} for section in DOCUMENT_SECTIONS} | changed
            self.updated.document = documents.Document(environment=environment, **fields)
        elif changed:
            self.updated.document = msgspec.structs.replace(self.updated.document, **changed)
        return self.updated

    def _copied_table(self, table: str) -> dict[typing.Any, typing.Any]:
        if table not in self.copied_tables:
            self.copied_tables[table] = dict(getattr(self.updated, table))
            setattr(self.updated, table, self.copied_tables[table])
        return self.copied_tables[table]

    def _apply_document_item(self, key: str, item: messages.ConfigItem) -> None:
        section, _, name = key.partition("/")
        if section in DOCUMENT_TABLES and not item.removed:
            self.changed_tables[section] = msgspec.json.decode(
                item.value, type=_DOCUMENT_TYPES[section]
            )
        elif section in DOCUMENT_SECTIONS:
            if section not in self.changed_sections:
                document = self.updated.document
                self.changed_sections[section] = (
                    {} if document is None else dict(getattr(document, section))
                )
            _set_or_remove(self.changed_sections[section], name, item, _DOCUMENT_TYPES[section])


def _set_or_remove(
    table: dict[typing.Any, typing.Any],
    name: str | bytes,
    item: messages.ConfigItem,
    entry_type: type[typing.Any],
) -> None:
    if item.removed:
        table.pop(name, None)
    else:
        table[name] = msgspec.json.decode(item.value, type=entry_type)


def document_types() -> dict[str, typing.Any]:
    """Return the entry type of each section and the type of each table, by name."""
    hints = typing.get_type_hints(documents.Document, include_extras=True)
    types = {table: hints[table] for table in DOCUMENT_TABLES}
    for section in DOCUMENT_SECTIONS:
        types[section] = typing.get_args(hints[section])[1]
    return types


_DOCUMENT_TYPES = document_types()
