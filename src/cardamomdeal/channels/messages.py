"""Commands and events between a channel task and the actor owning it."""

import dataclasses

from cardamomdeal.internal import address
from cardamomdeal.protocol import messages


@dataclasses.dataclass(frozen=True, slots=True)
class Client:
    """Remote end of an accepted connection, by its ZeroMQ identity."""

    identity: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class Peer:
    """Remote end of an outgoing connection, by its listen address."""

    address: address.Address


Remote = Client | Peer


@dataclasses.dataclass(frozen=True, slots=True)
class Send:
    """Command to send a message."""

    to: Remote
    message: messages.AnyMessage


@dataclasses.dataclass(frozen=True, slots=True)
class Disconnect:
    """Command to close the connection to a peer."""

    peer: Peer


@dataclasses.dataclass(frozen=True, slots=True)
class Stop:
    """Command to close all sockets and end the task."""


@dataclasses.dataclass(frozen=True, slots=True)
class Received:
    """Event: a message was received."""

    sender: Remote
    message: messages.AnyMessage


@dataclasses.dataclass(frozen=True, slots=True)
class Dropped:
    """Event: a message was dropped."""

    reason: str


@dataclasses.dataclass(frozen=True, slots=True)
class Traffic:
    """Event: message and byte counts since the task was started."""

    sent_messages: int = 0
    sent_bytes: int = 0
    received_messages: int = 0
    received_bytes: int = 0


Command = Send | Disconnect | Stop
