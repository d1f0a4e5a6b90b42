"""Messages to the lookup actor of a directory, and its results."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class Tick:
    """Event: one query interval has passed."""


@dataclasses.dataclass(frozen=True, slots=True)
class FindAddresses:
    """Request for addresses of gateways that serve a kind of work."""

    work_kind: str
    data_centre: str


@dataclasses.dataclass(frozen=True, slots=True)
class Addresses:
    """Addresses of gateways, in order of preference."""

    addresses: tuple[str, ...]
    keep_for_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class UnknownWorkKind:
    """The configuration has no such kind of work."""

    known: tuple[str, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Unavailable:
    """No current view from the agent, or no gateway for the work."""

    reason: str


Result = Addresses | UnknownWorkKind | Unavailable
