"""What the tasks of the administration API tell each other."""

import dataclasses
from typing import Any

import pykka

from cardamomdeal.admin import changes
from cardamomdeal.protocol import messages as protocol


@dataclasses.dataclass(frozen=True, slots=True)
class Submit:
    """Put a document in force in an environment."""

    change: changes.Change
    canonical: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class Show:
    """Read what is in force in an environment."""

    environment: str


@dataclasses.dataclass(frozen=True, slots=True)
class ReadDocument:
    """Read a document by its digest."""

    digest: str


@dataclasses.dataclass(frozen=True, slots=True)
class Announce:
    """Tell an environment's agent about an accepted change."""

    environment: str
    offer: protocol.DocumentOffer


@dataclasses.dataclass(frozen=True, slots=True)
class AskAgent:
    """Ask an agent a question and set `reply` to its answer."""

    address: str
    question: protocol.AnyMessage
    request_id: str
    reply: pykka.Future[Any]
