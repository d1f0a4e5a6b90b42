"""Ejection permits, which keep each service above its capacity floor.

All permits of a service are stored in one record that is only changed by
compare-and-swap. A server counts as ejected as long as the record contains
its permit, regardless of the holder, so the ejections of all hosts together
never take a service below its floor.
"""

import dataclasses
import json

import pydantic
from returns.result import Failure
from returns.result import Result
from returns.result import Success

from cardamomdeal.document import model
from cardamomdeal.health import errors
from cardamomdeal.protocol import messages


@dataclasses.dataclass(frozen=True, slots=True)
class Permit:
    """Right of one process to eject one server."""

    server: str
    holder: messages.Incarnation


@dataclasses.dataclass(frozen=True, slots=True)
class PermitRecord:
    """All permits of one service."""

    permits: tuple[Permit, ...] = ()

    def find(self, server: str) -> Permit | None:
        """Return the permit for a server, if there is one."""
        for permit in self.permits:
            if permit.server == server:
                return permit
        return None

    def held_by(self, holder: messages.Incarnation) -> frozenset[str]:
        """Return the servers that a holder has permits for."""
        return frozenset(
            permit.server for permit in self.permits if permit.holder == holder
        )

    def without(self, removed: frozenset[Permit]) -> 'PermitRecord':
        """Return a copy of the record without the removed permits."""
        return PermitRecord(
            tuple(permit for permit in self.permits if permit not in removed)
        )


@dataclasses.dataclass(frozen=True, slots=True)
class Capacity:
    """Slots of the servers of a service, and its capacity floor."""

    floor_slots: int
    slots: dict[str, int]
    unavailable: frozenset[str]

    @classmethod
    def from_document(
        cls,
        document: model.Document,
        service: str,
        unavailable: frozenset[str],
    ) -> 'Capacity':
        """Return the capacity of a service of a document."""
        floor_slots = next(
            item.floor_slots
            for item in document.services
            if item.name == service
        )
        slots = {
            server.name: server.slots
            for server in document.servers_of(service)
        }
        return cls(floor_slots, slots, unavailable)

    def available_slots(self, ejected: frozenset[str]) -> int:
        """Return the slots of servers neither ejected nor unavailable."""
        return sum(
            slots
            for server, slots in self.slots.items()
            if server not in ejected and server not in self.unavailable
        )

    def keeps_floor(self, ejected: frozenset[str]) -> bool:
        """Return whether the floor is kept if these servers are ejected."""
        return self.available_slots(ejected) >= self.floor_slots


def grant_permit(
    record: PermitRecord,
    server: str,
    holder: messages.Incarnation,
    capacity: Capacity,
) -> PermitRecord | None:
    """Return the record with a new permit, or None if refused."""
    if server not in capacity.slots or record.find(server) is not None:
        return None
    updated = PermitRecord((*record.permits, Permit(server, holder)))
    if not capacity.keeps_floor(
        frozenset(permit.server for permit in updated.permits)
    ):
        return None
    return updated


def within_capacity_floor(
    ejected: tuple[str, ...], capacity: Capacity
) -> frozenset[str]:
    """Return the ejections, added in order, that keep the floor."""
    allowed: frozenset[str] = frozenset()
    for server in ejected:
        if capacity.keeps_floor(allowed | {server}):
            allowed |= {server}
    return allowed


def permit_key(environment: str, service: str) -> str:
    """Return the store key of the permit record of a service."""
    return f'permits/{environment}/{service}'


class _PermitModel(pydantic.BaseModel):
    server: str
    holder_name: str
    holder_started_ms: int


class _RecordModel(pydantic.BaseModel):
    permits: list[_PermitModel]


def encode_permits(record: PermitRecord) -> str:
    """Encode a permit record for the store."""
    return json.dumps(
        {
            'permits': [
                {
                    'server': permit.server,
                    'holder_name': permit.holder.name,
                    'holder_started_ms': permit.holder.started_ms,
                }
                for permit in record.permits
            ]
        }
    )


def decode_permits(text: str) -> Result[PermitRecord, errors.HealthError]:
    """Decode a permit record from the store."""
    try:
        parsed = _RecordModel.model_validate_json(text)
    except pydantic.ValidationError as error:
        return Failure(errors.InvalidPermitRecord(str(error)))
    return Success(
        PermitRecord(
            tuple(
                Permit(
                    permit.server,
                    messages.Incarnation(
                        permit.holder_name, permit.holder_started_ms
                    ),
                )
                for permit in parsed.permits
            )
        )
    )
