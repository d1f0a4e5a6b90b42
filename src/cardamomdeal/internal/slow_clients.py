"""Decides which slow clients a server gives up to have memory for others.

The load that it answers: many clients that send or read very slowly, or not
at all, and hold more and more memory together.
"""

from collections.abc import Sequence
import dataclasses

# A lost packet is sent again after a second or two.
MIN_WAIT_MS = 2_500


@dataclasses.dataclass(frozen=True, slots=True)
class SlowClient:
    """Memory held for a client, and how long it has made no progress."""

    held_bytes: int
    waits_ms: int


def choose_given_up(
    clients: Sequence[SlowClient], max_held_bytes: int
) -> list[int]:
    """Return the positions of the clients to give up, longest wait first."""
    held_bytes = sum(client.held_bytes for client in clients)
    by_wait = sorted(
        range(len(clients)),
        key=lambda position: clients[position].waits_ms,
        reverse=True,
    )
    given_up = []
    for position in by_wait:
        client = clients[position]
        if held_bytes <= max_held_bytes or client.waits_ms < MIN_WAIT_MS:
            break
        if client.held_bytes:
            given_up.append(position)
            held_bytes -= client.held_bytes
    return given_up
