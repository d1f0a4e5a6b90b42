"""What the tasks of an agent tell each other."""

import dataclasses
from typing import Any

import pykka

from cardamomdeal.configuration import records
from cardamomdeal.platform import service


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
