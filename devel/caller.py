"""Caller that asks the directory and keeps its answer for a while."""

from collections.abc import Iterable
import dataclasses
import time
from typing import Any

import urllib3

TIMEOUT_S = 120.0


@dataclasses.dataclass(frozen=True, slots=True)
class Kept:
    """Hold a directory's answer until it expires."""

    addresses: tuple[str, ...]
    expires_s: float


class Caller:
    """Send requests as a caller of the fleet does."""

    def __init__(self, directories: tuple[str, ...], tenant: str) -> None:
        self._directories = directories
        self._tenant = tenant
        self._kept: dict[str, Kept] = {}
        self._http = urllib3.PoolManager(
            retries=False, timeout=TIMEOUT_S, maxsize=4
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
        """Send a request to an address of the fleet."""
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
        kept = self._kept.get(work_kind)
        if kept is None or time.monotonic() >= kept.expires_s:
            kept = self._ask(work_kind)
            self._kept[work_kind] = kept
        return kept.addresses[0]

    def forget(self, work_kind: str) -> None:
        """Ask the directory again next time."""
        self._kept.pop(work_kind, None)

    def _ask(self, work_kind: str) -> Kept:
        for directory in self._directories:
            asked_s = time.monotonic()
            try:
                answer = self._http.request(
                    'GET',
                    f'http://{directory}/addresses?work_kind={work_kind}',
                    timeout=2.0,
                )
            except urllib3.exceptions.HTTPError:
                continue
            if answer.status == 200:
                body = answer.json()
                return Kept(
                    tuple(body['addresses']),
                    asked_s + body['keep_for_ms'] / 1000,
                )
        raise ConnectionError(f'no directory knows {work_kind}')
