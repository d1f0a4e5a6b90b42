"""Immutable data classes for the settings of each process."""

import dataclasses

from cardamomdeal.internal import address


@dataclasses.dataclass(frozen=True, slots=True)
class Place:
    """Location of a process."""

    host: str
    region: str
    data_centre: str


@dataclasses.dataclass(frozen=True, slots=True)
class Telemetry:
    """Address of the statsd server and the log level."""

    statsd: address.Address | None
    log_level: str


@dataclasses.dataclass(frozen=True, slots=True)
class GatewaySettings:
    """Settings of a gateway process."""

    name: str
    place: Place
    telemetry: Telemetry
    listen: address.Address
    agent: address.Address
    work_classes: frozenset[str]
    threads: int
    keep_for_ms: int
    notice_ms: int
    report_interval_ms: int
    connect_timeout_ms: int
    caller_timeout_ms: int
    stop_timeout_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class AgentSettings:
    """Settings of an agent process."""

    name: str
    place: Place
    telemetry: Telemetry
    listen: address.Address
    platform: address.Address
    environment: str
    seed_peers: tuple[address.Address, ...]
    gossip_interval_ms: int
    gossip_fanout: int
    store_readers: int
    peer_timeout_ms: int
    watch_ms: int
    judge_interval_ms: int
    ejection_validity_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class DirectorySettings:
    """Settings of a directory process."""

    name: str
    place: Place
    telemetry: Telemetry
    listen: address.Address
    agent: address.Address
    keep_for_ms: int
    addresses_per_answer: int
    query_interval_ms: int
    view_valid_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class AdminSettings:
    """Settings of an administration API process."""

    name: str
    place: Place
    telemetry: Telemetry
    listen: address.Address
    agents: dict[str, address.Address]
    platform: address.Address
    store_timeout_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class Bounds:
    """Limits that the platform sets for the fleet as a whole."""

    # Time within which a leaving server must stop receiving requests.
    drain_ms: int
    # Time from SIGTERM to SIGKILL.
    stop_grace_ms: int
    # Longest time for which callers may cache a directory's response.
    max_keep_for_ms: int
    # Retry budget of all hosts together: retries allowed per request, the
    # sliding window in which both are counted, and retries allowed on top.
    repeat_ratio: float
    repeat_window_ms: int
    repeat_slack: float
    # Share of a service's healthy servers that must stay in use.
    capacity_floor: float
    # Whether a request with a key may run only while it is proved that the
    # key was valid within `revoke_ms`.
    fail_closed: bool = False
    revoke_ms: int | None = None
    # Quotas hold over this sliding window, with a share and a number of
    # requests allowed on top.
    quota_window_ms: int | None = None
    quota_overage: float = 0.0
    quota_slack: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class EntrySettings:
    """Settings of an entry host."""

    name: str
    place: Place
    telemetry: Telemetry
    callers: address.Address
    readiness: address.Address
    directory: address.Address
    peers: address.Address
    # Hosts to request the view from when the store does not respond.
    seeds: tuple[address.Address, ...]
    metrics: address.Address
    store: address.Address
    # Bandwidth of the host's link; 0 if unknown.
    link_mbps: float
    # Memory above which the process is killed.
    memory_mb: int
    # Interval at which backend servers renew their entries in the store.
    heartbeat_ms: int
    bounds: Bounds
    # Whether requests wait or are refused while their service has no room.
    admission_control: bool = False


# Read only at start-up: addresses to listen on and published identity.
_RESTART_ONLY_FIELDS = (
    'name',
    'place',
    'callers',
    'readiness',
    'directory',
    'peers',
    'metrics',
    'link_mbps',
    'memory_mb',
    'heartbeat_ms',
)


def changed_restart_only_fields(
    old: EntrySettings, new: EntrySettings
) -> tuple[str, ...]:
    """Return the changed fields that take effect only after a restart."""
    return tuple(
        name
        for name in _RESTART_ONLY_FIELDS
        if getattr(old, name) != getattr(new, name)
    )
