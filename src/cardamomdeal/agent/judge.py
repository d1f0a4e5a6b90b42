"""Actor that judges the backend servers of some services."""

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
    """Own the cases on the servers of the services judged here."""

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
        self._services: dict[str, ejections.EjectionController] = {}

    def receive(self, message: Any) -> Any:
        """Handle one message."""
        match message:
            case messages.EvidenceFrom(sender, report):
                self._take_report(sender, report)
            case messages.JudgeNow():
                self._judge(message)
            case messages.PermitsSeen(name, record):
                self._cases(name).reconcile_permits(
                    record, self._time.now_ms()
                )
            case messages.KeeperStarted(keeper):
                self._keeper = keeper

    def _take_report(
        self,
        sender: channel.Remote | None,
        report: protocol.EvidenceReport,
    ) -> None:
        now_ms = self._time.now_ms()
        judged = self._cases(report.service)
        judged.add_report(report, now_ms)
        held = protocol.HeldEjections(
            judge=self._settings.name,
            service=report.service,
            asked_at_ms=report.asked_at_ms,
            ejected=judged.ejected(),
            weights=judged.weights(now_ms),
        )
        self._core.tell(messages.Answer(sender, held))

    def _judge(self, now: messages.JudgeNow) -> None:
        for service in now.document.services:
            judges = judges_of(service.name, now.live_agents)
            if not judges:
                continue
            situation = ejections.FleetSnapshot(
                now_ms=self._time.now_ms(),
                capacity=permits.Capacity.from_document(
                    now.document, service.name, now.leaving_servers
                ),
                is_judge=self._settings.name in judges,
                is_primary=self._settings.name == judges[0],
                incarnations=now.incarnations,
                removed_agents=now.removed_agents,
            )
            self._step(service.name, situation)

    def _step(self, name: str, situation: ejections.FleetSnapshot) -> None:
        judged = self._cases(name)
        before = judged.ejected()
        for action in judged.step(situation):
            self._carry_out(name, action)
        returned = set(before) - set(judged.ejected())
        if returned:
            log.info(
                'servers return',
                extra={'service': name, 'servers': sorted(returned)},
            )

    def _carry_out(self, name: str, action: ejections.Action) -> None:
        if self._keeper is None:
            return
        match action:
            case ejections.RequestPermit(server, capacity):
                log.warning(
                    'server looks bad',
                    extra={'service': name, 'server': server},
                )
                self._keeper.tell(messages.AskPermit(name, server, capacity))
            case ejections.RemovePermits(dropped):
                self._keeper.tell(messages.DropPermits(name, dropped))
            case ejections.ReadPermits():
                self._keeper.tell(messages.ReadPermits(name))

    def _cases(self, name: str) -> ejections.EjectionController:
        if name not in self._services:
            self._services[name] = ejections.EjectionController(
                self._incarnation, self._settings.ejection_validity_ms
            )
        return self._services[name]
