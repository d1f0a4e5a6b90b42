"""What the tasks of an agent tell each other."""

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
    """Mark the passing of one gossip interval."""


@dataclasses.dataclass(frozen=True, slots=True)
class FollowStore:
    """Tell the store reader whether this host is one of the readers."""

    follow: bool


@dataclasses.dataclass(frozen=True, slots=True)
class Poll:
    """Make the store reader look once more."""


@dataclasses.dataclass(frozen=True, slots=True)
class StoreRead:
    """Report what the store holds; the document only when it is new."""

    record: records.EnvironmentRecord
    canonical: bytes | None


@dataclasses.dataclass(frozen=True, slots=True)
class HostsListed:
    """Report the platform's host list."""

    hosts: tuple[service.ListedHost, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class StoreCalls:
    """Report how many calls went to the platform so far."""

    count: int


@dataclasses.dataclass(frozen=True, slots=True)
class ReaderStarted:
    """Introduce the store reader to the core."""

    reader: pykka.ActorRef[Any]


@dataclasses.dataclass(frozen=True, slots=True)
class JudgeStarted:
    """Introduce the judge to the core."""

    judge: pykka.ActorRef[Any]


@dataclasses.dataclass(frozen=True, slots=True)
class KeeperStarted:
    """Introduce the permit keeper to the judge."""

    keeper: pykka.ActorRef[Any]


@dataclasses.dataclass(frozen=True, slots=True)
class EvidenceFrom:
    """Hand the judge a report; None as sender means this agent."""

    sender: channel.Remote | None
    report: protocol.EvidenceReport


@dataclasses.dataclass(frozen=True, slots=True)
class Answer:
    """Have the core send the judge's answer; None means to itself."""

    to: channel.Remote | None
    held: protocol.HeldEjections


@dataclasses.dataclass(frozen=True, slots=True)
class JudgeNow:
    """Have the judge move its cases on with what is known now."""

    document: model.Document
    live_agents: tuple[str, ...]
    leaving_servers: frozenset[str]
    incarnations: dict[str, protocol.Incarnation]
    removed_agents: frozenset[str]


@dataclasses.dataclass(frozen=True, slots=True)
class AskPermit:
    """Have the keeper ask for a permit."""

    service: str
    server: str
    capacity: permits.Capacity


@dataclasses.dataclass(frozen=True, slots=True)
class DropPermits:
    """Have the keeper remove permits."""

    service: str
    permits: frozenset[permits.Permit]


@dataclasses.dataclass(frozen=True, slots=True)
class ReadPermits:
    """Have the keeper read the permits of a service."""

    service: str


@dataclasses.dataclass(frozen=True, slots=True)
class PermitsSeen:
    """Tell the judge what permits the store holds."""

    service: str
    record: permits.PermitRecord
