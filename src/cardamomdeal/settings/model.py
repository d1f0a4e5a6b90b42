"""Settings of each process as immutable data."""

import dataclasses

from cardamomdeal.internal import address


@dataclasses.dataclass(frozen=True, slots=True)
class Place:
    """Say where a process runs."""

    host: str
    region: str
    data_centre: str


@dataclasses.dataclass(frozen=True, slots=True)
class Telemetry:
    """Say where metrics go and how much is logged."""

    statsd: address.Address | None
    log_level: str


@dataclasses.dataclass(frozen=True, slots=True)
class GatewaySettings:
    """Configure a gateway process."""

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
    """Configure an agent process."""

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
    """Configure a directory process."""

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
    """Configure an administration API process."""

    name: str
    place: Place
    telemetry: Telemetry
    listen: address.Address
    agents: dict[str, address.Address]
    platform: address.Address
    store_timeout_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class Bounds:
    """Hold what the platform asks of the fleet as a whole."""

    # Time within which a leaving server gets no more work.
    drain_ms: int
    # Time from SIGTERM to SIGKILL.
    stop_grace_ms: int
    # Callers keep a directory's answer for no longer than this.
    max_keep_for_ms: int
    # Repeats allowed for each request, over a sliding window, and the
    # repeats that are allowed beyond that share; both for all hosts.
    repeat_ratio: float
    repeat_window_ms: int
    repeat_slack: float
    # Share of a service's sound servers that must stay in use.
    capacity_floor: float


@dataclasses.dataclass(frozen=True, slots=True)
class EntrySettings:
    """Configure the program of an entry host."""

    name: str
    place: Place
    telemetry: Telemetry
    callers: address.Address
    readiness: address.Address
    directory: address.Address
    peers: address.Address
    # Hosts that may tell what the store said when it does not answer.
    seeds: tuple[address.Address, ...]
    metrics: address.Address
    store: address.Address
    bounds: Bounds


# A process listens and publishes itself under these from its start on.
_FIXED_FIELDS = (
    'name',
    'place',
    'callers',
    'readiness',
    'directory',
    'peers',
    'metrics',
)


def fixed_fields_changed(
    old: EntrySettings, new: EntrySettings
) -> tuple[str, ...]:
    """Name the changed fields that only a new start puts in force."""
    return tuple(
        name
        for name in _FIXED_FIELDS
        if getattr(old, name) != getattr(new, name)
    )
