"""Actor that exchanges messages with the agents."""

import dataclasses
from typing import Any

import pykka

from cardamomdeal.admin import messages
from cardamomdeal.channels import messages as channel
from cardamomdeal.channels import task
from cardamomdeal.internal import actor
from cardamomdeal.internal import address
from cardamomdeal.internal import clock
from cardamomdeal.protocol import messages as protocol
from cardamomdeal.settings import model

REQUEST_VALID_MS = 10_000


@dataclasses.dataclass(frozen=True, slots=True)
class _PendingRequest:
    reply: pykka.Future[Any]
    expires_at_ms: int


class AgentClient(actor.Actor):
    """Actor that owns the channel to the agents and the pending requests."""

    def __init__(
        self, settings: model.AdminSettings, time: clock.Clock
    ) -> None:
        super().__init__()
        self._settings = settings
        self._time = time
        self._pending: dict[str, _PendingRequest] = {}

    def on_start(self) -> None:
        """Start the channel to the agents."""
        self._channel = task.ChannelTask(self.actor_ref, None)
        self._channel.start()

    def on_stop(self) -> None:
        """Stop the channel to the agents."""
        self._channel.command(channel.Stop())

    def receive(self, message: Any) -> Any:
        """Handle one message."""
        match message:
            case messages.OfferDocument(environment, offer):
                self._send_offer(environment, offer)
            case messages.SendRequest():
                self._send_request(message)
            case channel.Received(_, received):
                self._handle_reply(received)

    def _send_offer(
        self, environment: str, offer: protocol.DocumentOffer
    ) -> None:
        agent = self._settings.agents.get(environment)
        if agent is not None:
            self._channel.command(channel.Send(channel.Peer(agent), offer))

    def _send_request(self, command: messages.SendRequest) -> None:
        now_ms = self._time.now_ms()
        self._pending = {
            request_id: pending
            for request_id, pending in self._pending.items()
            if pending.expires_at_ms > now_ms
        }
        self._pending[command.request_id] = _PendingRequest(
            command.reply, now_ms + REQUEST_VALID_MS
        )
        peer = channel.Peer(address.parse_address(command.address))
        self._channel.command(channel.Send(peer, command.request))

    def _handle_reply(self, received: protocol.AnyMessage) -> None:
        match received:
            case (
                protocol.AgentStatus(request_id=request_id)
                | protocol.HistogramReply(request_id=request_id)
                | protocol.Done(request_id=request_id)
            ):
                pending = self._pending.pop(request_id, None)
                if pending is not None:
                    pending.reply.set(received)
