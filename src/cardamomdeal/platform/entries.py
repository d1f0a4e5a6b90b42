"""Reads and writes the store's entries of servers and entry hosts."""

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


def _parse_address(value: Any) -> address.Address:
    if not isinstance(value, str):
        raise ValueError('an address is a string, IP:PORT')
    return address.parse_address(value)


Address = Annotated[address.Address, pydantic.BeforeValidator(_parse_address)]
StrictName = Annotated[str, pydantic.Field(strict=True, min_length=1)]


class _Entry(pydantic.BaseModel):
    model_config = pydantic.ConfigDict(arbitrary_types_allowed=True)


class ServerInfoModel(_Entry):
    """Check what a backend server is."""

    service: StrictName
    zone: StrictName
    slots: Annotated[int, pydantic.Field(strict=True, ge=1)]


class ServerStatusModel(_Entry):
    """Check what a backend server does just now."""

    state: Literal['ready', 'draining']
    cold_remaining: units.TimeMs = 0


class ServerModel(_Entry):
    """Check a backend server's own entry."""

    address: Address
    # Absent in entries of servers that do not tell when they started.
    born: Annotated[int, pydantic.Field(strict=True, ge=0)] = 0
    info: ServerInfoModel
    status: ServerStatusModel


class HostModel(_Entry):
    """Check an entry host's own entry."""

    started_ms: int
    region: str
    data_centre: str
    callers: Address
    peers: Address


def read_server(
    server_id: str, value: bytes
) -> Result[model.BackendServer, errors.FleetError]:
    """Decode the entry that a backend server wrote."""
    try:
        checked = ServerModel.model_validate_json(value)
    except ValueError as error:
        return Failure(errors.InvalidEntry(f'server {server_id}: {error}'))
    return Success(
        model.BackendServer(
            server_id=server_id,
            born_ms=checked.born,
            service=checked.info.service,
            address=checked.address,
            data_centre=checked.info.zone,
            slots=checked.info.slots,
            state=model.ServerState(checked.status.state),
            # Counted until it works at its full speed, not until it is ready.
            slow_start_ms=checked.status.cold_remaining,
        )
    )


def read_host(
    name: str, value: bytes
) -> Result[model.EntryHost, errors.FleetError]:
    """Decode the entry that an entry host wrote."""
    try:
        checked = HostModel.model_validate_json(value)
    except ValueError as error:
        return Failure(errors.InvalidEntry(f'host {name}: {error}'))
    return Success(
        model.EntryHost(
            name=name,
            started_ms=checked.started_ms,
            region=checked.region,
            data_centre=checked.data_centre,
            callers=checked.callers,
            peers=checked.peers,
        )
    )


def write_host(host: model.EntryHost) -> bytes:
    """Encode an entry host's own entry."""
    return (
        HostModel.model_construct(
            started_ms=host.started_ms,
            region=host.region,
            data_centre=host.data_centre,
            callers=str(host.callers),
            peers=str(host.peers),
        )
        .model_dump_json(warnings=False)
        .encode()
    )
