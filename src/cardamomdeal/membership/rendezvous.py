"""Rendezvous hashing, so that hosts agree on roles independently."""

from collections.abc import Iterable
import hashlib


def ranked(role: str, names: Iterable[str]) -> list[str]:
    """Return the names in their order of preference for a role."""
    return sorted(names, key=lambda name: score(role, name), reverse=True)


def score(role: str, name: str) -> bytes:
    """Return how far to the front a name is among those for a role."""
    return hashlib.blake2b(f'{role}\0{name}'.encode(), digest_size=8).digest()
