"""Messages between the actors of an agent."""

import dataclasses
from typing import Any

import pykka

from cardamomdeal.channels import messages as channel
from cardamomdeal.configuration import records
from cardamomdeal.document import model
from cardamomdeal.health import permits
from cardamomdeal.platform import service
from cardamomdeal.protocol import messages as protocol


@dataclasses.dataclass(frozen=True, slots=True)
class Tick:
    """Event: one gossip interval has passed."""


@dataclasses.dataclass(frozen=True, slots=True)
class FollowStore:
    """Command to start or stop following the store."""

    follow: bool


@dataclasses.dataclass(frozen=True, slots=True)
class Poll:
    """Command of the store reader to itself to poll the store."""


@dataclasses.dataclass(frozen=True, slots=True)
class StoreRead:
    """Event: the environment record was read.

    `canonical` is its document, or None if the document has not changed.
    """

    record: records.EnvironmentRecord
    canonical: bytes | None


@dataclasses.dataclass(frozen=True, slots=True)
class HostsListed:
    """Event: the platform's host list was read."""

    hosts: tuple[service.ListedHost, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class StoreCalls:
    """Event: the number of calls to the platform since the reader started."""

    count: int


@dataclasses.dataclass(frozen=True, slots=True)
class StoreReaderStarted:
    """Event: the store reader was started."""

    reader: pykka.ActorRef[Any]


@dataclasses.dataclass(frozen=True, slots=True)
class JudgeStarted:
    """Event: the judge was started."""

    judge: pykka.ActorRef[Any]


@dataclasses.dataclass(frozen=True, slots=True)
class PermitStoreStarted:
    """Event: the permit store actor was started."""

    permit_store: pykka.ActorRef[Any]


@dataclasses.dataclass(frozen=True, slots=True)
class EvidenceReceived:
    """Event: evidence for the judge; `sender` is None for this agent."""

    sender: channel.Remote | None
    report: protocol.EvidenceReport


@dataclasses.dataclass(frozen=True, slots=True)
class EjectionReply:
    """Reply of the judge to evidence; `to` is None for this agent."""

    to: channel.Remote | None
    ejections: protocol.HeldEjections


@dataclasses.dataclass(frozen=True, slots=True)
class UpdateEjections:
    """Command to update the ejections to the given state of the fleet."""

    document: model.Document
    live_agents: tuple[str, ...]
    leaving_servers: frozenset[str]
    incarnations: dict[str, protocol.Incarnation]
    removed_agents: frozenset[str]


@dataclasses.dataclass(frozen=True, slots=True)
class RequestPermit:
    """Command to request a permit for a server from the store."""

    service: str
    server: str
    capacity: permits.Capacity


@dataclasses.dataclass(frozen=True, slots=True)
class RemovePermits:
    """Command to remove permits from the store."""

    service: str
    permits: frozenset[permits.Permit]


@dataclasses.dataclass(frozen=True, slots=True)
class ReadPermits:
    """Command to read the permits of a service from the store."""

    service: str


@dataclasses.dataclass(frozen=True, slots=True)
class PermitsRead:
    """Event: the permits of a service were read or updated."""

    service: str
    record: permits.PermitRecord
