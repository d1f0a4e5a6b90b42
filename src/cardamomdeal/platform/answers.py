"""Reads what a backend server's answer says of the attempt."""

from collections.abc import Mapping

from cardamomdeal.balancing import outcomes
from cardamomdeal.platform import wire

# Statuses that tell a caller that its request was not and will not be run;
# a server's word for it is the header, not the status.
NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})
MISDIRECTED = 421


def read_result(
    status: int, headers: Mapping[str, str], latency_ms: int
) -> outcomes.AttemptResult:
    """Return the result of an attempt that brought a whole answer."""
    load = _load(headers.get(wire.SERVER_LOAD))
    if status == MISDIRECTED:
        return outcomes.AnotherServer(headers.get(wire.SERVER_ID, ''))
    if wire.NOT_EXECUTED in headers:
        return outcomes.NotExecuted(status, load)
    if wire.SIGNATURE not in headers:
        return outcomes.Broken(latency_ms, f'unsigned answer {status}')
    if status in NOT_RUN_STATUSES:
        # Passed on, the status would promise what the server did not.
        return outcomes.Broken(
            latency_ms, f'status {status} without word that it did not run'
        )
    return outcomes.Answered(status, latency_ms, load)


def _load(text: str | None) -> outcomes.Load | None:
    parts = (text or '').split(',')
    if len(parts) != 3 or not all(part.strip().isdigit() for part in parts):
        return None
    running, waiting, slots = (int(part) for part in parts)
    return outcomes.Load(running, waiting, slots)
