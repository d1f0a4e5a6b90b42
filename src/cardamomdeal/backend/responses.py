"""Header fields that are exchanged with backend servers."""

from collections.abc import Mapping
import dataclasses
import enum

REQUEST_ID = 'Request-Id'
DEADLINE = 'Request-Deadline-Ms'
LOAD = 'Backend-Load'
STATE = 'Backend-State'
REFUSAL = 'Backend-Refusal'

HOP_BY_HOP = frozenset(
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


class Refusal(enum.Enum):
    """Reason why a backend server refused to execute a request."""

    SHED = 'shed'
    DRAINING = 'draining'
    STARTING = 'starting'
    DEADLINE = 'deadline'


@dataclasses.dataclass(frozen=True, slots=True)
class Load:
    """Load of a backend server as the server reports it."""

    used_slots: int
    slots: int


@dataclasses.dataclass(frozen=True, slots=True)
class Signals:
    """State of a backend server as reported in a response's headers."""

    load: Load | None
    draining: bool
    refusal: Refusal | None


def read_signals(headers: Mapping[str, str]) -> Signals:
    """Decode the backend server's state headers; ignore invalid values."""
    refusal = _decode_refusal(headers.get(REFUSAL))
    draining = headers.get(STATE) == 'draining'
    return Signals(
        load=_decode_load(headers.get(LOAD)),
        draining=draining or refusal is Refusal.DRAINING,
        refusal=refusal,
    )


def end_to_end_headers(headers: Mapping[str, str]) -> list[tuple[str, str]]:
    """Return the headers that a proxy forwards."""
    connection_options = {
        name.strip().lower()
        for name in headers.get('Connection', '').split(',')
    }
    return [
        (name, value)
        for name, value in headers.items()
        if name.lower() not in HOP_BY_HOP
        and name.lower() not in connection_options
    ]


def _decode_refusal(text: str | None) -> Refusal | None:
    try:
        return Refusal(text)
    except ValueError:
        return None


def _decode_load(text: str | None) -> Load | None:
    used, _, slots = (text or '').partition('/')
    if not (used.isascii() and used.isdigit() and slots.isdigit()):
        return None
    return Load(int(used), int(slots))
