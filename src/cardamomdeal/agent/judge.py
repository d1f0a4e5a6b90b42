"""Actor that decides on the ejection of backend servers."""

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


def judges_of(service: str, names: tuple[str, ...]) -> list[str]:
    """Return the agents that judge a service, the primary one first."""
    return rendezvous.ranked(f'judge/{service}', names)[:JUDGES_PER_SERVICE]


class Judge(actor.Actor):
    """Actor that owns the ejection controllers of the judged services."""

    def __init__(
        self,
        settings: model.AgentSettings,
        incarnation: protocol.Incarnation,
        core: pykka.ActorRef[Any],
        time: clock.Clock,
    ) -> None:
        super().__init__()
        self._settings = settings
        self._incarnation = incarnation
        self._core = core
        self._time = time
        self._keeper: pykka.ActorRef[Any] | None = None
        self._controllers: dict[str, ejections.EjectionController] = {}

    def receive(self, message: Any) -> Any:
        """Handle one message."""
        match message:
            case messages.EvidenceFrom(sender, report):
                self._handle_report(sender, report)
            case messages.JudgeNow():
                self._step_services(message)
            case messages.PermitsRead(name, record):
                self._controller(name).reconcile_permits(
                    record, self._time.now_ms()
                )
            case messages.KeeperStarted(keeper):
                self._keeper = keeper

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
        self._core.tell(messages.Answer(sender, reply))

    def _step_services(self, command: messages.JudgeNow) -> None:
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
            self._step_service(service.name, snapshot)

    def _step_service(
        self, name: str, snapshot: ejections.FleetSnapshot
    ) -> None:
        controller = self._controller(name)
        ejected_before = controller.ejected()
        for action in controller.step(snapshot):
            self._execute(name, action)
        reinstated = set(ejected_before) - set(controller.ejected())
        if reinstated:
            log.info(
                'servers reinstated',
                extra={'service': name, 'servers': sorted(reinstated)},
            )

    def _execute(self, name: str, action: ejections.Action) -> None:
        if self._keeper is None:
            return
        match action:
            case ejections.RequestPermit(server, capacity):
                log.warning(
                    'server suspected, requesting an ejection permit',
                    extra={'service': name, 'server': server},
                )
                self._keeper.tell(
                    messages.RequestPermit(name, server, capacity)
                )
            case ejections.RemovePermits(removed):
                self._keeper.tell(messages.RemovePermits(name, removed))
            case ejections.ReadPermits():
                self._keeper.tell(messages.ReadPermits(name))

    def _controller(self, name: str) -> ejections.EjectionController:
        if name not in self._controllers:
            self._controllers[name] = ejections.EjectionController(
                self._incarnation, self._settings.ejection_validity_ms
            )
        return self._controllers[name]
