"""Validated models of the settings files that operators write."""

from typing import Annotated
from typing import Literal

import pydantic

from cardamomdeal.internal import address
from cardamomdeal.internal import units


def _parse_address(value: object) -> address.Address:
    if not isinstance(value, str):
        raise ValueError('address must be a string of the form IP:PORT')
    return address.parse_address(value)


Address = Annotated[address.Address, pydantic.BeforeValidator(_parse_address)]
Name = Annotated[str, pydantic.StringConstraints(pattern=r'^[a-z0-9._-]+$')]
PositiveInt = Annotated[int, pydantic.Field(strict=True, gt=0)]
DEFAULT_KEEP_FOR_MS = 30_000
DEFAULT_HEARTBEAT_MS = 1_500
DEFAULT_MEMORY_MB = 300


class ProcessModel(pydantic.BaseModel):
    """Fields common to the settings of several processes."""

    model_config = pydantic.ConfigDict(
        extra='forbid', frozen=True, arbitrary_types_allowed=True
    )

    name: Name
    host: Name
    region: Name
    data_centre: Name
    listen: Address
    statsd: Address | None = None
    log_level: Literal['DEBUG', 'INFO', 'WARNING', 'ERROR'] = 'INFO'


class GatewayModel(ProcessModel):
    """Settings file of a gateway."""

    agent: Address
    work_classes: Annotated[
        frozenset[Literal['short', 'upload']], pydantic.Field(min_length=1)
    ] = frozenset(('short', 'upload'))
    threads: Annotated[int, pydantic.Field(strict=True, gt=0, le=256)] = 16
    keep_for_ms: PositiveInt = DEFAULT_KEEP_FOR_MS
    # At least the agents' peer_timeout_ms plus the directories'
    # view_valid_ms: for that long, directories may still return the address
    # of a stopping gateway.
    notice_ms: PositiveInt = 8_500
    report_interval_ms: PositiveInt = 500
    connect_timeout_ms: PositiveInt = 500
    caller_timeout_ms: PositiveInt = 30_000
    stop_timeout_ms: PositiveInt = 3_600_000


class AgentModel(ProcessModel):
    """Settings file of an agent."""

    platform: Address
    environment: Name
    seed_peers: tuple[Address, ...] = ()
    gossip_interval_ms: PositiveInt = 1_000
    gossip_fanout: PositiveInt = 3
    store_readers: PositiveInt = 3
    peer_timeout_ms: PositiveInt = 5_000
    watch_ms: PositiveInt = 2_000
    judge_interval_ms: PositiveInt = 1_000
    ejection_validity_ms: PositiveInt = 3_000


class DirectoryModel(ProcessModel):
    """Settings file of a directory."""

    agent: Address
    keep_for_ms: PositiveInt = DEFAULT_KEEP_FOR_MS
    addresses_per_answer: PositiveInt = 4
    query_interval_ms: PositiveInt = 500
    view_valid_ms: PositiveInt = 3_000


class AdminModel(ProcessModel):
    """Settings file of an administration API."""

    # Address of one agent for each environment.
    agents: dict[Literal['trial', 'production'], Address]
    platform: Address
    store_timeout_ms: PositiveInt = 5_000


class BoundsModel(pydantic.BaseModel):
    """Limits that the platform sets for the fleet as a whole."""

    model_config = pydantic.ConfigDict(extra='forbid', frozen=True)

    drain: units.DurationMs
    stop_grace: units.DurationMs
    max_keep_for: units.DurationMs
    repeat_ratio: Annotated[float, pydantic.Field(ge=0)]
    repeat_window: units.DurationMs
    repeat_slack: Annotated[float, pydantic.Field(ge=0)]
    capacity_floor: Annotated[float, pydantic.Field(ge=0, le=1)]
    fail_closed: bool = False
    revoke: units.DurationMs | None = None
    quota_window: units.DurationMs | None = None
    quota_overage: Annotated[float, pydantic.Field(ge=0)] = 0.0
    quota_slack: Annotated[float, pydantic.Field(ge=0)] = 0.0

    @pydantic.model_validator(mode='after')
    def _check_revoke(self) -> 'BoundsModel':
        if self.fail_closed and self.revoke is None:
            raise ValueError('fail_closed needs revoke, a duration')
        return self


class EntryModel(pydantic.BaseModel):
    """Settings file of an entry host."""

    model_config = pydantic.ConfigDict(
        extra='forbid', frozen=True, arbitrary_types_allowed=True
    )

    host: str
    region: str
    data_centre: str
    callers: Address
    readiness: Address
    directory: Address
    peers: Address
    # If `seeds_port` is set, it replaces the ports of these addresses.
    seeds: tuple[Address, ...] = ()
    seeds_port: Annotated[int, pydantic.Field(gt=0, lt=65_536)] | None = None
    metrics: Address
    store: Address
    # Bandwidth of the host's link. Hosts with the fastest links read the store
    # on behalf of all.
    link_mbps: Annotated[float, pydantic.Field(ge=0)] = 0.0
    # Memory above which the process is killed.
    memory_mb: Annotated[int, pydantic.Field(strict=True, ge=100)] = (
        DEFAULT_MEMORY_MB
    )
    # Interval at which backend servers renew their entries in the store.
    heartbeat: units.DurationMs = DEFAULT_HEARTBEAT_MS
    bounds: BoundsModel
    # Let requests wait, or refuse them, while their service has no room.
    admission_control: bool = False
    statsd: Address | None = None
    log_level: Literal['DEBUG', 'INFO', 'WARNING', 'ERROR'] = 'INFO'
