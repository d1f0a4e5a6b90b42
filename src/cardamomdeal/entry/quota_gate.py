"""Connects the quota keeper with the dispatcher's messages and timers."""

from collections.abc import Callable
import logging
import random
from typing import Any

import pykka

from cardamomdeal.entry import messages
from cardamomdeal.entry import quota_keeper
from cardamomdeal.fleet import routes
from cardamomdeal.internal import clock
from cardamomdeal.internal import scheduler
from cardamomdeal.settings import model as settings_model
from cardamomdeal.workspaces import keys
from cardamomdeal.workspaces import model as workspace_model
from cardamomdeal.workspaces import token_holder

Resume = Callable[[int, token_holder.Outcome], None]

log = logging.getLogger(__name__)


class QuotaGate:
    """Quotas of the requests of this host; owned by the dispatcher."""

    def __init__(
        self,
        owner: pykka.ActorRef[Any],
        settings: settings_model.EntrySettings,
        synchronizer: pykka.ActorRef[Any],
        time: clock.Clock,
        timers: scheduler.Scheduler,
        resume: Resume,
    ) -> None:
        self._owner = owner
        self._synchronizer = synchronizer
        self._time = time
        self._timers = timers
        self._resume = resume
        self._keeper = quota_keeper.QuotaKeeper(
            settings, random.Random(), time.now_ms()
        )
        self._workspaces: keys.Workspaces = ()
        self._wake_at_ms: int | None = None
        self._is_flush_due = False
        self._is_resume_due = False

    def admit(
        self, admission_id: int, workspace: workspace_model.Workspace | None
    ) -> token_holder.Decision | None:
        """Decide on a request; return None if it has no quota."""
        if workspace is None or workspace.quota is None:
            return None
        decision = self._keeper.request(
            admission_id, workspace, self._time.now_ms()
        )
        self._arrange_next_steps()
        return decision

    def withdraw(
        self, admission_id: int, workspace: workspace_model.Workspace | None
    ) -> None:
        """Forget a request that waits, as its caller has left."""
        self._keeper.withdraw(admission_id, workspace)

    def give_back(self, token: token_holder.Token) -> None:
        """Take back the token of a request that no server ran."""
        self._keeper.give_back(token, self._time.now_ms())
        self._arrange_next_steps()

    def set_routes(self, table: routes.RouteTable) -> None:
        """Replace the workspaces of the configuration in force."""
        index = table.key_index
        workspaces = index.workspaces if index else ()
        if workspaces is not self._workspaces:
            self._workspaces = workspaces
            self._keeper.set_workspaces(workspaces)

    def set_settings(self, settings: settings_model.EntrySettings) -> None:
        """Replace the bounds of the platform."""
        self._keeper.set_bounds(settings.bounds)

    def stop(self) -> None:
        """Lend no more tokens, as this host is stopping."""
        self._keeper.stop()

    def receive(self, message: messages.QuotaEvent) -> None:
        """Handle a message on quotas."""
        now_ms = self._time.now_ms()
        match message:
            case messages.QuotaDatagram(sender, received):
                self._keeper.receive(sender, received, now_ms)
            case messages.HostsSeen(hosts, confirmed_at_ms):
                self._keeper.set_hosts(hosts, confirmed_at_ms, now_ms)
            case messages.FlushQuotas():
                self._is_flush_due = False
                self._synchronizer.tell(
                    messages.SendDatagrams(
                        tuple(self._keeper.pop_sends(now_ms))
                    )
                )
            case messages.WakeQuotas():
                if self._wake_at_ms is None or now_ms < self._wake_at_ms:
                    # An earlier wake has taken its place.
                    return
                self._wake_at_ms = None
                self._keeper.wake(now_ms)
            case messages.ResumeRequests():
                self._is_resume_due = False
        self._run()

    def metrics(self) -> dict[str, int]:
        """Return counters of granted and refused requests."""
        return self._keeper.metrics()

    def _run(self) -> None:
        """Do what the keeper has decided, and see to its next steps."""
        for admission_id, outcome in self._keeper.pop_decided():
            try:
                self._resume(admission_id, outcome)
            except Exception:
                # The other requests were decided on as well.
                log.exception(
                    'request not resumed', extra={'admission_id': admission_id}
                )
        self._arrange_next_steps()

    def _arrange_next_steps(self) -> None:
        """See to it that the keeper's next steps are taken when due."""
        if self._keeper.has_decided and not self._is_resume_due:
            # Not at once: the caller may be in the middle of a request.
            self._is_resume_due = True
            self._owner.tell(messages.ResumeRequests())
        if self._keeper.has_sends and not self._is_flush_due:
            # What further messages ask for until then goes with it.
            self._is_flush_due = True
            self._owner.tell(messages.FlushQuotas())
        at_ms = self._keeper.next_event_at_ms()
        if at_ms is None:
            return
        if self._wake_at_ms is None or at_ms < self._wake_at_ms:
            self._wake_at_ms = at_ms
            delay_ms = max(1, at_ms - self._time.now_ms())
            self._timers.after(self._owner, messages.WakeQuotas(), delay_ms)
