"""Host settings: one TOML file for each process, checked before the process starts."""

import pathlib
import typing

import msgspec
import result

from ebonywheel import exceptions

PositiveSeconds = typing.Annotated[float, msgspec.Meta(gt=0)]
Count = typing.Annotated[int, msgspec.Meta(ge=1)]
Name = typing.Annotated[str, msgspec.Meta(pattern=r"^[a-z0-9][a-z0-9_.-]{0,62}\Z")]
Address = typing.Annotated[str, msgspec.Meta(pattern=r"^\d{1,3}(\.\d{1,3}){3}:\d{1,5}\Z")]
Secret = typing.Annotated[str, msgspec.Meta(min_length=16)]

MIN_SECRET_CHARS = 16
BYTES_PER_MB = 1_000_000


class HostSettings(msgspec.Struct, forbid_unknown_fields=True):
    """Identity, addresses and logging of a host.

    Attributes:
        name: Unique host name.
        data_centre: Data centre of the host.
        link: ``ip:port`` at which other processes of the system reach this one.
        http: ``ip:port`` for callers, backend servers, the balancer and /metrics.
        secret_file: File with the secret that the system's processes share.
        log_level: Lowest level of the log lines that are written.
        max_loop_held_ms: A task that holds the event loop for longer is logged.
        memory_mb: Memory that this process may use, in megabytes; None for the machine's.
        max_descriptors: Files and sockets that it may open; None for the limit of the system.
    """

    name: Name
    data_centre: Name
    link: Address
    http: Address
    secret_file: str
    log_level: typing.Literal["DEBUG", "INFO", "WARNING", "ERROR"] = "INFO"
    max_loop_held_ms: typing.Annotated[float, msgspec.Meta(gt=0)] = 100.0
    memory_mb: typing.Annotated[float, msgspec.Meta(gt=0)] | None = None
    max_descriptors: Count | None = None

    @property
    def memory_bytes(self) -> int | None:
        """Memory that this process may use, in bytes; None for the machine's."""
        return None if self.memory_mb is None else int(self.memory_mb * BYTES_PER_MB)


class Peer(msgspec.Struct, forbid_unknown_fields=True):
    """Name, data centre and link address of a control host."""

    name: Name
    data_centre: Name
    link: Address


class EntrySettings(msgspec.Struct, forbid_unknown_fields=True):
    """Settings of ``ebonywheel-entry``.

    Attributes:
        environment: Environment that this entry host serves.
        control: Control hosts; those in the same data centre are asked first.
        server_secret_file: File with the secret with which backend servers announce themselves.
        policy: Name of the routing policy plug-in.
        drain_limit_s: Maximum duration of a drain, or None to wait for every stream and call.
        drain_grace_s: How long to keep accepting requests after reporting not ready.
        max_body_bytes: Maximum size of a request body.
        max_waiting: Maximum number of requests that wait for a slot.
        link_delay_ms: One-way delay added to each link, to measure slow links on one host.
    """

    host: HostSettings
    environment: Name
    control: typing.Annotated[list[Peer], msgspec.Meta(min_length=1)]
    server_secret_file: str
    policy: str = "length_aware"
    drain_limit_s: PositiveSeconds | None = None
    drain_grace_s: typing.Annotated[float, msgspec.Meta(ge=0)] = 3.0
    max_body_bytes: Count = 1024 * 1024
    max_waiting: Count = 1000
    link_delay_ms: typing.Annotated[float, msgspec.Meta(ge=0)] = 0.0


class RolloutSettings(msgspec.Struct, forbid_unknown_fields=True):
    """What callers bear of a version of a service that may turn out bad.

    Attributes:
        exposure_share: Share of the service's requests that the version may get from the order to
            the deadline of a roll-out before it is proved, over all entry hosts together.
        exposure_slack: Further requests that it may get in that time.
        rollback_s: Time after its fiftieth bad answer from which it gets no requests.
    """

    exposure_share: typing.Annotated[float, msgspec.Meta(ge=0, le=1)] = 0.1
    exposure_slack: typing.Annotated[float, msgspec.Meta(ge=0)] = 50.0
    rollback_s: PositiveSeconds = 5.0


class ControlSettings(msgspec.Struct, forbid_unknown_fields=True):
    """Settings of ``ebonywheel-control``.

    Attributes:
        data_folder: Folder for all durable state.
        peers: All control hosts that start the cluster, including this one.
        operators: SHA-256 of each operator's token, by operator name.
        join: Whether this host joins a running cluster as a learner.
        membership: ``automatic`` if control hosts join, become voters and are replaced without an
            operator.
        snapshot_entries: Number of log entries after which a snapshot is taken.
        election_timeout_s: Minimum time without a heartbeat before an election.
        lease_s: Duration of an entry host's lease.
        key_horizon_s: How long the outcomes of non-repeatable calls are kept.
        quarantine_s: How long a poison request stays quarantined.
        link_delay_ms: One-way delay added to each link, to measure slow links on one host.
        rollout: Bounds of roll-outs.
    """

    host: HostSettings
    data_folder: str
    peers: typing.Annotated[list[Peer], msgspec.Meta(min_length=1)]
    operators: dict[Name, str] = {}
    join: bool = False
    membership: typing.Literal["manual", "automatic"] = "manual"
    snapshot_entries: Count = 2000
    election_timeout_s: PositiveSeconds = 1.0
    lease_s: PositiveSeconds = 3.0
    key_horizon_s: PositiveSeconds = 86_400.0
    quarantine_s: PositiveSeconds = 3600.0
    link_delay_ms: typing.Annotated[float, msgspec.Meta(ge=0)] = 0.0
    rollout: RolloutSettings = msgspec.field(default_factory=RolloutSettings)


class OperatorSettings(msgspec.Struct, forbid_unknown_fields=True):
    """Settings of the operators' command line.

    Attributes:
        operator: Name of the operator, as in the control hosts' settings.
        token_file: File with the operator's token.
        control: HTTP addresses of control hosts.
        timeout_s: How long to wait for an answer before reporting the outcome as unknown.
    """

    operator: Name
    token_file: str
    control: typing.Annotated[list[Address], msgspec.Meta(min_length=1)]
    timeout_s: PositiveSeconds = 10.0


Settings = typing.TypeVar("Settings", bound=msgspec.Struct)


def load(
    path: str, settings_type: type[Settings]
) -> result.Result[Settings, exceptions.SettingsError]:
    """Read and check a settings file.

    Args:
        path: The TOML file.
        settings_type: Settings class of the program.
    """
    try:
        content = pathlib.Path(path).read_bytes()
    except OSError as error:
        return result.Err(exceptions.SettingsError(error.strerror or "", "read settings", path))
    try:
        loaded = msgspec.toml.decode(content, type=settings_type)
    except (msgspec.ValidationError, msgspec.DecodeError) as error:
        return result.Err(exceptions.SettingsError(str(error), "check settings", path))
    return result.Ok(loaded)


def read_secret(path: str) -> bytes:
    """Read a secret from a file and strip surrounding white space.

    Raises:
        SettingsError: The file is unreadable or the secret is too short.
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
    """Split ``ip:port`` into its two parts.

    Raises:
        ValueError: There is no port, or it is not a decimal number.
    """
    ip, _, port = address.rpartition(":")
    if not (port.isascii() and port.isdecimal()):
        raise ValueError(f"address {address!r} has no port")
    return ip, int(port)
