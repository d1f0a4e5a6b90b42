"""Task that owns the pyzmq sockets of one process."""

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

QUEUE_MESSAGES = 1000
HEARTBEAT_INTERVAL_MS = 5000
HEARTBEAT_TIMEOUT_MS = 10000
HANDSHAKE_TIMEOUT_MS = 2000
RECONNECT_MAX_MS = 1000
TRAFFIC_INTERVAL_MS = 1000


class ChannelTask(threading.Thread):
    """Own one listening socket and one socket for each peer."""

    def __init__(
        self,
        owner: pykka.ActorRef[Any],
        listen: address.Address | None,
    ) -> None:
        """Listen at once; raise AddressUnavailable when that fails."""
        super().__init__(name='channel', daemon=True)
        self._owner = owner
        self._commands: commands.CommandQueue[messages.Command] = (
            commands.CommandQueue(QUEUE_MESSAGES)
        )
        self._context = zmq.Context()
        self._poller = zmq.Poller()
        self._poller.register(self._commands.wake_descriptor, zmq.POLLIN)
        self._peers: dict[messages.Peer, zmq.Socket[bytes]] = {}
        self._senders: dict[zmq.Socket[bytes], messages.Peer] = {}
        self._outboxes: dict[messages.Peer, outbox.Outbox] = {}
        self._time = clock.Clock()
        self._traffic = messages.Traffic()
        self._told_at_ms = 0
        self._listener = self._listen(listen) if listen else None

    def command(self, command: messages.Command) -> bool:
        """Hand over a command; return False when the queue is full."""
        return self._commands.put(command)

    def run(self) -> None:
        """Move messages until told to stop."""
        running = True
        while running:
            ready = dict(self._poller.poll(self._poll_timeout_ms()))
            if self._commands.wake_descriptor in ready:
                running = self._run_commands()
            for source, events in ready.items():
                if isinstance(source, zmq.Socket) and not source.closed:
                    self._serve(source, events)
            self._expire_waiting()
            self._tell_traffic()
        self._close()

    def _poll_timeout_ms(self) -> int | None:
        return outbox.WAIT_MS if self._outboxes else None

    def _tell_traffic(self) -> None:
        now_ms = self._time.now_ms()
        if now_ms - self._told_at_ms >= TRAFFIC_INTERVAL_MS:
            self._told_at_ms = now_ms
            self._tell(self._traffic)

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

    def _serve(self, source: zmq.Socket[bytes], events: int) -> None:
        if events & zmq.POLLIN:
            self._receive(source)
        if events & zmq.POLLOUT:
            self._flush(self._senders[source], source)

    def _listen(self, listen: address.Address) -> zmq.Socket[bytes]:
        listener = self._open(zmq.ROUTER)
        listener.set(zmq.ROUTER_HANDOVER, 1)
        try:
            listener.bind(f'tcp://{listen}')
        except zmq.ZMQError as error:
            self._context.destroy(linger=0)
            raise errors.AddressUnavailable(
                f'cannot listen on {listen}: {error}'
            ) from error
        return listener

    def _open(self, kind: int) -> zmq.Socket[bytes]:
        opened = self._context.socket(kind)
        opened.set(zmq.LINGER, 0)
        opened.set(zmq.SNDHWM, QUEUE_MESSAGES)
        opened.set(zmq.RCVHWM, QUEUE_MESSAGES)
        opened.set(zmq.MAXMSGSIZE, codec.MAX_MESSAGE_BYTES)
        opened.set(zmq.HEARTBEAT_IVL, HEARTBEAT_INTERVAL_MS)
        opened.set(zmq.HEARTBEAT_TIMEOUT, HEARTBEAT_TIMEOUT_MS)
        opened.set(zmq.HANDSHAKE_IVL, HANDSHAKE_TIMEOUT_MS)
        opened.set(zmq.RECONNECT_IVL_MAX, RECONNECT_MAX_MS)
        self._poller.register(opened, zmq.POLLIN)
        return opened

    def _run_commands(self) -> bool:
        for command in self._commands.take_all():
            match command:
                case messages.Send():
                    self._send(command)
                case messages.Forget(peer):
                    self._forget(peer)
                case messages.Stop():
                    return False
        return True

    def _send(self, command: messages.Send) -> None:
        data = codec.encode(command.message)
        try:
            match command.to:
                case messages.Caller(identity):
                    if self._listener is not None:
                        self._listener.send_multipart(
                            [identity, data], zmq.NOBLOCK
                        )
                        self._count_sent(data)
                case messages.Peer() as peer:
                    self._send_to_peer(peer, data)
        except zmq.Again:
            self._tell(messages.Dropped('send queue full'))

    def _send_to_peer(self, peer: messages.Peer, data: bytes) -> None:
        connected = self._connected(peer)
        if peer not in self._outboxes:
            try:
                connected.send(data, zmq.NOBLOCK)
            except zmq.Again:
                # The connection is still being made: wait for it, briefly.
                self._outboxes[peer] = outbox.Outbox()
                self._poller.modify(connected, zmq.POLLIN | zmq.POLLOUT)
            else:
                self._count_sent(data)
                return
        if not self._outboxes[peer].put(data, self._time.now_ms()):
            self._tell(messages.Dropped(f'{peer.address}: no connection'))

    def _flush(
        self, peer: messages.Peer, connected: zmq.Socket[bytes]
    ) -> None:
        waiting = self._outboxes[peer]
        while (data := waiting.first()) is not None:
            try:
                connected.send(data, zmq.NOBLOCK)
            except zmq.Again:
                return
            waiting.remove_first()
            self._count_sent(data)
        self._close_outbox(peer)

    def _expire_waiting(self) -> None:
        now_ms = self._time.now_ms()
        for peer, waiting in list(self._outboxes.items()):
            dropped = waiting.expire(now_ms)
            for _ in range(dropped):
                self._tell(messages.Dropped(f'{peer.address}: unreachable'))
            if not len(waiting):
                self._close_outbox(peer)

    def _close_outbox(self, peer: messages.Peer) -> None:
        del self._outboxes[peer]
        self._poller.modify(self._peers[peer], zmq.POLLIN)

    def _connected(self, peer: messages.Peer) -> zmq.Socket[bytes]:
        known = self._peers.get(peer)
        if known is not None:
            return known
        opened = self._open(zmq.DEALER)
        # Without this, messages pile up for a peer that is away and reach
        # it late; inner messages are only worth having fresh.
        opened.set(zmq.IMMEDIATE, 1)
        opened.connect(f'tcp://{peer.address}')
        self._peers[peer] = opened
        self._senders[opened] = peer
        return opened

    def _forget(self, peer: messages.Peer) -> None:
        known = self._peers.pop(peer, None)
        if known is None:
            return
        del self._senders[known]
        self._outboxes.pop(peer, None)
        self._poller.unregister(known)
        known.close()

    def _receive(self, source: zmq.Socket[bytes]) -> None:
        frames = source.recv_multipart()
        if source is self._listener:
            sender: messages.Remote = messages.Caller(frames[0])
        else:
            sender = self._senders[source]
        self._count_received(frames[-1])
        match codec.decode(frames[-1]):
            case Success(message):
                self._tell(messages.Received(sender, message))
            case Failure(error):
                self._tell(messages.Dropped(str(error)))

    def _tell(
        self, event: messages.Received | messages.Dropped | messages.Traffic
    ) -> None:
        # The owner stops before its channel does.
        with contextlib.suppress(pykka.ActorDeadError):
            self._owner.tell(event)

    def _close(self) -> None:
        self._context.destroy(linger=0)
        self._commands.close()
