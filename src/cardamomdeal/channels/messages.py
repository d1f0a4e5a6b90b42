"""What channel tasks and their owners tell each other."""

import dataclasses

from cardamomdeal.internal import address
from cardamomdeal.protocol import messages


@dataclasses.dataclass(frozen=True, slots=True)
class Caller:
    """Name the remote end of a connection that was accepted."""

    identity: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class Peer:
    """Name a remote listener that was connected to."""

    address: address.Address


Remote = Caller | Peer


@dataclasses.dataclass(frozen=True, slots=True)
class Send:
    """Ask the channel task to send a message."""

    to: Remote
    message: messages.AnyMessage


@dataclasses.dataclass(frozen=True, slots=True)
class Forget:
    """Ask the channel task to close the connection to a peer."""

    peer: Peer


@dataclasses.dataclass(frozen=True, slots=True)
class Stop:
    """Ask the channel task to close its sockets and end."""


@dataclasses.dataclass(frozen=True, slots=True)
class Received:
    """Tell the owner about a message that came in."""

    sender: Remote
    message: messages.AnyMessage


@dataclasses.dataclass(frozen=True, slots=True)
class Dropped:
    """Tell the owner that a message was dropped."""

    reason: str


@dataclasses.dataclass(frozen=True, slots=True)
class Traffic:
    """Tell the owner how much went through the sockets so far."""

    sent_messages: int = 0
    sent_bytes: int = 0
    received_messages: int = 0
    received_bytes: int = 0


Command = Send | Forget | Stop
