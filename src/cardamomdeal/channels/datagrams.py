"""Task that owns the UDP socket between entry hosts."""

import contextlib
import dataclasses
import logging
import select
import socket
import threading
from typing import Any

import pykka
from returns.result import Failure
from returns.result import Success

from cardamomdeal.channels import commands
from cardamomdeal.channels import errors
from cardamomdeal.internal import address
from cardamomdeal.protocol import codec
from cardamomdeal.protocol import errors as protocol_errors
from cardamomdeal.protocol import messages

# Largest payload of one datagram over IPv4, with room for headers.
MAX_DATAGRAM_BYTES = 60_000
QUEUED_COMMANDS = 10_000

log = logging.getLogger(__name__)


@dataclasses.dataclass(frozen=True, slots=True)
class SendTo:
    """Ask to send one message to some hosts."""

    to: tuple[address.Address, ...]
    message: messages.AnyMessage


@dataclasses.dataclass(frozen=True, slots=True)
class StopSending:
    """Ask the task to close its socket and end."""


@dataclasses.dataclass(frozen=True, slots=True)
class Arrived:
    """Tell the owner of a message that came in."""

    sender: address.Address
    message: messages.AnyMessage


Command = SendTo | StopSending


class DatagramTask(threading.Thread):
    """Send and receive inner messages that are only worth having fresh.

    Datagrams need no connection, so nothing waits behind a peer that is
    cut off, and no connection can go silent unnoticed.
    """

    def __init__(
        self, owner: pykka.ActorRef[Any], listen: address.Address
    ) -> None:
        """Listen at once; raise AddressUnavailable when that fails."""
        super().__init__(name='datagrams', daemon=True)
        self._owner = owner
        self._commands: commands.CommandQueue[Command] = commands.CommandQueue(
            QUEUED_COMMANDS
        )
        self._socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._socket.setblocking(False)
        try:
            self._socket.bind((listen.host, listen.port))
        except OSError as error:
            self._socket.close()
            raise errors.AddressUnavailable(
                f'cannot listen on {listen}: {error}'
            ) from error

    def command(self, command: Command) -> bool:
        """Hand over a command; return False when the queue is full."""
        return self._commands.put(command)

    def run(self) -> None:
        """Move messages until told to stop."""
        poller = select.poll()
        poller.register(self._commands.wake_descriptor, select.POLLIN)
        poller.register(self._socket, select.POLLIN)
        running = True
        while running:
            for ready, _ in poller.poll():
                if ready == self._commands.wake_descriptor:
                    running = self._run_commands()
                else:
                    self._receive()
        self._socket.close()
        self._commands.close()

    def _run_commands(self) -> bool:
        for command in self._commands.take_all():
            match command:
                case SendTo(to, message):
                    self._send(to, message)
                case StopSending():
                    return False
        return True

    def _send(
        self, to: tuple[address.Address, ...], message: messages.AnyMessage
    ) -> None:
        try:
            data = codec.encode(message)
        except protocol_errors.ProtocolError as error:
            log.warning('message not sent', extra={'reason': str(error)})
            return
        if len(data) > MAX_DATAGRAM_BYTES:
            log.warning(
                'message too large for a datagram',
                extra={
                    'kind': type(message).__name__,
                    'size_bytes': len(data),
                },
            )
            return
        for target in to:
            try:
                self._socket.sendto(data, (target.host, target.port))
            except OSError as error:
                log.debug(
                    'datagram not sent',
                    extra={'to': str(target), 'reason': str(error)},
                )

    def _receive(self) -> None:
        while True:
            try:
                data, (host, port) = self._socket.recvfrom(MAX_DATAGRAM_BYTES)
            except BlockingIOError:
                return
            except OSError as error:
                # A refused datagram shows up as an error of a later call.
                log.debug('no datagram', extra={'reason': str(error)})
                return
            match codec.decode(data):
                case Success(message):
                    sender = address.Address(host, port)
                    self._tell(Arrived(sender, message))
                case Failure(error):
                    log.warning(
                        'datagram dropped', extra={'reason': str(error)}
                    )

    def _tell(self, event: Arrived) -> None:
        # The owner stops before its channel does.
        with contextlib.suppress(pykka.ActorDeadError):
            self._owner.tell(event)
