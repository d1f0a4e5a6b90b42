"""Actor that exchanges messages with the agent of the host."""

import logging
from typing import Any

import pykka
from returns.result import Failure
from returns.result import Success

from cardamomdeal.channels import messages as channel
from cardamomdeal.channels import task
from cardamomdeal.document import load
from cardamomdeal.gateway import messages
from cardamomdeal.internal import actor
from cardamomdeal.internal import clock
from cardamomdeal.internal import ticker
from cardamomdeal.protocol import messages as protocol
from cardamomdeal.routing import servers
from cardamomdeal.settings import model
from cardamomdeal.telemetry import metrics

HISTOGRAM_REPORT_TICKS = 4

log = logging.getLogger(__name__)


class AgentClient(actor.Actor):
    """Actor that reports to the agent and receives its updates.

    It passes configuration documents and server states to the dispatcher.
    """

    def __init__(
        self,
        settings: model.GatewaySettings,
        dispatcher: pykka.ActorRef[Any],
        stop: Any,
        time: clock.Clock,
    ) -> None:
        super().__init__()
        self._settings = settings
        self._dispatcher = dispatcher
        self._stop_process = stop
        self._time = time
        self._agent = channel.Peer(settings.agent)
        self._incarnation = protocol.Incarnation(settings.name, time.wall_ms())
        self._metrics = metrics.Metrics('gateway', settings.telemetry)
        self._document_version = 0
        self._stopping = False
        self._ticks = 0

    def on_start(self) -> None:
        """Start the channel to the agent and the periodic reports."""
        self._channel = task.ChannelTask(self.actor_ref, None)
        self._channel.start()
        self._ticker = ticker.Ticker(
            self.actor_ref,
            messages.Tick(),
            self._settings.report_interval_ms,
        )
        self._ticker.start()
        self._report()

    def on_stop(self) -> None:
        """Stop the ticker and the channel."""
        self._ticker.stop()
        self._channel.command(channel.Stop())

    def receive(self, message: Any) -> Any:
        """Handle one message."""
        match message:
            case messages.Tick():
                self._report()
            case channel.Received(_, received):
                self._handle_agent_message(received)
            case channel.Dropped(reason):
                log.warning(
                    'message dropped',
                    extra={'reason': reason},
                )
                self._metrics.increment('messages_dropped')
            case messages.PrepareStop():
                self._stopping = True
                self._report()

    def _handle_agent_message(self, received: protocol.AnyMessage) -> None:
        match received:
            case protocol.DocumentOffer():
                self._apply_document(received)
            case protocol.ServerStates():
                self._forward_server_states(received)
            case protocol.StopGateway():
                log.info('stopping at the request of the agent')
                self._stop_process()
            case _:
                self._metrics.increment('messages_unexpected')

    def _apply_document(self, offer: protocol.DocumentOffer) -> None:
        if offer.head.version <= self._document_version:
            return
        match load.read_document(offer.document, offer.head.digest):
            case Success(document):
                self._document_version = offer.head.version
                self._dispatcher.tell(
                    messages.DocumentUpdate(offer.head.version, document)
                )
                log.info(
                    'configuration applied',
                    extra={'version': offer.head.version},
                )
                self._report()
            case Failure(problems):
                log.error(
                    'invalid configuration ignored',
                    extra={'problems': [str(problem) for problem in problems]},
                )

    def _forward_server_states(self, states: protocol.ServerStates) -> None:
        statuses = {
            state.server: servers.ServerStatus(
                state.ejected, state.leaving, state.weight
            )
            for state in states.states
        }
        # The validity starts when the report was sent to which this message
        # replies, so that a delayed reply does not extend an ejection.
        expires_at_ms = states.asked_at_ms + states.valid_for_ms
        self._dispatcher.tell(
            messages.ServerStatusUpdate(statuses, expires_at_ms)
        )

    def _report(self) -> None:
        interval: messages.IntervalReport = self._dispatcher.ask(
            messages.TakeIntervalReport()
        )
        self._metrics.gauge('in_flight', interval.in_flight)
        self._send(
            protocol.GatewayReport(
                record=self._record(interval),
                asked_at_ms=self._time.now_ms(),
                evidence=interval.evidence,
                draining_servers=interval.draining_servers,
            )
        )
        self._ticks += 1
        if self._ticks % HISTOGRAM_REPORT_TICKS == 0:
            self._report_histograms()

    def _record(
        self, interval: messages.IntervalReport
    ) -> protocol.GatewayRecord:
        return protocol.GatewayRecord(
            incarnation=self._incarnation,
            address=str(self._settings.listen),
            work_classes=tuple(sorted(self._settings.work_classes)),
            stopping=self._stopping,
            ready=self._document_version > 0,
            in_flight=self._round_in_flight(interval.in_flight),
            threads=self._settings.threads,
            document_version=self._document_version,
        )

    def _round_in_flight(self, in_flight: int) -> int:
        """Round down to a multiple of a quarter of the threads.

        Every change of a record is sent to all hosts, so small changes are
        left out.
        """
        quarter = max(1, self._settings.threads // 4)
        return in_flight // quarter * quarter

    def _report_histograms(self) -> None:
        encoded = self._dispatcher.ask(messages.TakeHistograms())
        self._send(protocol.GatewayHistograms(self._settings.name, encoded))

    def _send(self, message: protocol.AnyMessage) -> None:
        if not self._channel.command(channel.Send(self._agent, message)):
            self._metrics.increment('messages_dropped')
