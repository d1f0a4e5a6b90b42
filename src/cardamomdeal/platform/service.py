"""Interface of the platform's key-value service and host list."""

import dataclasses
import enum
from typing import Protocol

from returns.result import Result

from cardamomdeal.platform import errors

ABSENT_REVISION = 0


@dataclasses.dataclass(frozen=True, slots=True)
class KeyState:
    """Hold the value of a key at one revision."""

    value: str
    revision: int


class HostState(enum.Enum):
    """Say what the host list says of a host."""

    LIVE = 'live'
    LEAVING = 'leaving'


@dataclasses.dataclass(frozen=True, slots=True)
class ListedHost:
    """Describe one entry of the host list."""

    name: str
    address: str
    state: HostState


class PlatformService(Protocol):
    """Offer what the fleet uses of the platform."""

    def get(self, key: str) -> Result[KeyState | None, errors.PlatformError]:
        """Read a key."""

    def compare_and_swap(
        self, key: str, value: str, expected_revision: int
    ) -> Result[KeyState, errors.PlatformError]:
        """Write a key if its revision is the expected one."""

    def watch(
        self, key: str, after_revision: int, wait_ms: int
    ) -> Result[KeyState | None, errors.PlatformError]:
        """Wait for a newer revision; None when none came in time."""

    def hosts(self) -> Result[tuple[ListedHost, ...], errors.PlatformError]:
        """Read the host list."""
