"""Limits on the concurrent work of one backend server."""

from cardamomdeal.document import model
from cardamomdeal.routing import servers

SLOTS_PER_RESERVED_SLOT = 3


def has_free_slot(
    view: servers.ServerView,
    work_class: model.WorkClass,
    mixed_service: bool,
    now_ms: int,
) -> bool:
    """Return whether the server has a free slot for this work class."""
    slots = view.server.slots
    used = view.used_slots(now_ms)
    match work_class:
        case model.ShortWork():
            return used < slots
        case model.UploadWork() if mixed_service:
            # Uploads occupy a slot for minutes, so some slots are reserved
            # for short work, which would otherwise queue behind them.
            return used < slots - reserved_slots(slots)
        case model.UploadWork():
            return used < slots


def reserved_slots(slots: int) -> int:
    """Return the number of slots that uploads may not use."""
    if slots == 1:
        return 0
    return max(1, slots // SLOTS_PER_RESERVED_SLOT)
