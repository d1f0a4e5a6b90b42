"""Actor that finds the gateway addresses of a kind of work."""

import random
from typing import Any

from returns.result import Success

from cardamomdeal.channels import messages as channel
from cardamomdeal.channels import task
from cardamomdeal.directory import gateway_selection
from cardamomdeal.directory import messages
from cardamomdeal.document import load
from cardamomdeal.document import model as document_model
from cardamomdeal.internal import actor
from cardamomdeal.internal import clock
from cardamomdeal.internal import ticker
from cardamomdeal.protocol import messages as protocol
from cardamomdeal.settings import model


class AddressResolver(actor.Actor):
    """Actor that caches the agent's view and finds addresses in it."""

    def __init__(
        self, settings: model.DirectorySettings, time: clock.Clock
    ) -> None:
        super().__init__()
        self._settings = settings
        self._time = time
        self._rng = random.Random()
        self._agent = channel.Peer(settings.agent)
        self._hosts: tuple[protocol.HostRecord, ...] = ()
        self._view_received_at_ms = -settings.view_valid_ms
        self._document_version = 0
        self._work_classes: dict[str, str] = {}

    def on_start(self) -> None:
        """Start the channel and the ticker, and query the agent."""
        self._channel = task.ChannelTask(self.actor_ref, None)
        self._channel.start()
        self._ticker = ticker.Ticker(
            self.actor_ref, messages.Tick(), self._settings.query_interval_ms
        )
        self._ticker.start()
        self._query()

    def on_stop(self) -> None:
        """Stop the ticker and the channel."""
        self._ticker.stop()
        self._channel.command(channel.Stop())

    def receive(self, message: Any) -> Any:
        """Handle one message."""
        match message:
            case messages.Tick():
                return self._query()
            case messages.FindAddresses():
                return self._find_addresses(message)
            case channel.Received(_, protocol.DirectoryView(hosts)):
                self._hosts = hosts
                self._view_received_at_ms = self._time.now_ms()
            case channel.Received(_, protocol.DocumentOffer() as offer):
                self._update_work_classes(offer)
        return None

    def _query(self) -> None:
        for message in (
            protocol.DirectoryQuery(self._settings.name),
            protocol.DocumentRequest(self._document_version),
        ):
            self._channel.command(channel.Send(self._agent, message))

    def _update_work_classes(self, offer: protocol.DocumentOffer) -> None:
        if offer.head.version <= self._document_version:
            return
        match load.read_document(offer.document, offer.head.digest):
            case Success(document):
                self._document_version = offer.head.version
                self._work_classes = {
                    kind.name: document_model.work_class_name(kind.work_class)
                    for kind in document.work_kinds
                }

    def _find_addresses(
        self, request: messages.FindAddresses
    ) -> messages.LookupResult:
        age_ms = self._time.now_ms() - self._view_received_at_ms
        if age_ms > self._settings.view_valid_ms or not self._document_version:
            # An older view may list gateways that have stopped since.
            return messages.Unavailable('no recent word from the agent')
        work_class = self._work_classes.get(request.work_kind)
        if work_class is None:
            return messages.UnknownWorkKind(tuple(sorted(self._work_classes)))
        selected = gateway_selection.select_gateways(
            self._hosts,
            work_class,
            request.data_centre or self._settings.place.data_centre,
            self._settings.addresses_per_answer,
            self._rng,
        )
        if not selected:
            return messages.Unavailable(
                f'no gateway carries {work_class} work'
            )
        return messages.Addresses(
            tuple(gateway.address for gateway in selected),
            self._settings.keep_for_ms,
        )
