"""Thread that owns the UDP socket to other entry hosts."""

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
from cardamomdeal.channels import pacing
from cardamomdeal.internal import address
from cardamomdeal.internal import clock
from cardamomdeal.protocol import codec
from cardamomdeal.protocol import errors as protocol_errors
from cardamomdeal.protocol import messages

# Payload that fits in one IPv4 datagram, with room for headers.
MAX_DATAGRAM_BYTES = 60_000
MAX_QUEUED_COMMANDS = 10_000

log = logging.getLogger(__name__)


@dataclasses.dataclass(frozen=True, slots=True)
class SendTo:
    """Command to send one message to each of the given hosts."""

    to: tuple[address.Address, ...]
    message: messages.AnyMessage


@dataclasses.dataclass(frozen=True, slots=True)
class Stop:
    """Command to close the socket and end the task."""


@dataclasses.dataclass(frozen=True, slots=True)
class Arrived:
    """Event: a message was received."""

    sender: address.Address
    message: messages.AnyMessage


Command = SendTo | Stop


class DatagramTask(threading.Thread):
    """Thread that sends and receives time-sensitive inner messages.

    UDP is connectionless, so an unreachable peer does not delay messages to
    other peers, and there are no connections that can stall undetected.
    """

    def __init__(
        self,
        owner: pykka.ActorRef[Any],
        listen: address.Address,
        link_mbps: float = 0.0,
    ) -> None:
        """Bind the socket; raise AddressUnavailable when that fails."""
        super().__init__(name='datagrams', daemon=True)
        self._owner = owner
        self._clock = clock.Clock()
        self._paced = pacing.PacedQueue(link_mbps)
        self._commands: commands.CommandQueue[Command] = commands.CommandQueue(
            MAX_QUEUED_COMMANDS
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
        """Queue a command; return False when the queue is full."""
        return self._commands.put(command)

    def run(self) -> None:
        """Send and receive messages until a Stop command arrives."""
        poller = select.poll()
        poller.register(self._commands.wakeup_fd, select.POLLIN)
        poller.register(self._socket, select.POLLIN)
        running = True
        while running:
            now_ms = self._clock.now_ms()
            ready = poller.poll(self._paced.delay_ms(now_ms))
            try:
                running = self._handle_ready(
                    [ready_fd for ready_fd, _ in ready]
                )
            except Exception:
                # Without this thread the host would neither learn of changes
                # nor tell of them, and still serve.
                log.exception('datagram task raised an exception')
        self._socket.close()
        self._commands.close()

    def _handle_ready(self, ready_fds: list[int]) -> bool:
        running = True
        for ready_fd in ready_fds:
            if ready_fd == self._commands.wakeup_fd:
                running = self._run_commands()
            else:
                self._receive()
        for data, target in self._paced.pop_ready(self._clock.now_ms()):
            self._send_datagram(data, target)
        return running

    def _run_commands(self) -> bool:
        for command in self._commands.pop_all():
            match command:
                case SendTo(to, message):
                    self._send(to, message)
                case Stop():
                    return False
        return True

    def _send(
        self, to: tuple[address.Address, ...], message: messages.AnyMessage
    ) -> None:
        try:
            data = codec.encode_compressed(message)
        except protocol_errors.ProtocolError as error:
            log.warning(
                'message not sent: encoding failed',
                extra={'reason': str(error)},
            )
            return
        if len(data) > MAX_DATAGRAM_BYTES:
            log.warning(
                'message not sent: too large for a datagram',
                extra={
                    'kind': type(message).__name__,
                    'size_bytes': len(data),
                },
            )
            return
        for target in to:
            if not self._paced.put(data, target):
                self._send_datagram(data, target)

    def _send_datagram(self, data: bytes, target: address.Address) -> None:
        try:
            self._socket.sendto(data, (target.host, target.port))
        except OSError as error:
            log.debug(
                'cannot send datagram',
                extra={'to': str(target), 'reason': str(error)},
            )

    def _receive(self) -> None:
        while True:
            try:
                data, (host, port) = self._socket.recvfrom(MAX_DATAGRAM_BYTES)
            except BlockingIOError:
                return
            except OSError as error:
                # A rejected datagram is reported as an error of a later call.
                log.debug(
                    'cannot receive datagram', extra={'reason': str(error)}
                )
                return
            match codec.decode_compressed(data):
                case Success(message):
                    sender = address.Address(host, port)
                    self._notify_owner(Arrived(sender, message))
                case Failure(error):
                    log.warning(
                        'datagram dropped: not a valid message',
                        extra={'reason': str(error)},
                    )

    def _notify_owner(self, event: Arrived) -> None:
        # At shutdown the owner stops before this task does.
        with contextlib.suppress(pykka.ActorDeadError):
            self._owner.tell(event)
