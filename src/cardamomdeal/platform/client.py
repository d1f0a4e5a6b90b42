"""Platform service over HTTP."""

from typing import Annotated
from typing import Literal
from urllib import parse

import pydantic
from returns.result import Failure
from returns.result import Result
from returns.result import Success
import urllib3

from cardamomdeal.internal import address
from cardamomdeal.platform import errors
from cardamomdeal.platform import service

WATCH_MARGIN_MS = 2_000


class KeyModel(pydantic.BaseModel):
    """Check the answer to a read or write."""

    value: str
    revision: Annotated[int, pydantic.Field(ge=0)]


class HostModel(pydantic.BaseModel):
    """Check one entry of the host list."""

    name: str
    address: str
    state: Literal['live', 'leaving']


class HostListModel(pydantic.BaseModel):
    """Check the host list."""

    hosts: list[HostModel]


class HttpPlatform:
    """Call the platform's service; one task owns each instance."""

    def __init__(self, at: address.Address, timeout_ms: int) -> None:
        self.calls = 0
        self._timeout_ms = timeout_ms
        self._pool = urllib3.HTTPConnectionPool(
            at.host, at.port, maxsize=1, retries=False
        )

    def get(
        self, key: str
    ) -> Result[service.KeyState | None, errors.PlatformError]:
        """Read a key."""
        return self._call('GET', f'/kv/{parse.quote(key)}').bind(_key_answer)

    def compare_and_swap(
        self, key: str, value: str, expected_revision: int
    ) -> Result[service.KeyState, errors.PlatformError]:
        """Write a key if its revision is the expected one."""
        answer = self._call(
            'PUT',
            f'/kv/{parse.quote(key)}',
            {'value': value, 'expected_revision': expected_revision},
        )
        return answer.bind(_write_answer)

    def watch(
        self, key: str, after_revision: int, wait_ms: int
    ) -> Result[service.KeyState | None, errors.PlatformError]:
        """Wait for a newer revision; None when none came in time."""
        answer = self._call(
            'GET',
            f'/watch/{parse.quote(key)}'
            f'?after_revision={after_revision}&wait_ms={wait_ms}',
            timeout_ms=wait_ms + WATCH_MARGIN_MS,
        )
        return answer.bind(_key_answer)

    def hosts(
        self,
    ) -> Result[tuple[service.ListedHost, ...], errors.PlatformError]:
        """Read the host list."""
        return self._call('GET', '/hosts').bind(_hosts_answer)

    def _call(
        self,
        method: str,
        path: str,
        body: dict[str, object] | None = None,
        timeout_ms: int | None = None,
    ) -> Result[urllib3.BaseHTTPResponse, errors.PlatformError]:
        self.calls += 1
        try:
            answer = self._pool.request(
                method,
                path,
                json=body,
                timeout=(timeout_ms or self._timeout_ms) / 1000,
            )
        except urllib3.exceptions.HTTPError as error:
            return Failure(errors.PlatformUnavailable(str(error)))
        if answer.status >= 500:
            return Failure(
                errors.PlatformUnavailable(f'status {answer.status}')
            )
        return Success(answer)


def _key_answer(
    answer: urllib3.BaseHTTPResponse,
) -> Result[service.KeyState | None, errors.PlatformError]:
    if answer.status in (204, 404):
        return Success(None)
    return _key_state(answer)


def _write_answer(
    answer: urllib3.BaseHTTPResponse,
) -> Result[service.KeyState, errors.PlatformError]:
    if answer.status == 409:
        return Failure(errors.RevisionConflict('the key has changed'))
    return _key_state(answer)


def _key_state(
    answer: urllib3.BaseHTTPResponse,
) -> Result[service.KeyState, errors.PlatformError]:
    try:
        checked = KeyModel.model_validate_json(answer.data)
    except pydantic.ValidationError as error:
        return Failure(errors.PlatformError(f'unexpected answer: {error}'))
    return Success(service.KeyState(checked.value, checked.revision))


def _hosts_answer(
    answer: urllib3.BaseHTTPResponse,
) -> Result[tuple[service.ListedHost, ...], errors.PlatformError]:
    try:
        checked = HostListModel.model_validate_json(answer.data)
    except pydantic.ValidationError as error:
        return Failure(errors.PlatformError(f'unexpected answer: {error}'))
    return Success(
        tuple(
            service.ListedHost(
                host.name, host.address, service.HostState(host.state)
            )
            for host in checked.hosts
        )
    )
