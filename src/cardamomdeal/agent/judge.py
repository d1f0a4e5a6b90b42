"""Actor that decides which backend servers are ejected."""

import logging
from typing import Any

import pykka

from cardamomdeal.agent import messages
from cardamomdeal.channels import messages as channel
from cardamomdeal.health import ejections
from cardamomdeal.health import permits
from cardamomdeal.internal import actor
from cardamomdeal.internal import clock
from cardamomdeal.membership import rendezvous
from cardamomdeal.protocol import messages as protocol
from cardamomdeal.settings import model

JUDGES_PER_SERVICE = 2

log = logging.getLogger(__name__)


def judges_of(service: str, agents: tuple[str, ...]) -> list[str]:
    """Return the agents that judge a service, the primary one first."""
    return rendezvous.ranked(f'judge/{service}', agents)[:JUDGES_PER_SERVICE]


class Judge(actor.Actor):
    """Actor that owns the ejection controllers of the judged services."""

    def __init__(
        self,
        settings: model.AgentSettings,
        incarnation: protocol.Incarnation,
        agent: pykka.ActorRef[Any],
        time: clock.Clock,
    ) -> None:
        super().__init__()
        self._settings = settings
        self._incarnation = incarnation
        self._agent = agent
        self._time = time
        self._permit_store: pykka.ActorRef[Any] | None = None
        self._controllers: dict[str, ejections.EjectionController] = {}

    def receive(self, message: Any) -> Any:
        """Handle one message."""
        match message:
            case messages.EvidenceReceived(sender, report):
                self._handle_report(sender, report)
            case messages.UpdateEjections():
                self._step_controllers(message)
            case messages.PermitsRead(service_name, record):
                self._controller(service_name).reconcile_permits(
                    record, self._time.now_ms()
                )
            case messages.PermitStoreStarted(permit_store):
                self._permit_store = permit_store

    def _handle_report(
        self,
        sender: channel.Remote | None,
        report: protocol.EvidenceReport,
    ) -> None:
        now_ms = self._time.now_ms()
        controller = self._controller(report.service)
        controller.add_report(report, now_ms)
        reply = protocol.HeldEjections(
            judge=self._settings.name,
            service=report.service,
            asked_at_ms=report.asked_at_ms,
            ejected=controller.ejected(),
            weights=controller.weights(now_ms),
        )
        self._agent.tell(messages.EjectionReply(sender, reply))

    def _step_controllers(self, command: messages.UpdateEjections) -> None:
        for service in command.document.services:
            judges = judges_of(service.name, command.live_agents)
            if not judges:
                continue
            snapshot = ejections.FleetSnapshot(
                now_ms=self._time.now_ms(),
                capacity=permits.Capacity.from_document(
                    command.document, service.name, command.leaving_servers
                ),
                is_judge=self._settings.name in judges,
                is_primary=self._settings.name == judges[0],
                incarnations=command.incarnations,
                removed_agents=command.removed_agents,
            )
            self._step_controller(service.name, snapshot)

    def _step_controller(
        self, service_name: str, snapshot: ejections.FleetSnapshot
    ) -> None:
        controller = self._controller(service_name)
        ejected_before = controller.ejected()
        for action in controller.step(snapshot):
            self._execute(service_name, action)
        reinstated = set(ejected_before) - set(controller.ejected())
        if reinstated:
            log.info(
                'servers reinstated',
                extra={'service': service_name, 'servers': sorted(reinstated)},
            )

    def _execute(self, service_name: str, action: ejections.Action) -> None:
        if self._permit_store is None:
            return
        match action:
            case ejections.RequestPermit(server, capacity):
                log.warning(
                    'server suspected, requesting an ejection permit',
                    extra={'service': service_name, 'server': server},
                )
                self._permit_store.tell(
                    messages.RequestPermit(service_name, server, capacity)
                )
            case ejections.RemovePermits(removed):
                self._permit_store.tell(
                    messages.RemovePermits(service_name, removed)
                )
            case ejections.ReadPermits():
                self._permit_store.tell(messages.ReadPermits(service_name))

    def _controller(self, service_name: str) -> ejections.EjectionController:
        if service_name not in self._controllers:
            self._controllers[service_name] = ejections.EjectionController(
                self._incarnation, self._settings.ejection_validity_ms
            )
        return self._controllers[service_name]
