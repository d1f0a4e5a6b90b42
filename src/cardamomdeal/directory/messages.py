"""What the tasks of a directory tell each other."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class Tick:
    """Mark the passing of one query interval."""


@dataclasses.dataclass(frozen=True, slots=True)
class FindAddresses:
    """Ask for the addresses that serve a kind of work."""

    work_kind: str
    data_centre: str


@dataclasses.dataclass(frozen=True, slots=True)
class Addresses:
    """Answer with addresses to use, the preferred one first."""

    addresses: tuple[str, ...]
    keep_for_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class UnknownWorkKind:
    """Answer that the document has no such kind of work."""

    known: tuple[str, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class NotKnown:
    """Answer that this directory cannot tell at the moment."""

    reason: str


Answer = Addresses | UnknownWorkKind | NotKnown
