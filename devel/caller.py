"""Caller that looks up addresses in the directory and caches them."""

from collections.abc import Iterable
import dataclasses
import time
from typing import Any

import urllib3

REQUEST_TIMEOUT_S = 120.0


@dataclasses.dataclass(frozen=True, slots=True)
class CachedAddresses:
    """Addresses for a kind of work and the time when they expire."""

    addresses: tuple[str, ...]
    expires_at_s: float


class Caller:
    """HTTP client that sends requests on behalf of a tenant."""

    def __init__(self, directories: tuple[str, ...], tenant: str) -> None:
        self._directories = directories
        self._tenant = tenant
        self._cached: dict[str, CachedAddresses] = {}
        self._http = urllib3.PoolManager(
            retries=False, timeout=REQUEST_TIMEOUT_S, maxsize=4
        )

    def send(
        self,
        work_kind: str,
        method: str,
        path: str,
        body: bytes | Iterable[bytes] | None = None,
        request_id: str = '',
        body_bytes: int | None = None,
    ) -> urllib3.BaseHTTPResponse:
        """Send a request to the preferred gateway for a kind of work."""
        headers = {'Tenant': self._tenant}
        if request_id:
            headers['Request-Id'] = request_id
        if body_bytes is not None:
            headers['Content-Length'] = str(body_bytes)
        options: dict[str, Any] = {'headers': headers, 'body': body}
        address = self.address(work_kind)
        return self._http.request(method, f'http://{address}{path}', **options)

    def address(self, work_kind: str) -> str:
        """Return the preferred address for a kind of work."""
        cached = self._cached.get(work_kind)
        if cached is None or time.monotonic() >= cached.expires_at_s:
            cached = self._look_up(work_kind)
            self._cached[work_kind] = cached
        return cached.addresses[0]

    def discard_addresses(self, work_kind: str) -> None:
        """Discard the cached addresses for a kind of work."""
        self._cached.pop(work_kind, None)

    def _look_up(self, work_kind: str) -> CachedAddresses:
        for directory in self._directories:
            requested_at_s = time.monotonic()
            try:
                response = self._http.request(
                    'GET',
                    f'http://{directory}/addresses?work_kind={work_kind}',
                    timeout=2.0,
                )
            except urllib3.exceptions.HTTPError:
                continue
            if response.status == 200:
                body = response.json()
                return CachedAddresses(
                    tuple(body['addresses']),
                    requested_at_s + body['keep_for_ms'] / 1000,
                )
        raise ConnectionError(
            f'no directory returned addresses for {work_kind}'
        )
