"""Interface of the platform's key-value service and host list."""

import dataclasses
import enum
from typing import Protocol

from returns.result import Result

from cardamomdeal.platform import errors

ABSENT_REVISION = 0


@dataclasses.dataclass(frozen=True, slots=True)
class KeyState:
    """Value of a key at one revision."""

    value: str
    revision: int


class HostState(enum.Enum):
    """State of a host in the host list."""

    LIVE = 'live'
    LEAVING = 'leaving'


@dataclasses.dataclass(frozen=True, slots=True)
class ListedHost:
    """Entry of the host list."""

    name: str
    address: str
    state: HostState


class PlatformService(Protocol):
    """Operations of the platform that the fleet uses."""

    def get(self, key: str) -> Result[KeyState | None, errors.PlatformError]:
        """Read a key; None when it does not exist."""

    def compare_and_swap(
        self, key: str, value: str, expected_revision: int
    ) -> Result[KeyState, errors.PlatformError]:
        """Write a key if it is still at the expected revision."""

    def watch(
        self, key: str, after_revision: int, wait_ms: int
    ) -> Result[KeyState | None, errors.PlatformError]:
        """Wait for a newer revision; None when the wait expires."""

    def hosts(self) -> Result[tuple[ListedHost, ...], errors.PlatformError]:
        """Read the host list."""
