"""Bounds the work that a gateway puts on one backend server."""

from cardamomdeal.document import model
from cardamomdeal.routing import servers

SLOTS_PER_RESERVED_SLOT = 3


def has_room(
    view: servers.ServerView,
    work_class: model.WorkClass,
    mixed_service: bool,
    now_ms: int,
) -> bool:
    """Return whether the server has a slot for work of this class."""
    slots = view.server.slots
    used = view.used_slots(now_ms)
    match work_class:
        case model.ShortWork():
            return used < slots
        case model.UploadWork() if mixed_service:
            # Uploads hold a slot for minutes; the last slots stay free for
            # short work, which would otherwise wait behind them.
            return used < slots - reserved_slots(slots)
        case model.UploadWork():
            return used < slots


def reserved_slots(slots: int) -> int:
    """Return how many of a server's slots uploads may not take."""
    if slots == 1:
        return 0
    return max(1, slots // SLOTS_PER_RESERVED_SLOT)
