"""Host settings: one TOML file for each process, checked before anything starts."""

import pathlib
import typing

import msgspec
import result

from ebonywheel import exceptions

Positive = typing.Annotated[float, msgspec.Meta(gt=0)]
Count = typing.Annotated[int, msgspec.Meta(ge=1)]
Name = typing.Annotated[str, msgspec.Meta(pattern=r"^[a-z0-9][a-z0-9_.-]{0,62}\Z")]
Address = typing.Annotated[str, msgspec.Meta(pattern=r"^\d{1,3}(\.\d{1,3}){3}:\d{1,5}\Z")]
Secret = typing.Annotated[str, msgspec.Meta(min_length=16)]

MIN_SECRET_CHARS = 16


class HostSettings(msgspec.Struct, forbid_unknown_fields=True):
    """Identity of the host.

    Attributes:
        name: Unique host name.
        data_centre: Data centre the host stands in.
        link: ``ip:port`` at which other processes of the system reach this one.
        http: ``ip:port`` for callers, backend servers, the balancer and /metrics.
        secret_file: File with the secret that the system's processes share.
        log_level: Least level of log lines.
    """

    name: Name
    data_centre: Name
    link: Address
    http: Address
    secret_file: str
    log_level: typing.Literal["DEBUG", "INFO", "WARNING", "ERROR"] = "INFO"


class Peer(msgspec.Struct, forbid_unknown_fields=True):
    """Another process of the system."""

    name: Name
    data_centre: Name
    link: Address


class EntrySettings(msgspec.Struct, forbid_unknown_fields=True):
    """Settings of ``ebonywheel-entry``.

    Attributes:
        environment: Environment that this entry host serves.
        control: Control hosts; those of the own data centre are asked first.
        server_secret_file: File with the secret that backend servers announce themselves with.
        policy: Routing policy plug-in.
        drain_limit_s: Longest drain, or None to wait for every stream and call.
        drain_grace_s: Time to go on accepting after reporting not ready.
        max_body_bytes: Largest request body.
        max_waiting: Most requests waiting for a slot.
        link_delay_ms: One-way delay added to each link, to measure slow links on one machine.
    """

    host: HostSettings
    environment: Name
    control: typing.Annotated[list[Peer], msgspec.Meta(min_length=1)]
    server_secret_file: str
    policy: str = "length_aware"
    drain_limit_s: Positive | None = None
    drain_grace_s: typing.Annotated[float, msgspec.Meta(ge=0)] = 3.0
    max_body_bytes: Count = 1024 * 1024
    max_waiting: Count = 1000
    link_delay_ms: typing.Annotated[float, msgspec.Meta(ge=0)] = 0.0


class ControlSettings(msgspec.Struct, forbid_unknown_fields=True):
    """Settings of ``ebonywheel-control``.

    Attributes:
        data_folder: The one folder for durable state.
        peers: All control hosts that start the cluster, this one included.
        operators: Names of operators and the SHA-256 of each one's token.
        join: True when this host joins a running cluster as a learner.
        membership: ``automatic`` when control hosts join, vote and are replaced by themselves.
        snapshot_entries: Log entries after which a snapshot is taken.
        election_timeout_s: Shortest time without a heartbeat before an election.
        lease_s: Length of an entry host's lease.
        key_horizon_s: How long outcomes of calls that may not repeat are kept.
        quarantine_s: How long a poison request stays quarantined.
        link_delay_ms: One-way delay added to each link, to measure slow links on one machine.
    """

    host: HostSettings
    data_folder: str
    peers: typing.Annotated[list[Peer], msgspec.Meta(min_length=1)]
    operators: dict[Name, str] = {}
    join: bool = False
    membership: typing.Literal["manual", "automatic"] = "manual"
    snapshot_entries: Count = 2000
    election_timeout_s: Positive = 1.0
    lease_s: Positive = 3.0
    key_horizon_s: Positive = 86_400.0
    quarantine_s: Positive = 3600.0
    link_delay_ms: typing.Annotated[float, msgspec.Meta(ge=0)] = 0.0


class OperatorSettings(msgspec.Struct, forbid_unknown_fields=True):
    """Settings of the operators' command line.

    Attributes:
        operator: Name of the operator, as in the control hosts' settings.
        token_file: File with the operator's token.
        control: HTTP addresses of control hosts.
        timeout_s: How long to wait for an answer before calling it unknown.
    """

    operator: Name
    token_file: str
    control: typing.Annotated[list[Address], msgspec.Meta(min_length=1)]
    timeout_s: Positive = 10.0


Settings = typing.TypeVar("Settings", bound=msgspec.Struct)


def load(path: str, kind: type[Settings]) -> result.Result[Settings, exceptions.SettingsError]:
    """Read and check a settings file.

    Args:
        path: The TOML file.
        kind: Settings class of the program.
    """
    try:
        content = pathlib.Path(path).read_bytes()
    except OSError as error:
        return result.Err(exceptions.SettingsError(error.strerror or "", "read settings", path))
    try:
        loaded = msgspec.toml.decode(content, type=kind)
    except (msgspec.ValidationError, msgspec.DecodeError) as error:
        return result.Err(exceptions.SettingsError(str(error), "check settings", path))
    return result.Ok(loaded)


def read_secret(path: str) -> bytes:
    """Read a secret from its file, without surrounding white space.

    Raises:
        SettingsError: The file is unreadable or the secret too short.
    """
    try:
        secret = pathlib.Path(path).read_bytes().strip()
    except OSError as error:
        raise exceptions.SettingsError(error.strerror or "", "read secret", path) from error
    if len(secret) < MIN_SECRET_CHARS:
        raise exceptions.SettingsError(
            f"secret shorter than {MIN_SECRET_CHARS} characters", "read secret", path
        )
    return secret


def split_address(address: str) -> tuple[str, int]:
    """Split ``ip:port``."""
    host, _, port = address.rpartition(":")
    return host, int(port)
