"""Thread that owns the ZeroMQ sockets of one process."""

import contextlib
import dataclasses
import threading
from typing import Any

import pykka
from returns.result import Failure
from returns.result import Success
import zmq

from cardamomdeal.channels import commands
from cardamomdeal.channels import errors
from cardamomdeal.channels import messages
from cardamomdeal.channels import outbox
from cardamomdeal.internal import address
from cardamomdeal.internal import clock
from cardamomdeal.protocol import codec

MAX_QUEUED_MESSAGES = 1000
HEARTBEAT_INTERVAL_MS = 5000
HEARTBEAT_TIMEOUT_MS = 10000
HANDSHAKE_TIMEOUT_MS = 2000
RECONNECT_MAX_MS = 1000
TRAFFIC_INTERVAL_MS = 1000


class ChannelTask(threading.Thread):
    """Thread with one listening socket and one socket for each peer."""

    def __init__(
        self,
        owner: pykka.ActorRef[Any],
        listen: address.Address | None,
    ) -> None:
        """Bind the listener; raise AddressUnavailable when that fails."""
        super().__init__(name='channel', daemon=True)
        self._owner = owner
        self._commands: commands.CommandQueue[messages.Command] = (
            commands.CommandQueue(MAX_QUEUED_MESSAGES)
        )
        self._context = zmq.Context()
        self._poller = zmq.Poller()
        self._poller.register(self._commands.wakeup_fd, zmq.POLLIN)
        self._sockets: dict[messages.Peer, zmq.Socket[bytes]] = {}
        self._peers: dict[zmq.Socket[bytes], messages.Peer] = {}
        self._outboxes: dict[messages.Peer, outbox.Outbox] = {}
        self._clock = clock.Clock()
        self._traffic = messages.Traffic()
        self._traffic_reported_at_ms = 0
        self._listener = self._listen(listen) if listen else None

    def command(self, command: messages.Command) -> bool:
        """Queue a command; return False when the queue is full."""
        return self._commands.put(command)

    def run(self) -> None:
        """Send and receive messages until a Stop command arrives."""
        running = True
        while running:
            ready = dict(self._poller.poll(self._poll_timeout_ms()))
            if self._commands.wakeup_fd in ready:
                running = self._run_commands()
            for ready_socket, events in ready.items():
                if (
                    isinstance(ready_socket, zmq.Socket)
                    and not ready_socket.closed
                ):
                    self._handle_events(ready_socket, events)
            self._expire_messages()
            self._report_traffic()
        self._close()

    def _poll_timeout_ms(self) -> int | None:
        return outbox.MESSAGE_TTL_MS if self._outboxes else None

    def _report_traffic(self) -> None:
        now_ms = self._clock.now_ms()
        if now_ms - self._traffic_reported_at_ms >= TRAFFIC_INTERVAL_MS:
            self._traffic_reported_at_ms = now_ms
            self._notify_owner(self._traffic)

    def _count_sent(self, data: bytes) -> None:
        self._traffic = dataclasses.replace(
            self._traffic,
            sent_messages=self._traffic.sent_messages + 1,
            sent_bytes=self._traffic.sent_bytes + len(data),
        )

    def _count_received(self, data: bytes) -> None:
        self._traffic = dataclasses.replace(
            self._traffic,
            received_messages=self._traffic.received_messages + 1,
            received_bytes=self._traffic.received_bytes + len(data),
        )

    def _handle_events(
        self, ready_socket: zmq.Socket[bytes], events: int
    ) -> None:
        if events & zmq.POLLIN:
            self._receive(ready_socket)
        if events & zmq.POLLOUT:
            self._flush(self._peers[ready_socket], ready_socket)

    def _listen(self, listen: address.Address) -> zmq.Socket[bytes]:
        listener = self._open_socket(zmq.ROUTER)
        listener.set(zmq.ROUTER_HANDOVER, 1)
        try:
            listener.bind(f'tcp://{listen}')
        except zmq.ZMQError as error:
            self._context.destroy(linger=0)
            raise errors.AddressUnavailable(
                f'cannot listen on {listen}: {error}'
            ) from error
        return listener

    def _open_socket(self, socket_type: int) -> zmq.Socket[bytes]:
        new_socket = self._context.socket(socket_type)
        new_socket.set(zmq.LINGER, 0)
        new_socket.set(zmq.SNDHWM, MAX_QUEUED_MESSAGES)
        new_socket.set(zmq.RCVHWM, MAX_QUEUED_MESSAGES)
        new_socket.set(zmq.MAXMSGSIZE, codec.MAX_MESSAGE_BYTES)
        new_socket.set(zmq.HEARTBEAT_IVL, HEARTBEAT_INTERVAL_MS)
        new_socket.set(zmq.HEARTBEAT_TIMEOUT, HEARTBEAT_TIMEOUT_MS)
        new_socket.set(zmq.HANDSHAKE_IVL, HANDSHAKE_TIMEOUT_MS)
        new_socket.set(zmq.RECONNECT_IVL_MAX, RECONNECT_MAX_MS)
        self._poller.register(new_socket, zmq.POLLIN)
        return new_socket

    def _run_commands(self) -> bool:
        for command in self._commands.pop_all():
            match command:
                case messages.Send():
                    self._send(command)
                case messages.Disconnect(peer):
                    self._disconnect(peer)
                case messages.Stop():
                    return False
        return True

    def _send(self, command: messages.Send) -> None:
        data = codec.encode(command.message)
        try:
            match command.to:
                case messages.Client(identity):
                    if self._listener is not None:
                        self._listener.send_multipart(
                            [identity, data], zmq.NOBLOCK
                        )
                        self._count_sent(data)
                case messages.Peer() as peer:
                    self._send_to_peer(peer, data)
        except zmq.Again:
            self._notify_owner(messages.Dropped('socket send queue full'))

    def _send_to_peer(self, peer: messages.Peer, data: bytes) -> None:
        peer_socket = self._peer_socket(peer)
        if peer not in self._outboxes:
            try:
                peer_socket.send(data, zmq.NOBLOCK)
            except zmq.Again:
                # The connection is not established yet: queue until it is.
                self._outboxes[peer] = outbox.Outbox()
                self._poller.modify(peer_socket, zmq.POLLIN | zmq.POLLOUT)
            else:
                self._count_sent(data)
                return
        if not self._outboxes[peer].put(data, self._clock.now_ms()):
            self._notify_owner(
                messages.Dropped(f'{peer.address}: not connected, outbox full')
            )

    def _flush(
        self, peer: messages.Peer, peer_socket: zmq.Socket[bytes]
    ) -> None:
        peer_outbox = self._outboxes[peer]
        while (data := peer_outbox.peek()) is not None:
            try:
                peer_socket.send(data, zmq.NOBLOCK)
            except zmq.Again:
                return
            peer_outbox.remove_oldest()
            self._count_sent(data)
        self._remove_outbox(peer)

    def _expire_messages(self) -> None:
        now_ms = self._clock.now_ms()
        for peer, peer_outbox in list(self._outboxes.items()):
            dropped = peer_outbox.expire(now_ms)
            for _ in range(dropped):
                self._notify_owner(
                    messages.Dropped(
                        f'{peer.address}: not connected, message expired'
                    )
                )
            if not len(peer_outbox):
                self._remove_outbox(peer)

    def _remove_outbox(self, peer: messages.Peer) -> None:
        del self._outboxes[peer]
        self._poller.modify(self._sockets[peer], zmq.POLLIN)

    def _peer_socket(self, peer: messages.Peer) -> zmq.Socket[bytes]:
        existing = self._sockets.get(peer)
        if existing is not None:
            return existing
        new_socket = self._open_socket(zmq.DEALER)
        # Without this option, ZeroMQ queues messages for an unreachable peer
        # and delivers them late, when inner messages are out of date.
        new_socket.set(zmq.IMMEDIATE, 1)
        new_socket.connect(f'tcp://{peer.address}')
        self._sockets[peer] = new_socket
        self._peers[new_socket] = peer
        return new_socket

    def _disconnect(self, peer: messages.Peer) -> None:
        existing = self._sockets.pop(peer, None)
        if existing is None:
            return
        del self._peers[existing]
        self._outboxes.pop(peer, None)
        self._poller.unregister(existing)
        existing.close()

    def _receive(self, ready_socket: zmq.Socket[bytes]) -> None:
        frames = ready_socket.recv_multipart()
        if ready_socket is self._listener:
            sender: messages.Remote = messages.Client(frames[0])
        else:
            sender = self._peers[ready_socket]
        self._count_received(frames[-1])
        match codec.decode(frames[-1]):
            case Success(message):
                self._notify_owner(messages.Received(sender, message))
            case Failure(error):
                self._notify_owner(messages.Dropped(str(error)))

    def _notify_owner(
        self, event: messages.Received | messages.Dropped | messages.Traffic
    ) -> None:
        # At shutdown the owner stops before this task does.
        with contextlib.suppress(pykka.ActorDeadError):
            self._owner.tell(event)

    def _close(self) -> None:
        self._context.destroy(linger=0)
        self._commands.close()
