"""Decides which configuration a host puts in force."""

import dataclasses

from returns.result import Failure
from returns.result import Success

from cardamomdeal.document import check
from cardamomdeal.document import load
from cardamomdeal.document import model
from cardamomdeal.protocol import messages


@dataclasses.dataclass(frozen=True, slots=True)
class InForce:
    """Hold a configuration that was adopted."""

    head: messages.Head
    canonical: bytes
    document: model.Document


@dataclasses.dataclass(frozen=True, slots=True)
class Adopted:
    """Report that an offer is now in force."""

    in_force: InForce


@dataclasses.dataclass(frozen=True, slots=True)
class Ignored:
    """Report an offer that is not newer."""


@dataclasses.dataclass(frozen=True, slots=True)
class Refused:
    """Report an offer that is outside the rules."""

    problems: check.Problems


Decision = Adopted | Ignored | Refused


class Adoption:
    """Adopt newer versions only, so that none ever reverts."""

    def __init__(self) -> None:
        self.in_force: InForce | None = None
        self._confirmed = False

    @property
    def version(self) -> int:
        """Return the adopted version, or 0."""
        return self.in_force.head.version if self.in_force else 0

    @property
    def ready(self) -> bool:
        """Return whether this host may serve on what it adopted."""
        return self._confirmed and self.in_force is not None

    @property
    def documents(self) -> tuple[model.Document, ...]:
        """Return the adopted document, if there is one."""
        return (self.in_force.document,) if self.in_force else ()

    @property
    def services(self) -> tuple[model.Service, ...]:
        """Return the services of the adopted document."""
        return tuple(s for d in self.documents for s in d.services)

    @property
    def backend_servers(self) -> tuple[model.BackendServer, ...]:
        """Return the backend servers of the adopted document."""
        return tuple(s for d in self.documents for s in d.backend_servers)

    def offer(self, head: messages.Head, canonical: bytes) -> Decision:
        """Adopt an offer if it is newer and within the rules."""
        if head.version <= self.version:
            return Ignored()
        match load.read_document(canonical, head.digest):
            case Success(document):
                self.in_force = InForce(head, canonical, document)
                return Adopted(self.in_force)
            case Failure(problems):
                return Refused(problems)

    def confirm_from_store(self, version: int) -> None:
        """Note that the store's newest version is `version`."""
        if version <= self.version:
            self._confirmed = True

    def confirm_from_peers(
        self, answered_versions: tuple[int, ...], known_peers: int
    ) -> None:
        """Note the versions that some of the known peers answered."""
        # One stale peer must not bring back an old configuration on a host
        # that joins while the store is down; a majority cannot be stale
        # once a change has had its few seconds to spread.
        majority = len(answered_versions) > known_peers / 2
        if majority and max(answered_versions) <= self.version:
            self._confirmed = True
