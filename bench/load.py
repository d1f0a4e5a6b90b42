"""Open-loop load generator.

Latency counts from the time at which a request is due, so that it includes
the wait for a free thread.
"""

from collections.abc import Callable
from collections.abc import Iterator
from collections.abc import Sequence
import dataclasses
import http.client
import queue
import random
import threading
import time
import uuid

DEFAULT_THREADS = 24
TIMEOUT_S = 20.0


@dataclasses.dataclass(frozen=True, slots=True)
class ScheduledRequest:
    """Request to send at due_s after the start of the run."""

    due_s: float
    address: str
    method: str
    path: str
    body: bytes | None
    tenant: str


@dataclasses.dataclass(frozen=True, slots=True)
class Outcome:
    """Result of one request; status 0 means that no response was received."""

    due_s: float
    status: int
    latency_ms: float
    tenant: str
    path: str


def poisson_arrivals(
    rate_at: Callable[[float], float], duration_s: float, seed: int
) -> Iterator[float]:
    """Yield Poisson arrival times for a rate that changes over time."""
    rng = random.Random(seed)
    at_s = 0.0
    while True:
        at_s += rng.expovariate(max(rate_at(at_s), 0.01))
        if at_s >= duration_s:
            return
        yield at_s


def run(
    requests: Sequence[ScheduledRequest], threads: int = DEFAULT_THREADS
) -> list[Outcome]:
    """Send each request when it is due, and return the outcomes."""
    due_requests: queue.SimpleQueue[ScheduledRequest | None] = (
        queue.SimpleQueue()
    )
    outcomes: list[Outcome] = []
    started_s = time.monotonic()
    workers = [
        threading.Thread(
            target=_send_due_requests, args=(due_requests, outcomes, started_s)
        )
        for _ in range(threads)
    ]
    for worker in workers:
        worker.start()
    for request in requests:
        wait_s = started_s + request.due_s - time.monotonic()
        if wait_s > 0:
            time.sleep(wait_s)
        due_requests.put(request)
    for _ in workers:
        due_requests.put(None)
    for worker in workers:
        worker.join()
    return outcomes


def percentile(values: Sequence[float], fraction: float) -> float:
    """Return the value at the given fraction (0 to 1) of the sorted values."""
    if not values:
        return float('nan')
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(len(ordered) * fraction))]


def _send_due_requests(
    due_requests: 'queue.SimpleQueue[ScheduledRequest | None]',
    outcomes: list[Outcome],
    started_s: float,
) -> None:
    connections: dict[str, http.client.HTTPConnection] = {}
    while (request := due_requests.get()) is not None:
        status = _send(connections, request)
        latency_s = time.monotonic() - started_s - request.due_s
        outcomes.append(
            Outcome(
                request.due_s,
                status,
                latency_s * 1000,
                request.tenant,
                request.path,
            )
        )
    for connection in connections.values():
        connection.close()


def _send(
    connections: dict[str, http.client.HTTPConnection],
    request: ScheduledRequest,
) -> int:
    connection = connections.get(request.address)
    if connection is None:
        connection = http.client.HTTPConnection(
            request.address, timeout=TIMEOUT_S
        )
        connections[request.address] = connection
    headers = {'Tenant': request.tenant, 'Request-Id': uuid.uuid4().hex}
    try:
        connection.request(request.method, request.path, request.body, headers)
        response = connection.getresponse()
        response.read()
        return response.status
    except (OSError, http.client.HTTPException):
        connection.close()
        del connections[request.address]
        return 0
