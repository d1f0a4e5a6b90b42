"""State of one request from its admission until it ends."""

import dataclasses

from cardamomdeal.admission import waiting
from cardamomdeal.entry import admission_gate
from cardamomdeal.entry import messages
from cardamomdeal.entry import server_tracker
from cardamomdeal.fleet import model
from cardamomdeal.internal import deferred
from cardamomdeal.workspaces import model as workspace_model
from cardamomdeal.workspaces import token_holder

# A server cannot complete a request in less time.
MIN_REMAINING_MS = 20
DEFAULT_TIMEOUT_MS = 30_000
# Weights in the fair shares of a service.
DEFAULT_WEIGHT = 1.0
MIN_WEIGHT = 0.01


@dataclasses.dataclass(slots=True)
class OpenRequest:
    """State of a request from its admission until it ends."""

    admission_id: int
    admit: messages.Admit
    route: model.Route
    service: str
    deadline_at_ms: int
    # None if the request needs no key.
    workspace: workspace_model.Workspace | None
    # Whether the configuration had workspaces at any attempt.
    withholds_key: bool
    # None until a server is assigned.
    attempt: server_tracker.Attempt | None = None
    tried_servers: set[model.Incarnation] = dataclasses.field(
        default_factory=set
    )
    # Token of the workspace's quota, if it has one.
    token: token_holder.Token | None = None
    may_have_run: bool = False
    sent_attempts: int = 1
    unsent_attempts: int = 0
    # None unless it was sent while room was short.
    expected: admission_gate.Expectation | None = None
    # Why the attempt before was not the last, if this is a repeat.
    repeat_reason: str | None = None
    # Delivers the decision if the request has to wait for it.
    reply: deferred.Deferred[messages.Assigned | messages.Rejected] | None = (
        None
    )

    @property
    def priority(self) -> int:
        """Return the priority of the workspace, else that of the route."""
        if self.workspace is None or self.workspace.priority is None:
            return self.route.priority
        return self.workspace.priority

    def demand(self) -> waiting.Demand:
        """Return what the request asks of its service."""
        aim_ms = self.route.target_latency_ms
        aim_at_ms = self.deadline_at_ms
        if aim_ms is not None:
            aim_at_ms = min(aim_at_ms, self.admit.arrived_at_ms + aim_ms)
        quota = self.workspace and self.workspace.quota
        return waiting.Demand(
            self.admission_id,
            self.admit.request_id,
            self.priority,
            self.workspace and self.workspace.name,
            max(MIN_WEIGHT, quota.rate_per_s) if quota else DEFAULT_WEIGHT,
            self.admit.body_bytes,
            aim_at_ms,
            self.deadline_at_ms - MIN_REMAINING_MS,
        )


def deadline_at_ms(route: model.Route, admit: messages.Admit) -> int:
    """Return when a request has no time left."""
    timeouts_ms = [
        timeout_ms
        for timeout_ms in (route.timeout_ms, admit.deadline_ms)
        if timeout_ms is not None
    ]
    return admit.arrived_at_ms + min(timeouts_ms, default=DEFAULT_TIMEOUT_MS)
