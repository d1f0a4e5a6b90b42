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
