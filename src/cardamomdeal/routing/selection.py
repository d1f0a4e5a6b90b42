"""Backend server selection."""

from collections.abc import Mapping
from collections.abc import Sequence
import dataclasses
import random

from cardamomdeal.document import model
from cardamomdeal.routing import limits
from cardamomdeal.routing import servers

CANDIDATES_PER_CHOICE = 2


@dataclasses.dataclass(frozen=True, slots=True)
class Requirements:
    """Requirements of a request on its backend server."""

    work_class: model.WorkClass
    data_centre: str
    excluded: frozenset[str]
    mixed_service: bool


def choose_server(
    views: Sequence[servers.ServerView],
    statuses: Mapping[str, servers.ServerStatus],
    requirements: Requirements,
    now_ms: int,
    rng: random.Random,
) -> servers.ServerView | None:
    """Return an eligible server, preferring the local data centre."""
    eligible = [
        view
        for view in views
        if _is_eligible(view, statuses, requirements, now_ms)
    ]
    local = [
        view
        for view in eligible
        if view.server.data_centre == requirements.data_centre
    ]
    for group in (local, eligible):
        if group:
            return _choose_least_used(group, statuses, now_ms, rng)
    return None


def _is_eligible(
    view: servers.ServerView,
    statuses: Mapping[str, servers.ServerStatus],
    requirements: Requirements,
    now_ms: int,
) -> bool:
    status = statuses.get(view.server.name, servers.DEFAULT_STATUS)
    return (
        view.server.name not in requirements.excluded
        and not status.ejected
        and not status.leaving
        and not view.is_draining(now_ms)
        and not view.is_unreachable(now_ms)
        and limits.has_free_slot(
            view, requirements.work_class, requirements.mixed_service, now_ms
        )
    )


def _choose_least_used(
    group: Sequence[servers.ServerView],
    statuses: Mapping[str, servers.ServerStatus],
    now_ms: int,
    rng: random.Random,
) -> servers.ServerView:
    weights = [
        statuses.get(view.server.name, servers.DEFAULT_STATUS).weight
        * view.health_factor
        * view.server.slots
        for view in group
    ]
    candidates = rng.choices(group, weights, k=CANDIDATES_PER_CHOICE)
    return min(
        candidates,
        key=lambda view: (view.used_slots(now_ms) + 1) / view.server.slots,
    )
