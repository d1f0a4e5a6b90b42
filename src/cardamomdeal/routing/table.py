"""Finds the kind of work that a request asks for."""

from collections.abc import Iterator
import dataclasses

from cardamomdeal.document import model


@dataclasses.dataclass(frozen=True, slots=True)
class Found:
    """Report the kind of work that serves a request."""

    kind: model.WorkKind


@dataclasses.dataclass(frozen=True, slots=True)
class NoSuchPath:
    """Report that no kind of work has this path."""


@dataclasses.dataclass(frozen=True, slots=True)
class NoSuchMethod:
    """Report that the path exists, but not with this method."""

    allowed: tuple[str, ...]


Match = Found | NoSuchPath | NoSuchMethod


class RouteTable:
    """Match paths against prefixes at segment boundaries."""

    def __init__(self, kinds: tuple[model.WorkKind, ...]) -> None:
        self._by_prefix: dict[str, dict[str, model.WorkKind]] = {}
        for kind in kinds:
            prefix = kind.path_prefix.rstrip('/')
            methods = self._by_prefix.setdefault(prefix, {})
            methods.update((method, kind) for method in kind.methods)

    def find(self, method: str, path: str) -> Match:
        """Return the kind of work with the longest matching prefix."""
        allowed: tuple[str, ...] = ()
        for prefix in _prefixes(path):
            methods = self._by_prefix.get(prefix)
            if methods is None:
                continue
            if method in methods:
                return Found(methods[method])
            allowed = allowed or tuple(sorted(methods))
        return NoSuchMethod(allowed) if allowed else NoSuchPath()


def _prefixes(path: str) -> Iterator[str]:
    prefix = path.rstrip('/')
    while prefix:
        yield prefix
        prefix = prefix.rpartition('/')[0]
    yield ''
