"""Actor that asks agents on behalf of the administration API."""

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

QUESTION_VALID_MS = 10_000


@dataclasses.dataclass(frozen=True, slots=True)
class _Pending:
    reply: pykka.Future[Any]
    expires_at_ms: int


class Fleet(actor.Actor):
    """Own the channel to the agents and the questions under way."""

    def __init__(
        self, settings: model.AdminSettings, time: clock.Clock
    ) -> None:
        super().__init__()
        self._settings = settings
        self._time = time
        self._pending: dict[str, _Pending] = {}

    def on_start(self) -> None:
        """Open the channel."""
        self._channel = task.ChannelTask(self.actor_ref, None)
        self._channel.start()

    def on_stop(self) -> None:
        """Close the channel."""
        self._channel.command(channel.Stop())

    def receive(self, message: Any) -> Any:
        """Handle one message."""
        match message:
            case messages.Announce(environment, offer):
                self._announce(environment, offer)
            case messages.AskAgent():
                self._ask_agent(message)
            case channel.Received(_, received):
                self._take(received)

    def _announce(
        self, environment: str, offer: protocol.DocumentOffer
    ) -> None:
        agent = self._settings.agents.get(environment)
        if agent is not None:
            self._channel.command(channel.Send(channel.Peer(agent), offer))

    def _ask_agent(self, ask: messages.AskAgent) -> None:
        now_ms = self._time.now_ms()
        self._pending = {
            request_id: pending
            for request_id, pending in self._pending.items()
            if pending.expires_at_ms > now_ms
        }
        self._pending[ask.request_id] = _Pending(
            ask.reply, now_ms + QUESTION_VALID_MS
        )
        peer = channel.Peer(address.parse_address(ask.address))
        self._channel.command(channel.Send(peer, ask.question))

    def _take(self, received: protocol.AnyMessage) -> None:
        match received:
            case (
                protocol.AgentStatus(request_id=request_id)
                | protocol.HistogramReply(request_id=request_id)
                | protocol.Done(request_id=request_id)
            ):
                pending = self._pending.pop(request_id, None)
                if pending is not None:
                    pending.reply.set(received)
