"""Classification of backend server responses as attempt results."""

from collections.abc import Mapping
import math
import re

from cardamomdeal.balancing import outcomes
from cardamomdeal.platform import wire

# Statuses from which a caller concludes that its request was not and will
# not be executed. A backend server states this with the NOT_EXECUTED header,
# never with the status alone.
NOT_EXECUTED_STATUSES = frozenset({408, 421, 429, 503})
MISDIRECTED_STATUS = 421
# A server that asks for a longer pause is tried again after this one.
MAX_RETRY_AFTER_MS = 600_000
_SECONDS = re.compile(r' *([0-9]{1,9}(?:\.[0-9]{1,9})?) *')
# Running and waiting requests and slots.
_LOAD = re.compile(r' *([0-9]{1,6}) *, *([0-9]{1,6}) *, *([0-9]{1,6}) *')


def classify(
    status: int, headers: Mapping[str, str], latency_ms: int
) -> outcomes.AttemptResult:
    """Return the result of an attempt whose response arrived complete."""
    load = _parse_load(headers.get(wire.SERVER_LOAD))
    is_leaving = headers.get(wire.SERVER_LEAVING, '').strip() == '1'
    if status == MISDIRECTED_STATUS:
        return outcomes.AnotherServer(headers.get(wire.SERVER_ID, ''))
    if wire.NOT_EXECUTED in headers:
        return outcomes.NotExecuted(
            status,
            load,
            is_leaving,
            _parse_retry_after_ms(headers.get(wire.RETRY_AFTER)),
        )
    if wire.SIGNATURE not in headers:
        return outcomes.Broken(latency_ms, f'unsigned answer {status}')
    if status in NOT_EXECUTED_STATUSES:
        # Forwarding this status would inform the caller that the request was
        # not executed, which the server has not stated.
        return outcomes.Broken(
            latency_ms, f'status {status} without word that it did not run'
        )
    return outcomes.Answered(status, latency_ms, load, is_leaving)


def _parse_retry_after_ms(text: str | None) -> int | None:
    match = _SECONDS.fullmatch(text or '')
    if match is None:
        return None
    return min(MAX_RETRY_AFTER_MS, math.ceil(float(match[1]) * 1_000))


def _parse_load(text: str | None) -> outcomes.Load | None:
    match = _LOAD.fullmatch(text or '')
    if match is None:
        return None
    running, waiting, slots = (int(part) for part in match.groups())
    # Without slots, it says nothing of the room for another request.
    return outcomes.Load(running, waiting, slots) if slots else None
