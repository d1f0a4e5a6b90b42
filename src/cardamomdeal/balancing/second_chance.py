"""Decides when a server that is avoided gets a request all the same."""

from collections.abc import Sequence
import dataclasses
import math

from cardamomdeal.balancing import avoidance
from cardamomdeal.balancing import outcomes

# Above this share of failed attempts the capacity floor binds: avoiding
# servers has not helped enough, and some that are avoided may be sound.
FLOOR_BINDS_SHARE = 0.08
# A server that failed so lately is not sound and not part of the floor.
UNSOUND_MS = 2_000
# For the floor a server needs work every two seconds; it is given some
# once its last failure is this old, at this rate from all hosts.
FLOOR_PAUSE_MS = 1_500
FLOOR_PER_S = 3.0
# Work that may be repeated shows soon whether a server works again, at
# the price of one repeat if it does not.
PROBE_PAUSE_MS = 1_000
PROBE_PER_S = 0.7
# Trying a silent server again costs a long wait, and one that was replaced
# does not come back.
PROBED_SYMPTOMS = (outcomes.Symptom.ERROR, outcomes.Symptom.BROKEN)
# At most this share of a service's requests takes such a risk.
MAX_SHARE = 0.25


@dataclasses.dataclass(frozen=True, slots=True)
class Service:
    """Hold how a service fares, for all hosts together."""

    rate_per_s: float
    unserved_share: float
    capacity_floor: float


@dataclasses.dataclass(frozen=True, slots=True)
class SecondChances:
    """Name servers to try again, and the share of requests to do it."""

    places: tuple[int, ...]
    share: float


NONE = SecondChances((), 0.0)


def find(
    avoided: Sequence[avoidance.Suspicion],
    in_use: int,
    service: Service,
    repeatable: bool,
    now_ms: int,
) -> SecondChances:
    """Return which of the avoided servers to try, by their places."""
    sound = in_use + sum(
        now_ms - suspicion.failed_at_ms > UNSOUND_MS for suspicion in avoided
    )
    missing = math.ceil(sound * service.capacity_floor) - in_use
    if missing > 0 and service.unserved_share > FLOOR_BINDS_SHARE:
        places = [
            place
            for place, suspicion in enumerate(avoided)
            if now_ms - suspicion.failed_at_ms > FLOOR_PAUSE_MS
            and suspicion.symptom is not outcomes.Symptom.REPLACED
        ]
        return _chances(places[:missing], FLOOR_PER_S, service)
    if repeatable:
        places = [
            place
            for place, suspicion in enumerate(avoided)
            if now_ms - suspicion.failed_at_ms > PROBE_PAUSE_MS
            and suspicion.symptom in PROBED_SYMPTOMS
        ]
        return _chances(places, PROBE_PER_S, service)
    return NONE


def _chances(
    places: list[int], per_s: float, service: Service
) -> SecondChances:
    if not places:
        return NONE
    share = len(places) * per_s / service.rate_per_s
    return SecondChances(tuple(places), min(MAX_SHARE, share))
