"""Decides which configuration version a host activates."""

import dataclasses

from returns.result import Failure
from returns.result import Success

from cardamomdeal.document import check
from cardamomdeal.document import load
from cardamomdeal.document import model
from cardamomdeal.protocol import messages


@dataclasses.dataclass(frozen=True, slots=True)
class ActiveConfiguration:
    """Configuration that this host has adopted."""

    head: messages.Head
    canonical: bytes
    document: model.Document


@dataclasses.dataclass(frozen=True, slots=True)
class Adopted:
    """The offered version was adopted and is now active."""

    active: ActiveConfiguration


@dataclasses.dataclass(frozen=True, slots=True)
class Ignored:
    """The offered version is not newer than the active one."""


@dataclasses.dataclass(frozen=True, slots=True)
class Rejected:
    """The offered document is invalid or does not match its digest."""

    problems: check.Problems


Decision = Adopted | Ignored | Rejected


class Adoption:
    """Active configuration, which only newer versions replace."""

    def __init__(self) -> None:
        self.active: ActiveConfiguration | None = None
        self._is_confirmed = False

    @property
    def version(self) -> int:
        """Return the adopted version, or 0 if there is none."""
        return self.active.head.version if self.active else 0

    @property
    def ready(self) -> bool:
        """Return whether the active version is confirmed and may serve."""
        return self._is_confirmed and self.active is not None

    @property
    def documents(self) -> tuple[model.Document, ...]:
        """Return the adopted document, if there is one."""
        return (self.active.document,) if self.active else ()

    @property
    def services(self) -> tuple[model.Service, ...]:
        """Return the services of the adopted document."""
        return tuple(
            service
            for document in self.documents
            for service in document.services
        )

    @property
    def backend_servers(self) -> tuple[model.BackendServer, ...]:
        """Return the backend servers of the adopted document."""
        return tuple(
            server
            for document in self.documents
            for server in document.backend_servers
        )

    def offer(self, head: messages.Head, canonical: bytes) -> Decision:
        """Adopt the offered version if it is newer and valid."""
        if head.version <= self.version:
            return Ignored()
        match load.read_document(canonical, head.digest):
            case Success(document):
                self.active = ActiveConfiguration(head, canonical, document)
                return Adopted(self.active)
            case Failure(problems):
                return Rejected(problems)

    def confirm_from_store(self, version: int) -> None:
        """Confirm the active version unless the store's is newer."""
        if version <= self.version:
            self._is_confirmed = True

    def confirm_from_peers(
        self, replied_versions: tuple[int, ...], known_peers: int
    ) -> None:
        """Confirm the active version if a majority replied with none newer."""
        # A single stale peer must not bring an old configuration back on a
        # host that joins while the store is down. A majority cannot be
        # stale once a change has had a few seconds to propagate.
        majority = len(replied_versions) > known_peers / 2
        if majority and max(replied_versions) <= self.version:
            self._is_confirmed = True
