"""Permits to eject, which keep each service above its floor.

All permits of a service lie in one record that is only changed by
compare-and-swap. A server counts as ejected as long as its permit is in the
record, whoever holds it, so what all hosts eject together stays in budget.
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
    """Allow its holder to eject one server."""

    server: str
    holder: messages.Incarnation


@dataclasses.dataclass(frozen=True, slots=True)
class PermitRecord:
    """Hold every permit of one service."""

    permits: tuple[Permit, ...] = ()

    def of(self, server: str) -> Permit | None:
        """Return the permit for a server."""
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
        """Return the record without some permits."""
        return PermitRecord(tuple(p for p in self.permits if p not in removed))


@dataclasses.dataclass(frozen=True, slots=True)
class Capacity:
    """Hold what a service's floor is counted against."""

    floor_slots: int
    slots: dict[str, int]
    unavailable: frozenset[str]

    @classmethod
    def of(
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

    def remaining(self, ejected: frozenset[str]) -> int:
        """Return the slots left without the ejected and unavailable."""
        return sum(
            slots
            for server, slots in self.slots.items()
            if server not in ejected and server not in self.unavailable
        )

    def allows(self, ejected: frozenset[str]) -> bool:
        """Return whether the floor holds with these servers ejected."""
        return self.remaining(ejected) >= self.floor_slots


def granted(
    record: PermitRecord,
    server: str,
    holder: messages.Incarnation,
    capacity: Capacity,
) -> PermitRecord | None:
    """Return the record with a new permit, or None beyond the budget."""
    if server not in capacity.slots or record.of(server) is not None:
        return None
    following = PermitRecord((*record.permits, Permit(server, holder)))
    if not capacity.allows(frozenset(p.server for p in following.permits)):
        return None
    return following


def within_floor(
    ejected: tuple[str, ...], capacity: Capacity
) -> frozenset[str]:
    """Return the first ejections that the floor allows together."""
    kept: frozenset[str] = frozenset()
    for server in ejected:
        if capacity.allows(kept | {server}):
            kept |= {server}
    return kept


def permit_key(environment: str, service: str) -> str:
    """Return the key that holds a service's permits."""
    return f'permits/{environment}/{service}'


class _PermitModel(pydantic.BaseModel):
    server: str
    holder_name: str
    holder_started_ms: int


class _RecordModel(pydantic.BaseModel):
    permits: list[_PermitModel]


def write_permits(record: PermitRecord) -> str:
    """Encode a record for the platform's service."""
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


def read_permits(text: str) -> Result[PermitRecord, errors.HealthError]:
    """Decode a record of the platform's service."""
    try:
        checked = _RecordModel.model_validate_json(text)
    except pydantic.ValidationError as error:
        return Failure(errors.PermitRecordDamaged(str(error)))
    return Success(
        PermitRecord(
            tuple(
                Permit(
                    permit.server,
                    messages.Incarnation(
                        permit.holder_name, permit.holder_started_ms
                    ),
                )
                for permit in checked.permits
            )
        )
    )
