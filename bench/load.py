"""Open-loop load, measured from the time a request was due."""

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

THREADS = 24
TIMEOUT_S = 20.0


@dataclasses.dataclass(frozen=True, slots=True)
class Call:
    """Describe one request and when it is due."""

    due_s: float
    address: str
    method: str
    path: str
    body: bytes | None
    tenant: str


@dataclasses.dataclass(frozen=True, slots=True)
class Outcome:
    """Hold how one request ended; status 0 means no answer."""

    due_s: float
    status: int
    latency_ms: float
    tenant: str
    path: str


def arrivals(
    rate_of: Callable[[float], float], duration_s: float, seed: int
) -> Iterator[float]:
    """Yield Poisson arrival times for a rate that changes over time."""
    rng = random.Random(seed)
    at_s = 0.0
    while True:
        at_s += rng.expovariate(max(rate_of(at_s), 0.01))
        if at_s >= duration_s:
            return
        yield at_s


def run(calls: Sequence[Call], threads: int = THREADS) -> list[Outcome]:
    """Send the calls when they are due and return how they ended."""
    due: queue.SimpleQueue[Call | None] = queue.SimpleQueue()
    outcomes: list[Outcome] = []
    started_s = time.monotonic()
    workers = [
        threading.Thread(target=_work, args=(due, outcomes, started_s))
        for _ in range(threads)
    ]
    for worker in workers:
        worker.start()
    for call in calls:
        wait_s = started_s + call.due_s - time.monotonic()
        if wait_s > 0:
            time.sleep(wait_s)
        due.put(call)
    for _ in workers:
        due.put(None)
    for worker in workers:
        worker.join()
    return outcomes


def percentile(values: Sequence[float], share: float) -> float:
    """Return the value below which a share of the values lies."""
    if not values:
        return float('nan')
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(len(ordered) * share))]


def _work(
    due: 'queue.SimpleQueue[Call | None]',
    outcomes: list[Outcome],
    started_s: float,
) -> None:
    connections: dict[str, http.client.HTTPConnection] = {}
    while (call := due.get()) is not None:
        status = _send(connections, call)
        latency_s = time.monotonic() - started_s - call.due_s
        outcomes.append(
            Outcome(
                call.due_s, status, latency_s * 1000, call.tenant, call.path
            )
        )
    for connection in connections.values():
        connection.close()


def _send(
    connections: dict[str, http.client.HTTPConnection], call: Call
) -> int:
    connection = connections.get(call.address)
    if connection is None:
        connection = http.client.HTTPConnection(
            call.address, timeout=TIMEOUT_S
        )
        connections[call.address] = connection
    headers = {'Tenant': call.tenant, 'Request-Id': uuid.uuid4().hex}
    try:
        connection.request(call.method, call.path, call.body, headers)
        answer = connection.getresponse()
        answer.read()
        return answer.status
    except (OSError, http.client.HTTPException):
        connection.close()
        del connections[call.address]
        return 0
