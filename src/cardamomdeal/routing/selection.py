"""Chooses the backend server for a request."""

from collections.abc import Mapping
from collections.abc import Sequence
import dataclasses
import random

from cardamomdeal.document import model
from cardamomdeal.routing import limits
from cardamomdeal.routing import servers

CHOICES = 2


@dataclasses.dataclass(frozen=True, slots=True)
class Wanted:
    """Describe the work that a server is wanted for."""

    work_class: model.WorkClass
    data_centre: str
    excluded: frozenset[str]
    mixed_service: bool


def choose_server(
    views: Sequence[servers.ServerView],
    standings: Mapping[str, servers.Standing],
    wanted: Wanted,
    now_ms: int,
    randomness: random.Random,
) -> servers.ServerView | None:
    """Return a server with room, the local data centre first."""
    usable = [
        view for view in views if _is_usable(view, standings, wanted, now_ms)
    ]
    local = [
        view
        for view in usable
        if view.server.data_centre == wanted.data_centre
    ]
    for group in (local, usable):
        if group:
            return _least_used(group, standings, now_ms, randomness)
    return None


def _is_usable(
    view: servers.ServerView,
    standings: Mapping[str, servers.Standing],
    wanted: Wanted,
    now_ms: int,
) -> bool:
    standing = standings.get(view.server.name, servers.NORMAL)
    return (
        view.server.name not in wanted.excluded
        and not standing.ejected
        and not standing.leaving
        and not view.is_draining(now_ms)
        and not view.is_unreachable(now_ms)
        and limits.has_room(
            view, wanted.work_class, wanted.mixed_service, now_ms
        )
    )


def _least_used(
    group: Sequence[servers.ServerView],
    standings: Mapping[str, servers.Standing],
    now_ms: int,
    randomness: random.Random,
) -> servers.ServerView:
    weights = [
        standings.get(view.server.name, servers.NORMAL).weight
        * view.trust
        * view.server.slots
        for view in group
    ]
    drawn = randomness.choices(group, weights, k=CHOICES)
    return min(
        drawn,
        key=lambda view: (view.used_slots(now_ms) + 1) / view.server.slots,
    )
