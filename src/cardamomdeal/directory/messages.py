"""Messages to the address resolver of a directory, and its results."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class Tick:
    """Event: one query interval has passed."""


@dataclasses.dataclass(frozen=True, slots=True)
class FindAddresses:
    """Request for the addresses of gateways that serve a kind of work."""

    work_kind: str
    data_centre: str


@dataclasses.dataclass(frozen=True, slots=True)
class Addresses:
    """Addresses of gateways, in order of preference."""

    addresses: tuple[str, ...]
    keep_for_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class UnknownWorkKind:
    """The configuration has no such kind of work; `known` are those it has."""

    known: tuple[str, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Unavailable:
    """There is no recent view from the agent, or no usable gateway."""

    reason: str


LookupResult = Addresses | UnknownWorkKind | Unavailable
