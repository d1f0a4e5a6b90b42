"""Messages to the actors of the administration API."""

import dataclasses
from typing import Any

import pykka

from cardamomdeal.admin import changes
from cardamomdeal.protocol import messages as protocol


@dataclasses.dataclass(frozen=True, slots=True)
class ApplyChange:
    """Request to store a document and apply the change that names it."""

    change: changes.RequestedChange
    canonical: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class ReadRecord:
    """Request for the stored record of an environment."""

    environment: str


@dataclasses.dataclass(frozen=True, slots=True)
class ReadDocument:
    """Request for the stored document with a digest."""

    digest: str


@dataclasses.dataclass(frozen=True, slots=True)
class OfferDocument:
    """Command to send the document of an accepted change to an agent."""

    environment: str
    offer: protocol.DocumentOffer


@dataclasses.dataclass(frozen=True, slots=True)
class SendRequest:
    """Command to send a request to an agent; `reply` is set to its reply."""

    address: str
    request: protocol.AnyMessage
    request_id: str
    reply: pykka.Future[Any]
