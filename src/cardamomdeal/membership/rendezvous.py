"""Assigns duties to hosts so that all who know them agree."""

from collections.abc import Iterable
import hashlib


def ranked(duty: str, names: Iterable[str]) -> list[str]:
    """Return names in their order of preference for a duty."""
    return sorted(names, key=lambda name: _score(duty, name), reverse=True)


def _score(duty: str, name: str) -> bytes:
    return hashlib.blake2b(f'{duty}\0{name}'.encode(), digest_size=8).digest()
