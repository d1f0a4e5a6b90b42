"""Header fields of requests to backend servers and of their responses."""

from collections.abc import Mapping
import dataclasses
import enum
import re

REQUEST_ID = 'Request-Id'
DEADLINE = 'Request-Deadline-Ms'
LOAD = 'Backend-Load'
STATE = 'Backend-State'
REFUSAL = 'Backend-Refusal'

HOP_BY_HOP_HEADERS = frozenset(
    {
        'connection',
        'keep-alive',
        'proxy-authenticate',
        'proxy-authorization',
        'proxy-connection',
        'te',
        'trailer',
        'transfer-encoding',
        'upgrade',
    }
)
# Request slots in use and in total.
_LOAD = re.compile(r'([0-9]{1,6})/([0-9]{1,6})')


class Refusal(enum.Enum):
    """Reason that a backend server gives for refusing a request."""

    SHED = 'shed'
    DRAINING = 'draining'
    STARTING = 'starting'
    DEADLINE = 'deadline'


@dataclasses.dataclass(frozen=True, slots=True)
class Load:
    """Load that a backend server reports: request slots in use and total."""

    used_slots: int
    slots: int


@dataclasses.dataclass(frozen=True, slots=True)
class ReportedState:
    """State that a backend server reports in the headers of a response."""

    load: Load | None
    draining: bool
    refusal: Refusal | None


def decode_reported_state(headers: Mapping[str, str]) -> ReportedState:
    """Decode the state headers of a response; ignore invalid values."""
    refusal = _decode_refusal(headers.get(REFUSAL))
    draining = headers.get(STATE) == 'draining'
    return ReportedState(
        load=_decode_load(headers.get(LOAD)),
        draining=draining or refusal is Refusal.DRAINING,
        refusal=refusal,
    )


def end_to_end_headers(headers: Mapping[str, str]) -> list[tuple[str, str]]:
    """Return the headers without those of a single hop (RFC 9110, 7.6.1)."""
    connection_options = {
        name.strip().lower()
        for name in headers.get('Connection', '').split(',')
    }
    return [
        (name, value)
        for name, value in headers.items()
        if name.lower() not in HOP_BY_HOP_HEADERS
        and name.lower() not in connection_options
    ]


def _decode_refusal(value: str | None) -> Refusal | None:
    try:
        return Refusal(value)
    except ValueError:
        return None


def _decode_load(value: str | None) -> Load | None:
    match = _LOAD.fullmatch(value or '')
    if match is None:
        return None
    return Load(int(match[1]), int(match[2]))
