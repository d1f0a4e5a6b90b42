"""Messages between the tasks of the administration API."""

import dataclasses
from typing import Any

import pykka

from cardamomdeal.admin import changes
from cardamomdeal.protocol import messages as protocol


@dataclasses.dataclass(frozen=True, slots=True)
class Submit:
    """Request to store a document and apply a change to an environment."""

    change: changes.RequestedChange
    canonical: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class Show:
    """Request for the record of an environment."""

    environment: str


@dataclasses.dataclass(frozen=True, slots=True)
class ReadDocument:
    """Request for the document with a digest."""

    digest: str


@dataclasses.dataclass(frozen=True, slots=True)
class Announce:
    """Request to send the document of an accepted change to an agent."""

    environment: str
    offer: protocol.DocumentOffer


@dataclasses.dataclass(frozen=True, slots=True)
class AskAgent:
    """Request to send to an agent; `reply` is set to the agent's reply."""

    address: str
    request: protocol.AnyMessage
    request_id: str
    reply: pykka.Future[Any]
