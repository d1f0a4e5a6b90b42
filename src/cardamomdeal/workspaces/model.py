"""Immutable data classes: workspaces, their keys and their quotas."""

import dataclasses
import hashlib

KeyDigest = bytes


@dataclasses.dataclass(frozen=True, slots=True)
class Quota:
    """Requests that a workspace may run, over all hosts."""

    rate_per_s: float
    burst: float


@dataclasses.dataclass(frozen=True, slots=True)
class Workspace:
    """A workspace of the configuration."""

    name: str
    # Digests of its keys; the keys themselves are not kept.
    key_digests: tuple[KeyDigest, ...]
    # Goes before the priority of a route; None if the workspace has none.
    priority: int | None
    # None if its requests are not limited.
    quota: Quota | None
    # Stands for it in messages.
    number: int = dataclasses.field(init=False, repr=False, compare=False)

    def __post_init__(self) -> None:
        """Number the workspace once, when it is decoded."""
        object.__setattr__(self, 'number', number_of(self.name))


def number_of(name: str) -> int:
    """Return the number that stands for a workspace in messages."""
    digest = hashlib.blake2b(name.encode(), digest_size=8).digest()
    return int.from_bytes(digest) >> 1


@dataclasses.dataclass(frozen=True, slots=True)
class NoKey:
    """A request without a key."""


@dataclasses.dataclass(frozen=True, slots=True)
class Key:
    """A request with one well-formed key."""

    digest: KeyDigest


@dataclasses.dataclass(frozen=True, slots=True)
class MalformedKey:
    """A request whose key cannot be read."""

    reason: str


Credentials = NoKey | Key | MalformedKey


@dataclasses.dataclass(frozen=True, slots=True)
class Unrestricted:
    """The request needs no key."""


@dataclasses.dataclass(frozen=True, slots=True)
class Authenticated:
    """The request comes from a workspace."""

    workspace: Workspace


@dataclasses.dataclass(frozen=True, slots=True)
class Unauthenticated:
    """The request has no valid key and must not run."""

    reason: str


@dataclasses.dataclass(frozen=True, slots=True)
class Unproven:
    """Whether the key is still valid is not known here."""

    reason: str
    retry_after_ms: int


Authentication = Unrestricted | Authenticated | Unauthenticated | Unproven
