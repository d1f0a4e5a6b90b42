"""Validated, immutable model of environment documents."""

import dataclasses

from cardamomdeal.internal import address


@dataclasses.dataclass(frozen=True, slots=True)
class ShortWork:
    """Work that must be answered within its deadline."""

    deadline_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class UploadWork:
    """Uploads, which may run long while data keeps flowing."""

    idle_timeout_ms: int
    deadline_ms: int


WorkClass = ShortWork | UploadWork


@dataclasses.dataclass(frozen=True, slots=True)
class Service:
    """Service and its capacity floor."""

    name: str
    floor_slots: int


@dataclasses.dataclass(frozen=True, slots=True)
class BackendServer:
    """Backend server of a service."""

    name: str
    service: str
    data_centre: str
    address: address.Address
    slots: int
    max_connections: int


@dataclasses.dataclass(frozen=True, slots=True)
class WorkKind:
    """Kind of work and the route that requests of it match."""

    name: str
    service: str
    methods: frozenset[str]
    path_prefix: str
    idempotent: bool
    work_class: WorkClass
    max_body_bytes: int


@dataclasses.dataclass(frozen=True, slots=True)
class Document:
    """Contents of an environment document."""

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


def work_class_name(work_class: WorkClass) -> str:
    """Return the name of a work class in documents."""
    match work_class:
        case ShortWork():
            return 'short'
        case UploadWork():
            return 'upload'
