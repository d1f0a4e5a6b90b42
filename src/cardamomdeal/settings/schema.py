"""Settings files as operators write them."""

from typing import Annotated
from typing import Literal

import pydantic

from cardamomdeal.internal import address
from cardamomdeal.internal import units


def _parse(value: object) -> address.Address:
    if not isinstance(value, str):
        raise ValueError('write the address as a string, IP:PORT')
    return address.parse_address(value)


Address = Annotated[address.Address, pydantic.BeforeValidator(_parse)]
Name = Annotated[str, pydantic.StringConstraints(pattern=r'^[a-z0-9._-]+$')]
Positive = Annotated[int, pydantic.Field(strict=True, gt=0)]
DEFAULT_KEEP_FOR_MS = 30_000


class ProcessModel(pydantic.BaseModel):
    """Check the fields that every process has."""

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
    """Check the settings of a gateway."""

    agent: Address
    work_classes: Annotated[
        frozenset[Literal['short', 'upload']], pydantic.Field(min_length=1)
    ] = frozenset(('short', 'upload'))
    threads: Annotated[int, pydantic.Field(strict=True, gt=0, le=256)] = 16
    keep_for_ms: Positive = DEFAULT_KEEP_FOR_MS
    # At least peer_timeout_ms of the agents and view_valid_ms of the
    # directories together: until then an address may be handed out.
    notice_ms: Positive = 8_500
    report_interval_ms: Positive = 500
    connect_timeout_ms: Positive = 500
    caller_timeout_ms: Positive = 30_000
    stop_timeout_ms: Positive = 3_600_000


class AgentModel(ProcessModel):
    """Check the settings of an agent."""

    platform: Address
    environment: Name
    seed_peers: tuple[Address, ...] = ()
    gossip_interval_ms: Positive = 1_000
    gossip_fanout: Positive = 3
    store_readers: Positive = 3
    peer_timeout_ms: Positive = 5_000
    watch_ms: Positive = 2_000
    judge_interval_ms: Positive = 1_000
    ejection_validity_ms: Positive = 3_000


class DirectoryModel(ProcessModel):
    """Check the settings of a directory."""

    agent: Address
    keep_for_ms: Positive = DEFAULT_KEEP_FOR_MS
    addresses_per_answer: Positive = 4
    query_interval_ms: Positive = 500
    view_valid_ms: Positive = 3_000


class AdminModel(ProcessModel):
    """Check the settings of an administration API."""

    # One agent of each environment, by the environment's name.
    agents: dict[Literal['trial', 'production'], Address]
    platform: Address
    store_timeout_ms: Positive = 5_000


class BoundsModel(pydantic.BaseModel):
    """Check what the platform asks of the fleet as a whole."""

    model_config = pydantic.ConfigDict(extra='forbid', frozen=True)

    drain: units.DurationMs
    stop_grace: units.DurationMs
    max_keep_for: units.DurationMs
    repeat_ratio: Annotated[float, pydantic.Field(ge=0)]
    repeat_window: units.DurationMs
    repeat_slack: Annotated[float, pydantic.Field(ge=0)]
    capacity_floor: Annotated[float, pydantic.Field(ge=0, le=1)]


class EntryModel(pydantic.BaseModel):
    """Check the settings of an entry host's program."""

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
    # Only the hosts of these count; they are asked at `seeds_port`.
    seeds: tuple[Address, ...] = ()
    seeds_port: Annotated[int, pydantic.Field(gt=0, lt=65_536)] | None = None
    metrics: Address
    store: Address
    bounds: BoundsModel
    statsd: Address | None = None
    log_level: Literal['DEBUG', 'INFO', 'WARNING', 'ERROR'] = 'INFO'
