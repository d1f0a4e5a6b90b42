"""Environment documents as checked, immutable data."""

import dataclasses

from cardamomdeal.internal import address


@dataclasses.dataclass(frozen=True, slots=True)
class ShortWork:
    """Mark work that is answered within one deadline."""

    deadline_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class UploadWork:
    """Mark uploads, which may run long while bytes keep moving."""

    idle_timeout_ms: int
    deadline_ms: int


WorkClass = ShortWork | UploadWork


@dataclasses.dataclass(frozen=True, slots=True)
class Service:
    """Describe a service and the capacity that it always keeps."""

    name: str
    floor_slots: int


@dataclasses.dataclass(frozen=True, slots=True)
class BackendServer:
    """Describe one worker of a service."""

    name: str
    service: str
    data_centre: str
    address: address.Address
    slots: int
    max_connections: int


@dataclasses.dataclass(frozen=True, slots=True)
class WorkKind:
    """Describe one kind of work and the route that leads to it."""

    name: str
    service: str
    methods: frozenset[str]
    path_prefix: str
    idempotent: bool
    work_class: WorkClass
    max_body_bytes: int


@dataclasses.dataclass(frozen=True, slots=True)
class Document:
    """Hold everything that one environment document states."""

    name: str
    region: str
    data_centres: tuple[str, ...]
    services: tuple[Service, ...]
    backend_servers: tuple[BackendServer, ...]
    work_kinds: tuple[WorkKind, ...]

    def servers_of(self, service: str) -> tuple[BackendServer, ...]:
        """Return the backend servers of one service."""
        return tuple(
            server
            for server in self.backend_servers
            if server.service == service
        )


def class_name(work_class: WorkClass) -> str:
    """Return the word that documents use for a class of work."""
    match work_class:
        case ShortWork():
            return 'short'
        case UploadWork():
            return 'upload'
