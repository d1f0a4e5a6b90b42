"""Route table that maps methods and paths to kinds of work."""

from collections.abc import Iterator
import dataclasses

from cardamomdeal.document import model


@dataclasses.dataclass(frozen=True, slots=True)
class RouteFound:
    """Route that matches both the method and the path."""

    kind: model.WorkKind


@dataclasses.dataclass(frozen=True, slots=True)
class PathNotFound:
    """No route matches the path."""


@dataclasses.dataclass(frozen=True, slots=True)
class MethodNotAllowed:
    """A route matches the path, but none allows the method."""

    allowed: tuple[str, ...]


Match = RouteFound | PathNotFound | MethodNotAllowed


class RouteTable:
    """Route table that matches path prefixes at segment boundaries."""

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
                return RouteFound(methods[method])
            allowed = allowed or tuple(sorted(methods))
        return MethodNotAllowed(allowed) if allowed else PathNotFound()


def _prefixes(path: str) -> Iterator[str]:
    prefix = path.rstrip('/')
    while prefix:
        yield prefix
        prefix = prefix.rpartition('/')[0]
    yield ''
