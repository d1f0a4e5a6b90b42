"""Encoding and decoding of server and entry host entries in the store."""

import re
from typing import Annotated
from typing import Any
from typing import Literal

import pydantic
from returns.result import Failure
from returns.result import Result
from returns.result import Success

from cardamomdeal.fleet import errors
from cardamomdeal.fleet import model
from cardamomdeal.internal import address
from cardamomdeal.internal import units

# Visible characters of ASCII: a server's ID is sent in a header.
_SERVER_ID = re.compile(r'[!-~]{1,200}')
# Larger whole numbers lose digits in other implementations of JSON, and
# messages between hosts carry 64 bits.
MAX_WHOLE_NUMBER = 2**53
MAX_SLOTS = 100_000
MAX_LINK_MBPS = 1e6


def _parse_address(value: Any) -> address.Address:
    if not isinstance(value, str):
        raise ValueError('an address must be a string of the form IP:PORT')
    return address.parse_address(value)


Address = Annotated[address.Address, pydantic.BeforeValidator(_parse_address)]
NonEmptyStr = Annotated[str, pydantic.Field(strict=True, min_length=1)]

WholeNumber = Annotated[
    int, pydantic.Field(strict=True, ge=0, le=MAX_WHOLE_NUMBER)
]


class _EntryModel(pydantic.BaseModel):
    model_config = pydantic.ConfigDict(arbitrary_types_allowed=True)


class ServerInfoModel(_EntryModel):
    """Schema of the fixed properties of a backend server."""

    service: NonEmptyStr
    zone: NonEmptyStr
    slots: Annotated[int, pydantic.Field(strict=True, ge=1, le=MAX_SLOTS)]


class ServerStatusModel(_EntryModel):
    """Schema of the current status of a backend server."""

    state: Literal['ready', 'draining']
    cold_remaining: units.DurationMs = 0


class ServerModel(_EntryModel):
    """Schema of the entry that a backend server writes."""

    address: Address
    # Absent for servers that do not report their start time.
    born: WholeNumber = 0
    info: ServerInfoModel
    status: ServerStatusModel


class HostModel(_EntryModel):
    """Schema of the entry that an entry host writes."""

    started_ms: WholeNumber
    region: str
    data_centre: str
    callers: Address
    peers: Address
    # Absent from the entries of earlier versions.
    link_mbps: Annotated[float, pydantic.Field(ge=0, le=MAX_LINK_MBPS)] = 0.0


def read_server(
    server_id: str, value: bytes
) -> Result[model.BackendServer, errors.FleetError]:
    """Validate and decode the entry of a backend server."""
    if not _SERVER_ID.fullmatch(server_id):
        return Failure(
            errors.InvalidEntry(f'server {server_id!r}: not a valid ID')
        )
    try:
        parsed = ServerModel.model_validate_json(value)
    except ValueError as error:
        return Failure(errors.InvalidEntry(f'server {server_id}: {error}'))
    return Success(
        model.BackendServer(
            server_id=server_id,
            born_ms=parsed.born,
            service=parsed.info.service,
            address=parsed.address,
            data_centre=parsed.info.zone,
            slots=parsed.info.slots,
            state=model.ServerState(parsed.status.state),
            # Time until the server reaches full speed, not until it is ready.
            slow_start_ms=parsed.status.cold_remaining,
        )
    )


def read_host(
    name: str, value: bytes
) -> Result[model.EntryHost, errors.FleetError]:
    """Validate and decode the entry of an entry host."""
    try:
        parsed = HostModel.model_validate_json(value)
    except ValueError as error:
        return Failure(errors.InvalidEntry(f'host {name}: {error}'))
    return Success(
        model.EntryHost(
            name=name,
            started_ms=parsed.started_ms,
            region=parsed.region,
            data_centre=parsed.data_centre,
            callers=parsed.callers,
            peers=parsed.peers,
            link_mbps=parsed.link_mbps,
        )
    )


def write_host(host: model.EntryHost) -> bytes:
    """Encode the entry of an entry host."""
    return (
        HostModel.model_construct(
            started_ms=host.started_ms,
            region=host.region,
            data_centre=host.data_centre,
            callers=str(host.callers),
            peers=str(host.peers),
            link_mbps=host.link_mbps,
        )
        .model_dump_json(warnings=False)
        .encode()
    )
