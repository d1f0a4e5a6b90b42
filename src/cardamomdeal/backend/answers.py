"""What backend servers say in the headers of their answers."""

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
    """Say why a backend server refused to run a request."""

    SHED = 'shed'
    DRAINING = 'draining'
    STARTING = 'starting'
    DEADLINE = 'deadline'


@dataclasses.dataclass(frozen=True, slots=True)
class Load:
    """Hold the slots that a backend server says it uses."""

    used_slots: int
    slots: int


@dataclasses.dataclass(frozen=True, slots=True)
class Signals:
    """Hold what an answer says about its backend server."""

    load: Load | None
    draining: bool
    refusal: Refusal | None


def read_signals(headers: Mapping[str, str]) -> Signals:
    """Read the backend server's own headers; ignore damaged ones."""
    refusal = _refusal(headers.get(REFUSAL))
    draining = headers.get(STATE) == 'draining'
    return Signals(
        load=_load(headers.get(LOAD)),
        draining=draining or refusal is Refusal.DRAINING,
        refusal=refusal,
    )


def end_to_end(headers: Mapping[str, str]) -> list[tuple[str, str]]:
    """Return the headers that a proxy passes on."""
    named = {
        name.strip().lower()
        for name in headers.get('Connection', '').split(',')
    }
    return [
        (name, value)
        for name, value in headers.items()
        if name.lower() not in HOP_BY_HOP and name.lower() not in named
    ]


def _refusal(text: str | None) -> Refusal | None:
    try:
        return Refusal(text)
    except ValueError:
        return None


def _load(text: str | None) -> Load | None:
    used, _, slots = (text or '').partition('/')
    if not (used.isascii() and used.isdigit() and slots.isdigit()):
        return None
    return Load(int(used), int(slots))
