"""Rendezvous hashing, so that hosts agree on roles independently."""

from collections.abc import Iterable
import hashlib


def ranked(role: str, names: Iterable[str]) -> list[str]:
    """Return the names in their order of preference for a role."""
    return sorted(names, key=lambda name: _score(role, name), reverse=True)


def _score(role: str, name: str) -> bytes:
    return hashlib.blake2b(f'{role}\0{name}'.encode(), digest_size=8).digest()
